package admission

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// startsUnderLoad replays requests at a fixed interval that need a start each, and
// returns the times of those that the limit lets start.
func startsUnderLoad(l *RateLimit, from, until, interval time.Duration) []time.Duration {
	var starts []time.Duration
	for at := from; at < until; at += interval {
		if l.Take(start.Add(at)) {
			starts = append(starts, at)
		}
	}
	return starts
}

// mostWithin returns the greatest number of times within a window.
func mostWithin(times []time.Duration, window time.Duration) int {
	most := 0
	for i := range times {
		n := i
		for n < len(times) && times[n] < times[i]+window {
			n++
		}
		most = max(most, n-i)
	}
	return most
}

func TestRateLimit(t *testing.T) {
	unlimited := math.Inf(1)
	Convey("Given a limit", t, func() {
		for _, rate := range []float64{0.4, 3.2, 10.4, 800} {
			l := &RateLimit{}
			l.Observe(start, start, rate)
			starts := startsUnderLoad(l, 0, 20*time.Second, time.Second/2000)
			burst := max(1, rate*rateBurst.Seconds())
			So(mostWithin(starts, 4*time.Second), ShouldBeLessThanOrEqualTo, int(math.Ceil(4*rate+burst)))
			So(len(starts), ShouldBeGreaterThanOrEqualTo, int(20*rate))
		}
	})
	Convey("A lower rate that is named later binds at once", t, func() {
		l := &RateLimit{}
		l.Observe(start, start, 100)
		l.Observe(start.Add(time.Second), start, 4)
		So(startsUnderLoad(l, time.Second, 3*time.Second, time.Millisecond), ShouldHaveLength, 8)
	})
	Convey("Only an answer to a request sent after the last naming ends the limit", t, func() {
		l := &RateLimit{}
		l.Observe(start.Add(100*time.Millisecond), start, 2)
		l.Observe(start.Add(200*time.Millisecond), start, unlimited)
		_, limited := l.PerSecond()
		So(limited, ShouldBeTrue)
		l.Observe(start.Add(400*time.Millisecond), start.Add(300*time.Millisecond), unlimited)
		_, limited = l.PerSecond()
		So(limited, ShouldBeFalse)
	})
	Convey("A rate of zero lets nothing start and gives a bounded wait", t, func() {
		l := &RateLimit{}
		l.Observe(start, start, 0)
		So(startsUnderLoad(l, time.Millisecond, time.Minute, time.Second), ShouldHaveLength, 1)
		So(l.Wait(start.Add(time.Minute), 0), ShouldEqual, maxRateWait)
	})
}

func TestQueueUnderRateLimit(t *testing.T) {
	Convey("Given a queue with free slots in front of a server that names 5 requests a second", t, func() {
		q := &Queue{}
		q.SetLimits(7, 9)
		q.SetMeanHoldTime(100 * time.Millisecond)
		q.Rate.Observe(start, start, 5)
		admit := func(at, deadline time.Duration) (Verdict, *Ticket) {
			verdict, ticket, _ := q.Admit(start.Add(at), request(low, 100*time.Millisecond, at+deadline, at+deadline))
			return verdict, ticket
		}
		verdict, _ := admit(0, time.Second)
		So(verdict, ShouldEqual, Granted)
		Convey("the next request waits for the rate although slots are free", func() {
			verdict, ticket := admit(160*time.Millisecond, time.Second)
			So(verdict, ShouldEqual, Queued)
			So(q.Delayed(), ShouldEqual, 1)
			So(q.Next(start.Add(190*time.Millisecond)), ShouldBeNil)
			So(q.Next(start.Add(201*time.Millisecond)), ShouldEqual, ticket)
		})
		Convey("a request that others of a higher class overtake doesn't wait to its deadline", func() {
			_, overtaken := admit(160*time.Millisecond, time.Second)
			urgent, _, _ := q.Admit(start.Add(180*time.Millisecond), request(high, 100*time.Millisecond, time.Second, time.Second))
			So(urgent, ShouldEqual, Queued)
			So(q.Next(start.Add(201*time.Millisecond)).Class, ShouldEqual, high)
			So(q.RemoveExpired(start.Add(211*time.Millisecond)), ShouldResemble, []*Ticket{overtaken})
		})
		Convey("a request that the rate can't start in time is refused at once, and so an offer", func() {
			verdict, _ := admit(0, 250*time.Millisecond)
			So(verdict, ShouldEqual, Refused)
			estimate := q.Estimate(start, request(low, 100*time.Millisecond, 250*time.Millisecond, 250*time.Millisecond))
			So(estimate.Refused, ShouldBeTrue)
			So(estimate.AtOnce, ShouldBeFalse)
			So(estimate.Wait, ShouldAlmostEqual, 200*time.Millisecond, time.Millisecond)
		})
		Convey("the wait given with a refusal is the time until the rate has room", func() {
			at := start.Add(160 * time.Millisecond)
			So(q.ExpectedWait(at), ShouldAlmostEqual, 40*time.Millisecond, time.Millisecond)
			admit(160*time.Millisecond, 2*time.Second)
			So(q.ExpectedWait(at), ShouldAlmostEqual, 240*time.Millisecond, time.Millisecond)
		})
	})
}

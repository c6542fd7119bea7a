package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSlowdownTracker(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	Convey("Without a report a server is assumed to work at normal speed", t, func() {
		tracker := &SlowdownTracker{}
		tracker.Record(start, 0)
		So(tracker.Now(start), ShouldResemble, noSlowdown)
		So(tracker.ChangedRecently(start), ShouldBeFalse)
	})
	Convey("A slowdown is expected to last as long as the earlier ones", t, func() {
		tracker := &SlowdownTracker{}
		tracker.Record(at(0), 100)
		tracker.Record(at(10), 400)
		So(tracker.Now(at(10)), ShouldResemble, Slowdown{Factor: 4, Remaining: defaultSlowdownDuration})
		tracker.Record(at(90), 400)
		tracker.Record(at(110), 100)
		So(tracker.Now(at(110)), ShouldResemble, noSlowdown)
		tracker.Record(at(200), 400)
		So(tracker.Now(at(200)).Remaining, ShouldEqual, 100*time.Millisecond)
	})
	Convey("A slowdown that outlasts the earlier ones is expected to last as long again", t, func() {
		tracker := &SlowdownTracker{duration: 50 * time.Millisecond}
		for ms := 0; ms <= 1000; ms += 50 {
			tracker.Record(at(ms), 400)
		}
		So(tracker.Now(at(1000)).Remaining, ShouldEqual, time.Second)
	})
	Convey("An old report is ignored", t, func() {
		tracker := &SlowdownTracker{}
		tracker.Record(at(0), 400)
		So(tracker.Now(start.Add(maxReportAge+1)), ShouldResemble, noSlowdown)
	})
	Convey("A slowness that stays the same hasn't changed recently", t, func() {
		tracker := &SlowdownTracker{}
		tracker.Record(at(0), 400)
		tracker.Record(at(10), 400)
		So(tracker.ChangedRecently(at(10)), ShouldBeFalse)
		tracker.Record(at(20), 100)
		So(tracker.ChangedRecently(at(30)), ShouldBeTrue)
		So(tracker.ChangedRecently(at(20).Add(stabilityPeriod)), ShouldBeFalse)
	})
}

// Guards against runs that can't end in time: a request that starts during a slowdown
// keeps its low speed, and holds a slot until its deadline for nothing.
func TestStartDuringSlowdown(t *testing.T) {
	slow := Slowdown{Factor: 4, Remaining: 200 * time.Millisecond}
	queue := func(s Slowdown) *Queue {
		q := &Queue{}
		q.SetLimits(2, 10)
		q.SetMeanHoldTime(400 * time.Millisecond)
		q.SetSlowdown(s)
		return q
	}
	Convey("A long request waits for the end of a slowdown, a short one starts at once", t, func() {
		q := queue(slow)
		verdict, long, _ := q.Admit(start, request(low, 300*time.Millisecond, time.Second, 2*time.Second))
		So(verdict, ShouldEqual, Queued)
		So(q.Next(start), ShouldBeNil)
		So(q.Delayed(), ShouldEqual, 1)
		short := request(low, 30*time.Millisecond, time.Second, 2*time.Second)
		So(q.Estimate(start, short).Wait, ShouldEqual, 0)
		verdict, _, _ = q.Admit(start, short)
		So(verdict, ShouldEqual, Granted)
		q.SetSlowdown(noSlowdown)
		So(q.Next(start), ShouldEqual, long)
	})
	Convey("A full queue of requests that wait for the end of a slowdown doesn't hold up a short one", t, func() {
		q := queue(slow)
		for range 10 {
			verdict, _, _ := q.Admit(start, request(low, 300*time.Millisecond, time.Second, 2*time.Second))
			So(verdict, ShouldEqual, Queued)
		}
		short := request(low, 30*time.Millisecond, time.Second, 450*time.Millisecond)
		estimate := q.Estimate(start, short)
		So(estimate.Refused, ShouldBeFalse)
		So(estimate.Wait, ShouldEqual, 0)
		So(estimate.ServiceTime, ShouldEqual, 120*time.Millisecond)
		for range 2 {
			verdict, _, _ := q.Admit(start, short)
			So(verdict, ShouldEqual, Granted)
		}
		So(q.Estimate(start, short).Wait, ShouldEqual, 200*time.Millisecond)
	})
	Convey("A request of a route without a recent sample starts, so that its estimate is measured", t, func() {
		verdict, _, _ := queue(slow).Admit(start, request(low, 300*time.Millisecond, time.Second, 450*time.Millisecond))
		So(verdict, ShouldEqual, Granted)
	})
	Convey("A request that would miss its deadline by waiting starts at once if it can be answered at the low speed", t, func() {
		verdict, _, _ := queue(Slowdown{Factor: 1.4, Remaining: slow.Remaining}).
			Admit(start, request(low, 300*time.Millisecond, time.Second, 450*time.Millisecond))
		So(verdict, ShouldEqual, Granted)
	})
	Convey("One that can be answered neither at the low speed nor after the slowdown is refused at once", t, func() {
		q := queue(slow)
		late := request(low, 300*time.Millisecond, time.Second, 450*time.Millisecond)
		late.IsMeasured = true
		So(q.Estimate(start, late).Refused, ShouldBeTrue)
		verdict, _, _ := q.Admit(start, late)
		So(verdict, ShouldEqual, Refused)
	})
	Convey("One that waits when the slowdown begins is taken out of the queue", t, func() {
		q := queue(noSlowdown)
		for range 2 {
			q.Admit(start, request(low, 300*time.Millisecond, time.Second, 2*time.Second))
		}
		r := request(low, 300*time.Millisecond, time.Second, 650*time.Millisecond)
		r.IsMeasured = true
		verdict, late, _ := q.Admit(start, r)
		So(verdict, ShouldEqual, Queued)
		So(q.RemoveExpired(start), ShouldBeEmpty)
		q.SetSlowdown(Slowdown{Factor: 4, Remaining: 400 * time.Millisecond})
		So(q.RemoveExpired(start), ShouldResemble, []*Ticket{late})
	})
}

// Guards against a route whose requests are all given up because of an estimate that no
// request corrects any more.
func TestMeasuredRecently(t *testing.T) {
	Convey("A route counts as measured until its latest sample is too old", t, func() {
		times := &ServiceTimes{}
		So(times.IsMeasuredRecently(start, "a"), ShouldBeFalse)
		times.Add(start, "a", time.Second, 1)
		So(times.IsMeasuredRecently(start.Add(maxSampleAge), "a"), ShouldBeTrue)
		So(times.IsMeasuredRecently(start.Add(maxSampleAge+1), "a"), ShouldBeFalse)
		So(times.IsMeasuredRecently(start, "b"), ShouldBeFalse)
	})
}

// sharedMachine models a server on a machine shared with other workloads: requests
// that start during a slowdown take several times as long.
type sharedMachine struct {
	random   *rand.Rand
	queue    Queue
	now      time.Time
	isSlow   bool
	endTimes []time.Time
	// deadline is the time that requests have.
	deadline time.Duration
	onTime   int
	// wasted counts the runs that ended after the deadline.
	wasted   int
	arrivals int
}

const (
	sharedStep        = 5 * time.Millisecond
	sharedServiceTime = 230 * time.Millisecond
	sharedTarget      = time.Second
	sharedDeadline    = 3 * time.Second
	sharedSlots       = 9
)

// step advances the time by one step, with requests arriving at the given rate.
func (s *sharedMachine) step(requestsPerSecond float64, slowdownsKnown bool) {
	s.now = s.now.Add(sharedStep)
	if s.random.Float64() < float64(sharedStep)/float64(300*time.Millisecond) {
		s.isSlow = s.random.Float64() < 0.35
	}
	s.queue.SetSlowdown(noSlowdown)
	if slowdownsKnown && s.isSlow {
		s.queue.SetSlowdown(Slowdown{Factor: 4, Remaining: 300 * time.Millisecond})
	}
	running := s.endTimes[:0]
	for _, end := range s.endTimes {
		if end.After(s.now) {
			running = append(running, end)
			continue
		}
		s.queue.Release(low, "")
	}
	s.endTimes = running
	s.queue.RemoveExpired(s.now)
	for t := s.queue.Next(s.now); t != nil; t = s.queue.Next(s.now) {
		s.startRequest(&t.Request)
	}
	if s.random.Float64() >= requestsPerSecond*sharedStep.Seconds() {
		return
	}
	s.arrivals++
	r := Request{Class: low, ServiceTime: sharedServiceTime, IsMeasured: true, Target: s.now.Add(sharedTarget), Deadline: s.now.Add(s.deadline)}
	if verdict, _, _ := s.queue.Admit(s.now, r); verdict == Granted {
		s.startRequest(&r)
	}
}

func (s *sharedMachine) startRequest(r *Request) {
	end := s.now.Add(r.ServiceTime)
	if s.isSlow {
		end = s.now.Add(4 * r.ServiceTime)
	}
	s.endTimes = append(s.endTimes, end)
	if !end.After(r.Target) {
		s.onTime++
	}
	if end.After(r.Deadline) {
		s.wasted++
	}
}

// TestSharedMachineUnderLoad models a server of nine slots whose machine is four
// times slower for a third of the time, under three quarters of the load that it
// could take without that.
func TestSharedMachineUnderLoad(t *testing.T) {
	onTimeShare := func(slowdownsKnown bool) float64 {
		s := &sharedMachine{random: rand.New(rand.NewPCG(1, 2)), now: start, deadline: sharedDeadline}
		s.queue.SetLimits(sharedSlots, 12)
		s.queue.SetMeanHoldTime(sharedServiceTime)
		for range 60 * int(time.Second/sharedStep) {
			s.step(0.6*sharedSlots/sharedServiceTime.Seconds(), slowdownsKnown)
		}
		return float64(s.onTime) / float64(s.arrivals)
	}
	Convey("More requests meet their target when slowdowns are known", t, func() {
		unknown, known := onTimeShare(false), onTimeShare(true)
		t.Logf("on time: %.2f with slowdowns unknown, %.2f known", unknown, known)
		So(known, ShouldBeGreaterThan, unknown+0.1)
		So(known, ShouldBeGreaterThan, 0.8)
	})
}

// Guards against slots that are held by runs without use when deadlines are near: the load
// is that of TestSharedMachineUnderLoad with a deadline of 4.5 service times, short of a slow
// run's time and a wait together.
func TestSharedMachineWithNearDeadlines(t *testing.T) {
	Convey("No run starts that must end after its deadline", t, func() {
		s := &sharedMachine{random: rand.New(rand.NewPCG(1, 2)), now: start, deadline: 9 * sharedServiceTime / 2}
		s.queue.SetLimits(sharedSlots, 12)
		s.queue.SetMeanHoldTime(sharedServiceTime)
		for range 60 * int(time.Second/sharedStep) {
			s.step(0.9*sharedSlots/sharedServiceTime.Seconds(), true)
		}
		t.Logf("on time: %d, ended too late: %d, of %d", s.onTime, s.wasted, s.arrivals)
		So(float64(s.wasted)/float64(s.arrivals), ShouldBeLessThan, 0.01)
	})
}

package admission

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	low  = 1
	high = 2
)

var start = time.Unix(1000, 0)

// request returns a request with a target and a deadline, both counted from start.
func request(class int, serviceTime, target, deadline time.Duration) Request {
	return Request{Class: class, ServiceTime: serviceTime, Target: start.Add(target), Deadline: start.Add(deadline)}
}

// fullQueue returns a queue with no slot free.
func fullQueue(limit, capacity int, holdTime time.Duration) *Queue {
	q := &Queue{}
	q.SetLimits(limit, capacity)
	q.SetMeanHoldTime(holdTime)
	for range limit {
		q.Admit(start, request(low, holdTime, time.Hour, time.Hour))
	}
	return q
}

func TestOrder(t *testing.T) {
	Convey("Short calls with near targets go before requests with far targets", t, func() {
		q := fullQueue(2, 10, 20*time.Millisecond)
		_, long, _ := q.Admit(start, request(high, 160*time.Millisecond, 600*time.Millisecond, 1500*time.Millisecond))
		_, short, _ := q.Admit(start, request(high, 30*time.Millisecond, 120*time.Millisecond, 400*time.Millisecond))
		q.Release(low, "")
		So(q.Next(start), ShouldEqual, short)
		q.Release(high, "")
		So(q.Next(start), ShouldEqual, long)
	})
	Convey("Requests that can meet their target go before one that no longer can", t, func() {
		q := fullQueue(1, 10, 20*time.Millisecond)
		_, late, _ := q.Admit(start, request(high, 100*time.Millisecond, 50*time.Millisecond, time.Second))
		_, onTime, _ := q.Admit(start, request(high, 100*time.Millisecond, 400*time.Millisecond, time.Second))
		q.Release(low, "")
		So(q.Next(start), ShouldEqual, onTime)
		q.Release(high, "")
		So(q.Next(start), ShouldEqual, late)
	})
	Convey("A request that meets its target without margin for a longer service time counts as late", t, func() {
		q := fullQueue(1, 10, 20*time.Millisecond)
		_, barely, _ := q.Admit(start, request(high, 100*time.Millisecond, 110*time.Millisecond, time.Second))
		_, safe, _ := q.Admit(start, request(high, 100*time.Millisecond, 400*time.Millisecond, time.Second))
		q.Release(low, "")
		So(q.Next(start), ShouldEqual, safe)
		q.Release(high, "")
		So(q.Next(start), ShouldEqual, barely)
	})
	Convey("A late request of a higher class goes before a request of a lower class that is on time", t, func() {
		q := fullQueue(1, 10, 20*time.Millisecond)
		_, read, _ := q.Admit(start, request(low, 100*time.Millisecond, 400*time.Millisecond, time.Second))
		_, order, _ := q.Admit(start, request(high, 100*time.Millisecond, 50*time.Millisecond, time.Second))
		q.Release(low, "")
		So(q.Next(start), ShouldEqual, order)
		q.Release(high, "")
		So(q.Next(start), ShouldEqual, read)
	})
	Convey("No slot is granted while the limit is reached", t, func() {
		q := fullQueue(1, 10, 20*time.Millisecond)
		q.Admit(start, request(low, time.Millisecond, time.Second, time.Second))
		So(q.Next(start), ShouldBeNil)
	})
}

func TestRefusal(t *testing.T) {
	Convey("A request that can't be answered before its deadline is refused at once", t, func() {
		q := fullQueue(2, 100, 100*time.Millisecond)
		verdict, _, _ := q.Admit(start, request(low, 100*time.Millisecond, 120*time.Millisecond, 120*time.Millisecond))
		So(verdict, ShouldEqual, Refused)
		verdict, _, _ = q.Admit(start, request(low, 100*time.Millisecond, 120*time.Millisecond, 500*time.Millisecond))
		So(verdict, ShouldEqual, Queued)
	})
	Convey("A full queue evicts a request only for one of a higher class", t, func() {
		q := fullQueue(1, 1, time.Millisecond)
		_, first, _ := q.Admit(start, request(low, 0, time.Second, time.Second))
		verdict, _, evicted := q.Admit(start, request(low, 0, time.Second, time.Second))
		So(verdict, ShouldEqual, Refused)
		So(evicted, ShouldBeNil)
		verdict, _, evicted = q.Admit(start, request(high, 0, time.Second, time.Second))
		So(verdict, ShouldEqual, Queued)
		So(evicted, ShouldEqual, first)
	})
	Convey("A request expires when it can no longer be answered before its deadline", t, func() {
		q := fullQueue(1, 10, 10*time.Millisecond)
		_, ticket, _ := q.Admit(start, request(low, 100*time.Millisecond, 300*time.Millisecond, 300*time.Millisecond))
		So(q.RemoveExpired(start.Add(150*time.Millisecond)), ShouldBeEmpty)
		So(q.RemoveExpired(start.Add(250*time.Millisecond)), ShouldResemble, []*Ticket{ticket})
		So(q.Waiting(), ShouldEqual, 0)
	})
}

func TestServiceTimeExcludesSlowdowns(t *testing.T) {
	Convey("Samples from slowdowns don't raise the estimate of a route", t, func() {
		times := &ServiceTimes{}
		for range 50 {
			times.Add(start, "r", 100*time.Millisecond, 1)
			times.Add(start, "r", 400*time.Millisecond, 4)
		}
		So(times.Estimate("r"), ShouldAlmostEqual, 100*time.Millisecond, time.Millisecond)
		So(times.Mean(), ShouldAlmostEqual, 100*time.Millisecond, time.Millisecond)
		So(times.MeanHoldTime(), ShouldBeBetween, 100*time.Millisecond, 400*time.Millisecond)
	})
}

func TestEstimate(t *testing.T) {
	Convey("A free server estimates a start at once and the service time", t, func() {
		q := &Queue{}
		q.SetLimits(2, 2)
		So(q.Estimate(start, request(low, 100*time.Millisecond, time.Second, time.Second)), ShouldResemble,
			QueueEstimate{ServiceTime: 100 * time.Millisecond, AtOnce: true})
	})
	Convey("A busy server estimates the wait behind the requests that go first", t, func() {
		q := fullQueue(2, 2, 100*time.Millisecond)
		r := request(low, 100*time.Millisecond, time.Second, time.Second)
		So(q.Estimate(start, r).Wait, ShouldEqual, 50*time.Millisecond)
		q.Admit(start, r)
		So(q.Estimate(start, r).Wait, ShouldEqual, 100*time.Millisecond)
		So(q.Estimate(start, request(high, 100*time.Millisecond, time.Second, time.Second)).Wait, ShouldEqual, 50*time.Millisecond)
	})
	Convey("The estimate tells when a request would be refused", t, func() {
		q := fullQueue(1, 1, 100*time.Millisecond)
		So(q.Estimate(start, request(low, 100*time.Millisecond, 150*time.Millisecond, 150*time.Millisecond)).Refused, ShouldBeTrue)
		q.Admit(start, request(low, 0, time.Second, time.Second))
		So(q.Estimate(start, request(low, 0, time.Second, time.Second)).Refused, ShouldBeTrue)
		So(q.Estimate(start, request(high, 0, time.Second, time.Second)).Refused, ShouldBeFalse)
	})
	Convey("A slow server estimates the sooner of a slow start and a start after the slowdown", t, func() {
		q := &Queue{}
		q.SetLimits(2, 2)
		q.SetSlowdown(Slowdown{Factor: 4, Remaining: 200 * time.Millisecond})
		So(q.Estimate(start, request(low, 20*time.Millisecond, time.Second, time.Second)), ShouldResemble,
			QueueEstimate{ServiceTime: 80 * time.Millisecond})
		So(q.Estimate(start, request(low, 100*time.Millisecond, time.Second, time.Second)), ShouldResemble,
			QueueEstimate{Wait: 200 * time.Millisecond, ServiceTime: 100 * time.Millisecond})
	})
}

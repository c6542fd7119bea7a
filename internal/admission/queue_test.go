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

// request returns a request whose answer is worth most within target and nothing
// after deadline, both counted from the start.
func request(class int, work, target, deadline time.Duration) Request {
	return Request{Class: class, Work: work, Target: start.Add(target), Deadline: start.Add(deadline)}
}

// fullQueue returns a queue whose slots are all taken.
func fullQueue(limit, room int, hold time.Duration) *Queue {
	q := &Queue{}
	q.SetLimits(limit, room)
	q.SetHold(hold)
	for range limit {
		q.Arrive(start, request(low, hold, time.Hour, time.Hour))
	}
	return q
}

func TestOrder(t *testing.T) {
	Convey("Calls that others wait for pass requests with far targets", t, func() {
		q := fullQueue(2, 10, 20*time.Millisecond)
		_, long, _ := q.Arrive(start, request(high, 160*time.Millisecond, 600*time.Millisecond, 1500*time.Millisecond))
		_, short, _ := q.Arrive(start, request(high, 30*time.Millisecond, 120*time.Millisecond, 400*time.Millisecond))
		q.Release()
		So(q.Next(start), ShouldEqual, short)
		q.Release()
		So(q.Next(start), ShouldEqual, long)
	})
	Convey("A request that can't meet its target any more lets those pass that can", t, func() {
		q := fullQueue(1, 10, 20*time.Millisecond)
		_, late, _ := q.Arrive(start, request(high, 100*time.Millisecond, 50*time.Millisecond, time.Second))
		_, onTime, _ := q.Arrive(start, request(high, 100*time.Millisecond, 400*time.Millisecond, time.Second))
		q.Release()
		So(q.Next(start), ShouldEqual, onTime)
		q.Release()
		So(q.Next(start), ShouldEqual, late)
	})
	Convey("A request that barely meets its target by the mean of its work counts as late", t, func() {
		q := fullQueue(1, 10, 20*time.Millisecond)
		_, barely, _ := q.Arrive(start, request(high, 100*time.Millisecond, 110*time.Millisecond, time.Second))
		_, safe, _ := q.Arrive(start, request(high, 100*time.Millisecond, 400*time.Millisecond, time.Second))
		q.Release()
		So(q.Next(start), ShouldEqual, safe)
		q.Release()
		So(q.Next(start), ShouldEqual, barely)
	})
	Convey("A late request of a higher class still goes before one of a lower class", t, func() {
		q := fullQueue(1, 10, 20*time.Millisecond)
		_, read, _ := q.Arrive(start, request(low, 100*time.Millisecond, 400*time.Millisecond, time.Second))
		_, order, _ := q.Arrive(start, request(high, 100*time.Millisecond, 50*time.Millisecond, time.Second))
		q.Release()
		So(q.Next(start), ShouldEqual, order)
		q.Release()
		So(q.Next(start), ShouldEqual, read)
	})
	Convey("No slot is given while the limit is reached", t, func() {
		q := fullQueue(1, 10, 20*time.Millisecond)
		q.Arrive(start, request(low, time.Millisecond, time.Second, time.Second))
		So(q.Next(start), ShouldBeNil)
	})
}

func TestTurnedAway(t *testing.T) {
	Convey("What can't be answered in time is turned away at once", t, func() {
		q := fullQueue(2, 100, 100*time.Millisecond)
		verdict, _, _ := q.Arrive(start, request(low, 100*time.Millisecond, 120*time.Millisecond, 120*time.Millisecond))
		So(verdict, ShouldEqual, Refused)
		verdict, _, _ = q.Arrive(start, request(low, 100*time.Millisecond, 120*time.Millisecond, 500*time.Millisecond))
		So(verdict, ShouldEqual, Queued)
	})
	Convey("A full queue makes room for the more important only", t, func() {
		q := fullQueue(1, 1, time.Millisecond)
		_, first, _ := q.Arrive(start, request(low, 0, time.Second, time.Second))
		verdict, _, evicted := q.Arrive(start, request(low, 0, time.Second, time.Second))
		So(verdict, ShouldEqual, Refused)
		So(evicted, ShouldBeNil)
		verdict, _, evicted = q.Arrive(start, request(high, 0, time.Second, time.Second))
		So(verdict, ShouldEqual, Queued)
		So(evicted, ShouldEqual, first)
	})
	Convey("A request that waited too long leaves before its deadline", t, func() {
		q := fullQueue(1, 10, 10*time.Millisecond)
		_, ticket, _ := q.Arrive(start, request(low, 100*time.Millisecond, 300*time.Millisecond, 300*time.Millisecond))
		So(q.Expired(start.Add(150*time.Millisecond)), ShouldBeEmpty)
		So(q.Expired(start.Add(250*time.Millisecond)), ShouldResemble, []*Ticket{ticket})
		So(q.Waiting(), ShouldEqual, 0)
	})
}

func TestWorkIsClearedOfSlowMoments(t *testing.T) {
	Convey("A slow moment of the machine doesn't make the route look long", t, func() {
		w := &Work{}
		for range 50 {
			w.Add("r", 100*time.Millisecond, 1)
			w.Add("r", 400*time.Millisecond, 4)
		}
		So(w.Expect("r"), ShouldAlmostEqual, 100*time.Millisecond, time.Millisecond)
		So(w.Usual(), ShouldAlmostEqual, 100*time.Millisecond, time.Millisecond)
		So(w.Held(), ShouldBeBetween, 100*time.Millisecond, 400*time.Millisecond)
	})
}

func TestExpect(t *testing.T) {
	Convey("A free server offers its work at once", t, func() {
		q := &Queue{}
		q.SetLimits(2, 2)
		So(q.Expect(start, request(low, 100*time.Millisecond, time.Second, time.Second)), ShouldResemble,
			Expected{Work: 100 * time.Millisecond, AtOnce: true})
	})
	Convey("A busy server offers the wait behind those that go first", t, func() {
		q := fullQueue(2, 2, 100*time.Millisecond)
		r := request(low, 100*time.Millisecond, time.Second, time.Second)
		So(q.Expect(start, r).Wait, ShouldEqual, 50*time.Millisecond)
		q.Arrive(start, r)
		So(q.Expect(start, r).Wait, ShouldEqual, 100*time.Millisecond)
		So(q.Expect(start, request(high, 100*time.Millisecond, time.Second, time.Second)).Wait, ShouldEqual, 50*time.Millisecond)
	})
	Convey("A request that would be turned away is told so", t, func() {
		q := fullQueue(1, 1, 100*time.Millisecond)
		So(q.Expect(start, request(low, 100*time.Millisecond, 150*time.Millisecond, 150*time.Millisecond)).Refused, ShouldBeTrue)
		q.Arrive(start, request(low, 0, time.Second, time.Second))
		So(q.Expect(start, request(low, 0, time.Second, time.Second)).Refused, ShouldBeTrue)
		So(q.Expect(start, request(high, 0, time.Second, time.Second)).Refused, ShouldBeFalse)
	})
	Convey("A slow server offers what is sooner: its end or a slow start", t, func() {
		q := &Queue{}
		q.SetLimits(2, 2)
		q.SetMoment(Moment{Stretch: 4, Relief: 200 * time.Millisecond})
		So(q.Expect(start, request(low, 20*time.Millisecond, time.Second, time.Second)), ShouldResemble,
			Expected{Work: 80 * time.Millisecond})
		So(q.Expect(start, request(low, 100*time.Millisecond, time.Second, time.Second)), ShouldResemble,
			Expected{Wait: 200 * time.Millisecond, Work: 100 * time.Millisecond})
	})
}

package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// runningFleet returns the Fleet of node 0 of a fleet in one region that has run for
// long, and its view.
func runningFleet(nodes int) (*Fleet, View, time.Time) {
	view := View{Joined: true}
	for i := range nodes {
		view.Members = append(view.Members, Member{Instance: fmt.Sprint("node-", i), Region: "north", Address: fmt.Sprint("address-", i), Started: simEpoch})
	}
	f := NewFleet(view.Members[0], 64)
	now := simEpoch
	f.Update(now, view)
	return f, view, tickUntil(f, now, now.Add(time.Minute))
}

// tickUntil calls Tick at its usual interval.
func tickUntil(f *Fleet, from, to time.Time) time.Time {
	for now := from; !now.After(to); now = now.Add(tickInterval) {
		f.Tick(now)
	}
	return to
}

func TestFleet(t *testing.T) {
	// Guards against a node that starts and takes itself for the owner of everything.
	Convey("A node that hasn't joined owns nothing", t, func() {
		f := NewFleet(Member{Instance: "node-0", Region: "north", Address: "address-0", Started: simEpoch}, 64)
		f.Update(simEpoch, View{Members: []Member{{Instance: "node-0", Region: "north", Address: "address-0"}}})
		tickUntil(f, simEpoch, simEpoch.Add(time.Minute))
		So(f.Placement().Owned(), ShouldEqual, 0)
		So(f.Placement().starting, ShouldBeTrue)
	})
	Convey("While the whole fleet starts, a node owns nothing until its view has stopped growing", t, func() {
		self := Member{Instance: "node-0", Region: "north", Address: "address-0", Started: simEpoch}
		f := NewFleet(self, 64)
		view, now := View{Joined: true, Members: []Member{self}}, simEpoch
		for i := range 10 {
			f.Update(now, view)
			now = tickUntil(f, now, now.Add(startDelay-2*tickInterval))
			So(f.Placement().Owned(), ShouldEqual, 0)
			view.Members = append(view.Members, Member{Instance: fmt.Sprint("node-", i+1), Region: "north", Address: fmt.Sprint("address-", i+1), Started: simEpoch})
		}
		tickUntil(f, now, now.Add(startDelay))
		So(f.Placement().Owned(), ShouldBeBetween, 1, 20)
		So(f.Placement().starting, ShouldBeFalse)
	})
	Convey("A node that joins a running fleet owns its parts after gainDelay", t, func() {
		_, view, now := runningFleet(4)
		self := Member{Instance: "node-9", Region: "north", Address: "address-9", Started: now}
		f := NewFleet(self, 64)
		view.Members = append(view.Members, self)
		f.Update(now, view)
		tickUntil(f, now, now.Add(gainDelay-tickInterval))
		So(f.Placement().Owned(), ShouldEqual, 0)
		tickUntil(f, now.Add(gainDelay), now.Add(gainDelay+tickInterval))
		So(f.Placement().Owned(), ShouldBeBetween, 4, 25)
		So(f.Placement().share, ShouldEqual, 1)
	})
	// Guards against a side of a partition that grants the whole cap because all of its
	// nodes have restarted, and against a share that stays small without a partition.
	Convey("The share of a node that starts counts the members by the join records", t, func() {
		view := View{Joined: true}
		for i := range 4 {
			instance := fmt.Sprint("node-", i)
			view.Recorded = append(view.Recorded, instance)
			view.Members = append(view.Members, Member{Instance: instance, Region: "north", Address: instance, Started: simEpoch})
		}
		// start returns the Fleet of node 0 after it has seen a view for 1.5 s, and the time.
		start := func(view View) (*Fleet, time.Time) {
			f := NewFleet(view.Members[0], 8)
			f.Update(simEpoch, view)
			return f, tickUntil(f, simEpoch, simEpoch.Add(1500*time.Millisecond))
		}
		f, _ := start(view)
		So(f.Placement().share, ShouldEqual, 1)

		side := view
		side.Members = view.Members[:1]
		f, now := start(side)
		So(f.Placement().Owned(), ShouldEqual, 0) // the others may still grant
		now = tickUntil(f, now, simEpoch.Add(gainDelay+tickInterval))
		So(f.Placement().share, ShouldEqual, 0.25)
		So(f.Placement().Owned(), ShouldEqual, 8)
		f.Update(now, view)
		f.Update(now, side) // the others were there once
		tickUntil(f, now, now.Add(gainDelay))
		So(f.size(), ShouldEqual, 4)
		f, now = start(side)
		tickUntil(f, now, now.Add(knownFor-2*time.Second))
		So(f.size(), ShouldEqual, 4)
		So(f.Tick(simEpoch.Add(knownFor+1)), ShouldBeTrue)
		f.Update(simEpoch.Add(knownFor+1), side)
		So(f.size(), ShouldEqual, 1)

		side.Members = slices.Clone(view.Members)
		side.Members[3].State = Left
		f, _ = start(side)
		So(f.Placement().share, ShouldEqual, 1)
	})
	Convey("Without the log, a node takes the size of the fleet from a member that has run for long", t, func() {
		view := View{Joined: true, LogUnread: true, Members: []Member{
			{Instance: "node-0", Region: "north", Address: "address-0", Started: simEpoch},
			{Instance: "node-1", Region: "north", Address: "address-1", Started: simEpoch},
		}}
		f := NewFleet(view.Members[0], 8)
		f.Update(simEpoch, view)
		now := tickUntil(f, simEpoch, simEpoch.Add(recordsWait-tickInterval))
		So(f.Placement().Owned(), ShouldEqual, 0) // the log may still answer
		now = tickUntil(f, now, now.Add(2*tickInterval))
		So(f.Placement().share, ShouldEqual, 0.5)
		So(f.Placement().Owned(), ShouldBeGreaterThan, 0)
		view.Members[1].Started = simEpoch.Add(-time.Hour)
		f.Update(now, view)
		tickUntil(f, now, now.Add(gainDelay))
		So(f.Placement().share, ShouldEqual, 1)
	})
	// Guards against a cap that is lower for long after a planned stop.
	Convey("A member that leaves doesn't lower the cap, one that dies does for 20 s", t, func() {
		f, view, now := runningFleet(4)
		So(f.Placement().share, ShouldEqual, 1)
		view.Members[3].State = Left
		f.Update(now, view)
		So(f.Placement().share, ShouldEqual, 1)
		view.Members[2].State = Dead
		f.Update(now, view)
		So(f.Placement().share, ShouldAlmostEqual, 2.0/3)
		now = tickUntil(f, now, now.Add(knownFor-time.Second))
		So(f.Placement().share, ShouldAlmostEqual, 2.0/3)
		for end := now.Add(2*time.Second + gainDelay); now.Before(end); now = now.Add(tickInterval) {
			if f.Tick(now) {
				f.Update(now, view)
			}
		}
		So(f.Placement().share, ShouldEqual, 1)
	})
	// Guards against two owners that grant at the same time while views differ.
	Convey("A part is lost at once and gained after gainDelay", t, func() {
		f, view, now := runningFleet(2)
		before := f.Placement().Owned()
		So(before, ShouldBeBetween, 10, 54)
		view.Members[1].State = Dead
		f.Update(now, view)
		So(f.Placement().Owned(), ShouldEqual, before)
		now = tickUntil(f, now, now.Add(gainDelay))
		So(f.Placement().Owned(), ShouldEqual, 64)
		view.Members[1].State = Alive
		f.Update(now, view)
		So(f.Placement().Owned(), ShouldEqual, before)
	})
	// Guards against an isolated owner that grants itself what its successor grants.
	Convey("An isolated node grants its own share only", t, func() {
		f, view, now := runningFleet(4)
		view.Isolated = true
		f.Update(now, view)
		So(f.Placement().share, ShouldEqual, 0.25)
		So(f.Placement().regions, ShouldResemble, []string{"north"})
		view.Isolated = false
		f.Update(now.Add(time.Second), view)
		So(f.Placement().share, ShouldEqual, 0.25)
		tickUntil(f, now.Add(time.Second), now.Add(time.Second+gainDelay))
		So(f.Placement().share, ShouldEqual, 1)
	})
	// Guards against a full bucket of an owner that stood still and was replaced.
	Convey("A node that stood still owns its parts anew", t, func() {
		f, _, now := runningFleet(2)
		So(f.Placement().Owned(), ShouldBeGreaterThan, 0)
		_, active := f.Placement().active(0, now.Add(maxTickGap+1))
		So(active, ShouldBeFalse)
		now = now.Add(maxTickGap + tickInterval)
		f.Tick(now)
		So(f.Placement().Owned(), ShouldEqual, 0)
		tickUntil(f, now, now.Add(gainDelay))
		So(f.Placement().Owned(), ShouldBeGreaterThan, 0)
	})
	Convey("Every node computes the same owners", t, func() {
		_, view, _ := runningFleet(5)
		a, b := NewFleet(view.Members[0], 64), NewFleet(view.Members[4], 64)
		a.Update(simEpoch, view)
		b.Update(simEpoch, view)
		So(a.Placement().owners, ShouldResemble, b.Placement().owners)
	})
}

// TestBucket checks the part of an owner.
func TestBucket(t *testing.T) {
	f, _, now := runningFleet(1)
	p := f.Placement()
	limits := NewLimits(DefaultWindow, DefaultOvershoot, DefaultSlack)
	limit := Cap{RatePerS: 10, Burst: 10}
	// Guards against tokens that are taken twice when a reply is lost.
	Convey("A repeated request gets the same grant once", t, func() {
		var b bucket
		id := requestID{"a", 1}
		So(b.grant(now, p, 0, limit, limits, id, 5, 0).tokens, ShouldEqual, 5)
		So(b.grant(now, p, 0, limit, limits, id, 5, 0).tokens, ShouldEqual, 5)
		So(b.level, ShouldAlmostEqual, 13)
		So(b.grant(now, p, 0, limit, limits, requestID{"b", 1}, 50, 0).tokens, ShouldEqual, 13)
		So(b.grant(now.Add(repeatWindow+1), p, 0, limit, limits, id, 1, 0).tokens, ShouldEqual, 1)
		So(len(b.repeats), ShouldEqual, 1)
	})
	// Guards against refused callers that all return at the same time.
	Convey("Refused requests get times one interval apart", t, func() {
		var b bucket
		b.grant(now, p, 0, limit, limits, requestID{}, 100, 0)
		So(b.grant(now, p, 0, limit, limits, requestID{"a", 1}, 1, 0).retryAfter, ShouldAlmostEqual, 200*time.Millisecond, time.Millisecond)
		So(b.grant(now, p, 0, limit, limits, requestID{"a", 2}, 1, 0).retryAfter, ShouldAlmostEqual, 300*time.Millisecond, time.Millisecond)
		for i := range 200 {
			So(b.grant(now, p, 0, limit, limits, requestID{"a", uint64(i)}, 1, 0).retryAfter, ShouldBeLessThanOrEqualTo, maxRetryAfter)
		}
	})
	Convey("The limits fit the bounds", t, func() {
		So(limits, ShouldResemble, Limits{Lifetime: 250 * time.Millisecond, RateFactor: 1, ExtraBurst: 8, FirstTokens: 1})
		strict := NewLimits(time.Second, 0, 0)
		So(strict.RateFactor*(1+strict.Lifetime.Seconds()), ShouldBeLessThanOrEqualTo, 1)
	})
}

package announce

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
)

func newStatement(id string, startedUnixMs int64, sequence uint64) Statement {
	return Statement{
		Server:        &pb.Announcement{Service: "orders", Address: "10.0.0.1:80", Slots: 4, ServerId: id},
		ID:            id,
		StartedUnixMs: startedUnixMs, Sequence: sequence,
	}
}

func TestStatements(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("Statements take effect in the order in which they were made", t, func() {
		var changes []Change
		r := NewReceiver(func(c Change) { changes = append(changes, c) })
		So(r.HandleStatement(now, newStatement("a", 100, 2)), ShouldEqual, VerdictAccepted)
		So(r.HandleStatement(now, newStatement("a", 100, 1)), ShouldEqual, VerdictStale)
		So(r.HandleStatement(now, newStatement("a", 100, 3)), ShouldEqual, VerdictAccepted)
		So(changes, ShouldHaveLength, 1)
		Convey("a server that becomes cold again is heard, though nothing else changes", func() {
			var left []uint32
			r.OnHeartbeat(func(server *pb.Announcement) { left = append(left, server.GetWarmupLeftMs()) })
			cold := newStatement("a", 100, 4)
			cold.Server.WarmupLeftMs = 3000
			So(r.HandleStatement(now, cold), ShouldEqual, VerdictAccepted)
			So(r.HandleStatement(now, cold), ShouldEqual, VerdictStale)
			So(changes, ShouldHaveLength, 1)
			So(left, ShouldResemble, []uint32{3000})
		})
		Convey("a leaving server remains leaving when an older statement arrives late", func() {
			leaving := newStatement("a", 100, 5)
			leaving.Leaving = true
			So(r.HandleStatement(now, leaving), ShouldEqual, VerdictAccepted)
			So(r.HandleStatement(now, newStatement("a", 100, 4)), ShouldEqual, VerdictStale)
			So(changes, ShouldHaveLength, 2)
			So(changes[1].Leaving, ShouldBeTrue)
		})
		Convey("a server that says elsewhere that it is leaving remains so in this start", func() {
			r.SetLeaving("b")
			So(changes, ShouldHaveLength, 1)
			r.SetLeaving("a")
			r.SetLeaving("a")
			So(changes, ShouldHaveLength, 2)
			So(changes[1].Leaving, ShouldBeTrue)
			So(r.HandleStatement(now, newStatement("a", 100, 4)), ShouldEqual, VerdictAccepted)
			So(changes, ShouldHaveLength, 2)
			So(r.HandleStatement(now, newStatement("a", 200, 1)), ShouldEqual, VerdictAccepted)
			So(changes[2].Leaving, ShouldBeFalse)
		})
		Convey("a late heartbeat doesn't bring back a server that is gone", func() {
			So(r.HandleStatement(now, Statement{ID: "a", Gone: true}), ShouldEqual, VerdictAccepted)
			So(r.HandleStatement(now, newStatement("a", 100, 9)), ShouldEqual, VerdictStale)
			So(changes[len(changes)-1].Leaving, ShouldBeTrue)
			Convey("but a later start under the same ID does", func() {
				later := now.Add(time.Second)
				So(r.HandleStatement(later, newStatement("a", later.UnixMilli()-100, 1)), ShouldEqual, VerdictAccepted)
				So(changes[len(changes)-1].Leaving, ShouldBeFalse)
			})
		})
		Convey("a server started later replaces the earlier one, whose statements are stale from then on", func() {
			So(r.HandleStatement(now, newStatement("b", 200, 1)), ShouldEqual, VerdictAccepted)
			So(changes[len(changes)-1].Server.GetServerId(), ShouldEqual, "b")
			So(r.HandleStatement(now, newStatement("a", 100, 8)), ShouldEqual, VerdictStale)
			So(r.HandleStatement(now, Statement{ID: "a", StartedUnixMs: 100, Gone: true}), ShouldEqual, VerdictStale)
			So(changes[len(changes)-1].Server.GetServerId(), ShouldEqual, "b")
		})
		Convey("an invalid statement changes nothing", func() {
			bad := newStatement("c", 300, 1)
			bad.Server.Slots = 0
			So(r.HandleStatement(now, bad), ShouldEqual, VerdictInvalid)
			So(r.HandleStatement(now, newStatement("a", 100, 4)), ShouldEqual, VerdictAccepted)
		})
		Convey("after Forget, the server's next statement counts as a change", func() {
			r.Forget()
			So(changes[len(changes)-1].Server, ShouldBeNil)
			So(r.HandleStatement(now, newStatement("a", 100, 4)), ShouldEqual, VerdictAccepted)
			So(changes[len(changes)-1].Server.GetServerId(), ShouldEqual, "a")
		})
	})
}

// Guards against an outage of a sound server after a single statement of another writer
// that names no start time (RECOVER).
func TestStatementsOfAnotherWriter(t *testing.T) {
	start := time.Unix(1000, 0)
	Convey("Given a server that repeats its statements", t, func() {
		var last Change
		r := NewReceiver(func(c Change) { last = c })
		So(r.HandleStatement(start, newStatement("a", 100, 2)), ShouldEqual, VerdictAccepted)

		Convey("a statement without a start time is invalid and doesn't affect the order", func() {
			for _, id := range []string{"foreign", "a"} {
				So(r.HandleStatement(start, newStatement(id, 0, 9)), ShouldEqual, VerdictInvalid)
			}
			So(last.Server.GetServerId(), ShouldEqual, "a")
			So(r.HandleStatement(start, newStatement("a", 100, 3)), ShouldEqual, VerdictAccepted)
		})
		Convey("it doesn't put a leaving server in use again", func() {
			leaving := newStatement("a", 100, 3)
			leaving.Leaving = true
			So(r.HandleStatement(start, leaving), ShouldEqual, VerdictAccepted)
			So(r.HandleStatement(start, newStatement("a", 0, 9)), ShouldEqual, VerdictInvalid)
			So(last.Leaving, ShouldBeTrue)
		})
		Convey("one with a wrong start time holds no longer than it is repeated", func() {
			So(r.HandleStatement(start, newStatement("foreign", start.UnixMilli()+1000, 1)), ShouldEqual, VerdictAccepted)
			So(r.HandleStatement(start.Add(Lifetime-1), newStatement("a", 100, 3)), ShouldEqual, VerdictStale)
			So(r.HandleStatement(start.Add(Lifetime), newStatement("a", 100, 4)), ShouldEqual, VerdictAccepted)
			So(last.Server.GetServerId(), ShouldEqual, "a")
			So(r.HandleStatement(start.Add(Lifetime), newStatement("a", 100, 4)), ShouldEqual, VerdictStale)
		})
		Convey("one with a sequence number or a start time that is too large holds no longer, either", func() {
			So(r.HandleStatement(start, newStatement("foreign", start.Add(2*maxStartAhead).UnixMilli(), 1)), ShouldEqual, VerdictInvalid)
			So(r.HandleStatement(start, newStatement("a", 100, math.MaxUint64)), ShouldEqual, VerdictAccepted)
			So(r.HandleStatement(start.Add(Lifetime-1), newStatement("a", 100, 3)), ShouldEqual, VerdictStale)
			So(r.HandleStatement(start.Add(Lifetime), newStatement("a", 100, 4)), ShouldEqual, VerdictAccepted)
			So(r.HandleStatement(start.Add(Lifetime), newStatement("a", 100, 5)), ShouldEqual, VerdictAccepted)
		})
		Convey("a late statement of a draining server doesn't end its drain after a silence", func() {
			leaving := newStatement("a", 100, 9)
			leaving.Leaving = true
			So(r.HandleStatement(start, leaving), ShouldEqual, VerdictAccepted)
			r.expire(start.Add(Lifetime))
			So(last.Server, ShouldBeNil)
			So(r.HandleStatement(start.Add(Lifetime), newStatement("a", 100, 8)), ShouldEqual, VerdictAccepted)
			So(last.Leaving, ShouldBeTrue)
		})
		Convey("a deregistration of another server that names no start time has no effect", func() {
			r.HandleStatement(start, Statement{ID: "foreign", Gone: true})
			So(r.HandleStatement(start, newStatement("a", 100, 3)), ShouldEqual, VerdictAccepted)
			So(last.Leaving, ShouldBeFalse)
		})
	})
}

// Guards against requests to a server that deregistered before its first statement arrived,
// which then put it in use (DRAIN).
func TestDeregistrationBeforeFirstStatement(t *testing.T) {
	start := time.Unix(1000, 0)
	bootMs := start.Add(-time.Second).UnixMilli()
	for _, known := range []struct {
		name          string
		startedUnixMs int64
	}{{"with its start time", bootMs}, {"without a start time", 0}} {
		Convey("Given a server that crashed and one that deregistered "+known.name+" before its first statement arrived", t, func() {
			var last Change
			r := NewReceiver(func(c Change) { last = c })
			old := newStatement("old", bootMs-100_000, 7)
			So(r.HandleStatement(start.Add(-2*time.Second), old), ShouldEqual, VerdictAccepted)
			So(r.HandleStatement(start, Statement{ID: "new", StartedUnixMs: known.startedUnixMs, Gone: true}), ShouldEqual, VerdictAccepted)
			Convey("its late statements don't put it in use", func() {
				for sequence := range uint64(3) {
					late := start.Add(time.Duration(sequence) * time.Second)
					So(r.HandleStatement(late, newStatement("new", bootMs, sequence+1)), ShouldEqual, VerdictStale)
				}
				So(last.Server.GetServerId(), ShouldEqual, "old")
				Convey("also after the server before it has expired or was found dead", func() {
					r.Forget()
					So(r.HandleStatement(start.Add(Lifetime+1), newStatement("new", bootMs, 4)), ShouldEqual, VerdictStale)
					So(last.Server, ShouldBeNil)
				})
			})
			Convey("the one before it isn't affected, if it is still there", func() {
				old.Sequence++
				So(r.HandleStatement(start, old), ShouldEqual, VerdictAccepted)
				So(last.Leaving, ShouldBeFalse)
			})
			Convey("a later start is put in use, with the same id or another", func() {
				later := start.Add(4 * time.Second)
				for i, id := range []string{"new", "third"} {
					So(r.HandleStatement(later, newStatement(id, later.UnixMilli()-int64(100-i), 1)), ShouldEqual, VerdictAccepted)
					So(last.Server.GetServerId(), ShouldEqual, id)
					So(last.Leaving, ShouldBeFalse)
				}
			})
		})
	}
	Convey("A start whose id the server before it had counts as deregistered, too", t, func() {
		var last Change
		r := NewReceiver(func(c Change) { last = c })
		So(r.HandleStatement(start.Add(-2*time.Second), newStatement("a", bootMs-100_000, 7)), ShouldEqual, VerdictAccepted)
		So(r.HandleStatement(start, Statement{ID: "a", Gone: true}), ShouldEqual, VerdictAccepted)
		So(r.HandleStatement(start.Add(2*time.Second), newStatement("a", bootMs, 1)), ShouldEqual, VerdictStale)
		So(last.Leaving, ShouldBeTrue)
	})
	Convey("A deregistration without a start time doesn't bind a server that goes on long after it", t, func() {
		var last Change
		r := NewReceiver(func(c Change) { last = c })
		So(r.HandleStatement(start, Statement{ID: "a", Gone: true}), ShouldEqual, VerdictAccepted)
		So(r.HandleStatement(start.Add(maxLateness-1), newStatement("a", bootMs, 9)), ShouldEqual, VerdictStale)
		So(r.HandleStatement(start.Add(maxLateness), newStatement("a", bootMs, 10)), ShouldEqual, VerdictAccepted)
		So(last.Server.GetServerId(), ShouldEqual, "a")
	})
	Convey("A server that says that it leaves after it was found dead for a moment remains so", t, func() {
		var last Change
		r := NewReceiver(func(c Change) { last = c })
		So(r.HandleStatement(start, newStatement("a", bootMs, 1)), ShouldEqual, VerdictAccepted)
		r.Forget()
		r.SetLeaving("a")
		So(r.HandleStatement(start, newStatement("a", bootMs, 2)), ShouldEqual, VerdictAccepted)
		So(last.Leaving, ShouldBeTrue)
	})
	Convey("The record of deregistered servers is bounded", t, func() {
		r := NewReceiver(func(Change) {})
		for i := range 10 * maxEnded {
			r.HandleStatement(start, Statement{ID: fmt.Sprint(i), StartedUnixMs: int64(i%2) * bootMs, Gone: true})
		}
		So(r.ended.starts, ShouldHaveLength, maxEnded)
	})
	Convey("A second deregistration without a start time concerns the starts made before it, too", t, func() {
		r := NewReceiver(func(Change) {})
		for _, at := range []time.Duration{0, 5 * time.Second} {
			So(r.HandleStatement(start.Add(at), Statement{ID: "a", Gone: true}), ShouldEqual, VerdictAccepted)
		}
		second := newStatement("a", start.Add(4*time.Second).UnixMilli(), 1)
		So(r.HandleStatement(start.Add(6*time.Second), second), ShouldEqual, VerdictStale)
	})
}

// Guards against requests to a server whose deregistration was acknowledged by an earlier
// start of the node, and whose late statement puts it in use (DRAIN).
func TestDeparturesAfterRestart(t *testing.T) {
	start := time.Unix(1000, 0)
	bootMs := start.Add(-time.Second).UnixMilli()
	Convey("Given a node that has acknowledged a deregistration", t, func() {
		var recorded []*pb.Departure
		calls := 0
		before := NewReceiver(func(Change) {})
		before.OnDeparture(func(departures []*pb.Departure) { recorded, calls = departures, calls+1 })
		before.HandleStatement(start, newStatement("a", bootMs, 1))
		So(before.HandleStatement(start, Statement{ID: "a", Gone: true}), ShouldEqual, VerdictAccepted)
		So(calls, ShouldEqual, 1)
		Convey("a repeated one isn't recorded again, and the record is bounded", func() {
			before.HandleStatement(start.Add(time.Second), Statement{ID: "a", Gone: true})
			So(calls, ShouldEqual, 1)
			for i := range 3 * maxDepartures {
				before.HandleStatement(start, Statement{ID: fmt.Sprint(i), Gone: true})
			}
			So(recorded, ShouldHaveLength, maxDepartures)
			So(recorded[maxDepartures-1].GetServerId(), ShouldEqual, fmt.Sprint(3*maxDepartures-1))
		})
		Convey("that of a second start under the same id is recorded", func() {
			second := start.Add(time.Minute)
			before.HandleStatement(second, newStatement("a", second.UnixMilli(), 1))
			before.HandleStatement(second.Add(time.Second), Statement{ID: "a", Gone: true})
			So(calls, ShouldEqual, 2)
			after := NewReceiver(func(Change) {})
			after.Restore(second.Add(2*time.Second), recorded)
			So(after.HandleStatement(second.Add(2*time.Second), newStatement("a", second.UnixMilli(), 1)), ShouldEqual, VerdictStale)
		})
		Convey("its next start believes no late statement", func() {
			var last Change
			after := NewReceiver(func(c Change) { last = c })
			late := start.Add(3 * time.Second)
			Convey("that arrives after the record", func() {
				after.Restore(late, recorded)
				So(after.HandleStatement(late, newStatement("a", bootMs, 1)), ShouldEqual, VerdictStale)
				So(last.Server, ShouldBeNil)
			})
			Convey("that arrives before the record", func() {
				So(after.HandleStatement(late, newStatement("a", bootMs, 1)), ShouldEqual, VerdictAccepted)
				after.Restore(late, recorded)
				So(last.Leaving, ShouldBeTrue)
			})
			Convey("but believes those of a later start", func() {
				after.Restore(late, recorded)
				for i, id := range []string{"a", "b"} {
					So(after.HandleStatement(late, newStatement(id, late.UnixMilli()-int64(100-i), 1)), ShouldEqual, VerdictAccepted)
					So(last.Server.GetServerId(), ShouldEqual, id)
					So(last.Leaving, ShouldBeFalse)
				}
			})
		})
	})
}

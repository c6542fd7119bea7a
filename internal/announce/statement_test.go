package announce

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
)

func statement(id string, started int64, sequence uint64) Statement {
	return Statement{
		Server:  &pb.Announcement{Service: "orders", Address: "10.0.0.1:80", Slots: 4, ServerId: id},
		ID:      id,
		Started: started, Sequence: sequence,
	}
}

func TestStatements(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("Statements hold in the order in which they were made", t, func() {
		var changes []Change
		r := NewReceiver(func(c Change) { changes = append(changes, c) })
		So(r.Take(now, statement("a", 100, 2)), ShouldEqual, VerdictTaken)
		So(r.Take(now, statement("a", 100, 1)), ShouldEqual, VerdictStale)
		So(r.Take(now, statement("a", 100, 3)), ShouldEqual, VerdictTaken)
		So(changes, ShouldHaveLength, 1)
		Convey("a server that is leaving stays so when an older statement comes late", func() {
			leaving := statement("a", 100, 5)
			leaving.Leaving = true
			So(r.Take(now, leaving), ShouldEqual, VerdictTaken)
			So(r.Take(now, statement("a", 100, 4)), ShouldEqual, VerdictStale)
			So(changes, ShouldHaveLength, 2)
			So(changes[1].Leaving, ShouldBeTrue)
		})
		Convey("a server that is gone doesn't come back by a late heartbeat", func() {
			So(r.Take(now, Statement{ID: "a", Gone: true}), ShouldEqual, VerdictTaken)
			So(r.Take(now, statement("a", 100, 9)), ShouldEqual, VerdictStale)
			So(changes[len(changes)-1].Leaving, ShouldBeTrue)
			Convey("but by a later start under the same identity", func() {
				So(r.Take(now, statement("a", 200, 1)), ShouldEqual, VerdictTaken)
				So(changes[len(changes)-1].Leaving, ShouldBeFalse)
			})
		})
		Convey("a later start replaces the server, and the earlier one is stale then", func() {
			So(r.Take(now, statement("b", 200, 1)), ShouldEqual, VerdictTaken)
			So(changes[len(changes)-1].Server.GetServerId(), ShouldEqual, "b")
			So(r.Take(now, statement("a", 100, 8)), ShouldEqual, VerdictStale)
			So(r.Take(now, Statement{ID: "a", Started: 100, Gone: true}), ShouldEqual, VerdictStale)
			So(changes[len(changes)-1].Server.GetServerId(), ShouldEqual, "b")
		})
		Convey("one that is invalid changes nothing", func() {
			bad := statement("c", 300, 1)
			bad.Server.Slots = 0
			So(r.Take(now, bad), ShouldEqual, VerdictInvalid)
			So(r.Take(now, statement("a", 100, 4)), ShouldEqual, VerdictTaken)
		})
		Convey("one that was forgotten counts as a change again", func() {
			r.Forget()
			So(changes[len(changes)-1].Server, ShouldBeNil)
			So(r.Take(now, statement("a", 100, 4)), ShouldEqual, VerdictTaken)
			So(changes[len(changes)-1].Server.GetServerId(), ShouldEqual, "a")
		})
	})
}

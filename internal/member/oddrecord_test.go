package member

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
)

// Guards against a node that leaves the fleet for good after one odd record of another
// writer, with a number too large or a port out of range.
func TestOddRecords(t *testing.T) {
	for _, odd := range []struct {
		name   string
		change func(r *pb.MemberRecord)
	}{
		{"the greatest incarnation", func(r *pb.MemberRecord) { r.Member.Incarnation = math.MaxUint64 }},
		{"a very great incarnation", func(r *pb.MemberRecord) { r.Member.Incarnation = math.MaxUint64 - 3 }},
		{"the greatest revision", func(r *pb.MemberRecord) { r.Member.Revision = math.MaxUint64 }},
		{"the greatest number of refutations", func(r *pb.MemberRecord) { r.Refutations, r.Liveness = math.MaxUint32, dead }},
		{"the greatest age", func(r *pb.MemberRecord) { r.AgeMs, r.Liveness = math.MaxUint64, dead }},
		{"a port out of range", func(r *pb.MemberRecord) { r.Member.ControlAddress, r.Member.GateAddress = "a02:99999", "a02:99999" }},
		{"very many slots", func(r *pb.MemberRecord) { r.Member.Slots, r.Member.WarmupMs = math.MaxUint32, math.MaxUint32 }},
	} {
		t.Run(odd.name, func(t *testing.T) {
			inCluster(t, 5, func(c *cluster, nodes []*node) {
				record := ownRecord(nodes[2])
				odd.change(record)
				join, err := proto.Marshal(&pb.JoinRecord{Member: record.Member})
				if err != nil {
					t.Fatal(err)
				}
				Convey("All nodes see the member alive, with its own state, and agree", t, func() {
					for _, n := range nodes {
						sendRecords(n, record)
						(&logFollower{l: n.list}).handleRecord(platformlog.Record{Data: join, Time: time.Now()})
					}
					isAsBefore := func() bool {
						for _, n := range nodes {
							seen := n.list.View().Get("a02")
							if seen.GetSlots() != 10 || seen.GetControlAddress() != "a02:1" {
								return false
							}
						}
						return allSeeStatus(nodes, "a02", alive) && converged(nodes)
					}
					So(await(20*time.Second, isAsBefore), ShouldBeGreaterThanOrEqualTo, 0)
					time.Sleep(30 * time.Second)
					So(isAsBefore(), ShouldBeTrue)
				})
			})
		})
	}
}

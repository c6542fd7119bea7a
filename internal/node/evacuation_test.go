package node

import (
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/logserver"
	"github.com/egretfield/egretfield/internal/standin/memlog"
)

// Guards against an evacuation that doesn't reach the gate and the balancers of a node, or
// that its end doesn't undo: the member list must not hear of it.
func TestEvacuationOnNode(t *testing.T) {
	Convey("A node in an evacuated data centre refuses requests, chooses no server there and stays ready for callers", t, func() {
		log := memlog.New(memlog.Options{})
		server := httptest.NewServer(logserver.New(log))
		defer server.Close()
		n, _, stop := startNode(t, server.URL)
		defer stop()
		waitUntil(t, "readable log", func() bool { return n.follower.Status().GetLogHealthy() })
		applyChange(t, n, log, &pb.ConfigRecord{Change: &pb.ConfigRecord_Publish{Publish: &pb.Publish{Config: &pb.Config{
			Services: []*pb.Service{{Name: "orders"}}, DefaultPreset: "ordinary", Presets: []*pb.Preset{{Name: "ordinary"}},
		}}}})
		announceServer(n.Addresses().Announce)
		question := &pb.OfferQuestion{Service: "orders", DeadlineUs: 1e6}
		endpoints := func() int { return len(endpointsOf(n.follower.Current(), n.members.View(), "orders")) }
		waitUntil(t, "backend server", func() bool { return endpoints() == 1 })
		evacuate := func(dataCentre string, active bool) {
			applyChange(t, n, log, &pb.ConfigRecord{Change: &pb.ConfigRecord_Evacuate{Evacuate: &pb.Evacuate{DataCentre: dataCentre, Evacuate: active}}})
		}
		refuses := func() bool { return n.gate.Offer(t.Context(), question).GetRefused() }
		evacuate("tainan", true)
		So(refuses(), ShouldBeFalse)
		evacuate("taipei", true)
		waitUntil(t, "refusal", refuses)
		So(endpoints(), ShouldEqual, 0)
		So(n.members.Self().GetStatus(), ShouldEqual, pb.MemberStatus_MEMBER_STATUS_ALIVE)
		So(n.drain.wanted(), ShouldBeFalse)
		So(n.acceptsCallers(), ShouldBeTrue)
		evacuate("taipei", false)
		waitUntil(t, "end of the refusals", func() bool { return !refuses() })
		So(endpoints(), ShouldEqual, 1)
	})
}

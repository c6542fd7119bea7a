package node

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/quota"
	"github.com/egretfield/egretfield/internal/standin/logserver"
	"github.com/egretfield/egretfield/internal/standin/memlog"
)

// TestQuota guards against caps of a configuration that don't reach the entry's quota,
// the status and the members' view of the node.
func TestQuota(t *testing.T) {
	Convey("A published cap is enforced, shown in the status and withdrawn again", t, func() {
		log := memlog.New(memlog.Options{})
		server := httptest.NewServer(logserver.New(log))
		defer server.Close()
		n, _, stop := startNode(t, server.URL)
		defer stop()
		waitUntil(t, "readable log", func() bool { return n.follower.Status().GetLogHealthy() })
		publish := func(organisations ...*pb.Organisation) {
			applyChange(t, n, log, &pb.ConfigRecord{Change: &pb.ConfigRecord_Publish{Publish: &pb.Publish{Config: &pb.Config{
				Services: []*pb.Service{{Name: "orders"}}, DefaultPreset: "ordinary",
				Presets: []*pb.Preset{{Name: "ordinary"}}, Organisations: organisations,
			}}}})
		}
		adapter := quotaAdapter{n.quota}
		acquire := func() bool {
			claim := adapter.Begin("acme")
			So(claim, ShouldNotBeNil)
			_, ok := claim.Wait(context.Background(), time.Now().Add(stepTimeout))
			return ok
		}
		publish(&pb.Organisation{Name: "acme", ApiKeys: []string{"k"}, RatePerS: 0.001})
		waitUntil(t, "cap", func() bool { return adapter.Begin("acme") != nil })
		waitUntil(t, "token", acquire)
		waitUntil(t, "refusal", func() bool { return !acquire() })
		uses := (&status{node: n}).Node().GetQuotas()
		So(len(uses), ShouldEqual, 1)
		So(uses[0].GetOrganisation(), ShouldEqual, "acme")
		So(uses[0].GetGranted(), ShouldBeGreaterThan, 0)
		So(uses[0].GetRefused(), ShouldBeGreaterThan, 0)
		So(uses[0].GetOwner(), ShouldBeTrue)
		explained := func(organisation string) []*pb.CapOwner {
			return (&status{node: n}).Explain(&pb.ExplainRequest{Organisation: organisation}).GetCapOwners()
		}
		own := n.members.Self()
		So(explained("acme"), ShouldHaveLength, 1)
		So(explained("acme")[0].GetRegion()+"/"+explained("acme")[0].GetInstance(), ShouldEqual, own.GetRegion()+"/"+own.GetInstance())
		So(explained("none"), ShouldBeEmpty)
		publish(&pb.Organisation{Name: "acme", ApiKeys: []string{"k"}})
		waitUntil(t, "no cap", func() bool { return adapter.Begin("acme") == nil })
	})
	// Guards against a lower cap while members drain before a planned stop.
	Convey("A draining member still counts", t, func() {
		for status, state := range map[pb.MemberStatus]quota.State{
			pb.MemberStatus_MEMBER_STATUS_ALIVE:    quota.Alive,
			pb.MemberStatus_MEMBER_STATUS_DRAINING: quota.Alive,
			pb.MemberStatus_MEMBER_STATUS_SUSPECT:  quota.Suspect,
			pb.MemberStatus_MEMBER_STATUS_DEAD:     quota.Dead,
			pb.MemberStatus_MEMBER_STATUS_LEFT:     quota.Left,
		} {
			So(quotaMember(&pb.Member{Status: status}).State, ShouldEqual, state)
		}
	})
}

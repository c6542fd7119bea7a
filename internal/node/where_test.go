package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/ctl"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/peer"
	"github.com/egretfield/egretfield/internal/standin/fakepeer"
	"github.com/egretfield/egretfield/internal/standin/logserver"
	"github.com/egretfield/egretfield/internal/standin/memlog"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
	"github.com/egretfield/egretfield/internal/wire"
)

// TestWhere guards against a control call that doesn't reach the entry, its gate or the cap,
// or that leaves out servers which get no work.
func TestWhere(t *testing.T) {
	Convey("Given a node with a backend server and a published configuration", t, func() {
		log := memlog.New(memlog.Options{})
		server := httptest.NewServer(logserver.New(log))
		defer server.Close()
		n, _, stop := startNode(t, server.URL)
		defer stop()
		waitUntil(t, "readable log", func() bool { return n.follower.Status().GetLogHealthy() })
		applyChange(t, n, log, &pb.ConfigRecord{Change: &pb.ConfigRecord_Publish{Publish: &pb.Publish{Config: &pb.Config{
			Services: []*pb.Service{{Name: "orders"}}, DefaultPreset: "ordinary",
			Presets:       []*pb.Preset{{Name: "ordinary", Policy: &pb.Policy{Balancer: "earliest_finish"}}},
			Organisations: []*pb.Organisation{{Name: "acme", ApiKeys: []string{"k"}, RatePerS: 7}},
		}}}})
		client, err := peer.NewClient([]byte("0123456789abcdef"), peer.Options{})
		So(err, ShouldBeNil)
		candidates := func() []*pb.WhereCandidate {
			reply := &pb.WhereReply{}
			question := &pb.WhereRequest{Host: "orders", Path: "/", Organisation: "acme"}
			So(client.Call(context.Background(), n.Addresses().Control, ctl.MethodWhere, question, reply), ShouldBeNil)
			So(reply.GetInstance(), ShouldEqual, "orders-taipei")
			So(reply.GetDecision().GetCap().GetRatePerS(), ShouldEqual, 7)
			So(reply.GetDecision().GetDataCentre(), ShouldEqual, "taipei")
			return reply.GetDecision().GetCandidates()
		}
		So(candidates(), ShouldBeEmpty)
		announceServer(n.Addresses().Announce)
		waitUntil(t, "offer of the backend server", func() bool { // an offer may be late
			c := candidates()
			return len(c) == 1 && c[0].GetOffer().GetAtOnce() && c[0].GetReasons()[0] == "chosen: best offer"
		})
		request, err := http.NewRequest(http.MethodGet, "http://"+n.Addresses().Caller+"/x", nil)
		So(err, ShouldBeNil)
		request.Host = "orders"
		request.Header.Set(wire.HeaderRequestID, "r1")
		response, err := http.DefaultClient.Do(request)
		So(err, ShouldBeNil)
		So(response.Body.Close(), ShouldBeNil)
		reply := &pb.WhereReply{}
		So(client.Call(context.Background(), n.Addresses().Control, ctl.MethodWhere, &pb.WhereRequest{RequestId: "r1", Everywhere: true}, reply), ShouldBeNil)
		So(len(reply.GetRecentRequests()), ShouldEqual, 1)
		So(reply.GetRecentRequests()[0].GetStartedUnixMs(), ShouldEqual, n.started.UnixMilli())
		So(reply.GetRecentRequests()[0].GetRecords()[0].GetKind(), ShouldEqual, pb.ErrorKind_ERROR_KIND_UNAUTHENTICATED)
		gone := &pb.Member{Instance: "gone", ControlAddress: "127.0.0.1:1", Status: pb.MemberStatus_MEMBER_STATUS_ALIVE}
		unreachable := func() string {
			return (&status{node: n}).recentRequestsOf(gone, []*pb.Member{gone}, "r1").GetUnreachable()
		}
		So(unreachable(), ShouldNotBeEmpty)
		gone.Status = pb.MemberStatus_MEMBER_STATUS_DEAD
		So(unreachable(), ShouldEqual, "dead, by the member list")
		applyChange(t, n, log, &pb.ConfigRecord{Change: &pb.ConfigRecord_Evacuate{Evacuate: &pb.Evacuate{DataCentre: "taipei", Evacuate: true}}})
		waitUntil(t, "evacuated candidate", func() bool {
			c := candidates()
			return len(c) == 1 && c[0].GetReasons()[0] == "data centre evacuated"
		})
	})
}

// instanceStatus answers questions about requests by a function.
type instanceStatus struct {
	ctl.NodeStatus
	where func(question *pb.WhereRequest) (*pb.WhereReply, error)
}

func (s *instanceStatus) Where(question *pb.WhereRequest) (*pb.WhereReply, error) {
	return s.where(question)
}

// TestWhereElsewhere guards against a question that isn't passed on to the instance that it
// names, goes round, or hangs or is answered wrongly when that instance is gone.
func TestWhereElsewhere(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		Convey("Given a node and one that it knows", t, func() {
			net := fakepeer.New()
			other := &instanceStatus{}
			So(net.At("b").RegisterName(ctl.StatusRPCName, ctl.NewStatusRPC(other)), ShouldBeNil)
			members := []*pb.Member{{Instance: "a", ControlAddress: "a"}, {Instance: "b", ControlAddress: "b"}}
			ask := func(instance string) (*pb.WhereReply, error) {
				ctx, cancel := context.WithTimeout(context.Background(), whereTimeout)
				defer cancel()
				return askInstance(ctx, net.At("a"), members, &pb.WhereRequest{Instance: instance, Host: "h"})
			}
			other.where = func(question *pb.WhereRequest) (*pb.WhereReply, error) {
				So(question.GetInstance(), ShouldBeEmpty)
				return &pb.WhereReply{Instance: "b", Decision: &pb.WhereDecision{Route: question.GetHost()}}, nil
			}
			reply, err := ask("b")
			So(err, ShouldBeNil)
			So(reply.GetDecision().GetRoute(), ShouldEqual, "h")
			other.where = func(*pb.WhereRequest) (*pb.WhereReply, error) { return &pb.WhereReply{Instance: "c"}, nil }
			reply, err = ask("b")
			So(err, ShouldBeNil)
			So(reply.GetUnreachable(), ShouldEqual, "its address belongs to c")
			other.where = func(*pb.WhereRequest) (*pb.WhereReply, error) {
				return nil, errkind.New(pb.ErrorKind_ERROR_KIND_NOT_FOUND, "no organisation")
			}
			_, err = ask("b")
			So(errkind.KindOf(err), ShouldEqual, pb.ErrorKind_ERROR_KIND_NOT_FOUND)
			net.SetPartition(func(string, string) bool { return true })
			start := time.Now()
			reply, err = ask("b")
			So(err, ShouldBeNil)
			So(reply.GetUnreachable(), ShouldNotBeEmpty)
			So(time.Since(start), ShouldBeLessThanOrEqualTo, whereTimeout)
			_, err = ask("nobody")
			So(errkind.KindOf(err), ShouldEqual, pb.ErrorKind_ERROR_KIND_NOT_FOUND)
		})
	})
}

package entry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/entry"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
	"github.com/egretfield/egretfield/internal/wire"
)

// whereConfig has routes with each of the rules that decide about a request.
var whereConfig = &pb.Config{
	Services: []*pb.Service{{Name: "orders"}, {Name: "spare"}, {Name: "unknown"}},
	RequestRoutes: []*pb.RequestRoute{
		{Name: "open", Host: "open", Services: []*pb.WeightedService{{Service: "orders"}}, AuthExempt: true},
		{Name: "south", Host: "south", Services: []*pb.WeightedService{{Service: "orders"}}, AuthExempt: true, AllowedRegions: []string{"south"}},
		{Name: "east", Host: "east", Services: []*pb.WeightedService{{Service: "orders"}}, AuthExempt: true, AllowedRegions: []string{"east"}},
		{Name: "keyed", Host: "keyed", Services: []*pb.WeightedService{{Service: "orders"}}, TimeoutMs: 900, TargetLatencyMs: 300},
		{Name: "nowhere", Host: "nowhere", Services: []*pb.WeightedService{{Service: "orders"}}, AllowedRegions: []string{"south"}},
		{Name: "lost", Host: "lost", Services: []*pb.WeightedService{{Service: "unknown"}}, AuthExempt: true},
		{Name: "split", Host: "split", Services: []*pb.WeightedService{{Service: "orders", Weight: 3}, {Service: "spare", Weight: 1}}, AuthExempt: true},
	},
	RequestRoutesOnly: true,
	Organisations:     []*pb.Organisation{{Name: "acme", ApiKeys: []string{"key"}, Class: pb.Class_CLASS_CRITICAL, AllowedRegions: []string{"north"}}},
}

// whereQuota refuses every request of acme while refusing is set.
type whereQuota struct{ refusing bool }

func (q *whereQuota) Begin(organisation string) entry.QuotaClaim {
	if organisation != "acme" || !q.refusing {
		return nil
	}
	return &fakeClaim{refusedAtOnce: true}
}

func (q *whereQuota) Peek(string) *pb.WhereCap {
	return &pb.WhereCap{Refusing: q.refusing, RetryAfterMs: uint32(fakeRetryAfter.Milliseconds())}
}

// TestWhere guards against a decision that differs from what a request gets next, or that
// records something in the balancer or the offers of requests.
func TestWhere(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		Convey("Given an entry in region north", t, func() {
			served, lastService := "", ""
			b, err := balance.New(balance.EarliestFinish, balance.Options{Region: "north"})
			So(err, ShouldBeNil)
			far := northEndpoint("far")
			far.Region = "south"
			offers := &fixedOffers{offers: map[string]*pb.Offer{}}
			quota := &whereQuota{}
			h := entry.New(entry.Options{
				Instance: "own", Region: "north", Offers: offers, Quota: quota, Local: localGate(func() { served = "own" }),
				BalancerFor: func(service string) balance.Balancer {
					lastService = service
					if service == "unknown" {
						return nil
					}
					return b
				},
			})
			defer h.Close()
			ask := func(host, organisation string) *pb.WhereDecision {
				decision, err := h.Where(context.Background(), &pb.WhereRequest{Host: host, Path: "/x", Organisation: organisation})
				So(err, ShouldBeNil)
				return decision
			}
			// compare asks, then sends the request, and compares the outcomes.
			compare := func(host, organisation string) *pb.WhereDecision {
				decision := ask(host, organisation)
				request := httptest.NewRequest(http.MethodGet, "/x", nil)
				request.Host, served = host, ""
				if organisation != "" {
					request.Header.Set("Authorization", "Bearer key")
				}
				answer := httptest.NewRecorder()
				h.ServeHTTP(answer, request)
				if decision.GetRefusal() == nil {
					So(served, ShouldEqual, decision.GetChosen())
					return decision
				}
				wait, _ := strconv.ParseFloat(answer.Header().Get("Retry-After"), 64)
				So(answer.Header().Get(wire.HeaderError), ShouldEqual, errkind.Of(decision.GetRefusal().GetKind()).Name)
				So(answer.Code, ShouldEqual, decision.GetRefusal().GetStatus())
				if decision.GetRefusal().GetKind() != pb.ErrorKind_ERROR_KIND_OVERLOADED { // its Retry-After is partly random
					So(time.Duration(decision.GetRefusal().GetRetryAfterMs())*time.Millisecond, ShouldEqual, time.Duration(wait*1000)*time.Millisecond)
				}
				return decision
			}
			So(ask("open", "").GetRefusal().GetKind(), ShouldEqual, pb.ErrorKind_ERROR_KIND_NOT_READY)
			h.SetRoutes(entry.NewRoutes(whereConfig, ""))
			b.Update([]*balance.Endpoint{northEndpoint("own"), northEndpoint("other"), far}, &pb.Policy{})
			Convey("a refusal is that of the request", func() {
				for _, name := range []string{"own", "other", "far"} {
					offers.offers[name] = &pb.Offer{Incarnation: 1, Refused: true, WaitUs: 400_000}
				}
				So(compare("missing", "").GetRefusal().GetStatus(), ShouldEqual, http.StatusNotFound)
				So(compare("keyed", "").GetRefusal().GetStatus(), ShouldEqual, http.StatusUnauthorized)
				So(compare("nowhere", "acme").GetRefusal().GetKind(), ShouldEqual, pb.ErrorKind_ERROR_KIND_REGION_NOT_ALLOWED)
				So(compare("east", "").GetRefusal().GetKind(), ShouldEqual, pb.ErrorKind_ERROR_KIND_REGION_NOT_ALLOWED)
				So(compare("lost", "").GetRefusal().GetKind(), ShouldEqual, pb.ErrorKind_ERROR_KIND_NO_SERVER)
				So(compare("open", "").GetRefusal().GetKind(), ShouldEqual, pb.ErrorKind_ERROR_KIND_OVERLOADED)
				quota.refusing = true
				So(compare("keyed", "acme").GetRefusal().GetKind(), ShouldEqual, pb.ErrorKind_ERROR_KIND_OVER_QUOTA)
				_, err := h.Where(context.Background(), &pb.WhereRequest{Host: "keyed", Path: "/", Organisation: "nobody"})
				So(errkind.KindOf(err), ShouldEqual, pb.ErrorKind_ERROR_KIND_NOT_FOUND)
			})
			Convey("the choice is that of the request, without recording", func() {
				offers.offers["own"] = &pb.Offer{Incarnation: 1, WorkUs: 1000}
				offers.offers["other"] = &pb.Offer{Incarnation: 2, WorkUs: 1000}
				facts := b.(balance.Explainer).Facts()
				decision := ask("keyed", "acme")
				So(b.(balance.Explainer).Facts(), ShouldResemble, facts)
				So(decision.GetClass(), ShouldEqual, pb.Class_CLASS_CRITICAL)
				So([]uint32{decision.GetTargetMs(), decision.GetTimeoutMs()}, ShouldResemble, []uint32{300, 900})
				reasons := map[string]string{}
				for _, c := range decision.GetCandidates() {
					reasons[c.GetInstance()] = c.GetReasons()[0]
				}
				So(reasons, ShouldResemble, map[string]string{
					"own": "chosen: best offer", "other": "its offer is of another incarnation of the node", "far": "region not allowed",
				})
				compare("keyed", "acme")
				compare("open", "")
			})
			Convey("only the offer that can't be taken is said not to be", func() {
				b.Update([]*balance.Endpoint{northEndpoint("own"), northEndpoint("other"), far}, &pb.Policy{CrossRegionBytesPerS: 1})
				for _, err := b.Placer().Take(far, balance.PickInfo{}); err == nil; {
					_, err = b.Placer().Take(far, balance.PickInfo{})
				}
				offers.offers["own"] = &pb.Offer{Incarnation: 1, WaitUs: 11_000_000, WorkUs: 1000}
				offers.offers["other"] = &pb.Offer{Incarnation: 1, WaitUs: 12_000_000, WorkUs: 1000}
				offers.offers["far"] = &pb.Offer{Incarnation: 1, WorkUs: 1000, AtOnce: true}
				decision := ask("open", "")
				So(decision.GetByOffers(), ShouldBeFalse)
				reasons := map[string]string{}
				for _, c := range decision.GetCandidates() {
					So(c.GetAsked(), ShouldBeTrue)
					if c.GetInstance() != decision.GetChosen() {
						reasons[c.GetInstance()] = c.GetReasons()[0]
					}
				}
				So(len(reasons), ShouldEqual, 2)
				So(reasons["far"], ShouldStartWith, "can't be taken: ")
				delete(reasons, "far")
				for _, reason := range reasons {
					So(reason, ShouldEqual, "not picked")
				}
			})
			Convey("the service of a split is the next one, however often it is asked", func() {
				offers.offers["own"] = &pb.Offer{Incarnation: 1, WorkUs: 1000}
				offers.offers["other"] = &pb.Offer{Incarnation: 1, Refused: true}
				for range 8 {
					service := ask("split", "").GetService()
					So(compare("split", "").GetService(), ShouldEqual, service)
					So(lastService, ShouldEqual, service)
				}
			})
		})
	})
}

package ctl

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/entry"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/offer"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

// fixedOffers replies with offers by address. Other gates don't reply.
type fixedOffers map[string]*pb.Offer

func (o fixedOffers) Ask(_ context.Context, addresses []string, _ *pb.OfferQuestion, _ offer.WaitLimits) []offer.Reply {
	replies := make([]offer.Reply, len(addresses))
	for i, address := range addresses {
		replies[i] = offer.Reply{Offer: o[address], RoundTrip: time.Millisecond}
	}
	return replies
}

// fixedCap is a quota with one cap, whose use it doesn't track.
type fixedCap struct{}

func (fixedCap) Begin(string) entry.QuotaClaim { return nil }

func (fixedCap) Peek(organisation string) *pb.WhereCap {
	if organisation != "acme" {
		return nil
	}
	return &pb.WhereCap{RatePerS: 46, Burst: 46, Held: 2, OwnsPart: true, PartTokens: 12.5, DemandPerS: 3}
}

// fixedGate answers every request with status 200.
type fixedGate struct{}

func (fixedGate) Do(context.Context, *wire.Call) *wire.Answer {
	return &wire.Answer{Status: http.StatusOK, Header: http.Header{}}
}

// Where implements NodeStatus by an entry with a stand-in for offers. orders-3 is out of
// reach. orders-2 has just started, but has the requests of the entry if it is asked alone.
func (s *testFleet) Where(question *pb.WhereRequest) (*pb.WhereReply, error) {
	const unreachable = "no answer from 10.0.0.9:7003"
	switch {
	case question.GetInstance() == instances[2]:
		return &pb.WhereReply{Instance: instances[2], Unreachable: unreachable}, nil
	case question.GetInstance() != "" && question.GetInstance() != instances[1]:
		return nil, errkind.New(pb.ErrorKind_ERROR_KIND_NOT_FOUND, "the node asked knows no instance %q", question.GetInstance())
	case question.GetRequestId() != "":
		recent := s.entry.RecentRequests(question.GetRequestId())
		recent.Instance, recent.StartedUnixMs = instances[0], 946684800000
		if question.GetInstance() != "" {
			recent.Instance = instances[1]
			return &pb.WhereReply{Instance: instances[1], RecentRequests: []*pb.WhereRecentRequests{recent}}, nil
		}
		return &pb.WhereReply{Instance: instances[0], RecentRequests: []*pb.WhereRecentRequests{
			recent, {Instance: instances[1], StartedUnixMs: 946684800000}, {Instance: instances[2], Unreachable: unreachable},
		}}, nil
	}
	s.startEntry()
	decision, err := s.entry.Where(context.Background(), question)
	return &pb.WhereReply{Instance: instances[0], Decision: decision}, err
}

// startEntry starts the entry that decides about requests.
func (s *testFleet) startEntry() {
	if s.entry != nil {
		return
	}
	balancer, _ := balance.New(balance.EarliestFinish, balance.Options{Region: "north", DataCentre: "taipei", Rand: func() uint64 { return 1 }})
	var endpoints []*balance.Endpoint
	for _, at := range []string{"orders-1 north taipei", "orders-2 north taipei", "orders-3 north tainan", "orders-4 south hualien"} {
		f := strings.Fields(at)
		endpoints = append(endpoints, &balance.Endpoint{Instance: f[0], Incarnation: 1, Region: f[1], DataCentre: f[2], ControlAddress: f[0], Slots: 4})
	}
	balancer.Update(endpoints, &pb.Policy{})
	s.entry = entry.New(entry.Options{
		Instance: "orders-2", Region: "north", Quota: fixedCap{}, Local: fixedGate{},
		BalancerFor: func(string) balance.Balancer { return balancer },
		Offers: fixedOffers{
			"orders-1": {Incarnation: 1, WaitUs: 20_000, WorkUs: 30_000},
			"orders-2": {Incarnation: 1, WaitUs: 5_000, WorkUs: 30_000},
			"orders-3": {Incarnation: 1, Refused: true, Kind: pb.ErrorKind_ERROR_KIND_OVERLOADED, WaitUs: 90_000, WorkUs: 30_000, Cold: true},
		},
	})
	s.entry.SetRoutes(entry.NewRoutesOfState(s.nodes[0].follower.Current()).AtVersion(1))
}

// send sends a request with an id, and an API key unless it is empty, to the entry.
func (s *testFleet) send(id, host, key string) { s.sendTo("/pages?q=1", id, host, key) }

// sendTo is send with the path and query of the request.
func (s *testFleet) sendTo(target, id, host, key string) {
	request := httptest.NewRequest(http.MethodGet, target, nil)
	request.Host = host
	request.Header.Set(wire.HeaderRequestID, id)
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	s.entry.ServeHTTP(httptest.NewRecorder(), request)
}

// TestWhere guards against output that leaves out part of a decision, or shows a key.
func TestWhere(t *testing.T) {
	runSession(t, "where", func(s *testFleet) {
		s.files["keys.yaml"] = strings.Replace(s.files["one.yaml"], "services: [{name: orders}]", `
services: [{name: orders}, {name: next}]
request_routes:
- {name: pages, host: shop.example, path_prefix: /, services: [{service: orders, weight: 1}], idempotent: true, timeout_ms: 1200, target_latency_ms: 800}
- {name: mixed, host: mixed.example, path_prefix: /, services: [{service: orders, weight: 9}, {service: next, weight: 1}], timeout_ms: 500, auth_exempt: true}
organisations:
- {name: acme, api_keys: [secret-1], rate_per_s: 46, burst: 46, allowed_regions: [north]}
- {name: far, api_keys: [secret-2], class: CLASS_CRITICAL, allowed_regions: [east]}`, 1)
		s.run("publish keys.yaml")
		s.run("where -host shop.example -path /pages?q=1 -organisation acme")
		s.run("where -host shop.example -path /pages -organisation acme -o json")
		s.run("where -host shop.example -path /pages")
		s.run("where -host shop.example -path /pages -organisation far")
		s.run("where -host shop.example -path /pages -organisation nobody")
		s.run("where -host mixed.example -path / -method POST")
		s.run("where -host other.example -path / -o json")
		s.run("where -host shop.example -path pages")
		s.run("where -host shop.example")
		s.run("where -host shop.example -path / -node orders-3")
		s.run("where -host shop.example -path / -node orders-3 -o json")
		s.run("where -host shop.example -path / -node orders-9")
		s.run("where -host shop.example -path / -node 10.0.0.9:7003")
		s.run("where -request r1")
		s.send("r1", "shop.example", "secret-1")
		s.run("where -request r9 -node orders-2")
		s.send("r2", "shop.example", "")
		s.send("r2", "mixed.example", "secret-2")
		s.run("where -request r9 -node orders-2")
		s.sendTo("/a%0Aentry%20of%20other%1b%5B2J/", "r3", "shop.example", "secret-1")
		s.run("where -request r1")
		s.run("where -request r2")
		s.run("where -request r3")
		s.run("where -request r1 -o json")
		s.run("where -request r1 -node orders-3")
		s.log.SetFaults(&pb.LogFaults{Down: true}) // the log isn't needed
		s.run("where -request r1 -log http://log")
		s.log.SetFaults(&pb.LogFaults{})
		s.run("where -request r1 -host shop.example -path /")
		s.run("where -request r1 -organisation acme")
		s.run("where -request r1 -method GET")
		if strings.Contains(s.text.String(), "secret") {
			t.Error("a key was shown")
		}
	})
}

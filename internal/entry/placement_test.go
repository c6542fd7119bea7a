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
	"github.com/egretfield/egretfield/internal/offer"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

// fixedOffers replies with fixed offers by address; other addresses don't reply.
type fixedOffers struct {
	offers map[string]*pb.Offer
	asked  []string
}

func (o *fixedOffers) Ask(_ context.Context, addresses []string, _ *pb.OfferQuestion, _ offer.WaitLimits) []offer.Reply {
	replies := make([]offer.Reply, len(addresses))
	for i, address := range addresses {
		o.asked = append(o.asked, address)
		replies[i] = offer.Reply{Offer: o.offers[address], RoundTrip: time.Millisecond}
	}
	return replies
}

// placementResult is the instance that served a request (empty if none did), the
// answer, and the addresses that were asked for offers.
type placementResult struct {
	instance string
	answer   *httptest.ResponseRecorder
	asked    []string
}

// sendWithOffers sends one request through an entry in region north that receives the
// given offers.
func sendWithOffers(offers map[string]*pb.Offer, endpoints ...*balance.Endpoint) placementResult {
	var result placementResult
	b, err := balance.New(balance.EarliestFinish, balance.Options{Region: "north"})
	So(err, ShouldBeNil)
	b.Update(endpoints, &pb.Policy{})
	fixed := &fixedOffers{offers: offers}
	h := entry.New(entry.Options{
		Instance:    "own",
		Region:      "north",
		Local:       localGate(func() { result.instance = "own" }),
		BalancerFor: func(string) balance.Balancer { return b },
		Offers:      fixed,
	})
	defer h.Close()
	h.SetRoutes(entry.NewRoutes(testConfig, ""))
	result.answer = httptest.NewRecorder()
	h.ServeHTTP(result.answer, httptest.NewRequest(http.MethodGet, "/svc/orders/x", nil))
	result.asked = fixed.asked
	return result
}

// localGate is a LocalGate that calls the function and answers with status 200.
type localGate func()

func (g localGate) Do(context.Context, *wire.Call) *wire.Answer {
	g()
	return &wire.Answer{Status: http.StatusOK, Header: http.Header{}}
}

func northEndpoint(instance string) *balance.Endpoint {
	return &balance.Endpoint{Instance: instance, Incarnation: 1, Region: "north", ControlAddress: instance, GateAddress: "127.0.0.1:1", Slots: 4}
}

func TestPlacementByOffers(t *testing.T) {
	southEndpoint := northEndpoint("far")
	southEndpoint.Region = "south"
	Convey("A request is sent to the endpoint with the earliest expected answer", t, func() {
		sent := sendWithOffers(map[string]*pb.Offer{
			"own":   {Incarnation: 1, WaitUs: 1000, WorkUs: 1000},
			"other": {Incarnation: 1, WaitUs: 900_000, WorkUs: 1000},
		}, northEndpoint("own"), northEndpoint("other"))
		So(sent.instance, ShouldEqual, "own")
		So(sent.answer.Code, ShouldEqual, http.StatusOK)
	})
	Convey("Other regions aren't asked while the own region has capacity", t, func() {
		sent := sendWithOffers(map[string]*pb.Offer{"own": {Incarnation: 1, WorkUs: 1000}}, northEndpoint("own"), southEndpoint)
		So(sent.asked, ShouldResemble, []string{"own"})
	})
	Convey("Other regions are asked when the own region would refuse", t, func() {
		sent := sendWithOffers(map[string]*pb.Offer{
			"own": {Incarnation: 1, Refused: true},
			"far": {Incarnation: 1, Refused: true},
		}, northEndpoint("own"), southEndpoint)
		So(sent.asked, ShouldResemble, []string{"own", "far"})
	})
	Convey("A request that every gate would refuse is rejected at once, with the shortest offered wait", t, func() {
		start := time.Now()
		sent := sendWithOffers(map[string]*pb.Offer{
			"own":   {Incarnation: 1, Refused: true, WaitUs: 400_000},
			"other": {Incarnation: 1, Refused: true, WaitUs: 200_000},
		}, northEndpoint("own"), northEndpoint("other"))
		So(sent.instance, ShouldBeEmpty)
		So(sent.answer.Code, ShouldEqual, http.StatusServiceUnavailable)
		wait, err := strconv.ParseFloat(sent.answer.Header().Get("Retry-After"), 64)
		So(err, ShouldBeNil)
		So(wait, ShouldBeBetween, 0.099, 0.301)
		So(time.Since(start), ShouldBeLessThan, time.Second)
	})
	Convey("Two gates are asked first, and the others only if neither would start at once", t, func() {
		var endpoints []*balance.Endpoint
		offers := map[string]*pb.Offer{"own": {Incarnation: 1, WorkUs: 1, AtOnce: true}}
		for _, name := range []string{"own", "a", "b", "c", "d", "e"} {
			endpoints = append(endpoints, northEndpoint(name))
		}
		sent := sendWithOffers(offers, endpoints[:2]...)
		So(sent.instance, ShouldEqual, "own")
		offers["own"].AtOnce = false
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			offers[name] = &pb.Offer{Incarnation: 1, Refused: true}
		}
		So(len(sendWithOffers(offers, endpoints...).asked), ShouldEqual, 5)
		offers["own"].AtOnce = true
		asked := sendWithOffers(offers, endpoints...).asked
		if len(asked) == 2 {
			So(asked, ShouldContain, "own")
		} else {
			So(asked[:2], ShouldNotContain, "own")
			So(len(asked), ShouldEqual, 5)
		}
	})
	Convey("The own region serves when the byte budget for the best offer's region is exhausted", t, func() {
		b, err := balance.New(balance.EarliestFinish, balance.Options{Region: "north"})
		So(err, ShouldBeNil)
		b.Update([]*balance.Endpoint{northEndpoint("own"), southEndpoint}, &pb.Policy{CrossRegionBytesPerS: 1})
		for _, err := b.Placer().Take(southEndpoint, balance.PickInfo{}); err == nil; {
			_, err = b.Placer().Take(southEndpoint, balance.PickInfo{})
		}
		served := false
		h := entry.New(entry.Options{
			Instance: "own", Region: "north", Local: localGate(func() { served = true }),
			BalancerFor: func(string) balance.Balancer { return b },
			Offers: &fixedOffers{offers: map[string]*pb.Offer{
				"own": {Incarnation: 1, Refused: true}, "far": {Incarnation: 1, AtOnce: true},
			}},
		})
		defer h.Close()
		h.SetRoutes(entry.NewRoutes(testConfig, ""))
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/svc/orders/x", nil))
		So(served, ShouldBeTrue)
	})
	Convey("Without any offer the balancer decides from its own data", t, func() {
		So(sendWithOffers(nil, northEndpoint("own")).instance, ShouldEqual, "own")
	})
	Convey("An offer from another incarnation of a gate is ignored", t, func() {
		sent := sendWithOffers(map[string]*pb.Offer{"own": {Incarnation: 7, Refused: true}}, northEndpoint("own"))
		So(sent.instance, ShouldEqual, "own")
	})
}

// TestRequestAtStart guards against failed calls of a backend server that keeps making
// calls while the node next to it restarts.
func TestRequestAtStart(t *testing.T) {
	Convey("Given an entry that hasn't started yet", t, func() {
		b, err := balance.New("", balance.Options{Region: "north"})
		So(err, ShouldBeNil)
		started := make(chan struct{})
		h := entry.New(entry.Options{
			Instance:    "own",
			Region:      "north",
			Local:       localGate(func() {}),
			BalancerFor: func(string) balance.Balancer { return b },
			Started:     started,
		})
		defer h.Close()
		send := func() int {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/svc/orders/x", nil))
			return w.Code
		}

		Convey("a request waits for the start and is served", func() {
			go func() {
				time.Sleep(50 * time.Millisecond)
				b.Update([]*balance.Endpoint{northEndpoint("own")}, &pb.Policy{})
				h.SetRoutes(entry.NewRoutes(testConfig, ""))
				close(started)
			}()
			So(send(), ShouldEqual, http.StatusOK)
		})
		Convey("a request is refused as not run if the start takes too long", func() {
			start := time.Now()
			So(send(), ShouldEqual, http.StatusServiceUnavailable)
			So(time.Since(start), ShouldBeLessThan, time.Second)
		})
	})
}

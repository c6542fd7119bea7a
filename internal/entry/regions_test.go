package entry_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/entry"
	"github.com/egretfield/egretfield/internal/gate"
	"github.com/egretfield/egretfield/internal/offer"
	"github.com/egretfield/egretfield/internal/once"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
	"github.com/egretfield/egretfield/internal/wire"
)

// regionFleet is an entry in region north and a gate with its backend server in each of
// several regions. Gates and endpoints are named after their regions.
type regionFleet struct {
	entry    *entry.Handler
	balancer balance.Balancer
	// ended counts the attempts reported to the balancer.
	ended atomic.Int64
	gates map[string]*gate.Gate
	runs  map[string]*atomic.Int64
	// serve is the work of every backend server.
	serve func(region string)
}

func newRegionFleet(t *testing.T, policy string, adjust func(*entry.Options), regions ...string) *regionFleet {
	f := &regionFleet{gates: map[string]*gate.Gate{}, runs: map[string]*atomic.Int64{}, serve: func(string) {}}
	dials := map[string]wire.DialFunc{}
	var endpoints []*balance.Endpoint
	for _, region := range regions {
		f.runs[region] = &atomic.Int64{}
		g := gate.New(gate.Options{Instance: region, Region: region, Incarnation: 1, ClientOptions: wire.ClientOptions{
			Dial: servePipes(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				f.runs[region].Add(1)
				f.serve(region)
			})),
		}})
		g.SetServer(&gate.Server{Service: "orders", Address: "server", Slots: 1, Connections: 10})
		f.gates[region] = g
		dials[region] = servePipes(t, g)
		endpoints = append(endpoints, &balance.Endpoint{
			Instance: region, Incarnation: 1, Service: "orders", Region: region, DataCentre: region,
			GateAddress: region, ControlAddress: region, Slots: 1,
		})
	}
	b, err := balance.New(policy, balance.Options{Region: "north"})
	So(err, ShouldBeNil)
	b.Update(endpoints, &pb.Policy{CrossRegionBytesPerS: 1})
	f.balancer = b
	counting := countingBalancer{Balancer: b, ended: &f.ended}
	options := entry.Options{
		Region:      "north",
		BalancerFor: func(string) balance.Balancer { return counting },
		ClientOptions: wire.ClientOptions{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			return dials[address](ctx, network, address)
		}},
	}
	if adjust != nil {
		adjust(&options)
	}
	f.entry = entry.New(options)
	t.Cleanup(f.entry.Close)
	return f
}

// countingBalancer counts the attempts reported to it.
type countingBalancer struct {
	balance.Balancer
	ended *atomic.Int64
}

func (b countingBalancer) Done(result balance.Result) {
	b.ended.Add(1)
	b.Balancer.Done(result)
}

// allow puts a configuration in force at the entry that restricts its route to regions.
func (f *regionFleet) allow(version int64, regions ...string) {
	f.entry.SetRoutes(entry.NewRoutes(regionConfig(regions...), "").AtVersion(version))
}

func regionConfig(regions ...string) *pb.Config {
	return &pb.Config{
		Services: []*pb.Service{{Name: "orders"}},
		RequestRoutes: []*pb.RequestRoute{{
			Name: "orders", Host: "a.example", PathPrefix: "/", TimeoutMs: 2000,
			Services: []*pb.WeightedService{{Service: "orders", Weight: 1}}, AllowedRegions: regions,
		}},
	}
}

func (f *regionFleet) send(header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "http://a.example/x", strings.NewReader("order"))
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	f.entry.ServeHTTP(w, r)
	return w
}

// runsIn returns the numbers of requests that ran in each region.
func (f *regionFleet) runsIn() map[string]int64 {
	counts := map[string]int64{}
	for region, runs := range f.runs {
		if n := runs.Load(); n > 0 {
			counts[region] = n
		}
	}
	return counts
}

// askFunc is an entry.Offers.
type askFunc func(addresses []string) []offer.Reply

func (f askFunc) Ask(_ context.Context, addresses []string, _ *pb.OfferQuestion, _ offer.WaitLimits) []offer.Reply {
	return f(addresses)
}

func usesOffers(ask askFunc) func(*entry.Options) {
	return func(o *entry.Options) { o.Offers = ask }
}

// atOnce is the reply of an idle gate.
func atOnce() offer.Reply {
	return offer.Reply{Offer: &pb.Offer{Incarnation: 1, AtOnce: true}, RoundTrip: time.Millisecond}
}

// TestAllowedRegions guards against requests that run outside the allowed regions of their
// route, at the first attempt, when these regions are lost, full or leaving, or by a
// retry, and against a late or wrong refusal.
func TestAllowedRegions(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		Convey("With every way of choosing, requests run in the allowed region only, although the own one is idle", t, func() {
			for _, policy := range balance.Names() {
				f := newRegionFleet(t, policy, nil, "north", "south", "west")
				f.allow(1, "south")
				for range 20 {
					So(f.send().Code, ShouldEqual, http.StatusOK)
				}
				So(f.runsIn(), ShouldResemble, map[string]int64{"south": 20})
			}
		})
		Convey("Gates outside aren't asked for offers, those inside are asked at once, and the deadline is no reason not to", t, func() {
			var asked []string
			f := newRegionFleet(t, balance.EarliestFinish, usesOffers(func(addresses []string) []offer.Reply {
				asked = append(asked, addresses...)
				replies := make([]offer.Reply, len(addresses))
				for i := range replies {
					replies[i] = atOnce()
					replies[i].RoundTrip = time.Second
				}
				return replies
			}), "north", "south", "west")
			f.allow(1, "south")
			for range 3 {
				So(f.send().Code, ShouldEqual, http.StatusOK)
			}
			So(asked, ShouldResemble, []string{"south", "south", "south"})
			So(f.runsIn(), ShouldResemble, map[string]int64{"south": 3})
		})
		Convey("A lost region is refused at once", t, func() {
			f := newRegionFleet(t, balance.Default, nil, "north", "west")
			f.allow(1, "south")
			start := time.Now()
			w := f.send()
			So(time.Since(start), ShouldEqual, 0)
			So(w.Code, ShouldEqual, http.StatusServiceUnavailable)
			So(w.Header().Get("Egret-Error"), ShouldEqual, "region_not_allowed")
			So(w.Header().Get("Egret-Run"), ShouldEqual, "no")
			So(w.Header().Get("Retry-After"), ShouldNotBeEmpty)
			So(f.runsIn(), ShouldBeEmpty)
		})
		Convey("A full region is refused with its own wait, and other regions aren't asked", t, func() {
			var asked []string
			f := newRegionFleet(t, balance.EarliestFinish, usesOffers(func(addresses []string) []offer.Reply {
				asked = append(asked, addresses...)
				replies := make([]offer.Reply, len(addresses))
				for i := range replies {
					replies[i] = offer.Reply{Offer: &pb.Offer{Incarnation: 1, Refused: true, WaitUs: 400_000}}
				}
				return replies
			}), "north", "south", "west")
			f.allow(1, "north")
			w := f.send()
			So(w.Header().Get("Egret-Error"), ShouldEqual, "overloaded")
			wait, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
			So(err, ShouldBeNil)
			So(wait, ShouldBeBetween, 0.19, 0.61)
			So(asked, ShouldResemble, []string{"north"})
			So(f.runsIn(), ShouldBeEmpty)
		})
		Convey("A retry doesn't leave the allowed regions", t, func() {
			f := newRegionFleet(t, balance.Default, nil, "north", "south", "west")
			f.allow(1, "south", "west")
			f.gates["south"].SetDraining(true)
			for range 10 {
				So(f.send().Code, ShouldEqual, http.StatusOK)
			}
			f.gates["west"].SetDraining(true)
			So(f.send().Header().Get("Egret-Error"), ShouldEqual, "draining")
			So(f.runsIn(), ShouldResemble, map[string]int64{"west": 10})
		})
	})
}

// narrowingGuard is a once.Guard that changes the configuration while a request waits for
// its grant.
type narrowingGuard struct {
	*mapGuard
	narrow func()
}

func (g narrowingGuard) Begin(ctx context.Context, key once.Key, fingerprint uint64) (once.Decision, error) {
	g.narrow()
	return g.mapGuard.Begin(ctx, key, fingerprint)
}

// TestNarrowedRegions guards against requests that wait anywhere while a new configuration
// narrows their regions, and then run outside the new ones.
func TestNarrowedRegions(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		Convey("A request that waits for offers is refused", t, func() {
			var f *regionFleet
			f = newRegionFleet(t, balance.EarliestFinish, usesOffers(func(addresses []string) []offer.Reply {
				f.allow(2, "south")
				return []offer.Reply{atOnce()}
			}), "north", "south")
			f.allow(1)
			w := f.send()
			So(w.Header().Get("Egret-Error"), ShouldEqual, "region_not_allowed")
			So(w.Header().Get("Egret-Run"), ShouldEqual, "no")
			So(f.runsIn(), ShouldBeEmpty)
			So(f.ended.Load(), ShouldEqual, 1) // the selected endpoint was released
		})
		Convey("A request that waits for the grant of its key runs in the new regions", t, func() {
			var f *regionFleet
			guard := narrowingGuard{mapGuard: newMapGuard(), narrow: func() { f.allow(2, "south") }}
			f = newRegionFleet(t, balance.Default, func(o *entry.Options) { o.Guard = guard }, "north", "south")
			f.allow(1)
			So(f.send("Idempotency-Key", "k").Code, ShouldEqual, http.StatusOK)
			So(f.runsIn(), ShouldResemble, map[string]int64{"south": 1})
		})
		Convey("A request that waits at a gate is refused there and placed in the new regions", t, func() {
			f := newRegionFleet(t, balance.Default, nil, "north", "south")
			f.allow(1)
			f.serve = func(region string) {
				if region == "north" {
					time.Sleep(50 * time.Millisecond)
				}
			}
			var requests sync.WaitGroup
			statuses := make([]int, 2)
			for i := range statuses {
				requests.Go(func() { statuses[i] = f.send().Code })
				time.Sleep(10 * time.Millisecond)
			}
			So(f.gates["north"].Report().GetQueued(), ShouldEqual, 1)
			f.gates["north"].SetRegionRules(balance.NewRegionRules(regionConfig("south"), 2))
			requests.Wait()
			So(statuses, ShouldResemble, []int{http.StatusOK, http.StatusOK})
			So(f.runsIn(), ShouldResemble, map[string]int64{"north": 1, "south": 1})
		})
		Convey("An entry that doesn't have the configuration yet runs nothing at gates that have it", t, func() {
			f := newRegionFleet(t, balance.Default, nil, "north", "south")
			f.allow(1)
			for _, g := range f.gates {
				g.SetRegionRules(balance.NewRegionRules(regionConfig("south"), 2))
			}
			for range 5 {
				So(f.send().Code, ShouldEqual, http.StatusOK)
			}
			So(f.runsIn(), ShouldResemble, map[string]int64{"south": 5})
			So(f.balancer.(balance.Explainer).Stats().SpilloverActive, ShouldBeFalse)
			f.gates["south"].SetRegionRules(balance.NewRegionRules(regionConfig("west"), 3))
			w := f.send()
			So(w.Header().Get("Egret-Error"), ShouldEqual, "region_not_allowed")
			So(w.Header().Get("Egret-Run"), ShouldEqual, "no")
		})
		Convey("A gate that doesn't have a wider configuration yet refuses nothing", t, func() {
			f := newRegionFleet(t, balance.Default, nil, "north", "south")
			f.allow(2)
			f.gates["north"].SetRegionRules(balance.NewRegionRules(regionConfig("south"), 1))
			So(f.send().Code, ShouldEqual, http.StatusOK)
			So(f.runsIn(), ShouldResemble, map[string]int64{"north": 1})
		})
		Convey("A request whose route is removed while it waits stays restricted", t, func() {
			var f *regionFleet
			guard := narrowingGuard{mapGuard: newMapGuard(), narrow: func() {
				f.entry.SetRoutes(entry.NewRoutes(&pb.Config{Services: []*pb.Service{{Name: "orders"}}}, "").AtVersion(2))
			}}
			f = newRegionFleet(t, balance.Default, func(o *entry.Options) { o.Guard = guard }, "north", "south")
			f.allow(1, "south")
			So(f.send("Idempotency-Key", "k").Code, ShouldEqual, http.StatusOK)
			So(f.runsIn(), ShouldResemble, map[string]int64{"south": 1})
		})
	})
}

// TestStoredAnswerOfRestrictedRequest guards against the body of a response on a keeper
// outside the allowed regions.
func TestStoredAnswerOfRestrictedRequest(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		Convey("The outcome of a restricted request is recorded without its answer", t, func() {
			guard := newMapGuard()
			f := newRegionFleet(t, balance.Default, func(o *entry.Options) { o.Guard = guard }, "north", "south")
			f.allow(1, "south")
			So(f.send("Idempotency-Key", "k").Code, ShouldEqual, http.StatusOK)
			outcome := <-guard.finished
			So(outcome.State, ShouldEqual, pb.RunState_RUN_STATE_YES)
			So(outcome.Answer, ShouldBeNil)
			f.allow(2)
			So(f.send("Idempotency-Key", "k2").Code, ShouldEqual, http.StatusOK)
			So((<-guard.finished).Answer, ShouldNotBeNil)
		})
	})
}

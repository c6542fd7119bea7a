package entry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/entry"
	"github.com/egretfield/egretfield/internal/gate"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
	"github.com/egretfield/egretfield/internal/wire"
)

const (
	faultServers    = 6
	faultSlots      = 10
	stragglerFactor = 10
	faultRequests   = 3000
	faultInterval   = 2 * time.Millisecond // 500 requests per second
	// minuteRequests at minuteInterval take one minute, in which a mean latency that
	// gets no samples decays to nearly zero.
	minuteRequests = 6000
	minuteInterval = 10 * time.Millisecond
	// maxAddedTime is the latency that the load balancer may add at the 99th percentile.
	maxAddedTime = 340 * time.Microsecond
)

// serverFaults describes one run and the fault of its first servers.
type serverFaults struct {
	policy *pb.Policy
	// faultyCount is the number of servers with the fault.
	faultyCount int
	// delay is the time for which the faulty servers are healthy at first.
	delay   time.Duration
	handler http.HandlerFunc
	// oneMinute selects minuteRequests at minuteInterval.
	oneMinute bool
}

type serverFaultsResult struct {
	sent   int
	failed int
	// p99 is the 99th percentile of the latency.
	p99 time.Duration
	// reachedFaulty is the number of requests that reached a faulty server.
	reachedFaulty int64
}

// run sends requests through the production entry and balancer to production gates.
func (f serverFaults) run(t *testing.T) *serverFaultsResult {
	result := &serverFaultsResult{sent: faultRequests}
	interval := faultInterval
	if f.oneMinute {
		result.sent, interval = minuteRequests, minuteInterval
	}
	rng := rand.New(rand.NewPCG(1, 1))
	var rngMu sync.Mutex
	b, err := balance.New(f.policy.GetBalancer(), balance.Options{Region: "north", Rand: func() uint64 {
		rngMu.Lock()
		defer rngMu.Unlock()
		return rng.Uint64()
	}})
	if err != nil {
		t.Fatal(err)
	}
	dials := map[string]wire.DialFunc{}
	start := time.Now()
	var reachedFaulty atomic.Int64
	var endpoints []*balance.Endpoint
	for i := range faultServers {
		name := fmt.Sprint("gate", i)
		g := gate.New(gate.Options{Instance: name, Incarnation: 1, ClientOptions: wire.ClientOptions{
			Dial: servePipes(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if i < f.faultyCount && time.Since(start) >= f.delay {
					reachedFaulty.Add(1)
					f.handler(w, r)
					return
				}
				time.Sleep(serviceTime)
			})),
		}})
		g.SetServer(&gate.Server{Service: "orders", Address: "server", Slots: faultSlots, Connections: 2 * faultSlots})
		dials[name] = servePipes(t, g)
		endpoints = append(endpoints, &balance.Endpoint{
			Instance: name, Incarnation: 1, Region: "north", DataCentre: "taipei", GateAddress: name, Slots: faultSlots,
		})
	}
	b.Update(endpoints, f.policy)
	h := entry.New(entry.Options{
		BalancerFor: func(string) balance.Balancer { return b },
		ClientOptions: wire.ClientOptions{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return dials[addr](ctx, network, addr)
		}},
	})
	h.SetRoutes(entry.NewRoutes(&pb.Config{
		Services: testConfig.Services, Presets: []*pb.Preset{{Name: "ordinary", Policy: f.policy}},
	}, "ordinary"))
	var wg sync.WaitGroup
	var mu sync.Mutex
	var latencies []time.Duration
	for range result.sent {
		wg.Go(func() {
			sent := time.Now()
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/svc/orders/x", nil))
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, time.Since(sent))
			if w.Code != http.StatusOK {
				result.failed++
			}
		})
		time.Sleep(interval)
	}
	wg.Wait()
	h.Close()
	slices.Sort(latencies)
	result.p99 = latencies[len(latencies)*99/100]
	result.reachedFaulty = reachedFaulty.Load()
	t.Logf("%s: %d requests, %d failed, p99 %v, %d reached a faulty server", f.policy.GetBalancer(), result.sent, result.failed, result.p99, result.reachedFaulty)
	return result
}

// respondWith returns a handler that answers with the status at once.
func respondWith(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
}

func TestStraggler(t *testing.T) {
	slow := func(http.ResponseWriter, *http.Request) { time.Sleep(stragglerFactor * serviceTime) }
	for _, delay := range []time.Duration{0, time.Second} {
		var r *serverFaultsResult
		virtualtime.Test(t, func(t *testing.T) {
			r = serverFaults{policy: &pb.Policy{Balancer: balance.Default}, faultyCount: 1, delay: delay, handler: slow}.run(t)
		})
		Convey(fmt.Sprintf("With a straggler from %v on, 99 in 100 calls don't wait for it", delay), t, func() {
			So(r.failed, ShouldEqual, 0)
			So(r.p99, ShouldBeLessThan, serviceTime+maxAddedTime)
		})
	}
}

func TestFastFailure(t *testing.T) {
	// At most one of six servers is ejected; only the error penalty keeps requests from
	// the second faulty one.
	capped := &pb.Policy{Balancer: balance.Default, MaxEjectedPercent: 17}
	cases := []struct {
		name   string
		faults serverFaults
	}{
		{"one faulty server, least in flight", serverFaults{policy: &pb.Policy{Balancer: balance.LeastInFlight}, faultyCount: 1}},
		{"one faulty server, default policy", serverFaults{policy: &pb.Policy{Balancer: balance.Default}, faultyCount: 1}},
		{"two faulty servers, one may be ejected", serverFaults{policy: capped, faultyCount: 2}},
		{"two faulty servers, one may be ejected, one minute", serverFaults{policy: capped, faultyCount: 2, oneMinute: true}},
	}
	for _, c := range cases {
		for _, delay := range []time.Duration{0, time.Second} {
			c.faults.delay, c.faults.handler = delay, respondWith(http.StatusInternalServerError)
			var r *serverFaultsResult
			virtualtime.Test(t, func(t *testing.T) { r = c.faults.run(t) })
			Convey(fmt.Sprintf("With immediate errors from %v on, %s: 99 in 100 calls succeed", delay, c.name), t, func() {
				So(r.failed, ShouldBeLessThanOrEqualTo, r.sent/100)
			})
		}
	}
}

func TestFastFailureRetried(t *testing.T) {
	var r *serverFaultsResult
	virtualtime.Test(t, func(t *testing.T) {
		r = serverFaults{policy: &pb.Policy{Balancer: balance.LeastInFlight}, faultyCount: 1, delay: time.Second,
			handler: respondWith(http.StatusServiceUnavailable)}.run(t)
	})
	Convey("Idempotent requests that get an immediate 503 from a server are answered by another", t, func() {
		So(r.reachedFaulty, ShouldBeGreaterThan, 0)
		So(r.failed, ShouldEqual, 0)
	})
}

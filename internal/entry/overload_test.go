package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/entry"
	"github.com/egretfield/egretfield/internal/gate"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
	"github.com/egretfield/egretfield/internal/wire"
)

const (
	overloadServers = 2
	overloadSlots   = 2
	serviceTime     = 10 * time.Millisecond
	// capacity is the total capacity of the backend servers, in requests per second.
	capacity         = overloadServers * overloadSlots * int(time.Second/serviceTime)
	overloadDuration = 2 * time.Second
)

// rotatingBalancer picks its endpoints in rotation and avoids the one tried last.
type rotatingBalancer struct {
	orderedBalancer
	turn atomic.Int64
}

func (b *rotatingBalancer) Pick(info balance.PickInfo) (*balance.Endpoint, error) {
	n := len(b.endpoints)
	start := int(b.turn.Add(1))
	for i := range n {
		e := b.endpoints[(start+i)%n]
		if len(info.Tried) == 0 || info.Tried[len(info.Tried)-1] != e.Instance {
			return e, nil
		}
	}
	return b.endpoints[start%n], nil
}

func (b *rotatingBalancer) Done(balance.Result) {}

// servePipes serves handler on in-memory pipes and returns a function that dials it.
func servePipes(t *testing.T, handler http.Handler) wire.DialFunc {
	l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	server := wire.NewServer(handler)
	go server.Serve(l)
	t.Cleanup(func() {
		close(l.done)
		server.Close()
	})
	return func(context.Context, string, string) (net.Conn, error) {
		clientEnd, serverEnd := net.Pipe()
		select {
		case l.conns <- serverEnd:
			return clientEnd, nil
		case <-l.done:
			return nil, net.ErrClosed
		}
	}
}

type overloadResult struct {
	offered, succeeded, refused, attempts int
	refusalLatencies                      []time.Duration
	longestQueue                          uint32
}

// overload sends factor times the capacity at even intervals.
func overload(t *testing.T, factor int) *overloadResult {
	result := &overloadResult{}
	var mu sync.Mutex
	dials := map[string]wire.DialFunc{}
	b := &rotatingBalancer{}
	var attempts atomic.Int64
	for i := range overloadServers {
		addr := fmt.Sprint("gate", i)
		g := gate.New(gate.Options{Instance: addr, Incarnation: 1, ClientOptions: wire.ClientOptions{
			Dial: servePipes(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(serviceTime) })),
		}})
		g.SetServer(&gate.Server{Service: "orders", Address: "server", Slots: overloadSlots, Connections: 10})
		dials[addr] = servePipes(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			attempts.Add(1)
			g.ServeHTTP(w, r)
			mu.Lock()
			result.longestQueue = max(result.longestQueue, g.Report().Queued)
			mu.Unlock()
		}))
		b.endpoints = append(b.endpoints, &balance.Endpoint{Instance: addr, Incarnation: 1, GateAddress: addr})
	}
	h := entry.New(entry.Options{
		BalancerFor: func(string) balance.Balancer { return b },
		ClientOptions: wire.ClientOptions{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return dials[addr](ctx, network, addr)
		}},
	})
	h.SetRoutes(entry.NewRoutes(testConfig, ""))
	var wg sync.WaitGroup
	result.offered = factor * capacity * int(overloadDuration/time.Second)
	for range result.offered {
		wg.Go(func() {
			start := time.Now()
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest("GET", "/svc/orders/x", nil))
			mu.Lock()
			defer mu.Unlock()
			switch w.Code {
			case http.StatusOK:
				result.succeeded++
			default:
				result.refused++
				result.refusalLatencies = append(result.refusalLatencies, time.Since(start))
			}
		})
		time.Sleep(time.Second / time.Duration(factor*capacity))
	}
	wg.Wait()
	h.Close()
	result.attempts = int(attempts.Load())
	return result
}

func TestOverload(t *testing.T) {
	results := map[int]*overloadResult{}
	for _, factor := range []int{1, 2, 5} {
		virtualtime.Test(t, func(t *testing.T) { results[factor] = overload(t, factor) })
	}
	base := results[1].succeeded
	for _, factor := range []int{1, 2, 5} {
		r := results[factor]
		t.Logf("offered %d, succeeded %d, refused %d, attempts %d, longest queue %d", r.offered, r.succeeded, r.refused, r.attempts, r.longestQueue)
		Convey(fmt.Sprintf("At %d times the capacity, goodput is maintained, refusals are fast and retries don't multiply the load", factor), t, func() {
			So(r.succeeded, ShouldBeGreaterThanOrEqualTo, base*9/10)
			So(float64(r.attempts), ShouldBeLessThan, 1.2*float64(r.offered))
			So(r.longestQueue, ShouldBeLessThanOrEqualTo, overloadSlots)
			if len(r.refusalLatencies) > 0 {
				sort.Slice(r.refusalLatencies, func(i, j int) bool { return r.refusalLatencies[i] < r.refusalLatencies[j] })
				So(r.refusalLatencies[len(r.refusalLatencies)/2], ShouldBeLessThan, 5*time.Millisecond)
			}
		})
	}
}

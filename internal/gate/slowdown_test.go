package gate

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/admission"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

const loadHeader = "X-Load"

// pastSlowdown is the duration of the test server's past slowdown, by which the gate
// estimates that of the next one.
const pastSlowdown = 5 * time.Millisecond

// variableServer is a backend server that reports how slow its machine is.
type variableServer struct {
	slowness atomic.Uint32
	probes   atomic.Int32
	started  atomic.Int32
}

func (s *variableServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(loadHeader, fmt.Sprintf("0,0,4,%d", s.slowness.Load()))
	if r.URL.Path == "/health" {
		s.probes.Add(1)
		return
	}
	s.started.Add(1)
}

// newVariableGate returns a gate whose server's slowness has just changed, with an
// expected service time of 500 ms.
func newVariableGate(t *testing.T, server *variableServer) *Gate {
	backend := httptest.NewServer(server)
	t.Cleanup(backend.Close)
	headers := wire.DefaultHeaders()
	headers.Load = loadHeader
	g := New(Options{Instance: "i", Incarnation: 1, ClientOptions: wire.ClientOptions{Headers: headers}})
	g.SetHealthPath("/health")
	g.SetServer(&Server{Service: "s", Address: backend.Listener.Addr().String(), Slots: 4, Connections: 10})
	g.limiter.serviceTimes.Add(time.Now(), "", 500*time.Millisecond, 1)
	g.limiter.recordSlowness(400)
	time.Sleep(pastSlowdown)
	g.limiter.recordSlowness(100)
	return g
}

// TestSlowdown simulates a machine that other workloads make four times slower for
// some hundred milliseconds.
func TestSlowdown(t *testing.T) {
	Convey("Given a gate whose server's slowness has changed recently", t, func() {
		server := &variableServer{}
		g := newVariableGate(t, server)

		Convey("a request waits for the end of a slowdown reported by the health endpoint", func() {
			server.slowness.Store(400)
			time.Sleep(2 * maxReportAgeAtStart)
			answered := make(chan *wire.Answer, 1)
			go func() { answered <- g.Do(context.Background(), newTestCall("/")) }()
			time.Sleep(3 * slowdownProbeInterval)
			So(server.probes.Load(), ShouldBeGreaterThan, 0)
			So(server.started.Load(), ShouldEqual, 0)
			server.slowness.Store(100)
			So((<-answered).Status, ShouldEqual, http.StatusOK)
			So(server.started.Load(), ShouldEqual, 1)
		})
		Convey("its offers contain the expected wait and service time", func() {
			server.slowness.Store(100)
			time.Sleep(2 * maxReportAgeForOffer)
			question := &pb.OfferQuestion{Service: "s", TargetUs: 1_000_000, DeadlineUs: 60_000_000}
			free := g.Offer(context.Background(), question)
			So(free.GetRefused(), ShouldBeFalse)
			So(free.GetWaitUs(), ShouldEqual, 0)
			So(free.GetWorkUs(), ShouldEqual, 500_000)
			server.slowness.Store(400)
			time.Sleep(2 * maxReportAgeForOffer)
			So(g.Offer(context.Background(), question).GetWaitUs(), ShouldBeGreaterThanOrEqualTo, pastSlowdown.Microseconds())
			question.Service = "another"
			So(g.Offer(context.Background(), question).GetRefused(), ShouldBeTrue)
		})
		Convey("an offer for a route without a sample names no service time", func() {
			server.slowness.Store(100)
			time.Sleep(2 * maxReportAgeForOffer)
			question := &pb.OfferQuestion{Service: "s", Route: "other", TargetUs: 1_000_000, DeadlineUs: 60_000_000}
			So(g.Offer(context.Background(), question).GetWorkUs(), ShouldEqual, 0)
			g.limiter.serviceTimes.Add(time.Now(), "other", 20*time.Millisecond, 1)
			So(g.Offer(context.Background(), question).GetWorkUs(), ShouldEqual, 20_000)
		})
		Convey("a server that doesn't answer a probe in time isn't probed for a while", func() {
			g.server.Load().prober.timeout = time.Nanosecond
			time.Sleep(2 * maxReportAgeAtStart)
			for range 3 {
				So(g.Do(context.Background(), newTestCall("/")).Status, ShouldEqual, http.StatusOK)
				g.limiter.recordSlowness(100)
				time.Sleep(2 * maxReportAgeAtStart)
			}
			So(g.counters.probes.Load(), ShouldEqual, 0)
			So(g.server.Load().prober.pausedUntil, ShouldHappenAfter, time.Now())
		})
	})
}

func TestStoppingGate(t *testing.T) {
	Convey("A stopping gate accepts requests that end before the stop, and refuses the others as not run", t, func() {
		server := &variableServer{}
		server.slowness.Store(100)
		g := newVariableGate(t, server)
		g.SetStopping(time.Now().Add(10 * time.Second))
		So(g.Do(context.Background(), newTestCall("/")).Status, ShouldEqual, http.StatusOK)
		g.limiter.serviceTimes = admission.ServiceTimes{}
		g.limiter.serviceTimes.Add(time.Now(), "", 8*time.Second, 1)
		refusal := g.Do(context.Background(), newTestCall("/"))
		So(refusal.Kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_DRAINING)
		So(server.started.Load(), ShouldEqual, 1)
	})
}

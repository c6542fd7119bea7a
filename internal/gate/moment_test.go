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

// momentServer is a backend server that tells how slow its machine is.
type momentServer struct {
	slowness atomic.Uint32
	probes   atomic.Int32
	began    atomic.Int32
}

func (s *momentServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(loadHeader, fmt.Sprintf("0,0,4,%d", s.slowness.Load()))
	if r.URL.Path == "/health" {
		s.probes.Add(1)
		return
	}
	s.began.Add(1)
}

// newMomentGate returns a gate that has seen its server's speed change and expects
// its requests to take some time.
func newMomentGate(t *testing.T, server *momentServer) *Gate {
	backend := httptest.NewServer(server)
	t.Cleanup(backend.Close)
	headers := wire.DefaultHeaders()
	headers.Load = loadHeader
	g := New(Options{Instance: "i", Incarnation: 1, Client: wire.ClientOptions{Headers: headers}})
	g.SetHealthPath("/health")
	g.SetServer(&Server{Service: "s", Address: backend.Listener.Addr().String(), Slots: 4, Connections: 10})
	g.limiter.work.Add("", 500*time.Millisecond, 1)
	g.limiter.setSlowness(400)
	g.limiter.setSlowness(100)
	return g
}

// TestSlowMoment replays a machine whose neighbours make it four times slower for
// some hundred milliseconds.
func TestSlowMoment(t *testing.T) {
	Convey("Given a gate whose server's speed varies", t, func() {
		server := &momentServer{}
		g := newMomentGate(t, server)

		Convey("a request waits for the end of a slow moment that the health endpoint tells of", func() {
			server.slowness.Store(400)
			time.Sleep(2 * startAge)
			answered := make(chan *wire.Answer, 1)
			go func() { answered <- g.Do(context.Background(), newTestCall("/")) }()
			time.Sleep(3 * watchPeriod)
			So(server.probes.Load(), ShouldBeGreaterThan, 0)
			So(server.began.Load(), ShouldEqual, 0)
			server.slowness.Store(100)
			So((<-answered).Status, ShouldEqual, http.StatusOK)
			So(server.began.Load(), ShouldEqual, 1)
		})
		Convey("its offers say how long a request waits and takes", func() {
			server.slowness.Store(100)
			time.Sleep(2 * offerAge)
			question := &pb.OfferQuestion{Service: "s", TargetUs: 1_000_000, DeadlineUs: 60_000_000}
			free := g.Offer(context.Background(), question)
			So(free.GetRefused(), ShouldBeFalse)
			So(free.GetWaitUs(), ShouldEqual, 0)
			So(free.GetWorkUs(), ShouldEqual, 500_000)
			server.slowness.Store(400)
			time.Sleep(2 * offerAge)
			So(g.Offer(context.Background(), question).GetWaitUs(), ShouldBeGreaterThan, 0)
			question.Service = "another"
			So(g.Offer(context.Background(), question).GetRefused(), ShouldBeTrue)
		})
		Convey("a server that doesn't answer in time is left alone for a while", func() {
			g.server.Load().health.client.Timeout = time.Nanosecond
			time.Sleep(2 * startAge)
			for range 3 {
				So(g.Do(context.Background(), newTestCall("/")).Status, ShouldEqual, http.StatusOK)
				g.limiter.setSlowness(100)
				time.Sleep(2 * startAge)
			}
			So(g.counts.probes.Load(), ShouldEqual, 0)
			So(g.server.Load().health.quietUntil, ShouldHappenAfter, time.Now())
		})
	})
}

func TestStoppingGate(t *testing.T) {
	Convey("A gate that stops takes what ends before, and refuses the rest as not run", t, func() {
		server := &momentServer{}
		server.slowness.Store(100)
		g := newMomentGate(t, server)
		g.SetStopping(time.Now().Add(10 * time.Second))
		So(g.Do(context.Background(), newTestCall("/")).Status, ShouldEqual, http.StatusOK)
		g.limiter.work = admission.ServiceTimes{}
		g.limiter.work.Add("", 8*time.Second, 1)
		refusal := g.Do(context.Background(), newTestCall("/"))
		So(refusal.Kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_DRAINING)
		So(server.began.Load(), ShouldEqual, 1)
	})
}

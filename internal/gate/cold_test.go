package gate

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/egretfield/egretfield/internal/admission"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/telemetry"
)

// testColdBounds let three requests start at once, and fifteen in a second.
var testColdBounds = admission.ColdBounds{PerSecond: 15, MaxInSecond: 30.5, ColdTime: 3 * time.Second}

// newColdGate returns the gate of a server that may become cold and has no health endpoint.
func newColdGate(handler http.HandlerFunc) (*Gate, *httptest.Server, *observer.ObservedLogs) {
	server := httptest.NewServer(handler)
	core, logs := observer.New(zap.InfoLevel)
	g := New(Options{Instance: "i", Incarnation: 1, Logger: zap.New(core)})
	g.SetColdBounds(testColdBounds)
	time.Sleep(300 * time.Millisecond) // longer than the pause after the starts assumed at first
	g.SetServer(&Server{Service: "s", ID: "a", Address: server.Listener.Addr().String(), Slots: 10, Connections: 20})
	return g, server, logs
}

// Guards against requests that another server answered using up a cold server's rate: on
// an address that was reused nothing would start for a second.
func TestMisdirectedRequestsDontCountAtColdServer(t *testing.T) {
	Convey("Requests that a cold server answers as misdirected don't count", t, func() {
		misdirect := atomic.Bool{}
		misdirect.Store(true)
		g, server, _ := newColdGate(func(w http.ResponseWriter, _ *http.Request) {
			if misdirect.Load() {
				w.WriteHeader(http.StatusMisdirectedRequest)
			}
		})
		defer server.Close()
		for range 40 {
			So(g.Do(context.Background(), newTestCall("/")).ReachedServer, ShouldBeTrue)
		}
		misdirect.Store(false)
		served := 0
		for range 10 {
			if g.Do(context.Background(), newTestCall("/")).Kind == 0 {
				served++
			}
		}
		So(served, ShouldEqual, 3)
		So(g.limiter.coldRefusalCounts(), ShouldResemble, coldRefusals{cold: 7})
	})
}

// Guards against a request that is sent to a cold server once more without counting.
func TestRepeatsCountAtColdServer(t *testing.T) {
	Convey("A request that is sent once more takes an allowance of the cold rate", t, func() {
		g, server, _ := newColdGate(func(http.ResponseWriter, *http.Request) {})
		defer server.Close()
		for range 3 {
			_, ok := g.limiter.takeRepeat()
			So(ok, ShouldBeTrue)
		}
		_, ok := g.limiter.takeRepeat()
		So(ok, ShouldBeFalse)
		So(g.Do(context.Background(), newTestCall("/")).Kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_OVERLOADED)
	})
}

// Guards against a heartbeat whose remaining cold time doesn't reach the gate, and against
// one of another server.
func TestHeartbeatOfColdServer(t *testing.T) {
	Convey("Given a server that is warm by its heartbeat", t, func() {
		g, server, logs := newColdGate(func(http.ResponseWriter, *http.Request) {})
		defer server.Close()
		g.RecordHeartbeat("a", 0)
		So(g.limiter.isCold(), ShouldBeFalse)
		question := &pb.OfferQuestion{Service: "s", TargetUs: 1_000_000, DeadlineUs: 2_000_000}
		for range 4 {
			So(g.Do(context.Background(), newTestCall("/")).Kind, ShouldEqual, 0)
		}
		So(g.Offer(context.Background(), question).GetAtOnce(), ShouldBeTrue)
		Convey("a heartbeat makes it cold, and offers say refused", func() {
			g.RecordHeartbeat("a", 2*time.Second)
			So(g.limiter.isCold(), ShouldBeTrue)
			So(g.Offer(context.Background(), question).GetRefused(), ShouldBeTrue)
			refusal := g.Do(context.Background(), newTestCall("/"))
			So(refusal.Kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_OVERLOADED)
			So(refusal.RetryAfter, ShouldBeGreaterThan, 0)
			lines := logs.FilterMessage("backend server's cold state changed").All()
			So(lines, ShouldHaveLength, 3) // cold until heard from, warm, cold
			So(lines[2].ContextMap()["cold"], ShouldEqual, true)
		})
		Convey("a heartbeat of another server doesn't", func() {
			g.RecordHeartbeat("b", 2*time.Second)
			So(g.limiter.isCold(), ShouldBeFalse)
		})
		Convey("a repeated announcement makes it cold until it has been heard again", func() {
			announced := g.server.Load().Server
			g.SetServer(&announced)
			So(g.limiter.isCold(), ShouldBeTrue)
		})
	})
}

// Guards against alerts that find no metric: the names are those of docs/OPERATORS.md.
func TestColdMetrics(t *testing.T) {
	Convey("The metrics exist for a service with a cold rate only", t, func() {
		metrics, err := telemetry.NewMetrics()
		So(err, ShouldBeNil)
		g := New(Options{Instance: "i", Incarnation: 1, Meter: metrics.Meter()})
		g.SetServer(&Server{Service: "s", Address: "127.0.0.1:1", Slots: 10, Connections: 20})
		read := func() string {
			w := httptest.NewRecorder()
			metrics.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
			return w.Body.String()
		}
		So(read(), ShouldNotContainSubstring, "egretfield_gate_cold")
		g.SetColdBounds(testColdBounds)
		text := read()
		for _, line := range []string{
			"egretfield_gate_cold 1", `egretfield_gate_cold_refusals_total{state="cold"} 0`, `egretfield_gate_cold_refusals_total{state="unknown"} 0`,
			`egretfield_gate_cold_questions_total{result="failed"} 0`, `egretfield_gate_cold_questions_total{result="withheld"} 0`,
		} {
			So(text, ShouldContainSubstring, line)
		}
	})
}

package gate

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/quarantine"
	"github.com/egretfield/egretfield/internal/wire"
)

var attemptNumber atomic.Uint64

func newTestCall(path string) *wire.Call {
	return &wire.Call{
		Meta: wire.Meta{
			Attempt: wire.AttemptID{Origin: 1, Number: attemptNumber.Add(1), Incarnation: 1},
			Service: "s", Idempotent: true, Deadline: time.Now().Add(time.Minute), Fingerprint: 42,
		},
		Method: "GET", URI: path, Host: "s", Header: http.Header{},
	}
}

func newTestGate(table *quarantine.Table, handler http.Handler) (*Gate, *httptest.Server) {
	server := httptest.NewServer(handler)
	g := New(Options{Instance: "i", Incarnation: 1, Quarantine: table, ClientOptions: wire.ClientOptions{SilenceTimeout: 10 * time.Millisecond}})
	g.SetServer(&Server{Service: "s", Address: server.Listener.Addr().String(), Slots: 2, Connections: 3})
	return g, server
}

func TestGate(t *testing.T) {
	Convey("Given a gate in front of a backend server", t, func() {
		ctx := context.Background()
		hold := make(chan struct{})
		entered := make(chan struct{}, 10)
		g, server := newTestGate(nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/hold" {
				entered <- struct{}{}
				<-hold
			}
			_, _ = io.WriteString(w, "ok")
		}))
		defer server.Close()

		Convey("it refuses requests that it can't run", func() {
			call := newTestCall("/")
			call.Service = "other"
			So(g.Do(ctx, call).Kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_NOT_READY)
			call = newTestCall("/")
			call.Deadline = time.Now()
			So(g.Do(ctx, call).Kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_DEADLINE_BEFORE_RUN)
			g.SetServer(nil)
			So(g.Do(ctx, newTestCall("/")).Kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_NOT_READY)
		})
		Convey("a draining gate finishes its requests and is idle then", func() {
			answers := make(chan *wire.Answer, 1)
			go func() { answers <- g.Do(ctx, newTestCall("/hold")) }()
			<-entered
			g.SetDraining(true)
			So(g.Do(ctx, newTestCall("/")).Kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_DRAINING)
			idle := g.Idle()
			So(isClosed(idle), ShouldBeFalse)
			close(hold)
			answer := <-answers
			body, err := io.ReadAll(answer.Body)
			So(err, ShouldBeNil)
			So(string(body), ShouldEqual, "ok")
			So(g.WaitIdle(ctx), ShouldBeNil)
			So(isClosed(idle), ShouldBeTrue)
		})
		Convey("the load report counts the requests that hold a slot", func() {
			answer := g.Do(ctx, newTestCall("/"))
			So(g.Report().InFlight, ShouldEqual, 1)
			_ = answer.Body.Close()
			So(g.Report().InFlight, ShouldEqual, 0)
			So(g.Report().Slots, ShouldEqual, 2)
			So(answer.Load.Incarnation, ShouldEqual, 1)
		})
		Convey("the connection limit holds under cancelled requests", func() {
			for range 20 {
				ctx, cancel := context.WithCancel(ctx)
				go func() {
					<-entered
					cancel()
				}()
				So(g.Do(ctx, newTestCall("/hold")).Kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_CANCELLED)
				So(g.server.Load().client.OpenConns(server.Listener.Addr().String()), ShouldBeLessThanOrEqualTo, 3)
			}
			close(hold)
		})
	})
}

func TestSilentServer(t *testing.T) {
	Convey("An idempotent request on a silent reused connection is repeated on a new one", t, func() {
		var runs atomic.Int64
		abandoned := make(chan struct{})
		g, server := newTestGate(nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if runs.Add(1) == 2 {
				<-r.Context().Done()
				close(abandoned)
				return
			}
			_, _ = io.WriteString(w, "ok")
		}))
		defer server.Close()
		g.minSilence = 20 * time.Millisecond
		for range 2 {
			answer := g.Do(context.Background(), newTestCall("/"))
			So(answer.Kind, ShouldEqual, 0)
			_, _ = io.ReadAll(answer.Body)
		}
		<-abandoned
		So(runs.Load(), ShouldEqual, 3)
	})
}

// A process that ends may close its connections before its listener.
func TestCrashOfServerThatStillAccepts(t *testing.T) {
	Convey("A server that breaks a connection and refuses new ones a moment later is reported as crashed", t, func() {
		down := make(chan struct{}, 1)
		var server *httptest.Server
		server = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			time.AfterFunc(20*time.Millisecond, func() { server.Listener.Close() })
			panic(http.ErrAbortHandler)
		}))
		defer server.Close()
		table := quarantine.New(nil, nil)
		g := New(Options{Instance: "i", Incarnation: 1, Quarantine: table, OnServerDown: func() { down <- struct{}{} }})
		g.SetServer(&Server{Service: "s", Address: server.Listener.Addr().String(), Slots: 2, Connections: 3})
		answer := g.Do(context.Background(), newTestCall("/"))
		So(answer.Kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_SERVER_FAILED)
		So(answer.Crashed, ShouldBeFalse)
		select {
		case <-down:
		case <-time.After(time.Second):
			So("not reported within 1 s", ShouldBeEmpty)
		}
		So(g.counters.crashes.Load(), ShouldEqual, 1)
	})
}

func TestCrash(t *testing.T) {
	Convey("Given a backend server that dies with requests in flight", t, func() {
		table := quarantine.New(nil, nil)
		var server atomic.Pointer[httptest.Server]
		die := func() {
			server.Load().Listener.Close()
			server.Load().CloseClientConnections()
		}
		handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/die" {
				die()
			}
			if r.URL.Path == "/abort" {
				panic(http.ErrAbortHandler)
			}
		})
		start := func() *Gate {
			g, s := newTestGate(table, handler)
			server.Store(s)
			return g
		}
		Convey("the answer is marked as a crash, and a second crash quarantines the request", func() {
			answer := start().Do(context.Background(), newTestCall("/die"))
			So(answer.Kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_SERVER_FAILED)
			So(answer.Crashed, ShouldBeTrue)
			So(table.Refuses(42), ShouldBeFalse)
			g := start()
			g.Do(context.Background(), newTestCall("/die"))
			So(table.Refuses(42), ShouldBeTrue)
			So(g.Do(context.Background(), newTestCall("/")).Kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_QUARANTINED)
		})
		Convey("a handler that aborts a connection is no crash", func() {
			g := start()
			for range 3 {
				answer := g.Do(context.Background(), newTestCall("/abort"))
				So(answer.Kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_SERVER_FAILED)
				So(answer.Crashed, ShouldBeFalse)
			}
			So(table.Refuses(42), ShouldBeFalse)
			server.Load().Close()
		})
		Convey("a broken request counts as a crash once the server's announcement ends", func() {
			for range 2 {
				g := start()
				g.Do(context.Background(), newTestCall("/abort"))
				g.SetServer(nil)
				server.Load().Close()
			}
			So(table.Refuses(42), ShouldBeTrue)
		})
	})
}

// Guards against broken answers of a server that operators can't tell from other failures.
func TestBrokenAnswersAreCounted(t *testing.T) {
	for _, c := range []struct {
		name, raw            string
		malformed, brokenOff int64
	}{
		{"status 000", "HTTP/1.1 000 What\r\nContent-Length: 0\r\n\r\n", 1, 0},
		{"a bad chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 1, 0},
		{"a part of the head", "HTTP/1.1 200 OK\r\nContent-Le", 0, 1},
		{"a part of the body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", 0, 1},
		{"a whole body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", 0, 0},
	} {
		Convey("A server answers with "+c.name, t, func() {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				nc, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				defer nc.Close()
				_, _ = io.WriteString(nc, c.raw)
			}))
			defer server.Close()
			g := New(Options{Instance: "i", Incarnation: 1})
			g.SetServer(&Server{Service: "s", Address: server.Listener.Addr().String(), Slots: 10, Connections: 10})
			if answer := g.Do(context.Background(), newTestCall("/")); answer.Body != nil {
				_, _ = io.Copy(io.Discard, answer.Body) // the counters show whether it is whole
				_ = answer.Body.Close()
			}
			So(g.counters.malformed.Load(), ShouldEqual, c.malformed)
			So(g.counters.brokenOff.Load(), ShouldEqual, c.brokenOff)
		})
	}
}

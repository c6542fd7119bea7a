package backend

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/wire"
)

func TestAnnouncer(t *testing.T) {
	Convey("A server announces itself to its node and withdraws the announcement", t, func() {
		type call struct {
			method string
			body   []byte
		}
		calls := make(chan call, 10)
		node := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			calls <- call{method: r.Method + " " + r.URL.Path, body: body}
		}))
		defer node.Close()
		s := newServer(Options{Service: "orders", Slots: 7, Connections: 9, ColdFor: time.Hour, ReportCold: true})
		announcer := s.NewAnnouncer(strings.TrimPrefix(node.URL, "http://"), "127.0.0.1:1")
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			announcer.Run(ctx, func(error) {})
		}()
		first := <-calls
		stop()
		<-done
		So(first.method, ShouldEqual, "POST /announce")
		announcement := &pb.Announcement{}
		So(protojson.Unmarshal(first.body, announcement), ShouldBeNil)
		So(announcement.GetService(), ShouldEqual, "orders")
		So(announcement.GetAddress(), ShouldEqual, "127.0.0.1:1")
		So(announcement.GetSlots(), ShouldEqual, 7)
		So(announcement.GetConnections(), ShouldEqual, 9)
		So(announcement.GetWarmupLeftMs(), ShouldBeBetween, 3_000_000, 3_600_001)
		So(announcer.Withdraw(t.Context()), ShouldBeNil)
		So((<-calls).method, ShouldEqual, "DELETE /announce")
	})
}

// fakeNode passes every request to one server, or refuses it. It can alter the headers
// of the answers.
type fakeNode struct {
	server      *Server
	alterHeader func(header http.Header)
	requests    []*http.Request
	refuse      bool
}

// ServeHTTP implements http.Handler.
func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.requests = append(n.requests, r)
	if n.refuse {
		w.Header().Set(wire.HeaderError, "overloaded")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	recorder := httptest.NewRecorder()
	n.server.Handler().ServeHTTP(recorder, r)
	for name, values := range recorder.Header() {
		w.Header()[name] = values
	}
	if n.alterHeader != nil {
		n.alterHeader(w.Header())
	}
	w.WriteHeader(recorder.Code)
	_, _ = w.Write(recorder.Body.Bytes())
}

func TestLookups(t *testing.T) {
	Convey("Given a server whose lookups are routed back to it", t, func() {
		node := &fakeNode{}
		listener := httptest.NewServer(node)
		defer listener.Close()
		node.server = newServer(Options{Service: "own", Place: "north/dc-a", CallerAddress: listener.Listener.Addr().String()})
		headers := []string{
			wire.HeaderChain, "3", wire.HeaderChainServices, "a,b",
			wire.HeaderRequestID, "r-1", wire.HeaderDepth, "1", wire.HeaderTimeout, "60000",
		}
		Convey("a chain of three lookups runs once at each level and forwards its headers", func() {
			checkAnswer(call(t.Context(), node.server, "op", nil, headers...), "op", defaultAnswerBytes)
			So(executed(node.server), ShouldResemble, []string{"op", "op/2", "op/1", "op/0"})
			hosts := []string{}
			for _, r := range node.requests {
				hosts = append(hosts, r.Host)
				So(r.Header.Get(wire.HeaderRequestID), ShouldEqual, "r-1")
				So(r.Header.Get(wire.HeaderDepth), ShouldEqual, "1")
				So(r.Header.Get(wire.HeaderPlace), ShouldEqual, "north/dc-a")
				timeout, err := wire.ParseTimeout(r.Header.Get(wire.HeaderTimeout))
				So(err, ShouldBeNil)
				So(timeout, ShouldBeGreaterThan, 0)
			}
			So(hosts, ShouldResemble, []string{"a", "b", "b"})
		})
		Convey("a refused lookup fails the request", func() {
			node.refuse = true
			recorder := call(t.Context(), node.server, "op", nil, headers...)
			So(recorder.Code, ShouldEqual, http.StatusBadGateway)
			So(recorder.Body.String(), ShouldContainSubstring, "overloaded")
		})
		Convey("an answer of another operation, or one that doesn't match its hash, fails the request", func() {
			node.alterHeader = func(header http.Header) { header.Set(wire.HeaderOp, "other") }
			So(call(t.Context(), node.server, "op", nil, headers...).Code, ShouldEqual, http.StatusBadGateway)
			node.alterHeader = func(header http.Header) { header.Set(wire.HeaderHash, "0") }
			So(call(t.Context(), node.server, "op", nil, headers...).Code, ShouldEqual, http.StatusBadGateway)
		})
	})
}

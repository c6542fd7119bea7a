package loadgen

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/wire"
)

// testTimeout is long enough that it never decides an outcome.
const testTimeout = time.Minute

// rawAnswer returns an HTTP answer of operation op. Its hash and its
// Egretload-Length are always those of op-1's 4-byte body.
func rawAnswer(op, body string, length int, headers string) string {
	header := http.Header{}
	wire.Body{Op: "op-1", Size: 4}.SetHeaders(header)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s: 4\r\nContent-Length: %d\r\n%s\r\n%s",
		wire.HeaderOp, op, wire.HeaderHash, header.Get(wire.HeaderHash), wire.HeaderLength, length, headers, body)
}

func rawRefusal(status string, headers string) string {
	return "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n" + headers + "\r\n"
}

// serveRaw answers the requests of each connection with the given answers in
// turn, then closes the connection. It counts the requests.
func serveRaw(t *testing.T, requests *atomic.Int64, answers ...string) Target {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveAnswers(conn, requests, answers)
		}
	}()
	return Target{Address: listener.Addr().String()}
}

func serveAnswers(conn net.Conn, requests *atomic.Int64, answers []string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, answer := range answers {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		requests.Add(1)
		_, _ = io.WriteString(conn, answer)
	}
}

func newBrowse() *Operation {
	return &Operation{ID: "op-1", Kind: KindBrowse, Service: "s", Method: http.MethodGet, Path: "/"}
}

func newOrder() *Operation {
	return newOperation(&pb.Traffic{Kind: "order", Service: "s"}, "op-1")
}

func TestOutcomes(t *testing.T) {
	cases := []struct {
		name, answer string
		outcome      Outcome
	}{
		{"a complete answer", rawAnswer("op-1", "op-1", 4, ""), OutcomeAnswered},
		{"the answer of another operation", rawAnswer("op-2", "op-1", 4, ""), OutcomeWrong},
		{"the body of another operation", rawAnswer("op-1", "op-2", 4, ""), OutcomeWrong},
		{"a short body with a matching Content-Length", rawAnswer("op-1", "op-", 3, ""), OutcomeWrong},
		{"a body shorter than its Content-Length", rawAnswer("op-1", "op-", 4, ""), OutcomeUnknown},
		{"no answer", "", OutcomeUnknown},
		{"nonsense", "nonsense\r\n\r\n", OutcomeUnknown},
		{"a certified refusal", rawRefusal("503 x", "Egret-Run: no\r\nEgret-Error: overloaded\r\n"), OutcomeNotRun},
		{"an unknown outcome", rawRefusal("502 x", "Egret-Run: unknown\r\n"), OutcomeUnknown},
		{"the backend server's own failure", rawRefusal("500 x", ""), OutcomeFailed},
	}
	for _, c := range cases {
		Convey("The caller recognises "+c.name, t, func() {
			requests := &atomic.Int64{}
			caller := NewCaller(testTimeout, 1)
			defer caller.Close()
			result := caller.Do(t.Context(), serveRaw(t, requests, c.answer), newBrowse())
			So(result.Outcome, ShouldEqual, c.outcome)
			So(requests.Load(), ShouldEqual, 1)
		})
	}
	Convey("A request that couldn't connect did not run", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		listener.Close()
		result := NewCaller(testTimeout, 1).Do(t.Context(), Target{Address: listener.Addr().String()}, newOrder())
		So(result.Outcome, ShouldEqual, OutcomeNotRun)
	})
	Convey("The result of a refusal has its request ID and its error kind", t, func() {
		answer := rawRefusal("503 x", "Egret-Run: no\r\nEgret-Error: overloaded\r\nEgret-Request-Id: r-1\r\n")
		result := NewCaller(testTimeout, 1).Do(t.Context(), serveRaw(t, &atomic.Int64{}, answer), newOrder())
		So(result.RequestID, ShouldEqual, "r-1")
		So(result.Reason, ShouldEqual, "overloaded")
	})
}

func TestReusedConnections(t *testing.T) {
	answer := rawAnswer("op-1", "op-1", 4, "")
	Convey("Given a server that closes a reused connection without an answer", t, func() {
		requests := &atomic.Int64{}
		target := serveRaw(t, requests, answer, "")
		caller := NewCaller(testTimeout, 1)
		defer caller.Close()
		So(caller.Do(t.Context(), target, newBrowse()).Outcome, ShouldEqual, OutcomeAnswered)
		Convey("a browse is sent again over a new connection", func() {
			So(caller.Do(t.Context(), target, newBrowse()).Outcome, ShouldEqual, OutcomeAnswered)
			So(requests.Load(), ShouldEqual, 3)
			So(caller.reconnects.Load(), ShouldEqual, 1)
		})
		Convey("an order with a key is not sent again: its outcome is unknown", func() {
			So(caller.Do(t.Context(), target, newOrder()).Outcome, ShouldEqual, OutcomeUnknown)
			So(requests.Load(), ShouldEqual, 2)
		})
	})
	Convey("A connection is reused unless the server announces that it closes it", t, func() {
		caller := NewCaller(testTimeout, 1)
		defer caller.Close()
		keeping := serveRaw(t, &atomic.Int64{}, answer, answer)
		closing := serveRaw(t, &atomic.Int64{}, rawAnswer("op-1", "op-1", 4, "Connection: close\r\n"), answer)
		for range 2 {
			So(caller.Do(t.Context(), keeping, newOrder()).Outcome, ShouldEqual, OutcomeAnswered)
		}
		So(caller.dialled.Load(), ShouldEqual, 1)
		for range 2 {
			So(caller.Do(t.Context(), closing, newOrder()).Outcome, ShouldEqual, OutcomeAnswered)
		}
		So(caller.dialled.Load(), ShouldEqual, 3)
	})
}

func TestIdleConnections(t *testing.T) {
	Convey("An idle connection that the peer has closed is not reused", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer listener.Close()
		p := &pool{address: listener.Addr().String(), dialled: &atomic.Uint64{}}
		defer p.close()
		first, err := p.get(t.Context())
		So(err, ShouldBeNil)
		p.put(first)
		second, err := p.get(t.Context())
		So(err, ShouldBeNil)
		So(second == first, ShouldBeTrue)
		peer, err := listener.Accept()
		So(err, ShouldBeNil)
		peer.Close()
		_, err = first.reader.Peek(1)
		So(err, ShouldEqual, io.EOF)
		p.put(first)
		third, err := p.get(t.Context())
		So(err, ShouldBeNil)
		defer third.Close()
		So(third == first, ShouldBeFalse)
		So(p.dialled.Load(), ShouldEqual, 2)
	})
}

// refuseEarly refuses each request as soon as its headers have arrived, and
// doesn't read its body.
func refuseEarly(t *testing.T) Target {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, rawRefusal("503 x", "Egret-Run: no\r\n"))
			}
		}
	}()
	return Target{Address: listener.Addr().String()}
}

func TestUploads(t *testing.T) {
	Convey("A refusal that is sent before the end of an upload is received", t, func() {
		target := refuseEarly(t)
		o := newOperation(&pb.Traffic{Kind: "upload", Service: "s", BodyBytes: 64 << 20}, "op-1")
		result := NewCaller(testTimeout, 1).Do(t.Context(), target, o)
		So(result.Outcome, ShouldEqual, OutcomeNotRun)
	})
	Convey("A caller that times out closes its connection", t, func() {
		closed := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			close(closed)
		}))
		defer server.Close()
		result := NewCaller(50*time.Millisecond, 1).Do(t.Context(), Target{Address: server.Listener.Addr().String()}, newBrowse())
		So(result.Outcome, ShouldEqual, OutcomeUnknown)
		So(result.Reason, ShouldEqual, "no answer: timeout")
		<-closed
	})
}

// TestResendToClosedPort guards against reporting a request as not run because
// only its resend could not connect. It happens when a node is killed while it
// has a request on a reused connection (seed 2 of the soak test).
func TestResendToClosedPort(t *testing.T) {
	Convey("A request that may have run isn't reported as not run when its resend can't connect", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		go func() {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(connection)
			_, _ = http.ReadRequest(reader)
			_, _ = io.WriteString(connection, rawAnswer("op-1", "op-1", 4, ""))
			_, _ = http.ReadRequest(reader)
			listener.Close()
			connection.Close()
		}()
		caller := NewCaller(testTimeout, 1)
		defer caller.Close()
		target := Target{Address: listener.Addr().String()}
		So(caller.Do(t.Context(), target, newBrowse()).Outcome, ShouldNotEqual, OutcomeNotRun)
		So(caller.Do(t.Context(), target, newBrowse()).Outcome, ShouldEqual, OutcomeUnknown)
	})
}

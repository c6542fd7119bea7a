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

// testTimeout is long enough never to decide a verdict.
const testTimeout = time.Minute

// answerTo returns a raw answer with its headers.
func answerTo(op, body string, length int, headers string) string {
	header := http.Header{}
	wire.Body{Op: "op-1", Size: 4}.Describe(header)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s: 4\r\nContent-Length: %d\r\n%s\r\n%s",
		wire.HeaderOp, op, wire.HeaderHash, header.Get(wire.HeaderHash), wire.HeaderLength, length, headers, body)
}

func refusalWith(status string, headers string) string {
	return "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n" + headers + "\r\n"
}

// serveRaw answers the requests of each connection with the raw answers in
// turn, then closes it. It counts requests.
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
			go answerAll(conn, requests, answers)
		}
	}()
	return Target{Address: listener.Addr().String()}
}

func answerAll(conn net.Conn, requests *atomic.Int64, answers []string) {
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

func browse() *Operation {
	return &Operation{ID: "op-1", Kind: KindBrowse, Service: "s", Method: http.MethodGet, Path: "/"}
}

func order() *Operation {
	return newOperation(&pb.Traffic{Kind: "order", Service: "s"}, "op-1")
}

func TestTold(t *testing.T) {
	cases := []struct {
		name, answer string
		told         Told
	}{
		{"a whole answer", answerTo("op-1", "op-1", 4, ""), ToldAnswer},
		{"another's answer", answerTo("op-2", "op-1", 4, ""), ToldWrong},
		{"another's body", answerTo("op-1", "op-2", 4, ""), ToldWrong},
		{"a short answer that looks whole", answerTo("op-1", "op-", 3, ""), ToldWrong},
		{"an answer that is visibly cut", answerTo("op-1", "op-", 4, ""), ToldUnknown},
		{"no answer", "", ToldUnknown},
		{"nonsense", "nonsense\r\n\r\n", ToldUnknown},
		{"a certified refusal", refusalWith("503 x", "Egret-Run: no\r\nEgret-Error: overloaded\r\n"), ToldNotRun},
		{"an unknown outcome", refusalWith("502 x", "Egret-Run: unknown\r\n"), ToldUnknown},
		{"the backend server's own failure", refusalWith("500 x", ""), ToldFailure},
	}
	for _, c := range cases {
		Convey("The caller is told apart "+c.name, t, func() {
			requests := &atomic.Int64{}
			caller := NewCaller(testTimeout)
			defer caller.Close()
			result := caller.Do(t.Context(), serveRaw(t, requests, c.answer), browse())
			So(result.Told, ShouldEqual, c.told)
			So(requests.Load(), ShouldEqual, 1)
		})
	}
	Convey("What reached nobody did not run", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		listener.Close()
		result := NewCaller(testTimeout).Do(t.Context(), Target{Address: listener.Addr().String()}, order())
		So(result.Told, ShouldEqual, ToldNotRun)
	})
	Convey("A refusal names its request and its kind", t, func() {
		answer := refusalWith("503 x", "Egret-Run: no\r\nEgret-Error: overloaded\r\nEgret-Request-Id: r-1\r\n")
		result := NewCaller(testTimeout).Do(t.Context(), serveRaw(t, &atomic.Int64{}, answer), order())
		So(result.RequestID, ShouldEqual, "r-1")
		So(result.Reason, ShouldEqual, "overloaded")
	})
}

func TestReusedConnections(t *testing.T) {
	whole := answerTo("op-1", "op-1", 4, "")
	Convey("Given a peer that breaks a reused connection without an answer", t, func() {
		requests := &atomic.Int64{}
		target := serveRaw(t, requests, whole, "")
		caller := NewCaller(testTimeout)
		defer caller.Close()
		So(caller.Do(t.Context(), target, browse()).Told, ShouldEqual, ToldAnswer)
		Convey("a browse is sent again over a new one", func() {
			So(caller.Do(t.Context(), target, browse()).Told, ShouldEqual, ToldAnswer)
			So(requests.Load(), ShouldEqual, 3)
			So(caller.reconnects.Load(), ShouldEqual, 1)
		})
		Convey("an order with a key is not: its outcome is unknown", func() {
			So(caller.Do(t.Context(), target, order()).Told, ShouldEqual, ToldUnknown)
			So(requests.Load(), ShouldEqual, 2)
		})
	})
	Convey("A connection is kept, unless the peer says that it closes it", t, func() {
		caller := NewCaller(testTimeout)
		defer caller.Close()
		keeping := serveRaw(t, &atomic.Int64{}, whole, whole)
		closing := serveRaw(t, &atomic.Int64{}, answerTo("op-1", "op-1", 4, "Connection: close\r\n"), whole)
		for range 2 {
			So(caller.Do(t.Context(), keeping, order()).Told, ShouldEqual, ToldAnswer)
		}
		So(caller.dialled.Load(), ShouldEqual, 1)
		for range 2 {
			So(caller.Do(t.Context(), closing, order()).Told, ShouldEqual, ToldAnswer)
		}
		So(caller.dialled.Load(), ShouldEqual, 3)
	})
}

func TestIdleConnections(t *testing.T) {
	Convey("An idle connection that the peer closed is passed over", t, func() {
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

// refuseEarly answers each request as soon as its headers are there, and reads
// nothing more of it.
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
				_, _ = io.WriteString(conn, refusalWith("503 x", "Egret-Run: no\r\n"))
			}
		}
	}()
	return Target{Address: listener.Addr().String()}
}

func TestUploads(t *testing.T) {
	Convey("A refusal that comes before the end of an upload is heard", t, func() {
		target := refuseEarly(t)
		o := newOperation(&pb.Traffic{Kind: "upload", Service: "s", BodyBytes: 64 << 20}, "op-1")
		result := NewCaller(testTimeout).Do(t.Context(), target, o)
		So(result.Told, ShouldEqual, ToldNotRun)
	})
	Convey("A caller that gives up closes its connection", t, func() {
		gone := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			close(gone)
		}))
		defer server.Close()
		result := NewCaller(50*time.Millisecond).Do(t.Context(), Target{Address: server.Listener.Addr().String()}, browse())
		So(result.Told, ShouldEqual, ToldUnknown)
		So(result.Reason, ShouldEqual, "no answer: timeout")
		<-gone
	})
}

// TestResentToNobody replays seed 2 of the soak: a node is killed while it has the
// request of a kept connection, and its port is closed when the request is sent again.
func TestResentToNobody(t *testing.T) {
	Convey("A request that may have run isn't certified by the second sending that reaches nobody", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		go func() {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(connection)
			_, _ = http.ReadRequest(reader)
			_, _ = io.WriteString(connection, answerTo("op-1", "op-1", 4, ""))
			_, _ = http.ReadRequest(reader)
			listener.Close()
			connection.Close()
		}()
		caller := NewCaller(testTimeout)
		defer caller.Close()
		target := Target{Address: listener.Addr().String()}
		So(caller.Do(t.Context(), target, browse()).Told, ShouldNotEqual, ToldNotRun)
		So(caller.Do(t.Context(), target, browse()).Told, ShouldEqual, ToldUnknown)
	})
}

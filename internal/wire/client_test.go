package wire

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/standin/virtualtime"
)

func testCall() *Call {
	return &Call{
		Meta:   Meta{RequestID: "r", Service: "s", Deadline: time.Now().Add(time.Minute)},
		Method: "GET", URI: "/", Host: "h", Header: http.Header{},
	}
}

// rawPeer accepts connections, sends the same bytes on each of them and closes it.
func rawPeer(answer string) (addr string, closeListener func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = nc.Read(make([]byte, 4096))
			_, _ = io.WriteString(nc, answer)
			nc.Close()
		}
	}()
	return l.Addr().String(), func() { l.Close() }
}

func TestClient(t *testing.T) {
	ctx := context.Background()
	Convey("Given a peer that can close idle connections", t, func() {
		var conns atomic.Int64
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "ok")
		}))
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				conns.Add(1)
			}
		}
		server.Start()
		defer server.Close()
		addr := server.Listener.Addr().String()
		c := NewClient(ClientOptions{})
		wait := func(context.Context, time.Duration, bool) Verdict { return VerdictWait }
		get := func() {
			answer, err := c.Do(ctx, SendParams{Addr: addr, Call: testCall(), Check: wait})
			So(err, ShouldBeNil)
			body, err := io.ReadAll(answer.Body)
			So(err, ShouldBeNil)
			So(string(body), ShouldEqual, "ok")
		}
		Convey("an idle connection is reused", func() {
			get()
			get()
			So(conns.Load(), ShouldEqual, 1)
		})
		Convey("an idle connection is reused after the wait for its last answer would have ended", func() {
			c = NewClient(ClientOptions{SilenceTimeout: time.Millisecond})
			get()
			time.Sleep(maxSilenceFactor * 10 * time.Millisecond)
			get()
			So(conns.Load(), ShouldEqual, 1)
		})
		Convey("an idle connection that the peer has closed isn't reused", func() {
			get()
			server.CloseClientConnections()
			So(c.AllIdleClosed(addr), ShouldBeTrue)
			get()
			So(conns.Load(), ShouldEqual, 2)
		})
		Convey("a retired connection isn't reused", func() {
			get()
			c.Retire(addr)
			So(c.OpenConns(addr), ShouldEqual, 0)
			get()
			So(conns.Load(), ShouldEqual, 2)
		})
		Convey("closing a body before its end closes the connection", func() {
			answer, err := c.Do(ctx, SendParams{Addr: addr, Call: testCall()})
			So(err, ShouldBeNil)
			_ = answer.Body.Close()
			So(c.OpenConns(addr), ShouldEqual, 0)
		})
	})
	Convey("The connection limit is exact, and idle connections are closed to make room", t, func() {
		release := make(chan struct{})
		received := make(chan struct{}, 1)
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			received <- struct{}{}
			<-release
		}))
		defer server.Close()
		addr := server.Listener.Addr().String()
		c := NewClient(ClientOptions{MaxConns: 1})
		first := make(chan error, 1)
		go func() {
			_, err := c.Do(ctx, SendParams{Addr: addr, Call: testCall()})
			first <- err
		}()
		<-received
		_, err := c.Do(ctx, SendParams{Addr: addr, Call: testCall()})
		var sendErr *SendError
		So(errors.As(err, &sendErr), ShouldBeTrue)
		So(sendErr.Sent, ShouldBeFalse)
		So(errors.Is(err, ErrTooManyConns), ShouldBeTrue)
		close(release)
		So(<-first, ShouldBeNil)
		_, err = c.Do(ctx, SendParams{Addr: addr, Call: testCall(), RequireNewConn: true})
		So(err, ShouldBeNil)
		So(c.OpenConns(addr), ShouldEqual, 1)
	})
	Convey("A request to an unreachable peer is reported as not sent", t, func() {
		_, err := NewClient(ClientOptions{}).Do(ctx, SendParams{Addr: "127.0.0.1:1", Call: testCall()})
		var sendErr *SendError
		So(errors.As(err, &sendErr), ShouldBeTrue)
		So(sendErr.Sent, ShouldBeFalse)
	})
	Convey("Malformed and endless answers are errors, and the request is reported as sent", t, func() {
		for _, answer := range []string{
			"", "garbage\r\n\r\n", "HTTP/1.1 200 OK\r\nX: ",
			"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*DefaultMaxHeaderBytes) + "\r\n\r\n",
			"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx",
			strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 2*maxInterimAnswers) + "HTTP/1.1 200 OK\r\n\r\n",
		} {
			addr, closeListener := rawPeer(answer)
			c := NewClient(ClientOptions{})
			_, err := c.Do(ctx, SendParams{Addr: addr, Call: testCall()})
			var sendErr *SendError
			So(errors.As(err, &sendErr), ShouldBeTrue)
			So(sendErr.Sent, ShouldBeTrue)
			So(c.OpenConns(addr), ShouldEqual, 0)
			closeListener()
		}
	})
	Convey("Truncated bodies are errors", t, func() {
		for _, answer := range []string{
			"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		} {
			addr, closeListener := rawPeer(answer)
			got, err := NewClient(ClientOptions{}).Do(ctx, SendParams{Addr: addr, Call: testCall()})
			So(err, ShouldBeNil)
			_, err = io.ReadAll(got.Body)
			So(err, ShouldNotBeNil)
			closeListener()
		}
	})
	Convey("An answer to another attempt is refused and counted", t, func() {
		addr, closeListener := rawPeer("HTTP/1.1 200 OK\r\nEgret-Attempt: 9-9-9\r\nContent-Length: 2\r\n\r\nno")
		defer closeListener()
		c := NewClient(ClientOptions{BetweenNodes: true})
		_, err := c.Do(ctx, SendParams{Addr: addr, Call: testCall()})
		So(err, ShouldNotBeNil)
		So(c.Mismatches(), ShouldEqual, 1)
	})
}

// dialPipes returns a DialFunc that opens pipes. Their server ends are passed to serve.
func dialPipes(serve func(net.Conn)) DialFunc {
	return func(context.Context, string, string) (net.Conn, error) {
		clientEnd, serverEnd := net.Pipe()
		go serve(serverEnd)
		return clientEnd, nil
	}
}

func discardInput(nc net.Conn) { _, _ = io.Copy(io.Discard, nc) }

func TestClientTimes(t *testing.T) {
	var checks []time.Duration
	var brokenAfter, deadlineAfter, stalledAfter time.Duration
	var openBefore, openAfter, dialed, dialsAfterExpiry, openToB int
	virtualtime.Test(t, func(t *testing.T) {
		c := NewClient(ClientOptions{Dial: dialPipes(func(nc net.Conn) {
			_, _ = nc.Read(make([]byte, 4096))
			time.Sleep(time.Millisecond)
			_, _ = io.WriteString(nc, "HTTP/1.1 204 No Content\r\n\r\n")
			discardInput(nc)
		})})
		var warmUp sync.WaitGroup
		for range 2 {
			warmUp.Go(func() { _, _ = c.Do(t.Context(), SendParams{Addr: "a", Call: testCall()}) })
		}
		warmUp.Wait()
		openBefore = c.OpenConns("a")
		start := time.Now()
		_, err := c.Do(t.Context(), SendParams{Addr: "a", Call: testCall(), Check: func(_ context.Context, elapsed time.Duration, _ bool) Verdict {
			checks = append(checks, elapsed)
			if len(checks) < 5 {
				return VerdictWait
			}
			return VerdictBroken
		}})
		var sendErr *SendError
		if errors.As(err, &sendErr) && sendErr.Silent {
			brokenAfter = time.Since(start)
		}
		openAfter = c.OpenConns("a")
		start = time.Now()
		silent := NewClient(ClientOptions{Dial: dialPipes(discardInput)})
		_, _ = silent.Do(t.Context(), SendParams{Addr: "a", Call: testCall()})
		deadlineAfter = time.Since(start)
	})
	virtualtime.Test(t, func(t *testing.T) {
		c := NewClient(ClientOptions{Dial: dialPipes(func(nc net.Conn) {
			_, _ = nc.Read(make([]byte, 4096))
			_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nstal")
			discardInput(nc)
		})})
		answer, err := c.Do(t.Context(), SendParams{Addr: "a", Call: testCall()})
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		_, err = io.ReadAll(answer.Body)
		if err != nil {
			stalledAfter = time.Since(start)
		}
		_ = answer.Body.Close()
	})
	virtualtime.Test(t, func(t *testing.T) {
		c := NewClient(ClientOptions{Dial: dialPipes(func(nc net.Conn) {
			dialed++
			for {
				if _, err := nc.Read(make([]byte, 4096)); err != nil {
					return
				}
				_, _ = io.WriteString(nc, "HTTP/1.1 204 No Content\r\n\r\n")
			}
		})})
		for _, pause := range []time.Duration{DefaultIdleTimeout - time.Second, DefaultIdleTimeout + time.Second, 0} {
			if _, err := c.Do(t.Context(), SendParams{Addr: "a", Call: testCall()}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(pause)
		}
		dialsAfterExpiry = dialed
		for _, addr := range []string{"b", "a"} {
			if _, err := c.Do(t.Context(), SendParams{Addr: addr, Call: testCall()}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(DefaultIdleTimeout + time.Second)
		}
		_, _ = c.Do(t.Context(), SendParams{Addr: "a", Call: testCall()})
		openToB = c.OpenConns("b")
		c.Close()
	})
	Convey("A request closes the expired idle connections to other addresses", t, func() { So(openToB, ShouldEqual, 0) })
	Convey("Silence is checked at growing intervals", t, func() {
		So(checks, ShouldResemble, []time.Duration{time.Second, 3 * time.Second, 7 * time.Second, 15 * time.Second, 23 * time.Second})
		So(brokenAfter, ShouldEqual, 23*time.Second)
		So(openBefore, ShouldEqual, 2)
		So(openAfter, ShouldEqual, 0)
	})
	Convey("Without a check the deadline ends the wait", t, func() { So(deadlineAfter, ShouldEqual, time.Minute) })
	Convey("The transfer of a body without progress is aborted", t, func() { So(stalledAfter, ShouldEqual, DefaultProgressTimeout) })
	Convey("An idle connection isn't reused after the idle timeout", t, func() { So(dialsAfterExpiry, ShouldEqual, 2) })
}

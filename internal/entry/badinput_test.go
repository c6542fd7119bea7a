package entry_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/entry"
	"github.com/egretfield/egretfield/internal/pipeline"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
	"github.com/egretfield/egretfield/internal/wire"
)

// sendRaw writes raw bytes to the entry and returns its first answer.
func (c *cluster) sendRaw(raw string) *http.Response {
	nc, err := net.Dial("tcp", strings.TrimPrefix(c.url, "http://"))
	if err != nil {
		panic(err)
	}
	defer nc.Close()
	go func() { _, _ = io.WriteString(nc, raw) }()
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return &http.Response{Header: http.Header{"Egret-Error": {"none: " + err.Error()}}}
	}
	_, _ = io.ReadAll(resp.Body)
	return resp
}

const requestHead = "POST /svc/orders/x HTTP/1.1\r\nHost: h\r\n"

func TestBadInput(t *testing.T) {
	Convey("Given an entry on a socket", t, func() {
		a := &countingServer{answer: echo}
		c := newCluster(nil, a)
		defer c.close()
		cases := []struct{ name, raw, kind string }{
			{"garbage", "\x16\x03\x01 what\r\n\r\n", "bad_request"},
			{"unknown HTTP version", "GET / HTTP/9.9\r\nHost: h\r\n\r\n", "bad_request"},
			{"length and chunked", requestHead + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "bad_request"},
			{"chunked and length", requestHead + "transfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n0\r\n\r\n", "bad_request"},
			{"two lengths", requestHead + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", "bad_request"},
			{"negative length", requestHead + "Content-Length: -3\r\n\r\nabc", "bad_request"},
			{"unsupported transfer coding", requestHead + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "bad_request"},
			{"malformed chunk", requestHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "cancelled"},
			{"space before colon", requestHead + "Content-Length : 3\r\n\r\nabc", "bad_request"},
			{"two hosts", "GET /svc/orders/x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "bad_request"},
			{"large header", requestHead + "X: " + strings.Repeat("x", 40<<10) + "\r\n\r\n", "headers_too_large"},
			{"huge header", requestHead + "X: " + strings.Repeat("x", 400<<10) + "\r\n\r\n", "headers_too_large"},
			{"body too large", "POST /svc/orders/small HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n", "body_too_large"},
			{"unknown host", "GET / HTTP/1.1\r\nHost: nobody\r\n\r\n", "unknown_service"},
			{"unknown service", "GET /svc/nobody HTTP/1.1\r\nHost: orders\r\n\r\n", "unknown_service"},
			{"unknown expectation", requestHead + "Expect: 200-ok\r\n\r\n", "bad_request"},
			{"tunnel", "CONNECT orders:80 HTTP/1.1\r\nHost: orders\r\n\r\n", "bad_request"},
			{"dot segments", "POST /svc/orders/search/../x HTTP/1.1\r\nHost: h\r\n\r\n", "bad_request"},
			{"two keys", requestHead + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n", "bad_request"},
		}
		for _, bad := range cases {
			Convey(bad.name+" gets the right error kind", func() {
				resp := c.sendRaw(bad.raw)
				So(resp.Header.Get("Egret-Error"), ShouldEqual, bad.kind)
				if bad.kind != "cancelled" {
					So(resp.Header.Get("Egret-Run"), ShouldEqual, "no")
					So(a.runs.Load(), ShouldEqual, 0)
				}
			})
		}
		Convey("a caller that sends its large body before reading still gets the refusal", func() {
			c.gates[0].SetDraining(true)
			for path, kind := range map[string]string{"/svc/nobody/x": "unknown_service", "/svc/orders/x": "draining"} {
				nc, err := net.Dial("tcp", strings.TrimPrefix(c.url, "http://"))
				So(err, ShouldBeNil)
				_, err = io.WriteString(nc, "POST "+path+" HTTP/1.1\r\nHost: h\r\nContent-Length: 16777216\r\n\r\n"+strings.Repeat("x", 16<<20))
				So(err, ShouldBeNil)
				resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
				So(err, ShouldBeNil)
				nc.Close()
				So(resp.Header.Get("Egret-Error"), ShouldEqual, kind)
			}
		})
		Convey("hop-by-hop and internal headers are not forwarded", func() {
			var got http.Header
			a.answer = func(w http.ResponseWriter, r *http.Request) {
				got = r.Header
				w.Header().Set("Connection", "X-Private")
				w.Header().Set("X-Private", "1")
				w.Header().Set("Keep-Alive", "timeout=1")
			}
			resp := c.sendRaw(requestHead + "Connection: keep-alive, x-secret\r\nX-Secret: 1\r\nTE: trailers\r\nProxy-Authorization: p\r\n" +
				"Egret-Attempt: 1-1-1\r\nEgret-Load: 1\r\nEgret-Call: x\r\nEgret-Run: no\r\nX-Kept: 1\r\n\r\n")
			So(resp.StatusCode, ShouldEqual, 200)
			for _, name := range []string{"X-Secret", "Te", "Proxy-Authorization", "Egret-Attempt", "Egret-Load", "Egret-Call", "Egret-Run"} {
				So(got.Get(name), ShouldEqual, "")
			}
			So(got.Get("X-Kept"), ShouldEqual, "1")
			So(got.Get("X-Forwarded-For"), ShouldEqual, "127.0.0.1")
			So(resp.Header.Get("X-Private"), ShouldEqual, "")
			So(resp.Header.Get("Keep-Alive"), ShouldEqual, "")
		})
		Convey("a chunked body over the limit is cut off and its run state is unknown", func() {
			resp := c.sendRaw("POST /svc/orders/small HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nc8\r\n" + strings.Repeat("x", 200) + "\r\n0\r\n\r\n")
			So(resp.Header.Get("Egret-Error"), ShouldEqual, "cancelled")
			So(resp.Header.Get("Egret-Run"), ShouldEqual, "unknown")
		})
		Convey("a body shorter than its declared length is refused", func() {
			nc, err := net.Dial("tcp", strings.TrimPrefix(c.url, "http://"))
			So(err, ShouldBeNil)
			defer nc.Close()
			_, _ = io.WriteString(nc, requestHead+"Content-Length: 10\r\n\r\nabc")
			_ = nc.(*net.TCPConn).CloseWrite()
			resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
			So(err, ShouldBeNil)
			So(resp.Header.Get("Egret-Error"), ShouldEqual, "bad_request")
			So(a.runs.Load(), ShouldEqual, 0)
		})
	})
}

// pipeListener accepts the pipe ends sent to conns until done is closed.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case nc := <-l.conns:
		return nc, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func TestSlowSenders(t *testing.T) {
	cases := []struct{ name, raw, want string }{
		{"a body that stalls gets slow_sender", requestHead + "Content-Length: 10\r\n\r\nabc", "Egret-Error: slow_sender"},
		{"a header that stalls closes the connection", "POST /svc/orders/x HTTP/1.1\r\nHo", ""},
	}
	for _, slow := range cases {
		virtualtime.Test(t, func(t *testing.T) {
			h := entry.New(entry.Options{BalancerFor: func(string) balance.Balancer { return &orderedBalancer{} }})
			h.SetRoutes(entry.NewRoutes(testConfig, ""))
			server := pipeline.NewServer(h, pipeline.Options{})
			l := &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
			clientEnd, serverEnd := net.Pipe()
			l.conns <- serverEnd
			go server.Serve(l)
			start := time.Now()
			go io.WriteString(clientEnd, slow.raw)
			answer, _ := io.ReadAll(clientEnd)
			elapsed := time.Since(start)
			clientEnd.Close()
			close(l.done)
			server.Close()
			Convey(slow.name, t, func() {
				So(string(answer), ShouldContainSubstring, slow.want)
				So(elapsed, ShouldBeBetweenOrEqual, time.Second, 15*time.Second)
			})
		})
	}
}

// largeAnswerGate answers with a large body and closes closed when the body is closed.
type largeAnswerGate struct {
	closed chan struct{}
}

func (g *largeAnswerGate) Do(context.Context, *wire.Call) *wire.Answer {
	return &wire.Answer{Status: http.StatusOK, Header: http.Header{}, BodyBytes: largeBody, Body: g}
}

func (g *largeAnswerGate) Read(p []byte) (int, error) { return len(p), nil }

func (g *largeAnswerGate) Close() error {
	close(g.closed)
	return nil
}

func TestSlowReader(t *testing.T) {
	var elapsed time.Duration
	var running int64
	virtualtime.Test(t, func(t *testing.T) {
		g := &largeAnswerGate{closed: make(chan struct{})}
		b := &orderedBalancer{endpoints: []*balance.Endpoint{{Instance: "i"}}}
		h := entry.New(entry.Options{Instance: "i", Local: g, BalancerFor: func(string) balance.Balancer { return b }})
		h.SetRoutes(entry.NewRoutes(testConfig, ""))
		nc, err := servePipes(t, h)(t.Context(), "", "")
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		_, _ = io.WriteString(nc, "GET /svc/orders/x HTTP/1.1\r\nHost: h\r\n\r\n")
		_, _ = nc.Read(make([]byte, 100))
		<-g.closed
		elapsed = time.Since(start)
		synctest.Wait()
		running = h.Running()
		nc.Close()
	})
	Convey("A caller that stops reading is disconnected and its request ends", t, func() {
		So(elapsed, ShouldEqual, wire.DefaultProgressTimeout)
		So(running, ShouldEqual, 0)
	})
}

// FuzzCaller sends arbitrary bytes as requests. Every answer must be well-formed, and
// no internal header of the caller may reach the backend server.
func FuzzCaller(f *testing.F) {
	for _, seed := range []string{
		"GET /svc/orders/x HTTP/1.1\r\nHost: h\r\n\r\n",
		requestHead + "Content-Length: 3\r\n\r\nabc",
		requestHead + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n",
		requestHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: y\r\n\r\n",
		requestHead + "Egret-Timeout: 1ms\r\nEgret-Depth: 99999\r\n\r\n",
		requestHead + "Connection: close, host, egret-call\r\nEgret-Call: a b c\r\n\r\n",
		"GET http://orders/x?y HTTP/1.0\r\n\r\n",
		"OPTIONS * HTTP/1.1\r\nHost: orders\r\n\r\n",
		"GET /svc/%6frders/../x HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /svc/orders?x HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		f.Add(seed)
	}
	leaked := make(chan string, 1)
	c := newCluster(nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for name := range r.Header {
			if strings.HasPrefix(name, "Egret-") && name != "Egret-Timeout" && name != "Egret-Depth" && name != "Egret-Request-Id" {
				select {
				case leaked <- name:
				default:
				}
			}
		}
		echo(w, r)
	}))
	f.Cleanup(c.close)
	f.Fuzz(func(t *testing.T, raw string) {
		nc, err := net.Dial("tcp", strings.TrimPrefix(c.url, "http://"))
		if err != nil {
			t.Skip("no more connections available")
		}
		defer nc.Close()
		go func() {
			_, _ = io.WriteString(nc, raw)
			_ = nc.(*net.TCPConn).CloseWrite()
		}()
		r := bufio.NewReader(nc)
		for {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				break
			}
			checkAnswer(t, resp)
		}
		select {
		case name := <-leaked:
			t.Fatalf("the caller's header %s reached the backend server", name)
		default:
		}
	})
}

func checkAnswer(t *testing.T, resp *http.Response) {
	_, _ = io.Copy(io.Discard, resp.Body)
	kind := resp.Header.Get("Egret-Error")
	if resp.StatusCode >= 400 && kind == "" {
		t.Fatalf("answer with status %d has no error kind", resp.StatusCode)
	}
	if kind != "" && resp.Header.Get("Egret-Run") == "" {
		t.Fatalf("answer with error kind %s has no run state", kind)
	}
}

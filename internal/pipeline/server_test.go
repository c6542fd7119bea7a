package pipeline

import (
	"bufio"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"pgregory.net/rapid"
)

// serve serves handler on a loopback socket.
func serve(handler http.Handler, options Options) (*Server, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := NewServer(handler, options)
	go func() { _ = s.Serve(l) }()
	return s, l.Addr().String()
}

func dial(addr string) net.Conn {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		panic(err)
	}
	_ = nc.SetDeadline(time.Now().Add(20 * time.Second))
	return nc
}

// streamHandler answers with the request's path and a hash of its body, in one of several
// forms. It records the paths that it was given.
type streamHandler struct {
	mu  sync.Mutex
	ran []string
}

func (h *streamHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if CheckFraming(r) != nil {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.mu.Lock()
	h.ran = append(h.ran, r.URL.Path)
	h.mu.Unlock()
	sum := fnv.New32a()
	_, _ = io.Copy(sum, r.Body)
	answer := fmt.Sprintf("%s %s %x", r.Method, r.URL.Path, sum.Sum32())
	switch r.URL.Query().Get("form") {
	case "flushed":
		for _, b := range []byte(answer) {
			_, _ = w.Write([]byte{b})
			_ = http.NewResponseController(w).Flush()
		}
	case "long":
		_, _ = io.WriteString(w, answer+strings.Repeat(".", 3000))
	case "length":
		w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
		_, _ = io.WriteString(w, answer)
	default:
		_, _ = io.WriteString(w, answer)
	}
}

// streamStep is one request of a stream and the answer that is due.
type streamStep struct {
	raw, answer string
	// head reports whether the method is HEAD.
	head bool
	// refused reports whether the request is refused; closes, whether nothing behind it
	// may be served.
	refused, closes bool
}

func drawStep(t *rapid.T, i int) streamStep {
	method := rapid.SampledFrom([]string{"GET", "GET", "HEAD", "POST", "PUT"}).Draw(t, "method")
	form := rapid.SampledFrom([]string{"", "flushed", "long", "length"}).Draw(t, "form")
	body := rapid.StringMatching(`[a-z\r\n]{0,40}`).Draw(t, "body")
	step := streamStep{head: method == "HEAD"}
	head := fmt.Sprintf("%s /%d?form=%s HTTP/1.1\r\nHost: h\r\n", method, i, form)
	switch rapid.IntRange(0, 9).Draw(t, "special") {
	case 0:
		head += "Connection: close\r\n"
		step.closes = true
	case 1:
		step.raw = head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
		step.refused, step.closes = true, true
		return step
	}
	switch {
	case method != "POST" && method != "PUT":
		body = ""
		step.raw = head + "\r\n"
	case rapid.Bool().Draw(t, "chunked"):
		step.raw = head + "Transfer-Encoding: chunked\r\n\r\n"
		if body != "" {
			step.raw += fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		}
		step.raw += "0\r\n\r\n"
	default:
		step.raw = head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	sum := fnv.New32a()
	_, _ = io.WriteString(sum, body)
	step.answer = fmt.Sprintf("%s /%d %x", method, i, sum.Sum32())
	if form == "long" {
		step.answer += strings.Repeat(".", 3000)
	}
	return step
}

// checkStream sends a random stream of requests in random pieces, cut off at a random
// byte or not, and compares the answers with those that are due.
func checkStream(t *rapid.T) {
	h := &streamHandler{}
	s, addr := serve(h, Options{Depth: rapid.IntRange(1, 4).Draw(t, "depth"), UnreadBytes: 4 << 10, AnswerBytes: rapid.SampledFrom([]int{10, 64 << 10}).Draw(t, "answer bytes")})
	defer s.Close()
	var steps []streamStep
	raw := ""
	for i := range rapid.IntRange(1, 12).Draw(t, "requests") {
		step := drawStep(t, i)
		steps = append(steps, step)
		raw += step.raw
	}
	sent := len(raw)
	if rapid.Bool().Draw(t, "cut") {
		sent = rapid.IntRange(0, len(raw)).Draw(t, "sent")
	}
	piece := rapid.IntRange(1, 200).Draw(t, "piece")
	nc := dial(addr)
	defer nc.Close()
	go func() {
		for at := 0; at < sent; at += piece {
			if _, err := io.WriteString(nc, raw[at:min(at+piece, sent)]); err != nil {
				return
			}
		}
		if sent < len(raw) {
			_ = nc.(*net.TCPConn).CloseWrite()
		}
	}()
	reader := bufio.NewReader(nc)
	end := 0
	var due []string
	for i, step := range steps {
		end += len(step.raw)
		if end > sent {
			break // cut within this request
		}
		method := "GET"
		if step.head {
			method = "HEAD"
		}
		resp, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			if sent < len(raw) {
				break // the caller left
			}
			t.Fatalf("request %d of %q: %v", i, raw, err)
		}
		body, err := io.ReadAll(resp.Body)
		switch {
		case step.refused:
			if resp.StatusCode != http.StatusBadRequest {
				t.Fatalf("request %d of %q: status %d, expected 400", i, raw, resp.StatusCode)
			}
		case err != nil && sent == len(raw), err == nil && !step.head && string(body) != step.answer:
			t.Fatalf("request %d of %q: answer %q (%v), expected %q", i, raw, body, err, step.answer)
		}
		if !step.refused {
			due = append(due, fmt.Sprint("/", i))
		}
		if step.closes {
			if _, err := reader.ReadByte(); err == nil {
				t.Fatalf("bytes behind the answer that closes the connection to %q", raw)
			}
			break
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, step := range steps {
		path := fmt.Sprint("/", i)
		if ran := slices.Contains(h.ran, path); ran && step.refused {
			t.Fatalf("request %d of %q ran although its end is ambiguous", i, raw)
		} else if ran && slices.ContainsFunc(steps[:i], func(s streamStep) bool { return s.closes }) {
			t.Fatalf("request %d of %q ran behind one that closes the connection", i, raw)
		} else if !ran && slices.Contains(due, path) {
			t.Fatalf("request %d of %q was answered without being run", i, raw)
		}
	}
}

func TestStreams(t *testing.T) { rapid.Check(t, checkStream) }

func FuzzStreams(f *testing.F) { f.Fuzz(rapid.MakeFuzz(checkStream)) }

func TestShutdown(t *testing.T) {
	Convey("A stop under load answers every request that reached the server", t, func() {
		var stopping atomic.Bool
		s, addr := serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Millisecond)
			if stopping.Load() && CloseAfter(r) {
				w.Header().Set("Connection", "close")
			}
			_, _ = io.WriteString(w, r.URL.Path)
		}), Options{})
		var lost, served atomic.Int64
		var group sync.WaitGroup
		for range 20 {
			group.Go(func() {
				for !stopping.Load() {
					nc, err := net.Dial("tcp", addr)
					if err != nil {
						lost.Add(1)
						return
					}
					_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
					// The request follows the connection after a moment, as it does from afar.
					time.Sleep(3 * time.Millisecond)
					_, err = io.WriteString(nc, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
					resp, readErr := http.ReadResponse(bufio.NewReader(nc), nil)
					if err == nil && readErr != nil {
						lost.Add(1)
					} else if err == nil && resp.StatusCode == 200 {
						served.Add(1)
					}
					nc.Close()
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		stopping.Store(true)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		So(s.Shutdown(ctx), ShouldBeNil)
		group.Wait()
		So(served.Load(), ShouldBeGreaterThan, 100)
		So(lost.Load(), ShouldEqual, 0)
	})
	Convey("A stop doesn't wait for a connection that never sends a whole request", t, func() {
		s, addr := serve(http.NotFoundHandler(), Options{})
		quiet, partial := dial(addr), dial(addr)
		defer quiet.Close()
		defer partial.Close()
		_, _ = io.WriteString(partial, "GET / HT")
		time.Sleep(20 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		started := time.Now()
		So(s.Shutdown(ctx), ShouldBeNil)
		So(time.Since(started), ShouldBeLessThan, 5*time.Second)
	})
}

func TestPanic(t *testing.T) {
	Convey("A panic while a request is served ends only its connection, is counted and logged", t, func() {
		core, logs := observer.New(zap.ErrorLevel)
		s, addr := serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/panic" {
				panic("unexpected state")
			}
			_, _ = io.WriteString(w, "whole")
		}), Options{Logger: zap.New(core)})
		defer s.Close()
		const request, failing = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "GET /panic HTTP/1.1\r\nHost: h\r\n\r\n"
		for _, raw := range []string{failing, request + failing} {
			nc := dial(addr)
			_, _ = io.WriteString(nc, raw)
			answers, _ := io.ReadAll(nc)
			So(strings.Count(string(answers), "HTTP/1.1"), ShouldEqual, strings.Count(raw, "/a"))
			nc.Close()
		}
		other := dial(addr)
		defer other.Close()
		_, _ = io.WriteString(other, request)
		resp, err := http.ReadResponse(bufio.NewReader(other), nil)
		So(err, ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, 200)
		So(s.panics.Load(), ShouldEqual, 2)
		So(logs.Len(), ShouldEqual, 2)
		So(fmt.Sprint(logs.All()[0].ContextMap()), ShouldContainSubstring, "unexpected state")
	})
}

func TestBrokenAnswerAhead(t *testing.T) {
	Convey("An answer that breaks off before its first byte was sent becomes a failure, and cuts neither those before it nor those behind it", t, func() {
		broken := make(chan struct{})
		s, addr := serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/broken" {
				defer close(broken)
				panic(http.ErrAbortHandler)
			}
			<-broken
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(w, "whole")
		}), Options{})
		defer s.Close()
		nc := dial(addr)
		defer nc.Close()
		for _, path := range []string{"/first", "/broken", "/last"} {
			_, _ = io.WriteString(nc, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		}
		reader := bufio.NewReader(nc)
		for _, want := range []string{"200 whole", "502 answer_cut", "200 whole"} {
			resp, err := http.ReadResponse(reader, nil)
			So(err, ShouldBeNil)
			body, err := io.ReadAll(resp.Body)
			So(err, ShouldBeNil)
			status, text, _ := strings.Cut(want, " ")
			So(fmt.Sprint(resp.StatusCode), ShouldEqual, status)
			So(string(body), ShouldContainSubstring, text)
		}
	})
}

func TestArrival(t *testing.T) {
	Convey("Each request counts from its first byte, however the bytes before it are taken", t, func() {
		var b pendingBytes
		start := time.Unix(1000, 0)
		b.add([]byte("first"), start)
		b.add([]byte("second"), start.Add(time.Second))
		So(b.arrival(), ShouldEqual, start)
		b.discard(4)
		So(b.arrival(), ShouldEqual, start)
		b.discard(1)
		So(b.arrival(), ShouldEqual, start.Add(time.Second))
		b.discard(6)
		b.add([]byte("third"), start.Add(2*time.Second))
		So(b.arrival(), ShouldEqual, start.Add(2*time.Second))
	})
	Convey("A trickle keeps a limited number of times, and no byte counts as later than it came", t, func() {
		var b pendingBytes
		start := time.Unix(1000, 0)
		for i := range 1000 {
			b.add([]byte("x"), start.Add(time.Duration(i)*time.Second))
		}
		So(len(b.arrivals), ShouldEqual, maxArrivals)
		b.discard(999)
		So(b.arrival(), ShouldHappenOnOrBefore, start.Add(999*time.Second))
	})
}

package wire

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/standin/rawanswer"
)

// earlyAnswer is a connection on which the answer can be read before the request was
// sent.
type earlyAnswer struct {
	net.Conn // unused
	answer   *strings.Reader
}

func (c earlyAnswer) Read(p []byte) (int, error)       { return c.answer.Read(p) }
func (c earlyAnswer) Write(p []byte) (int, error)      { return len(p), nil }
func (c earlyAnswer) Close() error                     { return nil }
func (c earlyAnswer) SetDeadline(time.Time) error      { return nil }
func (c earlyAnswer) SetReadDeadline(time.Time) error  { return nil }
func (c earlyAnswer) SetWriteDeadline(time.Time) error { return nil }

// watchedBody counts reads and records whether Claim was called.
type watchedBody struct {
	io.Reader
	reads   atomic.Int32
	claimed atomic.Bool
}

func (b *watchedBody) Read(p []byte) (int, error) {
	b.reads.Add(1)
	return b.Reader.Read(p)
}

func (b *watchedBody) Claim() { b.claimed.Store(true) }

// TestBodyAfterEarlyRefusal guards against two readers of one streamed body. The server
// refuses the request before the upload has started; a second attempt and the upload of the
// first one would then both read the body. Found by the users' simulation bench with the
// random schedule of faults of seed 187723312713 on the small variant of the deployment in
// examples/templarik.
func TestBodyAfterEarlyRefusal(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // makes the upload start after Do has returned
	refusal := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nEgret-Not-Executed: 1\r\n\r\n"
	client := NewClient(ClientOptions{
		Dial: func(context.Context, string, string) (net.Conn, error) {
			return earlyAnswer{answer: strings.NewReader(refusal)}, nil
		},
		Headers: &Headers{RequestID: HeaderRequestID, Timeout: HeaderTimeout, NotExecuted: "Egret-Not-Executed"},
	})
	body := &watchedBody{Reader: bytes.NewReader(make([]byte, 100<<10))}
	call := &Call{
		Meta:      Meta{RequestID: "r", Deadline: time.Now().Add(time.Minute)},
		Method:    http.MethodPost,
		URI:       "/",
		Host:      "h",
		Body:      body,
		BodyBytes: 100 << 10,
	}
	answer, err := client.Do(context.Background(), SendParams{Addr: "server", Call: call})
	readsBefore, claimed := body.reads.Load(), body.claimed.Load()
	time.Sleep(20 * time.Millisecond)
	Convey("The body of a refused upload is either unread or claimed", t, func() {
		So(err, ShouldBeNil)
		So(answer.NotExecuted, ShouldBeTrue)
		So(readsBefore, ShouldEqual, 0)
		So(claimed || body.reads.Load() == 0, ShouldBeTrue)
	})
}

// brokenUpload is a connection on which the answer can be read at once. Its writes fail after
// the first one; reads report the end of the connection after the answer, as a socket does
// whose error a write has received.
type brokenUpload struct {
	earlyAnswer
	writes *atomic.Int32
	err    error
	failed chan struct{}
}

func (c brokenUpload) Write(p []byte) (int, error) {
	switch c.writes.Add(1) {
	case 1:
		return len(p), nil
	case 2:
		close(c.failed)
	}
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: c.err}
}

// TestResetDuringUpload guards against an answer without a length that looks complete because
// the upload, not the reading of the answer, received the reset of the connection (MIXED).
func TestResetDuringUpload(t *testing.T) {
	for name, c := range map[string]struct {
		head  string
		err   error
		whole bool
	}{
		"no length, reset":                    {"HTTP/1.1 200 OK\r\n\r\n", syscall.ECONNRESET, false},
		"no length, network failure":          {"HTTP/1.1 200 OK\r\n\r\n", syscall.ETIMEDOUT, false},
		"HTTP/1.0, reset":                     {"HTTP/1.0 200 OK\r\n\r\n", syscall.ECONNRESET, false},
		"no length, closed before the reset":  {"HTTP/1.1 413 Content Too Large\r\n\r\n", syscall.EPIPE, true},
		"no length, upload that takes longer": {"HTTP/1.1 413 Content Too Large\r\n\r\n", os.ErrDeadlineExceeded, true},
		"a length, reset":                     {"HTTP/1.1 413 Content Too Large\r\nContent-Length: 5\r\n\r\n", syscall.ECONNRESET, true},
	} {
		Convey("An early answer to an upload: "+name, t, func() {
			failed := make(chan struct{})
			client := NewClient(ClientOptions{Dial: func(context.Context, string, string) (net.Conn, error) {
				return brokenUpload{earlyAnswer{answer: strings.NewReader(c.head + "hello")}, &atomic.Int32{}, c.err, failed}, nil
			}})
			call := testCall()
			call.Method, call.Body, call.BodyBytes = http.MethodPost, bytes.NewReader(make([]byte, 1<<20)), 1<<20
			answer, err := client.Do(context.Background(), SendParams{Addr: "server", Call: call})
			So(err, ShouldBeNil)
			<-failed
			body, err := io.ReadAll(answer.Body)
			So(string(body), ShouldEqual, "hello")
			So(err == nil, ShouldEqual, c.whole)
		})
	}
}

// resetOnce is a connection whose reset a read reports once. Later reads report its end, as
// those of a socket do.
type resetOnce struct {
	earlyAnswer
	reported *bool
}

func (c resetOnce) Read(p []byte) (int, error) {
	n, err := c.earlyAnswer.Read(p)
	if err == io.EOF && !*c.reported {
		*c.reported = true
		err = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	}
	return n, err
}

// TestResetDuringWait guards against an answer without a length that looks complete because
// the wait for its next byte, not the reading of it, received the reset of the connection.
// Answers are awaited so while requests behind them are being served (MIXED).
func TestResetDuringWait(t *testing.T) {
	for head, body := range map[string]string{
		"HTTP/1.1 200 OK\r\n\r\n":                      "hello",
		"HTTP/1.0 200 OK\r\n\r\n":                      "hello",
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n": "",
	} {
		Convey(fmt.Sprintf("A reset that a wait receives breaks %q", head+body), t, func() {
			client := NewClient(ClientOptions{Dial: func(context.Context, string, string) (net.Conn, error) {
				return resetOnce{earlyAnswer{answer: strings.NewReader(head + body)}, new(bool)}, nil
			}})
			answer, err := client.Do(context.Background(), SendParams{Addr: "server", Call: testCall()})
			So(err, ShouldBeNil)
			got := make([]byte, len(body))
			_, err = io.ReadFull(answer.Body, got)
			So(err, ShouldBeNil)
			So(string(got), ShouldEqual, body)
			So(answer.Body.(ByteAwaiter).AwaitByte(time.Now().Add(time.Second)), ShouldBeTrue)
			_, err = answer.Body.Read(make([]byte, 1))
			So(errors.Is(err, syscall.ECONNRESET), ShouldBeTrue)
		})
	}
}

// Guards against a wait for an answer that asks about its connection again and again although
// the kernel has given that up.
func TestConnectionGivenUpDuringWait(t *testing.T) {
	Convey("A wait ends with the connection", t, func() {
		client := NewClient(ClientOptions{Dial: func(context.Context, string, string) (net.Conn, error) {
			return givenUp{}, nil
		}})
		checks := 0
		_, err := client.Do(context.Background(), SendParams{Addr: "server", Call: testCall(), Check: func(context.Context, time.Duration, bool) Verdict {
			checks++
			time.Sleep(time.Millisecond)
			return VerdictWait
		}})
		So(errors.Is(err, syscall.ETIMEDOUT), ShouldBeTrue)
		So(checks, ShouldEqual, 0)
	})
}

// givenUp is a connection whose peer doesn't acknowledge what was sent.
type givenUp struct{ earlyAnswer }

func (givenUp) Read([]byte) (int, error) {
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
}

// TestResetOrder checks on sockets what TestResetDuringUpload supposes: after a reset alone, and
// after a close with a reset behind it, the body is read once the upload has failed.
func TestResetOrder(t *testing.T) {
	for name, answer := range map[string]rawanswer.Case{
		"a reset":                     {Raw: "HTTP/1.1 200 OK\r\n\r\nhello", End: rawanswer.Reset, Broken: true},
		"a close and a reset":         {Raw: "HTTP/1.1 413 Content Too Large\r\n\r\nhello", End: rawanswer.FinishThenReset},
		"a length, close and a reset": {Raw: "HTTP/1.1 413 Content Too Large\r\nContent-Length: 5\r\n\r\nhello", End: rawanswer.FinishThenReset},
	} {
		Convey("The answer to an upload ends with "+name, t, func() {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer l.Close()
			go func() {
				nc, err := l.Accept()
				if err == nil {
					rawanswer.Serve(nc, func(*http.Request) rawanswer.Case { return answer })
				}
			}()
			body := &watchedBody{Reader: io.LimitReader(zeros{}, 1<<30)}
			call := testCall()
			call.Method, call.Body, call.BodyBytes = http.MethodPost, body, 1<<30
			client := NewClient(ClientOptions{})
			got, err := client.Do(context.Background(), SendParams{Addr: l.Addr().String(), Call: call})
			So(err, ShouldBeNil)
			for reads := int32(-1); reads != body.reads.Load(); time.Sleep(200 * time.Millisecond) {
				reads = body.reads.Load() // until the upload has ended
			}
			data, err := io.ReadAll(got.Body)
			So(err != nil, ShouldEqual, answer.Broken)
			So(string(data), ShouldEqual, "hello")
		})
	}
}

// zeros is an endless source of bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

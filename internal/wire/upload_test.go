package wire

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
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

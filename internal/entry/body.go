package entry

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// errBodyTooLarge: a body of unknown length passed the route's limit.
var errBodyTooLarge = eris.New("body too large")

// callerBody is a streamed body. It is read once, by one attempt.
type callerBody struct {
	body    io.Reader
	control *http.ResponseController
	left    int64
	// reading is held by a read in progress.
	reading sync.Mutex
	stopped atomic.Bool
	ended   atomic.Bool
	// touched: an attempt began to read it.
	touched atomic.Bool
	// failed: the caller's side broke off or passed the limit.
	failed atomic.Bool
}

func newCallerBody(x *exchange) *callerBody {
	return &callerBody{body: x.r.Body, control: http.NewResponseController(x.w), left: x.maxBody}
}

// Read reads on; a body that doesn't move for senderLimit fails.
func (b *callerBody) Read(p []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	b.touched.Store(true)
	_ = b.control.SetReadDeadline(time.Now().Add(senderLimit)) // a test's writer may have none
	if b.stopped.Load() {
		return 0, io.ErrClosedPipe
	}
	n, err := b.body.Read(p)
	b.left -= int64(n)
	switch {
	case b.left < 0:
		b.failed.Store(true)
		return 0, errBodyTooLarge
	case err == io.EOF:
		b.ended.Store(true)
		_ = b.control.SetReadDeadline(time.Time{})
	case err != nil:
		b.failed.Store(true)
	}
	return n, err
}

// Claim notes that an attempt may have read a part.
func (b *callerBody) Claim() { b.touched.Store(true) }

// stop ends a read in progress by deadline and waits for it. Later reads fail.
// A body that was read to its end is left alone.
func (b *callerBody) stop(deadline time.Time) {
	if !b.touched.Load() || b.ended.Load() {
		return
	}
	b.stopped.Store(true)
	_ = b.control.SetReadDeadline(deadline)
	b.reading.Lock()
	defer b.reading.Unlock()
}

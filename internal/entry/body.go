package entry

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// errBodyTooLarge is returned when a body of unknown length exceeds the limit.
var errBodyTooLarge = eris.New("request body exceeds the size limit")

// callerBody is a request body that is streamed. It can be read only once, by one
// attempt.
type callerBody struct {
	body           io.Reader
	control        *http.ResponseController
	remainingBytes int64
	// prefix holds what was read ahead of the attempts.
	prefix []byte
	peeked bool
	// readMu is held during a read.
	readMu  sync.Mutex
	stopped atomic.Bool
	ended   atomic.Bool
	// readStarted reports whether an attempt may have read a part of the body.
	readStarted atomic.Bool
	// failed reports whether the caller stopped sending or exceeded the limit.
	failed atomic.Bool
}

func newCallerBody(x *exchange) *callerBody {
	return &callerBody{body: x.r.Body, control: http.NewResponseController(x.w), remainingBytes: x.maxBodyBytes}
}

// Read implements io.Reader. It fails when no data arrives for bodyIdleTimeout.
func (b *callerBody) Read(p []byte) (int, error) {
	b.readMu.Lock()
	defer b.readMu.Unlock()
	b.readStarted.Store(true)
	if len(b.prefix) > 0 {
		n := copy(p, b.prefix)
		b.prefix = b.prefix[n:]
		return n, nil
	}
	return b.readLocked(p)
}

// peek reads up to n bytes of the body, or all of a shorter one, before the attempts. They
// read these bytes first. It must be called once, before the first attempt.
func (b *callerBody) peek(n int) ([]byte, error) {
	b.readMu.Lock()
	defer b.readMu.Unlock()
	b.peeked = true
	prefix := make([]byte, 0, n)
	for len(prefix) < n {
		read, err := b.readLocked(prefix[len(prefix):n])
		prefix = prefix[:len(prefix)+read]
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	b.prefix = prefix
	return prefix, nil
}

func (b *callerBody) readLocked(p []byte) (int, error) {
	if b.ended.Load() {
		return 0, io.EOF
	}
	_ = b.control.SetReadDeadline(time.Now().Add(bodyIdleTimeout)) // ResponseWriters in tests may not support it
	if b.stopped.Load() {
		return 0, io.ErrClosedPipe
	}
	n, err := b.body.Read(p)
	b.remainingBytes -= int64(n)
	switch {
	case b.remainingBytes < 0:
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

// Claim implements wire.Claimer. It records that an attempt may have read a part of the
// body.
func (b *callerBody) Claim() { b.readStarted.Store(true) }

// stop ends a read in progress no later than the deadline and waits for it; later
// reads fail. It does nothing if no read started or the body was read completely.
func (b *callerBody) stop(deadline time.Time) {
	if !b.readStarted.Load() || b.ended.Load() {
		return
	}
	b.stopped.Store(true)
	_ = b.control.SetReadDeadline(deadline)
	b.readMu.Lock()
	defer b.readMu.Unlock()
}

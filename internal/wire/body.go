package wire

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/egretfield/egretfield/internal/http1"
)

const (
	// copyBufferBytes is the size of the buffer of one direction of a stream.
	copyBufferBytes = 32 << 10
	// maxDrainBytes limits how much of an unneeded body is read so that the connection
	// can be reused.
	maxDrainBytes = 16 << 10
)

var copyBuffers = sync.Pool{New: func() any {
	buf := make([]byte, copyBufferBytes)
	return &buf
}}

// Copy copies src to dst through a pooled buffer.
func Copy(dst io.Writer, src io.Reader) (int64, error) {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	var total int64
	for {
		n, err := src.Read(*buf)
		if n > 0 {
			total += int64(n)
			if _, errWrite := dst.Write((*buf)[:n]); errWrite != nil {
				return total, errWrite
			}
		}
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}

// copyChunked copies src to dst in chunked transfer coding.
func copyChunked(dst io.Writer, src io.Reader) error {
	if _, err := Copy(chunkWriter{dst}, src); err != nil {
		return err
	}
	_, err := io.WriteString(dst, "0\r\n\r\n")
	return err
}

// chunkWriter writes the data of each Write as one chunk.
type chunkWriter struct {
	w io.Writer
}

func (c chunkWriter) Write(data []byte) (int, error) {
	if _, err := fmt.Fprintf(c.w, "%x\r\n", len(data)); err != nil {
		return 0, err
	}
	n, err := c.w.Write(data)
	if err != nil {
		return n, err
	}
	_, err = io.WriteString(c.w, "\r\n")
	return n, err
}

// progressWriter fails a write that isn't completed within timeout.
type progressWriter struct {
	conn    *conn
	timeout time.Duration

	mu sync.Mutex // held during a write
	// err is the error of the write that failed; nil: none has.
	err error
}

func (w *progressWriter) Write(data []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := w.write(data)
	w.err = err
	return n, err
}

// connError returns the error with which writing to the connection failed, or nil. It waits
// for the end of a write in progress.
func (w *progressWriter) connError() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// brokenConn returns the error that ended the connection if a write received it, or nil. A
// socket reports an error once, to a read or to a write; after that, a read reports the end
// of the connection as if the peer had closed it. Like connError, it waits.
func (w *progressWriter) brokenConn() error {
	err := w.connError()
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, io.ErrClosedPipe):
		return nil // the write was ended on this side
	case errors.Is(err, syscall.EPIPE):
		return nil // the peer had closed its side before it reset the connection
	}
	return err
}

func (w *progressWriter) write(data []byte) (int, error) {
	if err := w.conn.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
		return 0, err
	}
	if w.conn.aborted.Load() {
		return 0, io.ErrClosedPipe
	}
	return w.conn.Conn.Write(data)
}

// answerBody is the body of an answer. At its end, the connection returns to its pool.
type answerBody struct {
	x        *exchange
	received *http1.Answer
	finished bool
}

// Read implements io.Reader. A body that ends before its declared length is an error.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.finished {
		return 0, io.EOF
	}
	if b.x.conn.reader.Buffered() == 0 {
		deadline := b.x.bodyDeadline()
		if err := b.x.conn.SetReadDeadline(deadline); err != nil {
			return 0, err
		}
		if b.x.conn.aborted.Load() {
			return 0, io.ErrUnexpectedEOF
		}
	}
	n, err := b.received.Body.Read(p)
	if err == io.EOF && b.received.EndsWithConn {
		err = b.x.connEnd()
	}
	if err == io.EOF {
		StripHopByHop(b.received.Trailer)
		StripInternal(b.received.Trailer)
		b.finish(!b.received.Close)
	}
	return n, err
}

// ByteAwaiter is implemented by bodies of answers that can wait for their next byte.
type ByteAwaiter interface {
	// AwaitByte waits until the body has a byte to read, its end included, or a read would
	// fail. It returns false if none of that has happened at the given time; the body can
	// then be read on. It must not be called during a Read.
	AwaitByte(until time.Time) bool
}

// AwaitByte implements ByteAwaiter.
func (b *answerBody) AwaitByte(until time.Time) bool {
	if b.finished || b.x.conn.reader.Buffered() > 0 {
		return true
	}
	deadline := b.x.bodyDeadline()
	if !until.Before(deadline) {
		return true // the read ends by then
	}
	if b.x.conn.SetReadDeadline(until) != nil || b.x.conn.aborted.Load() {
		return true
	}
	err := b.x.conn.reader.AwaitByte()
	return err == nil || !IsTimeout(err) || b.x.conn.aborted.Load()
}

// Close implements io.Closer. It closes the connection unless the body was read to its end.
func (b *answerBody) Close() error {
	if !b.finished {
		b.finish(false)
	}
	return nil
}

// drain reads a short body to its end, so that the connection can be reused. A longer one
// is closed.
func (b *answerBody) drain() error {
	if b.received.Body == nil {
		b.finish(!b.received.Close)
		return nil
	}
	n, err := io.Copy(io.Discard, io.LimitReader(b, maxDrainBytes))
	if err != nil {
		return err
	}
	if n == maxDrainBytes {
		return b.Close()
	}
	if !b.finished {
		b.finish(!b.received.Close)
	}
	return nil
}

func (b *answerBody) finish(keepConn bool) {
	b.finished = true
	b.x.endUpload()
	if b.x.uploadDone != nil {
		select {
		case err := <-b.x.uploadDone:
			keepConn = keepConn && err == nil
		default:
			keepConn = false
		}
	}
	if !b.x.stopAbort() {
		keepConn = false
	}
	if !keepConn {
		b.x.conn.close()
		return
	}
	call := b.x.params.Call
	b.x.conn.rememberID(call.RequestID)
	if b.x.mayBeSentAgain() && !b.x.conn.rememberResendable(call.RequestID, call.Deadline) {
		b.x.conn.close()
		return
	}
	b.x.conn.pool.put(b.x.conn)
}

func newBody(data []byte) io.ReadCloser {
	return io.NopCloser(bytes.NewReader(data))
}

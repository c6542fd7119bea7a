package wire

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// copyBuffer is the memory that one direction of a stream takes, bytes.
	copyBuffer = 32 << 10
	// maxDrain is the part of an unwanted body that is read to keep the
	// connection, bytes.
	maxDrain = 16 << 10
)

var copyBuffers = sync.Pool{New: func() any {
	buf := make([]byte, copyBuffer)
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

// copyChunked writes src to dst in chunked coding.
func copyChunked(dst io.Writer, src io.Reader) error {
	if _, err := Copy(chunkWriter{dst}, src); err != nil {
		return err
	}
	_, err := io.WriteString(dst, "0\r\n\r\n")
	return err
}

// chunkWriter writes each piece as one chunk.
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

// progressWriter ends a write that doesn't move for limit.
type progressWriter struct {
	conn  *conn
	limit time.Duration
	// failed: the connection broke, rather than the source.
	failed bool
}

func (w *progressWriter) Write(data []byte) (int, error) {
	n, err := w.write(data)
	w.failed = err != nil
	return n, err
}

func (w *progressWriter) write(data []byte) (int, error) {
	if err := w.conn.SetWriteDeadline(time.Now().Add(w.limit)); err != nil {
		return 0, err
	}
	if w.conn.aborted.Load() {
		return 0, io.ErrClosedPipe
	}
	return w.conn.Conn.Write(data)
}

// answerBody reads the body of an answer and then gives the connection back.
type answerBody struct {
	x    *exchange
	body io.ReadCloser
	keep bool
	done bool
}

// Read reads the body; an end before the declared length is an error.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	if b.x.conn.reader.Buffered() == 0 {
		limit := time.Now().Add(b.x.client.options.ProgressLimit)
		if err := b.x.conn.SetReadDeadline(limit); err != nil {
			return 0, err
		}
		if b.x.conn.aborted.Load() {
			return 0, io.ErrUnexpectedEOF
		}
	}
	n, err := b.body.Read(p)
	if err == io.EOF {
		b.finish(b.keep)
	}
	return n, err
}

// Close gives up the rest of the body.
func (b *answerBody) Close() error {
	if !b.done {
		b.finish(false)
	}
	return nil
}

// drain reads a short body whole and gives the connection back.
func (b *answerBody) drain() error {
	n, err := io.Copy(io.Discard, io.LimitReader(b, maxDrain))
	if err != nil {
		return err
	}
	if n == maxDrain {
		return b.Close()
	}
	if !b.done {
		b.finish(b.keep)
	}
	return nil
}

func (b *answerBody) finish(keep bool) {
	b.done = true
	b.x.endUpload()
	if b.x.upload != nil {
		select {
		case err := <-b.x.upload:
			keep = keep && err == nil
		default:
			keep = false
		}
	}
	if !b.x.stop() {
		keep = false
	}
	if !keep {
		b.x.conn.close()
		return
	}
	b.x.conn.host.put(b.x.conn)
}

func bytesBody(data []byte) io.ReadCloser {
	return io.NopCloser(bytes.NewReader(data))
}

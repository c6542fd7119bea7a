package pipeline

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/egretfield/egretfield/internal/wire"
)

// answerWriter is the http.ResponseWriter of a request that is served ahead. It holds the
// answer back until those before it are written. A long answer waits at AnswerBytes.
type answerWriter struct {
	q      *queued
	header http.Header
	status int
	// body holds the beginning of the body until the head is written.
	body     bytes.Buffer
	headSent bool
	// length is the declared length of the body; -1 if there is none.
	length  int64
	written int64
	chunks  io.WriteCloser // nil unless the body is sent in chunks
	err     error
}

func newAnswerWriter(q *queued) *answerWriter {
	return &answerWriter{q: q, header: http.Header{}, length: -1}
}

// Header implements http.ResponseWriter.
func (w *answerWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter. Interim answers are left out.
func (w *answerWriter) WriteHeader(status int) {
	if w.status != 0 || status < http.StatusOK {
		return
	}
	w.status = status
	if length, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64); err == nil {
		w.length = length
	}
}

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.err != nil {
		return 0, w.err
	}
	if !w.hasBody() {
		return len(p), nil
	}
	if w.length >= 0 && w.written+int64(len(p)) > w.length {
		return 0, http.ErrContentLength
	}
	w.written += int64(len(p))
	if !w.headSent && w.body.Len()+len(p) <= w.q.conn.server.options.AnswerBytes {
		return w.body.Write(p)
	}
	if w.sendHead(false); w.err != nil {
		return 0, w.err
	}
	return len(p), w.send(p)
}

// hasBody reports whether the answer may have a body.
func (w *answerWriter) hasBody() bool {
	return w.q.request.Method != http.MethodHead && w.status != http.StatusNoContent && w.status != http.StatusNotModified
}

// FlushError implements what http.ResponseController.Flush calls. Before its turn, the
// answer stays in memory.
func (w *answerWriter) FlushError() error {
	select {
	case <-w.q.turn:
		w.WriteHeader(http.StatusOK)
		w.sendHead(false)
	default:
	}
	return w.err
}

// SetWriteDeadline implements what http.ResponseController.SetWriteDeadline calls. Before
// its turn, the connection writes other answers.
func (w *answerWriter) SetWriteDeadline(t time.Time) error {
	if !w.headSent {
		return nil
	}
	return w.q.conn.SetWriteDeadline(t)
}

// sendHead waits for the answer's turn and sends its head and what is held of its body.
// whole reports whether that is the whole body.
func (w *answerWriter) sendHead(whole bool) {
	if w.headSent || w.err != nil {
		return
	}
	w.headSent = true
	if w.err = w.q.awaitTurn(w.q.request.Context()); w.err != nil {
		return
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", w.status, http.StatusText(w.status))
	trailers := w.prepareHeader(whole)
	if w.err = w.header.Write(&head); w.err != nil {
		return
	}
	head.WriteString("\r\n")
	if w.chunks == nil {
		head.Write(w.body.Bytes())
	}
	w.err = w.write(head.Bytes())
	if w.chunks != nil && w.body.Len() > 0 && w.err == nil {
		w.err = w.send(w.body.Bytes())
	}
	w.body = bytes.Buffer{}
	for name, values := range trailers {
		w.header[name] = values
	}
}

// prepareHeader sets the fields that net/http sets for other answers. It removes and
// returns the trailers.
func (w *answerWriter) prepareHeader(whole bool) http.Header {
	trailers := http.Header{}
	for name, values := range w.header {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			trailers[name] = values
			delete(w.header, name)
		}
	}
	if w.header["Date"] == nil {
		w.header["Date"] = []string{time.Now().UTC().Format(http.TimeFormat)}
	}
	if w.q.request.Close {
		w.header["Connection"] = []string{"close"}
	}
	delete(w.header, "Transfer-Encoding")
	switch {
	case !w.hasBody() || w.length >= 0:
	case whole && len(trailers) == 0:
		w.header["Content-Length"] = []string{strconv.Itoa(w.body.Len())}
	default:
		w.header["Transfer-Encoding"] = []string{"chunked"}
		w.chunks = httputil.NewChunkedWriter(writerFunc(w.write))
	}
	return trailers
}

type writerFunc func(p []byte) error

func (f writerFunc) Write(p []byte) (int, error) {
	if err := f(p); err != nil {
		return 0, err
	}
	return len(p), nil
}

// send writes a part of the body.
func (w *answerWriter) send(p []byte) error {
	if w.chunks != nil {
		_, w.err = w.chunks.Write(p)
	} else {
		w.err = w.write(p)
	}
	return w.err
}

// write writes to the connection. A caller that doesn't read ends it.
func (w *answerWriter) write(p []byte) error {
	nc := w.q.conn.Conn
	if err := nc.SetWriteDeadline(time.Now().Add(wire.DefaultProgressTimeout)); err != nil {
		return err
	}
	if _, err := nc.Write(p); err != nil {
		return eris.Wrap(err, "write answer")
	}
	return nc.SetWriteDeadline(time.Time{})
}

// finish sends the rest of the answer. It fails if the answer is not complete.
func (w *answerWriter) finish() error {
	w.WriteHeader(http.StatusOK)
	if w.hasBody() && w.length >= 0 && w.written != w.length {
		return eris.Errorf("answer has %d bytes, expected %d", w.written, w.length)
	}
	w.sendHead(true)
	if w.err != nil || w.chunks == nil {
		return w.err
	}
	if err := w.chunks.Close(); err != nil {
		return err
	}
	var trailer bytes.Buffer
	for name, values := range w.header {
		if field, ok := strings.CutPrefix(name, http.TrailerPrefix); ok {
			for _, value := range values {
				fmt.Fprintf(&trailer, "%s: %s\r\n", field, value)
			}
		}
	}
	trailer.WriteString("\r\n")
	return w.write(trailer.Bytes())
}

// closes reports whether the answer announces the end of the connection.
func (w *answerWriter) closes() bool {
	return strings.EqualFold(w.header.Get("Connection"), "close")
}

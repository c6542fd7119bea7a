// Package http1 reads the answers of HTTP/1.1 peers. It alone decides what an answer is and
// where its body ends: by RFC 9110 and RFC 9112, an answer that breaks them is an error and
// not repaired, because what another recipient would make of it isn't known.
package http1

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net/http"
	"net/textproto"
	"os"

	"github.com/rotisserie/eris"
)

// maxTrailerBytes limits the size of a trailer.
const maxTrailerBytes = 16 << 10

// ErrMalformed is the cause of all errors about answers that break HTTP. Errors of the
// connection, its end in the middle of an answer included, are returned as they are.
var ErrMalformed = eris.New("malformed answer")

// ErrTooLarge is returned for a head or a trailer that exceeds its limit.
var ErrTooLarge = eris.New("answer header or trailer too large")

func malformed(format string, args ...any) error {
	return eris.Wrapf(ErrMalformed, format, args...)
}

// Reader reads the answers on a connection, one after the other. It isn't safe for
// concurrent use.
type Reader struct {
	source       boundedReader
	buffer       *bufio.Reader
	lines        textproto.Reader
	maxHeadBytes int64
}

// NewReader returns a Reader with a buffer of bufferBytes. Heads of more than maxHeadBytes
// are errors; as many bytes more as fit into the buffer may be read.
func NewReader(conn io.Reader, bufferBytes int, maxHeadBytes int64) *Reader {
	r := &Reader{source: boundedReader{conn: conn, remaining: math.MaxInt64}, maxHeadBytes: maxHeadBytes}
	r.buffer = bufio.NewReaderSize(&r.source, bufferBytes)
	r.lines = textproto.Reader{R: r.buffer}
	return r
}

// AwaitByte waits until a byte can be read. At the end of the connection it returns
// io.ErrUnexpectedEOF.
func (r *Reader) AwaitByte() error {
	_, err := r.buffer.Peek(1)
	return unexpected(err)
}

// Buffered returns the number of bytes that can be read without reading the connection.
func (r *Reader) Buffered() int { return r.buffer.Buffered() }

// Answer is an answer whose head was read.
type Answer struct {
	Status int
	// Header holds all fields of the head. Content-Length has one value if it is there.
	Header http.Header
	// Length is the length of the body in bytes as the head declares it, or -1 if it doesn't.
	// In the answer to a HEAD request it describes a body that isn't sent.
	Length int64
	// Body returns io.EOF at the end of the body. It is nil if there is no body.
	Body io.Reader
	// EndsWithConn reports whether the end of the connection is the end of the body. Body
	// takes every end of the connection for it that the connection reports as io.EOF.
	EndsWithConn bool
	// Close reports whether no other answer may follow on the connection.
	Close bool
	// Trailer is complete after Body has returned io.EOF.
	Trailer http.Header
}

// IsInterim reports whether the final answer to the request is still to come.
func (a *Answer) IsInterim() bool { return a.Status < http.StatusOK }

// ReadAnswer reads the head of the next answer, which may be an interim one. The method is
// that of the request. The body of the answer before must have been read to its end.
func (r *Reader) ReadAnswer(method string) (*Answer, error) {
	r.source.remaining = r.maxHeadBytes
	line, err := r.lines.ReadLine()
	if err != nil {
		return nil, unexpected(err)
	}
	answer := &Answer{}
	minorVersion, err := answer.parseStatusLine(line)
	if err != nil {
		return nil, r.lineError(err)
	}
	if answer.Header, err = r.readFields(); err != nil {
		return nil, err
	}
	r.source.remaining = math.MaxInt64
	if err := answer.frame(r, method, minorVersion); err != nil {
		return nil, err
	}
	return answer, nil
}

// lineError returns the error for a line that can't be parsed: one behind which the connection
// failed isn't malformed but cut.
func (r *Reader) lineError(err error) error {
	if r.source.err != nil {
		return unexpected(r.source.err)
	}
	return err
}

// boundedReader reads at most remaining bytes from a connection.
type boundedReader struct {
	conn      io.Reader
	remaining int64
	// err is the error of the last read.
	err error
}

// Read implements io.Reader. It fails once no bytes remain. After an error that ended the
// connection it returns the same one: a socket reports a reset once, and then only the end.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.err != nil && !errors.Is(r.err, os.ErrDeadlineExceeded) {
		return 0, r.err
	}
	if r.remaining <= 0 {
		return 0, ErrTooLarge
	}
	if int64(len(p)) > r.remaining {
		p = p[:r.remaining]
	}
	n, err := r.conn.Read(p)
	r.remaining -= int64(n)
	r.err = err
	return n, err
}

// unexpected replaces io.EOF by io.ErrUnexpectedEOF.
func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

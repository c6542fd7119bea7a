package http1

import (
	"bufio"
	"io"
	"math"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	contentLength    = "Content-Length"
	transferEncoding = "Transfer-Encoding"
)

// frame decides where the body ends (RFC 9112, section 6.3) and whether the connection can
// carry another answer.
func (a *Answer) frame(r *Reader, method string, minorVersion int) error {
	isChunked, err := a.parseTransferEncoding(minorVersion)
	if err != nil {
		return err
	}
	if a.Length, err = a.parseContentLength(); err != nil {
		return err
	}
	if isChunked && a.Length >= 0 {
		return malformed("both %s and %s", transferEncoding, contentLength)
	}
	connection := a.Header["Connection"]
	a.Close = httpguts.HeaderValuesContainsToken(connection, "close") ||
		minorVersion == 0 && !httpguts.HeaderValuesContainsToken(connection, "keep-alive")
	switch {
	case a.IsInterim() || a.Status == http.StatusNoContent:
		// These have no body, and no fields that describe one. A peer that sends them all
		// the same may send the body, too.
		a.Close = a.Close || isChunked || a.Length > 0
		a.Length = 0
		delete(a.Header, contentLength)
	case a.Status == http.StatusNotModified:
		a.Length = 0
	case method == http.MethodHead:
	case isChunked:
		a.Body = &chunkedBody{reader: r, answer: a, chunks: httputil.NewChunkedReader(r.buffer)}
	case a.Length < 0:
		a.Body, a.EndsWithConn, a.Close = r.buffer, true, true
	case a.Length > 0:
		a.Body = &lengthBody{buffer: r.buffer, left: a.Length}
	}
	return nil
}

// parseTransferEncoding reports whether the body is sent in chunks. No other coding was
// asked for, and HTTP/1.0 has none.
func (a *Answer) parseTransferEncoding(minorVersion int) (isChunked bool, err error) {
	values, ok := a.Header[transferEncoding]
	if !ok {
		return false, nil
	}
	if minorVersion == 0 {
		return false, malformed("%s in HTTP/1.0", transferEncoding)
	}
	if len(values) != 1 || !strings.EqualFold(values[0], "chunked") {
		return false, malformed("%s %q, expected chunked", transferEncoding, values)
	}
	return true, nil
}

// parseContentLength returns the declared length, or -1 if there is none. The same length
// may be declared several times.
func (a *Answer) parseContentLength() (int64, error) {
	fields, ok := a.Header[contentLength]
	if !ok {
		return -1, nil
	}
	first, length := "", int64(-1)
	for _, field := range fields {
		for value := range strings.SplitSeq(field, ",") {
			value = strings.Trim(value, blanks)
			parsed, err := strconv.ParseUint(value, 10, 63)
			if err != nil {
				return 0, malformed("%s %q, expected a number of bytes", contentLength, fields)
			}
			if length >= 0 && int64(parsed) != length {
				return 0, malformed("%s %q, expected one length", contentLength, fields)
			}
			first, length = value, int64(parsed)
		}
	}
	if len(fields) > 1 || fields[0] != first {
		a.Header[contentLength] = []string{first}
	}
	return length, nil
}

// lengthBody is a body of known length.
type lengthBody struct {
	buffer *bufio.Reader
	left   int64
}

// Read implements io.Reader. The last bytes come with io.EOF.
func (b *lengthBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.buffer.Read(p)
	b.left -= int64(n)
	switch {
	case b.left == 0:
		return n, io.EOF
	case err != nil:
		return n, unexpected(err)
	}
	return n, nil
}

// chunkedBody is a body in chunks with the trailer behind it.
type chunkedBody struct {
	reader *Reader
	answer *Answer
	chunks io.Reader
	err    error
}

// Read implements io.Reader. It returns io.EOF after the trailer.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	switch {
	case err == io.EOF:
		err = b.readTrailer()
	case err != nil && b.reader.source.err == nil:
		err = malformed("%v", err)
	}
	b.err = err
	return n, err
}

// readTrailer reads the trailer and returns io.EOF if it is sound. Fields that would change
// the framing are discarded.
func (b *chunkedBody) readTrailer() error {
	b.reader.source.remaining = maxTrailerBytes
	defer func() { b.reader.source.remaining = math.MaxInt64 }()
	trailer, err := b.reader.readFields()
	if err != nil {
		return err
	}
	delete(trailer, contentLength)
	delete(trailer, transferEncoding)
	if len(trailer) > 0 {
		b.answer.Trailer = trailer
	}
	return io.EOF
}

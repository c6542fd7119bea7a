package pipeline

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// maxChunkLineBytes limits a chunk's size line with its extensions.
	maxChunkLineBytes = 4 << 10
	// maxTrailerBytes limits the trailer section of a chunked body.
	maxTrailerBytes = 4 << 10
	// maxChunkSizeDigits keeps a chunk's size within an int64.
	maxChunkSizeDigits = 15
)

// errChunked is returned when a chunked body is malformed: its end, and so the beginning
// of the next request, is unknown.
var errChunked = eris.New("malformed chunked body: expected a size in hexadecimal digits, CRLF and the chunk")

// framerState says which part of a request the next byte belongs to.
type framerState int

const (
	inHead framerState = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	atEnd
)

// framer finds the end of one request in a stream of bytes. It accepts no framing that
// net/http would read in another way; where the end of a request is ambiguous, the
// request ends with its head and nothing behind it may be read as a request.
type framer struct {
	state framerState
	// line is the beginning of a line whose rest hasn't arrived.
	line []byte
	// headBytes and trailerBytes count the bytes of the head and the trailer section.
	headBytes, trailerBytes int
	maxHeadBytes            int
	// remaining is the number of bytes missing from a body of known length or a chunk.
	remaining int64
	head      head
}

// head holds what the head of a request says about its end and its connection.
type head struct {
	started bool // the request line was read
	safe    bool // the method is GET, HEAD or OPTIONS
	// contentLength is the value of Content-Length; empty if there is none.
	contentLength string
	chunked       bool
	// ambiguous tells why the end of the request is uncertain; empty if it is certain.
	ambiguous string
	// tooLarge reports whether the head exceeds the limit.
	tooLarge bool
	// closes reports whether the connection carries no request after this one.
	closes bool
	// oldVersion reports whether the request has an HTTP version before 1.1.
	oldVersion bool
	// plain reports whether the head has only fields and bytes that need no further
	// checks by net/http.
	plain bool
	hosts int
}

func newFramer(maxHeadBytes int) framer {
	return framer{maxHeadBytes: maxHeadBytes, head: head{plain: true}}
}

// scan returns how many bytes of data belong to the request. Once it has returned an
// error, the rest of the stream can't be divided into requests.
func (f *framer) scan(data []byte) (int, error) {
	n := 0
	for n < len(data) && f.state != atEnd {
		switch f.state {
		case inBody, inChunk:
			part := min(f.remaining, int64(len(data)-n))
			n += int(part)
			f.remaining -= part
			if f.remaining == 0 {
				f.endData()
			}
			continue
		}
		end := bytes.IndexByte(data[n:], '\n')
		if end < 0 {
			rest := data[n:]
			if err := f.countLine(len(rest)); err != nil || f.state == atEnd {
				return n, err
			}
			f.line = append(f.line, rest...)
			return len(data), nil
		}
		line := data[n : n+end+1]
		if err := f.countLine(len(line)); err != nil || f.state == atEnd {
			return n, err
		}
		if len(f.line) > 0 {
			f.line = append(f.line, line...)
			line = f.line
		}
		if err := f.scanLine(line); err != nil {
			return n, err
		}
		f.line = f.line[:0]
		n += end + 1
	}
	return n, nil
}

func (f *framer) endData() {
	if f.state == inBody {
		f.state = atEnd
	} else {
		f.state = inChunkEnd
	}
}

// countLine applies the limits to n further bytes of a line.
func (f *framer) countLine(n int) error {
	switch f.state {
	case inHead:
		f.headBytes += n
		if f.headBytes > f.maxHeadBytes {
			f.head.tooLarge, f.head.closes = true, true
			f.head.ambiguous = "request header too large"
			f.state = atEnd
		}
	case inTrailer:
		f.trailerBytes += n
		if f.trailerBytes > maxTrailerBytes {
			return eris.Errorf("trailer section of more than %d bytes", maxTrailerBytes)
		}
	default:
		if len(f.line)+n > maxChunkLineBytes {
			return eris.Errorf("chunk size line of more than %d bytes", maxChunkLineBytes)
		}
	}
	return nil
}

// scanLine reads a whole line with its line end.
func (f *framer) scanLine(line []byte) error {
	text, crlf := bytes.CutSuffix(line, []byte("\r\n"))
	if !crlf {
		text = text[:len(text)-1]
	}
	switch f.state {
	case inHead:
		f.scanHeadLine(text, crlf)
	case inChunkSize:
		return f.scanChunkSize(text, crlf)
	case inChunkEnd:
		if len(text) > 0 || !crlf {
			return errChunked
		}
		f.state = inChunkSize
	case inTrailer:
		if !crlf {
			return errChunked
		}
		if len(text) == 0 {
			f.state = atEnd
		}
	}
	return nil
}

func (f *framer) scanChunkSize(text []byte, crlf bool) error {
	digits, _, _ := bytes.Cut(text, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	if !crlf || len(digits) == 0 || len(digits) > maxChunkSizeDigits {
		return errChunked
	}
	size, err := strconv.ParseUint(string(digits), 16, 63)
	if err != nil {
		return errChunked
	}
	f.remaining = int64(size)
	f.state = inChunk
	if size == 0 {
		f.state = inTrailer
	}
	return nil
}

// scanHeadLine reads a line of the head. An empty line ends the head, unless it stands
// before the request line.
func (f *framer) scanHeadLine(text []byte, crlf bool) {
	h := &f.head
	h.plain = h.plain && crlf && !hasControl(text)
	switch {
	case !h.started && len(text) == 0:
		h.plain = false
	case !h.started:
		h.started = true
		h.readRequestLine(text)
	case len(text) == 0:
		f.endHead()
	default:
		h.readField(text)
	}
}

func hasControl(text []byte) bool {
	for _, b := range text {
		if (b < ' ' && b != '\t') || b == 0x7f {
			return true
		}
	}
	return false
}

func (h *head) readRequestLine(line []byte) {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	_, version, _ := bytes.Cut(rest, []byte(" "))
	switch string(method) {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		h.safe = true
	case http.MethodConnect:
		h.closes = true
	}
	switch string(version) {
	case "HTTP/1.1":
	case "HTTP/1.0":
		h.closes, h.oldVersion, h.plain = true, true, false
	default:
		h.ambiguous = "the request line has no HTTP version 1.0 or 1.1"
	}
}

func (h *head) readField(line []byte) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || len(name) == 0 || bytes.ContainsAny(name, " \t") {
		h.ambiguous = "malformed or folded header line"
		return
	}
	value = bytes.Trim(value, " \t")
	switch {
	case equalFold(name, "content-length"):
		h.readLength(string(value))
	case equalFold(name, "transfer-encoding"):
		if h.chunked || !equalFold(value, "chunked") {
			h.ambiguous = "Transfer-Encoding is not chunked"
		}
		h.chunked = true
	case equalFold(name, "connection"):
		h.readConnection(string(value))
	case equalFold(name, "host"):
		h.hosts++
	case equalFold(name, "expect"), equalFold(name, "upgrade"), equalFold(name, "trailer"):
		h.plain = false
	}
}

func (h *head) readLength(text string) {
	switch {
	case !isLength(text):
		h.ambiguous = "Content-Length is not a number of bytes"
	case h.contentLength != "" && h.contentLength != text:
		h.ambiguous = "request has several values of Content-Length"
	}
	h.contentLength = text
}

func equalFold(name []byte, lower string) bool {
	return len(name) == len(lower) && strings.EqualFold(string(name), lower)
}

func (h *head) readConnection(value string) {
	for option := range strings.SplitSeq(value, ",") {
		if strings.EqualFold(strings.Trim(option, " \t"), "close") {
			h.closes = true
		}
	}
}

// isLength reports whether text is a length in bytes that fits an int64.
func isLength(text string) bool {
	for _, digit := range text {
		if digit < '0' || digit > '9' {
			return false
		}
	}
	_, err := strconv.ParseInt(text, 10, 64)
	return err == nil
}

func (f *framer) endHead() {
	h := &f.head
	if h.chunked && h.contentLength != "" {
		h.ambiguous = "request has both Content-Length and Transfer-Encoding"
	}
	if h.chunked && h.oldVersion {
		h.ambiguous = "request of HTTP/1.0 has Transfer-Encoding"
	}
	f.state = atEnd
	switch {
	case h.ambiguous != "":
		h.closes = true
	case h.chunked:
		f.state = inChunkSize
	case h.contentLength != "":
		f.remaining, _ = strconv.ParseInt(h.contentLength, 10, 64) // isLength has checked it
		if f.remaining > 0 {
			f.state = inBody
		}
	}
}

// mayRunAhead reports whether a whole request may be served while requests before it are:
// it has a safe method and no body, and nothing in its head is unusual.
func (f *framer) mayRunAhead() bool {
	h := &f.head
	return f.state == atEnd && h.safe && h.plain && h.ambiguous == "" && h.hosts == 1 && !h.chunked && h.contentLength == ""
}

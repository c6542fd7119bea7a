package wire

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

// NewCallerListener wraps a listener for callers. Its connections record the header of
// a request as it was sent, for CheckFraming, and replace net/http's plain-text answers
// to malformed requests by error answers of the system.
func NewCallerListener(l net.Listener) net.Listener {
	return callerListener{l}
}

type callerListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: nc, atRequestStart: true}, nil
}

// callerConn is a connection from a caller. Read and Write may be called concurrently.
type callerConn struct {
	net.Conn

	mu sync.Mutex
	// head contains the first bytes of the latest request that was not pipelined, up to
	// MaxHeaderBytes.
	head []byte
	// atRequestStart reports whether the next read starts a new request: nothing was
	// read since the last write.
	atRequestStart bool
}

// Read implements io.Reader and records the head of each request that is not pipelined.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.recordHead(p[:n])
	}
	return n, err
}

func (c *callerConn) recordHead(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.atRequestStart {
		c.atRequestStart = false
		c.head = c.head[:0]
	} else if bytes.Contains(c.head, headEnd) {
		return
	}
	if room := MaxHeaderBytes - len(c.head); len(data) > room {
		data = data[:room]
	}
	c.head = append(c.head, data...)
}

var headEnd = []byte("\r\n\r\n")

// plainErrorHeader is the header of net/http's own answers to malformed requests.
const plainErrorHeader = "Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"

// Write implements io.Writer and replaces net/http's own error answers.
func (c *callerConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.atRequestStart = true
	c.mu.Unlock()
	if answer := replacementAnswer(p); answer != nil {
		_, err := c.Conn.Write(answer)
		return len(p), err
	}
	return c.Conn.Write(p)
}

// replacementAnswer returns the error answer that replaces net/http's answer in p. It
// returns nil if p is something else.
func replacementAnswer(p []byte) []byte {
	if !bytes.HasPrefix(p, []byte("HTTP/1.1 ")) {
		return nil
	}
	line, rest, _ := bytes.Cut(p, []byte("\r\n"))
	kind := pb.ErrorKind_ERROR_KIND_BAD_REQUEST
	message, plain := bytes.CutPrefix(rest, []byte(plainErrorHeader))
	switch {
	// An answer with a request id was written by a handler, not by net/http itself.
	case bytes.HasPrefix(line, []byte("HTTP/1.1 417")) && !bytes.Contains(rest, []byte(HeaderRequestID)):
		message = []byte("the Expect header has a value other than 100-continue")
	case !plain:
		return nil
	case bytes.HasPrefix(line, []byte("HTTP/1.1 431")):
		kind = pb.ErrorKind_ERROR_KIND_HEADERS_TOO_LARGE
	}
	properties := errkind.Of(kind)
	body, _ := json.Marshal(errorBody(properties, strings.TrimSpace(string(message)), "")) // strings always marshal
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		properties.Status, http.StatusText(properties.Status), HeaderError, properties.Name, HeaderRun, RunName(properties.Run), len(body), body)
}

// requestHead returns a copy of the recorded head.
func (c *callerConn) requestHead() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return bytes.Clone(c.head)
}

type callerConnKey struct{}

func withCallerConn(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*callerConn); ok {
		return context.WithValue(ctx, callerConnKey{}, c)
	}
	return ctx
}

package wire

import (
	"net/http"
	"time"
)

// Limits of the HTTP servers for callers and for other nodes.
const (
	// ReadHeaderTimeout closes a connection whose request header arrives too slowly.
	ReadHeaderTimeout = 5 * time.Second
	// MaxHeaderBytes is the largest limit of callers' headers that a configuration may set.
	MaxHeaderBytes = 1 << 20
	// HeaderSlackBytes is the room above a limit of callers' headers for what the limit
	// doesn't count, and for the headers that nodes add.
	HeaderSlackBytes = 16 << 10
	// ServerIdleTimeout closes connections without a request. It is longer than the
	// default idle timeout of a Client, so that nodes seldom send a request on a
	// connection that is being closed.
	ServerIdleTimeout = 90 * time.Second
)

// NewServer returns an HTTP server with the limits of the request path.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: ReadHeaderTimeout,
		MaxHeaderBytes:    MaxHeaderBytes + HeaderSlackBytes,
		IdleTimeout:       ServerIdleTimeout,
	}
}

package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/egretfield/egretfield/internal/defaults"
)

// Defaults of the fields of Options.
const (
	DefaultMaxMessageBytes   = 2 << 20
	DefaultDialTimeout       = time.Second
	DefaultHandshakeTimeout  = 2 * time.Second
	DefaultWriteTimeout      = 2 * time.Second
	DefaultCallTimeout       = 5 * time.Second
	DefaultClientIdleTimeout = 15 * time.Second
	DefaultServerIdleTimeout = 60 * time.Second
	DefaultMaxConns          = 2048
	DefaultMaxHandshakes     = 256
	DefaultMaxConnCalls      = 64
)

// MinKeyBytes is the minimum length of a shared key.
const MinKeyBytes = 16

// Options configure a client or server. Fields marked with one of them are ignored
// by the other. The zero value uses the defaults.
type Options struct {
	// TLS is the configuration for TLS connections; nil: plain TCP.
	TLS *tls.Config
	// MaxMessageBytes is the maximum size of a message accepted or sent.
	MaxMessageBytes int
	// DialTimeout bounds a dial including its handshakes (client).
	DialTimeout time.Duration
	// HandshakeTimeout bounds the handshakes of an accepted connection (server).
	HandshakeTimeout time.Duration
	// WriteTimeout bounds the write of one message.
	WriteTimeout time.Duration
	// CallTimeout bounds a call whose context has no deadline (client).
	CallTimeout time.Duration
	// IdleTimeout is how long a connection stays open without a running call (client)
	// or without a new one (server).
	IdleTimeout time.Duration
	// MaxConns is the maximum number of open connections (server).
	MaxConns int
	// MaxHandshakes is the maximum number of open connections that aren't
	// authenticated yet (server).
	MaxHandshakes int
	// MaxConnCalls is the maximum number of calls running on one connection.
	// Further calls fail (client) or wait while nothing more is read from the
	// connection (server).
	MaxConnCalls int
	// Dial opens a connection, on top of which TLS is used if configured; nil: a
	// TCP dialer (client).
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Logger receives panics of called methods and errors of the listener; nil disables
	// logging (server).
	Logger *zap.Logger
}

// withDefaults sets the defaults of fields left at zero; idleTimeout is the
// default of IdleTimeout.
func (o Options) withDefaults(idleTimeout time.Duration) Options {
	defaults.Set(&o.MaxMessageBytes, DefaultMaxMessageBytes)
	defaults.Set(&o.DialTimeout, DefaultDialTimeout)
	defaults.Set(&o.HandshakeTimeout, DefaultHandshakeTimeout)
	defaults.Set(&o.WriteTimeout, DefaultWriteTimeout)
	defaults.Set(&o.CallTimeout, DefaultCallTimeout)
	defaults.Set(&o.IdleTimeout, idleTimeout)
	defaults.Set(&o.MaxConns, DefaultMaxConns)
	defaults.Set(&o.MaxHandshakes, DefaultMaxHandshakes)
	defaults.Set(&o.MaxConnCalls, DefaultMaxConnCalls)
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", addr)
		}
	}
	return o
}

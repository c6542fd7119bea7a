package wire

import (
	"context"
	"net"
)

// NewSocketListener wraps a listener so that reads and writes on its TCP connections
// wake as few threads as possible. A TLS listener must wrap the returned listener, not
// the other way round.
func NewSocketListener(l net.Listener) net.Listener {
	return socketListener{l}
}

type socketListener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l socketListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return wrapSocket(nc), nil
}

// wrapSocket wraps nc in a socket. Builds with the race detector keep package net's
// calls, from which the detector learns the order of events between goroutines.
func wrapSocket(nc net.Conn) net.Conn {
	if raceEnabled {
		return nc
	}
	return newSocket(nc)
}

// dialSocket opens a connection like those that a listener made by NewSocketListener
// accepts.
func dialSocket(ctx context.Context, network, addr string) (net.Conn, error) {
	nc, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return wrapSocket(nc), nil
}

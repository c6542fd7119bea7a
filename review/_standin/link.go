package main

import (
	"io"
	"net"
	"sync"
)

// link is a proxy that stands for the network between two addresses.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[*linkConn]bool
}

// linkConn is one connection through a link.
type linkConn struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
}

func newLink(listen, target string) (*link, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, conns: map[*linkConn]bool{}}
	go l.serve()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) serve() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", l.target)
		if err != nil {
			near.Close()
			continue
		}
		c := &linkConn{near: near, far: far}
		l.mu.Lock()
		l.conns[c] = true
		l.mu.Unlock()
		go c.copy(far, near)
		go c.copy(near, far)
	}
}

// copy forwards bytes; those of a silent connection, and its end, are dropped.
func (c *linkConn) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if silent {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, errWrite := to.Write(buf[:n]); errWrite != nil {
				err = errWrite
			}
		}
		if err != nil {
			if err == io.EOF {
				_ = to.(*net.TCPConn).CloseWrite()
				return
			}
			c.near.Close()
			c.far.Close()
			return
		}
	}
}

// silence makes all open connections silent for good. New ones work. It returns their
// number.
func (l *link) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	return len(l.conns)
}

func (l *link) close() {
	l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.near.Close()
		c.far.Close()
	}
}

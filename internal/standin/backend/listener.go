package backend

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// limitedListener closes connections beyond a limit, delays the first read of each new
// connection, and can silence the open ones.
type limitedListener struct {
	net.Listener
	limit int64
	delay time.Duration
	open  atomic.Int64
	// epoch counts the calls of silence; connections of earlier epochs are silent.
	epoch atomic.Int64
}

func newLimitedListener(inner net.Listener, limit int, delay time.Duration) *limitedListener {
	return &limitedListener{Listener: inner, limit: int64(limit), delay: delay}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &limitedConn{Conn: conn, listener: l, epoch: l.epoch.Load(), done: make(chan struct{})}, nil
		}
		l.open.Add(-1)
		conn.Close()
	}
}

// silence makes the open connections silent for good: they discard what either end
// sends, and neither end gets an error or an end of file.
func (l *limitedListener) silence() {
	l.epoch.Add(1)
}

// limitedConn is a connection of a limitedListener. It counts towards the limit until
// it is closed.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	epoch    int64
	// done is closed when the connection is closed on this side.
	done      chan struct{}
	delayOnce sync.Once
	closeOnce sync.Once
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	c.delayOnce.Do(func() { time.Sleep(c.listener.delay) })
	n, err := c.Conn.Read(p)
	for c.isSilent() {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, err
		}
		if err != nil {
			<-c.done
			return 0, net.ErrClosed
		}
		n, err = c.Conn.Read(p)
	}
	return n, err
}

// Write implements net.Conn.
func (c *limitedConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *limitedConn) isSilent() bool {
	return c.epoch != c.listener.epoch.Load()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.closeOnce.Do(func() {
		c.listener.open.Add(-1)
		close(c.done)
	})
	if c.isSilent() {
		return c.abandon()
	}
	return c.Conn.Close()
}

// abandon closes a silent connection without informing the other end: the socket
// stays open, and its input is discarded, until that end closes it. net/http may still set
// a deadline in the past to end a read of its own.
func (c *limitedConn) abandon() error {
	go func() {
		err := os.ErrDeadlineExceeded
		for errors.Is(err, os.ErrDeadlineExceeded) {
			_ = c.Conn.SetDeadline(time.Time{}) // fails only on a closed connection, which the copy shows
			_, err = io.Copy(io.Discard, c.Conn)
		}
		c.Conn.Close()
	}()
	return nil
}

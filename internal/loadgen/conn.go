package loadgen

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = 2 * time.Second
	// maxIdleTime is how long an idle connection may still be reused.
	maxIdleTime      = 5 * time.Second
	readBufferBytes  = 8 << 10
	writeBufferBytes = 4 << 10
)

// conn is a persistent connection, used by one request at a time.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	reused    bool
	idleSince time.Time
}

// pool keeps idle connections to one address and reuses the most recently used
// one first. It is safe for concurrent use.
type pool struct {
	address string
	dialled *atomic.Uint64

	mu   sync.Mutex
	idle []*conn
}

// get returns an idle connection that is still open, or a new one.
func (p *pool) get(ctx context.Context) (*conn, error) {
	for {
		c := p.takeIdle()
		if c == nil {
			return p.dial(ctx)
		}
		if time.Since(c.idleSince) < maxIdleTime && isOpen(c.Conn) {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
}

func (p *pool) takeIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *pool) dial(ctx context.Context) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	netConn, err := dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	p.dialled.Add(1)
	return &conn{
		Conn:   netConn,
		reader: bufio.NewReaderSize(netConn, readBufferBytes),
		writer: bufio.NewWriterSize(netConn, writeBufferBytes),
	}, nil
}

func (p *pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

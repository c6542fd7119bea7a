package wire

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrTooManyConns is returned when the connection limit of an address is reached.
var ErrTooManyConns = eris.New("connection limit reached")

// pool manages the connections to one address.
type pool struct {
	addr   string
	client *Client

	mu   sync.Mutex
	idle []*conn // newest last
	open int
	// retiredAt is the last time that all connections were retired. Connections dialed
	// before it aren't reused.
	retiredAt time.Time
	lastUsed  time.Time
}

// get returns an idle connection or dials a new one; requireNewConn requires a new one.
func (p *pool) get(ctx context.Context, call *Call, requireNewConn bool) (*conn, error) {
	if !requireNewConn {
		if c := p.takeUsable(call.RequestID); c != nil {
			return c, nil
		}
	}
	return p.dial(ctx, call.Deadline)
}

// takeUsable returns an idle connection for a request; nil if there is none.
func (p *pool) takeUsable(requestID string) *conn {
	for {
		c := p.popIdle(requestID)
		if c == nil {
			return nil
		}
		if p.isUsable(c) {
			c.reused = true
			return c
		}
		c.close()
	}
}

// popIdle removes and returns the newest idle connection on which no late answer to an
// earlier sending of the request can arrive.
func (p *pool) popIdle(requestID string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUsed = time.Now()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; !c.mayAnswerAgain(requestID) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

func (p *pool) isUsable(c *conn) bool {
	idleTime := time.Since(c.idleSince)
	if idleTime > p.client.options.IdleTimeout || c.idleLimit > 0 && idleTime > c.idleLimit {
		return false
	}
	return c.isAlive()
}

func (p *pool) dial(ctx context.Context, deadline time.Time) (*conn, error) {
	if !p.reserveConn() {
		return nil, eris.Wrapf(ErrTooManyConns, "address %s", p.addr)
	}
	start := time.Now()
	dialDeadline := start.Add(p.client.options.DialTimeout)
	if deadline.Before(dialDeadline) {
		dialDeadline = deadline
	}
	ctx, cancel := context.WithDeadline(ctx, dialDeadline)
	defer cancel()
	nc, err := p.client.options.Dial(ctx, "tcp", p.addr)
	if err != nil {
		p.release()
		return nil, eris.Wrapf(err, "dial %s", p.addr)
	}
	c := newConn(nc, p)
	c.roundTrip = time.Since(start)
	return c, nil
}

// reserveConn counts one more open connection if the limit allows it. At the limit, it
// closes the oldest idle connection to make room.
func (p *pool) reserveConn() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.client.options.MaxConns
	if limit > 0 && p.open >= limit {
		if len(p.idle) == 0 {
			return false
		}
		oldest := p.idle[0]
		p.idle = append(p.idle[:0], p.idle[1:]...)
		oldest.closed.Store(true)
		_ = oldest.Conn.Close()
		p.open--
	}
	p.open++
	return true
}

func (p *pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// put returns c to the pool for the next request.
func (p *pool) put(c *conn) {
	now := time.Now()
	c.idleSince = now
	p.client.sweep(now)
	p.mu.Lock()
	discard := len(p.idle) >= p.client.options.MaxIdle || c.dialedAt.Before(p.retiredAt)
	if !discard {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if discard {
		c.close()
	}
}

// retire closes the idle connections and marks those in use to be closed after their
// current request.
func (p *pool) retire(now time.Time) {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.retiredAt = now
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// allIdleClosed reports whether there are idle connections and none of them can be used
// any more, usually because the peer has closed them.
func (p *pool) allIdleClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		if c.isAlive() {
			return false
		}
	}
	return len(p.idle) > 0
}

// sweep closes idle connections that timed out. It reports whether the pool itself has no
// connections left and has been unused for longer than IdleTimeout.
func (p *pool) sweep(now time.Time) bool {
	p.mu.Lock()
	var expired []*conn
	for len(p.idle) > 0 && now.Sub(p.idle[0].idleSince) > p.client.options.IdleTimeout {
		expired = append(expired, p.idle[0])
		p.idle = append(p.idle[:0], p.idle[1:]...)
	}
	unused := p.open == len(expired) && now.Sub(p.lastUsed) > p.client.options.IdleTimeout
	p.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
	return unused
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

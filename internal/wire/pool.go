package wire

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrTooManyConns means that the connection limit of a host is reached.
var ErrTooManyConns = eris.New("connection limit reached")

// host holds the connections to one address.
type host struct {
	addr   string
	client *Client

	mu   sync.Mutex
	idle []*conn // newest last
	open int
	// retired: connections dialed before it aren't used again.
	retired time.Time
	used    time.Time
}

// get returns an idle connection, or dials one. Fresh forbids idle ones.
func (h *host) get(ctx context.Context, deadline time.Time, fresh bool) (*conn, error) {
	if !fresh {
		if c := h.takeIdle(); c != nil {
			return c, nil
		}
	}
	return h.dial(ctx, deadline)
}

func (h *host) takeIdle() *conn {
	for {
		c := h.popIdle()
		if c == nil {
			return nil
		}
		if h.usable(c) {
			c.reused = true
			return c
		}
		c.close()
	}
}

func (h *host) popIdle() *conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.used = time.Now()
	if len(h.idle) == 0 {
		return nil
	}
	last := len(h.idle) - 1
	c := h.idle[last]
	h.idle[last] = nil
	h.idle = h.idle[:last]
	return c
}

func (h *host) usable(c *conn) bool {
	idle := time.Since(c.idle)
	if idle > h.client.options.IdleTimeout || c.idleLimit > 0 && idle > c.idleLimit {
		return false
	}
	return c.alive()
}

func (h *host) dial(ctx context.Context, deadline time.Time) (*conn, error) {
	if !h.reserve() {
		return nil, eris.Wrapf(ErrTooManyConns, "host %s", h.addr)
	}
	begun := time.Now()
	limit := begun.Add(h.client.options.DialTimeout)
	if deadline.Before(limit) {
		limit = deadline
	}
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	nc, err := h.client.options.Dial(ctx, "tcp", h.addr)
	if err != nil {
		h.forget()
		return nil, eris.Wrapf(err, "dial %s", h.addr)
	}
	c := newConn(nc, h)
	c.roundTrip = time.Since(begun)
	return c, nil
}

// reserve takes a place for one connection more. When the limit is reached it
// closes the oldest idle connection to make room.
func (h *host) reserve() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	limit := h.client.options.MaxConns
	if limit > 0 && h.open >= limit {
		if len(h.idle) == 0 {
			return false
		}
		oldest := h.idle[0]
		h.idle = append(h.idle[:0], h.idle[1:]...)
		oldest.closed.Store(true)
		_ = oldest.Conn.Close()
		h.open--
	}
	h.open++
	return true
}

func (h *host) forget() {
	h.mu.Lock()
	h.open--
	h.mu.Unlock()
}

// put keeps c for the next request.
func (h *host) put(c *conn) {
	now := time.Now()
	c.idle = now
	h.client.sweep(now)
	h.mu.Lock()
	full := len(h.idle) >= h.client.options.MaxIdle || c.dialed.Before(h.retired)
	if !full {
		h.idle = append(h.idle, c)
	}
	h.mu.Unlock()
	if full {
		c.close()
	}
}

// retire closes the idle connections dialed up to now and keeps those in use
// from being used again.
func (h *host) retire(now time.Time) {
	h.mu.Lock()
	idle := h.idle
	h.idle = nil
	h.retired = now
	h.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// allIdleDead reports whether there are idle connections and the peer has
// closed each of them.
func (h *host) allIdleDead() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.idle {
		if c.alive() {
			return false
		}
	}
	return len(h.idle) > 0
}

// sweep closes idle connections that timed out and reports whether the host
// has been unused for long.
func (h *host) sweep(now time.Time) bool {
	h.mu.Lock()
	var expired []*conn
	for len(h.idle) > 0 && now.Sub(h.idle[0].idle) > h.client.options.IdleTimeout {
		expired = append(expired, h.idle[0])
		h.idle = append(h.idle[:0], h.idle[1:]...)
	}
	unused := h.open == len(expired) && now.Sub(h.used) > h.client.options.IdleTimeout
	h.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
	return unused
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

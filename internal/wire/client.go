package wire

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/egretfield/egretfield/internal/defaults"
)

// Default values of ClientOptions.
const (
	DefaultDialTimeout    = time.Second
	DefaultIdleTimeout    = 30 * time.Second
	DefaultMaxIdle        = 64
	DefaultSilenceTimeout = time.Second
	// DefaultAnswerGrace is longer than the round trip between regions and the pauses of a
	// busy machine.
	DefaultAnswerGrace     = 200 * time.Millisecond
	DefaultProgressTimeout = 20 * time.Second
	DefaultMaxHeaderBytes  = 256 << 10
)

// ClientOptions configure a Client. The Default constants apply to zero values.
type ClientOptions struct {
	Dial DialFunc
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
	// MaxIdle is the maximum number of idle connections to each address.
	MaxIdle int
	// MaxConns is the maximum number of connections to each address; 0 means no limit.
	MaxConns int
	// SilenceTimeout is the wait for the first byte of an answer after which the
	// connection is checked. The checks are repeated at growing intervals.
	SilenceTimeout time.Duration
	// AnswerGrace is how long an answer may be in transit after the peer has said that the
	// request has ended.
	AnswerGrace time.Duration
	// ProgressTimeout is the time without progress after which the transfer of a body is
	// aborted.
	ProgressTimeout time.Duration
	// MaxHeaderBytes limits the size of the header of an answer.
	MaxHeaderBytes int64
	// KeepHeaders reports whether answers keep the headers that aren't forwarded: those of
	// the system and of one connection.
	KeepHeaders bool
	// BetweenNodes reports whether the peer is a node. If so, internal headers are sent
	// and streamed bodies wait for a 100 Continue of the peer.
	BetweenNodes bool
	// PeerToken is the token presented to gates, made by PeerToken; empty means none.
	PeerToken string
	// Headers are the header names that the backend server uses; nil means
	// DefaultHeaders. They aren't used between nodes.
	Headers *Headers
	// ServerID is the identity of the backend server that the requests are meant for;
	// empty means any server at the address.
	ServerID string
}

// Client sends calls over pooled HTTP/1.1 connections. It never retries a call. It is safe
// for concurrent use.
type Client struct {
	options ClientOptions

	mu    sync.RWMutex
	pools map[string]*pool
	// lastSweep is the time of the last sweep in Unix nanoseconds.
	lastSweep atomic.Int64

	mismatches counter
}

// NewClient returns a Client without open connections.
func NewClient(options ClientOptions) *Client {
	if options.Dial == nil {
		options.Dial = dialSocket
	}
	defaults.Set(&options.DialTimeout, DefaultDialTimeout)
	defaults.Set(&options.IdleTimeout, DefaultIdleTimeout)
	defaults.Set(&options.MaxIdle, DefaultMaxIdle)
	defaults.Set(&options.SilenceTimeout, DefaultSilenceTimeout)
	defaults.Set(&options.AnswerGrace, DefaultAnswerGrace)
	defaults.Set(&options.ProgressTimeout, DefaultProgressTimeout)
	defaults.Set(&options.MaxHeaderBytes, DefaultMaxHeaderBytes)
	if options.Headers == nil {
		options.Headers = DefaultHeaders()
	}
	c := &Client{options: options, pools: make(map[string]*pool)}
	c.lastSweep.Store(time.Now().UnixNano())
	return c
}

// Verdict is the result of the check of a silent connection.
type Verdict int

// Results of a Check.
const (
	// VerdictWait means that the Client keeps waiting: the peer may still be working on
	// the request.
	VerdictWait Verdict = iota
	// VerdictBroken means that the connection is taken for broken, although the peer may be
	// alive.
	VerdictBroken
	// VerdictAnswered means that the peer has ended the request: the connection is taken for
	// broken unless the answer arrives within ClientOptions.AnswerGrace.
	VerdictAnswered
)

// Check is called when no byte of the answer has arrived for
// ClientOptions.SilenceTimeout, and again at growing intervals. Elapsed is the time
// since the request was sent; reused reports whether the connection carried other
// requests before.
type Check func(ctx context.Context, elapsed time.Duration, reused bool) Verdict

// SendError is the failure of an exchange.
type SendError struct {
	// Sent reports whether the peer may have received the request.
	Sent bool
	// Silent reports whether the connection was taken for broken because of a Check.
	Silent bool
	cause  error
}

// Error implements error.
func (e *SendError) Error() string {
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error {
	return e.cause
}

// errSilent is returned when the connection is taken for broken because of a Check.
var errSilent = eris.New("connection taken for broken: no answer received")

// SendParams holds a call and how to send it.
type SendParams struct {
	Addr string
	Call *Call
	// Check decides about silent connections; nil means waiting until the deadline.
	Check Check
	// RequireNewConn reports whether a new connection must be used, not a pooled one.
	RequireNewConn bool
}

// Do sends a call and returns its answer once the header has arrived. Its errors are of
// type *SendError. When ctx ends, reads and writes on the connection fail, and it is closed.
func (c *Client) Do(ctx context.Context, s SendParams) (*Answer, error) {
	cn, err := c.pool(s.Addr).get(ctx, s.Call, s.RequireNewConn)
	if err != nil {
		return nil, &SendError{cause: err}
	}
	cn.aborted.Store(false)
	x := &exchange{client: c, conn: cn, params: s}
	x.stopAbort = context.AfterFunc(ctx, cn.abort)
	answer, err := x.run(ctx)
	if err == nil {
		return answer, nil
	}
	x.stopAbort()
	x.endUpload()
	cn.close()
	if ctx.Err() != nil {
		err = errors.Join(ctx.Err(), err)
	}
	silent := errors.Is(err, errSilent)
	// The peer of a reused connection that broke has probably restarted, or a device on the
	// way lost its state: then the other idle connections would fail one request each.
	isBroken := c.options.BetweenNodes && cn.reused && ctx.Err() == nil && !IsTimeout(err)
	if silent || isBroken {
		c.Retire(s.Addr)
	}
	return nil, &SendError{Sent: x.sent, Silent: silent, cause: err}
}

// Retire prevents the reuse of all connections to addr that are open now.
func (c *Client) Retire(addr string) {
	c.pool(addr).retire(time.Now())
}

// AllIdleClosed reports whether there are idle connections to addr and none of them can
// be used any more, usually because the peer has closed them.
func (c *Client) AllIdleClosed(addr string) bool {
	return c.pool(addr).allIdleClosed()
}

// Mismatches returns the number of answers that carried the id of another attempt or
// request.
func (c *Client) Mismatches() int64 {
	return c.mismatches.Load()
}

// OpenConns returns the number of open connections to addr, idle ones included.
func (c *Client) OpenConns(addr string) int {
	p := c.pool(addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Close closes all idle connections. Connections in use are closed after their request.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.retire(time.Now())
	}
}

func (c *Client) pool(addr string) *pool {
	c.mu.RLock()
	p := c.pools[addr]
	c.mu.RUnlock()
	if p != nil {
		return p
	}
	return c.addPool(addr)
}

func (c *Client) addPool(addr string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[addr]
	if p == nil {
		p = &pool{addr: addr, client: c, lastUsed: time.Now()}
		c.pools[addr] = p
	}
	return p
}

// sweep closes connections that were idle for longer than IdleTimeout and removes unused
// pools. It runs at most once per IdleTimeout.
func (c *Client) sweep(now time.Time) {
	last := c.lastSweep.Load()
	if now.UnixNano()-last < int64(c.options.IdleTimeout) || !c.lastSweep.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, p := range c.pools {
		if p.sweep(now) {
			delete(c.pools, addr)
		}
	}
}

// statusContinue is the interim answer by which a node admits a streamed body.
const statusContinue = http.StatusContinue

// Probe opens a connection to addr and closes it. It returns an error if the connection
// can't be opened.
func (c *Client) Probe(ctx context.Context, addr string) error {
	nc, err := c.options.Dial(ctx, "tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "dial %s", addr)
	}
	_ = nc.Close()
	return nil
}

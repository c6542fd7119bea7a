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

// Defaults of ClientOptions.
const (
	DefaultDialTimeout   = time.Second
	DefaultIdleTimeout   = 30 * time.Second
	DefaultMaxIdle       = 64
	DefaultSilence       = time.Second
	DefaultProgressLimit = 20 * time.Second
)

// ClientOptions are the limits of a Client. Zero values take the defaults.
type ClientOptions struct {
	Dial DialFunc
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// IdleTimeout ends connections that no request used for so long.
	IdleTimeout time.Duration
	// MaxIdle is the number of idle connections kept to each address.
	MaxIdle int
	// MaxConns is the number of connections to each address; 0: no limit.
	MaxConns int
	// Silence is the wait for a first byte after which the connection is
	// checked, again and again.
	Silence time.Duration
	// ProgressLimit ends a body that didn't move for so long.
	ProgressLimit time.Duration
	// BetweenNodes: the peer is a node. Headers of the system are sent, and
	// streamed bodies wait for admission.
	BetweenNodes bool
	// PeerToken is shown to gates; see PeerToken. Empty: none.
	PeerToken string
	// Headers are those that the backend server uses; nil: DefaultHeaders. They
	// aren't used between nodes.
	Headers *Headers
	// Target is the identity of the backend server that the requests are meant
	// for; empty: any at the address.
	Target string
}

// Client sends calls over pooled HTTP/1.1 connections. It never sends a call
// a second time. Safe for concurrent use.
type Client struct {
	options ClientOptions

	mu    sync.RWMutex
	hosts map[string]*host
	// swept is when idle connections were last looked through, Unix nanoseconds.
	swept atomic.Int64

	mismatches counter
}

// NewClient returns a Client without connections.
func NewClient(options ClientOptions) *Client {
	if options.Dial == nil {
		options.Dial = dialDirect
	}
	defaults.Set(&options.DialTimeout, DefaultDialTimeout)
	defaults.Set(&options.IdleTimeout, DefaultIdleTimeout)
	defaults.Set(&options.MaxIdle, DefaultMaxIdle)
	defaults.Set(&options.Silence, DefaultSilence)
	defaults.Set(&options.ProgressLimit, DefaultProgressLimit)
	if options.Headers == nil {
		options.Headers = DefaultHeaders()
	}
	c := &Client{options: options, hosts: make(map[string]*host)}
	c.swept.Store(time.Now().UnixNano())
	return c
}

// Verdict is what a check of a silent connection came to.
type Verdict int

// Verdicts of a check.
const (
	// VerdictWait: the peer still works on the request.
	VerdictWait Verdict = iota
	// VerdictBroken: the connection is lost, though the peer lives.
	VerdictBroken
)

// Check is called after each Silence without a first byte. Elapsed is the time
// since the request was sent; reused: the connection served others before.
type Check func(ctx context.Context, elapsed time.Duration, reused bool) Verdict

// SendError is the failure of an exchange.
type SendError struct {
	// Sent: the peer may have received the request.
	Sent bool
	// Silent: a check found the connection broken.
	Silent bool
	cause  error
}

// Error describes the failure.
func (e *SendError) Error() string {
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error {
	return e.cause
}

// errSilent: a check found that the connection lost the request.
var errSilent = eris.New("connection went silent")

// Sending holds what Do needs besides the call.
type Sending struct {
	Addr string
	Call *Call
	// Check judges silence; nil: wait until the deadline.
	Check Check
	// Fresh forbids connections that served others before.
	Fresh bool
}

// Do sends a call and returns its answer once the header has come. The error
// is a *SendError. When ctx ends the connection is closed.
func (c *Client) Do(ctx context.Context, s Sending) (*Answer, error) {
	cn, err := c.host(s.Addr).get(ctx, s.Call.Deadline, s.Fresh)
	if err != nil {
		return nil, &SendError{cause: err}
	}
	cn.aborted.Store(false)
	x := &exchange{client: c, conn: cn, sending: s}
	x.stop = context.AfterFunc(ctx, cn.abort)
	answer, err := x.run(ctx)
	if err == nil {
		return answer, nil
	}
	x.stop()
	x.endUpload()
	cn.close()
	if ctx.Err() != nil {
		err = errors.Join(ctx.Err(), err)
	}
	silent := errors.Is(err, errSilent)
	if silent {
		c.Retire(s.Addr)
	}
	return nil, &SendError{Sent: x.sent, Silent: silent, cause: err}
}

// Retire keeps the connections to addr that are open now from being used again.
func (c *Client) Retire(addr string) {
	c.host(addr).retire(time.Now())
}

// AllIdleDead reports whether there are idle connections to addr and the peer
// closed each of them.
func (c *Client) AllIdleDead(addr string) bool {
	return c.host(addr).allIdleDead()
}

// Mismatches returns the number of answers with another attempt's id.
func (c *Client) Mismatches() int64 {
	return c.mismatches.Load()
}

// OpenConns returns the number of connections to addr.
func (c *Client) OpenConns(addr string) int {
	h := c.host(addr)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.open
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		h.retire(time.Now())
	}
}

func (c *Client) host(addr string) *host {
	c.mu.RLock()
	h := c.hosts[addr]
	c.mu.RUnlock()
	if h != nil {
		return h
	}
	return c.addHost(addr)
}

func (c *Client) addHost(addr string) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.hosts[addr]
	if h == nil {
		h = &host{addr: addr, client: c, used: time.Now()}
		c.hosts[addr] = h
	}
	return h
}

// sweep closes the connections that were idle for long, once in each
// IdleTimeout.
func (c *Client) sweep(now time.Time) {
	last := c.swept.Load()
	if now.UnixNano()-last < int64(c.options.IdleTimeout) || !c.swept.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, h := range c.hosts {
		if h.sweep(now) {
			delete(c.hosts, addr)
		}
	}
}

// statusContinue is the interim answer that admits a body.
const statusContinue = http.StatusContinue

// Probe opens a connection to addr and closes it. It returns the error of the
// opening.
func (c *Client) Probe(ctx context.Context, addr string) error {
	nc, err := c.options.Dial(ctx, "tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "dial %s", addr)
	}
	_ = nc.Close()
	return nil
}

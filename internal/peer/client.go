package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

// minSilenceToRetire is how long a call must have waited, without any message arriving
// on its connection, for the connection to be retired when the call's context ends.
const minSilenceToRetire = 100 * time.Millisecond

// TCPClient is the TCP implementation of Client. It keeps one connection per address,
// on which calls run concurrently.
type TCPClient struct {
	key   []byte
	opts  Options
	stats *Stats

	mu     sync.Mutex
	closed bool
	conns  map[string]*clientConn
	dials  map[string]*dial
}

// dial is an attempt to open a connection, shared by all calls that wait for
// it.
type dial struct {
	done chan struct{}
	conn *clientConn
	err  error
}

// NewClient returns a client that signs its calls with key, which has at least
// MinKeyBytes bytes.
func NewClient(key []byte, opts Options) (*TCPClient, error) {
	if len(key) < MinKeyBytes {
		return nil, eris.Errorf("shared key has %d bytes, need at least %d", len(key), MinKeyBytes)
	}
	return &TCPClient{
		key:   key,
		opts:  opts.withDefaults(DefaultClientIdleTimeout),
		stats: newStats(),
		conns: map[string]*clientConn{},
		dials: map[string]*dial{},
	}, nil
}

// Stats returns the client's counters.
func (c *TCPClient) Stats() *Stats { return c.stats }

// Close closes all connections. Running calls fail and new ones are refused.
func (c *TCPClient) Close() error {
	c.mu.Lock()
	c.closed = true
	conns := make([]*clientConn, 0, len(c.conns))
	for _, conn := range c.conns {
		conns = append(conns, conn)
	}
	c.mu.Unlock()
	for _, conn := range conns {
		conn.close()
	}
	return nil
}

// Call implements Client. Besides those of the receiver, errors have the kind
// timeout, cancelled, unauthenticated, overloaded, bad request, body too large or
// internal, or no server if the call was certainly not sent.
func (c *TCPClient) Call(ctx context.Context, addr, method string, args, reply proto.Message) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.opts.CallTimeout)
		defer cancel()
	}
	body, err := proto.Marshal(args)
	if err != nil {
		return errkind.Wrap(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, err, "encode arguments of %s", method)
	}
	for {
		conn, fresh, err := c.connect(ctx, addr)
		if err != nil {
			return err
		}
		answer, err := conn.call(ctx, method, body)
		if errors.Is(err, errNotSent) && !fresh {
			continue // the pooled connection closed before the call was sent
		}
		if err != nil {
			return err
		}
		if err := proto.Unmarshal(answer, reply); err != nil {
			return errkind.Wrap(pb.ErrorKind_ERROR_KIND_INTERNAL, err, "decode reply of %s", method)
		}
		return nil
	}
}

// connect returns the connection to addr and opens it if there is none. It reports
// as fresh whether the connection was opened while this call waited.
func (c *TCPClient) connect(ctx context.Context, addr string) (conn *clientConn, fresh bool, err error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, false, unreachableError(eris.New("client closed"), addr)
	}
	if conn := c.conns[addr]; conn != nil {
		c.mu.Unlock()
		return conn, false, nil
	}
	pending := c.dials[addr]
	if pending == nil {
		pending = &dial{done: make(chan struct{})}
		c.dials[addr] = pending
		go c.openConn(addr, pending)
	}
	c.mu.Unlock()
	select {
	case <-pending.done:
		return pending.conn, true, pending.err
	case <-ctx.Done():
		return nil, false, contextError(ctx.Err(), addr, "dial")
	}
}

// openConn dials addr, adds the connection to the pool and completes pending.
func (c *TCPClient) openConn(addr string, pending *dial) {
	framed, err := c.dial(addr)
	c.mu.Lock()
	delete(c.dials, addr)
	switch {
	case err != nil:
		pending.err = unreachableError(err, addr)
	case c.closed:
		framed.conn.Close()
		pending.err = unreachableError(eris.New("client closed"), addr)
	default:
		pending.conn = newClientConn(c, addr, framed)
		c.conns[addr] = pending.conn
	}
	c.mu.Unlock()
	close(pending.done)
}

// dial opens and authenticates a connection.
func (c *TCPClient) dial(addr string) (*framedConn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.opts.DialTimeout)
	defer cancel()
	c.stats.dials.Add(1)
	conn, err := c.opts.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		conn.Close()
		return nil, err
	}
	if c.opts.TLS != nil {
		conn = tls.Client(conn, tlsConfigFor(c.opts.TLS, addr))
	}
	framed, err := clientHandshake(conn, c.key, c.opts.MaxMessageBytes)
	if err == nil {
		err = conn.SetDeadline(time.Time{})
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return framed, nil
}

// removeConn removes conn from the pool.
func (c *TCPClient) removeConn(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[conn.addr] == conn {
		delete(c.conns, conn.addr)
	}
}

package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

// retiredCallGrace is how long calls already running on a retired connection may
// continue.
const retiredCallGrace = 5 * time.Second

// clientConn is one pooled connection.
type clientConn struct {
	owner  *TCPClient
	addr   string
	framed *framedConn
	rpc    *rpc.Client

	mu           sync.Mutex
	pendingCalls int
	lastUsed     time.Time
	idleTimer    *time.Timer
	retired      bool
}

func newClientConn(owner *TCPClient, addr string, framed *framedConn) *clientConn {
	c := &clientConn{owner: owner, addr: addr, framed: framed, lastUsed: time.Now()}
	codec := &clientCodec{framed: framed, opts: &owner.opts, stats: owner.stats}
	codec.onReadError = func() { owner.removeConn(c) }
	c.rpc = rpc.NewClientWithCodec(codec)
	c.idleTimer = time.AfterFunc(owner.opts.IdleTimeout, c.closeIfIdle)
	return c
}

// rawCall is the encoded request of a call.
type rawCall struct {
	body []byte
	// sent is set just before the request is written to the connection.
	sent bool
}

// rawReply receives the encoded reply of a call.
type rawReply struct {
	body []byte
}

// errNotSent marks a call that failed before anything was sent.
var errNotSent = eris.New("control call not sent")

// call sends a request and waits for its reply or until ctx is done. If ctx ends
// first, after at least minSilenceToRetire in which no message arrived, the connection
// is retired.
func (c *clientConn) call(ctx context.Context, method string, body []byte) ([]byte, error) {
	if !c.beginCall() {
		return nil, errkind.New(pb.ErrorKind_ERROR_KIND_OVERLOADED, "too many calls to %s", c.addr)
	}
	start, received := time.Now(), c.framed.received.Load()
	request, reply := &rawCall{body: body}, &rawReply{}
	done := make(chan error, 1)
	go func() {
		call := <-c.rpc.Go(method, request, reply, make(chan *rpc.Call, 1)).Done
		c.endCall()
		done <- call.Error
	}()
	select {
	case err := <-done:
		return reply.body, c.callError(err, method, request.sent)
	case <-ctx.Done():
		if time.Since(start) >= minSilenceToRetire && c.framed.received.Load() == received {
			c.retire()
		}
		return nil, contextError(ctx.Err(), c.addr, method)
	}
}

// callError converts an error of net/rpc into one with a kind. It closes the
// connection unless the receiver returned the error or the request was too large.
func (c *clientConn) callError(err error, method string, sent bool) error {
	var remote rpc.ServerError
	var typed *errkind.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &remote):
		return remoteError(string(remote))
	case errors.As(err, &typed) && !sent:
		return err
	case !sent:
		c.close()
		return unreachableError(errors.Join(errNotSent, err), c.addr)
	default:
		c.close()
		return errkind.Wrap(pb.ErrorKind_ERROR_KIND_TIMEOUT, errors.Join(ErrLost, err), "call %s at %s", method, c.addr)
	}
}

// beginCall counts a running call. It returns false if MaxConnCalls are running.
func (c *clientConn) beginCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingCalls >= c.owner.opts.MaxConnCalls {
		return false
	}
	c.pendingCalls++
	c.lastUsed = time.Now()
	return true
}

func (c *clientConn) endCall() {
	c.mu.Lock()
	c.pendingCalls--
	c.lastUsed = time.Now()
	last := c.retired && c.pendingCalls == 0
	c.mu.Unlock()
	if last {
		c.close()
	}
}

// closeIfIdle closes the connection if it has been unused for the idle time or is
// retired; otherwise it checks again later.
func (c *clientConn) closeIfIdle() {
	c.mu.Lock()
	remaining := c.owner.opts.IdleTimeout - time.Since(c.lastUsed)
	if c.pendingCalls > 0 {
		remaining = c.owner.opts.IdleTimeout
	}
	if remaining > 0 && !c.retired {
		c.idleTimer.Reset(remaining)
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	c.close()
}

// retire removes an unresponsive connection from the pool. Calls already running on
// it may continue for retiredCallGrace.
func (c *clientConn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired {
		return
	}
	c.retired = true
	c.owner.stats.retired.Add(1)
	c.owner.removeConn(c)
	c.idleTimer.Reset(retiredCallGrace)
}

// close closes the connection; its running calls fail.
func (c *clientConn) close() {
	c.idleTimer.Stop()
	c.owner.removeConn(c)
	c.rpc.Close()
}

// clientCodec is the rpc.ClientCodec of one connection.
type clientCodec struct {
	framed *framedConn
	opts   *Options
	stats  *Stats
	body   []byte
	// onReadError is called when reading from the connection fails.
	onReadError func()
}

// WriteRequest sends a call; body is a *rawCall.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	request := body.(*rawCall)
	call := &pb.PeerCall{Sequence: r.Seq, Method: r.ServiceMethod, Body: request.body}
	if err := c.framed.checkSize(call); err != nil {
		return err
	}
	request.sent = true
	n, err := c.framed.write(call, c.opts.WriteTimeout)
	if err != nil {
		c.framed.conn.Close()
		return err
	}
	c.stats.countOut(r.ServiceMethod, n)
	return nil
}

// ReadResponseHeader receives a reply.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	call := &pb.PeerCall{}
	n, err := c.framed.read(call)
	if err != nil {
		c.onReadError()
		return err
	}
	c.stats.countIn(call.Method, n)
	r.Seq, r.ServiceMethod, r.Error, c.body = call.Sequence, call.Method, call.Error, call.Body
	return nil
}

// ReadResponseBody stores the encoded reply in body, a *rawReply.
func (c *clientCodec) ReadResponseBody(body any) error {
	if reply, ok := body.(*rawReply); ok {
		reply.body = c.body
	}
	return nil
}

// Close closes the connection.
func (c *clientCodec) Close() error {
	return c.framed.conn.Close()
}

// tlsConfigFor returns config with the host of addr as the server name, unless it
// already has one or doesn't verify the certificate.
func tlsConfigFor(config *tls.Config, addr string) *tls.Config {
	if config.ServerName != "" || config.InsecureSkipVerify {
		return config
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return config
	}
	config = config.Clone()
	config.ServerName = host
	return config
}

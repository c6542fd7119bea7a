package pipeline

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

const (
	// readBytes is the size of a read of requests that arrive behind another.
	readBytes = 4 << 10
	// fullPoll is the interval at which a connection whose buffer is full is checked for
	// its end, as reads no longer show it.
	fullPoll = 100 * time.Millisecond
	// lastReadWait is how long the last read of a wait takes.
	lastReadWait = 10 * time.Millisecond
)

var readBuffers = sync.Pool{New: func() any {
	buf := make([]byte, readBytes)
	return &buf
}}

// conn is a caller's connection as net/http sees it: it delivers one request, and then
// nothing until that request and those behind it that are served ahead are answered.
// While it holds requests back it still reads, so that the caller's end is noticed.
// Only one goroutine may read at a time.
type conn struct {
	net.Conn
	server *Server
	// ctx ends with the connection.
	ctx    context.Context
	cancel context.CancelFunc
	// wake ends a wait of a read that watches a full buffer.
	wake chan struct{}
	// probe receives the first byte behind a request, so that a connection whose caller
	// doesn't pipeline needs no buffer.
	probe [1]byte

	mu sync.Mutex
	// framer follows the request that net/http reads.
	framer framer
	// arrived is when the first byte of that request was read.
	arrived time.Time
	// busy reports whether net/http reads or serves a request.
	busy bool
	// handled reports whether the handler was given that request.
	handled bool
	// refused reports whether that request was refused because its head is too large.
	refused bool
	// aborted reports whether the handler broke off its answer.
	aborted bool
	// pending holds bytes that were read but belong to later requests.
	pending pendingBytes
	// ahead follows the first request in pending, of which scanned bytes were read.
	ahead   framer
	scanned int
	// queue holds the requests that are served ahead, in the order of their answers.
	queue []*queued
	// alone is the request behind which none is served until it is answered; nil: there is
	// none.
	alone place
	// noMore reports whether no further request may be served on the connection.
	noMore bool
	// sealed reports whether an answer announces the end of the connection because nothing
	// was read behind its request. Nothing is read any more.
	sealed bool
	// pipelined reports whether a request ever arrived behind another.
	pipelined bool
	// readErr is the error that ended reading; nil while the connection can be read.
	readErr error
	// closed reports whether the connection was closed, closing whether it will be after
	// the answers of the queue.
	closed, closing bool
	readDeadline    time.Time
	// lastRead reports whether a wait for the caller is over, and one more read finds out
	// whether bytes came in time.
	lastRead bool
	// interrupted reports whether a wait for bytes was ended to look at the state.
	interrupted bool
	// lastUsed is when the connection was accepted or last answered a request.
	lastUsed time.Time
}

func newConn(nc net.Conn, server *Server) *conn {
	c := &conn{Conn: nc, server: server, wake: make(chan struct{}, 1), lastUsed: time.Now()}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.framer = server.newFramer()
	c.framer.state = atEnd
	c.ahead = server.newFramer()
	return c
}

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	n, err := c.read(p)
	if err == errHeadTooLarge {
		c.refuseHead()
		return 0, io.EOF
	}
	return n, err
}

func (c *conn) read(p []byte) (int, error) {
	for {
		c.mu.Lock()
		if c.mayBeginLocked() && (c.readErr != nil || c.noMore) {
			c.mu.Unlock()
			return 0, io.EOF
		}
		deliver := c.framer.state != atEnd || c.mayBeginLocked()
		if deliver && c.pending.len() > 0 {
			n, err := c.deliverLocked(p)
			c.mu.Unlock()
			return n, err
		}
		if !deliver {
			c.startAheadLocked()
		}
		err := c.readErr
		if c.framer.head.ambiguous != "" && c.framer.state == atEnd && c.busy {
			err = io.EOF // what stands behind may be a part of the request
		}
		full := c.sealed || c.pending.len() >= c.server.options.UnreadBytes
		c.mu.Unlock()
		switch {
		case err != nil:
			return 0, err
		case deliver:
			n, again, err := c.readRequest(p)
			if !again {
				return n, err
			}
		case full:
			if err := c.awaitRoom(); err != nil {
				return 0, err
			}
		default:
			if err := c.readAhead(); err != nil {
				return 0, err
			}
		}
	}
}

// mayBeginLocked reports whether net/http may read the next request.
func (c *conn) mayBeginLocked() bool {
	return !c.busy && len(c.queue) == 0
}

// beginLocked starts a request whose first byte was read at the time arrived.
func (c *conn) beginLocked(arrived time.Time) {
	if c.framer.state != atEnd || c.busy {
		return
	}
	c.framer = c.server.newFramer()
	c.arrived, c.busy, c.handled = arrived, true, false
}

// deliverLocked moves bytes of the current request from pending to p.
func (c *conn) deliverLocked(p []byte) (int, error) {
	c.beginLocked(c.pending.arrival())
	data := c.pending.bytes()
	n, err := c.framer.scan(data[:min(len(data), len(p))])
	copy(p, data[:n])
	c.pending.discard(n)
	c.ahead, c.scanned = c.server.newFramer(), 0
	return c.resultLocked(n, err)
}

// resultLocked returns what a read of n bytes of the current request returns. After an
// error of the framing no more bytes are delivered.
func (c *conn) resultLocked(n int, err error) (int, error) {
	c.noMore = c.noMore || c.framer.head.closes && c.framer.state == atEnd
	if err != nil {
		c.noMore, c.readErr = true, err
	}
	switch {
	case c.framer.head.tooLarge:
		return 0, errHeadTooLarge
	case n > 0:
		return n, nil
	}
	return 0, c.readErr
}

// errHeadTooLarge ends the read of a request whose head exceeds the limit.
var errHeadTooLarge = eris.New("request header too large")

// refuseHead answers the request whose head is too large. net/http has not got the whole
// head, and gets no more of it.
func (c *conn) refuseHead() {
	c.mu.Lock()
	c.refused, c.pipelined = true, true
	limit := c.framer.maxHeadBytes - wire.HeaderSlackBytes
	c.mu.Unlock()
	message := fmt.Sprintf("the request header has more than %d bytes, the limit is %d", c.framer.maxHeadBytes, limit)
	_, _ = c.Conn.Write(errorAnswer(pb.ErrorKind_ERROR_KIND_HEADERS_TOO_LARGE, message)) // the connection closes in any case
}

// readRequest reads bytes of the current or the next request into p. What lies behind
// its end becomes pending. again reports whether the read must be repeated.
func (c *conn) readRequest(p []byte) (n int, again bool, err error) {
	c.limitWait()
	n, err = c.Conn.Read(p)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 0 && err != nil {
		again = c.resumeLocked(err) || c.continueWaitLocked(err, now)
		return 0, again, c.failedReadLocked(err)
	}
	c.lastRead = false
	if c.closed {
		return 0, false, net.ErrClosed // read while it was closed: nobody could get the answer
	}
	c.beginLocked(now)
	taken, err := c.framer.scan(p[:n])
	if taken < n && err == nil {
		c.pipelined = true
		c.pending.add(p[taken:n], now)
	}
	n, err = c.resultLocked(taken, err)
	return n, false, err
}

// waitEndLocked returns when the wait for bytes of a caller's request ends by the limits in
// force; zero: the limits don't end it.
func (c *conn) waitEndLocked() time.Time {
	idle, header := c.server.waitLimits()
	switch {
	case !c.busy:
		return c.lastUsed.Add(idle)
	case c.framer.state == inHead && c.arrived.After(c.lastUsed):
		return c.arrived.Add(header)
	case c.framer.state == inHead:
		return c.lastUsed.Add(header) // it was held back until then
	}
	return time.Time{}
}

// limitWait sets the deadline of a read of the caller's request.
func (c *conn) limitWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted {
		return // the read ends at once and is repeated
	}
	deadline := c.readDeadline
	if end := c.waitEndLocked(); !end.IsZero() {
		if soon := time.Now().Add(lastReadWait); end.Before(soon) {
			end = soon
		}
		if deadline.IsZero() || end.Before(deadline) {
			deadline = end
		}
	}
	_ = c.Conn.SetReadDeadline(deadline) // fails only on a closed connection, as the read shows
}

// continueWaitLocked reports whether a read that failed must be repeated because the
// caller's time isn't over: a configuration has extended it, or bytes may have come in time
// while the process didn't run.
func (c *conn) continueWaitLocked(err error, now time.Time) bool {
	end := c.waitEndLocked()
	isOwn := c.readDeadline.IsZero() || now.Before(c.readDeadline)
	if !wire.IsTimeout(err) || !isOwn || end.IsZero() {
		return false
	}
	if now.Before(end) {
		return true
	}
	again := !c.lastRead
	c.lastRead = true
	return again
}

// readAhead reads bytes behind the current request and starts the requests in them that
// may be served ahead.
func (c *conn) readAhead() error {
	c.mu.Lock()
	first := c.pending.len() == 0
	c.mu.Unlock()
	data := c.probe[:]
	if !first {
		buf := readBuffers.Get().(*[]byte)
		defer readBuffers.Put(buf)
		data = *buf
	}
	n, err := c.Conn.Read(data)
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.pipelined = true
		c.pending.add(data[:n], now)
		return nil
	}
	if c.resumeLocked(err) {
		return nil
	}
	return c.failedReadLocked(err)
}

// resumeLocked reports whether a read ended only because interruptLocked asked for it.
func (c *conn) resumeLocked(err error) bool {
	if !c.interrupted || !wire.IsTimeout(err) {
		return false
	}
	c.interrupted = false
	_ = c.Conn.SetReadDeadline(c.readDeadline) // fails only on a closed connection, as the next read shows
	return true
}

// interruptLocked makes a read that waits for bytes look at the state again.
func (c *conn) interruptLocked() {
	c.interrupted = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection, which ends the read too
	c.signal()
}

func (c *conn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// failedReadLocked records an error of the connection and returns it. A time-out doesn't
// end the connection: net/http sets deadlines to end its own reads.
func (c *conn) failedReadLocked(err error) error {
	if wire.IsTimeout(err) {
		return err
	}
	c.readErr = err
	c.cancel()
	return err
}

// awaitRoom waits a moment for the state of a connection with a full buffer to change.
func (c *conn) awaitRoom() error {
	timer := time.NewTimer(fullPoll)
	defer timer.Stop()
	select {
	case <-c.wake:
	case <-timer.C:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return net.ErrClosed
	case c.interrupted:
		c.interrupted = false
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	case !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline):
		return os.ErrDeadlineExceeded
	case hasHungUp(c.Conn):
		return c.failedReadLocked(io.EOF)
	}
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	c.signal()
	if c.interrupted {
		return nil // the interrupted read sets it
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Write implements io.Writer and replaces net/http's own error answers.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	handled, refused := c.handled, c.refused
	c.mu.Unlock()
	if refused {
		return len(p), nil // net/http's answer to the part of the head that it got
	}
	if !handled {
		if answer := replacementAnswer(p); answer != nil {
			_, err := c.Conn.Write(answer)
			return len(p), err
		}
	}
	return c.Conn.Write(p)
}

// answered is called when net/http has written the answer to its request and keeps the
// connection open.
func (c *conn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.lastUsed = false, time.Now()
	if c.alone == place(c) {
		c.alone = nil
	}
	if len(c.queue) > 0 {
		close(c.queue[0].turn)
	}
}

// Close implements net.Conn. If the request of net/http is answered but others are still
// served ahead, their answers are delivered first.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy && len(c.queue) > 0 && c.readErr == nil && !c.aborted {
		c.closing, c.noMore = true, true
		return nil
	}
	return c.closeLocked()
}

// closeLocked closes the connection and ends the requests that are served ahead.
func (c *conn) closeLocked() error {
	if c.closed {
		return nil
	}
	c.closed = true
	c.cancel()
	c.signal()
	c.server.remove(c)
	switch {
	case c.aborted && c.framer.head.oldVersion:
		// To a caller of HTTP/1.0, the end of the connection is the end of the answer; a
		// reset shows that the answer is not complete.
		return resetConn(c.Conn)
	case c.pipelined && c.readErr == nil:
		go linger(c.Conn)
		return nil
	}
	return c.Conn.Close()
}

// linger closes a connection with unread bytes. Closing it at once would reset it, and
// the caller could lose the last answer.
func linger(nc net.Conn) {
	defer nc.Close()
	half, ok := nc.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || nc.SetReadDeadline(time.Now().Add(wire.LingerTime)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, nc) // ends with the caller's close or the deadline
}

// resetConn closes a connection with a reset, and without the closing message of TLS, which
// announces an orderly end.
func resetConn(nc net.Conn) error {
	socket := wire.SocketOf(nc)
	if tcp, ok := socket.(interface{ SetLinger(int) error }); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	return socket.Close()
}

// closeIfIdle closes the connection if it has had no request since the given time. The
// beginning of a request counts until then.
func (c *conn) closeIfIdle(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isIdle := !c.busy && len(c.queue) == 0 && c.pending.len() == 0 && c.lastUsed.Before(since)
	isPartial := c.busy && !c.handled && c.arrived.Before(since)
	if isIdle || isPartial {
		_ = c.closeLocked() // the connection has no request
	}
}

// errClosedAhead is returned to requests whose connection closed before their turn.
var errClosedAhead = eris.New("the caller's connection closed before the answers ahead of this request were written")

// arrivedAt implements place.
func (c *conn) arrivedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrived
}

// ambiguity implements place.
func (c *conn) ambiguity() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framer.head.ambiguous
}

// awaitTurn implements place. Nothing stands before a request that net/http serves.
func (c *conn) awaitTurn(context.Context) error { return nil }

// closeAfter implements place.
func (c *conn) closeAfter() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noMore = true
	return len(c.queue) == 0
}

// hasBehind implements place.
func (c *conn) hasBehind() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 0 {
		return true
	}
	c.alone = c
	return false
}

// closeIfLast implements place.
func (c *conn) closeIfLast() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 0 || c.pending.len() > 0 {
		return false
	}
	c.noMore, c.sealed = true, true
	return true
}

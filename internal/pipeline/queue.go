package pipeline

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

// queued is a request that is served while requests before it on its connection are.
type queued struct {
	conn    *conn
	request *http.Request
	cancel  context.CancelFunc
	arrived time.Time
	// turn is closed when the answers before this one are written.
	turn chan struct{}
}

// startAheadLocked starts the requests at the front of pending that may be served ahead.
func (c *conn) startAheadLocked() {
	for !c.noMore && c.alone == nil && c.readErr == nil && c.framer.state == atEnd && len(c.queue) < c.server.options.Depth {
		if c.mayBeginLocked() {
			return // net/http reads the next request
		}
		head, ok := c.nextHeadLocked()
		if !ok || !c.server.acquire() {
			return
		}
		request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
		if err != nil {
			// net/http refuses the request when it reads it.
			c.server.release()
			return
		}
		q := &queued{conn: c, request: request, arrived: c.pending.arrival(), turn: make(chan struct{})}
		c.noMore = c.ahead.head.closes
		c.pending.discard(len(head))
		c.ahead, c.scanned = c.server.newFramer(), 0
		ctx, cancel := context.WithCancel(context.WithValue(c.ctx, placeKey{}, place(q)))
		q.cancel = cancel
		q.request = request.WithContext(ctx)
		q.request.RemoteAddr = c.RemoteAddr().String()
		c.queue = append(c.queue, q)
		go q.serve()
	}
}

// nextHeadLocked returns the first pending request if it may be served ahead.
func (c *conn) nextHeadLocked() ([]byte, bool) {
	if c.ahead.state != atEnd {
		n, err := c.ahead.scan(c.pending.bytes()[c.scanned:])
		c.scanned += n
		if err != nil {
			return nil, false
		}
	}
	return c.pending.bytes()[:c.scanned], c.ahead.mayRunAhead()
}

// serve runs the handler and delivers its answer.
func (q *queued) serve() {
	defer q.cancel()
	w := newAnswerWriter(q)
	err := q.conn.server.runHandler(w, q.request)
	if err == nil {
		err = w.finish()
	}
	whole := err == nil
	if !whole && err != errPanicked && !w.headSent {
		// Nothing of the answer was sent, so another can take its place.
		w = newAnswerWriter(q)
		wire.WriteError(w, pb.ErrorKind_ERROR_KIND_ANSWER_CUT, "the answer broke off", "")
		whole = w.finish() == nil
	}
	if !whole {
		// The connection closes, but the answers before this one are delivered.
		_ = q.awaitTurn(q.request.Context()) // fails if the connection is closed already
	}
	q.conn.completed(q, whole, w.closes())
}

// completed removes a request from the queue. After a broken answer, or one that
// announces the end of the connection, the connection closes.
func (c *conn) completed(q *queued, whole, closes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server.release()
	for i, other := range c.queue {
		if other == q {
			c.queue = append(c.queue[:i:i], c.queue[i+1:]...)
			break
		}
	}
	c.lastUsed = time.Now()
	if c.alone == place(q) {
		c.alone = nil
	}
	if !whole || closes {
		c.noMore = true
	}
	switch {
	case !whole, c.closing && len(c.queue) == 0:
		_ = c.closeLocked() // the connection is given up
		return
	case len(c.queue) > 0:
		close(c.queue[0].turn)
	}
	c.interruptLocked()
}

// awaitTurn implements place.
func (q *queued) awaitTurn(ctx context.Context) error {
	select {
	case <-q.turn:
		return nil
	case <-ctx.Done():
		return errClosedAhead
	}
}

// arrivedAt implements place.
func (q *queued) arrivedAt() time.Time { return q.arrived }

// ambiguity implements place. Requests that are served ahead have no body.
func (q *queued) ambiguity() string { return "" }

// closeAfter implements place.
func (q *queued) closeAfter() bool {
	q.conn.mu.Lock()
	defer q.conn.mu.Unlock()
	q.conn.noMore = true
	return q.conn.queue[len(q.conn.queue)-1] == q
}

// hasBehind implements place.
func (q *queued) hasBehind() bool {
	q.conn.mu.Lock()
	defer q.conn.mu.Unlock()
	if q.conn.queue[len(q.conn.queue)-1] != q {
		return true
	}
	q.conn.alone = q
	return false
}

// closeIfLast implements place.
func (q *queued) closeIfLast() bool {
	q.conn.mu.Lock()
	defer q.conn.mu.Unlock()
	if q.conn.queue[len(q.conn.queue)-1] != q || q.conn.pending.len() > 0 {
		return false
	}
	q.conn.noMore, q.conn.sealed = true, true
	return true
}

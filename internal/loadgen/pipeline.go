package loadgen

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
)

// MaxPipeline limits the requests that share a connection.
const MaxPipeline = 64

// sharing holds the connections to one address that carry several requests at once. It is
// safe for concurrent use.
type sharing struct {
	pool  *pool
	depth int

	mu    sync.Mutex
	conns map[*sharedConn]struct{}
}

// sharedConn is a connection whose requests are written one after the other and whose
// answers are read in the same order.
type sharedConn struct {
	*conn
	// writeMu is held while a request is written and takes its place in the order.
	writeMu sync.Mutex
	// last is closed when the answer to the latest request was read.
	last chan struct{}

	// The sharing's mutex guards these.
	outstanding int
}

// sharingOf returns the shared connections to an address.
func (c *Caller) sharingOf(address string) *sharing {
	p := c.pool(address)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.sharings[address]
	if s == nil {
		s = &sharing{pool: p, depth: c.depth, conns: map[*sharedConn]struct{}{}}
		c.sharings[address] = s
	}
	return s
}

// get returns a connection with room for a request, or a new one. behind reports whether
// other requests on it have no answer yet, reused whether it has carried any.
func (s *sharing) get(ctx context.Context) (c *sharedConn, behind, reused bool, err error) {
	s.mu.Lock()
	for c := range s.conns {
		if c.outstanding == 0 && !isOpen(c.Conn) {
			c.Close()
			delete(s.conns, c)
			continue
		}
		if c.outstanding < s.depth {
			c.outstanding++
			behind = c.outstanding > 1
			s.mu.Unlock()
			return c, behind, true, nil
		}
	}
	s.mu.Unlock()
	dialled, err := s.pool.dial(ctx)
	if err != nil {
		return nil, false, false, err
	}
	answered := make(chan struct{})
	close(answered)
	c = &sharedConn{conn: dialled, last: answered, outstanding: 1}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	return c, false, false, nil
}

// put ends the use of a connection by one request. A broken one is closed, and the
// requests behind fail.
func (s *sharing) put(c *sharedConn, broken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.outstanding--
	if broken {
		c.Close()
		delete(s.conns, c)
	}
}

func (s *sharing) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// attemptPipelined sends the operation once on a connection that may carry others. It
// reports whether the connection ended before any byte of this answer.
func (c *Caller) attemptPipelined(ctx context.Context, target Target, o *Operation) (Result, bool) {
	s := c.sharingOf(target.Address)
	connection, behind, reused, err := s.get(ctx)
	if err != nil {
		return Result{Outcome: OutcomeNotRun, Reason: "connect: " + reasonOf(err)}, false
	}
	if behind {
		c.pipelined.Add(1)
	}
	request := c.newRequest(target, o)
	connection.writeMu.Lock()
	turn, read := connection.last, make(chan struct{})
	connection.last = read
	err = send(connection.conn, request)
	connection.writeMu.Unlock()
	defer close(read)
	if err != nil {
		s.put(connection, true)
		return Result{Outcome: OutcomeUnknown, Reason: "no answer: " + reasonOf(err)}, reused
	}
	select {
	case <-turn:
	case <-ctx.Done():
		s.put(connection, true)
		return Result{Outcome: OutcomeUnknown, Reason: "no answer: timeout"}, false
	}
	deadline, _ := ctx.Deadline()
	_ = connection.SetReadDeadline(deadline) // fails only on a closed connection, which the read shows
	result, broken, stale := c.readPipelined(connection, request, o)
	s.put(connection, broken)
	return result, stale && reused
}

// readPipelined reads the next answer of a connection, which must be the request's.
func (c *Caller) readPipelined(connection *sharedConn, request *http.Request, o *Operation) (result Result, broken, stale bool) {
	if _, err := connection.reader.Peek(1); err != nil {
		// An answer ahead of this one may have ended the connection.
		stale := isClosedByPeer(err) || errors.Is(err, net.ErrClosed)
		return Result{Outcome: OutcomeUnknown, Reason: "no answer: " + reasonOf(err)}, true, stale
	}
	response, err := http.ReadResponse(connection.reader, request)
	if err != nil {
		return Result{Outcome: OutcomeUnknown, Reason: "bad answer: " + reasonOf(err)}, true, false
	}
	result, complete := c.readAnswer(response, o)
	if result.Outcome == OutcomeWrong {
		c.outOfOrder.Add(1)
	}
	return result, !complete || response.Close, false
}

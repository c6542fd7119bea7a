package loadgen

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretfield/egretfield/internal/standin/wire"
)

// Outcome is what a caller knows about an attempt from its answer.
type Outcome int

// Outcomes of an attempt.
const (
	// OutcomeAnswered: the operation's own answer, complete.
	OutcomeAnswered Outcome = iota
	// OutcomeNotRun: certified not run (the answer has Egret-Run: no), or never
	// sent because no connection could be made.
	OutcomeNotRun
	// OutcomeUnknown: it may have run; also for a truncated or missing answer.
	OutcomeUnknown
	// OutcomeFailed: an error answer from the backend server itself.
	OutcomeFailed
	// OutcomeWrong: the answer of another operation, or one with a wrong length
	// or hash although the HTTP message is complete.
	OutcomeWrong
)

// Result describes how an attempt ended.
type Result struct {
	Outcome Outcome
	// Reason is the error kind, the status or the error behind Outcome.
	Reason    string
	RequestID string
	Server    string
	// Latency is the time from the start of the attempt to the end of the answer.
	Latency time.Duration
}

// Target is the address of a node or, for direct calls, of a backend server.
type Target struct {
	Address string
	// Place is the region, or "region/data-centre", of its callers.
	Place string
}

// Caller sends attempts over persistent connections. It is safe for concurrent
// use.
type Caller struct {
	timeout    time.Duration
	dialled    atomic.Uint64
	reconnects atomic.Uint64
	buffers    sync.Pool

	// depth is the number of requests that may share a connection; 1: no pipelining.
	depth      int
	pipelined  atomic.Uint64
	outOfOrder atomic.Uint64

	mu       sync.Mutex
	pools    map[string]*pool
	sharings map[string]*sharing
}

const bodyBufferBytes = 32 << 10

// answerGracePeriod is how much longer than its stated timeout a caller waits,
// so that it still receives the answer that tells what became of its request.
const answerGracePeriod = 250 * time.Millisecond

// asyncBodyBytes is the length from which a body is sent concurrently with
// waiting for the answer.
const asyncBodyBytes = 64 << 10

// NewCaller returns a caller that allows each attempt the given time and sends up to depth
// idempotent requests without a body on a connection before their answers; depth 0 or 1
// is no pipelining.
func NewCaller(timeout time.Duration, depth int) *Caller {
	c := &Caller{timeout: timeout, depth: depth, pools: map[string]*pool{}, sharings: map[string]*sharing{}}
	c.buffers.New = func() any { return new([bodyBufferBytes]byte) }
	return c
}

// Close closes the idle connections.
func (c *Caller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.close()
	}
	for _, s := range c.sharings {
		s.close()
	}
}

func (c *Caller) pool(address string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	if p == nil {
		p = &pool{address: address, dialled: &c.dialled}
		c.pools[address] = p
	}
	return p
}

// Do sends one attempt. An idempotent operation is sent once more, over another
// connection, if a reused connection turns out to be closed; on shared connections
// as often as requests may share one.
func (c *Caller) Do(ctx context.Context, target Target, o *Operation) Result {
	begin := time.Now()
	ctx, cancel := context.WithDeadline(ctx, begin.Add(c.timeout+answerGracePeriod))
	defer cancel()
	attempt := c.attempt
	if c.depth > 1 && o.IsIdempotent() && o.BodyBytes == 0 {
		attempt = c.attemptPipelined
	}
	result, stale := attempt(ctx, target, o)
	// On a shared connection, each answer that closes it ends those behind it.
	for resends := 0; stale && o.IsIdempotent() && resends < max(c.depth, 1); resends++ {
		c.reconnects.Add(1)
		result, stale = attempt(ctx, target, o)
		if result.Outcome == OutcomeNotRun {
			// Only the second send is known not to have run; the first may have.
			result.Outcome = OutcomeUnknown
		}
	}
	result.Latency = time.Since(begin)
	return result
}

// attempt sends the operation once. It reports whether a reused connection was
// closed by the peer before any byte of an answer.
func (c *Caller) attempt(ctx context.Context, target Target, o *Operation) (Result, bool) {
	p := c.pool(target.Address)
	connection, err := p.get(ctx)
	if err != nil {
		return Result{Outcome: OutcomeNotRun, Reason: "connect: " + reasonOf(err)}, false
	}
	deadline, _ := ctx.Deadline()
	_ = connection.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { connection.Close() })
	result, reusable, stale := c.exchange(connection, c.newRequest(target, o), o)
	if stop() && reusable {
		p.put(connection)
	} else {
		connection.Close()
	}
	return result, stale && connection.reused
}

// exchange sends the request and reads the answer. It reports whether the
// connection can be reused and whether the peer closed it before any byte of an
// answer.
func (c *Caller) exchange(connection *conn, request *http.Request, o *Operation) (result Result, reusable, stale bool) {
	written := make(chan error, 1)
	if request.ContentLength >= asyncBodyBytes {
		go func() { written <- send(connection, request) }()
	} else {
		written <- send(connection, request)
	}
	if _, err := connection.reader.Peek(1); err != nil {
		connection.Close()
		<-written
		return Result{Outcome: OutcomeUnknown, Reason: "no answer: " + reasonOf(err)}, false, isClosedByPeer(err)
	}
	response, err := http.ReadResponse(connection.reader, request)
	if err != nil {
		connection.Close()
		<-written
		return Result{Outcome: OutcomeUnknown, Reason: "bad answer: " + reasonOf(err)}, false, false
	}
	result, complete := c.readAnswer(response, o)
	select {
	case err = <-written:
	default:
		// The answer arrived before the body was fully sent: stop sending.
		connection.Close()
		<-written
		return result, false, false
	}
	return result, err == nil && complete && !response.Close, false
}

func send(connection *conn, request *http.Request) error {
	if err := request.Write(connection.writer); err != nil {
		return err
	}
	return connection.writer.Flush()
}

// readAnswer reads the answer to its end. It returns the result and whether the
// answer ended cleanly.
func (c *Caller) readAnswer(response *http.Response, o *Operation) (Result, bool) {
	defer response.Body.Close()
	header := response.Header
	result := Result{RequestID: header.Get(wire.HeaderRequestID), Server: header.Get(wire.HeaderServer)}
	buffer := c.buffers.Get().(*[bodyBufferBytes]byte)
	defer c.buffers.Put(buffer)
	if response.StatusCode != http.StatusOK {
		_, err := io.CopyBuffer(io.Discard, response.Body, buffer[:])
		result.Outcome, result.Reason = classifyError(response)
		return result, err == nil
	}
	_, err := wire.Check(header, response.Body, buffer[:])
	switch {
	case isTruncated(err):
		result.Outcome, result.Reason = OutcomeUnknown, "cut answer"
		return result, false
	case err != nil:
		result.Outcome, result.Reason = OutcomeWrong, err.Error()
	case header.Get(wire.HeaderOp) != o.ID:
		result.Outcome, result.Reason = OutcomeWrong, "answer of operation "+header.Get(wire.HeaderOp)
	}
	return result, true
}

// classifyError returns the outcome and the reason of an answer with an error
// status.
func classifyError(response *http.Response) (Outcome, string) {
	reason := response.Header.Get(wire.HeaderError)
	if reason == "" {
		reason = "status " + strconv.Itoa(response.StatusCode)
	}
	switch response.Header.Get(wire.HeaderRun) {
	case "no":
		return OutcomeNotRun, reason
	case "", "yes":
		return OutcomeFailed, reason
	}
	return OutcomeUnknown, reason
}

// newRequest builds the HTTP request of one attempt.
func (c *Caller) newRequest(target Target, o *Operation) *http.Request {
	header := make(http.Header, 10)
	request := &http.Request{
		Method: o.Method,
		URL:    &url.URL{Path: o.Path},
		Host:   o.Service,
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: header,
	}
	header[wire.HeaderOp] = []string{o.ID}
	header[wire.HeaderTimeout] = []string{wire.FormatTimeout(c.timeout)}
	if o.Key != "" {
		header.Set(wire.HeaderIdempotencyKey, o.Key)
	}
	if o.APIKey != "" {
		header.Set("Authorization", "Bearer "+o.APIKey)
	}
	if o.FirstSend {
		header.Set(wire.HeaderFirstSend, "true")
	}
	if target.Place != "" {
		header.Set(wire.HeaderPlace, target.Place)
	}
	if o.AnswerBytes > 0 {
		header.Set(wire.HeaderAnswerBytes, strconv.FormatInt(o.AnswerBytes, 10))
	}
	if o.Crash {
		header.Set(wire.HeaderCrash, "1")
	}
	if o.Depth > 0 {
		header.Set(wire.HeaderChain, strconv.Itoa(o.Depth))
		header.Set(wire.HeaderChainServices, o.Services)
	}
	if o.BodyBytes > 0 {
		body := wire.Body{Op: o.ID, Size: o.BodyBytes}
		body.SetHeaders(header)
		request.Body = io.NopCloser(body.Reader())
		request.ContentLength = o.BodyBytes
	}
	return request
}

// isTruncated reports whether err means that the answer was not received to its
// end: it ended before its announced length, or the connection failed, timed out
// or was closed.
func isTruncated(err error) bool {
	networkError := net.Error(nil)
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &networkError) || errors.Is(err, net.ErrClosed)
}

// isClosedByPeer reports whether err means that the peer closed the connection.
func isClosedByPeer(err error) bool {
	networkError := net.Error(nil)
	return err != nil && !(errors.As(err, &networkError) && networkError.Timeout()) && !errors.Is(err, net.ErrClosed)
}

// reasonOf returns a short text for err that is the same for every error with
// the same cause, so that errors can be counted by it. net.ErrClosed is a
// timeout, because attempt closes the connection when its context ends.
func reasonOf(err error) string {
	networkError := net.Error(nil)
	switch {
	case errors.As(err, &networkError) && networkError.Timeout(), errors.Is(err, net.ErrClosed):
		return "timeout"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "closed"
	}
	opError := (*net.OpError)(nil)
	if errors.As(err, &opError) {
		return opError.Err.Error()
	}
	return err.Error()
}

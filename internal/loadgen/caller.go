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

// Told is what the answer to an attempt says about it.
type Told int

// What a caller can be told.
const (
	// ToldAnswer: the operation's own answer, whole.
	ToldAnswer Told = iota
	// ToldNotRun: certified not run, or never sent.
	ToldNotRun
	// ToldUnknown: it may have run; also a cut or missing answer.
	ToldUnknown
	// ToldFailure: the backend server's own error answer.
	ToldFailure
	// ToldWrong: another's answer, or one that isn't whole though it looks so.
	ToldWrong
)

// Result is the end of an attempt.
type Result struct {
	Told Told
	// Reason is the error kind, the status or the error behind Told.
	Reason    string
	RequestID string
	Server    string
	// Latency is the time from sending to the end of the answer.
	Latency time.Duration
}

// Target is the address of a node or, for direct calls, of a backend server.
type Target struct {
	Address string
	// Place is the region, or "region/data-centre", of its callers.
	Place string
}

// Caller sends attempts over kept-alive connections. It is safe for concurrent
// use.
type Caller struct {
	timeout    time.Duration
	dialled    atomic.Uint64
	reconnects atomic.Uint64
	buffers    sync.Pool

	mu    sync.Mutex
	pools map[string]*pool
}

const bodyBuffer = 32 << 10

// answerGrace is how much longer than the timeout that it states a caller
// waits, so that it hears what became of its request.
const answerGrace = 250 * time.Millisecond

// asyncBody is the length from which a body is sent while the answer is
// already awaited, bytes.
const asyncBody = 64 << 10

// NewCaller returns a caller that allows each attempt so much time.
func NewCaller(timeout time.Duration) *Caller {
	c := &Caller{timeout: timeout, pools: map[string]*pool{}}
	c.buffers.New = func() any { return new([bodyBuffer]byte) }
	return c
}

// Close closes the idle connections.
func (c *Caller) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.close()
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

// Do sends one attempt. An idempotent one is sent again, once and over a new
// connection, when a reused connection turns out to be closed.
func (c *Caller) Do(ctx context.Context, target Target, o *Operation) Result {
	begin := time.Now()
	ctx, cancel := context.WithDeadline(ctx, begin.Add(c.timeout+answerGrace))
	defer cancel()
	result, stale := c.attempt(ctx, target, o)
	if stale && o.IsIdempotent() {
		c.reconnects.Add(1)
		result, _ = c.attempt(ctx, target, o)
		if result.Told == ToldNotRun {
			// That is true of the second sending only.
			result.Told = ToldUnknown
		}
	}
	result.Latency = time.Since(begin)
	return result
}

// attempt reports, besides the result, whether a reused connection ended
// before any byte of an answer.
func (c *Caller) attempt(ctx context.Context, target Target, o *Operation) (Result, bool) {
	p := c.pool(target.Address)
	connection, err := p.get(ctx)
	if err != nil {
		return Result{Told: ToldNotRun, Reason: "connect: " + reasonOf(err)}, false
	}
	deadline, _ := ctx.Deadline()
	_ = connection.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { connection.Close() })
	result, keep, stale := c.exchange(connection, c.newRequest(target, o), o)
	if stop() && keep {
		p.put(connection)
	} else {
		connection.Close()
	}
	return result, stale && connection.reused
}

// exchange sends the request and reads the answer. It reports whether the
// connection can be used again and whether it ended before any byte came.
func (c *Caller) exchange(connection *conn, request *http.Request, o *Operation) (result Result, keep, stale bool) {
	written := make(chan error, 1)
	if request.ContentLength >= asyncBody {
		go func() { written <- send(connection, request) }()
	} else {
		written <- send(connection, request)
	}
	if _, err := connection.reader.Peek(1); err != nil {
		connection.Close()
		<-written
		return Result{Told: ToldUnknown, Reason: "no answer: " + reasonOf(err)}, false, isEnded(err)
	}
	response, err := http.ReadResponse(connection.reader, request)
	if err != nil {
		connection.Close()
		<-written
		return Result{Told: ToldUnknown, Reason: "bad answer: " + reasonOf(err)}, false, false
	}
	result, whole := c.judge(response, o)
	select {
	case err = <-written:
	default:
		// The answer came before the end of the body: stop sending.
		connection.Close()
		<-written
		return result, false, false
	}
	return result, err == nil && whole && !response.Close, false
}

func send(connection *conn, request *http.Request) error {
	if err := request.Write(connection.writer); err != nil {
		return err
	}
	return connection.writer.Flush()
}

// judge reads the answer to its end and says what it tells the caller and
// whether it ended cleanly.
func (c *Caller) judge(response *http.Response, o *Operation) (Result, bool) {
	defer response.Body.Close()
	header := response.Header
	result := Result{RequestID: header.Get(wire.HeaderRequestID), Server: header.Get(wire.HeaderServer)}
	buffer := c.buffers.Get().(*[bodyBuffer]byte)
	defer c.buffers.Put(buffer)
	if response.StatusCode != http.StatusOK {
		_, err := io.CopyBuffer(io.Discard, response.Body, buffer[:])
		result.Told, result.Reason = refusal(response)
		return result, err == nil
	}
	_, err := wire.Check(header, response.Body, buffer[:])
	switch {
	case isCut(err):
		result.Told, result.Reason = ToldUnknown, "cut answer"
		return result, false
	case err != nil:
		result.Told, result.Reason = ToldWrong, err.Error()
	case header.Get(wire.HeaderOp) != o.ID:
		result.Told, result.Reason = ToldWrong, "answer of operation "+header.Get(wire.HeaderOp)
	}
	return result, true
}

// refusal reads an answer with an error status.
func refusal(response *http.Response) (Told, string) {
	reason := response.Header.Get(wire.HeaderError)
	if reason == "" {
		reason = "status " + strconv.Itoa(response.StatusCode)
	}
	switch response.Header.Get(wire.HeaderRun) {
	case "no":
		return ToldNotRun, reason
	case "", "yes":
		return ToldFailure, reason
	}
	return ToldUnknown, reason
}

// newRequest makes the request of one attempt.
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
		body.Describe(header)
		request.Body = io.NopCloser(body.Reader())
		request.ContentLength = o.BodyBytes
	}
	return request
}

// isCut says whether the answer ended before the length that it announced.
func isCut(err error) bool {
	netError := net.Error(nil)
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netError) || errors.Is(err, net.ErrClosed)
}

// isEnded says whether the peer closed the connection.
func isEnded(err error) bool {
	timeout := net.Error(nil)
	return err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) && !errors.Is(err, net.ErrClosed)
}

// reasonOf shortens an error to something that can be counted.
func reasonOf(err error) string {
	timeout := net.Error(nil)
	switch {
	case errors.As(err, &timeout) && timeout.Timeout(), errors.Is(err, net.ErrClosed):
		return "timeout"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "closed"
	}
	operation := (*net.OpError)(nil)
	if errors.As(err, &operation) {
		return operation.Err.Error()
	}
	return err.Error()
}

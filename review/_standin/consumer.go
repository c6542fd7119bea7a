package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"
)

// request is one attempt of a consumer.
type request struct {
	method, host, target string
	// id is the request id; empty: one is made.
	id     string
	budget time.Duration
	// chunkedBody is a body that is sent in chunks; empty: the request has none.
	chunkedBody string
}

// result is what a consumer got.
type result struct {
	id        string
	sentAt    time.Time
	status    int
	signature string
	// took is the time until the end of the answer, or until the consumer gave up.
	took time.Duration
	// whole reports whether the answer ended.
	whole bool
	bytes int64
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

// send sends a request to a machine's node, on a new connection, and waits for the end of
// its answer for the request's time budget.
func (e *env) send(m *machine, q request) result {
	if q.id == "" {
		q.id = newID()
	}
	if q.budget == 0 {
		q.budget = 2 * time.Second
	}
	r := result{id: q.id, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), q.budget)
	defer cancel()
	var body io.Reader
	if q.method == http.MethodPost || q.method == http.MethodPut {
		body = strings.NewReader("one order")
	}
	if q.chunkedBody != "" {
		body = io.MultiReader(strings.NewReader(q.chunkedBody)) // of no known length
	}
	sent, err := http.NewRequestWithContext(ctx, q.method, "http://"+address(m.ip, portOutbound), body)
	if err != nil {
		e.logf("request not made: %v", err)
		return r
	}
	// The target is sent as it is.
	sent.URL = &url.URL{Scheme: "http", Host: address(m.ip, portOutbound), Opaque: q.target}
	sent.Host = q.host
	sent.Header.Set(headerRequestID, q.id)
	sent.Header.Set(headerDeadline, fmt.Sprint(q.budget.Milliseconds()))
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	answer, err := transport.RoundTrip(sent)
	if err == nil {
		r.status, r.signature = answer.StatusCode, answer.Header.Get(headerSignature)
		r.bytes, err = io.Copy(io.Discard, answer.Body)
		answer.Body.Close()
	}
	r.took, r.whole = time.Since(r.sentAt), err == nil
	e.logf("consumer on %s: %s %s Host %s id %s: status %d, signature %q, whole %v, %d bytes, %d ms",
		m.name, q.method, q.target, q.host, q.id, r.status, r.signature, r.whole, r.bytes, r.took.Milliseconds())
	return r
}

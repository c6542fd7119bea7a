package backend

import (
	"context"
	"io"
	"strings"
	"sync"
	"time"
)

// link simulates the network path from one place to the server: a one-way delay, and
// a bandwidth limit in each direction, which all requests from the place share.
type link struct {
	delay time.Duration
	// up carries requests, down carries answers.
	up, down throttle
}

// defaultLink is the link of places for which the options set no delay or limit.
var defaultLink = &link{}

// newLinks returns the links that the options describe, by place.
func newLinks(options Options) map[string]*link {
	links := map[string]*link{}
	for place, delay := range options.Links {
		links[place] = &link{delay: delay}
	}
	for place, bytesPerSecond := range options.LinkRates {
		if links[place] == nil {
			links[place] = &link{}
		}
		links[place].up.bytesPerSecond = float64(bytesPerSecond)
		links[place].down.bytesPerSecond = float64(bytesPerSecond)
	}
	return links
}

// linkFrom returns the link from a place, "region" or "region/data-centre". The link
// of the data centre takes precedence over that of the region.
func (s *Server) linkFrom(place string) *link {
	region, dataCentre, _ := strings.Cut(place, "/")
	if l := s.links[dataCentre]; l != nil {
		return l
	}
	if l := s.links[region]; l != nil {
		return l
	}
	return defaultLink
}

// throttle limits the rate at which bytes pass in one direction of a link, in the
// order of their arrival. It is safe for concurrent use.
type throttle struct {
	// bytesPerSecond is the limit; 0: none.
	bytesPerSecond float64

	mu sync.Mutex
	// freeAt is when the last byte reserved so far has passed.
	freeAt time.Time
}

// wait waits until n more bytes have passed.
func (t *throttle) wait(ctx context.Context, n int) error {
	if t.bytesPerSecond <= 0 || n == 0 {
		return ctx.Err()
	}
	return sleep(ctx, time.Until(t.reserve(n)))
}

// reserve queues n more bytes and returns when they will have passed.
func (t *throttle) reserve(n int) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := time.Now(); t.freeAt.Before(now) {
		t.freeAt = now
	}
	t.freeAt = t.freeAt.Add(time.Duration(float64(n) / t.bytesPerSecond * float64(time.Second)))
	return t.freeAt
}

// throttledReader reads from reader at the rate of its throttle.
type throttledReader struct {
	ctx      context.Context
	reader   io.Reader
	throttle *throttle
}

// Read implements io.Reader.
func (r *throttledReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if waitErr := r.throttle.wait(r.ctx, n); waitErr != nil {
		return n, waitErr
	}
	return n, err
}

// throttledWriter writes to writer at the rate of its throttle.
type throttledWriter struct {
	ctx      context.Context
	writer   io.Writer
	throttle *throttle
}

// Write implements io.Writer.
func (w *throttledWriter) Write(p []byte) (int, error) {
	if err := w.throttle.wait(w.ctx, len(p)); err != nil {
		return 0, err
	}
	return w.writer.Write(p)
}

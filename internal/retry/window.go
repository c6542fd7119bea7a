package retry

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the number of buckets that a span is counted in; a bucket
	// leaves the span as a whole, at most a twentieth too late.
	windowBuckets = 20
	// safeShare of what the fleet may retry is used. The rest covers the calls
	// that servers make for requests that run again: they count as retries of the
	// services called, and no entry can tell them from others.
	safeShare = 0.6
)

// Window counts requests and retries over a sliding span and bounds the retries
// by a share of the requests. Safe for concurrent use.
type Window struct {
	span time.Duration

	mu       sync.Mutex
	ratio    float64
	slack    float64
	origin   time.Time
	newest   int64 // number of the newest bucket since origin
	requests [windowBuckets]int
	retries  [windowBuckets]int
}

func newWindow(span time.Duration) *Window {
	return &Window{span: span}
}

// setLimits sets the retries allowed for each request and those allowed besides.
func (w *Window) setLimits(ratio, slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ratio, w.slack = ratio, slack
}

func (w *Window) request(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[w.bucketLocked(now)]++
}

// take reports whether one more retry keeps the span that ends now within the
// limits, and counts it.
func (w *Window) take(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	bucket := w.bucketLocked(now)
	requests, retries := 0, 1
	for i := range windowBuckets {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	if float64(retries) > safeShare*(w.ratio*float64(requests)+w.slack) {
		return false
	}
	w.retries[bucket]++
	return true
}

// bucketLocked returns the index of the bucket of now, and empties the buckets
// that have left the span. Time that runs backwards counts in the newest bucket.
func (w *Window) bucketLocked(now time.Time) int {
	if w.origin.IsZero() {
		w.origin = now
	}
	number := int64(now.Sub(w.origin) / (w.span / windowBuckets))
	if number > w.newest+windowBuckets {
		w.newest = number - windowBuckets
	}
	for w.newest < number {
		w.newest++
		w.requests[w.newest%windowBuckets] = 0
		w.retries[w.newest%windowBuckets] = 0
	}
	return int(w.newest % windowBuckets)
}

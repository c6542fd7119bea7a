package retry

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the number of buckets into which a span is divided. A bucket
	// leaves the span as a whole, at most a twentieth of the span too late.
	windowBuckets = 20
	// usableShare is the share of the fleet's allowed retries that is used. The
	// rest covers the calls that servers make for requests that run again: they
	// count as retries of the services called, and no entry can tell them from
	// other calls.
	usableShare = 0.6
)

// Window counts requests and retries over a sliding span of time and limits the
// retries to a share of the requests. Safe for concurrent use.
type Window struct {
	span time.Duration

	mu           sync.Mutex
	ratio        float64
	slack        float64
	origin       time.Time
	newestBucket int64 // number of the newest bucket since origin
	requests     [windowBuckets]int
	retries      [windowBuckets]int
}

func newWindow(span time.Duration) *Window {
	return &Window{span: span}
}

// setLimits sets the number of retries allowed for each request, and the number
// allowed in addition.
func (w *Window) setLimits(ratio, slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ratio, w.slack = ratio, slack
}

func (w *Window) recordRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[w.bucketLocked(now)]++
}

// take reports whether one more retry keeps the span that ends now within the
// limits, and counts it if so.
func (w *Window) take(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	bucket := w.bucketLocked(now)
	requests, retries := 0, 1
	for i := range windowBuckets {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	if float64(retries) > usableShare*(w.ratio*float64(requests)+w.slack) {
		return false
	}
	w.retries[bucket]++
	return true
}

// bucketLocked returns the index of the bucket for now, and clears the buckets that
// have left the span. If the clock goes backwards, the newest bucket is used.
func (w *Window) bucketLocked(now time.Time) int {
	if w.origin.IsZero() {
		w.origin = now
	}
	bucket := int64(now.Sub(w.origin) / (w.span / windowBuckets))
	if bucket > w.newestBucket+windowBuckets {
		w.newestBucket = bucket - windowBuckets
	}
	for w.newestBucket < bucket {
		w.newestBucket++
		w.requests[w.newestBucket%windowBuckets] = 0
		w.retries[w.newestBucket%windowBuckets] = 0
	}
	return int(w.newestBucket % windowBuckets)
}

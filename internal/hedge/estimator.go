package hedge

import (
	"math"
	"sync"
	"time"
)

const (
	// minLatency and latencyBuckets give the range of the histogram: 100 µs to 55 s.
	minLatency     = 100 * time.Microsecond
	latencyBuckets = 153
	// bucketsPerDoubling sets the width of a bucket, 9 percent of its latency.
	bucketsPerDoubling = 8
	// generationTime is the time after which a histogram is replaced by a new one.
	// Latencies are kept for one to two generations, so a slowdown of the whole service
	// raises the delay within seconds.
	generationTime = 5 * time.Second
	// minSamples is the number of latencies below which there is no delay. A 95th
	// percentile of fewer is mostly the largest of them.
	minSamples = 30
	// maxSampleAge limits the age of latencies that routes with few requests keep.
	maxSampleAge = 60 * time.Second
	// updateInterval is the time for which a computed delay is used again: it takes
	// about a microsecond to compute.
	updateInterval = 100 * time.Millisecond
	// minDelayMedians is the shortest delay in median latencies. Where latencies hardly
	// differ, the quantile alone would choose requests that are about to be answered.
	minDelayMedians = 2
)

// generation is a histogram of latencies with logarithmic buckets.
type generation struct {
	began  time.Time
	counts [latencyBuckets]uint32
	total  uint32
}

// Estimator measures the latencies of the first attempts of one route at one service. It
// is safe for concurrent use.
type Estimator struct {
	mu              sync.Mutex
	newest, older   generation
	computedAt      time.Time
	computedPercent uint32
	delay, median   time.Duration
}

// Record adds the time from sending a first attempt to the head of its answer. For an
// attempt that was cancelled it is the time until then: as this is beyond the delay, it
// counts as a latency above the quantile, and cancelling doesn't lower the delay.
func (e *Estimator) Record(now time.Time, latency time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rotateLocked(now)
	e.newest.counts[bucketOf(latency)]++
	e.newest.total++
}

// Delay returns the time after which a request is unusually slow, and the median latency.
// It returns false while too few latencies are known. With a limit of percent hedged
// requests, the delay is the quantile that so many requests exceed, and no less than
// minDelayMedians medians.
func (e *Estimator) Delay(now time.Time, percent uint32) (delay, median time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rotateLocked(now)
	if e.newest.total+e.older.total < minSamples {
		return 0, 0, false
	}
	if percent != e.computedPercent || now.Sub(e.computedAt) >= updateInterval {
		e.computedAt, e.computedPercent = now, percent
		e.median = e.quantileLocked(0.5)
		e.delay = max(e.quantileLocked(1-float64(percent)/100), minDelayMedians*e.median)
	}
	return e.delay, e.median, true
}

func (e *Estimator) rotateLocked(now time.Time) {
	if e.newest.began.IsZero() {
		e.newest.began = now
	}
	age := now.Sub(e.newest.began)
	if age < generationTime || (e.newest.total < minSamples && age < maxSampleAge) {
		return
	}
	e.older, e.newest = e.newest, generation{began: now}
	if age >= maxSampleAge {
		e.older = generation{}
	}
}

// quantileLocked returns the upper end of the bucket that contains the quantile.
func (e *Estimator) quantileLocked(q float64) time.Duration {
	rank := uint32(math.Ceil(q * float64(e.newest.total+e.older.total)))
	seen := uint32(0)
	for i := range latencyBuckets {
		seen += e.newest.counts[i] + e.older.counts[i]
		if seen >= rank {
			return time.Duration(float64(minLatency) * math.Exp2(float64(i+1)/bucketsPerDoubling))
		}
	}
	return time.Duration(float64(minLatency) * math.Exp2(float64(latencyBuckets)/bucketsPerDoubling))
}

func bucketOf(latency time.Duration) int {
	if latency <= minLatency {
		return 0
	}
	return min(int(math.Log2(float64(latency)/float64(minLatency))*bucketsPerDoubling), latencyBuckets-1)
}

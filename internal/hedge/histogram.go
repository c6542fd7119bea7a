package hedge

import (
	"math"
	"time"
)

const (
	// minLatency and latencyBuckets give the range of a histogram: 100 µs to 55 s.
	minLatency     = 100 * time.Microsecond
	latencyBuckets = 153
	// bucketsPerDoubling sets the width of a bucket, 9 percent of its latency.
	bucketsPerDoubling = 8
)

// histogram counts latencies in logarithmic buckets, those of attempts that were cancelled
// apart: of these only a lower bound is known.
type histogram struct {
	answered, cancelled [latencyBuckets]uint32
	total               uint32
}

func (h *histogram) add(latency time.Duration, isCancelled bool) {
	if isCancelled {
		h.cancelled[bucketOf(latency)]++
	} else {
		h.answered[bucketOf(latency)]++
	}
	h.total++
}

func bucketOf(latency time.Duration) int {
	return min(max(int(position(latency)), 0), latencyBuckets-1)
}

// position returns the number of buckets, and the part of one, below a latency.
func position(latency time.Duration) float64 {
	return math.Log2(max(float64(latency), 1)/float64(minLatency)) * bucketsPerDoubling
}

// edge returns the upper end of a bucket.
func edge(bucket int) time.Duration {
	return time.Duration(float64(minLatency) * math.Exp2(float64(bucket+1)/bucketsPerDoubling))
}

// survival has the share of latencies above the lower end of each bucket.
type survival [latencyBuckets + 1]float64

// newSurvival returns the distribution of the latencies in two histograms. A cancelled
// attempt counts as answered then, which keeps the share of latencies beyond the delay.
func newSurvival(a, b *histogram) *survival {
	s := &survival{1}
	waiting := a.total + b.total
	for i := range latencyBuckets {
		waiting -= a.answered[i] + b.answered[i] + a.cancelled[i] + b.cancelled[i]
		s[i+1] = float64(waiting) / float64(a.total+b.total)
	}
	return s
}

// newCensoredSurvival estimates the distribution by the Kaplan-Meier method: a cancelled
// attempt counts among those that may be answered until its cancellation, and not later.
// With cancellations counted as answers, the share of responses later than the target would
// fall with each hedged attempt, and with it the number of these.
func newCensoredSurvival(a, b *histogram) *survival {
	s := &survival{1}
	waiting := a.total + b.total
	for i := range latencyBuckets {
		answered := a.answered[i] + b.answered[i]
		s[i+1] = s[i]
		if answered > 0 {
			s[i+1] *= 1 - float64(answered)/float64(waiting)
		}
		waiting -= answered + a.cancelled[i] + b.cancelled[i]
		s[i+1] = max(s[i+1], minSurvivors/float64(a.total+b.total))
	}
	return s
}

// minSurvivors is the least number of attempts that count as answered later than any time.
// Without it, a request that takes longer than all before it would have no chance to be
// late, and get no hedged attempt.
const minSurvivors = 0.5

// after returns the share of latencies above a latency, interpolated within its bucket.
func (s *survival) after(latency time.Duration) float64 {
	p := position(latency)
	switch {
	case p <= 0:
		return 1
	case p >= latencyBuckets:
		return s[latencyBuckets]
	}
	i := int(p)
	part := p - float64(i)
	return s[i]*(1-part) + s[i+1]*part
}

// quantile returns the upper end of the bucket that contains the quantile.
func (s *survival) quantile(q float64) time.Duration {
	for i := range latencyBuckets {
		if s[i+1] <= 1-q+quantileRounding {
			return edge(i)
		}
	}
	return edge(latencyBuckets - 1)
}

// quantileRounding covers the rounding errors of a survival.
const quantileRounding = 1e-9

package balance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// maxReportAge is the age from which a load report is no longer used.
	maxReportAge = 250 * time.Millisecond
	// latencyWeight is the weight of the newest sample in the mean latency.
	latencyWeight = 0.1
	// latencyHalfLife is the time in which the mean latency halves while there are no
	// samples, so that a slow endpoint is tried again.
	latencyHalfLife = 10 * time.Second
	// errorWeight is the weight of the newest sample in the error rate.
	errorWeight = 0.1
	// refusedLoadFactor is the lowest load assumed for an endpoint that refuses, as a
	// multiple of its slots.
	refusedLoadFactor = 2
	// minWarmupWeight is the weight of a backend server that has just started.
	minWarmupWeight = 0.1
)

// loadReport is a load report together with the state of this entry at its arrival.
type loadReport struct {
	load              float64
	rateLimitPerS     *float64 // nil: none
	inFlightAtReceipt int64
	receivedAt        time.Time
	// uses counts the picks that relied on the report; see probePool.
	uses atomic.Int32
}

// endpointState is the state that a balancer keeps for one endpoint. It is kept across
// updates while the endpoint, including its incarnation, stays the same.
type endpointState struct {
	endpoint *Endpoint
	// remote reports whether the endpoint is in another region.
	remote bool
	// inFlight counts the attempts of this entry in flight.
	inFlight      atomic.Int64
	loadReport    atomic.Pointer[loadReport]
	latency       ewma
	errorRate     ewmaRate
	ejectionState ejectionState
	counts        counts
	// warmupStart is when the warm-up of a new or readmitted endpoint begins, in Unix
	// nanoseconds; zero if it isn't warming up.
	warmupStart atomic.Int64
}

// load estimates the number of requests at the endpoint now. It uses the last load
// report, adjusted for the attempts that this entry has started and ended since, with a
// weight that decreases as the report ages.
func (s *endpointState) load(now time.Time) float64 {
	inFlight := float64(s.inFlight.Load())
	r := s.loadReport.Load()
	if r == nil {
		return inFlight
	}
	age := now.Sub(r.receivedAt)
	if age >= maxReportAge {
		return inFlight
	}
	weight := 1 - float64(age)/float64(maxReportAge)
	reported := r.load + inFlight - float64(r.inFlightAtReceipt)
	return max(inFlight, inFlight+weight*(reported-inFlight))
}

// weight returns the usable share of the endpoint's capacity. During warm-up it grows
// linearly to 1 and is at least minWarmupWeight.
func (s *endpointState) weight(now time.Time, warmup time.Duration) float64 {
	start := s.warmupStart.Load()
	if start == 0 || warmup <= 0 {
		return 1
	}
	progress := float64(now.UnixNano()-start) / float64(warmup)
	if progress >= 1 {
		s.warmupStart.CompareAndSwap(start, 0)
		return 1
	}
	return max(minWarmupWeight, progress)
}

// capacity returns the number of requests that the endpoint should run concurrently.
func (s *endpointState) capacity(now time.Time, warmup time.Duration) float64 {
	return float64(max(s.endpoint.Slots, 1)) * s.weight(now, warmup)
}

// observe records the end of an attempt.
func (s *endpointState) observe(now time.Time, result Result) {
	s.counts.add(result.Outcome)
	if result.Report != nil {
		s.setReport(now, result.Report, result.Outcome)
	}
	switch result.Outcome {
	case OutcomeSuccess:
		s.latency.add(now, result.Latency)
		s.errorRate.add(0)
	case OutcomeFailure, OutcomeUnreachable:
		s.errorRate.add(1)
		s.latency.postponeDecay(now)
	}
}

// hasOnlyFailed reports whether the endpoint has failed since its last ejection, if
// any, and never succeeded.
func (s *endpointState) hasOnlyFailed() bool {
	return s.latency.lastSample.Load() == 0 && s.errorRate.get() > 0
}

// setReport replaces the load report, unless it is from another incarnation. A refusal
// overrides a lower load in its report, because the endpoint is full.
func (s *endpointState) setReport(now time.Time, load *pb.LoadReport, outcome Outcome) {
	if load.GetIncarnation() != 0 && load.GetIncarnation() != s.endpoint.Incarnation {
		return
	}
	reported := float64(load.GetInFlight() + load.GetQueued())
	if outcome == OutcomeRefused {
		reported = max(reported, refusedLoadFactor*float64(s.endpoint.Slots))
	}
	s.loadReport.Store(&loadReport{
		load:              reported,
		rateLimitPerS:     load.RateLimitPerS,
		inFlightAtReceipt: s.inFlight.Load(),
		receivedAt:        now,
	})
}

// ewma is an exponentially weighted moving average of latencies that decays without
// samples.
type ewma struct {
	value      atomic.Uint64 // float64 bits, nanoseconds
	lastSample atomic.Int64  // Unix nanoseconds
}

// add records a sample. Concurrent samples may overwrite each other; the
// average stays within the range of the samples.
func (e *ewma) add(now time.Time, sample time.Duration) {
	next := float64(sample)
	if e.lastSample.Swap(now.UnixNano()) != 0 {
		old := math.Float64frombits(e.value.Load())
		next = old + latencyWeight*(next-old)
	}
	e.value.Store(math.Float64bits(next))
}

// postponeDecay restarts the decay at now without a sample, so that an endpoint doesn't
// look faster because it fails.
func (e *ewma) postponeDecay(now time.Time) {
	if e.lastSample.Load() != 0 {
		e.lastSample.Store(now.UnixNano())
	}
}

// get returns the average at now in nanoseconds, or zero if there is no sample yet.
func (e *ewma) get(now time.Time) float64 {
	last := e.lastSample.Load()
	if last == 0 {
		return 0
	}
	value := math.Float64frombits(e.value.Load())
	return value * math.Exp2(-float64(now.UnixNano()-last)/float64(latencyHalfLife))
}

// ewmaRate is an exponentially weighted moving average of samples of 0 and 1.
type ewmaRate struct {
	value atomic.Uint64 // float64 bits
	count atomic.Int64
}

// add records one sample.
func (r *ewmaRate) add(sample float64) {
	r.count.Add(1)
	old := math.Float64frombits(r.value.Load())
	r.value.Store(math.Float64bits(old + errorWeight*(sample-old)))
}

// get returns the rate from 0 to 1.
func (r *ewmaRate) get() float64 {
	return math.Float64frombits(r.value.Load())
}

// reset discards all samples.
func (r *ewmaRate) reset() {
	r.value.Store(0)
	r.count.Store(0)
}

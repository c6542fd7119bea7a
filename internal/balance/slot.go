package balance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// reportTTL is the age at which a load report is no longer used.
	reportTTL = 250 * time.Millisecond
	// latencyWeight is the weight of the newest sample in the mean latency.
	latencyWeight = 0.1
	// latencyHalfLife is the time in which the mean latency halves while no
	// sample comes, so that a slow endpoint is tried again.
	latencyHalfLife = 10 * time.Second
	// errorWeight is the weight of the newest sample in the error rate.
	errorWeight = 0.1
	// fullLoad is the load of an endpoint that refuses, in units of its slots.
	fullLoad = 2
	// minRampWeight is the weight of a backend server that has just started.
	minRampWeight = 0.1
)

// report is a load report with what this entry knew when it came.
type report struct {
	load  float64
	ownAt int64
	at    time.Time
	// uses counts the picks that relied on it; see probePool.
	uses atomic.Int32
}

// slot is the state that one balancer keeps of one endpoint. It survives
// updates for as long as the incarnation stays the same.
type slot struct {
	endpoint *Endpoint
	// remote: the endpoint is in another region.
	remote bool
	// own counts the attempts of this entry in flight.
	own     atomic.Int64
	report  atomic.Pointer[report]
	latency ewma
	errors  ewmaRate
	outlier outlier
	counts  counts
	// rampStart is when the ramp of a cold or readmitted endpoint began, Unix
	// nanoseconds; zero: no ramp.
	rampStart atomic.Int64
}

// load estimates the requests at the endpoint now: the last report, corrected
// by what this entry has started and ended since, trusted less as it ages.
func (s *slot) load(now time.Time) float64 {
	own := float64(s.own.Load())
	r := s.report.Load()
	if r == nil {
		return own
	}
	age := now.Sub(r.at)
	if age >= reportTTL {
		return own
	}
	trust := 1 - float64(age)/float64(reportTTL)
	reported := r.load + own - float64(r.ownAt)
	return max(own, own+trust*(reported-own))
}

// weight is the share of its capacity that the endpoint is given, from
// minRampWeight to 1, growing linearly over warmup.
func (s *slot) weight(now time.Time, warmup time.Duration) float64 {
	start := s.rampStart.Load()
	if start == 0 || warmup <= 0 {
		return 1
	}
	progress := float64(now.UnixNano()-start) / float64(warmup)
	if progress >= 1 {
		s.rampStart.CompareAndSwap(start, 0)
		return 1
	}
	return max(minRampWeight, progress)
}

// capacity is the number of requests the endpoint is meant to run at once.
func (s *slot) capacity(now time.Time, warmup time.Duration) float64 {
	return float64(max(s.endpoint.Slots, 1)) * s.weight(now, warmup)
}

// observe records the end of an attempt.
func (s *slot) observe(now time.Time, result Result) {
	s.counts.add(result.Outcome)
	if result.Report != nil {
		s.setReport(now, result.Report, result.Outcome)
	}
	switch result.Outcome {
	case OutcomeSuccess:
		s.latency.add(now, result.Latency)
		s.errors.add(0)
	case OutcomeFailure, OutcomeUnreachable:
		s.errors.add(1)
		s.latency.hold(now)
	}
}

// hasOnlyFailed says whether answers came, none of them a success.
func (s *slot) hasOnlyFailed() bool {
	return s.latency.stamp.Load() == 0 && s.errors.get() > 0
}

// setReport replaces the load report, unless the gate restarted in between. A
// refusal outweighs the report that came with it: the endpoint is full.
func (s *slot) setReport(now time.Time, load *pb.LoadReport, outcome Outcome) {
	if load.GetIncarnation() != 0 && load.GetIncarnation() != s.endpoint.Incarnation {
		return
	}
	reported := float64(load.GetInFlight() + load.GetQueued())
	if outcome == OutcomeRefused {
		reported = max(reported, fullLoad*float64(s.endpoint.Slots))
	}
	s.report.Store(&report{
		load:  reported,
		ownAt: s.own.Load(),
		at:    now,
	})
}

// ewma is an exponentially weighted moving average of latencies.
type ewma struct {
	value atomic.Uint64 // float64 bits, nanoseconds
	stamp atomic.Int64  // Unix nanoseconds of the last sample
}

// add records a sample. Concurrent samples may overwrite each other; the
// average stays within the range of the samples.
func (e *ewma) add(now time.Time, sample time.Duration) {
	next := float64(sample)
	if e.stamp.Swap(now.UnixNano()) != 0 {
		old := math.Float64frombits(e.value.Load())
		next = old + latencyWeight*(next-old)
	}
	e.value.Store(math.Float64bits(next))
}

// hold ends the decay up to now without a sample: an endpoint that fails doesn't
// get faster.
func (e *ewma) hold(now time.Time) {
	if e.stamp.Load() != 0 {
		e.stamp.Store(now.UnixNano())
	}
}

// get returns the average at now in nanoseconds. Zero: no sample yet.
func (e *ewma) get(now time.Time) float64 {
	last := e.stamp.Load()
	if last == 0 {
		return 0
	}
	value := math.Float64frombits(e.value.Load())
	return value * math.Exp2(-float64(now.UnixNano()-last)/float64(latencyHalfLife))
}

// ewmaRate is a moving average of zeros and ones by count.
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

// reset forgets all samples.
func (r *ewmaRate) reset() {
	r.value.Store(0)
	r.count.Store(0)
}

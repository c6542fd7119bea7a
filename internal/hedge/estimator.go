package hedge

import (
	"sync"
	"time"
)

const (
	// generationTime is the time after which a histogram is replaced by a new one.
	// Latencies are kept for one to two generations, so a slowdown of the whole service
	// raises the delay within seconds.
	generationTime = 5 * time.Second
	// minSamples is the number of latencies below which there is no delay. A 95th
	// percentile of fewer is mostly the largest of them.
	minSamples = 30
	// minRatioSamples is the number of samples that a generation of ratios has at least:
	// the share of requests that take several times what was expected, a few in a hundred,
	// is read from them. They change little when the service becomes slower, as offers do.
	minRatioSamples = 500
	// maxSampleAge limits the age of latencies that routes with few requests keep.
	maxSampleAge = 60 * time.Second
	// updateInterval is the time for which what was computed from the histograms is used
	// again: it takes microseconds to compute.
	updateInterval = 100 * time.Millisecond
	// minDelayMedians is the shortest delay in median latencies for requests without a
	// target. Where latencies hardly differ, the quantile alone would choose requests that
	// are about to be answered.
	minDelayMedians = 2
	// ratioUnit is what a latency as long as expected counts as in the histogram of ratios.
	ratioUnit = time.Second
)

// generations are a histogram and the one before it.
type generations struct {
	began         time.Time
	newest, older histogram
}

// rotate starts a new generation when the newest is old enough and has enough samples.
func (g *generations) rotate(now time.Time, enough uint32) {
	if g.began.IsZero() {
		g.began = now
	}
	age := now.Sub(g.began)
	if age < generationTime || (g.newest.total < enough && age < maxSampleAge) {
		return
	}
	g.older, g.newest, g.began = g.newest, histogram{}, now
	if age >= maxSampleAge {
		g.older = histogram{}
	}
}

// Estimator measures the latencies of the first attempts of one route at one service, and
// their ratios to what the gates' offers made expect. It is safe for concurrent use.
type Estimator struct {
	mu                sync.Mutex
	latencies, ratios generations
	computedAt        time.Time
	computed          distributions
}

// Record adds the time from sending a first attempt to the head of its answer. expected is
// the latency by its offer; zero if unknown.
func (e *Estimator) Record(now time.Time, latency, expected time.Duration) {
	e.record(now, latency, expected, false)
}

// RecordCancelled adds the time from sending a first attempt to its cancellation.
func (e *Estimator) RecordCancelled(now time.Time, elapsed, expected time.Duration) {
	e.record(now, elapsed, expected, true)
}

func (e *Estimator) record(now time.Time, latency, expected time.Duration, isCancelled bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rotateLocked(now)
	e.latencies.newest.add(latency, isCancelled)
	if expected > 0 {
		e.ratios.newest.add(ratioOf(latency, expected), isCancelled)
	}
}

// ratioOf returns the ratio of a latency to the expected one, in ratioUnit.
func ratioOf(latency, expected time.Duration) time.Duration {
	return time.Duration(float64(latency) / float64(expected) * float64(ratioUnit))
}

func (e *Estimator) rotateLocked(now time.Time) {
	e.latencies.rotate(now, minSamples)
	e.ratios.rotate(now, minRatioSamples)
}

// distributions are what was computed from the histograms.
type distributions struct {
	// counted counts a cancelled attempt as answered then.
	counted *survival
	// latency and ratio are those of attempts that aren't cancelled; ratio is nil while too
	// few are known.
	latency, ratio *survival
}

// distributions returns the distributions at now. It returns false while too few latencies
// are known.
func (e *Estimator) distributions(now time.Time) (distributions, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rotateLocked(now)
	if e.latencies.newest.total+e.latencies.older.total < minSamples {
		e.computedAt = time.Time{}
		return distributions{}, false
	}
	if now.Sub(e.computedAt) >= updateInterval {
		e.computedAt = now
		e.computed = distributions{
			counted: newSurvival(&e.latencies.newest, &e.latencies.older),
			latency: newCensoredSurvival(&e.latencies.newest, &e.latencies.older),
		}
		if e.ratios.newest.total+e.ratios.older.total >= minSamples {
			e.computed.ratio = newCensoredSurvival(&e.ratios.newest, &e.ratios.older)
		}
	}
	return e.computed, true
}

// delay returns the time after which a request without a target is unusually slow, and the
// median latency. With a limit of percent hedged requests, the delay is the quantile that so
// many requests exceed, and no less than minDelayMedians medians.
func (d *distributions) delay(percent uint32) (delay, median time.Duration) {
	median = d.counted.quantile(0.5)
	return max(d.counted.quantile(1-float64(percent)/100), minDelayMedians*median), median
}

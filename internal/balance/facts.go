package balance

import (
	"sync/atomic"
	"time"
)

// Facts is the state of one endpoint in a balancer, for diagnostics.
type Facts struct {
	Endpoint *Endpoint
	// Eligible reports whether the endpoint may be selected now.
	Eligible bool
	// Reasons are the reasons why the endpoint gets no requests or less than its share,
	// most important first: "ejected", "warming up", "other region".
	Reasons []string
	// EjectedUntil is the end of the ejection; zero if not ejected.
	EjectedUntil time.Time
	// Attempts since the endpoint was added, in total and by outcome.
	Picks, Successes, Failures, Refusals, Unreachable uint64
	// Load is the last reported load in requests, in flight and queued. LoadAge is its
	// age, negative if there is no report.
	Load    float64
	LoadAge time.Duration
	// RateLimitPerS is the number of requests a second that the backend server takes, by
	// that report; nil if it names no limit.
	RateLimitPerS *float64
	// Latency is the mean latency measured by this entry; zero if there is none yet.
	Latency time.Duration
}

// Explainer returns the state behind a balancer's choices.
type Explainer interface {
	// Facts returns the facts of each endpoint, in no particular order.
	Facts() []Facts
	// Stats returns the balancer's counters.
	Stats() Stats
}

// counts are the numbers of attempts at one endpoint by outcome.
type counts struct {
	picks, successes, failures, refusals, unreachable atomic.Uint64
}

// add counts the end of an attempt.
func (c *counts) add(outcome Outcome) {
	switch outcome {
	case OutcomeSuccess:
		c.successes.Add(1)
	case OutcomeFailure:
		c.failures.Add(1)
	case OutcomeRefused:
		c.refusals.Add(1)
	case OutcomeUnreachable:
		c.unreachable.Add(1)
	}
}

// Facts implements Explainer.
func (p *pool) Facts() []Facts {
	now := timeNow()
	snap := p.current.Load()
	facts := make([]Facts, 0, len(snap.endpoints))
	for _, s := range snap.endpoints {
		facts = append(facts, s.facts(now, snap))
	}
	return facts
}

// facts returns the endpoint's facts at now.
func (s *endpointState) facts(now time.Time, snap *snapshot) Facts {
	f := Facts{
		Endpoint:    s.endpoint,
		Eligible:    !s.ejectionState.ejected(now),
		Picks:       s.counts.picks.Load(),
		Successes:   s.counts.successes.Load(),
		Failures:    s.counts.failures.Load(),
		Refusals:    s.counts.refusals.Load(),
		Unreachable: s.counts.unreachable.Load(),
		LoadAge:     -1,
		Latency:     time.Duration(s.latency.get(now)),
	}
	if !f.Eligible {
		f.EjectedUntil = time.Unix(0, s.ejectionState.ejectedUntil.Load())
		f.Reasons = append(f.Reasons, "ejected")
	}
	if s.weight(now, snap.warmup) < 1 {
		f.Reasons = append(f.Reasons, "warming up")
	}
	if s.remote {
		f.Reasons = append(f.Reasons, "other region")
	}
	if r := s.loadReport.Load(); r != nil {
		f.Load = r.load
		f.RateLimitPerS = r.rateLimitPerS
		f.LoadAge = now.Sub(r.receivedAt)
	}
	return f
}

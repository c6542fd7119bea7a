package balance

import (
	"sync/atomic"
	"time"
)

const (
	// failuresBeforeEjection is the number of consecutive failures that eject an
	// endpoint.
	failuresBeforeEjection = 5
	// failuresAfterEjection is that number for an endpoint that hasn't succeeded since
	// its last ejection.
	failuresAfterEjection = 1
	// minErrorSamples is the number of answers before the error rate is considered.
	minErrorSamples = 20
	// minOutlierErrorRate is the error rate above which an endpoint is ejected, if its
	// peers' rate is well below.
	minOutlierErrorRate = 0.3
	// minOutlierFactor is the ratio to the mean error rate of the peers above which an
	// endpoint is an outlier.
	minOutlierFactor = 2
	// panicErrorRate is the mean error rate of an endpoint's peers above which the
	// measurements of the service are not trusted and the endpoint is not ejected.
	panicErrorRate = 0.5
	// baseEjection is the duration of the first ejection; each further one doubles.
	baseEjection = time.Second
	// maxEjection limits the duration of an ejection.
	maxEjection = 30 * time.Second
	// unreachableEjection is how long an unreachable node is ejected.
	unreachableEjection = 500 * time.Millisecond
)

// ejectionState is the ejection state of one endpoint.
type ejectionState struct {
	consecutiveFailures atomic.Int32
	// ejectedUntil is the end of the ejection in Unix nanoseconds; zero if never ejected.
	ejectedUntil atomic.Int64
	// ejections counts consecutive ejections, on which the duration depends.
	ejections atomic.Int32
}

// ejected reports whether the endpoint is ejected at now.
func (o *ejectionState) ejected(now time.Time) bool {
	ejectedUntil := o.ejectedUntil.Load()
	return ejectedUntil != 0 && now.UnixNano() < ejectedUntil
}

// failureThreshold returns the number of consecutive failures that eject the endpoint.
func (o *ejectionState) failureThreshold() int32 {
	if o.ejections.Load() > 0 {
		return failuresAfterEjection
	}
	return failuresBeforeEjection
}

// updateEjection updates the ejection state after an attempt: it ejects a failing
// endpoint and resets the consecutive ejections of one that has recovered.
func (p *pool) updateEjection(now time.Time, snap *snapshot, s *endpointState, outcome Outcome) {
	switch outcome {
	case OutcomeSuccess:
		s.ejectionState.consecutiveFailures.Store(0)
		if s.errorRate.get() < minOutlierErrorRate/minOutlierFactor {
			s.ejectionState.ejections.Store(0)
		}
	case OutcomeUnreachable:
		p.eject(now, snap, s, unreachableEjection)
	case OutcomeFailure:
		if s.ejectionState.consecutiveFailures.Add(1) >= s.ejectionState.failureThreshold() || isErrorOutlier(snap, s) {
			p.eject(now, snap, s, ejectionDuration(s.ejectionState.ejections.Load()))
		}
	}
}

// isErrorOutlier reports whether the error rate of s is far above the mean of its
// peers.
func isErrorOutlier(snap *snapshot, s *endpointState) bool {
	if s.errorRate.count.Load() < minErrorSamples {
		return false
	}
	rate := s.errorRate.get()
	return rate > minOutlierErrorRate && rate > minOutlierFactor*peerErrorRate(snap, s)
}

// peerErrorRate returns the mean error rate of the other endpoints, or 1 if there are
// none.
func peerErrorRate(snap *snapshot, self *endpointState) float64 {
	sum, n := 0.0, 0
	for _, s := range snap.endpoints {
		if s != self {
			sum += s.errorRate.get()
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// ejectionDuration returns the duration after that many consecutive ejections, each of
// which doubles it up to maxEjection.
func ejectionDuration(ejections int32) time.Duration {
	duration := baseEjection << min(ejections, 5)
	return min(duration, maxEjection)
}

// eject ejects s for the duration, unless too many endpoints are ejected already or
// its peers have a high error rate as well.
func (p *pool) eject(now time.Time, snap *snapshot, s *endpointState, duration time.Duration) {
	p.ejectionMu.Lock()
	defer p.ejectionMu.Unlock()
	if s.ejectionState.ejected(now) {
		return
	}
	if peerErrorRate(snap, s) > panicErrorRate || !mayEject(now, snap) {
		return
	}
	ejectedUntil := now.Add(duration)
	s.ejectionState.ejectedUntil.Store(ejectedUntil.UnixNano())
	s.ejectionState.ejections.Add(1)
	s.ejectionState.consecutiveFailures.Store(0)
	s.errorRate.reset()
	s.warmupStart.Store(ejectedUntil.UnixNano())
	p.ejections.Add(1)
}

// mayEject reports whether the policy allows one more ejection. Of several endpoints,
// one may always be ejected.
func mayEject(now time.Time, snap *snapshot) bool {
	ejected := 0
	for _, s := range snap.endpoints {
		if s.ejectionState.ejected(now) {
			ejected++
		}
	}
	limit := len(snap.endpoints) * snap.maxEjectedPercent / 100
	if len(snap.endpoints) > 1 {
		limit = max(limit, 1)
	}
	return ejected < limit
}

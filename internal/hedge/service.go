// Package hedge decides when a second attempt of a slow idempotent request is sent to
// another server. It does no I/O and is given the time.
package hedge

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretfield/egretfield/internal/balance"
)

// Reason is the reason why a slow request gets no hedged attempt.
type Reason int

// Reasons; None means that the attempt may be sent.
const (
	None Reason = iota
	// Stopping: the node stops.
	Stopping
	// Suspect: an equal request may have crashed a backend server.
	Suspect
	// TimeLeft: less time than the usual latency is left.
	TimeLeft
	// Refusals: a gate refused a request of the service lately because of load.
	Refusals
	// Limit: the limit of hedged attempts is reached.
	Limit
	// NoOffer: no gate of the own region would start the request at once.
	NoOffer
	// RetryBudget: the retry budget is exhausted.
	RetryBudget
	// ConfigChanged: a new configuration came into force since the first attempt.
	ConfigChanged
	// Nested: the request may be a call that a server makes for a hedged attempt.
	Nested
	// ReasonCount is the number of reasons.
	ReasonCount
)

var reasonNames = [ReasonCount]string{"none", "stopping", "suspect", "time_left", "refusals", "limit", "no_offer", "retry_budget", "config_changed", "nested"}

// String returns the name used in metrics.
func (r Reason) String() string { return reasonNames[r] }

const (
	// refusalQuietTime is the time after a refusal because of load during which no hedged
	// attempts are sent. An overload that lasts causes refusals at every entry that sends
	// at least one request in this time.
	refusalQuietTime = 2 * time.Second
	// maxRoutes limits the routes with an estimator of their own; the others share one.
	maxRoutes = 256
)

// Service is the state of one service at one entry. It is safe for concurrent use.
type Service struct {
	Limiter Limiter
	price   price
	percent atomic.Uint32
	// refusedAt is the time of the last refusal in Unix nanoseconds.
	refusedAt atomic.Int64

	mu     sync.RWMutex
	routes map[string]*Estimator
	others Estimator
}

// SetLimits sets the limit of hedged attempts; zero percent disables them.
func (s *Service) SetLimits(percent uint32, fleetSlack float64, entries int) {
	s.percent.Store(percent)
	s.Limiter.SetLimits(percent, fleetSlack, entries)
}

// Enabled reports whether hedged attempts are configured.
func (s *Service) Enabled() bool { return s.percent.Load() > 0 }

// RecordRequest counts a request towards the limit.
func (s *Service) RecordRequest() {
	if s.Enabled() {
		s.Limiter.RecordRequest()
		s.price.add(-priceStep * float64(s.percent.Load()) / 100)
	}
}

// Take reports whether the limit allows a hedged attempt, and counts it if so.
func (s *Service) Take() bool {
	s.price.add(priceStep)
	return s.Limiter.Take()
}

// RecordNoOffer records that no gate offered to start a hedged attempt at once.
func (s *Service) RecordNoOffer() { s.price.add(priceStep / 2) }

// RecordRefusal records that a gate refused a request because of load.
func (s *Service) RecordRefusal(now time.Time) { s.refusedAt.Store(now.UnixNano()) }

// Route returns the estimator of a route.
func (s *Service) Route(name string) *Estimator {
	s.mu.RLock()
	e := s.routes[name]
	s.mu.RUnlock()
	if e != nil {
		return e
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.routes[name]; e != nil {
		return e
	}
	if len(s.routes) >= maxRoutes {
		return &s.others
	}
	if s.routes == nil {
		s.routes = make(map[string]*Estimator)
	}
	e = &Estimator{}
	s.routes[name] = e
	return e
}

// Situation describes a request whose answer is late.
type Situation struct {
	Now, Deadline time.Time
	// Median is the usual latency of the request's route.
	Median            time.Duration
	Stopping, Suspect bool
	// Nested reports whether the request may be a call for a hedged attempt.
	Nested bool
}

// Check returns the reason why no hedged attempt is sent, or None. It is called before
// gates are asked for offers and takes nothing from the limit.
func (s *Service) Check(situation Situation) Reason {
	switch {
	case situation.Stopping:
		return Stopping
	case situation.Suspect:
		return Suspect
	case situation.Nested:
		return Nested
	case situation.Deadline.Sub(situation.Now) < situation.Median:
		return TimeLeft
	case situation.Now.UnixNano()-s.refusedAt.Load() < int64(refusalQuietTime):
		return Refusals
	}
	if !s.Limiter.Available() {
		s.price.add(priceStep / 2)
		return Limit
	}
	return None
}

// Choose returns the offer with the earliest expected answer among those of the entry's
// region that would start the request at once, or nil. The endpoint of the first attempt
// is left out.
func Choose(offers []balance.EndpointOffer, region, firstInstance string, untilDeadline time.Duration) *balance.EndpointOffer {
	var best *balance.EndpointOffer
	for i := range offers {
		o := &offers[i]
		if o.Refused || !o.IsSufficient() || o.Endpoint.Region != region || o.Endpoint.Instance == firstInstance ||
			o.ExpectedLatency() > untilDeadline {
			continue
		}
		if best == nil || o.ExpectedLatency() < best.ExpectedLatency() {
			best = o
		}
	}
	return best
}

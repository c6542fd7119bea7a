package balance

import "time"

// Inspection is a balancer that chooses like another one and records nothing: no picks, no
// bytes, no round trips. It doesn't explore, and its Done has no effect.
type Inspection interface {
	Balancer
	Explainer
	// Reason returns why the offer of the endpoint best is preferred to that of another one.
	Reason(offers []EndpointOffer, other, best *Endpoint, untilTarget time.Duration) string
}

// Inspector is implemented by balancers that can tell what they would choose.
type Inspector interface {
	// Inspect returns an inspection of the balancer's present state.
	Inspect() Inspection
}

// Reasons why an offer isn't taken.
const (
	ReasonRefuses      = "refuses"
	ReasonPromised     = "the chosen one has promised capacity to the request"
	ReasonNearIsEarly  = "in another data centre, and a server of the own one answers early enough"
	ReasonStartsLater  = "would start later than the chosen one"
	ReasonAnswersLater = "would answer later than the chosen one"
	ReasonFailsMore    = "fails more often than the chosen one"
	ReasonNoBetter     = "no better than the chosen one"
)

// Inspect implements Inspector.
func (p *pool) Inspect() Inspection {
	c := &pool{
		options:    p.options,
		chooser:    p.chooser,
		started:    p.started,
		spillover:  p.spillover,
		usesOffers: p.usesOffers,
		inspects:   true,
	}
	switch chooser := p.chooser.(type) {
	case *roundRobin:
		copied := &roundRobin{}
		copied.next.Store(chooser.next.Load())
		c.chooser = copied
	case *twoChoices:
		copied := &twoChoices{rand: chooser.rand, less: chooser.less}
		copied.next.Store(chooser.next.Load())
		c.chooser = copied
	case *probePool:
		c.chooser = &probePool{rand: chooser.rand, inspects: true}
	}
	c.current.Store(p.current.Load())
	c.remoteRoundTrip.Store(p.remoteRoundTrip.Load())
	return c
}

// Reason implements Inspection.
func (p *pool) Reason(offers []EndpointOffer, otherEndpoint, bestEndpoint *Endpoint, untilTarget time.Duration) string {
	other, best := findOffer(offers, otherEndpoint), findOffer(offers, bestEndpoint)
	if other == nil || best == nil {
		return ReasonNoBetter
	}
	longest := longestServiceTime(offers)
	early, near := p.earlyAnswers(offers, longest, untilTarget)
	switch {
	case other.Refused:
		return ReasonRefuses
	case best.Promised:
		return ReasonPromised
	case near && !p.isNear(other, early) && p.isNear(best, early):
		return ReasonNearIsEarly
	case other.RoundTrip+other.Wait > best.RoundTrip+best.Wait:
		return ReasonStartsLater
	case other.ExpectedLatency() > best.ExpectedLatency():
		return ReasonAnswersLater
	case other.ErrorRate > best.ErrorRate:
		return ReasonFailsMore
	}
	return ReasonNoBetter
}

// findOffer returns the endpoint's offer, or nil.
func findOffer(offers []EndpointOffer, endpoint *Endpoint) *EndpointOffer {
	for i := range offers {
		if offers[i].Endpoint == endpoint {
			return &offers[i]
		}
	}
	return nil
}

// canAfford reports whether the byte budget has room for a request, without taking from
// it.
func (s *spillover) canAfford(bodyBytes int64) bool {
	budget := s.budget.Load()
	cost := requestCost(budget, bodyBytes)
	return cost > 0 && budget.TokensAt(timeNow()) >= float64(cost)
}

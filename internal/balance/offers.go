package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// otherDataCentrePenaltyPercent is how much faster an endpoint in another data
	// centre must be than one in the own data centre, in percent of the request's
	// service time: traffic between data centres costs money, and equal servers differ
	// by a few percent at any moment.
	otherDataCentrePenaltyPercent = 10
	// earlyTargetPercent is the share of the time until the target within which an early
	// answer is expected, so that callers gain nothing from a faster server. The rest
	// covers the spread of service times around the mean.
	earlyTargetPercent = 50
	// exploreInterval: one request in so many goes to a random server that is expected to
	// answer early. A server that looked slow, as when it was cold, would otherwise get no
	// request that shows its present speed.
	exploreInterval = 10
	// roundTripWeight is the weight of the newest sample in the mean round-trip time of
	// an offer question to another region.
	roundTripWeight = 0.1
)

// Placer selects endpoints by offers that gates make for the request at hand. Where
// the speed of servers changes within milliseconds, older load reports are wrong.
type Placer interface {
	// Local returns up to limit endpoints of the own region to ask for offers, those of
	// the own data centre first; none if the own region isn't allowed.
	Local(info PickInfo, limit int) []*Endpoint
	// Remote returns up to limit endpoints of other allowed regions to ask for offers.
	Remote(info PickInfo, limit int) []*Endpoint
	// Home returns the endpoint of the own region whose gate promises capacity to the return
	// of a refused request with that fingerprint. All entries of a region with the same
	// endpoints return the same one. It returns nil if no promises are made, or if that
	// endpoint is ejected here.
	Home(info PickInfo, fingerprint uint64) *Endpoint
	// RemoteRoundTrip returns the mean round-trip time of an offer question to another
	// region; zero if unknown.
	RemoteRoundTrip() time.Duration
	// Best returns the offer with the lowest expected cost, or nil if all offers are
	// refusals. The cost of a server's failures grows with the time until the
	// request's target. An offer that keeps a promise goes before all others. For most
	// requests, offers of the own data centre that are expected to answer at once and well
	// before the target go before the rest.
	Best(offers []EndpointOffer, untilTarget time.Duration) *EndpointOffer
	// Take picks this endpoint; as after Pick, one Done must follow.
	Take(endpoint *Endpoint, info PickInfo) (*Endpoint, error)
}

// EndpointOffer is an offer of an endpoint's gate.
type EndpointOffer struct {
	Endpoint *Endpoint
	// Refused reports whether the gate would refuse the request.
	Refused bool
	// Wait is the expected time in the gate's queue and ServiceTime the expected time at
	// the backend server, slowdown included; zero if unknown.
	Wait, ServiceTime time.Duration
	// ErrorRate is the share of failures among the backend server's latest answers.
	ErrorRate float64
	// RoundTrip is the round-trip time from the question to the offer.
	RoundTrip time.Duration
	// AtOnce reports whether the request would start at once, at the server's normal
	// speed.
	AtOnce bool
	// Promised reports whether the gate has promised capacity to the request for now.
	Promised bool
	// ReturnAfter is the wait after which a refused request should return if the gate can
	// promise it nothing in time; zero: it can, or promises nothing.
	ReturnAfter time.Duration
}

// maxReliableErrorRate is the highest error rate at which a server is considered
// reliable.
const maxReliableErrorRate = 0.1

// IsSufficient reports whether no further offers are needed.
func (o *EndpointOffer) IsSufficient() bool { return o.AtOnce && o.ErrorRate <= maxReliableErrorRate }

// ExpectedLatency returns the expected time from now to the endpoint's answer.
func (o *EndpointOffer) ExpectedLatency() time.Duration { return o.RoundTrip + o.Wait + o.ServiceTime }

// Placer implements Balancer.
func (p *pool) Placer() Placer {
	if p.usesOffers {
		return p
	}
	return nil
}

// Local implements Placer.
func (p *pool) Local(info PickInfo, limit int) []*Endpoint {
	return p.shortlist(p.current.Load().local, info, limit)
}

// Remote implements Placer.
func (p *pool) Remote(info PickInfo, limit int) []*Endpoint {
	return p.shortlist(p.current.Load().remote, info, limit)
}

// Home implements Placer. The choice disregards what only this entry knows of the endpoints,
// since the request may return through another one.
func (p *pool) Home(info PickInfo, fingerprint uint64) *Endpoint {
	snap := p.current.Load()
	if !snap.promises {
		return nil
	}
	var home *endpointState
	var highest uint64
	for _, s := range snap.local {
		if !info.Regions.Allows(s.endpoint.Region) {
			continue
		}
		if weight := homeWeight(s.endpoint.Instance, fingerprint); home == nil || weight > highest {
			home, highest = s, weight
		}
	}
	if home == nil || home.ejectionState.ejected(timeNow()) {
		return nil
	}
	return home.endpoint
}

// homeWeight returns the weight of an endpoint for a fingerprint in rendezvous hashing, so
// that an endpoint that joins or leaves changes the home of its own share only.
func homeWeight(instance string, fingerprint uint64) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(fingerprint)
	_, _ = digest.WriteString(instance)
	return digest.Sum64()
}

// untriedPosition is the position in a shortlist of an endpoint that this entry has not
// sent anything yet. It is among those asked first, behind one that is known.
const untriedPosition = 1

// shortlist returns up to limit eligible endpoints in random order, those of the own
// data centre first. One that this entry has not sent anything yet, such as a server that
// has just joined, is moved up: otherwise idle servers nearby would keep it from being
// asked, and it would add no capacity.
func (p *pool) shortlist(endpoints []*endpointState, info PickInfo, limit int) []*Endpoint {
	candidates := newCandidates(timeNow(), endpoints, info)
	var ownDataCentre, otherDataCentres []*Endpoint
	for _, s := range endpoints {
		switch {
		case !candidates.eligible(s):
		case s.endpoint.DataCentre == p.options.DataCentre:
			ownDataCentre = append(ownDataCentre, s.endpoint)
		default:
			otherDataCentres = append(otherDataCentres, s.endpoint)
		}
	}
	p.shuffle(ownDataCentre)
	p.shuffle(otherDataCentres)
	isMoved := p.moveUpUntried(ownDataCentre)
	list := interleave(ownDataCentre, otherDataCentres)
	if !isMoved {
		p.moveUpUntried(list)
	}
	return list[:min(limit, len(list))]
}

// ownDataCentreHead is the number of endpoints of the own data centre at the head of a
// shortlist: as many as the entry asks before all others.
const ownDataCentreHead = 2

// interleave returns ownDataCentreHead endpoints of the own data centre, and then by turns those of
// other data centres and of the own one. When the own data centre is short of capacity, most
// of its servers have queues, and only those of others have room.
func interleave(own, others []*Endpoint) []*Endpoint {
	list := make([]*Endpoint, 0, len(own)+len(others))
	list = append(list, own[:min(ownDataCentreHead, len(own))]...)
	own = own[len(list):]
	for len(own) > 0 && len(others) > 0 {
		list = append(list, others[0], own[0])
		own, others = own[1:], others[1:]
	}
	return append(append(list, others...), own...)
}

// moveUpUntried moves the first endpoint of list without a pick to untriedPosition,
// unless it stands before that. It reports whether there was one.
func (p *pool) moveUpUntried(list []*Endpoint) bool {
	for i, endpoint := range list {
		if !p.isUntried(endpoint) {
			continue
		}
		for ; i > untriedPosition; i-- {
			list[i], list[i-1] = list[i-1], list[i]
		}
		return true
	}
	return false
}

// isUntried reports whether this entry has not picked the endpoint yet.
func (p *pool) isUntried(endpoint *Endpoint) bool {
	s := p.current.Load().byKey[endpointKey{endpoint.Instance, endpoint.Incarnation}]
	return s != nil && s.counts.picks.Load() == 0
}

func (p *pool) shuffle(list []*Endpoint) {
	for i := len(list) - 1; i > 0; i-- {
		j := int(p.options.Rand() % uint64(i+1))
		list[i], list[j] = list[j], list[i]
	}
}

// RemoteRoundTrip implements Placer.
func (p *pool) RemoteRoundTrip() time.Duration { return time.Duration(p.remoteRoundTrip.Load()) }

// Best implements Placer.
func (p *pool) Best(offers []EndpointOffer, untilTarget time.Duration) *EndpointOffer {
	p.observeRoundTrips(offers)
	for i := range offers {
		if o := &offers[i]; o.Promised && !o.Refused && o.ErrorRate <= maxReliableErrorRate {
			return o
		}
	}
	longest := longestServiceTime(offers)
	early, near := p.earlyAnswers(offers, longest, untilTarget)
	if len(early) > 0 && !p.inspects && p.options.Rand()%exploreInterval == 0 {
		return early[p.options.Rand()%uint64(len(early))]
	}
	var best *EndpointOffer
	var least time.Duration
	for i := range offers {
		o := &offers[i]
		if o.Refused || (near && !p.isNear(o, early)) {
			continue
		}
		if cost := p.cost(o, longest, untilTarget); best == nil || cost < least {
			best, least = o, cost
		}
	}
	return best
}

// earlyAnswers returns the offers of the own region that would start at once and answer
// well before the target, and whether one of them is of the own data centre: callers gain
// nothing from a faster server elsewhere then, but traffic between data centres costs money.
func (p *pool) earlyAnswers(offers []EndpointOffer, longest, untilTarget time.Duration) (early []*EndpointOffer, near bool) {
	for i := range offers {
		o := &offers[i]
		if o.Refused || !o.IsSufficient() || o.Endpoint.Region != p.options.Region ||
			o.RoundTrip+o.Wait+p.effectiveServiceTime(o, longest) > untilTarget*earlyTargetPercent/100 {
			continue
		}
		early = append(early, o)
		near = near || o.Endpoint.DataCentre == p.options.DataCentre
	}
	return early, near
}

// isNear reports whether an offer is one of the early ones and of the own data centre.
func (p *pool) isNear(o *EndpointOffer, early []*EndpointOffer) bool {
	return o.Endpoint.DataCentre == p.options.DataCentre && slices.Contains(early, o)
}

func (p *pool) observeRoundTrips(offers []EndpointOffer) {
	for _, o := range offers {
		if o.Endpoint.Region == p.options.Region {
			continue
		}
		mean := p.remoteRoundTrip.Load()
		if mean == 0 {
			mean = int64(o.RoundTrip)
		}
		p.remoteRoundTrip.Store(mean + int64(roundTripWeight*float64(int64(o.RoundTrip)-mean)))
	}
}

// longestServiceTime returns the longest service time in the offers; zero if all are
// unknown.
func longestServiceTime(offers []EndpointOffer) time.Duration {
	longest := time.Duration(0)
	for _, o := range offers {
		longest = max(longest, o.ServiceTime)
	}
	return longest
}

// effectiveServiceTime returns the service time that an offer is judged by: a server with
// unknown service time is assumed to be as slow as the slowest, and the service time of
// one that is warming up is divided by its weight.
func (p *pool) effectiveServiceTime(o *EndpointOffer, longest time.Duration) time.Duration {
	serviceTime := o.ServiceTime
	if serviceTime == 0 {
		serviceTime = longest
	}
	snap := p.current.Load()
	if s := snap.byKey[endpointKey{o.Endpoint.Instance, o.Endpoint.Incarnation}]; s != nil {
		serviceTime = time.Duration(float64(serviceTime) / s.weight(timeNow(), snap.warmup))
	}
	return serviceTime
}

// cost returns the expected time to the answer plus penalties: a failure costs the caller
// the time until the target, and another data centre costs otherDataCentrePenaltyPercent
// of the service time.
func (p *pool) cost(o *EndpointOffer, longest, untilTarget time.Duration) time.Duration {
	serviceTime := p.effectiveServiceTime(o, longest)
	cost := o.RoundTrip + o.Wait + serviceTime + time.Duration(o.ErrorRate*float64(max(untilTarget, 0)))
	if o.Endpoint.DataCentre != p.options.DataCentre {
		cost += serviceTime * otherDataCentrePenaltyPercent / 100
	}
	return cost
}

// Take implements Placer.
func (p *pool) Take(endpoint *Endpoint, info PickInfo) (*Endpoint, error) {
	snap := p.current.Load()
	s := snap.byKey[endpointKey{endpoint.Instance, endpoint.Incarnation}]
	if s == nil {
		return nil, errkind.New(pb.ErrorKind_ERROR_KIND_NO_SERVER, "the backend server is no longer in the fleet")
	}
	if !info.Regions.Allows(s.endpoint.Region) {
		return nil, errkind.New(pb.ErrorKind_ERROR_KIND_NO_SERVER, "region %q isn't allowed for the request", s.endpoint.Region)
	}
	if s.remote && !p.chargeRemote(info) {
		return nil, errkind.New(pb.ErrorKind_ERROR_KIND_REGION_BUDGET, "the byte budget for other regions is exhausted")
	}
	return p.take(s), nil
}

// ShortestRefusalWait returns the shortest wait given with a refusal, or zero if none
// of the refusals was because of load. It returns false if there was no refusal.
func ShortestRefusalWait(offers []EndpointOffer) (wait time.Duration, refused bool) {
	for _, o := range offers {
		refused = refused || o.Refused
		if o.Refused && o.Wait > 0 && (wait == 0 || o.Wait < wait) {
			wait = o.Wait
		}
	}
	return wait, refused
}

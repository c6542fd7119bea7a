package balance

import (
	"time"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// elsewhereShare is the part of a request's work by which an endpoint in another
	// data centre must be faster than one in the own, percent: bytes between data
	// centres are paid for, and equal servers differ by a few percent at any moment.
	elsewhereShare = 10
	// tripWeight is the weight of the newest sample in the mean time of a question
	// to another region.
	tripWeight = 0.1
)

// Placer places requests by the offers of gates. Servers whose speed changes within
// milliseconds make any older report of load wrong.
type Placer interface {
	// Near returns the endpoints of the own region to ask, at most that many, those
	// of the own data centre first.
	Near(info PickInfo, most int) []*Endpoint
	// Far returns endpoints of other regions to ask, at most that many.
	Far(info PickInfo, most int) []*Endpoint
	// FarTrip is the mean time of a question to another region; zero: unknown.
	FarTrip() time.Duration
	// Best returns the offer that answers the request first; nil: all were refused.
	// The time until the request's target weighs failures of servers.
	Best(offers []Offered, untilTarget time.Duration) *Offered
	// Take counts the choice of an endpoint, like Pick.
	Take(endpoint *Endpoint, info PickInfo) (*Endpoint, error)
}

// Offered is the offer of an endpoint's gate.
type Offered struct {
	Endpoint *Endpoint
	// Refused: the gate would turn the request away.
	Refused bool
	// Wait is the time in the gate's queue and Work that at the backend server;
	// zero: unknown.
	Wait, Work time.Duration
	// Errors is the share of the backend server's latest answers that were failures.
	Errors float64
	// Trip is the time from the question to the offer.
	Trip time.Duration
	// AtOnce: the request would begin at once, at the server's usual speed.
	AtOnce bool
}

// reliableErrors is the share of failures up to which a server counts as sound.
const reliableErrors = 0.1

// Suffices says whether there is no need to ask for more offers.
func (o *Offered) Suffices() bool { return o.AtOnce && o.Errors <= reliableErrors }

// Finish is when the endpoint is expected to have answered, from now.
func (o *Offered) Finish() time.Duration { return o.Trip + o.Wait + o.Work }

// Placer implements Balancer.
func (p *pool) Placer() Placer {
	if p.places {
		return p
	}
	return nil
}

// Near implements Placer.
func (p *pool) Near(info PickInfo, most int) []*Endpoint {
	return p.shortlist(p.current.Load().local, info, most)
}

// Far implements Placer.
func (p *pool) Far(info PickInfo, most int) []*Endpoint {
	return p.shortlist(p.current.Load().remote, info, most)
}

// shortlist returns eligible endpoints in random order, those of the own data
// centre first.
func (p *pool) shortlist(slots []*slot, info PickInfo, most int) []*Endpoint {
	from := newCandidates(timeNow(), slots, info.Tried)
	var own, others []*Endpoint
	for _, s := range slots {
		switch {
		case !from.eligible(s):
		case s.endpoint.DataCentre == p.options.DataCentre:
			own = append(own, s.endpoint)
		default:
			others = append(others, s.endpoint)
		}
	}
	p.shuffle(own)
	p.shuffle(others)
	list := append(own, others...)
	return list[:min(most, len(list))]
}

func (p *pool) shuffle(list []*Endpoint) {
	for i := len(list) - 1; i > 0; i-- {
		j := int(p.options.Rand() % uint64(i+1))
		list[i], list[j] = list[j], list[i]
	}
}

// FarTrip implements Placer.
func (p *pool) FarTrip() time.Duration { return time.Duration(p.farTrip.Load()) }

// Best implements Placer.
func (p *pool) Best(offers []Offered, untilTarget time.Duration) *Offered {
	p.learnTrips(offers)
	longest := longestWork(offers)
	var best *Offered
	var least time.Duration
	for i := range offers {
		o := &offers[i]
		if o.Refused {
			continue
		}
		if cost := p.cost(o, longest, untilTarget); best == nil || cost < least {
			best, least = o, cost
		}
	}
	return best
}

func (p *pool) learnTrips(offers []Offered) {
	for _, o := range offers {
		if o.Endpoint.Region == p.options.Region {
			continue
		}
		mean := p.farTrip.Load()
		if mean == 0 {
			mean = int64(o.Trip)
		}
		p.farTrip.Store(mean + int64(tripWeight*float64(int64(o.Trip)-mean)))
	}
}

// longestWork is the longest of the times at backend servers.
func longestWork(offers []Offered) time.Duration {
	longest := time.Duration(0)
	for _, o := range offers {
		longest = max(longest, o.Work)
	}
	return longest
}

// cost is the time until the answer with what weighs against the endpoint: a server
// of which nothing is known is taken for the slowest, one that has just started gets
// its part only, and a failure costs its caller the time until the target.
func (p *pool) cost(o *Offered, longest, untilTarget time.Duration) time.Duration {
	work := o.Work
	if work == 0 {
		work = longest
	}
	snap := p.current.Load()
	if s := snap.byKey[slotKey{o.Endpoint.Instance, o.Endpoint.Incarnation}]; s != nil {
		work = time.Duration(float64(work) / s.weight(timeNow(), snap.warmup))
	}
	cost := o.Trip + o.Wait + work + time.Duration(o.Errors*float64(max(untilTarget, 0)))
	if o.Endpoint.DataCentre != p.options.DataCentre {
		cost += work * elsewhereShare / 100
	}
	return cost
}

// Take implements Placer.
func (p *pool) Take(endpoint *Endpoint, info PickInfo) (*Endpoint, error) {
	snap := p.current.Load()
	s := snap.byKey[slotKey{endpoint.Instance, endpoint.Incarnation}]
	if s == nil {
		return nil, errkind.New(pb.ErrorKind_ERROR_KIND_NO_SERVER, "the backend server left meanwhile")
	}
	if s.remote && !p.spill.charge(info.BodyBytes) {
		return nil, errkind.New(pb.ErrorKind_ERROR_KIND_REGION_BUDGET, "the budget of bytes to other regions is spent")
	}
	return p.take(s), nil
}

// Refusals returns the shortest wait that was offered with a refusal, zero if none of
// them was for load; false: there was no refusal.
func Refusals(offers []Offered) (wait time.Duration, refused bool) {
	for _, o := range offers {
		refused = refused || o.Refused
		if o.Refused && o.Wait > 0 && (wait == 0 || o.Wait < wait) {
			wait = o.Wait
		}
	}
	return wait, refused
}

package entry

import (
	"context"
	"slices"
	"time"

	"github.com/egretfield/egretfield/internal/admission"
	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/offer"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

const (
	// maxOwnRegionGates is the number of gates of the own region that are asked for
	// offers: when a third of all machines are slow at a time, only one in two hundred
	// requests finds all five slow.
	maxOwnRegionGates = 5
	// firstOwnRegionGates is the number of these gates that are asked first. The others
	// are asked only when none of the first would start the request at once, which saves
	// half of the messages. The shortlist begins with as many of the own data centre.
	firstOwnRegionGates = 2
	// maxOtherRegionGates is the number of gates of other regions that are asked.
	maxOtherRegionGates = 4
	// minOtherRegionGainTrips is how much longer than at an idle server the wait of the
	// best offer of the own region must be before other regions are asked, in round
	// trips to another region: one for the question, one for the request and its answer,
	// and one for the traffic between regions, which costs money. The time left until
	// the deadline must be longer as well.
	minOtherRegionGainTrips = 3
)

var (
	// ownRegionWaitLimits suit data centres of one region, a few milliseconds apart, with
	// gates on machines with a fraction of a core.
	ownRegionWaitLimits = offer.WaitLimits{SettleAfter: 8 * time.Millisecond, GiveUpAfter: 30 * time.Millisecond}
	// otherRegionWaitLimits suit regions some tens of milliseconds apart.
	otherRegionWaitLimits = offer.WaitLimits{SettleAfter: 60 * time.Millisecond, GiveUpAfter: 120 * time.Millisecond}
)

// Offers asks gates how soon they would answer a request.
type Offers interface {
	// Ask returns the gates' replies in the order of the control addresses.
	Ask(ctx context.Context, addresses []string, question *pb.OfferQuestion, limits offer.WaitLimits) []offer.Reply
}

// chooseEndpoint returns the endpoint of the next attempt. Without any offer the
// balancer decides from its own load data.
func (x *exchange) chooseEndpoint(ctx context.Context) (*balance.Endpoint, error) {
	info := x.pickInfo()
	x.placedByOffer = false
	placer := x.balancer.Placer()
	if placer == nil || x.handler.options.Offers == nil {
		return x.balancer.Pick(info)
	}
	if endpoint := x.takeWithdrawnTo(placer, info); endpoint != nil {
		return endpoint, nil
	}
	x.home = placer.Home(info, x.call.Fingerprint)
	local := placer.Local(info, maxOwnRegionGates)
	firstCount := min(firstOwnRegionGates, len(local))
	offers := x.askGates(ctx, local[:firstCount], ownRegionWaitLimits)
	best := placer.Best(offers, time.Until(x.call.Target))
	if best == nil || !best.IsSufficient() {
		offers = append(offers, x.askGates(ctx, x.withHome(local, firstCount), ownRegionWaitLimits)...)
		x.returnAfter = returnAfterOf(offers, x.home)
		best = placer.Best(offers, time.Until(x.call.Target))
	}
	if !info.Regions.Allows(x.handler.options.Region) || x.shouldAskOtherRegions(placer, best) {
		offers = append(offers, x.askGates(ctx, placer.Remote(info, maxOtherRegionGates), otherRegionWaitLimits)...)
		best = placer.Best(offers, time.Until(x.call.Target))
	}
	if best != nil {
		endpoint, err := placer.Take(best.Endpoint, info)
		if err != nil {
			// The endpoint was removed in the meantime, or the byte budget for other
			// regions is exhausted.
			x.inspection.recordNotTaken(best.Endpoint)
			return x.balancer.Pick(info)
		}
		x.offer, x.placedByOffer = best, true
		return endpoint, nil
	}
	if wait, refused := balance.ShortestRefusalWait(offers); refused {
		if x.inspection == nil {
			x.service.state.hedging.RecordRefusal(time.Now())
		}
		x.retryAfter = admission.RetryAfter(wait)
		return nil, errkind.New(pb.ErrorKind_ERROR_KIND_OVERLOADED, "every gate that was asked would refuse")
	}
	return x.balancer.Pick(info)
}

// withHome returns the endpoints to ask after the first ones, among them the home of the
// request, unless that was asked or tried already. It doesn't change their number, unless
// there would be none.
func (x *exchange) withHome(list []*balance.Endpoint, firstCount int) []*balance.Endpoint {
	if x.home == nil || slices.Contains(list, x.home) || slices.Contains(x.tried, x.home.Instance) {
		return list[firstCount:]
	}
	return append(slices.Clone(list[firstCount:max(len(list)-1, firstCount)]), x.home)
}

// returnAfterOf returns the wait that the home gate gave with its refusal because it can
// promise nothing in time; zero: it can, or wasn't asked.
func returnAfterOf(offers []balance.EndpointOffer, home *balance.Endpoint) time.Duration {
	for i := range offers {
		if offers[i].Endpoint == home {
			return offers[i].ReturnAfter
		}
	}
	return 0
}

// bookReturn sets the wait in a refusal because of load to the time at which the request's
// home gate promises it capacity. Without a reply the wait stays as it is.
func (x *exchange) bookReturn(ctx context.Context, refusal *wire.Answer) {
	home := x.home
	if home == nil || refusal.ReachedServer {
		return
	}
	if x.returnAfter > 0 {
		refusal.RetryAfter = x.returnAfter
		return
	}
	if x.inspection != nil {
		return
	}
	question := x.offerQuestion()
	question.Book = true
	reply := x.handler.options.Offers.Ask(ctx, []string{home.ControlAddress}, question, ownRegionWaitLimits)[0]
	if reply.Offer.GetIncarnation() == home.Incarnation && reply.Offer.GetReturnAfterUs() > 0 {
		refusal.RetryAfter = time.Duration(reply.Offer.GetReturnAfterUs()) * time.Microsecond
	}
}

// shouldAskOtherRegions reports whether gates of other regions are asked: the own region
// would refuse or didn't reply, or it would answer after the target and so late that a
// server in another region may be faster. The deadline must leave enough time for it.
func (x *exchange) shouldAskOtherRegions(placer balance.Placer, best *balance.EndpointOffer) bool {
	roundTrip := placer.RemoteRoundTrip()
	if time.Until(x.call.Deadline) <= minOtherRegionGainTrips*roundTrip {
		return false
	}
	if best == nil {
		return true
	}
	late := best.ExpectedLatency() > time.Until(x.call.Target)
	return late && best.Wait > minOtherRegionGainTrips*roundTrip
}

// askGates asks the gates of the endpoints for offers. It ignores offers of another
// incarnation of an endpoint.
func (x *exchange) askGates(ctx context.Context, endpoints []*balance.Endpoint, limits offer.WaitLimits) []balance.EndpointOffer {
	return x.ask(ctx, endpoints, x.offerQuestion(), limits)
}

// askExtra asks gates of the own region for a request whose first attempt was sent already:
// for a hedged attempt or a withdrawal. Close to the capacity these questions would otherwise
// outnumber those for first attempts.
func (x *exchange) askExtra(ctx context.Context, endpoints []*balance.Endpoint) []balance.EndpointOffer {
	question := x.offerQuestion()
	question.Extra = true
	return x.ask(ctx, endpoints, question, ownRegionWaitLimits)
}

func (x *exchange) ask(ctx context.Context, endpoints []*balance.Endpoint, question *pb.OfferQuestion, limits offer.WaitLimits) []balance.EndpointOffer {
	if len(endpoints) == 0 {
		return nil
	}
	addresses := make([]string, len(endpoints))
	for i, endpoint := range endpoints {
		addresses[i] = endpoint.ControlAddress
	}
	replies := x.handler.options.Offers.Ask(ctx, addresses, question, limits)
	offers := make([]balance.EndpointOffer, 0, len(replies))
	for i, reply := range replies {
		x.inspection.recordReply(endpoints[i], reply)
		if isOfferOf(reply, endpoints[i]) {
			offers = append(offers, newEndpointOffer(endpoints[i], reply))
		}
	}
	return offers
}

// isOfferOf reports whether a reply has an offer of that incarnation of an endpoint.
func isOfferOf(reply offer.Reply, endpoint *balance.Endpoint) bool {
	return reply.Offer != nil && reply.Offer.GetIncarnation() == endpoint.Incarnation
}

func newEndpointOffer(endpoint *balance.Endpoint, reply offer.Reply) balance.EndpointOffer {
	return balance.EndpointOffer{
		Endpoint:    endpoint,
		Refused:     reply.Offer.GetRefused(),
		Wait:        time.Duration(reply.Offer.GetWaitUs()) * time.Microsecond,
		ServiceTime: time.Duration(reply.Offer.GetWorkUs()) * time.Microsecond,
		ErrorRate:   float64(reply.Offer.GetErrorsPermille()) / 1000,
		RoundTrip:   reply.RoundTrip,
		AtOnce:      reply.Offer.GetAtOnce(),
		Promised:    reply.Offer.GetPromised(),
		ReturnAfter: time.Duration(reply.Offer.GetReturnAfterUs()) * time.Microsecond,
	}
}

// offerQuestion describes the request to gates.
func (x *exchange) offerQuestion() *pb.OfferQuestion {
	question := &pb.OfferQuestion{
		Service:      x.call.Service,
		Route:        x.call.Route,
		Class:        x.call.Class,
		Organisation: x.call.Organisation,
		TargetUs:     microseconds(time.Until(x.call.Target)),
		DeadlineUs:   microseconds(time.Until(x.call.Deadline)),
		Inspect:      x.inspection != nil,
	}
	if x.home != nil {
		question.Fingerprint = x.call.Fingerprint
	}
	return question
}

// microseconds returns whole microseconds, or zero for a negative duration.
func microseconds(d time.Duration) uint32 { return uint32(max(d.Microseconds(), 0)) }

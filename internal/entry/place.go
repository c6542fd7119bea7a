package entry

import (
	"context"
	"time"

	"github.com/egretfield/egretfield/internal/admission"
	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/offer"
	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// nearQuestions is the number of gates of the own region that are asked: with
	// a third of all machines slow at a time, one in two hundred requests finds no
	// other among five.
	nearQuestions = 5
	// firstQuestions is the number that is asked first. The others are asked only
	// when none of these would begin at once: that saves half of the messages.
	firstQuestions = 2
	// farQuestions is the number of gates of other regions that are asked.
	farQuestions = 4
	// farGain is how many trips to another region the best offer of the own one must
	// be worse than an idle server for others to be asked: the question, the request
	// and its answer, and the bytes between regions, which are paid for.
	farGain = 3
)

var (
	// nearPatience suits data centres of one region, a few milliseconds apart, with
	// gates on machines of a fraction of a core.
	nearPatience = offer.Patience{Some: 8 * time.Millisecond, Any: 30 * time.Millisecond}
	// farPatience suits regions some tens of milliseconds apart.
	farPatience = offer.Patience{Some: 60 * time.Millisecond, Any: 120 * time.Millisecond}
)

// Offers asks gates how soon they would answer a request.
type Offers interface {
	// Ask returns the replies of gates in the order of their control addresses.
	Ask(ctx context.Context, addresses []string, question *pb.OfferQuestion, patience offer.Patience) []offer.Reply
}

// choose returns the endpoint of the next attempt. Without any offer the balancer
// decides from what it knows.
func (x *exchange) choose(ctx context.Context) (*balance.Endpoint, error) {
	info := balance.PickInfo{Class: x.call.Class, Tried: x.tried, BodyBytes: x.call.BodyBytes}
	x.placed = false
	placer := x.balancer.Placer()
	if placer == nil || x.handler.options.Offers == nil {
		return x.balancer.Pick(info)
	}
	near := placer.Near(info, nearQuestions)
	few := min(firstQuestions, len(near))
	offers := x.ask(ctx, near[:few], nearPatience)
	best := placer.Best(offers, time.Until(x.call.Target))
	if best == nil || !best.Suffices() {
		offers = append(offers, x.ask(ctx, near[few:], nearPatience)...)
		best = placer.Best(offers, time.Until(x.call.Target))
	}
	if x.looksFar(placer, best) {
		offers = append(offers, x.ask(ctx, placer.Far(info, farQuestions), farPatience)...)
		best = placer.Best(offers, time.Until(x.call.Target))
	}
	if best != nil {
		endpoint, err := placer.Take(best.Endpoint, info)
		if err != nil {
			// It left meanwhile, or the budget of bytes to its region is spent.
			return x.balancer.Pick(info)
		}
		x.offered, x.placed = best, true
		return endpoint, nil
	}
	if wait, refused := balance.Refusals(offers); refused {
		x.backAfter = admission.RetryAfter(wait)
		return nil, errkind.New(pb.ErrorKind_ERROR_KIND_OVERLOADED, "every gate that was asked would refuse")
	}
	return x.balancer.Pick(info)
}

// looksFar says whether gates of other regions are asked: the own region would
// refuse, or answer so late that a server of another may be faster.
func (x *exchange) looksFar(placer balance.Placer, best *balance.Offered) bool {
	trip := placer.FarTrip()
	if time.Until(x.call.Deadline) <= farGain*trip {
		return false
	}
	if best == nil {
		return true
	}
	late := best.Finish() > time.Until(x.call.Target)
	return late && best.Wait > farGain*trip
}

// ask puts the question of the request to gates.
func (x *exchange) ask(ctx context.Context, endpoints []*balance.Endpoint, patience offer.Patience) []balance.Offered {
	if len(endpoints) == 0 {
		return nil
	}
	addresses := make([]string, len(endpoints))
	for i, endpoint := range endpoints {
		addresses[i] = endpoint.ControlAddress
	}
	replies := x.handler.options.Offers.Ask(ctx, addresses, x.question(), patience)
	offers := make([]balance.Offered, 0, len(replies))
	for i, reply := range replies {
		if reply.Offer == nil || reply.Offer.GetIncarnation() != endpoints[i].Incarnation {
			continue
		}
		offers = append(offers, balance.Offered{
			Endpoint: endpoints[i],
			Refused:  reply.Offer.GetRefused(),
			Wait:     time.Duration(reply.Offer.GetWaitUs()) * time.Microsecond,
			Work:     time.Duration(reply.Offer.GetWorkUs()) * time.Microsecond,
			Errors:   float64(reply.Offer.GetErrorsPermille()) / 1000,
			Trip:     reply.Trip,
			AtOnce:   reply.Offer.GetAtOnce(),
		})
	}
	return offers
}

// question describes the request to gates.
func (x *exchange) question() *pb.OfferQuestion {
	return &pb.OfferQuestion{
		Service:    x.call.Service,
		Route:      x.call.Route,
		Class:      x.call.Class,
		TargetUs:   microseconds(time.Until(x.call.Target)),
		DeadlineUs: microseconds(time.Until(x.call.Deadline)),
	}
}

// microseconds counts whole ones; times that have passed are zero.
func microseconds(d time.Duration) uint32 { return uint32(max(d.Microseconds(), 0)) }

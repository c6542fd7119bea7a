package gate

import (
	"context"
	"time"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

// Offer returns when the gate expects to answer a request that arrives now. It
// reserves nothing: the request may still be refused when it arrives. The reply to a
// question with book says when a refused request should return.
func (g *Gate) Offer(ctx context.Context, question *pb.OfferQuestion) *pb.Offer {
	now := time.Now()
	call := &wire.Call{Meta: wire.Meta{
		Service:      question.GetService(),
		Route:        question.GetRoute(),
		Class:        question.GetClass(),
		Organisation: question.GetOrganisation(),
		Fingerprint:  question.GetFingerprint(),
		Target:       now.Add(time.Duration(question.GetTargetUs()) * time.Microsecond),
		Deadline:     now.Add(time.Duration(question.GetDeadlineUs()) * time.Microsecond),
	}}
	offer := &pb.Offer{Incarnation: g.options.Incarnation}
	if question.GetInspect() {
		defer func() { offer.Cold = g.cold.enabled.Load() && g.limiter.isCold() }()
	}
	server, refusal := g.serverFor(call)
	if refusal != nil {
		offer.Refused = true
		if question.GetInspect() {
			offer.Kind, offer.Message = refusal.Kind, refusal.Message
		}
		return offer
	}
	if question.GetBook() {
		offer.Refused = true
		if wait, ok := g.limiter.book(slotRequestOf(call)); ok {
			offer.ReturnAfterUs = uint32(wait.Microseconds())
		}
		return offer
	}
	g.refreshState(ctx, server, maxReportAgeForOffer)
	g.askIfCold(server)
	if server.notices.hasLeftBefore() {
		offer.Refused = true
		if question.GetInspect() {
			offer.Kind, offer.Message = pb.ErrorKind_ERROR_KIND_DRAINING, "the backend server says that it leaves"
		}
		return offer
	}
	g.limiter.offer(slotRequestOf(call), offer, question.GetInspect())
	return offer
}

// offer sets the expected wait and service time of a request in an offer. With inspect it
// also sets the reason of a refusal.
func (l *limiter) offer(s slotRequest, into *pb.Offer, inspect bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.queue.SetMeanHoldTime(l.serviceTimes.MeanHoldTime())
	l.queue.SetSlowdown(l.slowdowns.Now(now))
	request := l.requestLocked(s)
	estimate := l.queue.Estimate(now, request)
	if inspect && estimate.Refused {
		into.Kind, into.Message = pb.ErrorKind_ERROR_KIND_OVERLOADED, l.refusalReasonLocked(now, &request, estimate)
	}
	into.Refused = estimate.Refused
	into.AtOnce = estimate.AtOnce
	into.Promised = estimate.HasPlace
	if estimate.Refused && s.fingerprint != 0 && l.hasScheduleLocked(now) {
		if wait, isLater := l.queue.Places.Later(now, request); isLater {
			into.ReturnAfterUs = uint32(wait.Microseconds())
		}
	}
	into.WaitUs = uint32(estimate.Wait.Microseconds())
	if l.serviceTimes.IsMeasured(s.route) {
		// The mean of other routes would mislead: it may be that of one cold request.
		into.WorkUs = uint32(estimate.ServiceTime.Microseconds())
	}
	into.ErrorsPermille = uint32(l.failureRate * 1000)
}

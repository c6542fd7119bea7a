package gate

import (
	"context"
	"time"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

// Offer says how soon the gate expects to answer a request that comes now. Nothing
// is reserved: the request may still be refused when it comes.
func (g *Gate) Offer(ctx context.Context, question *pb.OfferQuestion) *pb.Offer {
	now := time.Now()
	call := &wire.Call{Meta: wire.Meta{
		Service:  question.GetService(),
		Route:    question.GetRoute(),
		Class:    question.GetClass(),
		Target:   now.Add(time.Duration(question.GetTargetUs()) * time.Microsecond),
		Deadline: now.Add(time.Duration(question.GetDeadlineUs()) * time.Microsecond),
	}}
	offer := &pb.Offer{Incarnation: g.options.Incarnation}
	server, refusal := g.ready(call)
	if refusal != nil {
		offer.Refused = true
		return offer
	}
	g.askServer(ctx, server, offerAge)
	g.limiter.offer(slotOf(call), offer)
	return offer
}

// offer fills in what a request is expected to wait and take.
func (l *limiter) offer(s slot, into *pb.Offer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.queue.SetMeanHoldTime(l.work.MeanHoldTime())
	l.queue.SetSlowdown(l.moments.Now(now))
	expected := l.queue.Estimate(now, l.requestLocked(s))
	into.Refused = expected.Refused
	into.AtOnce = expected.AtOnce
	into.WaitUs = uint32(expected.Wait.Microseconds())
	into.WorkUs = uint32(expected.ServiceTime.Microseconds())
	into.ErrorsPermille = uint32(l.failures * 1000)
}

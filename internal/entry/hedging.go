package entry

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/hedge"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

// maxHedgeGates is the number of gates that are asked for a hedged attempt. In a simulation
// with machines that are slow a third of the time, 16 of 100 hedged attempts found no offer
// to start at once among two gates, and 5 of 100 among three.
const maxHedgeGates = 3

// hedgeCounters count hedged attempts.
type hedgeCounters struct {
	sent, won, cancelled atomic.Int64
	withheld             [hedge.ReasonCount]atomic.Int64
}

func (c *hedgeCounters) observeWithheld(o metric.Observer, counter metric.Int64Observable) {
	for reason := hedge.None + 1; reason < hedge.ReasonCount; reason++ {
		o.ObserveInt64(counter, c.withheld[reason].Load(), metric.WithAttributes(attribute.String("reason", reason.String())))
	}
}

// mayHedge reports whether the attempt in progress may be followed by a hedged one, whose
// latency is then measured.
func (x *exchange) mayHedge() bool {
	return x.service.state.hedging.Enabled() && x.attempts == 1 && x.maxAttempts() > 1 && x.call.Idempotent &&
		!x.call.Streams() && x.handler.options.Offers != nil
}

func (x *exchange) hedgeRoute() *hedge.Estimator {
	name := x.route.name
	if name == "" {
		name = x.route.pathPrefix
	}
	return x.service.state.hedging.Route(name)
}

// planHedge returns when a hedged attempt follows the attempt about to be sent. It returns
// false if none can.
func (x *exchange) planHedge() (hedge.Plan, bool) {
	if !x.mayHedge() || x.balancer.Placer() == nil {
		return hedge.Plan{}, false
	}
	now := time.Now()
	return x.service.state.hedging.Plan(now, x.hedgeRoute(), hedge.Request{
		Expected:      expectedLatency(x.offer),
		UntilTarget:   x.call.Target.Sub(now),
		UntilDeadline: x.call.Deadline.Sub(now),
	})
}

// expectedLatency returns the latency that an offer makes expect; zero if unknown.
func expectedLatency(offer *balance.EndpointOffer) time.Duration {
	if offer == nil || offer.ServiceTime == 0 {
		return 0
	}
	return offer.ExpectedLatency()
}

// recordLatency records the latency of a first attempt that succeeded.
func (x *exchange) recordLatency() {
	if x.pending.Outcome == balance.OutcomeSuccess && x.mayHedge() {
		x.hedgeRoute().Record(time.Now(), x.pending.Latency, expectedLatency(x.offer))
	}
}

// noteOverload withholds hedged attempts of the service for a while after a gate refused
// because of load.
func (x *exchange) noteOverload(answer *wire.Answer) {
	if answer.Kind == pb.ErrorKind_ERROR_KIND_OVERLOADED {
		x.service.state.hedging.RecordRefusal(time.Now())
	}
}

// parallelAttempt is one of two attempts of a request that run at the same time. Until
// ended is closed, its goroutine owns call, answer, latency and prefetchBuffer.
type parallelAttempt struct {
	sending
	ownCall   wire.Call
	result    balance.Result
	offer     *balance.EndpointOffer
	startedAt time.Time
	cancel    context.CancelFunc
	answer    *wire.Answer
	latency   time.Duration
	ended     chan struct{}
}

// startParallel sends an attempt with a copy of the call in a goroutine of its own.
func (x *exchange) startParallel(ctx context.Context, endpoint *balance.Endpoint, offer *balance.EndpointOffer, isHedged bool) *parallelAttempt {
	r := &parallelAttempt{
		sending:   sending{handler: x.handler, endpoint: endpoint, hasBehind: x.hasBehind},
		ownCall:   x.call,
		result:    balance.Result{Endpoint: endpoint, Outcome: balance.OutcomeCancelled},
		offer:     offer,
		startedAt: time.Now(),
		ended:     make(chan struct{}),
	}
	r.ownCall.Header = x.call.Header.Clone()
	r.ownCall.Attempt = x.handler.ids.Attempt(endpoint.Incarnation)
	r.ownCall.Hedged = isHedged
	r.call = &r.ownCall
	// The context of the attempt whose answer is delivered ends with the request's.
	ctx, r.cancel = context.WithCancel(ctx)
	go func() {
		defer close(r.ended)
		r.answer = r.send(ctx)
		r.latency = time.Since(r.startedAt)
	}()
	return r
}

// hasEnded reports whether the attempt has an answer.
func (r *parallelAttempt) hasEnded() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

// isSuccess reports whether the attempt, which has ended, has an answer that is delivered
// without waiting for the other.
func (r *parallelAttempt) isSuccess() bool {
	return r.answer.Kind == 0 && r.answer.Status < http.StatusInternalServerError
}

// attemptHedged sends the first attempt and, if its answer is late and hedging is
// allowed, a second one to another server. It returns the answer to deliver or to retry.
func (x *exchange) attemptHedged(ctx context.Context, endpoint *balance.Endpoint, plan hedge.Plan) *wire.Answer {
	first := x.startParallel(ctx, endpoint, x.offer, false)
	watch := x.watchWait(ctx, endpoint, first.call.Attempt)
	timer := time.NewTimer(plan.Delay)
	defer timer.Stop()
	select {
	case <-first.ended:
	case <-timer.C:
	}
	if watch.stop() || first.hasEnded() {
		<-first.ended
		answer := x.adoptFirst(first)
		x.noteWithdrawal(watch, answer)
		return answer
	}
	second, reason := x.startHedge(ctx, first, plan)
	if second == nil {
		if reason != hedge.None {
			x.handler.metrics.hedges.withheld[reason].Add(1)
		}
		<-first.ended
		return x.adoptFirst(first)
	}
	x.handler.metrics.hedges.sent.Add(1)
	return x.awaitParallel(first, second)
}

// startHedge sends the second attempt of a request. It returns nil and the reason if none
// is sent, or None if the first attempt ended meanwhile.
func (x *exchange) startHedge(ctx context.Context, first *parallelAttempt, plan hedge.Plan) (*parallelAttempt, hedge.Reason) {
	service := x.service.state
	reason := service.hedging.Check(hedge.Situation{
		Now:      time.Now(),
		Deadline: x.call.Deadline,
		Median:   plan.Median,
		Stopping: x.handler.stop.Load() != nil,
		Nested:   x.mayBeNested(),
		Suspect:  x.handler.options.Quarantine.Suspects(x.call.Fingerprint),
	})
	if reason != hedge.None {
		return nil, reason
	}
	chosen := x.offerForHedge(ctx, first)
	if first.hasEnded() || ctx.Err() != nil {
		return nil, hedge.None
	}
	if chosen == nil {
		service.hedging.RecordNoOffer()
		return nil, hedge.NoOffer
	}
	if x.handler.routes.Load() != x.authenticatedBy {
		// The key or the region may have been withdrawn. A retry would check them again.
		return nil, hedge.ConfigChanged
	}
	if !service.hedging.Take() {
		return nil, hedge.Limit
	}
	if !service.budget.Take() {
		return nil, hedge.RetryBudget
	}
	endpoint, err := x.balancer.Placer().Take(chosen.Endpoint, x.pickInfo())
	if err != nil {
		return nil, hedge.NoOffer
	}
	x.tried = append(x.tried, endpoint.Instance)
	return x.startParallel(ctx, endpoint, chosen, true), hedge.None
}

// mayBeNested reports whether the request may be a call that the backend server next to this
// node makes for a hedged attempt. A call doesn't name the request that it belongs to, so no
// call of a server is hedged while it runs a hedged attempt. Hedged calls of a hedged
// attempt would multiply with the depth of the chain.
func (x *exchange) mayBeNested() bool {
	runsHedged := x.handler.options.RunsHedged
	return runsHedged != nil && runsHedged() && x.call.Organisation == "" && isFromThisMachine(x.r)
}

// isFromThisMachine reports whether a request may come from the machine of this node: its
// connection has the same address at both ends, or one is unknown.
func isFromThisMachine(r *http.Request) bool {
	local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return true
	}
	remoteHost, _, errRemote := net.SplitHostPort(r.RemoteAddr)
	localHost, _, errLocal := net.SplitHostPort(local.String())
	return errRemote != nil || errLocal != nil || remoteHost == localHost || net.ParseIP(remoteHost).IsLoopback()
}

// offerForHedge asks gates of the own region and returns the offer for the second attempt,
// or nil. The questions end when the first attempt does.
func (x *exchange) offerForHedge(ctx context.Context, first *parallelAttempt) *balance.EndpointOffer {
	placer := x.balancer.Placer()
	if placer == nil {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-first.ended:
			cancel()
		case <-ctx.Done():
		}
	}()
	endpoints := placer.Local(x.pickInfo(), maxHedgeGates+1)
	endpoints = slices.DeleteFunc(endpoints, func(e *balance.Endpoint) bool { return e.Instance == first.endpoint.Instance })
	offers := x.askExtra(ctx, endpoints[:min(maxHedgeGates, len(endpoints))])
	return hedge.Choose(offers, x.handler.options.Region, first.endpoint.Instance, time.Until(x.call.Deadline))
}

// awaitParallel waits until one of two attempts succeeds or both have failed, and returns
// the answer to deliver or to retry.
func (x *exchange) awaitParallel(first, second *parallelAttempt) *wire.Answer {
	earlier, later := first, second
	select {
	case <-first.ended:
	case <-second.ended:
		earlier, later = second, first
	}
	if !earlier.isSuccess() {
		<-later.ended
		if !later.isSuccess() {
			return x.adoptFailure(first, second)
		}
		earlier, later = later, earlier
		x.reportFailed(later)
	} else {
		later.cancel()
		x.handler.metrics.hedges.cancelled.Add(1)
		if later == first {
			x.hedgeRoute().RecordCancelled(time.Now(), time.Since(first.startedAt), expectedLatency(first.offer))
		}
		x.attemptLog = append(x.attemptLog, attemptRecord{
			instance: later.endpoint.Instance, region: later.endpoint.Region, outcome: "cancelled",
			latency: time.Since(later.startedAt), offer: later.offer,
		})
		x.handler.inProgress.Add(1)
		go later.discard(x.balancer)
	}
	if earlier == first {
		return x.adoptFirst(first)
	}
	x.handler.metrics.hedges.won.Add(1)
	return x.adopt(second)
}

// adoptFirst continues with the first attempt and records its latency if it succeeded.
func (x *exchange) adoptFirst(first *parallelAttempt) *wire.Answer {
	if first.isSuccess() {
		x.hedgeRoute().Record(time.Now(), first.latency, expectedLatency(first.offer))
	}
	return x.adopt(first)
}

// adoptFailure continues with one of two attempts that have failed: with the first, as if
// there had been no other, unless only the second may have run. The answer is then
// never a refusal that certifies that the request didn't run.
func (x *exchange) adoptFailure(first, second *parallelAttempt) *wire.Answer {
	kept, dropped := first, second
	if !mayHaveRun(first.answer) && mayHaveRun(second.answer) {
		kept, dropped = second, first
	}
	x.reportFailed(dropped)
	if mayHaveRun(dropped.answer) {
		// The second attempt took the place of the retry after a failure.
		x.failures++
	}
	return x.adopt(kept)
}

// reportFailed reports an attempt that has failed and whose answer isn't used.
func (x *exchange) reportFailed(r *parallelAttempt) {
	x.noteQuotaUse(r.answer)
	x.noteOverload(r.answer)
	if !isRetryableRefusal(r.answer) {
		x.attempts++
	}
	r.finish(x.balancer, outcome(r.answer))
	x.attemptLog = append(x.attemptLog, attemptRecord{
		instance: r.endpoint.Instance, region: r.endpoint.Region, outcome: outcomeName(r.answer),
		latency: r.latency, offer: r.offer,
	})
}

// adopt makes an attempt that has ended the exchange's last attempt.
func (x *exchange) adopt(r *parallelAttempt) *wire.Answer {
	x.sending.releasePrefetchBuffer()
	x.sending = r.sending
	x.pending, x.offer = r.result, r.offer
	x.setResult(r.answer, r.latency)
	x.recordAttempt(r.endpoint, r.answer)
	return r.answer
}

// discard waits for the end of an attempt that was cancelled and reports it as such.
func (r *parallelAttempt) discard(balancer balance.Balancer) {
	defer r.handler.inProgress.Add(-1)
	<-r.ended
	r.finish(balancer, balance.OutcomeCancelled)
}

// finish closes the answer of an attempt that has ended and reports the outcome to the
// balancer.
func (r *parallelAttempt) finish(balancer balance.Balancer, outcome balance.Outcome) {
	if r.answer.Body != nil {
		_ = r.answer.Body.Close() // the answer is discarded
	}
	r.cancel()
	r.releasePrefetchBuffer()
	setResult(&r.result, r.answer, r.latency, r.call.BodyBytes)
	r.result.Outcome = outcome
	r.handler.countCrossRegionBytes(&r.result)
	balancer.Done(r.result)
}

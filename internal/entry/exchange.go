package entry

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/once"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/pipeline"
	"github.com/egretfield/egretfield/internal/wire"
)

const (
	// maxRefusals limits the attempts of a request whose last attempt was certified
	// not run, either for a reason other than load or after it had reached a backend
	// server.
	maxRefusals = 8
	// maxStaleOffers limits the retries after refusals by gates that had just offered
	// to accept the request.
	maxStaleOffers = 3
	// maxFailures limits the retries after a backend server failed while it ran the
	// request.
	maxFailures = 1
)

// exchange handles one request of a caller and its answer.
type exchange struct {
	handler         *Handler
	w               http.ResponseWriter
	r               *http.Request
	startTime       time.Time
	requestID       string
	service         *service
	route           *route
	call            wire.Call
	streamedBody    *callerBody
	expectsContinue bool   // the caller sent an Expect header and waits for 100 Continue
	key             string // idempotency key; empty if there is none
	maxBodyBytes    int64
	// mayOutlastStop reports whether the deadline was shortened because the node stops.
	mayOutlastStop bool
	keyInUse       once.Key // the idempotency key, while its grant is held
	firstSend      bool     // the caller states that it never sent the key before
	reservedBytes  int64
	// regionsAtArrival are the allowed regions when the request arrived.
	regionsAtArrival *balance.RegionRules
	// refusedRegions are the regions whose gates don't allow the request there.
	refusedRegions []string
	// sending is the attempt in progress, or the one whose answer is delivered.
	sending sending

	// authentication tells which organisation sent the request.
	authentication
	balancer balance.Balancer
	// placedByOffer reports whether an offer decided where the last attempt went.
	placedByOffer bool
	// offer is the offer that selected the endpoint of the attempt in progress; nil if
	// none did.
	offer *balance.EndpointOffer
	// retryAfter is the wait suggested to the caller when no gate would accept the
	// request; zero means the error kind's default.
	retryAfter time.Duration
	// home is the endpoint whose gate promises capacity to the request's return after a
	// refusal; nil: no promises are made.
	home *balance.Endpoint
	// returnAfter is the wait that the request's home gate gave because it can promise no
	// capacity in time; zero: none.
	returnAfter time.Duration
	// tried are the instances of all attempts.
	tried      []string
	triedArray [DefaultMaxAttempts]string // backing array of tried
	attempts   int
	quota      quotaState
	attemptLog []attemptRecord
	// withdrawals counts the attempts that were withdrawn while they waited at a gate.
	withdrawals int
	// withdrawnTo is the offer of the gate to which the request goes after its withdrawal.
	withdrawnTo *balance.EndpointOffer
	// failures counts the attempts that failed at a backend server and could be retried.
	failures int
	// uncertain is the answer of the latest attempt that may have run and was
	// retried; nil if there was none.
	uncertain *wire.Answer
	// inspection records a decision that isn't followed by a request; nil for a caller's
	// request.
	inspection *inspection
	// pending is the result of the last attempt until it is reported to the balancer.
	pending balance.Result
	// cancel ends the attempts' context, on which the body of the answer depends; nil if
	// none was made.
	cancel context.CancelCauseFunc
}

// releaseResources releases everything that the exchange holds and reports the last
// attempt.
func (x *exchange) releaseResources() {
	defer x.handler.inProgress.Add(-1)
	x.handler.heldBytes.Add(-x.reservedBytes)
	if x.streamedBody != nil {
		x.streamedBody.stop(time.Unix(1, 0))
	}
	if x.cancel != nil {
		x.cancel(nil)
	}
	x.sending.releasePrefetchBuffer()
	x.reportAttempt()
}

// reportAttempt reports the end of the last attempt to the balancer.
func (x *exchange) reportAttempt() {
	if x.pending.Endpoint == nil {
		return
	}
	x.handler.countCrossRegionBytes(&x.pending)
	x.balancer.Done(x.pending)
	x.pending = balance.Result{}
}

// serve runs a validated request and writes its answer.
func (x *exchange) serve() {
	x.balancer = x.handler.options.BalancerFor(x.service.name)
	if x.balancer == nil {
		x.writeAnswer(noBalancer())
		return
	}
	if x.handler.usesGuard(x) {
		x.serveKeyed()
		return
	}
	x.writeAnswer(x.runUntilStopped(x.r.Context()))
}

// noBalancer returns the refusal of a request for a service without a balancer.
func noBalancer() *wire.Answer {
	return wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_NO_SERVER, "no backend server of the service is known yet")
}

// errStopped is the cause with which a request's context ends when the node's stop leaves
// no more time.
var errStopped = errors.New("the node is stopping")

// runUntilStopped makes attempts until the time for a stop of the node is up. The caller
// then learns that its request may run on, and answers that wait behind it on the
// connection are delivered.
func (x *exchange) runUntilStopped(ctx context.Context) *wire.Answer {
	if x.cancel != nil {
		x.cancel(nil) // of a run that starts anew
	}
	ctx, cancel := context.WithCancelCause(ctx)
	release := context.AfterFunc(x.handler.stopped, func() { cancel(errStopped) })
	answer := x.run(ctx)
	release() // an answer that has begun may be delivered
	if answer.Kind == pb.ErrorKind_ERROR_KIND_CANCELLED && context.Cause(ctx) == errStopped {
		return wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_DEADLINE_AFTER_SEND, "the node stopped before the answer arrived")
	}
	x.cancel = cancel
	return answer
}

// run makes attempts and returns the final answer. It returns a refusal only if no
// attempt can have run, because a refusal certifies that to the caller.
func (x *exchange) run(ctx context.Context) *wire.Answer {
	answer := x.runWithinQuota(ctx)
	if x.uncertain == nil && answer.Kind == pb.ErrorKind_ERROR_KIND_OVERLOADED {
		x.bookReturn(ctx, answer)
	}
	if x.uncertain == nil || mayHaveRun(answer) {
		return answer
	}
	if x.uncertain.Kind == 0 {
		return wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_SERVER_FAILED, "the backend server failed and the others refused the request")
	}
	return wire.ErrorAnswer(x.uncertain.Kind, x.uncertain.Message)
}

// mayHaveRun reports whether a backend server may have run the attempt.
func mayHaveRun(answer *wire.Answer) bool {
	return answer.Kind == 0 || errkind.Of(answer.Kind).Run != pb.RunState_RUN_STATE_NO
}

// runAttempts makes attempts until one needs no retry and returns the last answer.
func (x *exchange) runAttempts(ctx context.Context) *wire.Answer {
	var last *wire.Answer
	for {
		endpoint, err := x.nextEndpoint(ctx, last)
		if err != nil {
			if last != nil && errkind.KindOf(err) != pb.ErrorKind_ERROR_KIND_UNAUTHENTICATED {
				return last
			}
			return x.selectionRefusal(err)
		}
		if refusal := x.awaitQuota(ctx); refusal != nil {
			return refusal
		}
		answer := x.attempt(ctx, endpoint)
		x.noteQuotaUse(answer)
		if !x.shouldRetry(ctx, answer) {
			return answer
		}
		x.reportAttempt()
		if answer.Body != nil {
			_ = answer.Body.Close() // the answer is discarded
		}
		x.handler.metrics.retries.Add(1)
		if mayHaveRun(answer) {
			x.uncertain = answer
		}
		last = answer
	}
}

// selectionRefusal returns the refusal of a request for which no endpoint was selected.
func (x *exchange) selectionRefusal(err error) *wire.Answer {
	refusal := errorAnswer(err)
	refusal.RetryAfter = x.retryAfter
	return refusal
}

// nextEndpoint selects the endpoint of the next attempt. It fails when the deadline
// has passed or when only endpoints are left that refused the request.
func (x *exchange) nextEndpoint(ctx context.Context, last *wire.Answer) (*balance.Endpoint, error) {
	if !time.Now().Before(x.call.Deadline) {
		return nil, errkind.New(pb.ErrorKind_ERROR_KIND_DEADLINE_BEFORE_RUN, "the deadline passed before the request was sent")
	}
	endpoint, err := x.chooseAuthenticated(ctx)
	if err != nil {
		return nil, x.regionError(err)
	}
	if err := x.confirmRegion(endpoint); err != nil {
		x.reportAttempt()
		return nil, err
	}
	if last != nil && isRetryableRefusal(last) && !last.ConnectionLost && slices.Contains(x.tried, endpoint.Instance) {
		// All other backend servers were tried and this one has already refused.
		x.reportAttempt()
		return nil, errkind.New(last.Kind, "every backend server refused the request")
	}
	return endpoint, nil
}

// isRetryableRefusal reports whether a gate refused for a reason that need not hold
// at another gate.
func isRetryableRefusal(answer *wire.Answer) bool {
	return answer.Kind != 0 && errkind.Of(answer.Kind).Retryable
}

// attempt sends the request once and records the result.
func (x *exchange) attempt(ctx context.Context, endpoint *balance.Endpoint) *wire.Answer {
	x.attempts++
	if x.tried == nil {
		x.tried = x.triedArray[:0]
	}
	x.tried = append(x.tried, endpoint.Instance)
	if plan, ok := x.planHedge(); ok {
		return x.attemptHedged(ctx, endpoint, plan)
	}
	x.call.Attempt = x.handler.ids.Attempt(endpoint.Incarnation)
	start := time.Now()
	watch := x.watchWait(ctx, endpoint, x.call.Attempt)
	answer := x.send(ctx, endpoint)
	latency := time.Since(start)
	watch.stop()
	x.setResult(answer, latency)
	x.noteWithdrawal(watch, answer)
	x.recordLatency()
	x.recordAttempt(endpoint, answer)
	return answer
}

// setResult sets the result of the last attempt, which is reported to the balancer.
func (x *exchange) setResult(answer *wire.Answer, latency time.Duration) {
	setResult(&x.pending, answer, latency, x.call.BodyBytes)
	x.noteOverload(answer)
}

func setResult(result *balance.Result, answer *wire.Answer, latency time.Duration, bodyBytes int64) {
	result.Latency = latency
	result.Outcome = outcome(answer)
	result.Report = answer.Load
	if answer.Load != nil {
		answer.Load.Instance = result.Endpoint.Instance
	}
	result.Bytes = max(bodyBytes, 0)
}

// send sends the request to the endpoint's gate.
func (x *exchange) send(ctx context.Context, endpoint *balance.Endpoint) *wire.Answer {
	x.sending.handler, x.sending.call, x.sending.streamedBody = x.handler, &x.call, x.streamedBody
	x.sending.endpoint = endpoint
	x.sending.hasBehind = x.hasBehind
	return x.sending.send(ctx)
}

// hasBehind reports whether requests behind this one on the caller's connection are being
// served. If not, none is until this one is answered.
func (x *exchange) hasBehind() bool { return pipeline.HasBehind(x.r) }

// outcome maps an answer to the outcome reported to the balancer.
func outcome(answer *wire.Answer) balance.Outcome {
	if answer.ConnectionLost {
		return balance.OutcomeCancelled
	}
	switch answer.Kind {
	case 0:
		if answer.Status >= http.StatusInternalServerError {
			return balance.OutcomeFailure
		}
		return balance.OutcomeSuccess
	case pb.ErrorKind_ERROR_KIND_CANCELLED, pb.ErrorKind_ERROR_KIND_DEADLINE_BEFORE_RUN, pb.ErrorKind_ERROR_KIND_REGION_NOT_ALLOWED:
		return balance.OutcomeCancelled
	}
	if answer.Load == nil && errkind.Of(answer.Kind).Run == pb.RunState_RUN_STATE_NO {
		return balance.OutcomeUnreachable
	}
	if errkind.Of(answer.Kind).Run == pb.RunState_RUN_STATE_NO {
		return balance.OutcomeRefused
	}
	return balance.OutcomeFailure
}

// shouldRetry reports whether another attempt follows the answer. Failures are retried
// only for idempotent requests that aren't nested in a call chain. It takes from the
// retry budget where the attempt counts as a retry.
func (x *exchange) shouldRetry(ctx context.Context, answer *wire.Answer) bool {
	if ctx.Err() != nil || x.bodyStarted() {
		return false
	}
	if isRetryableRefusal(answer) {
		return x.shouldRetryRefusal(answer)
	}
	if !x.call.Idempotent || x.call.Depth > 0 || x.attempts >= x.maxAttempts() {
		return false
	}
	if !isRetryableFailure(answer) || !x.hasTimeToRetry() {
		return false
	}
	if answer.ConnectionLost {
		return x.service.state.budget.Take()
	}
	x.failures++
	return x.failures <= maxFailures && x.service.state.budget.Take()
}

// bodyStarted reports whether a body that is streamed has begun to be sent on, so that it
// can't be sent again.
func (x *exchange) bodyStarted() bool {
	return x.streamedBody != nil && x.streamedBody.readStarted.Load()
}

// retryTimeDivisor sets the time that must remain before the deadline for a retry:
// the failed attempt's latency divided by it. A retry with less time hardly ever
// succeeds and takes a slot and a part of the retry budget from other requests.
const retryTimeDivisor = 4

// hasTimeToRetry reports whether a retry could still be answered before the deadline.
func (x *exchange) hasTimeToRetry() bool {
	return time.Until(x.call.Deadline) > x.pending.Latency/retryTimeDivisor
}

// maxAttempts returns the limit of attempts from the route or else the service.
func (x *exchange) maxAttempts() int {
	if x.route.maxAttempts > 0 {
		return x.route.maxAttempts
	}
	return x.service.maxAttempts
}

// shouldRetryRefusal reports whether a request that was certified not run is retried
// on another backend server. Refusals because of load take from the retry budget, and
// so do those of requests that had reached a backend server.
func (x *exchange) shouldRetryRefusal(answer *wire.Answer) bool {
	if answer.Kind == pb.ErrorKind_ERROR_KIND_REGION_NOT_ALLOWED {
		x.excludeRegion()
	}
	if answer.ReachedServer {
		return x.attempts < maxRefusals && x.service.state.budget.Take()
	}
	if answer.Kind == pb.ErrorKind_ERROR_KIND_OVERLOADED && x.placedByOffer {
		// The offer was stale. Nothing reached a backend server, so this doesn't count
		// as a retry.
		return x.attempts <= maxStaleOffers
	}
	if answer.Kind == pb.ErrorKind_ERROR_KIND_OVERLOADED {
		return x.attempts < x.maxAttempts() && x.service.state.budget.Take()
	}
	return x.attempts < maxRefusals
}

// isRetryableFailure reports whether an idempotent request is worth retrying after
// the answer.
func isRetryableFailure(answer *wire.Answer) bool {
	switch answer.Kind {
	case 0:
		return answer.Status == http.StatusBadGateway ||
			answer.Status == http.StatusServiceUnavailable ||
			answer.Status == http.StatusGatewayTimeout
	case pb.ErrorKind_ERROR_KIND_SERVER_FAILED, pb.ErrorKind_ERROR_KIND_ANSWER_CUT:
		return true
	}
	return false
}

// hasUnreadBody reports whether a part of the request's body is unread.
func (x *exchange) hasUnreadBody() bool {
	return x.r.ContentLength != 0 && x.call.HeldBody == nil && (x.streamedBody == nil || !x.streamedBody.ended.Load())
}

// lingerOnBody gives the caller time to stop sending a body that isn't needed.
// Otherwise net/http would wait for it without limit or reset the connection.
func (x *exchange) lingerOnBody() {
	if !x.hasUnreadBody() {
		return
	}
	if x.streamedBody != nil {
		x.streamedBody.stop(time.Now().Add(wire.LingerTime))
	}
	noReadStarted := x.streamedBody == nil || !x.streamedBody.readStarted.Load() && !x.streamedBody.peeked
	if x.expectsContinue && noReadStarted {
		return // no 100 Continue was sent, so the caller sends no body
	}
	wire.Linger(x.w, x.r.Body)
}

// writeAnswer writes the final answer to the caller.
func (x *exchange) writeAnswer(answer *wire.Answer) {
	x.countAnswer(answer)
	x.logRequest(answer)
	isStopping := x.handler.stop.Load() != nil
	if x.hasUnreadBody() && pipeline.CloseAfter(x.r) || isStopping && pipeline.CloseIfLast(x.r) {
		x.w.Header()["Connection"] = []string{"close"}
	}
	if answer.Kind == pb.ErrorKind_ERROR_KIND_UNAUTHENTICATED {
		x.w.Header()["Www-Authenticate"] = []string{bearerScheme}
	}
	if answer.Kind != 0 {
		answer.WriteError(x.w, x.handler.options.Headers.RequestID, x.requestID)
		return
	}
	if answer.Status < http.StatusInternalServerError {
		x.service.state.budget.RecordSuccess()
	}
	x.w.Header()[x.handler.options.Headers.RequestID] = []string{x.requestID}
	x.pending.Bytes += wire.WriteAnswer(x.w, answer)
}

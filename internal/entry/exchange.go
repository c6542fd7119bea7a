package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

const (
	// maxRefusals bounds the attempts when each was refused or unreachable
	// for a reason other than load.
	maxRefusals = 8
	// maxOldOffers bounds the attempts that follow refusals of gates that had just
	// offered to take the request.
	maxOldOffers = 3
	// maxFailures bounds the attempts that go on after a backend server failed
	// while it ran the request.
	maxFailures = 1
)

// exchange is one request of a caller and its answer.
type exchange struct {
	handler   *Handler
	w         http.ResponseWriter
	r         *http.Request
	begun     time.Time
	requestID string
	service   *service
	route     *route
	call      wire.Call
	stream    *callerBody
	expects   bool // the caller waits for 100-continue
	key       string
	maxBody   int64 // bytes
	firstSend bool
	reserved  int64
	buffer    *[]byte // of a prefetched answer

	balancer balance.Balancer
	// placed: the last attempt was placed by an offer.
	placed bool
	// offered is the offer that the last attempt was placed by; nil: none.
	offered *balance.Offered
	// backAfter is the wait to suggest when no gate would take the request; zero:
	// the kind's.
	backAfter time.Duration
	tried     []string
	triedFew  [DefaultMaxAttempts]string // backs tried
	attempts  int
	trace     []tried
	failures  int
	// doubt is the answer of an attempt that may have run and was followed by
	// another; nil: none did.
	doubt *wire.Answer
	// open is the result of the last attempt until it is reported.
	open balance.Result
}

// release gives back what the exchange holds.
func (x *exchange) release() {
	defer x.handler.running.Add(-1)
	x.handler.held.Add(-x.reserved)
	if x.stream != nil {
		x.stream.stop(time.Unix(1, 0))
	}
	x.releaseBuffer()
	x.report()
}

// report tells the balancer the end of the last attempt.
func (x *exchange) report() {
	if x.open.Endpoint == nil {
		return
	}
	x.countRegion(x.open.Endpoint)
	x.balancer.Done(x.open)
	x.open = balance.Result{}
}

// serve runs a prepared request and writes its answer.
func (x *exchange) serve() {
	x.balancer = x.handler.options.BalancerFor(x.service.name)
	if x.balancer == nil {
		x.write(wire.Fail(pb.ErrorKind_ERROR_KIND_NO_SERVER, "the service has no backend servers yet"))
		return
	}
	if x.handler.wantsGuard(x) {
		x.serveKeyed()
		return
	}
	x.write(x.run(x.r.Context()))
}

// run makes attempts until one counts. A refusal certifies that no attempt ran.
func (x *exchange) run(ctx context.Context) *wire.Answer {
	answer := x.tryAll(ctx)
	if x.doubt == nil || mayHaveRun(answer) {
		return answer
	}
	if x.doubt.Kind == 0 {
		return wire.Fail(pb.ErrorKind_ERROR_KIND_SERVER_FAILED, "the backend server failed, and others refused")
	}
	return wire.Fail(x.doubt.Kind, x.doubt.Message)
}

// mayHaveRun reports whether a backend server may have run the attempt.
func mayHaveRun(answer *wire.Answer) bool {
	return answer.Kind == 0 || errkind.Of(answer.Kind).Run != pb.RunState_RUN_STATE_NO
}

// tryAll makes attempts and returns the answer of the last one.
func (x *exchange) tryAll(ctx context.Context) *wire.Answer {
	var last *wire.Answer
	for {
		endpoint, err := x.pick(ctx, last)
		if err != nil {
			if last != nil {
				return last
			}
			refusal := failure(err)
			refusal.RetryAfter = x.backAfter
			return refusal
		}
		answer := x.attempt(ctx, endpoint)
		if !x.goesOn(ctx, answer) {
			return answer
		}
		x.report()
		if answer.Body != nil {
			_ = answer.Body.Close() // it is given up
		}
		x.handler.metrics.retries.Add(1)
		if mayHaveRun(answer) {
			x.doubt = answer
		}
		last = answer
	}
}

// pick chooses the endpoint of the next attempt.
func (x *exchange) pick(ctx context.Context, last *wire.Answer) (*balance.Endpoint, error) {
	if !time.Now().Before(x.call.Deadline) {
		return nil, errkind.New(pb.ErrorKind_ERROR_KIND_DEADLINE_BEFORE_RUN, "the deadline passed before the request was sent")
	}
	endpoint, err := x.choose(ctx)
	if err != nil {
		return nil, err
	}
	x.open = balance.Result{Endpoint: endpoint, Outcome: balance.OutcomeCancelled}
	if last != nil && isRefusal(last) && !last.Lost && slices.Contains(x.tried, endpoint.Instance) {
		// Every other backend server was tried; this one refused already.
		x.report()
		return nil, errkind.New(last.Kind, "every backend server refused")
	}
	return endpoint, nil
}

// isRefusal reports whether a gate refused for a reason that may have passed
// elsewhere only.
func isRefusal(answer *wire.Answer) bool {
	return answer.Kind != 0 && errkind.Of(answer.Kind).Retryable
}

// attempt sends the request once.
func (x *exchange) attempt(ctx context.Context, endpoint *balance.Endpoint) *wire.Answer {
	x.attempts++
	if x.tried == nil {
		x.tried = x.triedFew[:0]
	}
	x.tried = append(x.tried, endpoint.Instance)
	x.call.Attempt = x.handler.ids.Attempt(endpoint.Incarnation)
	begun := time.Now()
	answer := x.send(ctx, endpoint)
	x.open.Latency = time.Since(begun)
	x.open.Outcome = outcome(answer)
	x.open.Report = answer.Load
	if answer.Load != nil {
		answer.Load.Instance = endpoint.Instance
	}
	x.open.Bytes = max(x.call.BodyBytes, 0)
	x.noteAttempt(endpoint, answer)
	return answer
}

// send sends the request to the endpoint's gate.
func (x *exchange) send(ctx context.Context, endpoint *balance.Endpoint) *wire.Answer {
	local := x.handler.options.Local
	if local == nil || endpoint.Instance != x.handler.options.Instance {
		return x.sendRemote(ctx, endpoint)
	}
	answer := local.Do(ctx, &x.call)
	if x.prefetch(answer) {
		return answer
	}
	load := answer.Load
	answer = wire.Fail(pb.ErrorKind_ERROR_KIND_ANSWER_CUT, "the backend server's answer ended early")
	answer.Load = load
	return answer
}

// outcome is what an answer means to the balancer.
func outcome(answer *wire.Answer) balance.Outcome {
	if answer.Lost {
		return balance.OutcomeCancelled
	}
	switch answer.Kind {
	case 0:
		if answer.Status >= http.StatusInternalServerError {
			return balance.OutcomeFailure
		}
		return balance.OutcomeSuccess
	case pb.ErrorKind_ERROR_KIND_CANCELLED, pb.ErrorKind_ERROR_KIND_DEADLINE_BEFORE_RUN:
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

// goesOn reports whether another attempt follows answer.
func (x *exchange) goesOn(ctx context.Context, answer *wire.Answer) bool {
	if ctx.Err() != nil || (x.stream != nil && x.stream.touched.Load()) {
		return false
	}
	if isRefusal(answer) {
		return x.goesElsewhere(answer)
	}
	if !x.call.Idempotent || x.call.Depth > 0 || x.attempts >= x.maxAttempts() {
		return false
	}
	if !isFailure(answer) || !x.hasTimeToRepeat() {
		return false
	}
	if answer.Lost {
		return x.service.state.budget.Take()
	}
	x.failures++
	return x.failures <= maxFailures && x.service.state.budget.Take()
}

// repeatShare is the part of the time that the failed attempt took that a repeat
// must have left, one part in so many. A repeat with less hardly ever succeeds and
// takes a slot and a retry from others.
const repeatShare = 4

// hasTimeToRepeat reports whether a repeat could still be answered in time.
func (x *exchange) hasTimeToRepeat() bool {
	return time.Until(x.call.Deadline) > x.open.Latency/repeatShare
}

// maxAttempts is the greatest number of attempts that may run.
func (x *exchange) maxAttempts() int {
	if x.route.maxAttempts > 0 {
		return x.route.maxAttempts
	}
	return x.service.maxAttempts
}

// goesElsewhere reports whether a certified refusal is tried at another
// backend server. Refusals for load use up the retry budget, and so do those of
// requests that had reached a backend server.
func (x *exchange) goesElsewhere(answer *wire.Answer) bool {
	if answer.Arrived {
		return x.attempts < maxRefusals && x.service.state.budget.Take()
	}
	if answer.Kind == pb.ErrorKind_ERROR_KIND_OVERLOADED && x.placed {
		// The offer was a moment too old. Nothing reached a backend server, so this
		// is no retry.
		return x.attempts <= maxOldOffers
	}
	if answer.Kind == pb.ErrorKind_ERROR_KIND_OVERLOADED {
		return x.attempts < x.maxAttempts() && x.service.state.budget.Take()
	}
	return x.attempts < maxRefusals
}

// isFailure reports whether an idempotent request is worth another attempt.
func isFailure(answer *wire.Answer) bool {
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

// unread reports whether a part of the request's body wasn't read.
func (x *exchange) unread() bool {
	return x.r.ContentLength != 0 && x.call.Held == nil && (x.stream == nil || !x.stream.ended.Load())
}

// linger gives the caller time to stop sending a body that isn't wanted.
// Otherwise net/http would wait for it without limit, or reset the connection.
func (x *exchange) linger() {
	if !x.unread() {
		return
	}
	if x.stream != nil {
		x.stream.stop(time.Now().Add(wire.LingerTime))
	}
	untouched := x.stream == nil || !x.stream.touched.Load()
	if x.expects && untouched {
		return // nothing was asked for, so nothing comes
	}
	wire.Linger(x.w, x.r.Body)
}

// write writes the final answer to the caller.
func (x *exchange) write(answer *wire.Answer) {
	x.count(answer)
	x.traceRequest(answer)
	if x.unread() || x.handler.stopBy.Load() != nil {
		x.w.Header()["Connection"] = []string{"close"}
	}
	if answer.Kind != 0 {
		answer.WriteError(x.w, x.handler.options.Headers.RequestID, x.requestID)
		return
	}
	if answer.Status < http.StatusInternalServerError {
		x.service.state.budget.Success()
	}
	x.w.Header()[x.handler.options.Headers.RequestID] = []string{x.requestID}
	x.open.Bytes += wire.WriteAnswer(x.w, answer)
}

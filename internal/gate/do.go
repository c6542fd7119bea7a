package gate

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

const (
	// silenceHoldTimeFactor is the multiple of the mean hold time after which a
	// silent connection is taken for broken, but not before minSilence.
	silenceHoldTimeFactor = 8
	minSilence            = 3 * time.Second
)

// Do runs a call at the backend server, or refuses it. The caller must close the
// answer's body. Answers made by the gate itself have a Kind.
func (g *Gate) Do(ctx context.Context, call *wire.Call) *wire.Answer {
	answer := g.do(ctx, call)
	answer.Load = g.Report()
	g.counters.answer(answer.Kind)
	return answer
}

func (g *Gate) do(ctx context.Context, call *wire.Call) *wire.Answer {
	server, refusal := g.serverFor(call)
	if refusal != nil {
		return refusal
	}
	if !g.allowsRegion(call) {
		return regionRefusal()
	}
	if kind := g.attempts.begin(call.Attempt); kind != 0 {
		return wire.ErrorAnswer(kind, "the attempt came too late")
	}
	g.refreshState(ctx, server, maxReportAgeAtStart)
	if server.notices.hasLeftBefore() {
		g.attempts.end(call.Attempt, pb.AttemptState_ATTEMPT_STATE_NOT_RUN, nil)
		return wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_DRAINING, "the backend server is leaving")
	}
	g.askIfCold(server)
	startedAt, kind := g.limiter.acquire(ctx, slotRequestOf(call))
	if kind != 0 {
		g.attempts.end(call.Attempt, pb.AttemptState_ATTEMPT_STATE_NOT_RUN, nil)
		refusal := wire.ErrorAnswer(kind, "the request wasn't given a slot")
		refusal.RetryAfter = g.limiter.retryAfter()
		g.traceRefusal(call, refusal)
		return refusal
	}
	if current := g.server.Load(); current != server {
		g.limiter.releaseUnused(startedAt, slotRequestOf(call))
		g.attempts.end(call.Attempt, pb.AttemptState_ATTEMPT_STATE_NOT_RUN, nil)
		return wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_NOT_READY, "the backend server was replaced")
	}
	if refusal := g.refuseAfterWait(call); refusal != nil {
		g.limiter.releaseUnused(startedAt, slotRequestOf(call))
		g.attempts.end(call.Attempt, pb.AttemptState_ATTEMPT_STATE_NOT_RUN, nil)
		return refusal
	}
	r := &run{gate: g, server: server, call: call, admittedAt: startedAt, startedAt: time.Now(), slowdownFactor: g.limiter.slowdownFactor()}
	r.suspect = newSuspect(call)
	r.call = r.suspect.watch(call)
	server.crash.requestStarted(r.suspect)
	if call.Hedged {
		g.hedgedRuns.Add(1)
	}
	return r.do(ctx)
}

// refuseAfterWait returns the refusal of a call that a change of the configuration since
// its arrival no longer allows, or nil.
func (g *Gate) refuseAfterWait(call *wire.Call) *wire.Answer {
	switch {
	case g.evacuated.Load(): // the call may have missed RefuseWaiting
		return wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_DRAINING, evacuatedMessage)
	case !g.allowsRegion(call):
		return regionRefusal()
	}
	return g.keyRefusal(call)
}

// mayRepeat reports whether the call may be sent to the backend server once more. A server
// that leaves takes no new work, and the repeat may come seconds after the first request.
func (r *run) mayRepeat() bool {
	return !r.gate.draining.Load() && r.gate.refuseAfterWait(r.call) == nil
}

// slotRequestOf returns the slot request of a call.
func slotRequestOf(call *wire.Call) slotRequest {
	return slotRequest{class: call.Class, organisation: call.Organisation, route: call.Route, target: call.Target, deadline: call.Deadline, attempt: call.Attempt, fingerprint: call.Fingerprint}
}

// run is a call that holds a slot.
type run struct {
	gate      *Gate
	server    *backendServer
	call      *wire.Call
	suspect   *suspect
	startedAt time.Time
	// admittedAt is when the limiter allowed the latest sending of the call.
	admittedAt time.Time
	// slowdownFactor is the server's slowdown factor when the run started.
	slowdownFactor float64
	// kept is the copy of the answer for queries of the attempt; nil: none is kept.
	kept *pb.StoredAnswer
}

func (r *run) do(ctx context.Context) *wire.Answer {
	answer, err := r.send(ctx, false)
	if err != nil && isSilentConnection(err) && r.call.Idempotent && !r.call.Streams() && r.mayRepeat() {
		if startedAt, ok := r.gate.limiter.takeRepeat(); ok {
			r.admittedAt = startedAt
			r.gate.counters.silentConnections.Add(1)
			answer, err = r.send(ctx, true)
		}
	}
	if err != nil {
		return r.failed(ctx, err)
	}
	answer.ServerTime = time.Since(r.startedAt)
	r.gate.recordLoad(answer.Load)
	if !answer.Misdirected { // that is another server's answer
		r.gate.recordNotice(r.server, r.startedAt, answer.Notice, noticeFromAnswer)
	}
	if answer.NotExecuted || answer.Misdirected {
		return r.notExecuted(answer)
	}
	if answer.Body == nil {
		r.startKeptCopy(answer)
		r.complete(answer.Status >= http.StatusInternalServerError)
		return answer
	}
	r.startKeptCopy(answer)
	answer.Body = &answerBody{ReadCloser: answer.Body, run: r, contextErr: ctx.Err, failed: answer.Status >= http.StatusInternalServerError}
	return answer
}

// notExecuted ends a run whose backend server states that it didn't run the
// request.
func (r *run) notExecuted(answer *wire.Answer) *wire.Answer {
	if answer.Body != nil {
		_ = answer.Body.Close() // only the header counts
	}
	r.end(pb.AttemptState_ATTEMPT_STATE_NOT_RUN, nil, runResult{failed: true})
	refusal := wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_OVERLOADED, "the backend server didn't run the request")
	if answer.Misdirected {
		r.gate.limiter.undoStart(r.admittedAt)
		refusal = wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_NOT_READY, "another backend server has the address")
	} else {
		r.gate.counters.shed.Add(1)
	}
	refusal.ReachedServer = true
	return refusal
}

func (r *run) send(ctx context.Context, requireNewConn bool) (*wire.Answer, error) {
	r.gate.counters.arrivals.Add(1)
	return r.server.client.Do(ctx, wire.SendParams{
		Addr:           r.server.Address,
		Call:           r.call,
		Check:          r.check,
		RequireNewConn: requireNewConn,
	})
}

// check decides whether a silent connection to the server is broken. Only an
// idempotent request on a reused connection is given up, after a multiple of the
// mean hold time.
func (r *run) check(_ context.Context, elapsed time.Duration, reused bool) wire.Verdict {
	limit := max(silenceHoldTimeFactor*r.gate.limiter.meanHoldTime(), r.gate.minSilence)
	if reused && r.call.Idempotent && elapsed >= limit {
		return wire.VerdictBroken
	}
	return wire.VerdictWait
}

func isSilentConnection(err error) bool {
	var sendErr *wire.SendError
	return errors.As(err, &sendErr) && sendErr.Silent
}

// failed ends a run that got no answer from the server.
func (r *run) failed(ctx context.Context, err error) *wire.Answer {
	kind, crashed := r.classify(ctx, err)
	if kind == pb.ErrorKind_ERROR_KIND_SERVER_FAILED {
		r.gate.counters.brokenAnswer(err)
	}
	state := pb.AttemptState_ATTEMPT_STATE_UNKNOWN
	if errkind.Of(kind).Run == pb.RunState_RUN_STATE_NO {
		state = pb.AttemptState_ATTEMPT_STATE_NOT_RUN
	}
	r.end(state, nil, runResult{failed: ctx.Err() == nil})
	answer := wire.ErrorAnswer(kind, "the backend server gave no answer")
	answer.Crashed = crashed
	r.gate.traceFailure(r, answer, err)
	return answer
}

func (r *run) classify(ctx context.Context, err error) (kind errkind.Kind, crashed bool) {
	var sendErr *wire.SendError
	if !errors.As(err, &sendErr) {
		return pb.ErrorKind_ERROR_KIND_INTERNAL, false
	}
	switch {
	case !sendErr.Sent && ctx.Err() != nil:
		return pb.ErrorKind_ERROR_KIND_CANCELLED, false
	case !sendErr.Sent:
		if errors.Is(err, syscall.ECONNREFUSED) {
			r.gate.reportDown(r.server)
		}
		return pb.ErrorKind_ERROR_KIND_NOT_READY, false
	case ctx.Err() != nil:
		return pb.ErrorKind_ERROR_KIND_CANCELLED, false
	case !time.Now().Before(r.call.Deadline):
		r.server.client.Retire(r.server.Address)
		return pb.ErrorKind_ERROR_KIND_DEADLINE_AFTER_SEND, false
	}
	crashed = r.gate.handleBrokenConnection(ctx, r.server, r.suspect)
	return pb.ErrorKind_ERROR_KIND_SERVER_FAILED, crashed
}

// startKeptCopy starts the copy of an answer that an entry may query later. Large
// answers aren't kept, nor those to idempotent requests, which can be sent again.
func (r *run) startKeptCopy(answer *wire.Answer) {
	if r.call.Idempotent || answer.BodyBytes > wire.MaxStoredAnswerBytes {
		return
	}
	r.kept = wire.NewStoredAnswer(answer)
}

// complete ends a run whose answer arrived whole.
func (r *run) complete(failed bool) {
	r.server.crash.serverAnswered()
	r.gate.options.Quarantine.ReportSuccess(r.suspect.id())
	r.end(pb.AttemptState_ATTEMPT_STATE_DONE, r.kept, runResult{completed: !failed, failed: failed})
}

func (r *run) end(state pb.AttemptState, answer *pb.StoredAnswer, result runResult) {
	r.gate.attempts.end(r.call.Attempt, state, answer)
	r.server.crash.requestEnded(r.suspect)
	if r.call.Hedged {
		r.gate.hedgedRuns.Add(-1)
	}
	result.class, result.organisation = r.call.Class, r.call.Organisation
	result.route, result.holdTime, result.slowdownFactor = r.call.Route, time.Since(r.startedAt), r.slowdownFactor
	r.gate.limiter.release(result)
}

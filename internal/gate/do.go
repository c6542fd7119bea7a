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
	// silenceFactor is the multiple of the smoothed service time after which a
	// silent connection is taken for broken, but not before minSilence.
	silenceFactor = 8
	minSilence    = 3 * time.Second
)

// Do runs a call at the backend server, or refuses it. The caller closes the
// answer's body. Answers made by the gate have a Kind.
func (g *Gate) Do(ctx context.Context, call *wire.Call) *wire.Answer {
	answer := g.do(ctx, call)
	answer.Load = g.Report()
	g.counts.answer(answer.Kind)
	return answer
}

func (g *Gate) do(ctx context.Context, call *wire.Call) *wire.Answer {
	server, refusal := g.ready(call)
	if refusal != nil {
		return refusal
	}
	if kind := g.attempts.begin(call.Attempt); kind != 0 {
		return wire.Fail(kind, "the attempt came too late")
	}
	g.askServer(ctx, server, startAge)
	if kind := g.limiter.acquire(ctx, slotOf(call)); kind != 0 {
		g.attempts.end(call.Attempt, pb.AttemptState_ATTEMPT_STATE_NOT_RUN, nil)
		refusal := wire.Fail(kind, "the request wasn't given a slot")
		refusal.RetryAfter = g.limiter.retryAfter()
		g.traceRefusal(call, refusal)
		return refusal
	}
	if current := g.server.Load(); current != server {
		g.limiter.giveBack()
		g.attempts.end(call.Attempt, pb.AttemptState_ATTEMPT_STATE_NOT_RUN, nil)
		return wire.Fail(pb.ErrorKind_ERROR_KIND_NOT_READY, "the backend server was replaced")
	}
	r := &run{gate: g, server: server, call: call, begun: time.Now(), stretch: g.limiter.stretch()}
	server.crash.enter(call.Fingerprint)
	return r.do(ctx)
}

// slotOf is what a call asks the limiter for.
func slotOf(call *wire.Call) slot {
	return slot{class: call.Class, route: call.Route, target: call.Target, deadline: call.Deadline}
}

// run is a call that holds a slot.
type run struct {
	gate   *Gate
	server *guarded
	call   *wire.Call
	begun  time.Time
	// stretch is the factor on the usual time of requests that began with this one.
	stretch float64
	// kept collects a copy of the answer; nil: none is kept.
	kept *pb.StoredAnswer
}

func (r *run) do(ctx context.Context) *wire.Answer {
	answer, err := r.send(ctx, false)
	if err != nil && isSilent(err) && r.call.Idempotent && !r.call.Streams() {
		r.gate.counts.silent.Add(1)
		answer, err = r.send(ctx, true)
	}
	if err != nil {
		return r.failed(ctx, err)
	}
	answer.ServerTime = time.Since(r.begun)
	r.gate.noteLoad(answer.Load)
	if answer.NotExecuted || answer.Misdirected {
		return r.notExecuted(answer)
	}
	if answer.Body == nil {
		r.keepHead(answer)
		r.finish(answer.Status >= http.StatusInternalServerError)
		return answer
	}
	r.keepHead(answer)
	answer.Body = &runBody{ReadCloser: answer.Body, run: r, failed: answer.Status >= http.StatusInternalServerError}
	return answer
}

// notExecuted ends a run whose backend server says that it didn't run the request.
func (r *run) notExecuted(answer *wire.Answer) *wire.Answer {
	if answer.Body != nil {
		_ = answer.Body.Close() // only the header counts
	}
	r.end(pb.AttemptState_ATTEMPT_STATE_NOT_RUN, nil, ending{failed: true})
	refusal := wire.Fail(pb.ErrorKind_ERROR_KIND_OVERLOADED, "the backend server didn't run the request")
	if answer.Misdirected {
		refusal = wire.Fail(pb.ErrorKind_ERROR_KIND_NOT_READY, "another backend server has the address")
	} else {
		r.gate.counts.shed.Add(1)
	}
	refusal.Arrived = true
	return refusal
}

func (r *run) send(ctx context.Context, fresh bool) (*wire.Answer, error) {
	return r.server.client.Do(ctx, wire.Sending{
		Addr:  r.server.Address,
		Call:  r.call,
		Check: r.check,
		Fresh: fresh,
	})
}

// check judges a silent connection to the server. Only an idempotent request
// on an old connection is given up, after a multiple of the usual time.
func (r *run) check(_ context.Context, elapsed time.Duration, reused bool) wire.Verdict {
	limit := max(silenceFactor*r.gate.limiter.smoothedLatency(), r.gate.minSilence)
	if reused && r.call.Idempotent && elapsed >= limit {
		return wire.VerdictBroken
	}
	return wire.VerdictWait
}

func isSilent(err error) bool {
	var sendErr *wire.SendError
	return errors.As(err, &sendErr) && sendErr.Silent
}

// failed ends the run without an answer of the server.
func (r *run) failed(ctx context.Context, err error) *wire.Answer {
	kind, crashed := r.classify(ctx, err)
	state := pb.AttemptState_ATTEMPT_STATE_UNKNOWN
	if errkind.Of(kind).Run == pb.RunState_RUN_STATE_NO {
		state = pb.AttemptState_ATTEMPT_STATE_NOT_RUN
	}
	r.end(state, nil, ending{failed: ctx.Err() == nil})
	answer := wire.Fail(kind, "the backend server gave no answer")
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
			r.gate.noteDown(r.server)
		}
		return pb.ErrorKind_ERROR_KIND_NOT_READY, false
	case ctx.Err() != nil:
		return pb.ErrorKind_ERROR_KIND_CANCELLED, false
	case !time.Now().Before(r.call.Deadline):
		r.server.client.Retire(r.server.Address)
		return pb.ErrorKind_ERROR_KIND_DEADLINE_AFTER_SEND, false
	}
	crashed = r.gate.brokenAt(ctx, r.server, r.call.Fingerprint)
	return pb.ErrorKind_ERROR_KIND_SERVER_FAILED, crashed
}

// keepHead begins the copy of an answer that an entry may ask for later.
func (r *run) keepHead(answer *wire.Answer) {
	if r.call.Idempotent || answer.Length > wire.MaxStoredAnswer {
		return
	}
	r.kept = wire.StoreHead(answer)
}

// finish ends the run with a whole answer of the server.
func (r *run) finish(failed bool) {
	r.server.crash.recovered()
	r.gate.options.Quarantine.Succeeded(r.call.Fingerprint)
	r.end(pb.AttemptState_ATTEMPT_STATE_DONE, r.kept, ending{ran: !failed, failed: failed})
}

func (r *run) end(state pb.AttemptState, answer *pb.StoredAnswer, how ending) {
	r.gate.attempts.end(r.call.Attempt, state, answer)
	r.server.crash.leave(r.call.Fingerprint)
	how.route, how.held, how.stretch = r.call.Route, time.Since(r.begun), r.stretch
	r.gate.limiter.release(how)
}

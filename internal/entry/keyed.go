package entry

import (
	"bytes"
	"context"
	"io"
	"time"

	"go.uber.org/zap"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/once"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

const (
	// outcomeReportTimeout limits the report of an outcome to the keeper, the node that
	// decides on the idempotency key. The report continues after the caller disconnects.
	outcomeReportTimeout = 5 * time.Second
	// maxOutcomeReportWait is the longest time that an answer is delayed until the
	// keeper has recorded the outcome.
	maxOutcomeReportWait = 100 * time.Millisecond
)

// serveKeyed runs a non-idempotent request under its idempotency key. It starts anew when
// the request's API key is moved to another organisation before the request is sent.
func (x *exchange) serveKeyed() {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.call.Deadline)
	defer cancel()
	for !x.serveKeyedAs(ctx, x.onceKey()) {
		x.quota = quotaState{}
	}
}

// onceKey returns the idempotency key in the scope of the request's organisation.
func (x *exchange) onceKey() once.Key {
	key := once.Key{Service: x.service.name, Value: x.key, FirstSend: x.firstSend, Scoped: len(x.authenticatedBy.organisations) > 0}
	if x.organisation != nil {
		key.Organisation = x.organisation.name
	}
	return key
}

// serveKeyedAs serves the request under the key. It returns false without an answer if the
// key belongs to another organisation by now and the request hasn't been sent.
func (x *exchange) serveKeyedAs(ctx context.Context, key once.Key) bool {
	decision, err := x.handler.options.Guard.Begin(ctx, key, x.call.Fingerprint)
	if err != nil {
		x.writeAnswer(guardFailure(err, x.firstSend))
		return true
	}
	if decision.Verdict == once.VerdictGranted {
		x.keyInUse = key
		defer func() { x.keyInUse = once.Key{} }()
		return x.runWithGrant(key, decision.Grant)
	}
	// The API key may have been withdrawn or moved while Begin waited for the answer.
	if _, err := x.reauthenticate(); err != nil {
		x.writeAnswer(errorAnswer(err))
		return true
	}
	if x.onceKey() != key {
		return false
	}
	x.w.Header()[wire.HeaderReplayed] = []string{"true"}
	x.writeAnswer(wire.RestoreAnswer(decision.Answer))
	return true
}

// confirmScope fails if the request holds a grant of another organisation's key.
func (x *exchange) confirmScope() error {
	if x.keyInUse == (once.Key{}) || x.keyInUse == x.onceKey() {
		return nil
	}
	return errkind.New(pb.ErrorKind_ERROR_KIND_NOT_READY, "the API key was moved to another organisation")
}

// startsAnew reports whether a request that was refused is served again under the
// idempotency key of the organisation that has its API key by now.
func (x *exchange) startsAnew(answer *wire.Answer) bool {
	authenticated := x.organisation != nil || !x.authenticatedBy.needsKey(x.route)
	return authenticated && x.confirmScope() != nil && !mayHaveRun(answer) && !x.bodyStarted()
}

// guardFailure returns the answer for a Begin that was refused or failed.
func guardFailure(err error, firstSend bool) *wire.Answer {
	if errkind.KindOf(err) == pb.ErrorKind_ERROR_KIND_INTERNAL {
		// This request wasn't sent, but an earlier one with the same key may have been.
		if firstSend {
			return wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_KEEPER_UNAVAILABLE, "the keeper of the idempotency key did not respond")
		}
		return wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, "the keeper of the idempotency key did not respond")
	}
	return errorAnswer(err)
}

// runWithGrant runs the request and reports its outcome in every case, including a
// panic. It returns false without an answer if the request hasn't run and belongs to another
// organisation by now.
func (x *exchange) runWithGrant(key once.Key, grant string) bool {
	outcome := once.Outcome{State: pb.RunState_RUN_STATE_UNKNOWN}
	reported := false
	defer func() {
		if !reported {
			x.reportOutcome(key, grant, outcome)
		}
	}()
	// The caller may resend the request with its key, so a request that isn't streamed
	// runs to completion, limited by its deadline, even if the caller disconnects.
	ctx := x.r.Context()
	if !x.call.Streams() {
		ctx = context.WithoutCancel(ctx)
	}
	answer := x.runUntilStopped(ctx)
	if answer.Kind != 0 {
		outcome.State = errkind.Of(answer.Kind).Run
		x.reportOutcomeAndWait(key, grant, outcome)
		reported = true
		if x.startsAnew(answer) {
			return false
		}
		x.writeAnswer(answer)
		return true
	}
	stored, err := storeAnswer(answer)
	if err != nil {
		x.writeAnswer(truncatedAnswer(answer))
		return true
	}
	completed := once.Outcome{State: pb.RunState_RUN_STATE_YES, Answer: stored}
	if x.regionFilter().IsRestricted() {
		// Keepers hand their keys over to nodes of any region.
		completed.Answer = nil
	}
	if stored != nil {
		x.reportOutcomeAndWait(key, grant, completed)
		reported = true
	}
	x.writeAnswer(answer)
	outcome = completed
	return true
}

// truncatedAnswer returns the error answer that replaces an answer whose body could not
// be read to its end.
func truncatedAnswer(answer *wire.Answer) *wire.Answer {
	_ = answer.Body.Close() // reading the body has already failed
	return wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_ANSWER_CUT, "the backend server's answer was truncated")
}

// storeAnswer returns a copy of a small answer for the keeper and makes the answer's
// body read from that copy. It returns nil if the answer is too large to store.
func storeAnswer(answer *wire.Answer) (*pb.StoredAnswer, error) {
	if answer.BodyBytes > wire.MaxStoredAnswerBytes {
		return nil, nil
	}
	stored := wire.NewStoredAnswer(answer)
	if answer.Body == nil {
		return stored, nil
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, wire.MaxStoredAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	rest := answer.Body
	if len(body) > wire.MaxStoredAnswerBytes {
		answer.Body = readCloser{io.MultiReader(bytes.NewReader(body), rest), rest}
		return nil, nil
	}
	_ = rest.Close() // the body was read completely
	stored.Body = body
	answer.Body = io.NopCloser(bytes.NewReader(body))
	answer.BodyBytes = int64(len(body))
	return stored, nil
}

type readCloser struct {
	io.Reader
	io.Closer
}

// reportOutcomeAndWait reports the outcome and returns when that is done or after
// maxOutcomeReportWait; the report then continues in the background.
func (x *exchange) reportOutcomeAndWait(key once.Key, grant string, outcome once.Outcome) {
	done := make(chan struct{})
	x.handler.inProgress.Add(1)
	go func() {
		defer x.handler.inProgress.Add(-1)
		defer close(done)
		x.reportOutcome(key, grant, outcome)
	}()
	timer := time.NewTimer(maxOutcomeReportWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// reportOutcome reports the outcome to the keeper, even if the caller has
// disconnected.
func (x *exchange) reportOutcome(key once.Key, grant string, outcome once.Outcome) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.r.Context()), outcomeReportTimeout)
	defer cancel()
	err := x.handler.options.Guard.Finish(ctx, key, grant, outcome)
	if err != nil {
		x.handler.metrics.unfinishedKeys.Add(1)
		x.handler.logger.Debug("keeper did not record the outcome of an idempotency key", zap.String("request_id", x.requestID), zap.Error(err))
	}
}

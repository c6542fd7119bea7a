package entry

import (
	"context"
	"errors"
	"time"

	"github.com/egretfield/egretfield/internal/delay"
	"github.com/egretfield/egretfield/internal/gate"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

const (
	// queryTimeout limits one query for the state of an attempt.
	queryTimeout = 500 * time.Millisecond
	// minQueryInterval and maxQueryInterval limit the wait between two queries while
	// the attempt still runs.
	minQueryInterval = 10 * time.Millisecond
	maxQueryInterval = 500 * time.Millisecond
	// maxQueryFailures is the number of queries without a reply after which the state
	// of an attempt is taken to be unknown.
	maxQueryFailures = 2
)

// remoteAttempt is an attempt sent to the gate of another node.
type remoteAttempt struct {
	*sending
	// reply is the attempt's state that the gate reported, or nil.
	reply *pb.AttemptReply
}

// sendRemote sends the request to another node's gate.
func (s *sending) sendRemote(ctx context.Context) *wire.Answer {
	a := &remoteAttempt{sending: s}
	answer, err := s.handler.client.Do(ctx, wire.SendParams{
		Addr:  s.endpoint.GateAddress,
		Call:  s.call,
		Check: a.checkConnection,
	})
	if err != nil {
		return a.failureAnswer(ctx, err)
	}
	if !s.prefetch(answer) {
		return a.failureAnswer(ctx, errAnswerTruncated)
	}
	return answer
}

// checkConnection asks the gate for the state of an attempt whose connection is
// silent. If the gate doesn't reply, only an idempotent request gives the connection
// up. If the gate can't be asked, the attempt waits on. An attempt that has ended may have
// its answer in transit: giving it up at once would run an idempotent request again, and
// lose the answer to any other.
func (a *remoteAttempt) checkConnection(ctx context.Context, _ time.Duration, _ bool) wire.Verdict {
	for range maxQueryFailures {
		if ctx.Err() != nil {
			return wire.VerdictWait // the wait ends, and the connection may be sound
		}
		reply, err := a.query(ctx)
		switch {
		case errors.Is(err, errNoControlClient):
			return wire.VerdictWait
		case err != nil:
			continue
		case reply.State == pb.AttemptState_ATTEMPT_STATE_RUNNING:
			return wire.VerdictWait
		}
		a.reply = reply
		if reply.State == pb.AttemptState_ATTEMPT_STATE_DONE && !reply.AnswerKept {
			return wire.VerdictAnswered
		}
		return wire.VerdictBroken
	}
	if a.call.Idempotent {
		return wire.VerdictBroken
	}
	return wire.VerdictWait
}

// errAnswerTruncated is returned when an answer ended before its declared length.
var errAnswerTruncated = errors.New("answer truncated")

var errNoControlClient = errors.New("no control client, or no control address of the gate")

func (a *remoteAttempt) query(ctx context.Context) (*pb.AttemptReply, error) {
	if a.handler.options.ControlClient == nil || a.endpoint.ControlAddress == "" {
		return nil, errNoControlClient
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	reply := &pb.AttemptReply{}
	query := &pb.AttemptQuery{AttemptId: a.call.Attempt.String()}
	err := a.handler.options.ControlClient.Call(ctx, a.endpoint.ControlAddress, gate.MethodAttempt, query, reply)
	return reply, err
}

// failureAnswer converts the error of a failed attempt into an answer.
func (a *remoteAttempt) failureAnswer(ctx context.Context, err error) *wire.Answer {
	var sendErr *wire.SendError
	switch {
	case errors.As(err, &sendErr) && !sendErr.Sent && ctx.Err() == nil:
		return wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_NOT_READY, "the backend server's node is unreachable")
	case ctx.Err() != nil:
		return wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_CANCELLED, "the caller disconnected")
	case a.streamedBody != nil && a.streamedBody.failed.Load():
		return wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_CANCELLED, "the request body broke off or exceeded the limit after a part was forwarded")
	case !time.Now().Before(a.call.Deadline):
		return wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_DEADLINE_AFTER_SEND, "the deadline passed before the answer arrived")
	}
	a.handler.metrics.lostConnections.Add(1)
	return a.resolveLost(ctx)
}

// resolveLost returns the answer to an attempt whose connection was lost, if the gate
// kept it, or an error answer. It asks the gate for the attempt's state unless that is
// known or the request is idempotent.
func (a *remoteAttempt) resolveLost(ctx context.Context) *wire.Answer {
	if a.reply == nil && !a.call.Idempotent {
		a.reply = a.waitForState(ctx)
	}
	switch a.reply.GetState() {
	case pb.AttemptState_ATTEMPT_STATE_NOT_RUN:
		answer := wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_NOT_READY, "the request did not reach the backend server's gate")
		answer.ConnectionLost = true
		return answer
	case pb.AttemptState_ATTEMPT_STATE_DONE:
		if a.reply.AnswerKept {
			a.handler.metrics.recoveredAnswers.Add(1)
			return wire.RestoreAnswer(a.reply.Answer)
		}
	}
	answer := wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_ANSWER_CUT, "the connection to the backend server's node was lost")
	answer.ConnectionLost = a.reply != nil
	return answer
}

// waitForState queries the gate until the attempt has ended, the deadline has passed or
// maxQueryFailures queries have failed. It returns nil if the state stays unknown.
func (a *remoteAttempt) waitForState(ctx context.Context) *pb.AttemptReply {
	ctx, cancel := context.WithDeadline(ctx, a.call.Deadline)
	defer cancel()
	failures := 0
	for interval := minQueryInterval; ; interval = min(2*interval, maxQueryInterval) {
		reply, err := a.query(ctx)
		if err == nil && reply.State != pb.AttemptState_ATTEMPT_STATE_RUNNING {
			return reply
		}
		if err != nil {
			failures++
		}
		if failures >= maxQueryFailures || errors.Is(err, errNoControlClient) || !delay.Sleep(ctx, interval) {
			return nil
		}
	}
}

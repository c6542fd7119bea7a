package gate

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

// ServeHTTP serves calls from other nodes.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !wire.HasToken(r, g.options.PeerToken) {
		wire.WriteError(w, pb.ErrorKind_ERROR_KIND_UNAUTHENTICATED, "gates serve nodes of the fleet only", "")
		return
	}
	meta, err := wire.ParseMeta(r.Header, time.Now())
	if err != nil {
		wire.WriteError(w, errkind.KindOf(err), err.Error(), "")
		return
	}
	call, err := newCall(r, meta)
	if err != nil {
		// The request body was cut short, so the answer is aborted too.
		panic(http.ErrAbortHandler)
	}
	if call.Streams() {
		_ = http.NewResponseController(w).EnableFullDuplex() // HTTP/2 is always full duplex
	}
	answer := g.Do(r.Context(), call)
	g.write(w, answer, &meta)
	if call.Streams() && !bodyNotRequested(answer) && answer.BodyBytes >= 0 {
		// The end of an answer of unknown length is sent when this function returns; until
		// then the entry goes on sending.
		wire.Linger(w, r.Body)
	}
}

// bodyNotRequested reports whether the answer went out before the entry was told to
// send its request body.
func bodyNotRequested(answer *wire.Answer) bool {
	return answer.Kind != 0 && errkind.Of(answer.Kind).Run == pb.RunState_RUN_STATE_NO
}

// write writes an answer with the headers that gates add.
func (g *Gate) write(w http.ResponseWriter, answer *wire.Answer, meta *wire.Meta) {
	header := w.Header()
	header[wire.HeaderAttempt] = []string{meta.Attempt.String()}
	header[wire.HeaderLoad] = []string{wire.FormatLoad(answer.Load, answer.ServerTime)}
	if answer.Kind == 0 {
		wire.WriteAnswer(w, answer)
		return
	}
	if answer.RetryAfter > 0 {
		header[wire.HeaderRetryAfter] = []string{strconv.FormatInt(answer.RetryAfter.Milliseconds(), 10)}
	}
	if answer.Crashed {
		header[wire.HeaderCrashed] = []string{"1"}
	}
	if answer.ReachedServer {
		header[wire.HeaderArrived] = []string{"1"}
	}
	header[wire.HeaderMessage] = []string{answer.Message}
	wire.WriteError(w, answer.Kind, answer.Message, meta.RequestID)
}

// newCall converts a request from an entry to a call. A body whose sender doesn't
// wait for admission is read at once if it is small.
func newCall(r *http.Request, meta wire.Meta) (*wire.Call, error) {
	call := &wire.Call{
		Meta:      meta,
		Method:    r.Method,
		URI:       r.RequestURI,
		Host:      r.Host,
		Header:    r.Header,
		BodyBytes: r.ContentLength,
	}
	expectsContinue := r.Header.Get("Expect") != ""
	wire.StripHopByHop(r.Header)
	wire.StripInternal(r.Header)
	delete(r.Header, "Content-Length")
	if r.ContentLength == 0 {
		return call, nil
	}
	if expectsContinue || r.ContentLength < 0 || r.ContentLength > wire.MaxHeldBodyBytes {
		call.Body = r.Body
		return call, nil
	}
	call.HeldBody = make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, call.HeldBody)
	return call, err
}

// RPCName is the name under which RPC is registered for control calls.
const RPCName = "Gate"

// MethodAttempt is the control call that queries the state of an attempt.
const MethodAttempt = RPCName + ".Attempt"

// MethodWithdraw is the control call that withdraws a waiting attempt.
const MethodWithdraw = RPCName + ".Withdraw"

// RPC serves the control calls of a gate. It is a receiver for net/rpc.
type RPC struct {
	Gate *Gate
}

// Attempt returns the state of an attempt. An attempt that hasn't arrived is
// recorded as not run and will never run.
func (s RPC) Attempt(query *pb.AttemptQuery, reply *pb.AttemptReply) error {
	id, ok := wire.ParseAttemptID(query.AttemptId)
	if !ok {
		return errkind.New(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "malformed attempt id %q: expected origin-number-incarnation in hexadecimal", query.AttemptId)
	}
	reply.State, reply.Answer = s.Gate.attempts.query(id)
	reply.AnswerKept = reply.Answer != nil
	return nil
}

// Withdraw refuses an attempt that waits for a slot. The state of the reply is NOT_RUN if it
// did, and RUNNING if the attempt doesn't wait. The entry learns from the answer to the
// attempt itself that it wasn't run.
func (s RPC) Withdraw(query *pb.AttemptQuery, reply *pb.AttemptReply) error {
	id, ok := wire.ParseAttemptID(query.AttemptId)
	if !ok {
		return errkind.New(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "malformed attempt id %q: expected origin-number-incarnation in hexadecimal", query.AttemptId)
	}
	reply.State = pb.AttemptState_ATTEMPT_STATE_RUNNING
	if s.Gate.limiter.withdraw(id) {
		reply.State = pb.AttemptState_ATTEMPT_STATE_NOT_RUN
	}
	return nil
}

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

// ServeHTTP serves the calls of other nodes.
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
		// The caller's body was cut; so is the answer.
		panic(http.ErrAbortHandler)
	}
	if call.Streams() {
		_ = http.NewResponseController(w).EnableFullDuplex() // HTTP/2 always is
	}
	answer := g.Do(r.Context(), call)
	g.write(w, answer, &meta)
	if call.Streams() && !waits(answer) {
		wire.Linger(w, r.Body)
	}
}

// waits reports whether the entry was never told to send its body.
func waits(answer *wire.Answer) bool {
	return answer.Kind != 0 && errkind.Of(answer.Kind).Run == pb.RunState_RUN_STATE_NO
}

// write writes an answer with the headers of the gate.
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
	if answer.Arrived {
		header[wire.HeaderArrived] = []string{"1"}
	}
	header[wire.HeaderMessage] = []string{answer.Message}
	wire.WriteError(w, answer.Kind, answer.Message, meta.RequestID)
}

// newCall makes the call of a request from an entry. A body that doesn't wait
// for admission is small and read at once.
func newCall(r *http.Request, meta wire.Meta) (*wire.Call, error) {
	call := &wire.Call{
		Meta:      meta,
		Method:    r.Method,
		URI:       r.RequestURI,
		Host:      r.Host,
		Header:    r.Header,
		BodyBytes: r.ContentLength,
	}
	waits := r.Header.Get("Expect") != ""
	wire.StripHopByHop(r.Header)
	wire.StripInternal(r.Header)
	delete(r.Header, "Content-Length")
	if r.ContentLength == 0 {
		return call, nil
	}
	if waits || r.ContentLength < 0 || r.ContentLength > wire.MaxHeldBody {
		call.Body = r.Body
		return call, nil
	}
	call.Held = make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, call.Held)
	return call, err
}

// RPCName is the name under which RPC is registered for control calls.
const RPCName = "Gate"

// MethodAttempt is the control call that asks what became of an attempt.
const MethodAttempt = RPCName + ".Attempt"

// RPC answers control calls about a gate.
type RPC struct {
	Gate *Gate
}

// Attempt tells what became of an attempt. An attempt never seen is marked
// and will never run.
func (s RPC) Attempt(query *pb.AttemptQuery, reply *pb.AttemptReply) error {
	id, ok := wire.ParseAttemptID(query.AttemptId)
	if !ok {
		return errkind.New(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "attempt id %q is malformed", query.AttemptId)
	}
	reply.State, reply.Answer = s.Gate.attempts.query(id)
	reply.AnswerKept = reply.Answer != nil
	return nil
}

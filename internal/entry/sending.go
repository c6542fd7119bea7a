package entry

import (
	"context"
	"time"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

// sending is one attempt that is sent to a gate. Attempts of a request that run at the
// same time share no mutable state.
type sending struct {
	handler      *Handler
	call         *wire.Call
	streamedBody *callerBody // nil if the body is held or there is none
	endpoint     *balance.Endpoint
	// hasBehind reports whether requests behind this one on the caller's connection are
	// being served; nil: none are.
	hasBehind func() bool
	// prefetchBuffer holds a prefetched answer.
	prefetchBuffer *[]byte
}

// send sends the request to the endpoint's gate, in process if it is the local one.
func (s *sending) send(ctx context.Context) *wire.Answer {
	local := s.handler.options.Local
	if local == nil || s.endpoint.Instance != s.handler.options.Instance {
		return s.sendRemote(ctx)
	}
	answer := local.Do(ctx, s.call)
	if s.prefetch(answer) {
		return answer
	}
	load := answer.Load
	answer = wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_ANSWER_CUT, "the backend server's answer ended before its declared length")
	if !time.Now().Before(s.call.Deadline) {
		answer = wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_DEADLINE_AFTER_SEND, "the deadline passed before the answer was complete")
	}
	answer.Load = load
	return answer
}

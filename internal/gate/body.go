package gate

import (
	"context"
	"io"
	"time"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

// answerBody is the body of a server's answer. It holds the slot until the body has
// been read to its end or closed.
type answerBody struct {
	io.ReadCloser
	run *run
	// contextErr returns the error with which the call's context ended, if it has.
	contextErr func() error
	failed     bool
	ended      bool
}

// Read reads the body. It also copies the body of an answer that is kept for queries
// of the attempt, unless it is too large.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.copyToKept(p[:n])
	switch {
	case b.ended || err == nil:
	case err == io.EOF:
		b.ended = true
		b.run.complete(b.failed)
	default:
		b.handleBroken(err)
	}
	return n, err
}

func (b *answerBody) copyToKept(data []byte) {
	kept := b.run.kept
	if kept == nil {
		return
	}
	if len(kept.Body)+len(data) > wire.MaxStoredAnswerBytes {
		b.run.kept = nil
		return
	}
	kept.Body = append(kept.Body, data...)
}

// handleBroken ends the run after the connection broke in the middle of the answer, or the
// answer took too long.
func (b *answerBody) handleBroken(err error) {
	b.ended = true
	if by := b.run.call.AnswerBy; !by.IsZero() && !time.Now().Before(by) {
		b.run.end(pb.AttemptState_ATTEMPT_STATE_UNKNOWN, nil, runResult{failed: true})
		return
	}
	if b.contextErr() == nil {
		b.run.gate.counters.brokenAnswer(err)
		b.run.gate.traceBrokenOff(b.run, err)
	}
	b.run.gate.handleBrokenConnection(context.Background(), b.run.server, b.run.suspect)
	b.run.end(pb.AttemptState_ATTEMPT_STATE_UNKNOWN, nil, runResult{failed: true})
}

// AwaitByte implements wire.ByteAwaiter.
func (b *answerBody) AwaitByte(until time.Time) bool {
	awaiter, ok := b.ReadCloser.(wire.ByteAwaiter)
	return !ok || awaiter.AwaitByte(until)
}

// Close abandons the rest of the body.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	if !b.ended {
		b.ended = true
		b.run.end(pb.AttemptState_ATTEMPT_STATE_UNKNOWN, nil, runResult{})
	}
	return err
}

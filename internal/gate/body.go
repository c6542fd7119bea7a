package gate

import (
	"context"
	"io"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

// runBody is the body of a server's answer. The slot is free once the body has
// been read or closed.
type runBody struct {
	io.ReadCloser
	run    *run
	failed bool
	ended  bool
}

// Read reads the body and keeps a copy of a small one.
func (b *runBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.keep(p[:n])
	switch {
	case b.ended || err == nil:
	case err == io.EOF:
		b.ended = true
		b.run.finish(b.failed)
	default:
		b.broken()
	}
	return n, err
}

func (b *runBody) keep(data []byte) {
	kept := b.run.kept
	if kept == nil {
		return
	}
	if len(kept.Body)+len(data) > wire.MaxStoredAnswer {
		b.run.kept = nil
		return
	}
	kept.Body = append(kept.Body, data...)
}

// broken ends the run: the server's answer was cut.
func (b *runBody) broken() {
	b.ended = true
	b.run.gate.brokenAt(context.Background(), b.run.server, b.run.call.Fingerprint)
	b.run.end(pb.AttemptState_ATTEMPT_STATE_UNKNOWN, nil, ending{failed: true})
}

// Close gives up the rest of the body.
func (b *runBody) Close() error {
	err := b.ReadCloser.Close()
	if !b.ended {
		b.ended = true
		b.run.end(pb.AttemptState_ATTEMPT_STATE_UNKNOWN, nil, ending{})
	}
	return err
}

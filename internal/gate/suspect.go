package gate

import (
	"io"

	"github.com/egretfield/egretfield/internal/quarantine"
	"github.com/egretfield/egretfield/internal/wire"
)

// suspect is a request as package quarantine knows it.
type suspect struct {
	fingerprint uint64
	// body computes the fingerprint of a request whose body is streamed; nil for others.
	body *quarantine.BodyDigest
}

// newSuspect returns the suspect of a call. The body of a call that streams it must be read
// through watch.
func newSuspect(call *wire.Call) *suspect {
	s := &suspect{fingerprint: call.Fingerprint}
	if call.Streams() {
		s.body = quarantine.NewBodyDigest(call.Fingerprint)
	}
	return s
}

// id returns the fingerprint; 0 while it is unknown.
func (s *suspect) id() uint64 {
	if s.body != nil {
		return s.body.Fingerprint()
	}
	return s.fingerprint
}

// watch returns the call with a body that passes through the digest.
func (s *suspect) watch(call *wire.Call) *wire.Call {
	if s.body == nil {
		return call
	}
	watched := *call
	watched.Body = &watchedBody{Reader: call.Body, digest: s.body}
	return &watched
}

// watchedBody is a streamed body that passes through a digest.
type watchedBody struct {
	io.Reader
	digest *quarantine.BodyDigest
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.digest.Add(p[:n])
	if err == io.EOF {
		b.digest.End()
	}
	return n, err
}

// Claim implements wire.Claimer.
func (b *watchedBody) Claim() {
	if claimer, ok := b.Reader.(wire.Claimer); ok {
		claimer.Claim()
	}
}

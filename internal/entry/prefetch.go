package entry

import (
	"bytes"
	"io"
	"sync"

	"github.com/egretfield/egretfield/internal/wire"
)

// maxPrefetchBytes is the largest answer that is read completely before it is
// forwarded. Truncation is then noticed while the request can still be retried.
const maxPrefetchBytes = 16 << 10

var prefetchBuffers = sync.Pool{New: func() any {
	buf := make([]byte, maxPrefetchBytes)
	return &buf
}}

// prefetch reads the body of a small answer into memory. It returns false and closes
// the body if the answer was truncated.
func (s *sending) prefetch(answer *wire.Answer) bool {
	if answer.Kind != 0 || answer.Body == nil || answer.BodyBytes <= 0 || answer.BodyBytes > maxPrefetchBytes {
		return true
	}
	if s.prefetchBuffer == nil {
		s.prefetchBuffer = prefetchBuffers.Get().(*[]byte)
	}
	body := (*s.prefetchBuffer)[:answer.BodyBytes]
	_, err := io.ReadFull(answer.Body, body)
	_ = answer.Body.Close() // the body was read completely or failed
	if err != nil {
		return false
	}
	answer.Body = io.NopCloser(bytes.NewReader(body))
	return true
}

func (s *sending) releasePrefetchBuffer() {
	if s.prefetchBuffer != nil {
		prefetchBuffers.Put(s.prefetchBuffer)
		s.prefetchBuffer = nil
	}
}

package entry

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/egretfield/egretfield/internal/wire"
)

const (
	// maxPrefetchBytes is the largest answer that is always read completely before it is
	// forwarded. Truncation is then noticed while the request can still be retried.
	maxPrefetchBytes = 16 << 10
	// maxHeldAnswerBytes is the same limit while requests behind this one on the caller's
	// connection are being served: their answers are lost with the connection if this answer
	// breaks off after its first byte.
	maxHeldAnswerBytes = 64 << 10
	// maxHoldTime limits the time for which an answer of unknown length is held for that.
	maxHoldTime = 200 * time.Millisecond
)

var prefetchBuffers = sync.Pool{New: func() any {
	buf := make([]byte, maxPrefetchBytes)
	return &buf
}}

// prefetch reads the body of a small answer into memory, and that of a longer one or one of
// unknown length if requests behind this one depend on it. It returns false and closes the
// body if the answer was truncated.
func (s *sending) prefetch(answer *wire.Answer) bool {
	switch {
	case answer.Kind != 0 || answer.Body == nil || answer.BodyBytes == 0:
		return true
	case answer.BodyBytes > 0 && answer.BodyBytes <= maxPrefetchBytes:
		if s.prefetchBuffer == nil {
			s.prefetchBuffer = prefetchBuffers.Get().(*[]byte)
		}
		return readWhole(answer, (*s.prefetchBuffer)[:answer.BodyBytes])
	case answer.BodyBytes > maxHeldAnswerBytes || s.hasBehind == nil || !s.hasBehind():
		return true
	case answer.BodyBytes > 0:
		return readWhole(answer, make([]byte, answer.BodyBytes))
	}
	return hold(answer)
}

// readWhole reads the body of an answer into buf, which has its length.
func readWhole(answer *wire.Answer, buf []byte) bool {
	_, err := io.ReadFull(answer.Body, buf)
	_ = answer.Body.Close() // the body was read completely or failed
	answer.Body = io.NopCloser(bytes.NewReader(buf))
	return err == nil
}

// hold reads the body of an answer of unknown length, up to its end, maxHeldAnswerBytes or
// a pause that lasts until maxHoldTime is over. The rest is forwarded as it comes.
func hold(answer *wire.Answer) bool {
	body := answer.Body
	awaiter, canWait := body.(wire.ByteAwaiter)
	until := time.Now().Add(maxHoldTime)
	buf := make([]byte, 0, maxPrefetchBytes/4)
	for canWait && len(buf) < maxHeldAnswerBytes && awaiter.AwaitByte(until) {
		if len(buf) == cap(buf) {
			buf = append(make([]byte, 0, 2*cap(buf)), buf...)
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == nil {
			continue
		}
		_ = body.Close() // the body was read completely or failed
		answer.Body = io.NopCloser(bytes.NewReader(buf))
		return err == io.EOF
	}
	answer.Body = readCloser{io.MultiReader(bytes.NewReader(buf), body), body}
	return true
}

func (s *sending) releasePrefetchBuffer() {
	if s.prefetchBuffer != nil {
		prefetchBuffers.Put(s.prefetchBuffer)
		s.prefetchBuffer = nil
	}
}

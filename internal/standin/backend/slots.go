package backend

import (
	"context"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

var errShed = eris.New("no slot free and the queue is full")

// slots limits the number of requests that run at the same time and of those that
// wait to run.
type slots struct {
	free       chan struct{}
	queueLimit int64
	waiting    atomic.Int64
}

func newSlots(count, queueLimit int) *slots {
	s := &slots{free: make(chan struct{}, count), queueLimit: int64(queueLimit)}
	for range count {
		s.free <- struct{}{}
	}
	return s
}

// acquire takes a slot, which release gives back. It waits for one unless the queue is
// full; a negative queueLimit is no limit.
func (s *slots) acquire(ctx context.Context) error {
	select {
	case <-s.free:
		return nil
	default:
	}
	waiting := s.waiting.Add(1)
	defer s.waiting.Add(-1)
	if s.queueLimit >= 0 && waiting > s.queueLimit {
		return errShed
	}
	select {
	case <-s.free:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *slots) release() {
	s.free <- struct{}{}
}

// inUse returns the number of slots taken.
func (s *slots) inUse() int {
	return cap(s.free) - len(s.free)
}

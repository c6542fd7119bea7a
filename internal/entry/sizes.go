package entry

import "sync/atomic"

// sizeWeight is the share of the newest sample in a mean size, one part in so many.
const sizeWeight = 8

// sizes is a moving mean of lengths in bytes. Safe for concurrent use; racing
// samples may be lost.
type sizes struct {
	value atomic.Int64
}

func (s *sizes) add(bytes int64) {
	old := s.value.Load()
	s.value.Store(old + (bytes-old)/sizeWeight)
}

func (s *sizes) mean() int64 { return s.value.Load() }

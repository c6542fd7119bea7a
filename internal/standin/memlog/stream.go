package memlog

import (
	"bytes"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/egretfield/egretfield/internal/platformlog"
)

// stream is one stream of records, in offset order.
type stream struct {
	options Options

	mu      sync.Mutex
	records []platformlog.Record
	first   int64
	next    int64
	// appended is closed and replaced by the next append.
	appended chan struct{}
}

func newStream(options Options) *stream {
	return &stream{
		options:  options,
		first:    platformlog.FirstOffset,
		next:     platformlog.FirstOffset,
		appended: make(chan struct{}),
	}
}

func (s *stream) append(data []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := s.next
	s.records = append(s.records, platformlog.Record{Offset: offset, Time: time.Now(), Data: bytes.Clone(data)})
	s.next++
	s.expire()
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// read returns up to max records starting at offset from, and a channel that is
// closed by the next append.
func (s *stream) read(from int64, max int) ([]platformlog.Record, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if from < s.first {
		return nil, nil, eris.Wrapf(platformlog.ErrTrimmed, "offset %d is before the first record kept, %d", from, s.first)
	}
	if from >= s.next || max <= 0 {
		return nil, s.appended, nil
	}
	end := min(s.next, from+int64(max))
	records := make([]platformlog.Record, 0, end-from)
	for _, record := range s.records[from-s.first : end-s.first] {
		record.Data = bytes.Clone(record.Data)
		records = append(records, record)
	}
	return records, s.appended, nil
}

func (s *stream) bounds() platformlog.Bounds {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return platformlog.Bounds{First: s.first, Next: s.next}
}

func (s *stream) trim(before int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropBefore(min(before, s.next))
}

// expire drops the records that are past the retention limits. s.mu must be held.
func (s *stream) expire() {
	if keep := s.options.KeepRecords; keep > 0 {
		s.dropBefore(s.next - int64(keep))
	}
	if s.options.KeepFor <= 0 {
		return
	}
	cutoff := time.Now().Add(-s.options.KeepFor)
	expired := 0
	for expired < len(s.records) && s.records[expired].Time.Before(cutoff) {
		expired++
	}
	s.dropBefore(s.first + int64(expired))
}

// dropBefore drops the records before an offset. s.mu must be held.
func (s *stream) dropBefore(offset int64) {
	if offset <= s.first {
		return
	}
	count := offset - s.first
	clear(s.records[:count])
	s.records = s.records[count:]
	s.first = offset
}

package gate

import (
	"math"
	"sync"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

// Default limits of the attempts that a gate keeps.
const (
	// DefaultMaxAttemptRecords is the number of attempts whose state is kept.
	DefaultMaxAttemptRecords = 1 << 14
	// DefaultMaxTotalAnswerBytes bounds the total size of the answers kept, in bytes.
	DefaultMaxTotalAnswerBytes = 4 << 20

	attemptShards = 16
	// maxOrigins bounds the number of origins with a floor in each shard.
	maxOrigins = 1 << 10
)

// attemptKey identifies an attempt by the entry process that sent it, its origin,
// and its number there.
type attemptKey struct {
	origin uint64
	number uint64
}

// attemptRecord is what is kept of an attempt.
type attemptRecord struct {
	state  pb.AttemptState
	answer *pb.StoredAnswer
	bytes  int
}

// originFloor is the highest number among the evicted attempts of an origin.
type originFloor struct {
	number   uint64
	raisedAt uint64 // attemptShard.raises at the last update
}

// attempts keeps the state of recent attempts; an attempt is one sending of a
// request by an entry to a gate. A query for an attempt that hasn't arrived records
// it as not run, so that it never runs. The numbers of an origin increase, so a
// floor for each origin tells evicted attempts from those that haven't arrived. Safe
// for concurrent use.
type attempts struct {
	incarnation uint64
	shards      [attemptShards]attemptShard
}

type attemptShard struct {
	mu            sync.Mutex
	records       map[attemptKey]*attemptRecord
	order         []attemptKey // oldest first
	floors        map[uint64]originFloor
	raises        uint64 // number of updates of floors
	floorsEvicted bool   // the floors of some origins were evicted
	bytes         int
	maxCount      int
	maxBytes      int
}

func newAttempts(incarnation uint64, maxCount, maxBytes int) *attempts {
	if maxCount == 0 {
		maxCount = DefaultMaxAttemptRecords
	}
	if maxBytes == 0 {
		maxBytes = DefaultMaxTotalAnswerBytes
	}
	a := &attempts{incarnation: incarnation}
	for i := range a.shards {
		a.shards[i] = attemptShard{
			records:  make(map[attemptKey]*attemptRecord),
			floors:   make(map[uint64]originFloor),
			maxCount: max(maxCount/attemptShards, 1),
			maxBytes: max(maxBytes/attemptShards, wire.MaxStoredAnswerBytes),
		}
	}
	return a
}

func (a *attempts) shard(id wire.AttemptID) (*attemptShard, attemptKey) {
	return &a.shards[id.Number%attemptShards], attemptKey{id.Origin, id.Number}
}

// begin admits an attempt and returns 0, or the kind of the refusal. An attempt
// that was already reported as not run is refused as not run. So is one without a
// record whose number isn't above its origin's floor: entries send an attempt only
// once, so it hasn't run before. For an attempt that has already arrived the outcome
// is unknown.
func (a *attempts) begin(id wire.AttemptID) errkind.Kind {
	s, key := a.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[key]; r != nil {
		if r.state == pb.AttemptState_ATTEMPT_STATE_NOT_RUN {
			return pb.ErrorKind_ERROR_KIND_NOT_READY
		}
		return pb.ErrorKind_ERROR_KIND_SERVER_FAILED
	}
	if floor, ok := s.floors[key.origin]; ok && key.number <= floor.number {
		return pb.ErrorKind_ERROR_KIND_NOT_READY
	}
	s.addLocked(key, pb.AttemptState_ATTEMPT_STATE_RUNNING)
	return 0
}

// end records the outcome of an admitted attempt. The answer may be nil.
func (a *attempts) end(id wire.AttemptID, state pb.AttemptState, answer *pb.StoredAnswer) {
	s, key := a.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[key]
	if r == nil || r.state != pb.AttemptState_ATTEMPT_STATE_RUNNING {
		return
	}
	r.state = state
	if answer == nil {
		return
	}
	r.answer = answer
	r.bytes = storedSize(answer)
	s.bytes += r.bytes
	s.trimLocked()
}

// query returns the state of an attempt, and its answer if it was kept.
func (a *attempts) query(id wire.AttemptID) (pb.AttemptState, *pb.StoredAnswer) {
	if id.Incarnation != a.incarnation {
		return pb.AttemptState_ATTEMPT_STATE_UNKNOWN, nil
	}
	s, key := a.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[key]; r != nil {
		return r.state, r.answer
	}
	if s.evictedLocked(key) {
		return pb.AttemptState_ATTEMPT_STATE_UNKNOWN, nil
	}
	s.addLocked(key, pb.AttemptState_ATTEMPT_STATE_NOT_RUN)
	return pb.AttemptState_ATTEMPT_STATE_NOT_RUN, nil
}

// evictedLocked reports whether key may have been recorded and evicted.
func (s *attemptShard) evictedLocked(key attemptKey) bool {
	floor, ok := s.floors[key.origin]
	if !ok {
		return s.floorsEvicted
	}
	return key.number <= floor.number
}

func (s *attemptShard) addLocked(key attemptKey, state pb.AttemptState) {
	s.records[key] = &attemptRecord{state: state}
	s.order = append(s.order, key)
	s.trimLocked()
}

// trimLocked evicts the oldest attempts until the limits hold. Attempts still
// running are kept: slots and queue bound their number.
func (s *attemptShard) trimLocked() {
	for range len(s.order) {
		if len(s.order) <= s.maxCount && s.bytes <= s.maxBytes {
			return
		}
		oldest := s.order[0]
		s.order = s.order[1:]
		if s.records[oldest].state == pb.AttemptState_ATTEMPT_STATE_RUNNING {
			s.order = append(s.order, oldest)
			continue
		}
		s.evictLocked(oldest)
	}
}

func (s *attemptShard) evictLocked(key attemptKey) {
	s.bytes -= s.records[key].bytes
	delete(s.records, key)
	if _, ok := s.floors[key.origin]; !ok && len(s.floors) >= maxOrigins {
		s.evictFloorLocked()
	}
	s.raises++
	s.floors[key.origin] = originFloor{max(s.floors[key.origin].number, key.number), s.raises}
}

// evictFloorLocked evicts the floor that has gone longest without being raised.
func (s *attemptShard) evictFloorLocked() {
	s.floorsEvicted = true
	var oldest uint64
	least := uint64(math.MaxUint64)
	for origin, floor := range s.floors {
		if floor.raisedAt < least {
			oldest, least = origin, floor.raisedAt
		}
	}
	delete(s.floors, oldest)
}

func storedSize(answer *pb.StoredAnswer) int {
	n := len(answer.Body)
	for _, field := range answer.Header {
		n += len(field.Name)
		for _, value := range field.Values {
			n += len(value)
		}
	}
	return n
}

package shard

import (
	"iter"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// MaxLead is how far past the append time of its record an interval may
	// end. Records with a later end are void.
	MaxLead = 65 * time.Minute
	// maxPast is the number of earlier intervals kept for each shard.
	maxPast = 4
)

// Interval is a range of timestamps [Begin, End) of one shard with one keeper.
type Interval struct {
	Begin Timestamp
	End   Timestamp
	// Owner is the id of the session that keeps the interval. Zero: none.
	Owner uint64
	// Transfer is the id of the handover that gave it to the owner. Zero: a
	// takeover.
	Transfer uint64
}

// Contains reports whether the timestamp lies in the interval.
func (i Interval) Contains(timestamp Timestamp) bool {
	return i.Begin <= timestamp && timestamp < i.End
}

// Session is one start of a process that keeps keys.
type Session struct {
	ID          uint64
	Instance    string
	Incarnation uint64
}

type shardIntervals struct {
	current Interval
	past    []Interval
}

// State is the result of applying the records of the keeper stream up to an
// offset. Every node that applies the same records has the same intervals. Not
// safe for concurrent use.
type State struct {
	folded int64
	// known is false until the records read determine the state.
	known    bool
	shards   [Count]shardIntervals
	sessions map[uint64]Session
	owned    map[uint64]map[uint32]struct{}

	witnessings map[uint64]Witnessing
	// witnessFloor is the time up to which Witness records are void.
	witnessFloor Timestamp

	// scanFrom is the first offset read while the state wasn't known.
	scanFrom Offset
	// greatestEnd is the greatest end in the records since scanFrom.
	greatestEnd Timestamp
	// snapshotNext is the first offset that a reader of the latest snapshot
	// needs. Zero: no snapshot read.
	snapshotNext Offset
	snapshotTime time.Time
	// resetRefused is set when a reset was void in this known state although
	// its writer had no snapshot to start from.
	resetRefused bool
}

// Offset is a position in the keeper stream.
type Offset = int64

// NewState returns the state before the first record to apply, the one at
// offset first. The state is known only if the stream starts there.
func NewState(first Offset) *State {
	s := &State{scanFrom: first, folded: first - 1}
	s.clear()
	s.known = first <= 1
	return s
}

func (s *State) clear() {
	s.shards = [Count]shardIntervals{}
	s.sessions = make(map[uint64]Session)
	s.owned = make(map[uint64]map[uint32]struct{})
	s.witnessings = make(map[uint64]Witnessing)
	s.witnessFloor = 0
}

// Known reports whether the records read determine the intervals.
func (s *State) Known() bool { return s.known }

// Folded returns the offset of the last record applied.
func (s *State) Folded() Offset { return s.folded }

// Current returns the present interval of shard.
func (s *State) Current(shard uint32) Interval { return s.shards[shard].current }

// Find returns the interval of shard that contains the timestamp, past ones
// included.
func (s *State) Find(shard uint32, timestamp Timestamp) (Interval, bool) {
	intervals := &s.shards[shard]
	if intervals.current.Contains(timestamp) {
		return intervals.current, true
	}
	for _, interval := range slices.Backward(intervals.past) {
		if interval.Contains(timestamp) {
			return interval, true
		}
	}
	return Interval{}, false
}

// Session returns the session with the id.
func (s *State) Session(id uint64) (Session, bool) {
	session, ok := s.sessions[id]
	return session, ok
}

// Sessions returns the sessions to which intervals may refer.
func (s *State) Sessions() iter.Seq[Session] { return maps.Values(s.sessions) }

// Owned returns the shards whose present interval the session keeps.
func (s *State) Owned(session uint64) []uint32 {
	shards := make([]uint32, 0, len(s.owned[session]))
	for shard := range s.owned[session] {
		shards = append(shards, shard)
	}
	slices.Sort(shards)
	return shards
}

// EarliestEnd returns the earliest end of the session's present intervals, and
// false if it has none.
func (s *State) EarliestEnd(session uint64) (Timestamp, bool) {
	earliest := Timestamp(math.MaxUint64)
	for shard := range s.owned[session] {
		earliest = min(earliest, s.shards[shard].current.End)
	}
	return earliest, len(s.owned[session]) > 0
}

// Keeps reports whether the session is the keeper of the named interval, present
// or past. The shard, begin and transfer of named identify it.
func (s *State) Keeps(session uint64, named *pb.KeeperInterval) bool {
	intervals := &s.shards[named.Shard%Count]
	if intervals.current.matches(session, named) {
		return true
	}
	return slices.ContainsFunc(intervals.past, func(past Interval) bool { return past.matches(session, named) })
}

// SnapshotTime returns the append time of the last snapshot, or of the first
// record applied if no snapshot was read.
func (s *State) SnapshotTime() time.Time { return s.snapshotTime }

// ResetRefused reports whether a reset was void since the last snapshot, so
// that its writer needs a snapshot.
func (s *State) ResetRefused() bool { return s.resetRefused }

// ResetRecord returns the record that resets the stream, for a state that is
// still unknown after every record has been read.
func (s *State) ResetRecord(now time.Time) *pb.KeeperReset {
	floor := max(s.greatestEnd, uint64(now.UnixMilli()))
	return &pb.KeeperReset{First: s.scanFrom, FloorMs: floor}
}

func (s *State) setOwner(shard uint32, owner uint64) {
	intervals := &s.shards[shard]
	delete(s.owned[intervals.current.Owner], shard)
	if len(s.owned[intervals.current.Owner]) == 0 {
		delete(s.owned, intervals.current.Owner)
	}
	intervals.current.Owner = owner
	if owner == 0 {
		return
	}
	if s.owned[owner] == nil {
		s.owned[owner] = make(map[uint32]struct{})
	}
	s.owned[owner][shard] = struct{}{}
}

func (s *State) archiveCurrent(shard uint32) {
	intervals := &s.shards[shard]
	if intervals.current.Begin == intervals.current.End {
		return
	}
	intervals.past = append(intervals.past, intervals.current)
	if len(intervals.past) > maxPast {
		intervals.past = slices.Delete(intervals.past, 0, len(intervals.past)-maxPast)
	}
}

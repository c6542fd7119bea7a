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
	// MaxLead is how far an interval may end after the append time of the
	// record that sets its end. Records beyond it are void.
	MaxLead = 65 * time.Minute
	// maxPast is the number of earlier intervals kept for each shard.
	maxPast = 4
)

// Interval is a range of labels [Begin, End) of one shard with one keeper.
type Interval struct {
	Begin Timestamp
	End   Timestamp
	// Owner is the id of the session that keeps it. Zero: none.
	Owner uint64
	// Transfer is the handover that gave it to the owner. Zero: a takeover.
	Transfer uint64
}

// Contains reports whether label lies in the interval.
func (i Interval) Contains(timestamp Timestamp) bool {
	return i.Begin <= timestamp && timestamp < i.End
}

// Session is one start of a process that keeps keys.
type Session struct {
	ID          uint64
	Instance    string
	Incarnation uint64
}

type line struct {
	current Interval
	past    []Interval
}

// State is the fold of the keeper stream up to an offset. Every node that
// folds the same records holds the same intervals. Not safe for concurrent use.
type State struct {
	folded int64
	// known is false until the state follows from the records read.
	known    bool
	lines    [Count]line
	sessions map[uint64]Session
	owned    map[uint64]map[uint32]struct{}

	witnessings map[uint64]Witnessing
	// witnessFloor is the time at or before which Witness records are void.
	witnessFloor Timestamp

	// scanFrom is the first offset read while the state wasn't known.
	scanFrom Offset
	// greatestEnd is the greatest end in the records since scanFrom.
	greatestEnd Timestamp
	// snapshotNext is the first offset that a reader of the latest snapshot
	// needs. Zero: no snapshot seen.
	snapshotNext Offset
	snapshotTime time.Time
	// resetRefused is set when a reset was void because this state is known.
	resetRefused bool
}

// Offset is a place in the keeper stream.
type Offset = int64

// NewState returns the state before the first record that will be applied,
// the one at offset first. The state is known only if the stream starts there.
func NewState(first Offset) *State {
	s := &State{scanFrom: first, folded: first - 1}
	s.clear()
	s.known = first <= 1
	return s
}

func (s *State) clear() {
	s.lines = [Count]line{}
	s.sessions = make(map[uint64]Session)
	s.owned = make(map[uint64]map[uint32]struct{})
	s.witnessings = make(map[uint64]Witnessing)
	s.witnessFloor = 0
}

// Known reports whether the intervals follow from the records read.
func (s *State) Known() bool { return s.known }

// Folded returns the offset of the last record applied.
func (s *State) Folded() Offset { return s.folded }

// Current returns the present interval of shard.
func (s *State) Current(shard uint32) Interval { return s.lines[shard].current }

// Find returns the interval of shard that contains label, past ones included.
func (s *State) Find(shard uint32, timestamp Timestamp) (Interval, bool) {
	l := &s.lines[shard]
	if l.current.Contains(timestamp) {
		return l.current, true
	}
	for _, interval := range slices.Backward(l.past) {
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

// Sessions returns the sessions that intervals may name.
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

// EarliestEnd returns the first end of the session's present intervals, and
// false if it has none.
func (s *State) EarliestEnd(session uint64) (Timestamp, bool) {
	earliest := Timestamp(math.MaxUint64)
	for shard := range s.owned[session] {
		earliest = min(earliest, s.lines[shard].current.End)
	}
	return earliest, len(s.owned[session]) > 0
}

// Keeps reports whether the session keeps the interval of shard that began at
// begin and came to it by transfer.
func (s *State) Keeps(session uint64, named *pb.KeeperInterval) bool {
	l := &s.lines[named.Shard%Count]
	if l.current.isTenure(session, named) {
		return true
	}
	return slices.ContainsFunc(l.past, func(past Interval) bool { return past.isTenure(session, named) })
}

// SnapshotTime returns the append time of the last snapshot, or of the first
// record applied when none was seen.
func (s *State) SnapshotTime() time.Time { return s.snapshotTime }

// ResetRefused reports whether a reset was void since the last snapshot: its
// writer lacks a snapshot.
func (s *State) ResetRefused() bool { return s.resetRefused }

// ResetRecord returns the record that starts the stream anew, for a state that is
// still unknown when every record has been read.
func (s *State) ResetRecord(now time.Time) *pb.KeeperReset {
	floor := max(s.greatestEnd, uint64(now.UnixMilli()))
	return &pb.KeeperReset{First: s.scanFrom, FloorMs: floor}
}

func (s *State) setOwner(shard uint32, owner uint64) {
	l := &s.lines[shard]
	delete(s.owned[l.current.Owner], shard)
	if len(s.owned[l.current.Owner]) == 0 {
		delete(s.owned, l.current.Owner)
	}
	l.current.Owner = owner
	if owner == 0 {
		return
	}
	if s.owned[owner] == nil {
		s.owned[owner] = make(map[uint32]struct{})
	}
	s.owned[owner][shard] = struct{}{}
}

func (s *State) pushPast(shard uint32) {
	l := &s.lines[shard]
	if l.current.Begin == l.current.End {
		return
	}
	l.past = append(l.past, l.current)
	if len(l.past) > maxPast {
		l.past = slices.Delete(l.past, 0, len(l.past)-maxPast)
	}
}

package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/egretfield/egretfield/internal/pb"
)

// Snapshot returns the state as a message. The state must be known.
func (s *State) Snapshot() *pb.KeeperState {
	snapshot := &pb.KeeperState{
		FoldedThrough:  s.folded,
		SnapshotNext:   s.snapshotNext,
		SnapshotUnixMs: s.snapshotTime.UnixMilli(),
		Witnessings:    s.witnessingMessages(),
		WitnessFloorMs: s.witnessFloor,
	}
	used := s.witnesses()
	for shard := range s.shards {
		intervals := &s.shards[shard]
		if intervals.current.End == 0 {
			continue
		}
		snapshot.Current = append(snapshot.Current, intervalMessage(uint32(shard), intervals.current))
		used[intervals.current.Owner] = true
		for _, past := range intervals.past {
			snapshot.Past = append(snapshot.Past, intervalMessage(uint32(shard), past))
			used[past.Owner] = true
		}
	}
	for id, session := range s.sessions {
		if used[id] {
			snapshot.Sessions = append(snapshot.Sessions, SessionMessage(session))
		}
	}
	slices.SortFunc(snapshot.Sessions, func(a, b *pb.KeeperSession) int {
		return cmp.Compare(a.Id, b.Id)
	})
	return snapshot
}

// witnesses returns the sessions that may fence others.
func (s *State) witnesses() map[uint64]bool {
	sessions := make(map[uint64]bool)
	for _, w := range s.witnessings {
		sessions[w.Witness] = true
	}
	return sessions
}

// PruneSessions removes the sessions that no interval and no witnessing refers
// to.
func (s *State) PruneSessions() {
	used := s.witnesses()
	for i := range s.shards {
		used[s.shards[i].current.Owner] = true
		for _, past := range s.shards[i].past {
			used[past.Owner] = true
		}
	}
	maps.DeleteFunc(s.sessions, func(id uint64, _ Session) bool { return !used[id] })
}

// Load replaces the state by a snapshot and makes it known. The next record to
// apply is the one after the snapshot's FoldedThrough.
func (s *State) Load(snapshot *pb.KeeperState) {
	s.clear()
	s.known = true
	s.folded = snapshot.FoldedThrough
	s.snapshotNext = snapshot.SnapshotNext
	s.snapshotTime = time.UnixMilli(snapshot.SnapshotUnixMs)
	s.loadWitnessings(snapshot.Witnessings)
	s.witnessFloor = snapshot.WitnessFloorMs
	for _, session := range snapshot.Sessions {
		s.addSession(session)
	}
	for _, message := range snapshot.Current {
		if message.Shard >= Count {
			continue
		}
		s.setOwner(message.Shard, message.Owner)
		s.shards[message.Shard].current = intervalOf(message)
	}
	for _, message := range snapshot.Past {
		if message.Shard >= Count {
			continue
		}
		intervals := &s.shards[message.Shard]
		intervals.past = append(intervals.past, intervalOf(message))
	}
}

// SessionMessage returns session as a message.
func SessionMessage(session Session) *pb.KeeperSession {
	return &pb.KeeperSession{
		Id:          session.ID,
		Instance:    session.Instance,
		Incarnation: session.Incarnation,
	}
}

func intervalOf(message *pb.KeeperInterval) Interval {
	return Interval{
		Begin:    message.BeginMs,
		End:      message.EndMs,
		Owner:    message.Owner,
		Transfer: message.Transfer,
	}
}

func intervalMessage(shard uint32, interval Interval) *pb.KeeperInterval {
	return &pb.KeeperInterval{
		Shard:    shard,
		BeginMs:  interval.Begin,
		EndMs:    interval.End,
		Owner:    interval.Owner,
		Transfer: interval.Transfer,
	}
}

package shard

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
)

// witnessRetention is how long the epoch of a session without intervals is
// kept. It is longer than a Witness record may be delayed.
const witnessRetention = 3 * time.Hour

// Witnessing describes the witness that may fence a session.
type Witnessing struct {
	// Epoch increases with each change of the witness.
	Epoch uint64
	// Witness is the id of the session that may fence it. Zero: none.
	Witness uint64
	// Fenced is the offset of the last fence. Zero: none.
	Fenced Offset
	// changed is the append time of the last record that changed it.
	changed time.Time
}

// Witnessing returns the witnessing of the session.
func (s *State) Witnessing(session uint64) Witnessing { return s.witnessings[session] }

// WitnessFloor returns the time up to which Witness records are void.
func (s *State) WitnessFloor() Timestamp { return s.witnessFloor }

// Witnessings returns the witnessings by session.
func (s *State) Witnessings() iter.Seq2[uint64, Witnessing] { return maps.All(s.witnessings) }

// setWitness applies a Witness record. It is void if its epoch isn't new, as it
// is then a duplicate or a late append, or if it was made before the stream was
// reset or more than MaxLead before its append.
func (s *State) setWitness(rec platformlog.Record, record *pb.KeeperWitness) {
	if !s.known || record.Witness.GetId() == 0 || record.MadeMs <= s.witnessFloor {
		return
	}
	if record.MadeMs+uint64(MaxLead.Milliseconds()) < unixMillis(rec.Time) {
		return
	}
	w := s.witnessings[record.Session]
	if record.Epoch <= w.Epoch {
		return
	}
	s.addSession(record.Witness)
	w.Epoch = record.Epoch
	w.Witness = record.Witness.Id
	w.changed = rec.Time
	s.witnessings[record.Session] = w
}

// fence ends the present intervals of a session. Each keeps at least one
// timestamp, so that no interval end of a shard occurs twice and a duplicated
// takeover stays void.
func (s *State) fence(rec platformlog.Record, record *pb.KeeperFence) {
	w, ok := s.witnessings[record.Session]
	if !s.known || !ok || w.Witness == 0 || w.Epoch != record.Epoch {
		return
	}
	for _, shard := range s.Owned(record.Session) {
		s.fenceOne(shard, record.EndMs)
	}
	w.Witness = 0
	w.Fenced = rec.Offset
	w.changed = rec.Time
	s.witnessings[record.Session] = w
}

func (s *State) fenceOne(shard uint32, end Timestamp) {
	current := &s.shards[shard].current
	current.End = min(current.End, max(end, current.Begin+1))
	s.archiveCurrent(shard)
	s.setOwner(shard, 0)
	*current = Interval{Begin: current.End, End: current.End}
}

// IsLost reports whether the timestamp lies in an earlier interval of the shard
// whose keeper was fenced, so that no new keeper will ever serve it.
func (s *State) IsLost(shard uint32, timestamp Timestamp) bool {
	if timestamp >= s.shards[shard].current.Begin {
		return false
	}
	interval, ok := s.Find(shard, timestamp)
	return ok && s.witnessings[interval.Owner].Fenced != 0
}

// pruneWitnessings removes epochs that no late record can refer to any more.
// Every node does so at the same offsets.
func (s *State) pruneWitnessings(now time.Time) {
	maps.DeleteFunc(s.witnessings, func(session uint64, w Witnessing) bool {
		return len(s.owned[session]) == 0 && now.Sub(w.changed) > witnessRetention
	})
}

func (s *State) witnessingMessages() []*pb.KeeperWitnessing {
	var messages []*pb.KeeperWitnessing
	for session, w := range s.witnessings {
		messages = append(messages, &pb.KeeperWitnessing{
			Session:       session,
			Epoch:         w.Epoch,
			Witness:       w.Witness,
			Fenced:        w.Fenced,
			ChangedUnixMs: w.changed.UnixMilli(),
		})
	}
	slices.SortFunc(messages, func(a, b *pb.KeeperWitnessing) int { return cmp.Compare(a.Session, b.Session) })
	return messages
}

func (s *State) loadWitnessings(messages []*pb.KeeperWitnessing) {
	for _, message := range messages {
		s.witnessings[message.Session] = Witnessing{
			Epoch:   message.Epoch,
			Witness: message.Witness,
			Fenced:  message.Fenced,
			changed: time.UnixMilli(message.ChangedUnixMs),
		}
	}
}

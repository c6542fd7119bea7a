package shard

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
)

// Apply applies the next record in offset order. Records at or before Folded
// are skipped. A record that can't be parsed or breaks a rule is void.
func (s *State) Apply(rec platformlog.Record) {
	if rec.Offset <= s.folded {
		return
	}
	s.folded = rec.Offset
	if s.snapshotTime.IsZero() {
		s.snapshotTime = rec.Time
	}
	var parsed pb.KeeperRecord
	if proto.Unmarshal(rec.Data, &parsed) != nil {
		return
	}
	switch change := parsed.Change.(type) {
	case *pb.KeeperRecord_Renewal:
		s.renew(rec, change.Renewal)
	case *pb.KeeperRecord_Takeover:
		s.takeOver(rec, change.Takeover)
	case *pb.KeeperRecord_Handover:
		s.handOver(change.Handover)
	case *pb.KeeperRecord_Snapshot:
		s.applySnapshot(rec, change.Snapshot)
	case *pb.KeeperRecord_Reset_:
		s.reset(rec, change.Reset_)
	case *pb.KeeperRecord_Witness:
		s.setWitness(rec, change.Witness)
	case *pb.KeeperRecord_Fence:
		s.fence(rec, change.Fence)
	}
}

func isEndAllowed(rec platformlog.Record, end Timestamp) bool {
	return end <= unixMillis(rec.Time.Add(MaxLead))
}

func (s *State) renew(rec platformlog.Record, renewal *pb.KeeperRenewal) {
	if !isEndAllowed(rec, renewal.EndMs) {
		return
	}
	s.greatestEnd = max(s.greatestEnd, renewal.EndMs)
	for shard := range s.owned[renewal.Session] {
		current := &s.shards[shard].current
		current.End = max(current.End, renewal.EndMs)
	}
}

func (s *State) takeOver(rec platformlog.Record, takeover *pb.KeeperTakeover) {
	if !isEndAllowed(rec, takeover.EndMs) || takeover.Session.GetId() == 0 {
		return
	}
	s.greatestEnd = max(s.greatestEnd, takeover.EndMs)
	if !s.known {
		return
	}
	s.addSession(takeover.Session)
	for _, claim := range takeover.Claims {
		s.claim(takeover.Session.Id, claim, takeover.EndMs)
	}
}

func (s *State) claim(session uint64, claim *pb.KeeperClaim, end Timestamp) {
	if claim.Shard >= Count || claim.BeginMs >= end {
		return
	}
	intervals := &s.shards[claim.Shard]
	if claim.PreviousEndMs != intervals.current.End || claim.BeginMs < intervals.current.End {
		return
	}
	s.archiveCurrent(claim.Shard)
	s.setOwner(claim.Shard, session)
	intervals.current.Begin = claim.BeginMs
	intervals.current.End = end
	intervals.current.Transfer = 0
}

func (s *State) handOver(handover *pb.KeeperHandover) {
	if !s.known || handover.To.GetId() == 0 {
		return
	}
	s.addSession(handover.To)
	for _, named := range handover.Intervals {
		if named.Shard < Count {
			s.handOverOne(handover, named)
		}
	}
}

func (s *State) handOverOne(handover *pb.KeeperHandover, named *pb.KeeperInterval) {
	intervals := &s.shards[named.Shard]
	if intervals.current.matches(handover.From, named) {
		s.setOwner(named.Shard, handover.To.Id)
		intervals.current.Transfer = handover.Transfer
		return
	}
	for i := range intervals.past {
		if intervals.past[i].matches(handover.From, named) {
			intervals.past[i].Owner = handover.To.Id
			intervals.past[i].Transfer = handover.Transfer
		}
	}
}

// matches reports whether this is the interval that owner got by the takeover
// or handover that named describes.
func (i Interval) matches(owner uint64, named *pb.KeeperInterval) bool {
	return i.Owner == owner && i.Begin == named.BeginMs && i.Transfer == named.Transfer
}

func (s *State) applySnapshot(rec platformlog.Record, snapshot *pb.KeeperState) {
	if !s.known && snapshot.FoldedThrough+1 >= s.scanFrom {
		s.Load(snapshot)
	}
	s.snapshotNext = max(s.snapshotNext, snapshot.FoldedThrough+1)
	s.snapshotTime = rec.Time
	s.resetRefused = false
	s.pruneWitnessings(rec.Time)
}

func (s *State) reset(rec platformlog.Record, reset *pb.KeeperReset) {
	if s.known && s.isResetVoid(rec, reset) {
		s.resetRefused = s.snapshotNext < reset.First
		return
	}
	if !s.known && (s.scanFrom > reset.First || s.isResetVoid(rec, reset)) {
		return
	}
	s.clear()
	s.known = true
	floor := resetFloor(rec, reset)
	for i := range s.shards {
		s.shards[i].current = Interval{Begin: floor, End: floor}
	}
	s.witnessFloor = floor
	s.snapshotTime = rec.Time
}

// resetFloor is the end that a reset sets for all shards, at least the time of
// its own append.
func resetFloor(rec platformlog.Record, reset *pb.KeeperReset) Timestamp {
	return max(reset.FloorMs, unixMillis(rec.Time))
}

// isResetVoid reports whether a snapshot was available for the writer to start
// from, or the floor is below an end in force or too far past the append time.
func (s *State) isResetVoid(rec platformlog.Record, reset *pb.KeeperReset) bool {
	floor := resetFloor(rec, reset)
	if s.snapshotNext >= reset.First || !isEndAllowed(rec, floor) {
		return true
	}
	end := s.greatestEnd
	if s.known {
		end = s.maxEnd()
	}
	return floor < end
}

func (s *State) maxEnd() Timestamp {
	var end Timestamp
	for i := range s.shards {
		end = max(end, s.shards[i].current.End)
	}
	return end
}

func (s *State) addSession(session *pb.KeeperSession) {
	s.sessions[session.Id] = Session{
		ID:          session.Id,
		Instance:    session.Instance,
		Incarnation: session.Incarnation,
	}
}

func unixMillis(t time.Time) Timestamp {
	return Timestamp(t.UnixMilli())
}

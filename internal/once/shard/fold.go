package shard

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
)

// Apply folds the next record in offset order. Records at or before Folded
// are passed over; a record that can't be parsed or breaks a rule is void.
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
		s.noteSnapshot(rec, change.Snapshot)
	case *pb.KeeperRecord_Reset_:
		s.reset(rec, change.Reset_)
	case *pb.KeeperRecord_Witness:
		s.setWitness(rec, change.Witness)
	case *pb.KeeperRecord_Fence:
		s.fence(rec, change.Fence)
	}
}

func endAllowed(rec platformlog.Record, end Timestamp) bool {
	return end <= millis(rec.Time.Add(MaxLead))
}

func (s *State) renew(rec platformlog.Record, renewal *pb.KeeperRenewal) {
	if !endAllowed(rec, renewal.EndMs) {
		return
	}
	s.greatestEnd = max(s.greatestEnd, renewal.EndMs)
	for shard := range s.owned[renewal.Session] {
		current := &s.lines[shard].current
		current.End = max(current.End, renewal.EndMs)
	}
}

func (s *State) takeOver(rec platformlog.Record, takeover *pb.KeeperTakeover) {
	if !endAllowed(rec, takeover.EndMs) || takeover.Session.GetId() == 0 {
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
	l := &s.lines[claim.Shard]
	if claim.PreviousEndMs != l.current.End || claim.BeginMs < l.current.End {
		return
	}
	s.pushPast(claim.Shard)
	s.setOwner(claim.Shard, session)
	l.current.Begin = claim.BeginMs
	l.current.End = end
	l.current.Transfer = 0
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
	l := &s.lines[named.Shard]
	if l.current.isTenure(handover.From, named) {
		s.setOwner(named.Shard, handover.To.Id)
		l.current.Transfer = handover.Transfer
		return
	}
	for i := range l.past {
		if l.past[i].isTenure(handover.From, named) {
			l.past[i].Owner = handover.To.Id
			l.past[i].Transfer = handover.Transfer
		}
	}
}

// isTenure reports whether the interval is the one that owner got by the
// takeover or handover that named describes.
func (i Interval) isTenure(owner uint64, named *pb.KeeperInterval) bool {
	return i.Owner == owner && i.Begin == named.BeginMs && i.Transfer == named.Transfer
}

func (s *State) noteSnapshot(rec platformlog.Record, snapshot *pb.KeeperState) {
	if !s.known && snapshot.FoldedThrough+1 >= s.scanFrom {
		s.Load(snapshot)
	}
	s.snapshotNext = max(s.snapshotNext, snapshot.FoldedThrough+1)
	s.snapshotTime = rec.Time
	s.resetRefused = false
	s.pruneWitnessings(rec.Time)
}

func (s *State) reset(rec platformlog.Record, reset *pb.KeeperReset) {
	if s.known && s.resetVoid(rec, reset) {
		s.resetRefused = s.snapshotNext < reset.First
		return
	}
	if !s.known && (s.scanFrom > reset.First || s.resetVoid(rec, reset)) {
		return
	}
	s.clear()
	s.known = true
	floor := resetFloor(rec, reset)
	for i := range s.lines {
		s.lines[i].current = Interval{Begin: floor, End: floor}
	}
	s.witnessFloor = floor
	s.snapshotTime = rec.Time
}

// resetFloor is the end that a reset gives to all shards: never below the time
// of its own append.
func resetFloor(rec platformlog.Record, reset *pb.KeeperReset) Timestamp {
	return max(reset.FloorMs, millis(rec.Time))
}

// resetVoid reports whether a snapshot was there for the writer to start from,
// or the floor is below an end in force.
func (s *State) resetVoid(rec platformlog.Record, reset *pb.KeeperReset) bool {
	floor := resetFloor(rec, reset)
	if s.snapshotNext >= reset.First || !endAllowed(rec, floor) {
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
	for i := range s.lines {
		end = max(end, s.lines[i].current.End)
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

func millis(t time.Time) Timestamp {
	return Timestamp(t.UnixMilli())
}

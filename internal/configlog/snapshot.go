package configlog

import (
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/config"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
)

// StateFromSnapshot returns the state of a snapshot, or an error if the snapshot is
// inconsistent.
func StateFromSnapshot(snapshot *pb.ConfigSnapshot) (State, error) {
	state := snapshot.GetState()
	through := snapshot.GetFoldedThrough()
	switch {
	case state.GetVersion() < platformlog.FirstOffset:
		return State{}, eris.New("snapshot without a configuration in force")
	case state.GetApplied() < state.GetVersion(), through < state.GetApplied():
		return State{}, eris.Errorf("snapshot folded through offset %d with version %d and last change at %d, expected version <= last change <= offset", through, state.GetVersion(), state.GetApplied())
	case !config.HasPreset(state.GetConfig(), state.GetPreset()):
		return State{}, eris.Errorf("snapshot with unknown preset %q", state.GetPreset())
	case !slices.Equal(state.GetDraining(), draining(state.GetDrainMarks())):
		return State{}, eris.New("snapshot whose drained instances do not match its drain marks")
	case !areEvacuationsConsistent(state.GetEvacuations(), through):
		return State{}, eris.Errorf("snapshot folded through offset %d with evacuations that are out of order, repeated, beyond it or more than %d", through, maxEvacuations)
	case !isAuditConsistent(state.GetAudit(), through):
		return State{}, eris.New("snapshot whose audit trail is out of order")
	}
	if err := config.Check(state.GetConfig()); err != nil {
		return State{}, eris.Wrap(err, "snapshot with an invalid configuration")
	}
	return State{Config: state, FoldedThrough: through, Chain: snapshot.GetChain()}, nil
}

// isAuditConsistent reports whether the offsets of trail rise and none is beyond
// through.
func isAuditConsistent(trail []*pb.AuditEntry, through int64) bool {
	last := int64(0)
	for _, entry := range trail {
		if entry.GetOffset() <= last || entry.GetOffset() > through {
			return false
		}
		last = entry.GetOffset()
	}
	return true
}

// decodeSnapshot returns the snapshot in record, or nil if it has none.
func decodeSnapshot(record platformlog.Record) *pb.ConfigSnapshot {
	message := &pb.ConfigRecord{}
	if err := proto.Unmarshal(record.Data, message); err != nil {
		return nil
	}
	return message.GetSnapshot()
}

// stateFromSnapshotRecord returns the state of the snapshot in record and whether a
// fold can start from it: the snapshot must be consistent and older than the record
// itself, and the log must still hold every record after it. first is the offset of
// the oldest record kept.
func stateFromSnapshotRecord(record platformlog.Record, first int64) (State, bool) {
	snapshot := decodeSnapshot(record)
	if snapshot == nil {
		return State{}, false
	}
	through := snapshot.GetFoldedThrough()
	if through >= record.Offset || through < first-1 {
		return State{}, false
	}
	state, err := StateFromSnapshot(snapshot)
	return state, err == nil
}

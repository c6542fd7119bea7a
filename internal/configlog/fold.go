package configlog

import (
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
)

// Fold applies one record to a state and returns the next state and the record's
// audit entry. It is deterministic and depends only on its arguments. The entry is
// nil for a record that is not audited: a snapshot, the second copy of a record, a
// replacement without a configuration, or a record that doesn't follow the last one
// of the state, which is ignored.
func Fold(state State, record platformlog.Record) (State, *pb.AuditEntry) {
	if record.Offset != state.FoldedThrough+1 {
		return state, nil
	}
	message, entry := decode(record)
	switch {
	case entry != nil:
		return state.advance(record, state.Config, entry), entry
	case message.GetSnapshot() != nil, message.GetReplace() == nil && state.Find(message.GetId()) != nil:
		return state.advance(record, state.Config, nil), nil
	case message.GetReplace() != nil:
		return foldReplace(state, message, record)
	}
	entry = newEntry(message, record)
	next := state.advance(record, evaluate(state, message, entry), entry)
	if message.GetEvacuate() != nil && isFromPlatform(message) {
		next.Chain = state.Chain
	}
	return next, entry
}

// decode returns the message of record, or the entry that refuses a malformed one.
func decode(record platformlog.Record) (*pb.ConfigRecord, *pb.AuditEntry) {
	message := &pb.ConfigRecord{}
	if err := proto.Unmarshal(record.Data, message); err != nil {
		return nil, refuse(newEntry(message, record), pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "malformed record")
	}
	return message, nil
}

// advance returns the state after record. If entry is nil, the audit trail is
// unchanged.
func (s State) advance(record platformlog.Record, config *pb.ConfigState, entry *pb.AuditEntry) State {
	next := State{
		Config:        config,
		FoldedThrough: record.Offset,
		Chain:         extendChain(s.Chain, record.Offset, record.Data, entry.GetAccepted()),
	}
	if entry != nil {
		next.Config = withAudit(config, entry)
	}
	return next
}

// evaluate accepts or refuses a change, fills in its audit entry and returns the
// configuration state after it.
func evaluate(state State, message *pb.ConfigRecord, entry *pb.AuditEntry) *pb.ConfigState {
	switch change := message.GetChange().(type) {
	case *pb.ConfigRecord_Publish:
		return evaluatePublish(state, change.Publish, entry)
	case *pb.ConfigRecord_UsePreset:
		return evaluatePreset(state, change.UsePreset, entry)
	case *pb.ConfigRecord_Drain:
		return evaluateDrain(state, change.Drain, entry)
	case *pb.ConfigRecord_Evacuate:
		return evaluateEvacuation(state, change.Evacuate, entry)
	default:
		refuse(entry, pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "record without a known change")
		return state.Config
	}
}

// shallowCopy copies the fields of state. The values they point to are shared and
// must not be modified.
func shallowCopy(state *pb.ConfigState) *pb.ConfigState {
	return &pb.ConfigState{
		Version:     state.GetVersion(),
		Config:      state.GetConfig(),
		Preset:      state.GetPreset(),
		Draining:    state.GetDraining(),
		Audit:       state.GetAudit(),
		Applied:     state.GetApplied(),
		DrainMarks:  state.GetDrainMarks(),
		SinceUnixMs: state.GetSinceUnixMs(),
		Evacuations: state.GetEvacuations(),
	}
}

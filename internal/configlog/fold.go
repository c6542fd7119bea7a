package configlog

import (
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
)

// Fold applies one record to a state. It is deterministic and depends on its
// arguments only. The entry is nil when the record changes nothing and has no
// place in the audit trail: a snapshot, the second copy of a record, or a record
// that doesn't follow the state's last one, which is ignored.
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
	next := judge(state, message, entry)
	return state.advance(record, next, entry), entry
}

// decode returns the message of record, or the entry that refuses it.
func decode(record platformlog.Record) (*pb.ConfigRecord, *pb.AuditEntry) {
	message := &pb.ConfigRecord{}
	if err := proto.Unmarshal(record.Data, message); err != nil {
		return nil, refuse(newEntry(message, record), pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "malformed record")
	}
	return message, nil
}

// advance returns the state after record. A nil entry leaves the audit trail as
// it is.
func (s State) advance(record platformlog.Record, config *pb.ConfigState, entry *pb.AuditEntry) State {
	next := State{
		Config:        config,
		FoldedThrough: record.Offset,
		Chain:         link(s.Chain, record.Offset, record.Data, entry.GetAccepted()),
	}
	if entry != nil {
		next.Config = withAudit(config, entry)
	}
	return next
}

// judge decides a record, fills its entry and returns the configuration state
// after it.
func judge(state State, message *pb.ConfigRecord, entry *pb.AuditEntry) *pb.ConfigState {
	switch change := message.GetChange().(type) {
	case *pb.ConfigRecord_Publish:
		return judgePublish(state, change.Publish, entry)
	case *pb.ConfigRecord_UsePreset:
		return judgePreset(state, change.UsePreset, entry)
	case *pb.ConfigRecord_Drain:
		return judgeDrain(state, change.Drain, entry)
	default:
		refuse(entry, pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "record without a known change")
		return state.Config
	}
}

// shallow copies the state's fields. Values that fields point to are shared and
// must not be changed.
func shallow(state *pb.ConfigState) *pb.ConfigState {
	return &pb.ConfigState{
		Version:     state.GetVersion(),
		Config:      state.GetConfig(),
		Preset:      state.GetPreset(),
		Draining:    state.GetDraining(),
		Audit:       state.GetAudit(),
		Applied:     state.GetApplied(),
		DrainMarks:  state.GetDrainMarks(),
		SinceUnixMs: state.GetSinceUnixMs(),
	}
}

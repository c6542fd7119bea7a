// Package configlog replicates the configuration through the platform's log.
//
// Operators append records to one stream. Every node folds the stream: it applies the
// records to its state in offset order by the same deterministic rules, as a
// replicated state machine. So all nodes agree on which of two racing changes was
// accepted. Nodes also pull records from each other, so that a node that can't reach
// the log still gets them. Snapshot records preserve the state beyond the retention
// of the log.
package configlog

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/egretfield/egretfield/internal/pb"
)

// State is the result of folding the stream up to an offset. It is immutable.
type State struct {
	// Config is the state that nodes act on. It is never nil in a State from this
	// package.
	Config *pb.ConfigState
	// FoldedThrough is the offset of the last record folded.
	FoldedThrough int64
	// Chain is a hash chain over the records folded and whether each was accepted. An
	// accepted record that replaces the whole configuration restarts it; one that is
	// refused or has no configuration leaves it unchanged, and so does a platform's
	// evacuation.
	Chain uint64
}

// Empty returns the state before the first record.
func Empty() State {
	return State{Config: &pb.ConfigState{}}
}

// Version returns the offset of the publish or preset switch in force.
func (s State) Version() int64 {
	return s.Config.GetVersion()
}

// OperatorVersion returns the operator's version of the configuration; zero: it has none.
func (s State) OperatorVersion() int64 {
	return s.Config.GetConfig().GetOperatorVersion()
}

// merge returns the state with the later configuration and the later position of s and
// other. A log that came back from an older copy may hold an older configuration at a later
// offset, so configurations with operator's versions compare by these. The chain belongs to
// the configuration then: only an accepted replacement changes it. Without operator's
// versions, configuration and position belong together. Evacuations are merged by data
// centre.
func (s State) merge(other State) State {
	merged := s
	if s.OperatorVersion() == 0 && other.OperatorVersion() == 0 {
		if other.FoldedThrough > s.FoldedThrough {
			if other.Version() < s.Version() {
				return s
			}
			merged = other
		}
	} else {
		if other.hasLaterConfig(s) {
			merged = other
		}
		merged.FoldedThrough = max(s.FoldedThrough, other.FoldedThrough)
	}
	return merged.withEvacuations(mergeEvacuations(s, other))
}

func (s State) hasLaterConfig(other State) bool {
	if own, others := s.OperatorVersion(), other.OperatorVersion(); own != others {
		return own > others
	}
	if s.Version() != other.Version() {
		return s.Version() > other.Version()
	}
	return s.FoldedThrough > other.FoldedThrough
}

// Digest returns the version, the position and the chain of the state.
func (s State) Digest() *pb.ConfigDigest {
	return &pb.ConfigDigest{
		Version:         s.Version(),
		FoldedThrough:   s.FoldedThrough,
		Chain:           s.Chain,
		OperatorVersion: s.OperatorVersion(),
		Evacuations:     evacuationsHash(s.Config),
	}
}

// Snapshot returns the state as a message.
func (s State) Snapshot() *pb.ConfigSnapshot {
	return &pb.ConfigSnapshot{
		State:         s.Config,
		FoldedThrough: s.FoldedThrough,
		Chain:         s.Chain,
	}
}

// Find returns the audit entry of the record with the given id, or nil.
func (s State) Find(id string) *pb.AuditEntry {
	if id == "" {
		return nil
	}
	entries := s.Config.GetAudit()
	for i := len(entries) - 1; i >= 0; i-- {
		if entries[i].GetId() == id {
			return entries[i]
		}
	}
	return nil
}

// auditEntryAt returns the audit entry of the record at offset, or nil.
func (s State) auditEntryAt(offset int64) *pb.AuditEntry {
	for _, entry := range s.Config.GetAudit() {
		if entry.GetOffset() == offset {
			return entry
		}
	}
	return nil
}

// extendChain returns chain extended by one record and whether it was accepted.
func extendChain(chain uint64, offset int64, data []byte, accepted bool) uint64 {
	var head [17]byte
	binary.BigEndian.PutUint64(head[0:], chain)
	binary.BigEndian.PutUint64(head[8:], uint64(offset))
	if accepted {
		head[16] = 1
	}
	digest := xxhash.New()
	_, _ = digest.Write(head[:])
	_, _ = digest.Write(data)
	return digest.Sum64()
}

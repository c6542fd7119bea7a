package member

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
)

// Short names of the member statuses.
const (
	alive    = pb.MemberStatus_MEMBER_STATUS_ALIVE
	suspect  = pb.MemberStatus_MEMBER_STATUS_SUSPECT
	draining = pb.MemberStatus_MEMBER_STATUS_DRAINING
	dead     = pb.MemberStatus_MEMBER_STATUS_DEAD
	left     = pb.MemberStatus_MEMBER_STATUS_LEFT
)

// Limits of the fields of a received record.
const (
	maxNameBytes    = 128
	maxAddressBytes = 128
)

// Limits of the numbers in a record. A node overrides what others say of it with a greater
// number, which must not overflow.
const (
	// maxIncarnation is a time of the 23rd century: incarnations are microseconds of Unix
	// time.
	maxIncarnation = 1 << 53
	maxRevision    = 1 << 53
	maxRefutations = 1 << 30
	// maxAgeMs is the age of a tombstone in whole milliseconds that a time.Duration holds.
	maxAgeMs = math.MaxInt64 / uint64(time.Millisecond)
)

// valid reports whether a received record is well-formed.
func valid(r *pb.MemberRecord) bool {
	m := r.GetMember()
	if m.GetInstance() == "" || len(m.Instance) > maxNameBytes || len(m.Service) > maxNameBytes {
		return false
	}
	if len(m.Region) > maxNameBytes || len(m.DataCentre) > maxNameBytes {
		return false
	}
	for _, address := range []string{m.GateAddress, m.ControlAddress, m.CallerAddress} {
		if len(address) > maxAddressBytes {
			return false
		}
	}
	if m.Incarnation > maxIncarnation || m.Revision > maxRevision || r.Refutations > maxRefutations || r.AgeMs > maxAgeMs {
		return false
	}
	statusKnown := m.Status == alive || m.Status == draining || m.Status == left
	livenessKnown := r.Liveness == alive || r.Liveness == suspect || r.Liveness == dead
	return statusKnown && livenessKnown
}

// accusationRank orders liveness values that have the same refutation count: the
// higher rank overrides the lower one.
func accusationRank(s pb.MemberStatus) int {
	switch s {
	case dead:
		return 2
	case suspect:
		return 1
	default:
		return 0
	}
}

// newerLiveness reports whether a's liveness overrides b's.
func newerLiveness(a, b *pb.MemberRecord) bool {
	if a.Refutations != b.Refutations {
		return a.Refutations > b.Refutations
	}
	return accusationRank(a.Liveness) > accusationRank(b.Liveness)
}

// join merges two records of one instance; it is the join of the semilattice of
// records and has nothing to do with joining the fleet. It is commutative,
// associative and idempotent except for the age. It returns a or b itself, not a copy,
// when that record alone is the result.
func join(a, b *pb.MemberRecord) *pb.MemberRecord {
	if a.Member.Incarnation != b.Member.Incarnation {
		if a.Member.Incarnation > b.Member.Incarnation {
			return a
		}
		return b
	}
	data, liveness := a, a
	if b.Member.Revision > a.Member.Revision {
		data = b
	}
	if newerLiveness(b, a) {
		liveness = b
	}
	if data == liveness {
		return data
	}
	return &pb.MemberRecord{
		Member:      data.Member,
		Refutations: liveness.Refutations,
		Liveness:    liveness.Liveness,
		AgeMs:       max(a.AgeMs, b.AgeMs),
	}
}

// sameState reports whether two records of one instance have the same incarnation,
// revision, refutations and liveness.
func sameState(a, b *pb.MemberRecord) bool {
	return a.Member.Incarnation == b.Member.Incarnation &&
		a.Member.Revision == b.Member.Revision &&
		a.Refutations == b.Refutations &&
		a.Liveness == b.Liveness
}

// isTombstone reports whether a record is a tombstone: dead or left.
func isTombstone(r *pb.MemberRecord) bool {
	return r.Liveness == dead || r.Member.Status == left
}

// effectiveStatus combines a member's own status with its liveness into the status
// shown in the view.
func effectiveStatus(r *pb.MemberRecord) pb.MemberStatus {
	switch {
	case r.Member.Status == left:
		return left
	case r.Liveness == dead:
		return dead
	case r.Liveness == suspect:
		return suspect
	default:
		return r.Member.Status
	}
}

// effectiveMember returns the member with its effective status.
func effectiveMember(r *pb.MemberRecord) *pb.Member {
	status := effectiveStatus(r)
	if status == r.Member.Status {
		return r.Member
	}
	m := proto.CloneOf(r.Member)
	m.Status = status
	return m
}

// instanceKey returns the hash that identifies an instance in bucket digests.
func instanceKey(instance string) uint64 {
	return xxhash.Sum64String(instance)
}

// stateHash returns the hash of the fields that sameState compares, and of the
// instance name.
func stateHash(r *pb.MemberRecord) uint64 {
	b := make([]byte, 0, 128)
	b = append(b, r.Member.Instance...)
	b = binary.BigEndian.AppendUint64(b, r.Member.Incarnation)
	b = binary.BigEndian.AppendUint64(b, r.Member.Revision)
	b = binary.BigEndian.AppendUint32(b, r.Refutations)
	b = append(b, byte(r.Liveness))
	return xxhash.Sum64(b)
}

package member

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// bucketCount is the number of buckets into which the table is divided for
	// comparison with other nodes.
	bucketCount = 64
	// maxMembers is the maximum number of entries in the table.
	maxMembers = 4096
	// tombstoneCompareAge is the age at which a tombstone no longer takes part in the
	// comparison of tables.
	tombstoneCompareAge = 10 * time.Minute
	// tombstoneRetention is the age at which a tombstone is deleted. It is longer
	// than any network partition that the two sides can still recover from.
	tombstoneRetention = 3 * time.Hour
)

// entry is a table entry for one member. Its record is immutable.
type entry struct {
	record *pb.MemberRecord
	// key is the instanceKey and state the stateHash of the record.
	key   uint64
	state uint64
	// tombstoneSince is when the member died or left.
	tombstoneSince time.Time
	// hashed reports whether the state is included in the table's hashes.
	hashed bool
	// member is the record's member with its effective status.
	member *pb.Member
}

// table holds the member records and the hashes used to compare them with another
// node's. It isn't safe for concurrent use.
type table struct {
	entries map[string]*entry
	hash    uint64
	buckets [bucketCount]uint64
}

func newTable() *table {
	return &table{entries: map[string]*entry{}}
}

// bucketOf returns the bucket of a key.
func bucketOf(key uint64) int {
	return int(key % bucketCount)
}

// mergeResult is the result of a merge.
type mergeResult struct {
	// changed reports whether the merge changed the table.
	changed bool
	// senderOutdated reports whether the table has newer state than the received
	// record.
	senderOutdated bool
	// before is the previous record; nil if there was none.
	before *pb.MemberRecord
	entry  *entry
}

// merge merges a valid record into the table. The record of an unknown instance is
// ignored if it is a tombstone older than tombstoneCompareAge or the table is full.
func (t *table) merge(r *pb.MemberRecord, now time.Time) mergeResult {
	e := t.entries[r.Member.Instance]
	if e == nil {
		age := time.Duration(r.AgeMs) * time.Millisecond
		if isTombstone(r) && age >= tombstoneCompareAge || len(t.entries) >= maxMembers {
			return mergeResult{}
		}
		e = &entry{key: instanceKey(r.Member.Instance)}
		t.entries[r.Member.Instance] = e
		t.set(e, r, now)
		return mergeResult{changed: true, entry: e}
	}
	before := e.record
	after := join(before, r)
	result := mergeResult{
		changed:        !sameState(after, before),
		senderOutdated: !sameState(after, r),
		before:         before,
		entry:          e,
	}
	if result.changed {
		t.set(e, after, now)
	}
	return result
}

// set replaces the record of e with r and updates the hashes.
func (t *table) set(e *entry, r *pb.MemberRecord, now time.Time) {
	t.removeFromHashes(e)
	wasTombstone := e.record != nil && isTombstone(e.record) && e.record.Member.Incarnation == r.Member.Incarnation
	if isTombstone(r) && !wasTombstone {
		e.tombstoneSince = now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
	}
	e.record = r
	e.state = stateHash(r)
	e.member = effectiveMember(r)
	t.addToHashes(e)
}

// addToHashes adds e's state to the hashes of the table and of its bucket.
func (t *table) addToHashes(e *entry) {
	e.hashed = true
	t.hash ^= e.state
	t.buckets[bucketOf(e.key)] ^= e.state
}

// removeFromHashes removes e's state from the hashes, if it is included.
func (t *table) removeFromHashes(e *entry) {
	if e.hashed {
		t.hash ^= e.state
		t.buckets[bucketOf(e.key)] ^= e.state
	}
	e.hashed = false
}

// removeExpired excludes tombstones older than tombstoneCompareAge from the
// hashes and deletes those older than tombstoneRetention. It reports whether any
// was deleted.
func (t *table) removeExpired(now time.Time) bool {
	deleted := false
	for instance, e := range t.entries {
		if !isTombstone(e.record) {
			continue
		}
		age := now.Sub(e.tombstoneSince)
		if age >= tombstoneCompareAge {
			t.removeFromHashes(e)
		}
		if age >= tombstoneRetention {
			delete(t.entries, instance)
			deleted = true
		}
	}
	return deleted
}

// toWire returns the record of e to send; a tombstone's has its age.
func (e *entry) toWire(now time.Time) *pb.MemberRecord {
	if !isTombstone(e.record) {
		return e.record
	}
	r := proto.CloneOf(e.record)
	r.AgeMs = uint64(now.Sub(e.tombstoneSince).Milliseconds())
	return r
}

// differingBuckets returns the buckets whose hashes differ from those given.
func (t *table) differingBuckets(hashes []uint64) []int {
	if len(hashes) != bucketCount {
		return nil
	}
	var out []int
	for i, hash := range hashes {
		if t.buckets[i] != hash {
			out = append(out, i)
		}
	}
	return out
}

// digest lists the keys and states of the members in the chosen buckets.
func (t *table) digest(chosen []int) []*pb.BucketDigest {
	byBucket := make(map[int]*pb.BucketDigest, len(chosen))
	out := make([]*pb.BucketDigest, 0, len(chosen))
	for _, b := range chosen {
		d := &pb.BucketDigest{Bucket: uint32(b)}
		byBucket[b] = d
		out = append(out, d)
	}
	for _, e := range t.entries {
		if d := byBucket[bucketOf(e.key)]; d != nil && e.hashed {
			d.Keys = append(d.Keys, e.key)
			d.States = append(d.States, e.state)
		}
	}
	return out
}

// compare returns the entries that the sender of the digests lacks or holds in a
// different state, and the keys that this table lacks.
func (t *table) compare(digests []*pb.BucketDigest) (differing []*entry, wanted []uint64) {
	remoteStates := map[uint64]uint64{}
	requested := map[int]bool{}
	for _, d := range digests {
		requested[int(d.Bucket)] = true
		for i, key := range d.Keys {
			if i < len(d.States) {
				remoteStates[key] = d.States[i]
			}
		}
	}
	for _, e := range t.entries {
		if !requested[bucketOf(e.key)] {
			continue
		}
		state, listed := remoteStates[e.key]
		if listed && state != e.state || !listed && e.hashed {
			differing = append(differing, e)
		}
		delete(remoteStates, e.key)
	}
	for key := range remoteStates {
		wanted = append(wanted, key)
	}
	return differing, wanted
}

// entriesByKey returns the entries with the given keys.
func (t *table) entriesByKey(keys []uint64) []*entry {
	if len(keys) == 0 {
		return nil
	}
	requested := make(map[uint64]bool, len(keys))
	for _, key := range keys {
		requested[key] = true
	}
	var out []*entry
	for _, e := range t.entries {
		if requested[e.key] {
			out = append(out, e)
		}
	}
	return out
}

// Package keeper is the in-memory store of idempotency keys on the node that
// grants them. For each interval of key creation times it has a table with the
// grants made, their outcomes, and the answers stored for replay.
package keeper

import (
	"container/heap"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/once/shard"
	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// MaxAnswerBytes is the maximum size of an answer kept for replay.
	MaxAnswerBytes = 16 << 10
	// entryOverhead is the memory of an entry without its answer, in bytes.
	entryOverhead = 368
	// scopedOverhead is the memory of its place among those with the same key.
	scopedOverhead = 96
	// maxCancelled is the number of cancelled grant ids kept for a key.
	maxCancelled = 4
)

// GrantID identifies a grant. It is chosen by the node that requests the grant.
type GrantID [16]byte

// entry holds the state of one key in a table.
type entry struct {
	key         shard.Key
	timestamp   shard.Timestamp
	fingerprint uint64
	grant       GrantID
	state       pb.KeyState
	answer      *pb.StoredAnswer
	// holdUntil is when the outcome of a running grant starts to count as
	// unknown.
	holdUntil time.Time
	// changed is closed when the state changes. Nil while no call waits.
	changed   chan struct{}
	cancelled []GrantID
	index     int
	size      int
}

func (e *entry) memorySize() int {
	size := entryOverhead + len(e.cancelled)*len(GrantID{})
	if e.key.Scope.Known {
		size += scopedOverhead + len(e.key.Scope.Organisation)
	}
	if e.answer != nil {
		size += proto.Size(e.answer)
	}
	return size
}

func (e *entry) isCancelled(grant GrantID) bool {
	for _, id := range e.cancelled {
		if id == grant {
			return true
		}
	}
	return false
}

func (e *entry) cancel(grant GrantID) {
	if e.isCancelled(grant) {
		return
	}
	if len(e.cancelled) == maxCancelled {
		e.cancelled = e.cancelled[1:]
	}
	e.cancelled = append(e.cancelled, grant)
}

func (e *entry) setState(state pb.KeyState) {
	e.state = state
	e.notifyWaiters()
}

func (e *entry) notifyWaiters() {
	if e.changed != nil {
		close(e.changed)
		e.changed = nil
	}
}

// byTimestamp is a heap of entries, the oldest timestamp first.
type byTimestamp []*entry

var _ heap.Interface = (*byTimestamp)(nil)

func (h byTimestamp) Len() int           { return len(h) }
func (h byTimestamp) Less(i, j int) bool { return h[i].timestamp < h[j].timestamp }

func (h byTimestamp) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *byTimestamp) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

func (h *byTimestamp) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}

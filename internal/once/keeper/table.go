package keeper

import (
	"container/heap"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/once/shard"
	"github.com/egretfield/egretfield/internal/pb"
)

const (
	granted = pb.KeyVerdict_KEY_VERDICT_GRANTED
	replay  = pb.KeyVerdict_KEY_VERDICT_REPLAY
	refused = pb.KeyVerdict_KEY_VERDICT_REFUSED
	moved   = pb.KeyVerdict_KEY_VERDICT_MOVED

	notKeeper = pb.KeyVerdict_KEY_VERDICT_NOT_KEEPER
)

// Limits bound the memory of each table that shares them, and the timestamps
// that they grant. Safe for concurrent use.
type Limits struct {
	// Keys and Bytes bound a single table.
	Keys  atomic.Int64
	Bytes atomic.Int64
	// Grant bounds the timestamps granted by all tables.
	Grant GrantLimit
	// MaxAhead is how far a timestamp may be ahead of the keeper's clock. Zero:
	// any.
	MaxAhead time.Duration
}

// Request is a request for the grant of a key.
type Request struct {
	Key         shard.Key
	Fingerprint uint64
	Grant       GrantID
	// Wait is how long to wait for the end of a running operation.
	Wait time.Duration
	// Hold is the time after which the outcome of an unfinished grant counts as
	// unknown.
	Hold time.Duration
}

// Result is a table's answer to a Request.
type Result struct {
	Verdict pb.KeyVerdict
	// Kind and Message are set when the verdict is REFUSED.
	Kind    pb.ErrorKind
	Message string
	Answer  *pb.StoredAnswer
	// MovedTo is the instance that has the interval when the verdict is MOVED.
	MovedTo string
}

// IntervalID identifies an interval held by one session. The end isn't part of
// it, as it may move.
type IntervalID struct {
	Shard    uint32
	Begin    shard.Timestamp
	Transfer uint64
}

// IntervalIDOf returns the id of an interval of a shard.
func IntervalIDOf(shardID uint32, interval shard.Interval) IntervalID {
	return IntervalID{Shard: shardID, Begin: interval.Begin, Transfer: interval.Transfer}
}

// Table stores the keys of one interval. Safe for concurrent use.
type Table struct {
	// IntervalID identifies the interval. Constant.
	IntervalID IntervalID

	mu      sync.Mutex
	end     shard.Timestamp
	floor   shard.Timestamp
	limits  *Limits
	sealed  bool
	movedTo string
	entries map[shard.Key]*entry
	// scoped has the entries of known scope by their key in the zero scope.
	scoped  map[shard.Key][]*entry
	oldest  byTimestamp
	bytes   int
	evicted uint64
}

// NewTable returns an empty table for the interval. The floor is the least
// timestamp that it grants.
func NewTable(shardID uint32, interval shard.Interval, floor shard.Timestamp, limits *Limits) *Table {
	return &Table{
		IntervalID: IntervalIDOf(shardID, interval),
		end:        interval.End,
		floor:      max(floor, interval.Begin),
		limits:     limits,
		entries:    make(map[shard.Key]*entry),
		scoped:     make(map[shard.Key][]*entry),
	}
}

// Extend moves the end of the interval forward, to the end read from the log.
func (t *Table) Extend(end shard.Timestamp) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end = max(t.end, end)
}

// Truncate moves the end of the interval back to end, unless it is already at
// or before it.
func (t *Table) Truncate(end shard.Timestamp) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end = min(t.end, end)
}

// Trim evicts keys after the limits have been lowered.
func (t *Table) Trim() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evict()
}

// Covers reports whether the interval contains the timestamp.
func (t *Table) Covers(timestamp shard.Timestamp) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.covers(timestamp)
}

func (t *Table) covers(timestamp shard.Timestamp) bool {
	return t.IntervalID.Begin <= timestamp && timestamp < t.end
}

// Sealed reports whether the interval was handed over, and to which instance.
func (t *Table) Sealed() (bool, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sealed, t.movedTo
}

// Stats describe the contents of a table and the timestamps that it grants: from Floor
// up to, but not including, End.
type Stats struct {
	Keys    int
	Bytes   int    // estimated memory of the keys and their stored answers
	Evicted uint64 // keys dropped early to make room
	Floor   shard.Timestamp
	End     shard.Timestamp
}

// Stats returns the current statistics of the table.
func (t *Table) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Stats{Keys: len(t.entries), Bytes: t.bytes, Evicted: t.evicted, Floor: t.floor, End: t.end}
}

// Begin decides on a request whose timestamp the interval contains. It waits up
// to req.Wait while an operation under the key is running.
func (t *Table) Begin(ctx context.Context, req Request) Result {
	deadline := time.Now().Add(req.Wait)
	for {
		result, changed := t.tryBegin(req)
		if result.Kind != pb.ErrorKind_ERROR_KIND_KEY_IN_PROGRESS || !awaitChange(ctx, changed, deadline) {
			return result
		}
	}
}

// awaitChange reports whether changed was closed before the deadline and before
// ctx's end.
func awaitChange(ctx context.Context, changed <-chan struct{}, deadline time.Time) bool {
	wait := time.Until(deadline)
	if wait <= 0 {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

func (t *Table) tryBegin(req Request) (Result, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sealed {
		return Result{Verdict: moved, MovedTo: t.movedTo}, nil
	}
	timestamp := req.Key.Timestamp()
	if !t.covers(timestamp) {
		return Result{Verdict: notKeeper}, nil
	}
	if timestamp < t.floor {
		return refuse(pb.ErrorKind_ERROR_KIND_KEY_TOO_OLD, "the key is older than the keys that the keeper stores"), nil
	}
	e, found := t.find(req.Key, req.Grant)
	if !found || e.state == pb.KeyState_KEY_STATE_FREE {
		if other := t.conflicting(req); other != nil {
			return beginConflicting(other, req)
		}
	}
	if found {
		return t.beginExisting(e, req)
	}
	if t.TooFarAhead(timestamp) {
		return refuse(pb.ErrorKind_ERROR_KIND_KEEPER_UNAVAILABLE, "the key's creation time is too far ahead of the keeper's clock"), nil
	}
	if !t.limits.Grant.admit(timestamp) {
		return Result{Verdict: notKeeper}, nil
	}
	return t.insert(req), nil
}

// TooFarAhead reports whether the timestamp is ahead of the clock by more than
// MaxAhead.
func (t *Table) TooFarAhead(timestamp shard.Timestamp) bool {
	if t.limits.MaxAhead == 0 {
		return false
	}
	return timestamp > shard.Timestamp(time.Now().Add(t.limits.MaxAhead).UnixMilli())
}

func (t *Table) insert(req Request) Result {
	e := &entry{key: req.Key, timestamp: req.Key.Timestamp()}
	t.add(e)
	t.grant(e, req)
	t.evict()
	if e.timestamp < t.floor {
		return refuse(pb.ErrorKind_ERROR_KIND_KEY_TOO_OLD, "the keeper's table is full of newer keys")
	}
	return Result{Verdict: granted}
}

func (t *Table) grant(e *entry, req Request) {
	e.fingerprint = req.Fingerprint
	e.grant = req.Grant
	e.holdUntil = time.Now().Add(req.Hold)
	e.setState(pb.KeyState_KEY_STATE_RUNNING)
}

func (t *Table) beginExisting(e *entry, req Request) (Result, <-chan struct{}) {
	if e.isCancelled(req.Grant) {
		return refuse(pb.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, "this grant was cancelled"), nil
	}
	if e.fingerprint != req.Fingerprint && e.fingerprint != 0 && e.state != pb.KeyState_KEY_STATE_FREE {
		return refuse(pb.ErrorKind_ERROR_KIND_KEY_REUSED, "the key was used with another request"), nil
	}
	switch e.state {
	case pb.KeyState_KEY_STATE_FREE:
		if !t.limits.Grant.admit(e.timestamp) {
			return Result{Verdict: notKeeper}, nil
		}
		t.grant(e, req)
		return Result{Verdict: granted}, nil
	case pb.KeyState_KEY_STATE_DONE:
		return replayOf(e), nil
	case pb.KeyState_KEY_STATE_RUNNING:
		return beginRunning(e, req)
	default:
		return refuse(pb.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, "an earlier attempt ended with an unknown outcome"), nil
	}
}

func replayOf(e *entry) Result {
	if e.answer == nil {
		return refuse(pb.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, "the operation ran; its answer was not kept: too large, or restricted to some regions")
	}
	return Result{Verdict: replay, Answer: e.answer}
}

func beginRunning(e *entry, req Request) (Result, <-chan struct{}) {
	if e.grant == req.Grant {
		return Result{Verdict: granted}, nil
	}
	if time.Now().After(e.holdUntil) {
		return refuse(pb.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, "an earlier attempt never reported its outcome"), nil
	}
	if e.changed == nil {
		e.changed = make(chan struct{})
	}
	return refuse(pb.ErrorKind_ERROR_KIND_KEY_IN_PROGRESS, "an attempt under the key is running"), e.changed
}

func refuse(kind pb.ErrorKind, message string) Result {
	return Result{Verdict: refused, Kind: kind, Message: message}
}

// Finish records the outcome of a grant. RUN_STATE_NO frees the key or, if the
// grant was never made, prevents it from being made later.
func (t *Table) Finish(key shard.Key, grant GrantID, state pb.RunState, answer *pb.StoredAnswer) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sealed {
		return Result{Verdict: moved, MovedTo: t.movedTo}
	}
	e, ok := t.find(key, grant)
	if !ok {
		return t.finishUnseen(key, grant, state)
	}
	if e.grant != grant {
		if state == pb.RunState_RUN_STATE_NO {
			e.cancel(grant)
			t.updateSize(e)
			e.notifyWaiters()
		}
		return Result{Verdict: refused}
	}
	t.finishHeld(e, state, answer)
	return Result{Verdict: granted}
}

// finishUnseen records the cancellation of a Begin that may still arrive.
func (t *Table) finishUnseen(key shard.Key, grant GrantID, state pb.RunState) Result {
	timestamp := key.Timestamp()
	if state != pb.RunState_RUN_STATE_NO || !t.covers(timestamp) || timestamp < t.floor {
		return Result{Verdict: refused}
	}
	e := &entry{key: key, timestamp: timestamp, state: pb.KeyState_KEY_STATE_FREE}
	e.cancel(grant)
	t.add(e)
	t.evict()
	return Result{Verdict: refused}
}

func (t *Table) finishHeld(e *entry, state pb.RunState, answer *pb.StoredAnswer) {
	if e.state == pb.KeyState_KEY_STATE_DONE || e.state == pb.KeyState_KEY_STATE_FREE {
		return
	}
	switch state {
	case pb.RunState_RUN_STATE_NO:
		e.cancel(e.grant)
		e.setState(pb.KeyState_KEY_STATE_FREE)
	case pb.RunState_RUN_STATE_YES:
		if answer != nil && proto.Size(answer) <= MaxAnswerBytes {
			e.answer = answer
		}
		e.setState(pb.KeyState_KEY_STATE_DONE)
	default:
		e.setState(pb.KeyState_KEY_STATE_UNKNOWN)
	}
	t.updateSize(e)
	t.evict()
}

func (t *Table) add(e *entry) {
	t.index(e)
	heap.Push(&t.oldest, e)
	t.updateSize(e)
}

func (t *Table) updateSize(e *entry) {
	size := e.memorySize()
	t.bytes += size - e.size
	e.size = size
}

// evict drops the keys with the oldest timestamps until the table is within its
// limits, and raises the floor past them.
func (t *Table) evict() {
	t.shrink(int(t.limits.Keys.Load()), int(t.limits.Bytes.Load()))
}

func (t *Table) shrink(keys, bytes int) {
	for len(t.oldest) > keys || t.bytes > bytes {
		t.floor = max(t.floor, t.oldest[0].timestamp+1)
		t.dropBelowFloor()
	}
}

func (t *Table) dropBelowFloor() {
	for len(t.oldest) > 0 && t.oldest[0].timestamp < t.floor {
		e := heap.Pop(&t.oldest).(*entry)
		t.unindex(e)
		t.bytes -= e.size
		t.evicted++
		e.notifyWaiters()
	}
}

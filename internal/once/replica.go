package once

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/delay"
	"github.com/egretfield/egretfield/internal/once/shard"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
)

const (
	readBatchSize = 512
	// readWait is how long a read waits at the log for a record.
	readWait = 5 * time.Second
	// readPause is the time between two reads in which records accumulate,
	// unless a caller is waiting.
	readPause   = 500 * time.Millisecond
	readBackoff = 500 * time.Millisecond
	// logTimeout bounds a call to the log, in addition to the wait that the
	// call asks for.
	logTimeout = 3 * time.Second
	// logDownAfter is how long beyond readWait without a successful read the
	// log counts as down.
	logDownAfter = 3 * time.Second
)

// replica is this node's copy of the keeper state. It follows the keeper stream
// and applies its records. Safe for concurrent use.
type replica struct {
	log platformlog.Log
	// onApply is called after records were applied, without the lock held.
	onApply func()
	// onUnavailable is called after a failed read.
	onUnavailable func(ctx context.Context)

	mu      sync.RWMutex
	state   *shard.State
	changed chan struct{}
	// lastRead is when the log last answered the reader.
	lastRead time.Time
	// viewedOffset is the greatest offset of a state that view has passed on,
	// or may have. As intervals may shrink, view doesn't pass on an older
	// state.
	viewedOffset shard.Offset
	// atEnd is set when the last read reached the end of the stream.
	atEnd bool
	// failing is set when the last read failed.
	failing bool
	waiters int

	readNow chan struct{}
}

func newReplica(log platformlog.Log) *replica {
	return &replica{
		log:     log,
		changed: make(chan struct{}),
		readNow: make(chan struct{}, 1),
	}
}

// run follows the stream until ctx ends.
func (r *replica) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.readOnce(ctx)
		r.setFailing(err)
		switch {
		case err != nil && ctx.Err() == nil:
			r.onUnavailable(ctx)
			delay.Sleep(ctx, readBackoff)
		case !r.hasWaiters():
			r.awaitNextRead(ctx)
		}
	}
}

func (r *replica) setFailing(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing = err != nil
}

func (r *replica) awaitNextRead(ctx context.Context) {
	timer := time.NewTimer(readPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.readNow:
	case <-ctx.Done():
	}
}

func (r *replica) readOnce(ctx context.Context) error {
	if !r.started() {
		return r.start(ctx)
	}
	from := r.nextOffset()
	callCtx, cancel := context.WithTimeout(ctx, readWait+logTimeout)
	defer cancel()
	records, err := r.log.Read(callCtx, platformlog.KeeperStream, from, readBatchSize, readWait)
	if errors.Is(err, platformlog.ErrTrimmed) {
		return r.start(ctx)
	}
	if err != nil {
		return err
	}
	r.apply(records)
	return nil
}

// start reads the bounds of the stream and starts at its first record, unless
// the present state already reaches it.
func (r *replica) start(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	bounds, err := r.log.Bounds(callCtx, platformlog.KeeperStream)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastRead = time.Now()
	if r.state != nil && r.state.Folded()+1 >= bounds.First {
		return nil
	}
	r.state = shard.NewState(bounds.First)
	r.atEnd = false
	return nil
}

func (r *replica) started() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state != nil
}

func (r *replica) nextOffset() shard.Offset {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Folded() + 1
}

func (r *replica) apply(records []platformlog.Record) {
	r.mu.Lock()
	for _, rec := range records {
		if rec.Offset != r.state.Folded()+1 {
			break
		}
		r.state.Apply(rec)
	}
	r.lastRead = time.Now()
	r.atEnd = len(records) < readBatchSize
	r.notifyChanged()
	r.mu.Unlock()
	if len(records) > 0 {
		r.onApply()
	}
}

func (r *replica) notifyChanged() {
	if r.state.Known() {
		r.viewedOffset = max(r.viewedOffset, r.state.Folded())
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// adopt replaces the state by a peer's if that is newer.
func (r *replica) adopt(state *pb.KeeperState) {
	r.mu.Lock()
	if r.state == nil {
		r.state = shard.NewState(state.FoldedThrough + 1)
	}
	newer := !r.state.Known() || state.FoldedThrough > r.state.Folded()
	if newer {
		r.state.Load(state)
		r.notifyChanged()
	}
	r.mu.Unlock()
	if newer {
		r.onApply()
	}
}

// view calls fn with the state. It returns false without a call while the state
// isn't known. fn must neither retain nor change the state.
func (r *replica) view(fn func(state *shard.State)) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.state == nil || !r.state.Known() || r.state.Folded() < r.viewedOffset {
		return false
	}
	fn(r.state)
	return true
}

// isLogDown reports whether no read has succeeded for longer than a read may
// take.
func (r *replica) isLogDown() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return time.Since(r.lastRead) > readWait+logDownAfter
}

// mayLogBeDown reports whether the log may be down, so that an append is likely
// to fail.
func (r *replica) mayLogBeDown() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.failing || time.Since(r.lastRead) > readWait+logDownAfter
}

func (r *replica) hasWaiters() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.waiters > 0
}

// wait returns when done reports true, which is checked after each change of
// the state. Meanwhile the reader doesn't pause between reads.
func (r *replica) wait(ctx context.Context, done func(state *shard.State) bool) error {
	r.mu.Lock()
	r.waiters++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.waiters--
		r.mu.Unlock()
	}()
	select {
	case r.readNow <- struct{}{}:
	default:
	}
	for {
		r.mu.RLock()
		changed := r.changed
		finished := r.state != nil && done(r.state)
		r.mu.RUnlock()
		if finished {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// waitFolded waits until the record at offset is applied.
func (r *replica) waitFolded(ctx context.Context, offset shard.Offset) error {
	return r.wait(ctx, func(state *shard.State) bool { return state.Folded() >= offset })
}

// barrier waits until all records that were on the log at the time of the call
// are applied.
func (r *replica) barrier(ctx context.Context) error {
	bounds, err := r.log.Bounds(ctx, platformlog.KeeperStream)
	if err != nil {
		return err
	}
	return r.wait(ctx, func(state *shard.State) bool {
		return state.Known() && state.Folded() >= bounds.Next-1
	})
}

// append adds a record and waits until it is applied. After an error the record
// may still have been added.
func (r *replica) append(ctx context.Context, record *pb.KeeperRecord) error {
	data, err := proto.Marshal(record)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	offset, err := r.log.Append(callCtx, platformlog.KeeperStream, data)
	if err != nil {
		return err
	}
	return r.waitFolded(callCtx, offset)
}

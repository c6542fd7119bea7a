package configlog

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/egretfield/egretfield/internal/delay"
	"github.com/egretfield/egretfield/internal/platformlog"
)

// Parameters of reading the log.
const (
	readBatch = 16 // records
	// defaultReadWait is the default of Options.ReadWait.
	defaultReadWait = 2 * time.Second
	// readGrace is the time that a read may take beyond its wait.
	readGrace  = 15 * time.Second
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
)

var (
	errNotRead    = eris.New("not read yet")
	errNoSnapshot = eris.New("the first records are trimmed and no snapshot is kept")
	errBehind     = eris.New("the log ends before the state")
)

// followLog reads and folds the stream until ctx ends.
func (f *Follower) followLog(ctx context.Context) error {
	backoff := minBackoff
	for f.awaitReadDue(ctx) {
		err := f.readLog(ctx)
		if ctx.Err() != nil {
			return nil
		}
		f.recordReadResult(err)
		if err == nil {
			backoff = minBackoff
			continue
		}
		delay.Sleep(ctx, f.jitter.spread(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// setReadWaiting records whether a read is waiting for a record.
func (f *Follower) setReadWaiting(readWaiting bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readWaiting = readWaiting
}

// readWait returns how long a read waits for a record.
func (f *Follower) readWait() time.Duration {
	if f.options.ReadWait > 0 {
		return f.options.ReadWait
	}
	return defaultReadWait
}

// isReader reports whether this node is a reader of the log.
func (f *Follower) isReader() bool {
	return f.options.IsReader == nil || f.options.IsReader()
}

// readLog reads and folds one batch. A reader waits for new records if there are
// none.
func (f *Follower) readLog(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.readWait()+readGrace)
	defer cancel()
	if err := f.findTarget(ctx); err != nil {
		return err
	}
	if !f.followsLog() && f.staleness() < f.staleAfter() {
		return nil // findTarget got the newest configuration along with the bounds
	}
	wait := f.readWait()
	if !f.followsLog() || !f.logHealthy() {
		// After a failure the log may have come back from an older copy. An answer without
		// a wait tells at once.
		wait = 0
	}
	from := f.State().FoldedThrough + 1
	started := time.Now()
	f.setReadWaiting(wait > 0 && f.logHealthy())
	records, err := f.options.Log.Read(ctx, platformlog.ConfigStream, from, readBatch, wait)
	f.setReadWaiting(false)
	if errors.Is(err, platformlog.ErrTrimmed) {
		f.metrics.trimmed()
		return f.startFromSnapshot(ctx, from)
	}
	if err != nil {
		return err
	}
	f.apply(records, sourceLog)
	if len(records) < readBatch {
		f.recordConfirmed()
		f.recordAtEnd(endKnownAt(started, len(records), wait))
	}
	return nil
}

// findTarget determines once how far the stream reaches, so that a starting node
// doesn't act on versions that were replaced before it started.
func (f *Follower) findTarget(ctx context.Context) error {
	f.mu.Lock()
	known := f.target >= 0
	f.mu.Unlock()
	if known {
		return nil
	}
	bounds, err := f.startBounds(ctx)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.target = bounds.Next - 1
	reached := f.folded.FoldedThrough >= f.target
	f.wakeWaiters()
	f.mu.Unlock()
	f.recordReadResult(nil)
	if reached {
		f.startServing()
	}
	return nil
}

// startBounds returns the bounds of the stream. On a keyed log it also adopts the
// newest configuration.
func (f *Follower) startBounds(ctx context.Context) (platformlog.Bounds, error) {
	if keyed, ok := f.options.Log.(platformlog.KeyedLog); ok {
		return f.adoptNewest(ctx, keyed)
	}
	return f.options.Log.Bounds(ctx, platformlog.ConfigStream)
}

// adoptNewest continues the fold at the end of a keyed log, with the newest configuration
// there unless that of the state is later, and with the evacuations there.
func (f *Follower) adoptNewest(ctx context.Context, log platformlog.KeyedLog) (platformlog.Bounds, error) {
	started := time.Now()
	records, bounds, err := log.Newest(ctx, platformlog.ConfigStream)
	if err != nil {
		return bounds, err
	}
	newest := stateFromNewest(records, bounds)
	f.adopt(newest, sourceLog)
	f.logOlder(newest)
	if f.State().FoldedThrough < bounds.Next {
		f.recordAtEnd(started)
	}
	return bounds, nil
}

// logOlder logs that the newest configuration of the log is older than the own one, once
// until that changes: the log came back from an older copy, and the operators have yet to
// write again what it lost.
func (f *Follower) logOlder(newest State) {
	own := f.State()
	isOlder := newest.OperatorVersion() < own.OperatorVersion()
	if f.logHasOlder.Swap(isOlder) == isOlder {
		return
	}
	f.logger.Warn("configuration of the log compared with the own one", zap.Bool("older", isOlder),
		zap.Int64("operator_version", newest.OperatorVersion()), zap.Int64("own_operator_version", own.OperatorVersion()),
		zap.Int64("log_through", newest.FoldedThrough), zap.Int64("folded_through", own.FoldedThrough))
}

// startFromSnapshot starts the fold at the first usable snapshot among the records
// kept, or at the end of a keyed log. The log doesn't have the offset trimmed.
func (f *Follower) startFromSnapshot(ctx context.Context, trimmed int64) error {
	if keyed, ok := f.options.Log.(platformlog.KeyedLog); ok {
		bounds, err := f.adoptNewest(ctx, keyed)
		if err == nil && f.State().FoldedThrough < trimmed {
			err = eris.Wrapf(errBehind, "next offset %d, expected at least %d", bounds.Next, trimmed)
		}
		return err
	}
	bounds, err := f.options.Log.Bounds(ctx, platformlog.ConfigStream)
	if err != nil {
		return err
	}
	for cursor := bounds.First; cursor < bounds.Next; {
		records, err := f.options.Log.Read(ctx, platformlog.ConfigStream, cursor, readBatch, 0)
		if err != nil {
			return err
		}
		if len(records) == 0 {
			break
		}
		for _, record := range records {
			if state, ok := stateFromSnapshotRecord(record, bounds.First); ok && f.adopt(state, sourceLog) {
				return nil
			}
		}
		cursor = records[len(records)-1].Offset + 1
	}
	return errNoSnapshot
}

// recordReadResult records the result of the last read, and logs it if the health of
// the log changed.
func (f *Follower) recordReadResult(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wasHealthy := f.logErr == nil
	f.logErr = err
	f.metrics.read(err)
	if err == nil {
		f.logReadAt = time.Now()
	}
	switch {
	case err != nil && wasHealthy:
		f.logger.Warn("configuration stream unreadable", zap.Error(err), zap.Int64("folded_through", f.folded.FoldedThrough))
	case err == nil && !wasHealthy:
		f.logger.Info("configuration stream readable", zap.Int64("folded_through", f.folded.FoldedThrough))
	}
	if err != nil {
		f.pullState.wake()
	}
}

// logHealthy reports whether the last read succeeded.
func (f *Follower) logHealthy() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.logErr == nil
}

// IsReader reports whether the instance name is one of the readers of its data
// centre, the instances that read the log directly. They are the ones with the lowest
// hashes of their names, so each instance can compute the answer on its own.
// instances are the names of the instances there.
func IsReader(name string, instances []string, readers int) bool {
	own := xxhash.Sum64String(name)
	rank := 0
	for _, other := range instances {
		if hash := xxhash.Sum64String(other); hash < own || hash == own && other < name {
			rank++
		}
	}
	return rank < readers
}

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

// Reading of the log.
const (
	readBatch = 16 // records
	readWait  = 2 * time.Second
	// readGrace is the time beyond its wait that a read may take.
	readGrace  = 15 * time.Second
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
)

var (
	errNotRead    = eris.New("not read yet")
	errNoSnapshot = eris.New("the first records are trimmed and no snapshot is kept")
)

// followLog reads the stream until ctx ends.
func (f *Follower) followLog(ctx context.Context) error {
	backoff := minBackoff
	for f.awaitTurn(ctx) {
		err := f.readLog(ctx)
		if ctx.Err() != nil {
			return nil
		}
		f.noteLog(err)
		if err == nil {
			backoff = minBackoff
			continue
		}
		delay.Sleep(ctx, f.jitter.of(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// setWaiting notes whether a read waits for a record.
func (f *Follower) setWaiting(waiting bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting = waiting
}

// readWait is how long a read waits for a record.
func (f *Follower) readWait() time.Duration {
	if f.options.ReadWait > 0 {
		return f.options.ReadWait
	}
	return readWait
}

func (f *Follower) direct() bool {
	return f.options.Direct == nil || f.options.Direct()
}

// readLog reads one batch, waiting for new records when there are none.
func (f *Follower) readLog(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.readWait()+readGrace)
	defer cancel()
	if err := f.findTarget(ctx); err != nil {
		return err
	}
	if !f.direct() && f.staleness() < f.staleAfter() {
		return nil // the newest configuration came with the log's limits
	}
	wait := f.readWait()
	if !f.direct() {
		wait = 0
	}
	from := f.State().FoldedThrough + 1
	started := time.Now()
	f.setWaiting(wait > 0 && f.logHealthy())
	records, err := f.options.Log.Read(ctx, platformlog.ConfigStream, from, readBatch, wait)
	f.setWaiting(false)
	if errors.Is(err, platformlog.ErrTrimmed) {
		return f.startFromSnapshot(ctx)
	}
	if err != nil {
		return err
	}
	f.apply(records, fromLog)
	if len(records) < readBatch {
		f.noteConfirmed()
		f.noteAtEnd(endSeen(started, len(records), wait))
	}
	return nil
}

// findTarget learns once how far the stream reaches, so that a node that starts
// doesn't act on versions that were replaced before.
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
	f.noteLog(nil)
	if reached {
		f.startServing()
	}
	return nil
}

// startBounds returns the limits of the stream. A log with keys gives the newest
// configuration along with them.
func (f *Follower) startBounds(ctx context.Context) (platformlog.Bounds, error) {
	if keyed, ok := f.options.Log.(platformlog.Keyed); ok {
		return f.adoptNewest(ctx, keyed)
	}
	return f.options.Log.Bounds(ctx, platformlog.ConfigStream)
}

// adoptNewest starts the fold at the newest configuration that a log with keys
// holds, unless the state is newer.
func (f *Follower) adoptNewest(ctx context.Context, log platformlog.Keyed) (platformlog.Bounds, error) {
	started := time.Now()
	records, bounds, err := log.Newest(ctx, platformlog.ConfigStream)
	if err != nil {
		return bounds, err
	}
	defer f.noteAtEnd(started)
	if state, ok := startFromNewest(records, bounds); ok {
		f.adopt(state, fromLog)
	}
	return bounds, nil
}

// startFromSnapshot looks for a snapshot among the records kept and starts the
// fold there.
func (f *Follower) startFromSnapshot(ctx context.Context) error {
	if keyed, ok := f.options.Log.(platformlog.Keyed); ok {
		_, err := f.adoptNewest(ctx, keyed)
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
			if state, ok := startFrom(record, bounds.First); ok && f.adopt(state, fromLog) {
				return nil
			}
		}
		cursor = records[len(records)-1].Offset + 1
	}
	return errNoSnapshot
}

// noteLog remembers how the last read went and logs a change.
func (f *Follower) noteLog(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wasHealthy := f.logErr == nil
	f.logErr = err
	f.metrics.read(err)
	if err == nil {
		f.logRead = time.Now()
	}
	switch {
	case err != nil && wasHealthy:
		f.logger.Warn("configuration stream unreadable", zap.Error(err), zap.Int64("folded_through", f.folded.FoldedThrough))
	case err == nil && !wasHealthy:
		f.logger.Info("configuration stream readable", zap.Int64("folded_through", f.folded.FoldedThrough))
	}
	if err != nil {
		f.pulls.wake()
	}
}

// logHealthy says whether the last read succeeded.
func (f *Follower) logHealthy() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.logErr == nil
}

// IsReader says whether the instance name is among the readers of its data centre
// that follow the log directly, by rank of a hash over all instances there. Each
// instance works it out alone.
func IsReader(name string, instances []string, readers int) bool {
	own := xxhash.Sum64String(name)
	before := 0
	for _, other := range instances {
		if hash := xxhash.Sum64String(other); hash < own || hash == own && other < name {
			before++
		}
	}
	return before < readers
}

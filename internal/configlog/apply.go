package configlog

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
)

const (
	sourceLog  = pb.ConfigSource_CONFIG_SOURCE_LOG
	sourcePeer = pb.ConfigSource_CONFIG_SOURCE_PEER
)

// apply folds the records that follow the state, ignores the others and reports
// whether the state changed.
func (f *Follower) apply(records []platformlog.Record, source pb.ConfigSource) bool {
	defer f.notify()
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.folded
	for _, record := range records {
		f.foldOne(record)
	}
	return f.stateChanged(before, source)
}

// foldOne folds one record. The caller holds f.mu.
func (f *Follower) foldOne(record platformlog.Record) {
	next, entry := Fold(f.folded, record)
	if next.FoldedThrough == f.folded.FoldedThrough {
		return
	}
	f.recordSnapshot(record)
	f.folded = next
	f.buffer.add(record, next.Chain)
	f.metrics.record(entry)
	f.logEntry(entry)
}

// adopt merges the state with one that was not folded from it and reports whether that
// changed it.
func (f *Follower) adopt(state State, source pb.ConfigSource) bool {
	defer f.notify()
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.folded
	merged := before.merge(state)
	if merged == before {
		return false
	}
	f.folded = merged
	f.buffer.reset()
	f.logNewEra(before)
	f.lastSnapshot.startAge(time.Now())
	return f.stateChanged(before, source)
}

// logNewEra logs that the log came back from an older copy, and tells the node. The
// caller holds f.mu.
func (f *Follower) logNewEra(before State) {
	era := platformlog.EraOf(f.folded.FoldedThrough)
	if before.FoldedThrough == 0 || era == platformlog.EraOf(before.FoldedThrough) {
		return
	}
	f.logger.Warn("the log came back from an older copy", zap.Int64("era", era),
		zap.Int64("before", before.FoldedThrough), zap.Int64("folded_through", f.folded.FoldedThrough),
		zap.Int64("operator_version", f.folded.OperatorVersion()))
	if f.options.OnNewEra != nil {
		go f.options.OnNewEra()
	}
}

// stateChanged handles a change of the folded state: it wakes the waiters and puts
// the state in force if the node may serve. It reports false if the state is that of
// before. The caller holds f.mu.
func (f *Follower) stateChanged(before State, source pb.ConfigSource) bool {
	if f.folded == before {
		return false
	}
	f.source = source
	f.wakeWaiters()
	f.metrics.state(f.folded)
	f.metrics.unapplied(Unapplied(f.folded) != nil, len(Adjusted(f.folded)))
	if f.target >= 0 && f.folded.FoldedThrough >= f.target {
		f.serving = true
	}
	f.putInForce()
	return true
}

// wakeWaiters wakes the calls that wait for a change. The caller holds f.mu.
func (f *Follower) wakeWaiters() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// startServing lets the node act on the folded state.
func (f *Follower) startServing() {
	defer f.notify()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serving = true
	f.putInForce()
}

// putInForce makes the folded state the one in force, if the node may serve and a
// configuration is published. The caller holds f.mu.
func (f *Follower) putInForce() {
	if !f.serving || f.folded.Version() == 0 {
		return
	}
	last := f.inForce.Load()
	state := f.folded
	f.inForce.Store(&state)
	f.recordEvacuations(last, state)
	if last != nil && last.Version() == state.Version() {
		return
	}
	f.inForceSince = time.Now()
	f.logger.Info("configuration in force",
		zap.Int64("version", state.Version()),
		zap.String("preset", state.Config.GetPreset()),
		zap.Stringer("source", f.source))
}

// recordEvacuations records the evacuations in force, and logs them if they differ from
// those of the last state in force; nil: there was none. The caller holds f.mu.
func (f *Follower) recordEvacuations(last *State, state State) {
	evacuated := Evacuated(state.Config)
	f.metrics.evacuated(len(evacuated))
	var before []string
	if last != nil {
		before = Evacuated(last.Config)
	}
	if !slices.Equal(before, evacuated) {
		f.logger.Info("evacuated data centres changed", zap.Strings("before", before), zap.Strings("evacuated", evacuated),
			zap.Int64("folded_through", state.FoldedThrough), zap.Stringer("source", f.source))
	}
}

// logEntry logs a refused change, and the limits of an accepted one that are applied as a
// bound. Other accepted changes are logged when they come into force.
func (f *Follower) logEntry(entry *pb.AuditEntry) {
	if entry == nil {
		return
	}
	if entry.GetAccepted() {
		if len(entry.GetAdjusted()) > 0 {
			f.logger.Warn("limits of the configuration above a bound", zap.Int64("offset", entry.GetOffset()),
				zap.String("operator", entry.GetOperator()), zap.Strings("adjusted", entry.GetAdjusted()))
		}
		return
	}
	level := zap.InfoLevel
	if isUnusable(entry) {
		level = zap.WarnLevel
	}
	f.logger.Log(level, "configuration change refused",
		zap.Int64("offset", entry.GetOffset()),
		zap.String("operator", entry.GetOperator()),
		zap.Stringer("kind", entry.GetRefusal()),
		zap.String("summary", entry.GetSummary()))
}

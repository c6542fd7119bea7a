package configlog

import (
	"context"
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
)

// Schedule of snapshots.
const (
	// snapshotsPerRetention divides the retention into the snapshot period.
	snapshotsPerRetention = 4
	// spreadDivisor divides that period into the interval over which the nodes
	// spread their writes.
	spreadDivisor = 2
	// maxRecordsBetweenSnapshots is the number of records after which a snapshot is
	// due regardless of the period.
	maxRecordsBetweenSnapshots = 500
	// spreadRootDegree is the degree of the root that shapes the spread: of many
	// nodes, the earliest is well ahead of the second, so that usually only one
	// writes.
	spreadRootDegree = 4
)

// snapshotInfo describes the last snapshot on the stream as seen by this node.
type snapshotInfo struct {
	offset int64
	// logTime is when the log stored it; zero if unknown.
	logTime time.Time
	// seen is when this node folded it, or when the node started.
	seen time.Time
}

// startAge starts the age of the snapshot at now, for a state that was adopted before
// any record was folded.
func (m *snapshotInfo) startAge(now time.Time) {
	if m.seen.IsZero() {
		m.seen = now
	}
}

// recordSnapshot records the snapshot in record, if it has a consistent one. A snapshot
// whose chain differs from the buffered one at its offset is counted as a divergence
// instead. The first record folded, of any kind, starts the age of the snapshot. The
// caller holds f.mu.
func (f *Follower) recordSnapshot(record platformlog.Record) {
	if f.lastSnapshot.seen.IsZero() {
		f.lastSnapshot = snapshotInfo{logTime: record.Time, seen: time.Now()}
	}
	snapshot := decodeSnapshot(record)
	if snapshot == nil || snapshot.GetFoldedThrough() >= record.Offset {
		return
	}
	if _, err := StateFromSnapshot(snapshot); err != nil {
		return
	}
	chain, held := f.buffer.chainAt(snapshot.GetFoldedThrough())
	if held && chain != snapshot.GetChain() {
		f.divergences.Add(1)
		f.metrics.diverged()
		return
	}
	f.lastSnapshot = snapshotInfo{offset: record.Offset, logTime: record.Time, seen: time.Now()}
}

// Snapshotter writes the state to the log as a snapshot before the retention of
// the last one ends. Every node runs one; several writers do no harm.
type Snapshotter struct {
	name          string
	log           platformlog.Log
	follower      *Follower
	period        time.Duration
	checkInterval time.Duration
	// unwritable reports whether the last snapshot could not be encoded as a record
	// or was too large for one.
	unwritable bool
}

// NewSnapshotter returns a snapshotter for a log that retains records for
// retention.
func NewSnapshotter(name string, log platformlog.Log, follower *Follower, retention time.Duration) *Snapshotter {
	period := retention / snapshotsPerRetention
	return &Snapshotter{
		name:          name,
		log:           log,
		follower:      follower,
		period:        period,
		checkInterval: max(period/32, 10*time.Millisecond),
	}
}

// Run writes snapshots until ctx ends.
func (s *Snapshotter) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if s.isDue(time.Now()) {
			s.write(ctx)
		}
	}
}

// isDue reports whether this node should write a snapshot now: the last one is too
// old by time or by records, and this node's own delay after that has passed.
func (s *Snapshotter) isDue(now time.Time) bool {
	f := s.follower
	if f.Current() == nil || !f.logHealthy() {
		return false
	}
	f.mu.Lock()
	last, through := f.lastSnapshot, f.folded.FoldedThrough
	f.mu.Unlock()
	age := now.Sub(last.seen)
	if !last.logTime.IsZero() {
		age = max(age, now.Sub(last.logTime))
	}
	threshold := s.period
	if through-last.offset > maxRecordsBetweenSnapshots {
		threshold = 0
	}
	return age >= threshold+s.delay(last.offset)
}

// delay returns how long this node waits once the successor of the snapshot at
// offset is due. The hash of name and offset makes it differ between nodes and from
// one snapshot to the next.
func (s *Snapshotter) delay(offset int64) time.Duration {
	data := binary.BigEndian.AppendUint64([]byte(s.name), uint64(offset))
	share := float64(xxhash.Sum64(data)) / math.MaxUint64
	spread := float64(s.period / spreadDivisor)
	return time.Duration(spread * math.Pow(share, 1.0/spreadRootDegree))
}

// write appends a snapshot of the folded state and waits until it is folded.
func (s *Snapshotter) write(ctx context.Context) {
	state := s.follower.State()
	record := &pb.ConfigRecord{
		Id:         NewID(),
		Operator:   s.name,
		TimeUnixMs: NowUnixMs(),
		Change:     &pb.ConfigRecord_Snapshot{Snapshot: state.Snapshot()},
	}
	data, err := proto.Marshal(record)
	if err != nil || len(data) > platformlog.MaxRecordBytes {
		s.recordUnwritable(err, len(data))
		return
	}
	s.unwritable = false
	ctx, cancel := context.WithTimeout(ctx, defaultReadWait+readGrace)
	defer cancel()
	offset, err := s.log.Append(ctx, platformlog.ConfigStream, data)
	if err != nil {
		return
	}
	_, _ = s.follower.Await(ctx, func(state State) bool { return state.FoldedThrough >= offset })
}

// recordUnwritable logs that snapshots can't be written, once until one can be encoded
// again.
func (s *Snapshotter) recordUnwritable(err error, bytes int) {
	if !s.unwritable {
		s.follower.logger.Error("snapshot can't be written", zap.Error(err), zap.Int("bytes", bytes))
	}
	s.unwritable = true
}

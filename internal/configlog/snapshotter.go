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

// When a snapshot is written again.
const (
	// snapshotShare is the part of the retention after which one is due.
	snapshotShare = 4
	// spreadShare is the part of that over which nodes spread their writes.
	spreadShare = 2
	// maxRecordsBetween is the number of records after which one is due.
	maxRecordsBetween = 500
	// spreadOrder shapes the spread: the earliest of many nodes is well apart
	// from the second, so that mostly one writes.
	spreadOrder = 4
)

// snapshotMark is the last snapshot on the stream as this node saw it.
type snapshotMark struct {
	offset int64
	// logTime is when the log took it, zero when unknown.
	logTime time.Time
	// seen is when this node folded it or started.
	seen time.Time
}

func (m *snapshotMark) adopted(now time.Time) {
	if m.seen.IsZero() {
		m.seen = now
	}
}

// noteSnapshot remembers a snapshot record that agrees with this node's own
// fold. The caller holds mu.
func (f *Follower) noteSnapshot(record platformlog.Record) {
	if f.snapshots.seen.IsZero() {
		f.snapshots = snapshotMark{logTime: record.Time, seen: time.Now()}
	}
	snapshot := snapshotOf(record)
	if snapshot == nil || snapshot.GetFoldedThrough() >= record.Offset {
		return
	}
	if _, err := Adopt(snapshot); err != nil {
		return
	}
	chain, held := f.buffer.chainAt(snapshot.GetFoldedThrough())
	if held && chain != snapshot.GetChain() {
		f.divergences.Add(1)
		f.metrics.diverged()
		return
	}
	f.snapshots = snapshotMark{offset: record.Offset, logTime: record.Time, seen: time.Now()}
}

// Snapshotter writes the state to the log again before the retention ends. Every
// node runs one; a second writer does no harm.
type Snapshotter struct {
	name      string
	log       platformlog.Log
	follower  *Follower
	period    time.Duration
	heartbeat time.Duration
	// unwritable says whether the last snapshot could not be a record.
	unwritable bool
}

// NewSnapshotter returns a snapshotter for a log that keeps records for
// retention.
func NewSnapshotter(name string, log platformlog.Log, follower *Follower, retention time.Duration) *Snapshotter {
	period := retention / snapshotShare
	return &Snapshotter{
		name:      name,
		log:       log,
		follower:  follower,
		period:    period,
		heartbeat: max(period/32, 10*time.Millisecond),
	}
}

// Run writes snapshots until ctx ends.
func (s *Snapshotter) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if s.due(time.Now()) {
			s.write(ctx)
		}
	}
}

// due says whether this node writes now: the last snapshot is old by time or by
// records, and this node's own delay after that has passed.
func (s *Snapshotter) due(now time.Time) bool {
	f := s.follower
	if f.Current() == nil || !f.logHealthy() {
		return false
	}
	f.mu.Lock()
	mark, through := f.snapshots, f.folded.FoldedThrough
	f.mu.Unlock()
	age := now.Sub(mark.seen)
	if !mark.logTime.IsZero() {
		age = max(age, now.Sub(mark.logTime))
	}
	threshold := s.period
	if through-mark.offset > maxRecordsBetween {
		threshold = 0
	}
	return age >= threshold+s.delay(mark.offset)
}

// delay is this node's wait after a snapshot at offset became due.
func (s *Snapshotter) delay(offset int64) time.Duration {
	data := binary.BigEndian.AppendUint64([]byte(s.name), uint64(offset))
	share := float64(xxhash.Sum64(data)) / math.MaxUint64
	spread := float64(s.period / spreadShare)
	return time.Duration(spread * math.Pow(share, 1.0/spreadOrder))
}

// write appends a snapshot of the state folded so far.
func (s *Snapshotter) write(ctx context.Context) {
	state := s.follower.State()
	record := &pb.ConfigRecord{
		Id:         NewID(),
		Operator:   s.name,
		TimeUnixMs: Now(),
		Change:     &pb.ConfigRecord_Snapshot{Snapshot: state.Snapshot()},
	}
	data, err := proto.Marshal(record)
	if err != nil || len(data) > platformlog.MaxRecordSize {
		s.noteUnwritable(err, len(data))
		return
	}
	s.unwritable = false
	ctx, cancel := context.WithTimeout(ctx, readWait+readGrace)
	defer cancel()
	offset, err := s.log.Append(ctx, platformlog.ConfigStream, data)
	if err != nil {
		return
	}
	_, _ = s.follower.Await(ctx, func(state State) bool { return state.FoldedThrough >= offset })
}

// noteUnwritable writes a line when snapshots stop being possible.
func (s *Snapshotter) noteUnwritable(err error, bytes int) {
	if !s.unwritable {
		s.follower.logger.Error("snapshot can't be written", zap.Error(err), zap.Int("bytes", bytes))
	}
	s.unwritable = true
}

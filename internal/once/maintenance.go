package once

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/egretfield/egretfield/internal/delay"
	"github.com/egretfield/egretfield/internal/once/shard"
	"github.com/egretfield/egretfield/internal/pb"
)

const (
	maintenanceInterval = time.Second
	// snapshotJitterDivisor divides SnapshotInterval to give the greatest random
	// delay of a node's snapshot, so that nodes don't all write one at once.
	snapshotJitterDivisor = 4
	// stateQueryInterval is the average time between queries to peers for a
	// newer state while reads of the log fail at once. It is longer while they
	// time out.
	stateQueryInterval = 30 * time.Second
	maxStatePeers      = 3
)

// maintenanceLoop writes snapshots, so that the state outlives the stream's
// retention. Two concurrent snapshots are harmless: both hold the state that
// all nodes have applied.
func (m *Manager) maintenanceLoop(ctx context.Context) {
	jitter := time.Duration(rand.Float64() * float64(m.opts.SnapshotInterval) / snapshotJitterDivisor)
	for ctx.Err() == nil {
		delay.Sleep(ctx, maintenanceInterval)
		m.tables.divideMemory()
		if record := m.dueStateRecord(time.Now(), jitter); record != nil {
			m.append(ctx, "snapshot", record)
		}
	}
}

// dueStateRecord returns the snapshot or reset that this node should write now,
// or nil.
func (m *Manager) dueStateRecord(now time.Time, jitter time.Duration) *pb.KeeperRecord {
	r := m.replica
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == nil || !r.atEnd || now.Sub(r.lastRead) > readWait+logDownAfter {
		return nil
	}
	if !r.state.Known() {
		m.warnTrimmed(now)
		return &pb.KeeperRecord{Change: &pb.KeeperRecord_Reset_{Reset_: r.state.ResetRecord(now)}}
	}
	age := now.Sub(r.state.SnapshotTime())
	if r.state.Folded() == 0 || (age < m.opts.SnapshotInterval+jitter && !r.state.ResetRefused()) {
		return nil
	}
	r.state.PruneSessions()
	return &pb.KeeperRecord{Change: &pb.KeeperRecord_Snapshot{Snapshot: r.state.Snapshot()}}
}

// askPeersForState takes a newer state from a peer while the log can't be read.
// A node without a state asks at every failed read.
func (m *Manager) askPeersForState(ctx context.Context) {
	var folded shard.Offset
	known := m.replica.view(func(state *shard.State) { folded = state.Folded() })
	if known && rand.N(stateQueryInterval) > readBackoff {
		return
	}
	live := m.opts.Members.Live()
	for range min(maxStatePeers, len(live)) {
		member := live[rand.N(len(live))]
		if member.Instance != m.self.Instance && m.adoptFrom(ctx, member, folded) {
			return
		}
	}
}

func (m *Manager) adoptFrom(ctx context.Context, member Member, folded shard.Offset) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply pb.KeeperStateReply
	query := &pb.KeeperStateQuery{FoldedThrough: folded}
	err := m.opts.ControlClient.Call(callCtx, member.Address, methodState, query, &reply)
	if err != nil || reply.State == nil {
		return false
	}
	m.replica.adopt(reply.State)
	m.logger.Info("took the keeper state from a peer", zap.String("peer", member.Instance))
	return true
}

// warnTrimmed logs the first of several resets in a row. The caller holds the
// replica's lock.
func (m *Manager) warnTrimmed(now time.Time) {
	if now.Sub(m.lastResetDue) > logDownAfter {
		m.logger.Warn("the keeper stream was trimmed and holds no snapshot; resetting it")
	}
	m.lastResetDue = now
}

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
	upkeepEvery = time.Second
	// snapshotSpread is the share of SnapshotEvery over which nodes spread
	// their turns to write a snapshot.
	snapshotSpread = 4
	// stateQueryEvery bounds how often peers are asked for a newer state
	// while the log can't be read.
	stateQueryEvery = 30 * time.Second
	statePeers      = 3
)

// upkeepLoop carries the state past the stream's retention. Two writers of a
// snapshot do no harm: both write what everyone has folded.
func (m *Manager) upkeepLoop(ctx context.Context) {
	turn := time.Duration(rand.Float64() * float64(m.opts.SnapshotEvery) / snapshotSpread)
	for ctx.Err() == nil {
		delay.Sleep(ctx, upkeepEvery)
		m.tables.share()
		if record := m.dueUpkeep(time.Now(), turn); record != nil {
			m.append(ctx, "snapshot", record)
		}
	}
}

// dueUpkeep returns the snapshot or reset that this node should write now.
func (m *Manager) dueUpkeep(now time.Time, turn time.Duration) *pb.KeeperRecord {
	l := m.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == nil || !l.atEnd || now.Sub(l.lastRead) > readWait+logDownAfter {
		return nil
	}
	if !l.state.Known() {
		m.noteTrimmed(now)
		return &pb.KeeperRecord{Change: &pb.KeeperRecord_Reset_{Reset_: l.state.ResetRecord(now)}}
	}
	age := now.Sub(l.state.SnapshotTime())
	if l.state.Folded() == 0 || (age < m.opts.SnapshotEvery+turn && !l.state.ResetRefused()) {
		return nil
	}
	l.state.PruneSessions()
	return &pb.KeeperRecord{Change: &pb.KeeperRecord_Snapshot{Snapshot: l.state.Snapshot()}}
}

// askPeersForState takes a newer state from a peer while the log can't be
// read. A node that knows nothing asks at every failed read.
func (m *Manager) askPeersForState(ctx context.Context) {
	var folded shard.Offset
	known := m.ledger.view(func(state *shard.State) { folded = state.Folded() })
	if known && rand.N(stateQueryEvery) > readBackoff {
		return
	}
	live := m.opts.Members.Live()
	for range min(statePeers, len(live)) {
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
	err := m.opts.Client.Call(callCtx, member.Address, methodState, query, &reply)
	if err != nil || reply.State == nil {
		return false
	}
	m.ledger.adopt(reply.State)
	m.logger.Info("took the keeper state from a peer", zap.String("peer", member.Instance))
	return true
}

// noteTrimmed writes a line for the first of several resets in a row. The caller
// holds the ledger's lock.
func (m *Manager) noteTrimmed(now time.Time) {
	if now.Sub(m.trimmed) > logDownAfter {
		m.logger.Warn("the keeper stream was trimmed and holds no snapshot: starting it anew")
	}
	m.trimmed = now
}

package once

import (
	"context"
	"slices"
	"time"

	"github.com/egretfield/egretfield/internal/delay"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/once/keeper"
	"github.com/egretfield/egretfield/internal/once/shard"
	"github.com/egretfield/egretfield/internal/pb"
)

// lingerTime is how long a node that has handed everything over still answers
// "moved": the time that the others need to read the handover from the log.
const lingerTime = 3 * readPause

// resendTransfers sends open transfers again and drops those that are complete
// according to the log.
func (m *Manager) resendTransfers(ctx context.Context) {
	for _, out := range m.transfers.openOutgoing() {
		switch {
		case m.isTransferDone(out):
			m.transfers.closeOutgoing(out)
		case !out.acked:
			m.sendTransfer(ctx, out)
		}
	}
	m.markAbsentRecipients(time.Now())
}

func (t *transfers) openOutgoing() []*outgoing {
	t.mu.Lock()
	defer t.mu.Unlock()
	var open []*outgoing
	for _, out := range t.out {
		open = append(open, out)
	}
	return open
}

func (t *transfers) closeOutgoing(out *outgoing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.out, out.message.Transfer)
}

// isTransferDone reports whether the transfer is acknowledged and none of its
// intervals is a present one of this session any more.
func (m *Manager) isTransferDone(out *outgoing) bool {
	done := m.replica.view(func(*shard.State) {})
	for _, table := range out.tables {
		done = done && !m.isCurrent(table)
	}
	return done && out.acked
}

// markAbsentRecipients records since when the recipients of open transfers have
// been absent.
func (m *Manager) markAbsentRecipients(now time.Time) {
	p := m.placement.Load()
	t := &m.transfers
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, out := range t.out {
		live, ok := p.live[out.to.Instance]
		switch {
		case ok && live.Incarnation == out.to.Incarnation:
			out.absentSince = time.Time{}
		case out.absentSince.IsZero():
			out.absentSince = now
		}
	}
}

// isAbandoned reports whether this session's present interval of the shard is
// sealed and the recipient of its table is absent. The rest of the interval is
// then lost: no session may grant in it.
func (m *Manager) isAbandoned(id uint32, current shard.Interval, abandoned []*keeper.Table) bool {
	if len(abandoned) == 0 {
		return false
	}
	sealed := m.tables.sealedCurrent(id, current)
	return sealed != nil && slices.Contains(abandoned, sealed)
}

// abandoned returns the sealed tables whose recipient has been absent for
// abandonDelay.
func (t *transfers) abandoned() []*keeper.Table {
	t.mu.Lock()
	defer t.mu.Unlock()
	var tables []*keeper.Table
	for _, out := range t.out {
		if !out.absentSince.IsZero() && time.Since(out.absentSince) >= abandonDelay {
			tables = append(tables, out.tables...)
		}
	}
	return tables
}

// Leave hands all intervals over to other instances. It returns when they have
// accepted and, unless the log is down, the log shows them as keepers. The node
// must keep running and answering until then. Call it once, after Members shows
// this instance as draining.
func (m *Manager) Leave(ctx context.Context) error {
	m.leaving.Store(true)
	m.refreshPlacement()
	for {
		open := len(m.tables.unsealed())
		unacked := m.transfers.unacked()
		if open == 0 && unacked == 0 && (m.ownsNoShards() || m.replica.isLogDown()) {
			delay.Sleep(ctx, lingerTime)
			return nil
		}
		if ctx.Err() != nil {
			return errkind.New(pb.ErrorKind_ERROR_KIND_TIMEOUT,
				"left with %d tables not handed over and %d transfers unanswered", open, unacked)
		}
		delay.Sleep(ctx, tick)
	}
}

func (m *Manager) handOverAll(ctx context.Context) {
	p := m.placement.Load()
	groups := make(map[string][]*keeper.Table)
	for _, table := range m.tables.unsealed() {
		if to, ok := p.firstOther(table.IntervalID.Shard, m.self.Instance); ok {
			groups[to.Instance] = append(groups[to.Instance], table)
		}
	}
	for instance, tables := range groups {
		m.handOver(ctx, p.live[instance], tables)
	}
}

func (t *transfers) unacked() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, out := range t.out {
		if !out.acked {
			count++
		}
	}
	return count
}

// ownsNoShards reports whether no present interval is known to be this
// session's. It is true while the state isn't known.
func (m *Manager) ownsNoShards() bool {
	owned := 1
	known := m.replica.view(func(state *shard.State) { owned = len(state.Owned(m.session.ID)) })
	return !known || owned == 0
}

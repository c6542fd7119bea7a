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
// "moved": the time in which the others read it from the log.
const lingerTime = 3 * readPause

// resendTransfers offers the open transfers again and forgets those that the
// log shows as done.
func (m *Manager) resendTransfers(ctx context.Context) {
	for _, out := range m.transfers.openOutgoing() {
		switch {
		case m.isDone(out):
			m.transfers.closeOutgoing(out)
		case !out.acked:
			m.send(ctx, out)
		}
	}
	m.noteGone(time.Now())
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

// isDone reports whether none of the transfer's intervals is this session's
// present one any more.
func (m *Manager) isDone(out *outgoing) bool {
	done := m.ledger.view(func(*shard.State) {})
	for _, table := range out.tables {
		done = done && !m.isCurrent(table)
	}
	return done && out.acked
}

// noteGone records since when the receivers of open transfers are gone.
func (m *Manager) noteGone(now time.Time) {
	place := m.placement.Load()
	t := &m.transfers
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, out := range t.out {
		live, ok := place.live[out.to.Instance]
		switch {
		case ok && live.Incarnation == out.to.Incarnation:
			out.goneSince = time.Time{}
		case out.goneSince.IsZero():
			out.goneSince = now
		}
	}
}

// isAbandoned reports whether this session's present interval of the shard is
// sealed and the receiver of its memory is gone. The rest of the interval is
// lost then: nobody may grant in it.
func (m *Manager) isAbandoned(id uint32, current shard.Interval, gone []*keeper.Table) bool {
	if len(gone) == 0 {
		return false
	}
	sealed := m.tables.sealedCurrent(id, current)
	return sealed != nil && slices.Contains(gone, sealed)
}

// abandoned returns the sealed tables whose receiver is gone.
func (t *transfers) abandoned() []*keeper.Table {
	t.mu.Lock()
	defer t.mu.Unlock()
	var tables []*keeper.Table
	for _, out := range t.out {
		if !out.goneSince.IsZero() && time.Since(out.goneSince) >= abandonDelay {
			tables = append(tables, out.tables...)
		}
	}
	return tables
}

// Leave hands all intervals over to other instances. It returns when they
// have accepted and, if the log is up, the log shows them as keepers. The node
// must keep running and answering until then. Call it once, after Members
// shows this instance as draining.
func (m *Manager) Leave(ctx context.Context) error {
	m.leaving.Store(true)
	m.refreshPlacement()
	for {
		open := len(m.tables.unsealed())
		unacked := m.transfers.unacked()
		if open == 0 && unacked == 0 && (m.ownsNothing() || m.ledger.isLogDown()) {
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
	place := m.placement.Load()
	groups := make(map[string][]*keeper.Table)
	for _, table := range m.tables.unsealed() {
		if to, ok := place.firstOther(table.IntervalID.Shard, m.self.Instance); ok {
			groups[to.Instance] = append(groups[to.Instance], table)
		}
	}
	for instance, tables := range groups {
		m.handOver(ctx, place.live[instance], tables)
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

func (m *Manager) ownsNothing() bool {
	owned := 1
	known := m.ledger.view(func(state *shard.State) { owned = len(state.Owned(m.session.ID)) })
	return !known || owned == 0
}

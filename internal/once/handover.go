package once

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/delay"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/once/keeper"
	"github.com/egretfield/egretfield/internal/once/shard"
	"github.com/egretfield/egretfield/internal/pb"
)

const (
	handoverInterval = 500 * time.Millisecond
	// misplacedDelay is how long a shard must be misplaced before it is moved.
	misplacedDelay = 5 * time.Second
	// abandonDelay is how long the recipient of a handover must be absent before
	// the sender itself claims the shard again.
	abandonDelay = 5 * time.Second
	// maxTransferBytes is the size above which no table is added to a call. A
	// call holds at most this and one sealed table.
	maxTransferBytes = 768 << 10
	transferTimeout  = 3 * time.Second
	// maxTransfers is the number of transfer ids remembered by a session. It
	// refuses further transfers.
	maxTransfers = 100_000
)

// outgoing is a transfer of sealed tables to one session.
type outgoing struct {
	message     *pb.KeeperTransfer
	tables      []*keeper.Table
	to          Member
	acked       bool
	absentSince time.Time
}

// incoming is an accepted transfer whose handover record isn't applied yet.
type incoming struct {
	record   *pb.KeeperHandover
	appended bool
}

// transfers are the handovers of this session in progress. Its lock is taken
// before the replica's, never while that is held.
type transfers struct {
	mu  sync.Mutex
	out map[uint64]*outgoing
	in  map[uint64]*incoming
	// decided records for each transfer offered to this session whether it was
	// accepted.
	decided map[uint64]bool
}

func (t *transfers) init() {
	t.out = make(map[uint64]*outgoing)
	t.in = make(map[uint64]*incoming)
	t.decided = make(map[uint64]bool)
}

// accept takes the tables of a transfer, at most once. A result of false is
// final; an error isn't.
func (m *Manager) accept(ctx context.Context, args *pb.KeeperTransfer) (bool, error) {
	if args.To != m.session.ID {
		return false, nil
	}
	restored, ok := m.restore(args)
	if ok && !m.reserve(ctx, restored) {
		return false, errkind.New(pb.ErrorKind_ERROR_KIND_NOT_READY, "the witness did not agree to a limit past the granted timestamps")
	}
	return m.decide(args, restored, ok), nil
}

// reserve waits for a grant limit past all timestamps granted in the tables: a
// fence of this session must not free them.
func (m *Manager) reserve(ctx context.Context, restored []*keeper.Table) bool {
	var grantedEnd shard.Timestamp
	for _, table := range restored {
		grantedEnd = max(grantedEnd, table.GrantedEnd())
	}
	waitCtx, cancel := context.WithTimeout(ctx, limitWait)
	defer cancel()
	if grantedEnd > 0 {
		m.awaitLimit(waitCtx, grantedEnd-1)
	}
	return m.tables.limits.Grant.Reserve(grantedEnd)
}

// decide records whether a transfer is accepted, and adds its tables if so. It
// decides once for each transfer id. The granted timestamps must be reserved
// already.
func (m *Manager) decide(args *pb.KeeperTransfer, restored []*keeper.Table, ok bool) bool {
	t := &m.transfers
	t.mu.Lock()
	defer t.mu.Unlock()
	if accepted, ok := t.decided[args.Transfer]; ok {
		return accepted
	}
	accepted := ok && !m.closed.Load() && len(t.decided) < maxTransfers
	if len(t.decided) < maxTransfers {
		t.decided[args.Transfer] = accepted
	}
	if !accepted {
		return false
	}
	record := &pb.KeeperHandover{From: args.From, To: shard.SessionMessage(m.session), Transfer: args.Transfer}
	for i, table := range restored {
		m.addTable(table)
		record.Intervals = append(record.Intervals, args.Tables[i].Interval)
	}
	t.in[args.Transfer] = &incoming{record: record}
	return true
}

func (m *Manager) restore(args *pb.KeeperTransfer) ([]*keeper.Table, bool) {
	var restored []*keeper.Table
	for _, message := range args.Tables {
		table, err := keeper.Restore(message, args.Transfer, &m.tables.limits)
		if err != nil || table.IntervalID.Shard >= shard.Count {
			return nil, false
		}
		restored = append(restored, table)
	}
	return restored, true
}

func (m *Manager) addTable(table *keeper.Table) {
	var current keeper.IntervalID
	m.replica.view(func(state *shard.State) {
		id := table.IntervalID.Shard
		if state.Current(id).Owner == m.session.ID {
			current = keeper.IntervalIDOf(id, state.Current(id))
		}
	})
	m.tables.add(table, current)
}

// handoverLoop moves misplaced shards, or all of them when the node leaves, and
// resends open transfers. Only this loop changes outgoing transfers.
func (m *Manager) handoverLoop(ctx context.Context) {
	misplaced := make(map[uint32]time.Time)
	for ctx.Err() == nil {
		delay.Sleep(ctx, handoverInterval)
		switch {
		case m.leaving.Load():
			m.handOverAll(ctx)
		case !m.replica.isLogDown():
			m.moveMisplaced(ctx, misplaced)
		}
		m.resendTransfers(ctx)
	}
}

// incomingLoop appends the handover records of accepted transfers.
func (m *Manager) incomingLoop(ctx context.Context) {
	for ctx.Err() == nil {
		delay.Sleep(ctx, tick)
		m.appendHandovers(ctx)
	}
}

// appendHandovers appends the record of each accepted transfer until it is
// applied or void.
func (m *Manager) appendHandovers(ctx context.Context) {
	for id, in := range m.transfers.openIncoming() {
		if in.appended && !m.isHandoverNeeded(in.record) {
			m.transfers.closeIncoming(id)
			continue
		}
		record := &pb.KeeperRecord{Change: &pb.KeeperRecord_Handover{Handover: in.record}}
		in.appended = m.append(ctx, "handover", record) == nil || in.appended
	}
}

func (t *transfers) openIncoming() map[uint64]*incoming {
	t.mu.Lock()
	defer t.mu.Unlock()
	open := make(map[uint64]*incoming, len(t.in))
	for id, in := range t.in {
		open[id] = in
	}
	return open
}

func (t *transfers) closeIncoming(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.in, id)
}

// isHandoverNeeded reports whether the sender still keeps an interval of the
// record.
func (m *Manager) isHandoverNeeded(record *pb.KeeperHandover) bool {
	needed := false
	m.replica.view(func(state *shard.State) {
		for _, interval := range record.Intervals {
			needed = needed || state.Keeps(record.From, interval)
		}
	})
	return needed
}

// moveMisplaced hands over the shards whose preferred keeper is another
// instance.
func (m *Manager) moveMisplaced(ctx context.Context, since map[uint32]time.Time) {
	now := time.Now()
	p := m.placement.Load()
	groups := make(map[string][]*keeper.Table)
	for _, table := range m.tables.unsealed() {
		id := table.IntervalID.Shard
		first, ok := p.first(id)
		if !ok || first.Instance == m.self.Instance || !m.isCurrent(table) {
			delete(since, id)
			continue
		}
		if _, seen := since[id]; !seen {
			since[id] = now
		}
		if now.Sub(since[id]) >= misplacedDelay {
			groups[first.Instance] = append(groups[first.Instance], table)
		}
	}
	for instance, tables := range groups {
		m.handOver(ctx, p.live[instance], tables)
	}
}

func (m *Manager) isCurrent(table *keeper.Table) bool {
	current := false
	m.replica.view(func(state *shard.State) {
		interval := state.Current(table.IntervalID.Shard)
		current = interval.Owner == m.session.ID && keeper.IntervalIDOf(table.IntervalID.Shard, interval) == table.IntervalID
	})
	return current
}

// handOver seals tables and sends them to the session that runs on to. It does
// nothing if that session takes no shards or can't be reached.
func (m *Manager) handOver(ctx context.Context, to Member, tables []*keeper.Table) {
	session, err := m.sessionOf(ctx, to)
	if err != nil {
		return
	}
	for len(tables) > 0 {
		out := m.seal(session, to, &tables)
		m.transfers.open(out)
		m.sendTransfer(ctx, out)
	}
}

func (m *Manager) sessionOf(ctx context.Context, to Member) (*pb.KeeperSession, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var session pb.KeeperSession
	err := m.opts.ControlClient.Call(callCtx, to.Address, methodSession, &pb.Empty{}, &session)
	if err != nil {
		return nil, err
	}
	if session.Instance != to.Instance || session.Incarnation != to.Incarnation {
		return nil, errkind.New(pb.ErrorKind_ERROR_KIND_NOT_FOUND, "instance %s has restarted or another one has its address", to.Instance)
	}
	return &session, nil
}

// seal seals tables from the front of the list, and takes them off it, until the
// call is full.
func (m *Manager) seal(session *pb.KeeperSession, to Member, tables *[]*keeper.Table) *outgoing {
	out := &outgoing{
		message: &pb.KeeperTransfer{From: m.session.ID, To: session.Id, Transfer: newID()},
		to:      to,
	}
	size := 0
	for len(*tables) > 0 && size < maxTransferBytes {
		table := (*tables)[0]
		*tables = (*tables)[1:]
		sealed := table.Seal(to.Instance)
		if sealed == nil {
			continue
		}
		size += proto.Size(sealed)
		out.message.Tables = append(out.message.Tables, sealed)
		out.tables = append(out.tables, table)
	}
	return out
}

func (t *transfers) open(out *outgoing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.out[out.message.Transfer] = out
}

// sendTransfer offers a transfer to its recipient. Without an answer the
// transfer stays open.
func (m *Manager) sendTransfer(ctx context.Context, out *outgoing) {
	callCtx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	var reply pb.KeeperTransferReply
	// A call that timed out may still be sending its message.
	message := &pb.KeeperTransfer{
		From:     out.message.From,
		To:       out.message.To,
		Transfer: out.message.Transfer,
		Tables:   out.message.Tables,
	}
	err := m.opts.ControlClient.Call(callCtx, out.to.Address, methodTransfer, message, &reply)
	if err != nil {
		return
	}
	m.metrics.handedOver(len(out.tables), reply.Accepted)
	if !reply.Accepted {
		m.redirect(ctx, out)
		return
	}
	m.transfers.ack(out)
	m.logger.Info("handed shards over", zap.String("to", out.to.Instance), zap.Int("shards", len(out.tables)))
}

func (t *transfers) ack(out *outgoing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out.acked = true
	out.message.Tables = nil
}

// redirect assigns a refused transfer to another recipient. The refusal is
// final, so no two sessions can have accepted it.
func (m *Manager) redirect(ctx context.Context, out *outgoing) {
	p := m.placement.Load()
	for _, member := range p.eligible {
		if member.Instance == m.self.Instance || member.Instance == out.to.Instance {
			continue
		}
		session, err := m.sessionOf(ctx, member)
		if err != nil {
			continue
		}
		m.transfers.rebind(out, session.Id, member)
		return
	}
}

func (t *transfers) rebind(out *outgoing, session uint64, to Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.out, out.message.Transfer)
	out.message.To = session
	out.message.Transfer = newID()
	out.to = to
	out.absentSince = time.Time{}
	t.out[out.message.Transfer] = out
	for _, table := range out.tables {
		table.Redirect(to.Instance)
	}
}

package once

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/egretfield/egretfield/internal/once/shard"
	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// extendEvery is the time between two extensions of the grant limit.
	extendEvery = 500 * time.Millisecond
	// grantLead is how far the limit is set past the clock. The keys born in
	// it are lost with their keeper.
	grantLead = 1250 * time.Millisecond
	// extendTimeout bounds a call to a witness.
	extendTimeout = 300 * time.Millisecond
	// witnessPatience is how long a witness may fail before it is replaced.
	witnessPatience = 500 * time.Millisecond
	// rebindEvery is the least time between two Witness records of a session.
	rebindEvery = time.Second
	// maxBindings bounds the witnesses whose records may be on their way.
	maxBindings = 3
)

// settle brings the bindings and the tables in line with the folded state: a
// fence ends the tables at the limit in force before it may rise again, and
// bindings that the log has ruled out are dropped.
func (m *Manager) settle(state *shard.State) {
	b := &m.bindings
	w := state.Witnessing(m.session.ID)
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.Fenced > b.fenced {
		b.fenced = w.Fenced
		if end, limited := m.tables.limits.Grant.End(); limited {
			m.tables.cut(end)
		}
	}
	b.list = slices.DeleteFunc(b.list, func(bound *binding) bool {
		return bound.epoch < w.Epoch || (bound.epoch == w.Epoch && bound.session.Id != w.Witness)
	})
}

// liftIfFree ends the limit when no witness can fence this session. It is
// called after settle and once the tables follow the state.
func (m *Manager) liftIfFree() {
	b := &m.bindings
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.list) == 0 {
		m.tables.limits.Grant.Lift()
	}
}

// witnessLoop keeps a witness for this session and extends its grant limit.
func (m *Manager) witnessLoop(ctx context.Context) {
	for ctx.Err() == nil {
		m.bindings.pause(ctx)
		m.extend(ctx)
		switch {
		case !m.mayBind():
		case m.isWitnessDue():
			m.bind(ctx)
		case m.isPending():
			m.name(ctx, m.bindings.last())
		}
	}
}

// extend asks all witnesses to agree to a higher limit.
func (m *Manager) extend(ctx context.Context) {
	b := &m.bindings
	list := b.all()
	if len(list) == 0 {
		b.failingSince = time.Time{}
		return
	}
	end := m.wantedLimit(time.Now())
	agreed := make(chan bool, len(list))
	for _, bound := range list {
		go func() { agreed <- m.askWitness(ctx, bound, end) }()
	}
	all := true
	for range list {
		all = <-agreed && all
	}
	if all {
		m.tables.limits.Grant.Raise(end)
		b.failingSince = time.Time{}
		return
	}
	if b.failingSince.IsZero() {
		b.failingSince = time.Now()
	}
}

// wantedLimit is a little past the clock, or the end of the lease while no
// witness may be found in time: in a log outage and before a leave.
func (m *Manager) wantedLimit(now time.Time) shard.Timestamp {
	m.bindings.mu.Lock()
	needed := m.bindings.needed
	m.bindings.mu.Unlock()
	end := max(shard.Timestamp(now.Add(grantLead).UnixMilli()), needed)
	if m.leaving.Load() || m.ledger.isSilent() {
		end = max(end, m.leaseEnd(now))
	}
	return end
}

func (m *Manager) askWitness(ctx context.Context, bound *binding, end shard.Timestamp) bool {
	callCtx, cancel := context.WithTimeout(ctx, extendTimeout)
	defer cancel()
	args := &pb.KeeperExtend{
		Session: m.session.ID,
		Epoch:   bound.epoch,
		To:      bound.session.Id,
		EndMs:   end,
	}
	var reply pb.KeeperExtendReply
	err := m.opts.Client.Call(callCtx, bound.to.Address, methodExtend, args, &reply)
	return err == nil && reply.Accepted
}

// mayBind reports whether a Witness record is likely to be stored and valid.
func (m *Manager) mayBind() bool {
	if m.leaving.Load() || m.ledger.isSilent() || time.Since(m.bindings.boundAt) < rebindEvery {
		return false
	}
	valid := false
	m.ledger.view(func(state *shard.State) {
		valid = state.WitnessFloor() < shard.Timestamp(time.Now().UnixMilli())
	})
	return valid
}

// isWitnessDue reports whether this session needs a witness or another one.
func (m *Manager) isWitnessDue() bool {
	b := &m.bindings
	list := b.all()
	if len(list) == 0 {
		return !m.ownsNothing()
	}
	failing := !b.failingSince.IsZero() && time.Since(b.failingSince) >= witnessPatience
	return len(list) < maxBindings && (failing || !m.isServing(b.last().to))
}

// isPending reports whether the log doesn't show the latest witness yet.
func (m *Manager) isPending() bool {
	last := m.bindings.last()
	if last == nil {
		return false
	}
	shown := false
	m.ledger.view(func(state *shard.State) { shown = state.Witnessing(m.session.ID).Epoch >= last.epoch })
	return !shown
}

// isServing reports whether the member is there and stays.
func (m *Manager) isServing(member Member) bool {
	live, ok := m.placement.Load().live[member.Instance]
	return ok && live.Incarnation == member.Incarnation && !live.Draining
}

// bind limits this session, registers the limit with a new witness and names
// it on the log. Until the log shows it, the earlier ones must agree too.
func (m *Manager) bind(ctx context.Context) {
	b := &m.bindings
	b.boundAt = time.Now()
	to, ok := m.nextWitness()
	if !ok {
		return
	}
	session, err := m.sessionOf(ctx, to)
	b.refused = to
	if err != nil {
		return
	}
	epoch := uint64(0)
	m.ledger.view(func(state *shard.State) { epoch = state.Witnessing(m.session.ID).Epoch + 1 })
	bound := &binding{to: to, session: session, epoch: epoch}
	b.add(bound)
	limit := m.tables.limits.Grant.Set(shard.Timestamp(time.Now().Add(grantLead).UnixMilli()))
	if !m.askWitness(ctx, bound, limit) {
		m.unbind(bound)
		return
	}
	b.refused = Member{}
	m.name(ctx, bound)
}

// name sends the record of a binding to the log. Once sent it may arrive at any
// time, so the binding holds until the log has ruled it out.
func (m *Manager) name(ctx context.Context, bound *binding) {
	m.bindings.boundAt = time.Now()
	record := &pb.KeeperWitness{
		Session: m.session.ID,
		Epoch:   bound.epoch,
		Witness: bound.session,
		MadeMs:  uint64(time.Now().UnixMilli()),
	}
	err := m.append(ctx, "witness", &pb.KeeperRecord{Change: &pb.KeeperRecord_Witness{Witness: record}})
	if err == nil {
		m.logger.Named("witness").Info("named a witness", zap.String("witness", bound.to.Instance))
	}
}

// unbind drops a binding whose record was never sent.
func (m *Manager) unbind(bound *binding) {
	b := &m.bindings
	b.mu.Lock()
	b.list = slices.DeleteFunc(b.list, func(other *binding) bool { return other == bound })
	b.mu.Unlock()
	m.liftIfFree()
}

// nextWitness chooses among the instances that aren't bound yet: first those of
// this region in another data centre, then of this region, then any.
func (m *Manager) nextWitness() (Member, bool) {
	bound := m.bindings.all()
	var best Member
	bestScore, found := uint64(0), false
	for _, member := range m.placement.Load().live {
		isBound := slices.ContainsFunc(bound, func(b *binding) bool { return b.to == member })
		if member.Instance == m.self.Instance || member.Draining || isBound || member == m.bindings.refused {
			continue
		}
		if score := m.witnessScore(member); !found || score > bestScore {
			best, bestScore, found = member, score, true
		}
	}
	return best, found
}

func (m *Manager) witnessScore(member Member) uint64 {
	const (
		sameRegion  = 1 << 63
		otherCentre = 1 << 62
		hashBits    = 1<<62 - 1
	)
	score := mix(xxhash.Sum64String(m.self.Instance)^xxhash.Sum64String(member.Instance)) & hashBits
	if member.Region == m.self.Region {
		score |= sameRegion
	}
	if member.DataCentre != m.self.DataCentre {
		score |= otherCentre
	}
	return score
}

// awaitLimit waits until the label is below the grant limit.
func (m *Manager) awaitLimit(ctx context.Context, timestamp shard.Timestamp) bool {
	for ctx.Err() == nil {
		allowed, raised := m.tables.limits.Grant.Allows(timestamp)
		if allowed {
			return true
		}
		m.bindings.need(timestamp)
		select {
		case <-raised:
		case <-ctx.Done():
		}
	}
	return false
}

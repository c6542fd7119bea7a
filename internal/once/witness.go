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
	// extendInterval is the time between two extensions of the grant limit.
	extendInterval = 500 * time.Millisecond
	// grantLead is how far the limit is set ahead of the clock. Keys created
	// within it are lost with their keeper.
	grantLead = 1250 * time.Millisecond
	// extendTimeout bounds a call to a witness.
	extendTimeout = 300 * time.Millisecond
	// witnessFailureTimeout is how long a witness may fail before it is
	// replaced.
	witnessFailureTimeout = 500 * time.Millisecond
	// minBindInterval is the minimum time between two Witness records of a
	// session.
	minBindInterval = time.Second
	// maxBindings bounds the witnesses whose records may still be on their way
	// to the log.
	maxBindings = 3
)

// syncBindings brings the bindings and the tables in line with the applied
// state. A fence ends the tables at the limit in force before the limit may
// rise again, and bindings that are no longer valid according to the log are
// dropped.
func (m *Manager) syncBindings(state *shard.State) {
	b := &m.bindings
	w := state.Witnessing(m.session.ID)
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.Fenced > b.fenced {
		b.fenced = w.Fenced
		if end, limited := m.tables.limits.Grant.End(); limited {
			m.tables.truncate(end)
		}
	}
	b.list = slices.DeleteFunc(b.list, func(bound *binding) bool {
		return bound.epoch < w.Epoch || (bound.epoch == w.Epoch && bound.session.Id != w.Witness)
	})
}

// liftLimitIfUnbound removes the limit when no witness can fence this session.
// It is called after syncBindings and after the tables have followed the state.
func (m *Manager) liftLimitIfUnbound() {
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
		m.bindings.awaitExtension(ctx)
		m.extend(ctx)
		switch {
		case !m.canBind():
		case m.isWitnessDue():
			m.bind(ctx)
		case m.isWitnessPending():
			m.recordWitness(ctx, m.bindings.last())
		}
	}
}

// extend asks all witnesses to agree to a higher limit, and raises it if all
// do.
func (m *Manager) extend(ctx context.Context) {
	b := &m.bindings
	list := b.all()
	if len(list) == 0 {
		b.failingSince = time.Time{}
		return
	}
	end := m.targetLimit(time.Now())
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

// targetLimit returns a limit slightly ahead of the clock. It is the end of the
// lease when a new witness may not be found in time: during a log outage and
// while leaving.
func (m *Manager) targetLimit(now time.Time) shard.Timestamp {
	m.bindings.mu.Lock()
	requestedEnd := m.bindings.requestedEnd
	m.bindings.mu.Unlock()
	end := max(shard.Timestamp(now.Add(grantLead).UnixMilli()), requestedEnd)
	if m.leaving.Load() || m.replica.mayLogBeDown() {
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
	err := m.opts.ControlClient.Call(callCtx, bound.to.Address, methodExtend, args, &reply)
	return err == nil && reply.Accepted
}

// canBind reports whether a Witness record is likely to be stored and valid.
func (m *Manager) canBind() bool {
	if m.leaving.Load() || m.replica.mayLogBeDown() || time.Since(m.bindings.boundAt) < minBindInterval {
		return false
	}
	valid := false
	m.replica.view(func(state *shard.State) {
		valid = state.WitnessFloor() < shard.Timestamp(time.Now().UnixMilli())
	})
	return valid
}

// isWitnessDue reports whether this session needs its first witness or a new
// one.
func (m *Manager) isWitnessDue() bool {
	b := &m.bindings
	list := b.all()
	if len(list) == 0 {
		return !m.ownsNoShards()
	}
	failing := !b.failingSince.IsZero() && time.Since(b.failingSince) >= witnessFailureTimeout
	return len(list) < maxBindings && (failing || !m.isServing(b.last().to))
}

// isWitnessPending reports whether the log doesn't show the latest witness yet.
func (m *Manager) isWitnessPending() bool {
	last := m.bindings.last()
	if last == nil {
		return false
	}
	shown := false
	m.replica.view(func(state *shard.State) { shown = state.Witnessing(m.session.ID).Epoch >= last.epoch })
	return !shown
}

// isServing reports whether the member is live and not draining.
func (m *Manager) isServing(member Member) bool {
	live, ok := m.placement.Load().live[member.Instance]
	return ok && live.Incarnation == member.Incarnation && !live.Draining
}

// bind limits this session, registers the limit with a new witness and records
// the witness in the log. Until the log shows it, the earlier witnesses must
// agree to extensions too.
func (m *Manager) bind(ctx context.Context) {
	b := &m.bindings
	b.boundAt = time.Now()
	to, ok := m.chooseWitness()
	if !ok {
		return
	}
	session, err := m.sessionOf(ctx, to)
	b.rejectedCandidate = to
	if err != nil {
		return
	}
	epoch := uint64(0)
	m.replica.view(func(state *shard.State) { epoch = state.Witnessing(m.session.ID).Epoch + 1 })
	bound := &binding{to: to, session: session, epoch: epoch}
	b.add(bound)
	limit := m.tables.limits.Grant.Set(shard.Timestamp(time.Now().Add(grantLead).UnixMilli()))
	if !m.askWitness(ctx, bound, limit) {
		m.unbind(bound)
		return
	}
	b.rejectedCandidate = Member{}
	m.recordWitness(ctx, bound)
}

// recordWitness appends the Witness record of a binding to the log. Once sent,
// the record may arrive at any time, so the binding holds until the log shows
// that it can't become valid.
func (m *Manager) recordWitness(ctx context.Context, bound *binding) {
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
	m.liftLimitIfUnbound()
}

// chooseWitness selects among the instances that aren't bound yet, preferring
// those of this region in another data centre, then others of this region, then
// any.
func (m *Manager) chooseWitness() (Member, bool) {
	bound := m.bindings.all()
	var best Member
	bestScore, found := uint64(0), false
	for _, member := range m.placement.Load().live {
		isBound := slices.ContainsFunc(bound, func(b *binding) bool { return b.to == member })
		if member.Instance == m.self.Instance || member.Draining || isBound || member == m.bindings.rejectedCandidate {
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

// awaitLimit waits until the timestamp is below the grant limit, and reports
// whether it is.
func (m *Manager) awaitLimit(ctx context.Context, timestamp shard.Timestamp) bool {
	for ctx.Err() == nil {
		allowed, raised := m.tables.limits.Grant.Allows(timestamp)
		if allowed {
			return true
		}
		m.bindings.requestLimit(timestamp)
		select {
		case <-raised:
		case <-ctx.Done():
		}
	}
	return false
}

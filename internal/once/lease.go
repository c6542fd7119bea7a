package once

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/egretfield/egretfield/internal/delay"
	"github.com/egretfield/egretfield/internal/once/keeper"
	"github.com/egretfield/egretfield/internal/once/shard"
	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// tick is how often a loop looks while it has something to do.
	tick = 250 * time.Millisecond
	// idleTick is how often it looks otherwise.
	idleTick = time.Second
	// checksPerRenewal is how often a node looks within a renewal period
	// whether its renewal is due.
	checksPerRenewal = 8
	// maxLease is below shard.MaxLead, so that a clock may be ahead of the log's.
	maxLease = time.Hour
	// renewalsPerLease is how often a lease is renewed in its length.
	renewalsPerLease = 3
	// maxRenewalRate bounds the renewals of all nodes together, appends a second.
	maxRenewalRate = 50
	// minLeasePeriods keeps a lease this many renewal periods long.
	minLeasePeriods = 2
	// retryBackoff is the least wait after an append that failed.
	retryBackoff = 500 * time.Millisecond

	// settleTime is how long a new node watches before it claims shards.
	settleTime = time.Second
	// firstReach is the age of the oldest keys served in a new fleet: those of
	// requests that waited for the first keeper.
	firstReach = 10 * time.Second
	// takeoverDelay is how long a keeper must be gone before it is replaced.
	takeoverDelay = time.Second
	// rankDelay is the extra wait of each further candidate.
	rankDelay = 3 * time.Second
	// refreshEvery bounds the age of the placement.
	refreshEvery = 5 * time.Second
)

// renewPeriod returns the time between two renewals by this node.
func (m *Manager) renewPeriod() time.Duration {
	nodes := len(m.placement.Load().live)
	return max(m.lease()/renewalsPerLease, time.Duration(nodes)*time.Second/maxRenewalRate)
}

// leaseEnd returns the end that a renewal or claim asks for now.
func (m *Manager) leaseEnd(now time.Time) shard.Timestamp {
	length := max(m.lease(), minLeasePeriods*m.renewPeriod())
	return shard.Timestamp(now.Add(length).UnixMilli())
}

// renewLoop moves the ends of this session's intervals forward.
func (m *Manager) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		delay.Sleep(ctx, min(max(m.renewPeriod()/checksPerRenewal, tick), idleTick))
		if !m.isRenewalDue(time.Now()) {
			continue
		}
		renewal := &pb.KeeperRenewal{Session: m.session.ID, EndMs: m.leaseEnd(time.Now())}
		m.append(ctx, "renewal", &pb.KeeperRecord{Change: &pb.KeeperRecord_Renewal{Renewal: renewal}})
	}
}

// isRenewalDue reports whether an interval of this session ends in less than
// the lease less one period.
func (m *Manager) isRenewalDue(now time.Time) bool {
	dueEnd := m.leaseEnd(now.Add(-m.renewPeriod()))
	due := false
	m.ledger.view(func(state *shard.State) {
		end, ok := state.EarliestEnd(m.session.ID)
		due = ok && end <= dueEnd
	})
	return due
}

// append adds a record to the keeper stream and waits until it is folded.
// After a failure it waits a while, so that callers may just try again.
func (m *Manager) append(ctx context.Context, name string, record *pb.KeeperRecord) error {
	err := m.ledger.append(ctx, record)
	m.metrics.appended(name, err)
	if err != nil {
		delay.Sleep(ctx, retryBackoff+rand.N(retryBackoff))
	}
	return err
}

// vacancy is a shard whose keeper seems gone or has let its lease lapse.
type vacancy struct {
	owner uint64
	since time.Time
}

// takeoverLoop claims the shards that fall to this node.
func (m *Manager) takeoverLoop(ctx context.Context) {
	vacant := make([]vacancy, shard.Count)
	started := time.Now()
	refreshed := started
	for ctx.Err() == nil {
		if time.Since(refreshed) >= refreshEvery {
			m.refreshPlacement()
			refreshed = time.Now()
		}
		settled := time.Since(started) >= settleTime
		if settled && !m.leaving.Load() {
			m.claimVacant(ctx, vacant)
		}
		wait := idleTick
		if !settled || isAnyVacant(vacant) {
			wait = tick
		}
		if m.awaitKick(ctx, wait) {
			refreshed = time.Time{}
		}
	}
}

// awaitKick returns after wait, or sooner when members changed, which it then
// reports; changes within a tick count as one.
func (m *Manager) awaitKick(ctx context.Context, wait time.Duration) bool {
	delay.Sleep(ctx, tick)
	timer := time.NewTimer(wait - tick)
	defer timer.Stop()
	select {
	case <-m.kick:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

func isAnyVacant(vacant []vacancy) bool {
	return slices.ContainsFunc(vacant, func(v vacancy) bool { return !v.since.IsZero() })
}

func (m *Manager) claimVacant(ctx context.Context, vacant []vacancy) {
	now := time.Now()
	takeover := &pb.KeeperTakeover{
		Session: shard.SessionMessage(m.session),
		EndMs:   m.leaseEnd(now),
	}
	look := survey{vacant: vacant, abandoned: m.transfers.abandoned(), now: now}
	m.ledger.view(func(state *shard.State) {
		look.live = m.liveSessions(state)
		for id := range uint32(shard.Count) {
			if !m.isClaimDue(state, id, look) {
				continue
			}
			takeover.Claims = append(takeover.Claims, claimOf(id, state.Current(id), now))
		}
	})
	if len(takeover.Claims) == 0 {
		return
	}
	takeover.EndMs = max(takeover.EndMs, greatestBegin(takeover.Claims)+1)
	err := m.append(ctx, "takeover", &pb.KeeperRecord{Change: &pb.KeeperRecord_Takeover{Takeover: takeover}})
	m.metrics.takeovers.Add(ctx, int64(len(takeover.Claims)))
	if err == nil {
		m.logger.Info("claimed shards", zap.Int("shards", len(takeover.Claims)))
	}
}

// claimOf names the shard's present end. A shard never kept starts firstReach
// ago, as nobody has granted any label of it; others where the last interval ends.
func claimOf(id uint32, current shard.Interval, now time.Time) *pb.KeeperClaim {
	begin := current.End
	if begin == 0 {
		begin = shard.Timestamp(now.Add(-firstReach).UnixMilli())
	}
	return &pb.KeeperClaim{Shard: id, PreviousEndMs: current.End, BeginMs: begin}
}

func greatestBegin(claims []*pb.KeeperClaim) shard.Timestamp {
	var begin shard.Timestamp
	for _, claim := range claims {
		begin = max(begin, claim.BeginMs)
	}
	return begin
}

// liveSessions returns the sessions of the log whose processes seem alive.
func (m *Manager) liveSessions(state *shard.State) map[uint64]bool {
	place := m.placement.Load()
	live := make(map[uint64]bool)
	for session := range state.Sessions() {
		if _, ok := place.isLive(session); ok {
			live[session.ID] = true
		}
	}
	return live
}

// survey is one look at all shards.
type survey struct {
	// vacant holds a vacancy for each shard, zero while its keeper is there.
	vacant []vacancy
	// live holds the sessions whose processes seem alive.
	live map[uint64]bool
	// abandoned holds the sealed tables whose receiver is gone.
	abandoned []*keeper.Table
	now       time.Time
}

// isClaimDue reports whether this node should claim the shard now, and keeps
// the survey's vacancies up to date.
func (m *Manager) isClaimDue(state *shard.State, id uint32, look survey) bool {
	vacant, now := look.vacant, look.now
	current := state.Current(id)
	if current.Owner == m.session.ID {
		vacant[id] = vacancy{}
		return m.isAbandoned(id, current, look.abandoned)
	}
	lapsed := current.Owner == 0 || current.End < shard.Timestamp(now.UnixMilli())
	if look.live[current.Owner] && !lapsed {
		vacant[id] = vacancy{}
		return false
	}
	seen := vacant[id]
	if seen.since.IsZero() || seen.owner != current.Owner {
		seen = vacancy{owner: current.Owner, since: now}
		vacant[id] = seen
	}
	rank := m.placement.Load().rankOf(id, m.self.Instance)
	if rank == noRank {
		return false
	}
	wait := time.Duration(rank) * rankDelay
	if !lapsed {
		wait += takeoverDelay
	}
	if !lapsed && look.live[state.Witnessing(current.Owner).Witness] {
		wait += fenceWait
	}
	return now.Sub(seen.since) >= wait
}

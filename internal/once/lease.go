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
	// tick is the interval of a loop's checks while it has work to do.
	tick = 250 * time.Millisecond
	// idleTick is the interval of its checks otherwise.
	idleTick = time.Second
	// checksPerRenewal is how often within a renewal period a node checks
	// whether its renewal is due.
	checksPerRenewal = 8
	// maxLease is below shard.MaxLead to tolerate a clock that is ahead of the
	// log's.
	maxLease = time.Hour
	// renewalsPerLease is the number of renewals within the length of a lease.
	renewalsPerLease = 3
	// maxRenewalsPerSecond bounds the appended renewals of all nodes together.
	maxRenewalsPerSecond = 50
	// minLeasePeriods is the minimum length of a lease, in renewal periods.
	minLeasePeriods = 2
	// retryBackoff is the minimum wait after a failed append.
	retryBackoff = 500 * time.Millisecond

	// startupDelay is how long a new node observes before it claims shards.
	startupDelay = time.Second
	// initialKeyAge is the age of the oldest keys served in a new fleet: those
	// of requests that waited for the first keeper.
	initialKeyAge = 10 * time.Second
	// takeoverDelay is how long a keeper must be absent before it is replaced.
	takeoverDelay = time.Second
	// rankDelay is the additional wait of each lower-ranked candidate.
	rankDelay = 3 * time.Second
	// placementRefreshInterval bounds the age of the placement.
	placementRefreshInterval = 5 * time.Second
)

// renewalPeriod returns the time between two renewals by this node.
func (m *Manager) renewalPeriod() time.Duration {
	nodes := len(m.placement.Load().live)
	return max(m.lease()/renewalsPerLease, time.Duration(nodes)*time.Second/maxRenewalsPerSecond)
}

// leaseEnd returns the interval end for a renewal or claim made now.
func (m *Manager) leaseEnd(now time.Time) shard.Timestamp {
	length := max(m.lease(), minLeasePeriods*m.renewalPeriod())
	return shard.Timestamp(now.Add(length).UnixMilli())
}

// renewLoop extends the intervals of this session.
func (m *Manager) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		delay.Sleep(ctx, min(max(m.renewalPeriod()/checksPerRenewal, tick), idleTick))
		if !m.isRenewalDue(time.Now()) {
			continue
		}
		renewal := &pb.KeeperRenewal{Session: m.session.ID, EndMs: m.leaseEnd(time.Now())}
		m.append(ctx, "renewal", &pb.KeeperRecord{Change: &pb.KeeperRecord_Renewal{Renewal: renewal}})
	}
}

// isRenewalDue reports whether an interval of this session ends in less than
// the lease minus one renewal period.
func (m *Manager) isRenewalDue(now time.Time) bool {
	dueEnd := m.leaseEnd(now.Add(-m.renewalPeriod()))
	due := false
	m.replica.view(func(state *shard.State) {
		end, ok := state.EarliestEnd(m.session.ID)
		due = ok && end <= dueEnd
	})
	return due
}

// append adds a record to the keeper stream and waits until it is applied.
// After a failure it waits for a backoff, so that callers may retry at once.
func (m *Manager) append(ctx context.Context, name string, record *pb.KeeperRecord) error {
	err := m.replica.append(ctx, record)
	m.metrics.appended(name, err)
	if err != nil {
		delay.Sleep(ctx, retryBackoff+rand.N(retryBackoff))
	}
	return err
}

// vacancy describes a shard whose keeper is absent or has let its lease lapse.
type vacancy struct {
	owner uint64
	since time.Time
}

// takeoverLoop claims the vacant shards for which this node is a candidate.
func (m *Manager) takeoverLoop(ctx context.Context) {
	vacant := make([]vacancy, shard.Count)
	started := time.Now()
	refreshed := started
	for ctx.Err() == nil {
		if time.Since(refreshed) >= placementRefreshInterval {
			m.refreshPlacement()
			refreshed = time.Now()
		}
		settled := time.Since(started) >= startupDelay
		if settled && !m.leaving.Load() {
			m.claimVacant(ctx, vacant)
		}
		wait := idleTick
		if !settled || isAnyVacant(vacant) {
			wait = tick
		}
		if m.awaitWake(ctx, wait) {
			refreshed = time.Time{}
		}
	}
}

// awaitWake waits for the given time, or less if members change, and reports
// whether they changed. Changes within one tick count as one.
func (m *Manager) awaitWake(ctx context.Context, wait time.Duration) bool {
	delay.Sleep(ctx, tick)
	timer := time.NewTimer(wait - tick)
	defer timer.Stop()
	select {
	case <-m.wake:
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
	scan := shardScan{vacant: vacant, abandoned: m.transfers.abandoned(), now: now}
	m.replica.view(func(state *shard.State) {
		scan.live = m.liveSessions(state)
		for id := range uint32(shard.Count) {
			if !m.isClaimDue(state, id, scan) {
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

// claimOf returns a claim that names the end of the shard's present interval.
// The new interval begins at that end. For a shard that was never kept it
// begins initialKeyAge ago, as no earlier timestamp of it was ever granted.
func claimOf(id uint32, current shard.Interval, now time.Time) *pb.KeeperClaim {
	begin := current.End
	if begin == 0 {
		begin = shard.Timestamp(now.Add(-initialKeyAge).UnixMilli())
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

// liveSessions returns the sessions in the state whose processes are among the
// live members.
func (m *Manager) liveSessions(state *shard.State) map[uint64]bool {
	p := m.placement.Load()
	live := make(map[uint64]bool)
	for session := range state.Sessions() {
		if _, ok := p.isLive(session); ok {
			live[session.ID] = true
		}
	}
	return live
}

// shardScan is the input of one pass over all shards.
type shardScan struct {
	// vacant holds the vacancy of each shard, zero while its keeper is present.
	vacant []vacancy
	// live holds the sessions whose processes are among the live members.
	live map[uint64]bool
	// abandoned holds the sealed tables whose recipient is absent.
	abandoned []*keeper.Table
	now       time.Time
}

// isClaimDue reports whether this node should claim the shard now. It also
// updates the scan's vacancies.
func (m *Manager) isClaimDue(state *shard.State, id uint32, scan shardScan) bool {
	vacant, now := scan.vacant, scan.now
	current := state.Current(id)
	if current.Owner == m.session.ID {
		vacant[id] = vacancy{}
		return m.isAbandoned(id, current, scan.abandoned)
	}
	lapsed := current.Owner == 0 || current.End < shard.Timestamp(now.UnixMilli())
	if scan.live[current.Owner] && !lapsed {
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
	if !lapsed && scan.live[state.Witnessing(current.Owner).Witness] {
		wait += fenceWait
	}
	return now.Sub(seen.since) >= wait
}

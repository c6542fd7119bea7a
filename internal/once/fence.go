package once

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/egretfield/egretfield/internal/delay"
	"github.com/egretfield/egretfield/internal/once/shard"
	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// A session is fenced when it hasn't asked its witness for goneSilence and
	// its process seems gone, or hasn't asked for silenceLimit.
	goneSilence  = time.Second
	silenceLimit = 4 * time.Second
	// maxLookGap is the time between two looks past which the witness was
	// paused itself: it has no idea who was silent.
	maxLookGap = time.Second
	// fenceWait is the extra time that a witness has before the shards of a
	// session that seems gone are claimed past the end of its lease.
	fenceWait = 5 * time.Second
	// maxRegistrations bounds the sessions that one node is witness of.
	maxRegistrations = 10_000
)

// registrationID names a session's period with one witness.
type registrationID struct {
	session uint64
	epoch   uint64
}

// registration is what a witness has agreed to.
type registration struct {
	// end is past every label that the session may have granted.
	end shard.Timestamp
	// sealed: the witness agrees to no higher end.
	sealed  bool
	askedAt time.Time
}

// registrations are the limits that this node is witness of. Safe for
// concurrent use.
type registrations struct {
	mu   sync.Mutex
	byID map[registrationID]*registration
}

// extend agrees to a limit, unless the session's fence is under way.
func (r *registrations) extend(id registrationID, end shard.Timestamp) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	reg := r.byID[id]
	if reg == nil {
		if len(r.byID) >= maxRegistrations {
			return false
		}
		reg = &registration{}
		r.byID[id] = reg
	}
	if reg.sealed {
		return false
	}
	reg.end = max(reg.end, end)
	reg.askedAt = time.Now()
	return true
}

// excuse starts all silences anew.
func (r *registrations) excuse(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, reg := range r.byID {
		reg.askedAt = now
	}
}

// seal returns the final limit of a session that has been silent for so long
// that it is fenced.
func (r *registrations) seal(id registrationID, gone bool, now time.Time) (shard.Timestamp, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reg := r.byID[id]
	if reg == nil {
		return 0, false
	}
	silence := now.Sub(reg.askedAt)
	reg.sealed = reg.sealed || silence >= silenceLimit || (gone && silence >= goneSilence)
	return reg.end, reg.sealed
}

// forget drops the registrations that the log has ruled out.
func (r *registrations) forget(state *shard.State, self uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.byID {
		w := state.Witnessing(id.session)
		if w.Epoch > id.epoch || (w.Epoch == id.epoch && w.Witness != self) {
			delete(r.byID, id)
		}
	}
}

// Extend agrees to a higher grant limit of a session that this one witnesses.
func (r *Receiver) Extend(args *pb.KeeperExtend, reply *pb.KeeperExtendReply) error {
	if _, err := r.context(); err != nil {
		return err
	}
	if args.To != r.m.session.ID {
		return nil
	}
	id := registrationID{session: args.Session, epoch: args.Epoch}
	reply.Accepted = r.m.registrations.extend(id, args.EndMs)
	return nil
}

// fenceLoop ends the intervals of the sessions that this one witnesses when
// their processes are gone.
func (m *Manager) fenceLoop(ctx context.Context) {
	looked := time.Now()
	for ctx.Err() == nil {
		delay.Sleep(ctx, tick)
		if time.Since(looked) > maxLookGap {
			m.registrations.excuse(time.Now())
		}
		looked = time.Now()
		for _, fence := range m.dueFences(time.Now()) {
			err := m.append(ctx, "fence", &pb.KeeperRecord{Change: &pb.KeeperRecord_Fence{Fence: fence}})
			if err == nil {
				m.logger.Named("witness").Info("fenced a keeper that is gone", zap.Uint64("session", fence.Session))
			}
		}
	}
}

func (m *Manager) dueFences(now time.Time) []*pb.KeeperFence {
	var due []*pb.KeeperFence
	place := m.placement.Load()
	m.ledger.view(func(state *shard.State) {
		m.registrations.forget(state, m.session.ID)
		for id, w := range state.Witnessings() {
			if w.Witness != m.session.ID || len(state.Owned(id)) == 0 {
				continue
			}
			session, _ := state.Session(id)
			_, live := place.isLive(session)
			end, sealed := m.registrations.seal(registrationID{id, w.Epoch}, !live, now)
			if sealed {
				due = append(due, &pb.KeeperFence{Session: id, Epoch: w.Epoch, EndMs: end})
			}
		}
	})
	return due
}

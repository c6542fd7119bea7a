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
	// A session is fenced when it hasn't extended its limit for
	// absentSilenceLimit and its process is absent from the live members, or
	// hasn't done so for silenceLimit.
	absentSilenceLimit = time.Second
	silenceLimit       = 4 * time.Second
	// maxCheckGap is the time between two checks beyond which the witness
	// itself must have been paused, so that it can't tell which sessions were
	// silent.
	maxCheckGap = time.Second
	// fenceWait is how much longer candidates wait for the witness of an absent
	// session to fence it before they claim the session's shards from the end
	// of its lease.
	fenceWait = 5 * time.Second
	// maxRegistrations bounds the sessions for which one node is the witness.
	maxRegistrations = 10_000
)

// registrationID identifies the period in which a session has one witness.
type registrationID struct {
	session uint64
	epoch   uint64
}

// registration is the limit that a witness has agreed to for a session.
type registration struct {
	// end is past every timestamp that the session may have granted.
	end shard.Timestamp
	// sealed is set when the witness agrees to no higher end.
	sealed     bool
	extendedAt time.Time
}

// registrations are the limits for which this node is the witness. Safe for
// concurrent use.
type registrations struct {
	mu   sync.Mutex
	byID map[registrationID]*registration
}

// extend agrees to a limit, unless the session is being fenced.
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
	reg.extendedAt = time.Now()
	return true
}

// resetSilence restarts the silence timers of all sessions.
func (r *registrations) resetSilence(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, reg := range r.byID {
		reg.extendedAt = now
	}
}

// seal closes the registration if the session has been silent for long enough to
// be fenced. It returns the limit agreed to, which is final if the second result
// is true. Without a registration it returns false.
func (r *registrations) seal(id registrationID, absent bool, now time.Time) (shard.Timestamp, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reg := r.byID[id]
	if reg == nil {
		return 0, false
	}
	silence := now.Sub(reg.extendedAt)
	reg.sealed = reg.sealed || silence >= silenceLimit || (absent && silence >= absentSilenceLimit)
	return reg.end, reg.sealed
}

// prune drops the registrations that are no longer valid according to the log.
func (r *registrations) prune(state *shard.State, self uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.byID {
		if hasEnded(state, id, self) {
			delete(r.byID, id)
		}
	}
}

// Extend agrees to a higher grant limit for a session of which this one is the
// witness.
func (r *RPC) Extend(args *pb.KeeperExtend, reply *pb.KeeperExtendReply) error {
	if _, err := r.context(); err != nil {
		return err
	}
	if args.To != r.m.session.ID {
		return nil
	}
	id := registrationID{session: args.Session, epoch: args.Epoch}
	r.m.replica.view(func(state *shard.State) {
		reply.Accepted = !hasEnded(state, id, r.m.session.ID) && r.m.registrations.extend(id, args.EndMs)
	})
	return nil
}

// hasEnded reports whether the log shows that witness is no longer, and never will be
// again, the witness of the session in this epoch. The registration is dropped then, and
// a session that doesn't know it yet must not get a new one.
func hasEnded(state *shard.State, id registrationID, witness uint64) bool {
	w := state.Witnessing(id.session)
	return w.Epoch > id.epoch || (w.Epoch == id.epoch && w.Witness != witness)
}

// fenceLoop ends the intervals of the sessions of which this one is the witness
// once their processes are absent or silent.
func (m *Manager) fenceLoop(ctx context.Context) {
	checkedAt := time.Now()
	for ctx.Err() == nil {
		delay.Sleep(ctx, tick)
		if time.Since(checkedAt) > maxCheckGap {
			m.registrations.resetSilence(time.Now())
		}
		checkedAt = time.Now()
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
	p := m.placement.Load()
	m.replica.view(func(state *shard.State) {
		m.registrations.prune(state, m.session.ID)
		for id, w := range state.Witnessings() {
			if w.Witness != m.session.ID || len(state.Owned(id)) == 0 {
				continue
			}
			session, _ := state.Session(id)
			_, live := p.isLive(session)
			end, sealed := m.registrations.seal(registrationID{id, w.Epoch}, !live, now)
			if sealed {
				due = append(due, &pb.KeeperFence{Session: id, Epoch: w.Epoch, EndMs: end})
			}
		}
	})
	return due
}

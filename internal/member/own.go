package member

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
)

// own returns this node's own record. The caller holds mu.
func (l *List) own() *pb.MemberRecord {
	return l.table.entries[l.opts.Member.Instance].record
}

// Self returns this node's own member.
func (l *List) Self() *pb.Member {
	return l.View().Get(l.opts.Member.Instance)
}

// SetServer publishes the backend server that has announced itself; nil: there is
// none any more.
func (l *List) SetServer(a *pb.Announcement) {
	l.updateOwn(func(m *pb.Member) {
		m.Service = a.GetService()
		m.Slots = a.GetSlots()
		m.Connections = a.GetConnections()
		m.ServerId = a.GetServerId()
		m.WarmupMs = a.GetWarmupLeftMs()
	})
}

// SetDraining publishes whether this instance is draining and so takes no new work.
// It has no effect after Leave.
func (l *List) SetDraining(drain bool) {
	l.updateOwn(func(m *pb.Member) {
		switch {
		case m.Status == left:
		case drain:
			m.Status = draining
		default:
			m.Status = alive
		}
	})
}

// Leave publishes that this instance has left for good and returns after
// leaveLinger, in which the change spreads, or when ctx ends. The list answers
// other nodes until Close.
func (l *List) Leave(ctx context.Context) {
	l.updateOwn(func(m *pb.Member) { m.Status = left })
	l.mu.Lock()
	l.health.left = true
	l.mu.Unlock()
	timer := time.NewTimer(leaveLinger)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
}

// updateOwn changes this node's own data under a new revision and disseminates it.
func (l *List) updateOwn(change func(*pb.Member)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := l.own()
	m := proto.CloneOf(own.Member)
	change(m)
	if proto.Equal(m, own.Member) {
		return
	}
	m.Revision++
	l.setOwn(&pb.MemberRecord{Member: m, Refutations: own.Refutations, Liveness: own.Liveness})
}

// setOwn replaces this node's own record with r and disseminates it. The caller
// holds mu.
func (l *List) setOwn(r *pb.MemberRecord) {
	l.table.set(l.table.entries[r.Member.Instance], r, time.Now())
	l.disseminate(r.Member.Instance)
	l.publish()
}

// mergeOwn handles a record that another node has of this one: it refutes an
// accusation and detects another process of the same instance. It reports whether
// the sender should get this node's current record. The caller holds mu.
func (l *List) mergeOwn(r *pb.MemberRecord) bool {
	own := l.own()
	switch {
	case r.Member.Incarnation > own.Member.Incarnation:
		l.handleDuplicate(r)
		return false
	case r.Member.Incarnation < own.Member.Incarnation:
		return true
	case fromOtherProcess(r, own):
		l.handleDuplicate(r)
		return false
	}
	if newerLiveness(r, own) {
		l.refute(r)
		return true
	}
	return !sameState(r, own)
}

// fromOtherProcess reports whether a record with this node's instance and
// incarnation comes from another process: it has a higher refutation count or
// revision, or another address, than this process ever published.
func fromOtherProcess(r, own *pb.MemberRecord) bool {
	if r.Refutations > own.Refutations || r.Member.Revision > own.Member.Revision {
		return true
	}
	return r.Member.ControlAddress != own.Member.ControlAddress
}

// refute refutes an accusation by exceeding its refutation count. The caller holds
// mu.
func (l *List) refute(accusation *pb.MemberRecord) {
	own := l.own()
	l.stats.refutations.Add(1)
	l.logger.Info("refuting an accusation", zap.Stringer("status", accusation.Liveness))
	l.setOwn(&pb.MemberRecord{
		Member:      own.Member,
		Refutations: accusation.Refutations + 1,
		Liveness:    alive,
	})
}

// handleDuplicate handles a record of this instance that another process published:
// either an earlier start, for example one whose clock was ahead, or a later start
// elsewhere. The caller holds mu.
func (l *List) handleDuplicate(r *pb.MemberRecord) {
	own := l.own()
	if r.Member.ControlAddress == own.Member.ControlAddress || isTombstone(r) {
		l.raiseIncarnation(r.Member.Incarnation)
		return
	}
	if l.checking[r.Member.Instance] || l.health.superseded {
		return
	}
	l.checking[r.Member.Instance] = true
	l.goLocked(func() { l.checkDuplicate(r) })
}

// raiseIncarnation raises this node's incarnation above the given one. The caller
// holds mu.
func (l *List) raiseIncarnation(above uint64) {
	own := l.own()
	if own.Member.Incarnation > above {
		return
	}
	m := proto.CloneOf(own.Member)
	m.Incarnation = above + 1
	m.Revision++
	l.logger.Info("raising the incarnation", zap.Uint64("to", m.Incarnation))
	l.setOwn(&pb.MemberRecord{Member: m, Liveness: alive})
}

// checkDuplicate pings the address of another process of this instance. If a later
// start runs there, this one is superseded; if not, this one raises its incarnation.
func (l *List) checkDuplicate(r *pb.MemberRecord) {
	ctx, cancel := context.WithTimeout(l.ctx, exchangeTimeout)
	defer cancel()
	pong, err := l.ping(ctx, r.Member, nil)
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.checking, r.Member.Instance)
	if l.ctx.Err() != nil {
		return
	}
	running := err == nil && pong.GetOwn().GetMember().GetInstance() == r.Member.Instance &&
		pong.Own.Member.Incarnation >= l.own().Member.Incarnation
	if !running {
		l.raiseIncarnation(r.Member.Incarnation)
		return
	}
	l.health.superseded = true
	l.logger.Warn("another process runs as this instance", zap.String("address", r.Member.ControlAddress))
}

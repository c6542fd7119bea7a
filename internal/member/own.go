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

// SetServer states that a backend server has announced itself; nil: that none
// is there any more.
func (l *List) SetServer(a *pb.Announcement) {
	l.restate(func(m *pb.Member) {
		m.Service = a.GetService()
		m.Slots = a.GetSlots()
		m.Connections = a.GetConnections()
		m.ServerId = a.GetServerId()
		m.WarmupMs = a.GetWarmupLeftMs()
	})
}

// SetDraining states whether this instance takes new work. It has no effect
// after Leave.
func (l *List) SetDraining(drain bool) {
	l.restate(func(m *pb.Member) {
		switch {
		case m.Status == left:
		case drain:
			m.Status = draining
		default:
			m.Status = alive
		}
	})
}

// Leave states that this instance is gone for good and returns when the news
// had time to spread or ctx ends. The list still answers until Close.
func (l *List) Leave(ctx context.Context) {
	l.restate(func(m *pb.Member) { m.Status = left })
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

// restate changes this node's own statement and spreads it.
func (l *List) restate(change func(*pb.Member)) {
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

// setOwn makes r this node's own record and spreads it. The caller holds mu.
func (l *List) setOwn(r *pb.MemberRecord) {
	l.table.set(l.table.entries[r.Member.Instance], r, time.Now())
	l.spread(r.Member.Instance)
	l.publish()
}

// mergeOwn judges what others say of this node and returns whether they lack
// its present statement. The caller holds mu.
func (l *List) mergeOwn(r *pb.MemberRecord) bool {
	own := l.own()
	switch {
	case r.Member.Incarnation > own.Member.Incarnation:
		l.meetNamesake(r)
		return false
	case r.Member.Incarnation < own.Member.Incarnation:
		return true
	case foreign(r, own):
		l.meetNamesake(r)
		return false
	}
	if newerLiveness(r, own) {
		l.refute(r)
		return true
	}
	return !sameState(r, own)
}

// foreign says whether a record of this node's instance and incarnation can't
// come from this start: it holds what this start never said.
func foreign(r, own *pb.MemberRecord) bool {
	if r.Refutations > own.Refutations || r.Member.Revision > own.Member.Revision {
		return true
	}
	return r.Member.ControlAddress != own.Member.ControlAddress
}

// refute answers an accusation. The caller holds mu.
func (l *List) refute(accusation *pb.MemberRecord) {
	own := l.own()
	l.stats.refutations.Add(1)
	l.log.Info("refuting an accusation", zap.Stringer("status", accusation.Liveness))
	l.setOwn(&pb.MemberRecord{
		Member:      own.Member,
		Refutations: accusation.Refutations + 1,
		Liveness:    alive,
	})
}

// meetNamesake handles news of this instance under a higher incarnation: either
// an earlier start whose clock was ahead, or a later start elsewhere. The caller
// holds mu.
func (l *List) meetNamesake(r *pb.MemberRecord) {
	own := l.own()
	if r.Member.ControlAddress == own.Member.ControlAddress || gone(r) {
		l.raise(r.Member.Incarnation)
		return
	}
	if l.checking[r.Member.Instance] || l.health.superseded {
		return
	}
	l.checking[r.Member.Instance] = true
	l.goLocked(func() { l.checkNamesake(r) })
}

// raise takes an incarnation above another one. The caller holds mu.
func (l *List) raise(above uint64) {
	own := l.own()
	if own.Member.Incarnation > above {
		return
	}
	m := proto.CloneOf(own.Member)
	m.Incarnation = above + 1
	m.Revision++
	l.log.Info("raising the incarnation", zap.Uint64("to", m.Incarnation))
	l.setOwn(&pb.MemberRecord{Member: m, Liveness: alive})
}

// checkNamesake finds out whether a later start of this instance is running.
func (l *List) checkNamesake(r *pb.MemberRecord) {
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
		l.raise(r.Member.Incarnation)
		return
	}
	l.health.superseded = true
	l.log.Warn("another process runs as this instance", zap.String("address", r.Member.ControlAddress))
}

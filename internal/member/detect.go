package member

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/egretfield/egretfield/internal/budget"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/peer"
)

// Report takes direct evidence, from the data path or from a gossip round, of whether
// the given incarnation of an instance could be reached. If not, the member is checked
// in the background; Report itself never blocks on the network.
func (l *List) Report(instance string, incarnation uint64, reachable bool) {
	if reachable {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.table.entries[instance]
	if e == nil || instance == l.opts.Member.Instance || e.record.Member.Incarnation != incarnation {
		return
	}
	if isTombstone(e.record) || e.record.Liveness != alive || l.checking[instance] || len(l.checking) >= maxChecks {
		return
	}
	l.checking[instance] = true
	l.stats.checks.Add(1)
	r := e.record
	l.goLocked(func() { l.check(r) })
}

// check pings a member, first directly and then through other nodes, and marks it
// suspect if neither reaches it.
func (l *List) check(r *pb.MemberRecord) {
	defer l.endCheck(r.Member.Instance)
	start := time.Now()
	ctx, cancel := context.WithTimeout(l.ctx, directTimeout)
	pong, err := l.ping(ctx, r.Member, r)
	cancel()
	if err == nil {
		l.handlePong(r, pong)
		return
	}
	pong, helperReplied := l.checkIndirectly(r)
	if pong != nil {
		l.handlePong(r, pong)
		return
	}
	if l.ctx.Err() != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.health.localFaultLikely(time.Now()) || !helperReplied && !l.canAccuse(start) {
		l.stats.withheld.Add(1)
		return
	}
	l.accuse(r, suspect)
}

func (l *List) endCheck(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.checking, instance)
}

// canAccuse reports whether a missing answer can't be explained by a fault of this
// node's own network: another member has answered since start, or the log has
// answered at least minLogLead after any member did. It also holds if no other
// member is known that could have answered. The caller holds mu.
func (l *List) canAccuse(start time.Time) bool {
	h := &l.health
	reachable := len(l.partners.sameRegion) + len(l.partners.otherRegions)
	return reachable <= 1 || h.lastMember.After(start) || h.lastLog.Sub(h.lastMember) >= minLogLead
}

// ping asks the process at a member's address to identify itself.
func (l *List) ping(ctx context.Context, m *pb.Member, known *pb.MemberRecord) (*pb.MemberPong, error) {
	request := &pb.MemberPing{Target: refOf(m), Known: known}
	if !l.allow(budget.ClassLiveness, request) {
		return nil, errkind.New(pb.ErrorKind_ERROR_KIND_OVERLOADED, "gossip budget exhausted")
	}
	pong := &pb.MemberPong{}
	err := l.opts.ControlClient.Call(ctx, m.ControlAddress, methodPing, request, pong)
	return pong, err
}

// checkIndirectly asks other nodes to ping a member. It returns the member's first
// answer, if any, and otherwise whether any of the helpers replied that it got none.
func (l *List) checkIndirectly(r *pb.MemberRecord) (pong *pb.MemberPong, helperReplied bool) {
	l.mu.Lock()
	helpers := l.partners.sample(indirectHelpers, r.Member.Instance, l.rand)
	l.mu.Unlock()
	type result struct {
		pong          *pb.MemberPong
		helperReplied bool
	}
	results := make(chan result, len(helpers))
	ctx, cancel := context.WithTimeout(l.ctx, indirectTimeout)
	defer cancel()
	for _, helper := range helpers {
		l.spawn(func() {
			pong, helperReplied := l.pingVia(ctx, helper, r)
			results <- result{pong, helperReplied}
		})
	}
	for range helpers {
		select {
		case got := <-results:
			if got.pong != nil {
				return got.pong, true
			}
			helperReplied = helperReplied || got.helperReplied
		case <-ctx.Done():
			return nil, helperReplied
		}
	}
	return nil, helperReplied
}

// pingVia asks helper to ping a member. If the member didn't answer, helperReplied
// reports whether the helper replied that it got no answer: the error then has the kind
// no server and isn't ErrUnreachable, as it is if the helper itself is unreachable.
func (l *List) pingVia(ctx context.Context, helper *pb.Member, r *pb.MemberRecord) (pong *pb.MemberPong, helperReplied bool) {
	request := &pb.MemberPing{Target: refOf(r.Member), Known: r}
	if !l.allow(budget.ClassLiveness, request) {
		return nil, false
	}
	pong = &pb.MemberPong{}
	err := l.opts.ControlClient.Call(ctx, helper.ControlAddress, methodPingVia, request, pong)
	if err == nil {
		return pong, true
	}
	return nil, errkind.KindOf(err) == pb.ErrorKind_ERROR_KIND_NO_SERVER && !errors.Is(err, peer.ErrUnreachable)
}

// handlePong merges the record of the instance that answered at a member's address.
func (l *List) handlePong(r *pb.MemberRecord, pong *pb.MemberPong) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !valid(pong.GetOwn()) {
		return
	}
	l.mergeAll([]*pb.MemberRecord{pong.Own}, time.Now())
	l.checkAddressHolder(r.Member, refOf(pong.Own.Member))
}

// checkAddressHolder compares the instance that answered at an address with the
// member expected there. If another instance uses the address now, the expected
// member is declared dead. The caller holds mu.
func (l *List) checkAddressHolder(expected *pb.Member, responder *pb.NodeRef) {
	if expected == nil || responder.GetInstance() == "" || responder.Instance == expected.Instance {
		return
	}
	l.accuseMember(expected, dead)
}

// claimOwnAddress declares a member dead if its record still has this node's own
// address. The caller holds mu.
func (l *List) claimOwnAddress(r *pb.MemberRecord) {
	if r.Member.ControlAddress == l.opts.Member.ControlAddress && !isTombstone(r) {
		l.accuse(r, dead)
	}
}

// accuseMember accuses a member based on its current record, if that has the same
// incarnation as m. The caller holds mu.
func (l *List) accuseMember(m *pb.Member, status pb.MemberStatus) {
	e := l.table.entries[m.Instance]
	if e == nil || e.record.Member.Incarnation != m.Incarnation || isTombstone(e.record) {
		return
	}
	l.accuse(e.record, status)
}

// accuse marks a member suspect or dead. It has no effect on this node itself or if
// r is outdated. The caller holds mu.
func (l *List) accuse(r *pb.MemberRecord, status pb.MemberStatus) {
	if r.Member.Instance == l.opts.Member.Instance {
		return
	}
	accusation := &pb.MemberRecord{Member: r.Member, Refutations: r.Refutations, Liveness: status}
	result := l.table.merge(accusation, time.Now())
	if !result.changed {
		return
	}
	l.handleChange(result)
	l.publish()
}

// awaitRefutation declares a suspect member dead after suspectTimeout unless it has
// refuted by then. While this node may itself be at fault, the timeout starts again.
// The caller holds mu.
func (l *List) awaitRefutation(r *pb.MemberRecord) {
	l.after(suspectTimeout, func() {
		now := time.Now()
		l.mu.Lock()
		defer l.mu.Unlock()
		e := l.table.entries[r.Member.Instance]
		if e == nil || e.record.Member.Incarnation != r.Member.Incarnation || e.record.Refutations != r.Refutations {
			return
		}
		if isTombstone(e.record) || e.record.Liveness != suspect {
			return
		}
		if l.health.localFaultLikely(now) || l.health.isolated(now, l.noReachableMember()) {
			l.awaitRefutation(r)
			return
		}
		l.accuse(e.record, dead)
	})
}

// logChange logs a change of a member's effective status or incarnation.
func (l *List) logChange(before, after *pb.MemberRecord) {
	if before != nil && effectiveStatus(before) == effectiveStatus(after) && before.Member.Incarnation == after.Member.Incarnation {
		return
	}
	l.logger.Info("member changed",
		zap.String("member", after.Member.Instance),
		zap.Uint64("member_incarnation", after.Member.Incarnation),
		zap.Stringer("status", effectiveStatus(after)))
}

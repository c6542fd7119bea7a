package member

import (
	"time"

	"go.uber.org/zap"
)

// Health describes whether a node's view of the fleet can be trusted.
type Health struct {
	Ready bool
	// Reason says why the view isn't ready, or is ReasonReady.
	Reason string
	// Since is when this state was first noticed, or the start of the last round if
	// it began after that.
	Since time.Time
}

// Values of Health.Reason.
const (
	ReasonReady      = "ready"
	ReasonJoining    = "joining: no member has answered yet"
	ReasonPaused     = "resumed after a pause: the view is being refreshed"
	ReasonIsolated   = "isolated: neither a member nor the log has answered"
	ReasonSuperseded = "superseded: another process runs as this instance"
	ReasonLeft       = "left"
)

// health is a List's state from which its Health follows. It isn't safe for
// concurrent use.
type health struct {
	startedAt time.Time
	lastTick  time.Time
	// lastMember and lastLog are when a member and the log last answered.
	lastMember time.Time
	lastLog    time.Time
	// joined reports whether the view has been complete at least once.
	joined bool
	// refreshNeeded reports whether the view must be compared with another node's
	// again.
	refreshNeeded      bool
	refreshNeededSince time.Time
	superseded         bool
	left               bool
	reason             string
	since              time.Time
}

func (h *health) start(now time.Time) {
	h.startedAt, h.lastTick, h.lastMember, h.lastLog, h.since = now, now, now, now, now
	h.reason = ReasonJoining
}

// elapsed returns the time between two instants by the monotonic or the wall clock,
// whichever shows more: the monotonic clock may stop while the machine is suspended.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// paused reports whether no round has started for longer than pauseThreshold, for
// example because the process was stopped.
func (h *health) paused(now time.Time) bool {
	return elapsed(h.lastTick, now) > pauseThreshold
}

// isolated reports whether neither a member nor the log has answered for longer than
// isolationTime. A node that knows of no reachable member isn't isolated.
func (h *health) isolated(now time.Time, noReachableMember bool) bool {
	return !noReachableMember && h.sinceLastReply(now) > isolationTime
}

// sinceLastReply returns the time since a member or the log last answered.
func (h *health) sinceLastReply(now time.Time) time.Duration {
	return min(now.Sub(h.lastMember), now.Sub(h.lastLog))
}

// localFaultLikely reports whether missing answers may be caused by this node
// itself: it is paused, or it has noticed within accusationHoldoff that it was
// paused or isolated and has not refreshed its view since.
func (h *health) localFaultLikely(now time.Time) bool {
	return h.paused(now) || h.refreshNeeded && now.Sub(h.refreshNeededSince) < accusationHoldoff
}

// tick records the start of a round and detects whether this process was paused or
// is isolated.
func (l *List) tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := &l.health
	if h.paused(now) {
		l.stats.pauses.Add(1)
		h.refreshNeeded, h.refreshNeededSince = true, now
		h.lastMember, h.lastLog = now, now
	}
	if h.isolated(now, l.noReachableMember()) && !h.refreshNeeded {
		h.refreshNeeded, h.refreshNeededSince = true, now
	}
	h.lastTick = now
	l.updateReason(now)
}

// noReachableMember reports whether every other known member is dead or has left.
// The caller holds mu.
func (l *List) noReachableMember() bool {
	return len(l.partners.sameRegion)+len(l.partners.otherRegions) == 0
}

// noteMemberReply records that a member answered. The caller holds mu.
func (l *List) noteMemberReply(now time.Time) {
	l.health.lastMember = now
}

// noteRefreshed records that the view is complete, unless this node is paused. The
// caller holds mu.
func (l *List) noteRefreshed(now time.Time) {
	if l.health.paused(now) {
		return
	}
	l.health.joined = true
	l.health.refreshNeeded = false
	l.updateReason(now)
}

// updateReason stores the current reason and logs a change. The caller holds mu.
func (l *List) updateReason(now time.Time) {
	reason := l.healthReason(now)
	if reason == l.health.reason {
		return
	}
	l.health.reason, l.health.since = reason, now
	l.logger.Info("membership health changed", zap.String("reason", reason))
}

// healthReason returns the reason at the time now. The caller holds mu.
func (l *List) healthReason(now time.Time) string {
	h := &l.health
	switch {
	case h.left:
		return ReasonLeft
	case h.superseded:
		return ReasonSuperseded
	case !h.joined:
		return ReasonJoining
	case h.isolated(now, l.noReachableMember()):
		return ReasonIsolated
	case h.paused(now), h.refreshNeeded:
		return ReasonPaused
	default:
		return ReasonReady
	}
}

// Joined reports whether the view has been complete at least once.
func (l *List) Joined() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.health.joined
}

// Health returns whether the view can be trusted now, and why not.
func (l *List) Health() Health {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	reason := l.healthReason(now)
	since := l.health.since
	if reason != l.health.reason {
		since = l.health.lastTick
	}
	return Health{Ready: reason == ReasonReady, Reason: reason, Since: since}
}

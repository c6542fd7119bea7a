package member

import (
	"time"

	"go.uber.org/zap"
)

// Health says whether a node's view of the fleet may be trusted.
type Health struct {
	Ready bool
	// Reason is why it isn't ready, or "ready".
	Reason string
	// Since is when this state began, as far as known.
	Since time.Time
}

// Reasons of a Health.
const (
	ReasonReady      = "ready"
	ReasonJoining    = "joining: no member has answered yet"
	ReasonPaused     = "resumed after a pause: the view is being refreshed"
	ReasonIsolated   = "isolated: neither a member nor the log has answered"
	ReasonSuperseded = "superseded: another process runs as this instance"
	ReasonLeft       = "left"
)

// health is what a List knows of its own state. It isn't safe for concurrent
// use.
type health struct {
	startedAt time.Time
	lastTick  time.Time
	// lastMember and lastLog are when a member and the log last answered.
	lastMember time.Time
	lastLog    time.Time
	// joined: the view was complete once.
	joined bool
	// refresh: the view must be compared with another node's again.
	refresh    bool
	refreshAt  time.Time
	superseded bool
	left       bool
	reason     string
	since      time.Time
}

func (h *health) start(now time.Time) {
	h.startedAt, h.lastTick, h.lastMember, h.lastLog, h.since = now, now, now, now, now
	h.reason = ReasonJoining
}

// gap returns the time between two instants by the clock that shows more: a
// suspended machine's monotonic clock may stand still.
func gap(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// paused says whether the rounds have stood still for too long.
func (h *health) paused(now time.Time) bool {
	return gap(h.lastTick, now) > pauseThreshold
}

// isolated says whether nobody has answered for too long. A node that knows of
// no other isn't isolated.
func (h *health) isolated(now time.Time, alone bool) bool {
	return !alone && h.silence(now) > isolationTime
}

// silence returns the time since anyone answered.
func (h *health) silence(now time.Time) time.Duration {
	return min(now.Sub(h.lastMember), now.Sub(h.lastLog))
}

// doubtful says whether the silence of others may be this node's own: it is
// paused, or has found out a short while ago that it was paused or cut off.
func (h *health) doubtful(now time.Time) bool {
	return h.paused(now) || h.refresh && now.Sub(h.refreshAt) < doubtTime
}

// tick notes that a round begins and finds out whether this process was paused.
func (l *List) tick(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := &l.health
	if h.paused(now) {
		l.stats.pauses.Add(1)
		h.refresh, h.refreshAt = true, now
		h.lastMember, h.lastLog = now, now
	}
	if h.isolated(now, l.alone()) && !h.refresh {
		h.refresh, h.refreshAt = true, now
	}
	h.lastTick = now
	l.noteHealth(now)
}

// alone says whether no other member is believed reachable. The caller holds mu.
func (l *List) alone() bool {
	return len(l.partners.near)+len(l.partners.far) == 0
}

// contact notes that a member answered. The caller holds mu.
func (l *List) contact(now time.Time) {
	l.health.lastMember = now
}

// refreshed notes that the view equals another node's. The caller holds mu.
func (l *List) refreshed(now time.Time) {
	if l.health.paused(now) {
		return
	}
	l.health.joined = true
	l.health.refresh = false
	l.noteHealth(now)
}

// noteHealth logs a change of health. The caller holds mu.
func (l *List) noteHealth(now time.Time) {
	reason := l.reasonAt(now)
	if reason == l.health.reason {
		return
	}
	l.health.reason, l.health.since = reason, now
	l.log.Info("membership health changed", zap.String("reason", reason))
}

// reasonAt returns the present reason. The caller holds mu.
func (l *List) reasonAt(now time.Time) string {
	h := &l.health
	switch {
	case h.left:
		return ReasonLeft
	case h.superseded:
		return ReasonSuperseded
	case !h.joined:
		return ReasonJoining
	case h.isolated(now, l.alone()):
		return ReasonIsolated
	case h.paused(now), h.refresh:
		return ReasonPaused
	default:
		return ReasonReady
	}
}

// Joined returns whether the view was complete once.
func (l *List) Joined() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.health.joined
}

// Health returns whether the view may be trusted now, and why not.
func (l *List) Health() Health {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	reason := l.reasonAt(now)
	since := l.health.since
	if reason != l.health.reason {
		since = l.health.lastTick
	}
	return Health{Ready: reason == ReasonReady, Reason: reason, Since: since}
}

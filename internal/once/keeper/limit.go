package keeper

import (
	"sync"

	"github.com/egretfield/egretfield/internal/once/shard"
)

// GrantLimit is the least timestamp that a session may not grant yet, in any of
// its tables. The zero value is unlimited. Safe for concurrent use.
type GrantLimit struct {
	mu      sync.Mutex
	limited bool
	end     shard.Timestamp
	// grantedEnd is past the greatest timestamp ever granted by the session or
	// by those that handed tables to it.
	grantedEnd shard.Timestamp
	// changed is closed when the limit is raised or lifted. Nil while no call
	// waits.
	changed chan struct{}
}

// admit reports whether the timestamp may be granted, and records it as granted
// if so.
func (l *GrantLimit) admit(timestamp shard.Timestamp) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.allowsLocked(timestamp) {
		return false
	}
	l.grantedEnd = max(l.grantedEnd, timestamp+1)
	return true
}

// Reserve records the timestamps below grantedEnd, granted by another session,
// as granted. If they are past the limit, it does nothing and returns false.
func (l *GrantLimit) Reserve(grantedEnd shard.Timestamp) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limited && grantedEnd > l.end {
		return false
	}
	l.grantedEnd = max(l.grantedEnd, grantedEnd)
	return true
}

// Allows reports whether the timestamp is below the limit. If not, the channel
// is closed when the limit is raised or lifted.
func (l *GrantLimit) Allows(timestamp shard.Timestamp) (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allowsLocked(timestamp) {
		return true, nil
	}
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return false, l.changed
}

func (l *GrantLimit) allowsLocked(timestamp shard.Timestamp) bool {
	return !l.limited || timestamp < l.end
}

// Set limits an unlimited session to timestamps below end, or below the end of
// those granted if that is greater. It returns the limit in force.
func (l *GrantLimit) Set(end shard.Timestamp) shard.Timestamp {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limited {
		l.limited = true
		l.end = max(end, l.grantedEnd)
	}
	return l.end
}

// Raise raises the limit of a limited session to end, but never lowers it.
func (l *GrantLimit) Raise(end shard.Timestamp) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end = max(l.end, end)
	l.notifyWaitersLocked()
}

// Lift makes the session unlimited.
func (l *GrantLimit) Lift() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limited = false
	l.notifyWaitersLocked()
}

// End returns the limit, and false if there is none.
func (l *GrantLimit) End() (shard.Timestamp, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.end, l.limited
}

// clamp returns the lesser of end and the limit.
func (l *GrantLimit) clamp(end shard.Timestamp) shard.Timestamp {
	limit, limited := l.End()
	if !limited {
		return end
	}
	return min(end, limit)
}

func (l *GrantLimit) notifyWaitersLocked() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

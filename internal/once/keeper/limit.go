package keeper

import (
	"sync"

	"github.com/egretfield/egretfield/internal/once/shard"
)

// GrantLimit is the least label that a session may not grant yet, in any of
// its tables. The zero value is unlimited. Safe for concurrent use.
type GrantLimit struct {
	mu      sync.Mutex
	limited bool
	end     shard.Timestamp
	// next is past the greatest label that the session, or those that handed
	// tables to it, ever granted.
	next shard.Timestamp
	// raised is closed when the limit moves. Nil while nobody waits.
	raised chan struct{}
}

// admit reports whether the label may be granted, and remembers it if so.
func (l *GrantLimit) admit(timestamp shard.Timestamp) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.allowsLocked(timestamp) {
		return false
	}
	l.next = max(l.next, timestamp+1)
	return true
}

// Reserve takes the labels below next, granted by another session, for
// granted. It reports false, and does nothing, if they pass the limit.
func (l *GrantLimit) Reserve(next shard.Timestamp) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limited && next > l.end {
		return false
	}
	l.next = max(l.next, next)
	return true
}

// Allows reports whether the label is below the limit. If not, the channel is
// closed when the limit moves.
func (l *GrantLimit) Allows(timestamp shard.Timestamp) (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allowsLocked(timestamp) {
		return true, nil
	}
	if l.raised == nil {
		l.raised = make(chan struct{})
	}
	return false, l.raised
}

func (l *GrantLimit) allowsLocked(timestamp shard.Timestamp) bool {
	return !l.limited || timestamp < l.end
}

// Set limits an unlimited session to labels below end or past the greatest
// label granted, and returns the limit in force.
func (l *GrantLimit) Set(end shard.Timestamp) shard.Timestamp {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limited {
		l.limited = true
		l.end = max(end, l.next)
	}
	return l.end
}

// Raise moves the limit of a limited session, never back.
func (l *GrantLimit) Raise(end shard.Timestamp) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.end = max(l.end, end)
	l.wakeLocked()
}

// Lift makes the session unlimited.
func (l *GrantLimit) Lift() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limited = false
	l.wakeLocked()
}

// End returns the limit, and false if there is none.
func (l *GrantLimit) End() (shard.Timestamp, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.end, l.limited
}

// cap returns end, or the limit if that is less.
func (l *GrantLimit) cap(end shard.Timestamp) shard.Timestamp {
	limit, limited := l.End()
	if !limited {
		return end
	}
	return min(end, limit)
}

func (l *GrantLimit) wakeLocked() {
	if l.raised != nil {
		close(l.raised)
		l.raised = nil
	}
}

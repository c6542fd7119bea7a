package keeper

import (
	"time"

	"github.com/egretfield/egretfield/internal/once/shard"
	"github.com/egretfield/egretfield/internal/pb"
)

// Peek returns the state of a key without changing anything, and false if the
// table doesn't hold the key.
func (t *Table) Peek(key shard.Key) (pb.KeyState, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[key]
	if !ok {
		return pb.KeyState_KEY_STATE_UNSPECIFIED, false
	}
	if e.state == pb.KeyState_KEY_STATE_RUNNING && time.Now().After(e.holdUntil) {
		return pb.KeyState_KEY_STATE_UNKNOWN, true
	}
	return e.state, true
}

// Floor returns the least timestamp that the table grants.
func (t *Table) Floor() shard.Timestamp {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.floor
}

package keeper

import (
	"cmp"
	"slices"
	"time"

	"github.com/egretfield/egretfield/internal/once/shard"
	"github.com/egretfield/egretfield/internal/pb"
)

// ScopeState is the state of a key in one scope.
type ScopeState struct {
	Scope shard.Scope
	State pb.KeyState
}

// Peek returns the states of a key in all scopes in which the table holds it, without
// changing anything.
func (t *Table) Peek(key shard.Key) []ScopeState {
	unscoped := key.In(shard.Scope{})
	t.mu.Lock()
	defer t.mu.Unlock()
	var states []ScopeState
	if e, ok := t.entries[unscoped]; ok {
		states = append(states, e.peek())
	}
	for _, e := range t.scoped[unscoped] {
		states = append(states, e.peek())
	}
	slices.SortStableFunc(states, func(a, b ScopeState) int { return cmp.Compare(a.Scope.Organisation, b.Scope.Organisation) })
	return states
}

func (e *entry) peek() ScopeState {
	state := e.state
	if state == pb.KeyState_KEY_STATE_RUNNING && time.Now().After(e.holdUntil) {
		state = pb.KeyState_KEY_STATE_UNKNOWN
	}
	return ScopeState{Scope: e.key.Scope, State: state}
}

// Floor returns the least timestamp that the table grants.
func (t *Table) Floor() shard.Timestamp {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.floor
}

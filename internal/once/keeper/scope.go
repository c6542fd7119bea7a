package keeper

import (
	"slices"

	"github.com/egretfield/egretfield/internal/once/shard"
	"github.com/egretfield/egretfield/internal/pb"
)

// find returns the entry of a key. An entry without a scope that holds the grant is the
// key's own: a keeper of an older build has kept it meanwhile.
func (t *Table) find(key shard.Key, grant GrantID) (*entry, bool) {
	if e, ok := t.entries[key]; ok {
		return e, true
	}
	e, ok := t.entries[key.In(shard.Scope{})]
	if !ok || e.grant != grant {
		return nil, false
	}
	t.unindex(e)
	e.key = key
	t.index(e)
	t.updateSize(e)
	return e, true
}

// conflicting returns an entry of another scope that may be of the same operation, or nil.
// An entry without a scope may be any organisation's, so it conflicts with all others.
func (t *Table) conflicting(req Request) *entry {
	unscoped := req.Key.In(shard.Scope{})
	if req.Key != unscoped {
		if e, ok := t.entries[unscoped]; ok && e.blocks(req.Grant) {
			return e
		}
		return nil
	}
	for _, e := range t.scoped[unscoped] {
		if e.blocks(req.Grant) {
			return e
		}
	}
	return nil
}

// blocks reports whether the entry allows no grant of its key, or not this one, which was
// cancelled.
func (e *entry) blocks(grant GrantID) bool {
	return e.state != pb.KeyState_KEY_STATE_FREE || e.isCancelled(grant)
}

// beginConflicting neither grants the key nor replays an answer, as the operation may be
// the caller's own or another organisation's.
func beginConflicting(e *entry, req Request) (Result, <-chan struct{}) {
	if e.state == pb.KeyState_KEY_STATE_RUNNING {
		return beginRunning(e, req)
	}
	return refuse(pb.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, "the key was used, and it isn't known by which organisation"), nil
}

func (t *Table) index(e *entry) {
	t.entries[e.key] = e
	if unscoped := e.key.In(shard.Scope{}); e.key != unscoped {
		t.scoped[unscoped] = append(t.scoped[unscoped], e)
	}
}

func (t *Table) unindex(e *entry) {
	delete(t.entries, e.key)
	unscoped := e.key.In(shard.Scope{})
	if e.key == unscoped {
		return
	}
	same := t.scoped[unscoped]
	if len(same) == 1 {
		delete(t.scoped, unscoped)
		return
	}
	t.scoped[unscoped] = slices.DeleteFunc(same, func(other *entry) bool { return other == e })
}

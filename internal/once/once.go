// Package once runs requests with an idempotency key at most once, however
// often the caller sends them and through whichever node.
//
// Keys are sharded by their hash. For each shard, an interval of key creation
// times is leased to a session, one start of a node, which is then the keeper
// of the keys in it: only the keeper makes the grants that allow a request to
// run. Leases are claimed, renewed and handed over by records in the keeper
// stream of the platform log, which every node follows. A keeper can have a
// witness, another session. It then grants only below a limit that the witness
// has agreed to. If the keeper falls silent, the witness fences it: it ends the
// lease early, at that limit, so that another session can take over.
package once

import (
	"context"

	"github.com/egretfield/egretfield/internal/once/shard"
	"github.com/egretfield/egretfield/internal/pb"
)

// Key identifies one operation of a caller within a service.
type Key struct {
	Service string
	// Value is the Idempotency-Key header: a UUIDv7.
	Value string
	// Scoped is set where the configuration has organisations. The same value is then
	// another key for each Organisation, and for callers without one.
	Scoped       bool
	Organisation string
	// FirstSend is set when the caller states that it never sent this key
	// before. A request that wasn't sent past a gate can then be certified as
	// not run even while the key's keeper is unreachable.
	FirstSend bool
}

func (k Key) parse() (shard.Key, error) {
	parsed, err := shard.ParseKey(k.Service, k.Value)
	if k.Scoped {
		parsed.Scope = shard.Scope{Organisation: k.Organisation, Known: true}
	}
	return parsed, err
}

// Verdict is the keeper's answer to Begin.
type Verdict int

const (
	// VerdictGranted means that the caller of Begin holds the key's only grant
	// and may send one attempt past a gate; certified refusals don't use it up.
	VerdictGranted Verdict = iota
	// VerdictReplay means that the operation ran; Answer holds its answer.
	VerdictReplay
)

// Decision is the result of Begin.
type Decision struct {
	Verdict Verdict
	Answer  *pb.StoredAnswer
	// Grant identifies the grant to Finish. Empty on replay.
	Grant string
}

// Outcome is the result of a granted operation.
type Outcome struct {
	State pb.RunState
	// Answer is set when State is RUN_STATE_YES. It is nil if the answer was
	// too large to keep or may not leave some regions.
	Answer *pb.StoredAnswer
}

// Guard decides whether a request with a key may run. Safe for concurrent use.
type Guard interface {
	// Begin requests the grant of key. The fingerprint identifies the request
	// (method, path and body). The kind of an error (see errkind) is key in
	// progress, outcome unknown, key too old, key reused or key invalid, all
	// meaning that this call did not run the request, or keeper unavailable,
	// which certifies that no request with the key ran before this answer.
	// While an operation under the key is running, Begin waits for it within
	// ctx's deadline.
	Begin(ctx context.Context, key Key, fingerprint uint64) (Decision, error)
	// Finish records the outcome of a grant. RUN_STATE_NO frees the key: the
	// request did not run and never will. The outcome of a grant that is never
	// finished stays unknown. Finish retries until ctx ends; callers needn't
	// wait for it.
	Finish(ctx context.Context, key Key, grant string, outcome Outcome) error
}

package once

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/egretfield/egretfield/internal/once/shard"
	"github.com/egretfield/egretfield/internal/pb"
)

// binding ties the grant limit of this session to a witness, from before its
// record is sent to the log until the log shows another witness. The member and
// the session are the witness's.
type binding struct {
	to      Member
	session *pb.KeeperSession
	epoch   uint64
}

// bindings holds all witnesses that may fence this session. The limit is raised
// only when every one of them has agreed.
type bindings struct {
	mu   sync.Mutex
	list []*binding
	// fenced is the offset of the last fence of this session that was applied.
	fenced shard.Offset
	// requestedEnd is past the greatest timestamp that a call is waiting for.
	requestedEnd shard.Timestamp
	wake         chan struct{}

	// The fields below are used by witnessLoop only.
	failingSince time.Time
	boundAt      time.Time
	// rejectedCandidate is the last candidate that didn't become the witness.
	rejectedCandidate Member
}

func (b *bindings) all() []*binding {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.list)
}

// last returns the latest binding, or nil.
func (b *bindings) last() *binding {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.list) == 0 {
		return nil
	}
	return b.list[len(b.list)-1]
}

func (b *bindings) add(added *binding) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.list = append(b.list, added)
}

// requestLimit asks witnessLoop to raise the limit past the timestamp without
// waiting for the next interval.
func (b *bindings) requestLimit(timestamp shard.Timestamp) {
	b.mu.Lock()
	b.requestedEnd = max(b.requestedEnd, timestamp+1)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// awaitExtension waits until the next extension is due or requested.
func (b *bindings) awaitExtension(ctx context.Context) {
	timer := time.NewTimer(extendInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.wake:
	case <-ctx.Done():
	}
}

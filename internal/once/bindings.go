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
// record is sent to the log until the log shows another one.
type binding struct {
	to      Member
	session *pb.KeeperSession
	epoch   uint64
}

// bindings are all witnesses that may fence this session. The limit is raised
// only when each of them has agreed.
type bindings struct {
	mu   sync.Mutex
	list []*binding
	// fenced is the offset of the last fence of this session that was folded.
	fenced shard.Offset
	// needed is past the greatest label that somebody waits for.
	needed shard.Timestamp
	kick   chan struct{}

	// Used by witnessLoop only.
	failingSince time.Time
	boundAt      time.Time
	// refused is the last candidate that didn't become the witness.
	refused Member
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

// need asks for a limit past the label, soon.
func (b *bindings) need(timestamp shard.Timestamp) {
	b.mu.Lock()
	b.needed = max(b.needed, timestamp+1)
	b.mu.Unlock()
	select {
	case b.kick <- struct{}{}:
	default:
	}
}

// pause waits for the next extension, or until somebody needs one.
func (b *bindings) pause(ctx context.Context) {
	timer := time.NewTimer(extendEvery)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.kick:
	case <-ctx.Done():
	}
}

package once

import (
	"time"

	"github.com/egretfield/egretfield/internal/once/shard"
)

// Status is a node's state as a keeper.
type Status struct {
	Session uint64
	// Known is false until the node has the state of the keeper stream.
	Known bool
	// Folded is the offset of the last record applied.
	Folded int64
	// LogDown reports whether the keeper stream hasn't been read for some
	// seconds.
	LogDown bool
	// Shards is the number of shards that this node keeps.
	Shards int
	// LeaseEnd is the earliest end of the node's intervals; zero if it has
	// none.
	LeaseEnd time.Time
	// Keys and Bytes are the number and size of the stored keys. Evicted is the
	// number of keys dropped early to make room.
	Keys    int
	Bytes   int
	Evicted uint64
	// Transfers is the number of handovers that the recipient hasn't answered.
	Transfers int
}

// Status returns the current state of this node as a keeper.
func (m *Manager) Status() Status {
	status := Status{
		Session:   m.session.ID,
		LogDown:   m.replica.isLogDown(),
		Transfers: m.transfers.unacked(),
	}
	status.Known = m.replica.view(func(state *shard.State) {
		status.Folded = state.Folded()
		owned := state.Owned(m.session.ID)
		status.Shards = len(owned)
		for _, id := range owned {
			end := time.UnixMilli(int64(state.Current(id).End))
			if status.LeaseEnd.IsZero() || end.Before(status.LeaseEnd) {
				status.LeaseEnd = end
			}
		}
	})
	for _, table := range m.tables.unsealed() {
		stats := table.Stats()
		status.Keys += stats.Keys
		status.Bytes += stats.Bytes
		status.Evicted += stats.Evicted
	}
	return status
}

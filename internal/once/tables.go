package once

import (
	"slices"
	"sync"
	"time"

	"github.com/egretfield/egretfield/internal/once/keeper"
	"github.com/egretfield/egretfield/internal/once/shard"
)

// maxTables is the number of tables kept for one shard: that of the present
// interval and those of earlier ones that timestamps may still fall in.
const maxTables = 4

// tables holds the tables of the intervals that this session keeps or kept.
// Safe for concurrent use.
type tables struct {
	maxKeys  int
	maxBytes int
	limits   keeper.Limits

	mu      sync.RWMutex
	byShard map[uint32][]*keeper.Table
}

func newTables(maxKeys, maxBytes int, maxAhead time.Duration) *tables {
	t := &tables{
		maxKeys:  maxKeys,
		maxBytes: maxBytes,
		byShard:  make(map[uint32][]*keeper.Table),
	}
	t.limits.MaxAhead = maxAhead
	t.divideMemory()
	return t
}

// find returns the newest table of the shard whose interval contains the
// timestamp.
func (t *tables) find(shardID uint32, timestamp shard.Timestamp) *keeper.Table {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, table := range slices.Backward(t.byShard[shardID]) {
		if table.Covers(timestamp) {
			return table
		}
	}
	return nil
}

// ensure ensures that the session's present interval of the shard has a table that
// reaches to the interval's end.
func (t *tables) ensure(shardID uint32, current shard.Interval) {
	intervalID := keeper.IntervalIDOf(shardID, current)
	t.mu.Lock()
	defer t.mu.Unlock()
	if table := t.get(intervalID); table != nil {
		table.Extend(current.End)
		return
	}
	floor := current.Begin
	if current.Transfer != 0 {
		// The table that was handed over with the interval is lost.
		floor = current.End
	}
	t.addLocked(keeper.NewTable(shardID, current, floor, &t.limits), intervalID)
}

// add adds a table that another session handed over.
func (t *tables) add(table *keeper.Table, current keeper.IntervalID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addLocked(table, current)
}

func (t *tables) get(intervalID keeper.IntervalID) *keeper.Table {
	for _, table := range t.byShard[intervalID.Shard] {
		if table.IntervalID == intervalID {
			return table
		}
	}
	return nil
}

// addLocked adds a table and drops the oldest one beyond maxTables, but never
// that of the present interval, which current identifies.
func (t *tables) addLocked(table *keeper.Table, current keeper.IntervalID) {
	id := table.IntervalID.Shard
	list := append(t.byShard[id], table)
	if len(list) > maxTables {
		oldest := slices.IndexFunc(list, func(old *keeper.Table) bool { return old.IntervalID != current })
		list = slices.Delete(list, oldest, oldest+1)
	}
	t.byShard[id] = list
}

// truncate ends all tables at a timestamp.
func (t *tables) truncate(end shard.Timestamp) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, list := range t.byShard {
		for _, table := range list {
			table.Truncate(end)
		}
	}
}

// divideMemory divides the memory evenly among the tables that aren't sealed.
// It is called periodically, as the number of tables changes.
func (t *tables) divideMemory() {
	open := t.unsealed()
	count := max(1, len(open))
	t.limits.Keys.Store(int64(max(1, t.maxKeys/count)))
	t.limits.Bytes.Store(int64(max(1, t.maxBytes/count)))
	for _, table := range open {
		table.Trim()
	}
}

// unsealed returns the tables that may still grant.
func (t *tables) unsealed() []*keeper.Table {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.unsealedLocked()
}

func (t *tables) unsealedLocked() []*keeper.Table {
	var open []*keeper.Table
	for _, list := range t.byShard {
		for _, table := range list {
			if sealed, _ := table.Sealed(); !sealed {
				open = append(open, table)
			}
		}
	}
	return open
}

// sealedCurrent returns the table of the session's present interval if it is
// sealed.
func (t *tables) sealedCurrent(shardID uint32, current shard.Interval) *keeper.Table {
	t.mu.RLock()
	defer t.mu.RUnlock()
	table := t.get(keeper.IntervalIDOf(shardID, current))
	if table == nil {
		return nil
	}
	if sealed, _ := table.Sealed(); !sealed {
		return nil
	}
	return table
}

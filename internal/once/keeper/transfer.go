package keeper

import (
	"time"

	"github.com/egretfield/egretfield/internal/once/shard"
	"github.com/egretfield/egretfield/internal/pb"
)

// MaxSealedBytes bounds the message of a sealed table, so that it fits in one
// control call.
const MaxSealedBytes = 896 << 10

// Seal closes the table permanently and returns its contents for the session
// that gets the interval; movedTo is that session's instance. Contents beyond
// MaxSealedBytes lose their oldest keys. Later calls return nil.
func (t *Table) Seal(movedTo string) *pb.KeeperTable {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sealed {
		return nil
	}
	t.shrink(len(t.oldest), MaxSealedBytes)
	message := t.export()
	t.sealed = true
	t.movedTo = movedTo
	for _, e := range t.entries {
		e.notifyWaiters()
	}
	t.entries = nil
	t.oldest = nil
	t.bytes = 0
	return message
}

// Redirect changes the instance that gets the sealed interval.
func (t *Table) Redirect(movedTo string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.movedTo = movedTo
}

func (t *Table) export() *pb.KeeperTable {
	message := &pb.KeeperTable{
		Interval: &pb.KeeperInterval{
			Shard:    t.IntervalID.Shard,
			BeginMs:  t.IntervalID.Begin,
			EndMs:    t.limits.Grant.clamp(t.end),
			Transfer: t.IntervalID.Transfer,
		},
		FloorMs: t.floor,
	}
	now := time.Now()
	for _, e := range t.oldest {
		message.Entries = append(message.Entries, e.message(now))
	}
	return message
}

func (e *entry) message(now time.Time) *pb.KeeperEntry {
	hold := max(0, e.holdUntil.Sub(now))
	message := &pb.KeeperEntry{
		Service:     e.key.Service,
		Key:         e.key.ID[:],
		Fingerprint: e.fingerprint,
		Grant:       e.grant[:],
		State:       e.state,
		Answer:      e.answer,
		HoldMs:      uint32(hold.Milliseconds()),
	}
	for _, id := range e.cancelled {
		message.Cancelled = append(message.Cancelled, id[:])
	}
	return message
}

// Restore returns a table with the contents that a sealed table passed on in
// the transfer with the given id. Until it is extended, it grants timestamps up
// to the end in the message.
func Restore(message *pb.KeeperTable, transfer uint64, limits *Limits) (*Table, error) {
	interval := shard.Interval{
		Begin:    message.Interval.GetBeginMs(),
		End:      message.Interval.GetEndMs(),
		Transfer: transfer,
	}
	t := NewTable(message.Interval.GetShard(), interval, message.FloorMs, limits)
	now := time.Now()
	for _, kept := range message.Entries {
		e, err := restoreEntry(kept, now)
		if err != nil {
			return nil, err
		}
		t.add(e)
	}
	t.evict()
	return t, nil
}

// GrantedEnd returns a timestamp past all those that the table, or the tables
// it was restored from, may have granted.
func (t *Table) GrantedEnd() shard.Timestamp {
	t.mu.Lock()
	defer t.mu.Unlock()
	grantedEnd := t.floor
	for _, e := range t.oldest {
		grantedEnd = max(grantedEnd, e.timestamp+1)
	}
	return grantedEnd
}

func restoreEntry(kept *pb.KeeperEntry, now time.Time) (*entry, error) {
	key, err := shard.KeyFromBytes(kept.Service, kept.Key)
	if err != nil {
		return nil, err
	}
	e := &entry{
		key:         key,
		timestamp:   key.Timestamp(),
		fingerprint: kept.Fingerprint,
		state:       kept.State,
		answer:      kept.Answer,
		holdUntil:   now.Add(time.Duration(kept.HoldMs) * time.Millisecond),
	}
	copy(e.grant[:], kept.Grant)
	for _, id := range kept.Cancelled {
		var grant GrantID
		copy(grant[:], id)
		e.cancel(grant)
	}
	return e, nil
}

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
	t.entries, t.scoped = nil, nil
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
		unscoped := e.key.In(shard.Scope{})
		same := t.scoped[unscoped]
		_, hasUnscoped := t.entries[unscoped]
		switch {
		case len(same) == 0 || len(same) == 1 && !hasUnscoped:
			message.Entries = append(message.Entries, e.message(now))
		case e == same[0]:
			message.Entries = append(message.Entries, t.shared(unscoped, now))
		}
	}
	return message
}

// shared returns the message of a key with entries in several scopes. A node of an older
// build keeps one entry a key; its state makes that node refuse the key to all. Its
// fingerprint is 0, as that of no request is.
func (t *Table) shared(unscoped shard.Key, now time.Time) *pb.KeeperEntry {
	message := &pb.KeeperEntry{Service: unscoped.Service, Key: unscoped.ID[:], State: pb.KeyState_KEY_STATE_UNKNOWN}
	if e, ok := t.entries[unscoped]; ok {
		message.ByOrganisation = append(message.ByOrganisation, e.message(now))
	}
	for _, e := range t.scoped[unscoped] {
		message.ByOrganisation = append(message.ByOrganisation, e.message(now))
	}
	return message
}

func (e *entry) message(now time.Time) *pb.KeeperEntry {
	hold := max(0, e.holdUntil.Sub(now))
	message := &pb.KeeperEntry{
		Service:      e.key.Service,
		Key:          e.key.ID[:],
		Fingerprint:  e.fingerprint,
		Grant:        e.grant[:],
		State:        e.state,
		Answer:       e.answer,
		HoldMs:       uint32(hold.Milliseconds()),
		Organisation: e.key.Scope.Field(),
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
		entries := kept.ByOrganisation
		if len(entries) == 0 {
			entries = []*pb.KeeperEntry{kept}
		}
		for _, kept := range entries {
			e, err := restoreEntry(kept, now)
			if err != nil {
				return nil, err
			}
			t.add(e)
		}
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
	scope := shard.ScopeOf(kept.Organisation)
	if !scope.Known && kept.Answer != nil {
		// A keeper of an older build loses the scope of the entry but not of its answer.
		scope = shard.ScopeOf(kept.Answer.Organisation)
	}
	e := &entry{
		key:         key.In(scope),
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

package member

import (
	"sort"
	"time"

	"github.com/egretfield/egretfield/internal/pb"
)

// roundsPerChange is the number of rounds in which a change is sent after its push.
// Nodes that these don't reach get it when tables are compared.
const roundsPerChange = 3

// pendingChange is a change that is still to be sent in rounds.
type pendingChange struct {
	instance  string
	sendsLeft int
	// pushed reports whether the change has already been pushed.
	pushed bool
}

// changeQueue holds the recent changes to send to other nodes. It isn't safe for
// concurrent use.
type changeQueue struct {
	changes map[string]*pendingChange
}

// add queues a change of instance. A change that is already queued is reset.
func (q *changeQueue) add(instance string, t *table) {
	if q.changes == nil {
		q.changes = map[string]*pendingChange{}
	}
	q.changes[instance] = &pendingChange{instance: instance, sendsLeft: roundsPerChange}
}

// takeForRound returns up to max records of recent changes, the least often sent
// first, and counts them as sent once more.
func (q *changeQueue) takeForRound(t *table, max int, now time.Time) []*pb.MemberRecord {
	order := make([]*pendingChange, 0, len(q.changes))
	for _, p := range q.changes {
		order = append(order, p)
	}
	sort.Slice(order, func(i, j int) bool {
		if order[i].sendsLeft != order[j].sendsLeft {
			return order[i].sendsLeft > order[j].sendsLeft
		}
		return order[i].instance < order[j].instance
	})
	var out []*pb.MemberRecord
	for _, p := range order[:min(max, len(order))] {
		p.sendsLeft--
		if p.sendsLeft <= 0 {
			delete(q.changes, p.instance)
		}
		if e := t.entries[p.instance]; e != nil {
			out = append(out, e.toWire(now))
		}
	}
	return out
}

// takeUnpushed returns up to max records that haven't been pushed yet and marks
// them as pushed; more reports whether others remain.
func (q *changeQueue) takeUnpushed(t *table, max int, now time.Time) (out []*pb.MemberRecord, more bool) {
	for _, p := range q.changes {
		if p.pushed {
			continue
		}
		if len(out) >= max {
			return out, true
		}
		p.pushed = true
		if e := t.entries[p.instance]; e != nil {
			out = append(out, e.toWire(now))
		}
	}
	return out, false
}

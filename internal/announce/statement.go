package announce

import (
	"cmp"
	"time"

	"github.com/egretfield/egretfield/internal/pb"
)

// Statement is a report of its own state by a backend server that numbers its
// reports.
type Statement struct {
	// Server is its announcement; nil if the statement only reports that the server
	// is gone.
	Server *pb.Announcement
	// ID identifies this start of the server. If a later start has the same ID, only
	// StartedUnixMs tells them apart.
	ID string
	// StartedUnixMs is the start time by the server's own clock, in Unix milliseconds.
	// Zero means unknown; an announcement without it is invalid.
	StartedUnixMs int64
	// Sequence increases with each statement since the server's start; zero if the
	// statement has no number.
	Sequence uint64
	// Leaving is set if the server takes no new work.
	Leaving bool
	// Gone is set in the server's last statement, by which it deregisters.
	Gone bool
}

// Verdict is the result of handling a statement.
type Verdict int

// Values of Verdict.
const (
	// VerdictAccepted means that the statement is now the latest one.
	VerdictAccepted Verdict = iota
	// VerdictStale means that the statement was ignored: it isn't later than the
	// latest one, or it reports as gone a server other than the latest.
	VerdictStale
	// VerdictInvalid means that the statement was ignored because its announcement
	// is invalid or can't be ordered.
	VerdictInvalid
)

// position orders statements by the server's start time and then by sequence number.
type position struct {
	id            string
	startedUnixMs int64
	sequence      uint64
	gone          bool
	// leaving is set if the server has said elsewhere that it is leaving.
	leaving bool
}

// isSameStart reports whether s comes from the start of the server that p belongs to.
func (p position) isSameStart(s Statement) bool {
	return s.ID == p.id && (s.StartedUnixMs == 0 || s.StartedUnixMs == p.startedUnixMs)
}

// precedes reports whether the position is before that of s.
func (p position) precedes(s Statement) bool {
	if p.isSameStart(s) {
		return !p.gone && (s.Gone || s.Sequence > p.sequence)
	}
	return s.StartedUnixMs > p.startedUnixMs
}

// HandleStatement handles a statement of a backend server that numbers its statements.
// One that is invalid or not later than the latest has no effect. Once the latest server
// has been silent for Lifetime, a server that started earlier replaces it.
func (r *Receiver) HandleStatement(now time.Time, s Statement) Verdict {
	if s.Server != nil && (validate(s.Server) != "" || s.StartedUnixMs <= 0) {
		return VerdictInvalid
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isLatest(now, s) {
		return VerdictStale
	}
	saidLeaving := r.position.leaving && r.position.isSameStart(s)
	r.position = position{
		id:            s.ID,
		startedUnixMs: cmp.Or(s.StartedUnixMs, r.position.startedUnixMs),
		sequence:      max(s.Sequence, r.sequenceOf(s)),
		gone:          s.Gone,
		leaving:       saidLeaving,
	}
	r.lastHeard = now
	next := Change{Server: s.Server, Leaving: s.Leaving || s.Gone || saidLeaving}
	if s.Gone {
		next.Server = r.current.Server
	}
	if next.Server != nil && !next.equivalent(r.current) {
		r.current = next
		r.onChange(next)
	}
	return VerdictAccepted
}

// isLatest reports whether s comes from the server that the node believes in and is its
// latest statement, or comes from one that takes its place.
func (r *Receiver) isLatest(now time.Time, s Statement) bool {
	if r.position.precedes(s) {
		return !s.Gone || r.position.isSameStart(s)
	}
	isSilent := now.Sub(r.lastHeard) >= Lifetime
	return isSilent && !s.Gone && !r.position.isSameStart(s)
}

// sequenceOf returns the highest sequence number so far of the start that s belongs to;
// zero if it is another than the latest.
func (r *Receiver) sequenceOf(s Statement) uint64 {
	if !r.position.isSameStart(s) {
		return 0
	}
	return r.position.sequence
}

// equivalent reports whether two changes describe the same state. Values that change
// by themselves, such as the remaining warm-up time, are not compared.
func (c Change) equivalent(other Change) bool {
	if c.Leaving != other.Leaving || other.Server == nil {
		return false
	}
	a, b := c.Server, other.Server
	return a.GetServerId() == b.GetServerId() && a.GetService() == b.GetService() &&
		a.GetAddress() == b.GetAddress() && a.GetSlots() == b.GetSlots() && a.GetConnections() == b.GetConnections()
}

// SetLeaving records that the backend server with the given ID, if it is the current
// one, said elsewhere than in a statement that it is leaving. That holds for this start of
// the server, whatever its later statements say.
func (r *Receiver) SetLeaving(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current.Server == nil || r.current.Server.GetServerId() != id {
		return
	}
	r.position.leaving = r.position.id == id
	if !r.current.Leaving {
		r.current.Leaving = true
		r.onChange(r.current)
	}
}

// Forget clears the state of the backend server, for example after it was found dead,
// so that its next statement counts as a change.
func (r *Receiver) Forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current.Server == nil || r.current.Leaving {
		return
	}
	r.current = Change{}
	r.onChange(r.current)
}

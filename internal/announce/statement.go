package announce

import (
	"cmp"
	"time"

	"github.com/egretfield/egretfield/internal/pb"
)

// Statement is what a backend server that numbers its statements says of itself.
type Statement struct {
	// Server is what it serves; nil when it only says that it is gone.
	Server *pb.Announcement
	// ID is the identity of this start of the server.
	ID string
	// Started is when the server started by its own clock, Unix milliseconds;
	// zero: it doesn't say.
	Started int64
	// Sequence grows with each statement of one start; zero: it has none.
	Sequence uint64
	// Leaving: the server takes no new work.
	Leaving bool
	// Gone: the server's last statement.
	Gone bool
}

// Verdict says what became of a statement.
type Verdict int

// Verdicts of a statement.
const (
	// VerdictTaken: the statement holds.
	VerdictTaken Verdict = iota
	// VerdictStale: a later statement was heard before; this one changes nothing.
	VerdictStale
	// VerdictInvalid: the statement contradicts itself; it changes nothing.
	VerdictInvalid
)

// position orders statements: by the server's start, then by their number.
type position struct {
	id       string
	started  int64
	sequence uint64
	gone     bool
}

// follows says whether a statement is later than the position. Of two servers
// that don't tell their starts apart, the one that is heard last is the later.
func (p position) follows(s Statement) bool {
	if order := cmp.Compare(s.Started, p.started); s.Started != 0 && order != 0 {
		return order > 0
	}
	if s.ID != p.id {
		return s.Started == 0
	}
	if p.gone {
		return false
	}
	return s.Gone || s.Sequence > p.sequence
}

// Take takes a statement of a backend server that numbers its statements. Late
// ones change nothing.
func (r *Receiver) Take(now time.Time, s Statement) Verdict {
	if s.Server != nil && check(s.Server) != "" {
		return VerdictInvalid
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Gone && s.ID != r.position.id || !r.position.follows(s) {
		return VerdictStale
	}
	sequence := s.Sequence
	if s.Gone && sequence == 0 {
		sequence = r.position.sequence
	}
	started := cmp.Or(s.Started, r.position.started)
	r.position = position{id: s.ID, started: started, sequence: sequence, gone: s.Gone}
	r.heard = now
	next := Change{Server: s.Server, Leaving: s.Leaving || s.Gone}
	if s.Gone {
		next.Server = r.current.Server
	}
	if next.Server != nil && !next.equal(r.current) {
		r.current = next
		r.onChange(next)
	}
	return VerdictTaken
}

// equal says whether two changes leave the same. What passes by itself, like the
// rest of a ramp, makes no difference.
func (c Change) equal(other Change) bool {
	if c.Leaving != other.Leaving || other.Server == nil {
		return false
	}
	a, b := c.Server, other.Server
	return a.GetServerId() == b.GetServerId() && a.GetService() == b.GetService() &&
		a.GetAddress() == b.GetAddress() && a.GetSlots() == b.GetSlots() && a.GetConnections() == b.GetConnections()
}

// Forget drops what is known of the backend server, as when it was found dead, so
// that its next statement counts as a change.
func (r *Receiver) Forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current.Server == nil || r.current.Leaving {
		return
	}
	r.current = Change{}
	r.onChange(r.current)
}

package announce

import (
	"fmt"
	"math"
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
	// VerdictStale means that the statement was ignored: it isn't later than the latest
	// one, or it comes from a server that has deregistered.
	VerdictStale
	// VerdictInvalid means that the statement was ignored; Statement.Problem says why.
	VerdictInvalid
)

// position orders statements by the server's start time and then by sequence number.
type position struct {
	id            string
	startedUnixMs int64
	sequence      uint64
}

// isSameStart reports whether s comes from the start of the server that p belongs to.
func (p position) isSameStart(s Statement) bool {
	return s.ID == p.id && (s.StartedUnixMs == 0 || s.StartedUnixMs == p.startedUnixMs)
}

// precedes reports whether the position is before that of s.
func (p position) precedes(s Statement) bool {
	if p.isSameStart(s) {
		return s.Sequence > p.sequence
	}
	return s.StartedUnixMs > p.startedUnixMs
}

// maxStartAhead is how far a server's start time may be ahead of the node's clock.
const maxStartAhead = time.Hour

// Problem describes why a statement is invalid. It returns "" for a valid one.
func (s Statement) Problem(now time.Time) string {
	if s.ID == "" || !isToken(s.ID) {
		return idProblem(s.ID)
	}
	if s.Gone {
		return ""
	}
	if latest := now.Add(maxStartAhead).UnixMilli(); s.StartedUnixMs <= 0 || s.StartedUnixMs > latest {
		return fmt.Sprintf("start time: got %d ms, expected 1 to %d ms of Unix time", s.StartedUnixMs, latest)
	}
	return validate(s.Server)
}

// HandleStatement handles a statement of a backend server that numbers its statements.
// One that is invalid, not later than the latest or from a server that has deregistered
// has no effect. The latest one loses its place after a silence of Lifetime: then a
// server that started earlier replaces it, or its own server continues from a lower
// sequence number.
func (r *Receiver) HandleStatement(now time.Time, s Statement) Verdict {
	if s.Problem(now) != "" {
		return VerdictInvalid
	}
	if s.Gone {
		return r.handleDeregistration(now, s)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	isLater := r.position.precedes(s)
	isSilent := now.Sub(r.lastHeard) >= Lifetime
	if r.ended.includes(now, s) || !isLater && !isSilent {
		return VerdictStale
	}
	if s.Leaving {
		r.leaving.add(s.ID, s.StartedUnixMs, s.Sequence)
	}
	r.position = position{id: s.ID, startedUnixMs: s.StartedUnixMs, sequence: s.Sequence}
	r.lastHeard = now
	r.setCurrent(Change{Server: s.Server, Leaving: r.leaving.covers(s)})
	return VerdictAccepted
}

// setCurrent stores the state of the backend server and reports it if it is a change.
func (r *Receiver) setCurrent(next Change) {
	if !next.equivalent(r.current) {
		r.current = next
		r.onChange(next)
	}
	if r.onHeartbeat != nil && next.Server != nil {
		r.onHeartbeat(next.Server)
	}
}

// handleDeregistration records that a server is gone, whether or not the node knows it.
// If it is the latest, no other statement of it counts from then on.
func (r *Receiver) handleDeregistration(now time.Time, s Statement) Verdict {
	r.departureMu.Lock()
	defer r.departureMu.Unlock()
	verdict, departures := r.deregister(now, s)
	if departures != nil && r.onDeparture != nil {
		r.onDeparture(departures)
	}
	return verdict
}

// deregister records a deregistration. It returns the latest departures if it is a new one.
func (r *Receiver) deregister(now time.Time, s Statement) (verdict Verdict, departures []*pb.Departure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	isRecorded := r.isRecorded(s)
	verdict = r.deregisterLocked(now, s)
	if !isRecorded {
		departures = r.ended.departures()
	}
	return verdict, departures
}

// isRecorded reports whether the start that a deregistration means is known to have
// deregistered. Without a start time that is so only for the latest server.
func (r *Receiver) isRecorded(s Statement) bool {
	if s.StartedUnixMs == 0 {
		return r.position.isSameStart(s) && r.ended.has(s.ID, r.position.startedUnixMs)
	}
	return r.ended.has(s.ID, s.StartedUnixMs)
}

func (r *Receiver) deregisterLocked(now time.Time, s Statement) Verdict {
	r.ended.add(now, s.ID, s.StartedUnixMs)
	if !r.position.isSameStart(s) {
		if s.StartedUnixMs != 0 && s.StartedUnixMs < r.position.startedUnixMs {
			return VerdictStale
		}
		return VerdictAccepted
	}
	if s.StartedUnixMs == 0 {
		r.ended.add(now, s.ID, r.position.startedUnixMs)
	}
	r.lastHeard = now
	r.setLeavingLocked()
	return VerdictAccepted
}

// setLeavingLocked marks the current server, if there is one, as leaving.
func (r *Receiver) setLeavingLocked() {
	if r.current.Server != nil && !r.current.Leaving {
		r.current.Leaving = true
		r.onChange(r.current)
	}
}

// Restore adds departures that an earlier start of the node recorded. A server among them
// that was put in use meanwhile leaves.
func (r *Receiver) Restore(now time.Time, departures []*pb.Departure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range departures[max(0, len(departures)-maxDepartures):] {
		if isToken(d.GetServerId()) && !r.ended.has(d.GetServerId(), d.GetStartedUnixMs()) {
			r.ended.add(time.UnixMilli(d.GetDepartedUnixMs()), d.GetServerId(), d.GetStartedUnixMs())
		}
	}
	latest := Statement{ID: r.position.id, StartedUnixMs: r.position.startedUnixMs}
	if r.position.id != "" && r.ended.includes(now, latest) {
		r.setLeavingLocked()
	}
}

// equivalent reports whether two changes describe the same state. Values that change
// by themselves, such as the remaining warm-up time, are not compared.
func (c Change) equivalent(other Change) bool {
	if c.Leaving != other.Leaving || other.Server == nil {
		return false
	}
	a, b := c.Server, other.Server
	return a.GetServerId() == b.GetServerId() && a.GetService() == b.GetService() &&
		a.GetAddress() == b.GetAddress() && a.GetSlots() == b.GetSlots() && a.GetConnections() == b.GetConnections() &&
		a.GetHealthPath() == b.GetHealthPath()
}

// SetLeaving records that the backend server with the given ID, if it is the current
// one, said elsewhere than in a statement that it is leaving. That holds for this start of
// the server, whatever its later statements say.
func (r *Receiver) SetLeaving(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.position.id == id {
		r.leaving.add(id, r.position.startedUnixMs, math.MaxUint64)
	}
	if r.current.Server.GetServerId() == id {
		r.setLeavingLocked()
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

package announce

import (
	"slices"
	"time"

	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// maxEnded is the number of deregistered starts that are remembered.
	maxEnded = 64
	// maxDepartures is the number of them that are recorded outside of the process. A
	// deregistration without a start time may take two.
	maxDepartures = 16
	// maxLateness is how late a statement may arrive. A deregistration without a start
	// time holds for that long.
	maxLateness = 30 * time.Second
)

// endedStart is a start of a server that has deregistered.
type endedStart struct {
	id string
	// startedUnixMs is zero if the deregistration named no start time. It then concerns
	// every start of the id that was made before it.
	startedUnixMs int64
	// at is when the deregistration arrived.
	at time.Time
}

// endedStarts are the latest starts that have deregistered, oldest first. They are kept
// apart from the latest server: a server may deregister before the node knows it, since a
// statement may be overtaken by later ones.
type endedStarts struct {
	starts []endedStart
}

// add records that a start has deregistered. It replaces an earlier record of it.
func (e *endedStarts) add(now time.Time, id string, startedUnixMs int64) {
	e.starts = slices.DeleteFunc(e.starts, func(start endedStart) bool {
		return start.id == id && start.startedUnixMs == startedUnixMs
	})
	if len(e.starts) == maxEnded {
		e.starts = append(e.starts[:0], e.starts[1:]...)
	}
	e.starts = append(e.starts, endedStart{id: id, startedUnixMs: startedUnixMs, at: now})
}

// has reports whether the deregistration of a start is recorded.
func (e *endedStarts) has(id string, startedUnixMs int64) bool {
	return slices.ContainsFunc(e.starts, func(start endedStart) bool {
		return start.id == id && start.startedUnixMs == startedUnixMs
	})
}

// departures returns the latest maxDepartures starts, oldest first.
func (e *endedStarts) departures() []*pb.Departure {
	var departures []*pb.Departure
	for _, start := range e.starts[max(0, len(e.starts)-maxDepartures):] {
		departures = append(departures, &pb.Departure{
			ServerId:       start.id,
			StartedUnixMs:  start.startedUnixMs,
			DepartedUnixMs: start.at.UnixMilli(),
		})
	}
	return departures
}

// includes reports whether s comes from a start that has deregistered.
func (e *endedStarts) includes(now time.Time, s Statement) bool {
	for _, start := range e.starts {
		if start.covers(now, s) {
			return true
		}
	}
	return false
}

func (e endedStart) covers(now time.Time, s Statement) bool {
	if e.id != s.ID {
		return false
	}
	if e.startedUnixMs != 0 {
		return e.startedUnixMs == s.StartedUnixMs
	}
	// Both ages are taken at the same moment, so a clock that was set between the
	// deregistration and now doesn't count.
	age := now.Sub(time.UnixMilli(s.StartedUnixMs))
	sinceDeregistration := now.Sub(e.at)
	return sinceDeregistration < maxLateness && age >= sinceDeregistration
}

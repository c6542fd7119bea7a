package announce

import "slices"

// maxLeaving is the number of leaving starts that are remembered.
const maxLeaving = 64

// leavingStart is a start of a server that has said that it is leaving.
type leavingStart struct {
	id            string
	startedUnixMs int64
	// sequence is the number of the latest statement that says so. Only a later statement
	// can say that the server takes work again.
	sequence uint64
}

// leavingStarts are the latest starts that have said that they are leaving, oldest first.
// They are kept apart from the latest server, whose place another one may take for a time.
type leavingStarts struct {
	starts []leavingStart
}

// add records that a start is leaving, as its statement of that number says.
func (l *leavingStarts) add(id string, startedUnixMs int64, sequence uint64) {
	if i := l.index(id, startedUnixMs); i >= 0 {
		sequence = max(sequence, l.starts[i].sequence)
		l.starts = slices.Delete(l.starts, i, i+1)
	}
	if len(l.starts) == maxLeaving {
		l.starts = slices.Delete(l.starts, 0, 1)
	}
	l.starts = append(l.starts, leavingStart{id: id, startedUnixMs: startedUnixMs, sequence: sequence})
}

// covers reports whether the server is leaving that s comes from, which s may be too old
// to say itself.
func (l *leavingStarts) covers(s Statement) bool {
	i := l.index(s.ID, s.StartedUnixMs)
	return i >= 0 && s.Sequence <= l.starts[i].sequence
}

func (l *leavingStarts) index(id string, startedUnixMs int64) int {
	return slices.IndexFunc(l.starts, func(start leavingStart) bool {
		return start.id == id && start.startedUnixMs == startedUnixMs
	})
}

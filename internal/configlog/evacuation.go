package configlog

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
)

// maxEvacuations is the number of data centres whose last evacuation or end of one is
// kept: far more than a fleet has, so that a snapshot fits one record whatever was
// written. The oldest mark that isn't active is dropped first.
const maxEvacuations = 128

// Evacuated returns the names of the evacuated data centres in sorted order.
func Evacuated(state *pb.ConfigState) []string {
	var names []string
	for _, mark := range state.GetEvacuations() {
		if mark.GetActive() {
			names = append(names, mark.GetDataCentre())
		}
	}
	slices.Sort(names)
	return names
}

// isFromPlatform reports whether a record was translated from a platform's own. Those
// that operators write through egretctl have an id.
func isFromPlatform(message *pb.ConfigRecord) bool { return message.GetId() == "" }

// evaluateEvacuation accepts or refuses an evacuation or the end of one. It conflicts only
// with a change for the same data centre after its base. A platform's evacuation is also
// kept before the first configuration, because the platform doesn't repeat it.
func evaluateEvacuation(state State, evacuate *pb.Evacuate, entry *pb.AuditEntry) *pb.ConfigState {
	if entry.GetId() != "" && refuseUnpublished(entry, state) {
		return state.Config
	}
	if !isValidInstance(evacuate.GetDataCentre()) {
		refuse(entry, pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "an evacuation needs the name of a data centre")
		return state.Config
	}
	last := markOf(state.Config.GetEvacuations(), evacuate.GetDataCentre())
	if last.GetOffset() > entry.GetBaseVersion() {
		refuseConflict(entry, state, last.GetOffset())
		return state.Config
	}
	next := accept(state, entry)
	next.Evacuations = orderedMarks(append(slices.Clone(next.GetEvacuations()), &pb.EvacuationMark{
		DataCentre: evacuate.GetDataCentre(),
		Active:     evacuate.GetEvacuate(),
		Offset:     entry.GetOffset(),
	}))
	entry.Changes, entry.ChangesOmitted = diff(state.Config, next)
	return next
}

// markOf returns the mark of a data centre, or nil.
func markOf(marks []*pb.EvacuationMark, dataCentre string) *pb.EvacuationMark {
	for _, mark := range marks {
		if mark.GetDataCentre() == dataCentre {
			return mark
		}
	}
	return nil
}

// orderedMarks returns the latest of marks for each data centre, oldest first, within
// maxEvacuations.
func orderedMarks(marks []*pb.EvacuationMark) []*pb.EvacuationMark {
	slices.SortFunc(marks, func(a, b *pb.EvacuationMark) int {
		return cmp.Or(cmp.Compare(a.GetOffset(), b.GetOffset()), cmp.Compare(a.GetDataCentre(), b.GetDataCentre()))
	})
	latest := make(map[string]*pb.EvacuationMark, len(marks))
	for _, mark := range marks {
		latest[mark.GetDataCentre()] = mark
	}
	marks = slices.DeleteFunc(marks, func(mark *pb.EvacuationMark) bool { return latest[mark.GetDataCentre()] != mark })
	for len(marks) > maxEvacuations {
		ended := slices.IndexFunc(marks, func(mark *pb.EvacuationMark) bool { return !mark.GetActive() })
		marks = slices.Delete(marks, max(ended, 0), max(ended, 0)+1)
	}
	return marks
}

// mergeEvacuations returns the marks as of the later position of a and b.
//
// A state knows every evacuation of the era of its position that is active there, so a
// mark of that era which the later state lacks has ended. A mark of an older era stays
// until a record of a later era names its data centre: the copy from which the log came
// back may have lost it.
func mergeEvacuations(a, b State) []*pb.EvacuationMark {
	later, earlier := a, b
	if b.FoldedThrough > a.FoldedThrough {
		later, earlier = b, a
	}
	merged := slices.Clone(later.Config.GetEvacuations())
	for _, mark := range earlier.Config.GetEvacuations() {
		known := markOf(merged, mark.GetDataCentre())
		if known.GetOffset() >= mark.GetOffset() {
			continue
		}
		hasEnded := mark.GetActive() && later.FoldedThrough > earlier.FoldedThrough &&
			platformlog.EraOf(mark.GetOffset()) == platformlog.EraOf(later.FoldedThrough)
		if hasEnded {
			mark = &pb.EvacuationMark{DataCentre: mark.GetDataCentre(), Offset: later.FoldedThrough}
		}
		merged = append(merged, mark)
	}
	return orderedMarks(merged)
}

// withEvacuations returns the state with marks.
func (s State) withEvacuations(marks []*pb.EvacuationMark) State {
	if slices.EqualFunc(s.Config.GetEvacuations(), marks, sameMark) {
		return s
	}
	s.Config = shallowCopy(s.Config)
	s.Config.Evacuations = marks
	for _, mark := range marks {
		s.Config.Applied = max(s.Config.Applied, mark.GetOffset())
	}
	return s
}

func sameMark(a, b *pb.EvacuationMark) bool {
	return a.GetDataCentre() == b.GetDataCentre() && a.GetActive() == b.GetActive() && a.GetOffset() == b.GetOffset()
}

// areEvacuationsConsistent reports whether marks are ordered by offset, none is beyond
// through and none is repeated.
func areEvacuationsConsistent(marks []*pb.EvacuationMark, through int64) bool {
	seen := make(map[string]bool, len(marks))
	last := platformlog.FirstOffset
	for _, mark := range marks {
		if seen[mark.GetDataCentre()] || !isValidInstance(mark.GetDataCentre()) || mark.GetOffset() < last || mark.GetOffset() > through {
			return false
		}
		seen[mark.GetDataCentre()] = true
		last = mark.GetOffset()
	}
	return len(marks) <= maxEvacuations
}

// evacuationsHash returns a hash of the active evacuations; zero: there are none.
func evacuationsHash(state *pb.ConfigState) uint64 {
	var data []byte
	for _, mark := range state.GetEvacuations() {
		if mark.GetActive() {
			data = binary.BigEndian.AppendUint64(data, uint64(mark.GetOffset()))
			data = append(append(data, mark.GetDataCentre()...), 0)
		}
	}
	if len(data) == 0 {
		return 0
	}
	return xxhash.Sum64(data)
}

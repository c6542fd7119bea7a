package configlog

import (
	"slices"

	"github.com/egretfield/egretfield/internal/config"
	"github.com/egretfield/egretfield/internal/pb"
)

// maxDrainMarks is the number of instances whose last drain or undrain is kept.
// The oldest mark is dropped first; an instance whose mark is dropped is no longer
// drained.
const maxDrainMarks = 1024

// evaluatePublish accepts or refuses a publish. Its base must be the version in force.
func evaluatePublish(state State, publish *pb.Publish, entry *pb.AuditEntry) *pb.ConfigState {
	if entry.GetBaseVersion() != state.Version() {
		refuseConflict(entry, state, state.Version())
		return state.Config
	}
	if err := config.Check(publish.GetConfig()); err != nil {
		refuse(entry, pb.ErrorKind_ERROR_KIND_INVALID_CONFIG, err.Error())
		return state.Config
	}
	preset := presetAfterPublish(state.Config, publish)
	if !config.HasPreset(publish.GetConfig(), preset) {
		refuse(entry, pb.ErrorKind_ERROR_KIND_INVALID_CONFIG,
			"preset "+quoteTruncated(preset)+" isn't in the configuration: name the preset to put in force")
		return state.Config
	}
	next := accept(state, entry)
	next.Config = publish.GetConfig()
	next.Preset = preset
	return putInForce(state, next, entry)
}

// presetAfterPublish returns the preset in force after a publish.
func presetAfterPublish(state *pb.ConfigState, publish *pb.Publish) string {
	switch {
	case publish.GetPreset() != "":
		return publish.GetPreset()
	case state.GetVersion() == 0:
		return publish.GetConfig().GetDefaultPreset()
	default:
		return state.GetPreset()
	}
}

// evaluatePreset accepts or refuses a switch of the preset. Its base must be the
// version in force.
func evaluatePreset(state State, use *pb.UsePreset, entry *pb.AuditEntry) *pb.ConfigState {
	if refuseUnpublished(entry, state) {
		return state.Config
	}
	if entry.GetBaseVersion() != state.Version() {
		refuseConflict(entry, state, state.Version())
		return state.Config
	}
	if !config.HasPreset(state.Config.GetConfig(), use.GetPreset()) {
		refuse(entry, pb.ErrorKind_ERROR_KIND_NOT_FOUND, "no preset "+quoteTruncated(use.GetPreset()))
		return state.Config
	}
	next := accept(state, entry)
	next.Preset = use.GetPreset()
	return putInForce(state, next, entry)
}

// putInForce makes next the version in force and lists its changes in entry.
func putInForce(state State, next *pb.ConfigState, entry *pb.AuditEntry) *pb.ConfigState {
	next.Version = entry.GetOffset()
	next.SinceUnixMs = entry.GetLogTimeUnixMs()
	entry.Changes, entry.ChangesOmitted = diff(state.Config, next)
	return next
}

// evaluateDrain accepts or refuses a drain or undrain. It conflicts only with one of
// the same instance after its base, so that instances can be drained concurrently and
// during a publish.
func evaluateDrain(state State, drain *pb.Drain, entry *pb.AuditEntry) *pb.ConfigState {
	if refuseUnpublished(entry, state) {
		return state.Config
	}
	if !isValidInstance(drain.GetInstance()) {
		refuse(entry, pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "a drain needs the name of an instance")
		return state.Config
	}
	marks := slices.Clone(state.Config.GetDrainMarks())
	sameInstance := func(mark *pb.DrainMark) bool { return mark.GetInstance() == drain.GetInstance() }
	if i := slices.IndexFunc(marks, sameInstance); i >= 0 && marks[i].GetOffset() > entry.GetBaseVersion() {
		refuseConflict(entry, state, marks[i].GetOffset())
		return state.Config
	}
	next := accept(state, entry)
	marks = slices.DeleteFunc(marks, sameInstance)
	marks = append(marks, &pb.DrainMark{
		Instance: drain.GetInstance(),
		Draining: drain.GetDrain(),
		Offset:   entry.GetOffset(),
	})
	next.DrainMarks = marks[max(0, len(marks)-maxDrainMarks):]
	next.Draining = draining(next.DrainMarks)
	entry.Changes, entry.ChangesOmitted = diff(state.Config, next)
	return next
}

// draining returns the names of the drained instances in sorted order.
func draining(marks []*pb.DrainMark) []string {
	var names []string
	for _, mark := range marks {
		if mark.GetDraining() {
			names = append(names, mark.GetInstance())
		}
	}
	slices.Sort(names)
	return names
}

// accept marks entry as accepted and returns a copy of the state to change.
func accept(state State, entry *pb.AuditEntry) *pb.ConfigState {
	entry.Accepted = true
	next := shallowCopy(state.Config)
	next.Applied = entry.GetOffset()
	return next
}

// refuseUnpublished refuses the change when no configuration is in force and
// reports whether it did.
func refuseUnpublished(entry *pb.AuditEntry, state State) bool {
	if state.Version() > 0 {
		return false
	}
	refuse(entry, pb.ErrorKind_ERROR_KIND_NOT_FOUND, "no configuration is published yet")
	return true
}

package ctl

import (
	"bytes"
	"context"
	"fmt"
	"regexp"
	"strconv"

	"github.com/egretfield/egretfield/internal/config"
	"github.com/egretfield/egretfield/internal/configlog"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

func flagsPublish(s *session) {
	flagsChange(s)
	s.flags.StringVar(&s.preset, "preset", "", "preset to put in force with it (default: the present one)")
	s.flags.BoolVar(&s.startOver, "start-over", false, "the log lost every configuration: begin again (needs -log)")
}

// versionLine matches the line in the output of "config show" that has the version.
var versionLine = regexp.MustCompile(`(?m)^# version: (\d+)$`)

func runPublish(ctx context.Context, s *session) error {
	name := s.arg(0)
	data, err := s.env.ReadFile(name)
	if err != nil {
		return errkind.Wrap(pb.ErrorKind_ERROR_KIND_NOT_FOUND, err, "read configuration")
	}
	parsed, err := config.Parse(name, data)
	if err != nil {
		return err
	}
	if s.base == baseInForce {
		s.base = baseFromFile(data)
	}
	publish := &pb.Publish{Config: parsed, Preset: s.preset}
	if s.startOver {
		s.base = 0
	}
	return s.submit(ctx, &pb.ConfigRecord{Change: &pb.ConfigRecord_Publish{Publish: publish}})
}

// baseFromFile returns the version in a file that was made with "config show", or
// baseInForce if it has none.
func baseFromFile(data []byte) int64 {
	match := versionLine.FindSubmatch(bytes.ReplaceAll(data, []byte("\r"), nil))
	if match == nil {
		return baseInForce
	}
	base, err := strconv.ParseInt(string(match[1]), 10, 64)
	if err != nil {
		return baseInForce
	}
	return base
}

func runPresetUse(ctx context.Context, s *session) error {
	use := &pb.UsePreset{Preset: s.arg(0)}
	return s.submit(ctx, &pb.ConfigRecord{Change: &pb.ConfigRecord_UsePreset{UsePreset: use}})
}

func runDrain(ctx context.Context, s *session) error {
	return s.submitDrain(ctx, true)
}

func runUndrain(ctx context.Context, s *session) error {
	return s.submitDrain(ctx, false)
}

func (s *session) submitDrain(ctx context.Context, drain bool) error {
	change := &pb.Drain{Instance: s.arg(0), Drain: drain}
	return s.submit(ctx, &pb.ConfigRecord{Change: &pb.ConfigRecord_Drain{Drain: change}})
}

func runEvacuate(ctx context.Context, s *session) error {
	change := &pb.Evacuate{DataCentre: s.arg(0), Evacuate: !s.end}
	return s.submit(ctx, &pb.ConfigRecord{Change: &pb.ConfigRecord_Evacuate{Evacuate: change}})
}

// submit makes a change, waits until it is in force on every live node and prints the
// result.
func (s *session) submit(ctx context.Context, record *pb.ConfigRecord) error {
	if s.operator == "" {
		return s.usageError("expected -operator (or EGRETFIELD_OPERATOR), the name for the audit trail")
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	fleet, disconnect, err := s.connect(ctx)
	if err != nil {
		return err
	}
	defer disconnect()
	if err := s.completeRecord(ctx, fleet, record); err != nil {
		return err
	}
	entry, err := s.sendChange(ctx, fleet, record)
	if err != nil {
		return s.reportConflict(entry, err)
	}
	return s.awaitFleet(ctx, fleet, entry)
}

// sendChange makes the change. With -start-over it starts the stream again from the
// record.
func (s *session) sendChange(ctx context.Context, fleet control, record *pb.ConfigRecord) (*pb.AuditEntry, error) {
	if !s.startOver {
		return fleet.change(ctx, record)
	}
	viaLog, ok := fleet.(*logControl)
	if !ok {
		return nil, s.usageError("-start-over needs -log")
	}
	return viaLog.publisher.StartOver(ctx, record)
}

// completeRecord fills in the fields of record that every change has.
func (s *session) completeRecord(ctx context.Context, fleet control, record *pb.ConfigRecord) error {
	record.Id = s.id
	if record.Id == "" {
		record.Id = s.env.NewID()
	}
	record.Operator = s.operator
	record.Reason = s.reason
	record.TimeUnixMs = configlog.NowUnixMs()
	record.BaseVersion = s.base
	if s.base == baseInForce {
		state, err := fleet.state(ctx)
		if err != nil {
			return err
		}
		record.BaseVersion = defaultBase(state, record)
	}
	if drain := record.GetDrain(); drain != nil && !s.force {
		return checkInstance(ctx, fleet, drain)
	}
	if evacuate := record.GetEvacuate(); evacuate != nil && !s.force {
		return checkDataCentre(ctx, fleet, evacuate)
	}
	return nil
}

// defaultBase returns the version that a change is based on unless -base is given.
// Drains and evacuations can conflict with others of their kind, whose offsets come after
// the version in force.
func defaultBase(state configlog.State, record *pb.ConfigRecord) int64 {
	if record.GetDrain() != nil || record.GetEvacuate() != nil {
		return state.FoldedThrough
	}
	return state.Version()
}

// checkInstance returns an error if a drain names an instance that the queried node
// doesn't know.
func checkInstance(ctx context.Context, fleet control, drain *pb.Drain) error {
	status, err := fleet.fleetStatus(ctx)
	if err != nil || status == nil || !drain.GetDrain() {
		return err
	}
	for _, node := range status.GetNodes() {
		if node.GetMember().GetInstance() == drain.GetInstance() {
			return nil
		}
	}
	return errkind.New(pb.ErrorKind_ERROR_KIND_NOT_FOUND, "no instance %q in the fleet; -force drains it all the same", drain.GetInstance())
}

// checkDataCentre returns an error if an evacuation names a data centre of which the
// queried node knows no instance.
func checkDataCentre(ctx context.Context, fleet control, evacuate *pb.Evacuate) error {
	status, err := fleet.fleetStatus(ctx)
	if err != nil || status == nil || !evacuate.GetEvacuate() {
		return err
	}
	for _, node := range status.GetNodes() {
		if node.GetMember().GetDataCentre() == evacuate.GetDataCentre() {
			return nil
		}
	}
	return errkind.New(pb.ErrorKind_ERROR_KIND_NOT_FOUND, "no instance in data centre %q in the fleet; -force evacuates it all the same", evacuate.GetDataCentre())
}

// reportConflict prints which version a conflicting change lost to, and returns err.
func (s *session) reportConflict(entry *pb.AuditEntry, err error) error {
	if configlog.IsConflict(err) && s.output != "json" {
		fmt.Fprintf(s.env.Stderr, "version %d won; see it with egretctl audit, then repeat your change on top of it\n", entry.GetWinner())
	}
	return err
}

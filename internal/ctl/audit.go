package ctl

import (
	"context"
	"fmt"
	"strings"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

const defaultAuditEntries = 20

func flagsAudit(s *session) {
	s.flags.IntVar(&s.auditLimit, "n", defaultAuditEntries, "number of newest entries to list, in order of time; 0: all that are kept")
	s.flags.BoolVar(&s.listChanges, "changes", true, "list each field that changed")
}

func runAudit(ctx context.Context, s *session) error {
	state, err := s.readState(ctx)
	if err != nil {
		return err
	}
	trail := state.Config.GetAudit()
	if s.auditLimit > 0 {
		trail = trail[max(0, len(trail)-s.auditLimit):]
	}
	if s.output == "json" {
		return s.printJSON(&pb.ConfigState{
			Version: state.Version(),
			Preset:  state.Config.GetPreset(),
			Audit:   trail,
		})
	}
	for _, entry := range trail {
		s.printEntry(entry)
	}
	return nil
}

func (s *session) printEntry(entry *pb.AuditEntry) {
	line := fmt.Sprintf("%d  %s  %s  %s  %s", entry.GetOffset(), formatTime(entry.GetTimeUnixMs()),
		orNone(entry.GetOperator()), outcomeText(entry), firstLine(entry.GetSummary()))
	if entry.GetReason() != "" {
		line += " (" + entry.GetReason() + ")"
	}
	s.printf("%s", line)
	for _, text := range entry.GetAdjusted() {
		s.printf("  limit above a bound: %s", text)
	}
	if s.listChanges {
		s.printChanges(entry)
	}
}

func outcomeText(entry *pb.AuditEntry) string {
	if entry.GetAccepted() {
		return "accepted"
	}
	return "refused " + errkind.Of(entry.GetRefusal()).Name
}

// firstLine shortens a summary to its first line and the number of lines left out, so
// that each entry takes one line.
func firstLine(text string) string {
	first, rest, more := strings.Cut(text, "\n")
	if !more {
		return first
	}
	return fmt.Sprintf("%s (and %d more)", first, 1+strings.Count(rest, "\n"))
}

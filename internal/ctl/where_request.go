package ctl

import (
	"fmt"
	"slices"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

// remembers reports whether any entry remembers the request that was asked about.
func remembers(reply *pb.WhereReply) bool {
	return slices.ContainsFunc(reply.GetMemories(), func(m *pb.WhereMemory) bool { return len(m.GetRecords()) > 0 })
}

// printMemories prints what entries remember of a request, and which of them can't know it.
func (s *session) printMemories(memories []*pb.WhereMemory) {
	for _, memory := range memories {
		for _, record := range memory.GetRecords() {
			s.printRecord(memory.GetInstance(), record)
		}
	}
	asked, remembered := 0, uint32(0)
	for _, memory := range memories {
		switch {
		case memory.GetUnreachable() != "":
			s.printf("entry of %s: unreachable: %s", memory.GetInstance(), memory.GetUnreachable())
			continue
		case memory.GetRemembered() == 0:
			s.printf("entry of %s: its memory is empty since its start at %s", memory.GetInstance(), formatTime(memory.GetStartedUnixMs()))
		case len(memory.GetRecords()) == 0 && len(memories) == 1:
			s.printf("entry of %s: not among the %d requests that it remembers, the oldest of %s",
				memory.GetInstance(), memory.GetRemembered(), formatTime(memory.GetOldestUnixMs()))
		}
		asked++
		remembered += memory.GetRemembered()
	}
	s.printf("asked %d of %d entries, which remember %d requests that were logged", asked, len(memories), remembered)
}

func (s *session) printRecord(instance string, record *pb.WhereRecord) {
	s.printf("entry of %s at %s: %s %s%s", instance, formatTime(record.GetTimeUnixMs()),
		record.GetMethod(), record.GetHost(), record.GetPath())
	s.printf("  route %s, service %s, class %s, organisation %s, version %d", orNone(record.GetRoute()), orNone(record.GetService()),
		enumLabel(record.GetClass().String(), "CLASS_"), orNone(record.GetOrganisation()), record.GetConfigVersion())
	text := fmt.Sprintf("answered with status %d", record.GetStatus())
	if record.GetKind() != pb.ErrorKind_ERROR_KIND_UNSPECIFIED {
		text = fmt.Sprintf("%s, status %d, Retry-After %s: %s", errkind.Of(record.GetKind()).Name, record.GetStatus(),
			millisecondsText(record.GetRetryAfterMs()), record.GetMessage())
	}
	if record.GetLeftUs() > 0 {
		text += fmt.Sprintf("; %.1f ms were left", float64(record.GetLeftUs())/1000)
	}
	s.printf("  after %s: %s", microsecondsText(record.GetTookUs()), text)
	for i, attempt := range record.GetAttempts() {
		text := "no offer"
		if offer := attempt.GetOffer(); offer != nil {
			columns := offerColumns(offer)
			text = fmt.Sprintf("offer %s, wait %s, service time %s, round trip %s", columns[0], columns[1], columns[2], columns[3])
		}
		s.printf("  attempt %d at %s in %s: %s after %s (%s)", i+1, attempt.GetInstance(), orNone(attempt.GetRegion()),
			attempt.GetOutcome(), microsecondsText(attempt.GetLatencyUs()), text)
	}
}

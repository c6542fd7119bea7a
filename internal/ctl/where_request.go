package ctl

import (
	"fmt"
	"slices"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

// hasRecord reports whether any entry has the request that was asked about.
func hasRecord(reply *pb.WhereReply) bool {
	return slices.ContainsFunc(reply.GetRecentRequests(), func(r *pb.WhereRecentRequests) bool { return len(r.GetRecords()) > 0 })
}

// printRecentRequests prints what entries have of a request, and which of them can't know it.
func (s *session) printRecentRequests(entries []*pb.WhereRecentRequests) {
	for _, recent := range entries {
		for _, record := range recent.GetRecords() {
			s.printRecord(recent.GetInstance(), record)
		}
	}
	asked, count := 0, uint32(0)
	for _, recent := range entries {
		switch {
		case recent.GetUnreachable() != "":
			s.printf("entry of %s: unreachable: %s", recent.GetInstance(), recent.GetUnreachable())
			continue
		case recent.GetCount() == 0:
			s.printf("entry of %s: no recent requests since its start at %s", recent.GetInstance(), formatTime(recent.GetStartedUnixMs()))
		case len(recent.GetRecords()) == 0 && len(entries) == 1:
			s.printf("entry of %s: not among its %d recent requests: %s, %s", recent.GetInstance(), recent.GetCount(),
				oldestText("successes", recent.GetOldestSuccessUnixMs()), oldestText("failures", recent.GetOldestFailureUnixMs()))
		}
		asked++
		count += recent.GetCount()
	}
	s.printf("asked %d of %d entries, which have %d recent requests", asked, len(entries), count)
}

// oldestText says since when an entry has the requests with an outcome.
func oldestText(outcome string, oldestUnixMs int64) string {
	if oldestUnixMs == 0 {
		return "no " + outcome
	}
	return outcome + " since " + formatTime(oldestUnixMs)
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

package ctl

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/egretfield/egretfield/internal/configlog"
	"github.com/egretfield/egretfield/internal/pb"
)

// explainEndpoints explains for each backend server whether it gets work, and why not.
func explainEndpoints(state configlog.State, request *pb.ExplainRequest, facts *pb.ExplainReply) []*pb.Finding {
	var findings []*pb.Finding
	for _, endpoint := range facts.GetEndpoints() {
		findings = append(findings, explainEndpoint(state, endpoint))
	}
	if len(findings) > 0 {
		return findings
	}
	return []*pb.Finding{explainMissing(state, request)}
}

func explainEndpoint(state configlog.State, endpoint *pb.EndpointFacts) *pb.Finding {
	member := endpoint.GetMember()
	finding := &pb.Finding{Subject: "instance " + member.GetInstance(), Answer: "gets work"}
	if !endpoint.GetEligible() {
		finding.Answer = "gets no work: " + orNone(strings.Join(endpoint.GetReasons(), ", "))
	}
	if drained := drainAuditEntry(state, member.GetInstance()); drained != nil {
		finding.Because = append(finding.Because, fmt.Sprintf("drained by %s at %s, offset %d%s",
			orNone(drained.GetOperator()), formatTime(drained.GetTimeUnixMs()), drained.GetOffset(), reasonSuffix(drained)))
	}
	if slices.Contains(configlog.Evacuated(state.Config), member.GetDataCentre()) {
		finding.Because = append(finding.Because, evacuationText(state, member.GetDataCentre()))
	}
	if until := endpoint.GetEjectedUntilUnixMs(); until > 0 {
		finding.Because = append(finding.Because, "ejected as an outlier until "+formatTime(until))
	}
	finding.Because = append(finding.Because, fmt.Sprintf("status %s, service %s, data centre %s",
		enumLabel(member.GetStatus().String(), "MEMBER_STATUS_"), orNone(member.GetService()), orNone(member.GetDataCentre())))
	finding.Because = append(finding.Because, fmt.Sprintf("picked %d times: %d answered, %d failed, %d refused, %d unreachable",
		endpoint.GetPicks(), endpoint.GetSuccesses(), endpoint.GetFailures(), endpoint.GetRefusals(), endpoint.GetUnreachable()))
	if report := endpoint.GetReport(); report != nil {
		finding.Because = append(finding.Because, fmt.Sprintf("reported %d in flight and %d queued on %d slots, %.1f s ago",
			report.GetInFlight(), report.GetQueued(), report.GetSlots(), float64(endpoint.GetReportAgeMs())/1000))
		if report.RateLimitPerS != nil {
			finding.Because = append(finding.Because, fmt.Sprintf("its backend server takes at most %g requests a second", report.GetRateLimitPerS()))
		}
	}
	return finding
}

// explainMissing explains why the queried node knows no backend server for a request.
func explainMissing(state configlog.State, request *pb.ExplainRequest) *pb.Finding {
	if request.GetInstance() != "" {
		finding := &pb.Finding{
			Subject: "instance " + request.GetInstance(),
			Answer:  "unknown to the node asked: it never announced a backend server, or left",
		}
		if slices.Contains(state.Config.GetDraining(), request.GetInstance()) {
			finding.Because = append(finding.Because, "operators are draining it")
		}
		return finding
	}
	finding := &pb.Finding{Subject: "service " + request.GetService()}
	hasName := func(service *pb.Service) bool { return service.GetName() == request.GetService() }
	if !slices.ContainsFunc(state.Config.GetConfig().GetServices(), hasName) {
		finding.Answer = "isn't in the configuration in force"
		return finding
	}
	finding.Answer = "has no backend server that the node asked knows"
	return finding
}

// drainAuditEntry returns the audit entry of the drain in force for an instance, or nil
// if there is none. It has only the offset if the audit trail no longer has the entry.
func drainAuditEntry(state configlog.State, instance string) *pb.AuditEntry {
	for _, mark := range state.Config.GetDrainMarks() {
		if mark.GetInstance() != instance || !mark.GetDraining() {
			continue
		}
		return auditEntryAt(state, mark.GetOffset())
	}
	return nil
}

// evacuationText describes the evacuation in force of a data centre.
func evacuationText(state configlog.State, dataCentre string) string {
	entry := &pb.AuditEntry{}
	for _, mark := range state.Config.GetEvacuations() {
		if mark.GetDataCentre() == dataCentre {
			entry = auditEntryAt(state, mark.GetOffset())
		}
	}
	return fmt.Sprintf("data centre %s evacuated by %s at %s, offset %d%s", dataCentre,
		orNone(entry.GetOperator()), formatTime(cmp.Or(entry.GetTimeUnixMs(), entry.GetLogTimeUnixMs())), entry.GetOffset(), reasonSuffix(entry))
}

// auditEntryAt returns the audit entry at offset, or one with only the offset if the
// audit trail no longer has it.
func auditEntryAt(state configlog.State, offset int64) *pb.AuditEntry {
	for _, entry := range state.Config.GetAudit() {
		if entry.GetOffset() == offset {
			return entry
		}
	}
	return &pb.AuditEntry{Offset: offset}
}

func reasonSuffix(entry *pb.AuditEntry) string {
	if entry.GetReason() == "" {
		return ""
	}
	return " (" + entry.GetReason() + ")"
}

// explainQuarantines explains which kinds of request are refused and why.
func explainQuarantines(fingerprint string, quarantines []*pb.QuarantineFacts) []*pb.Finding {
	if len(quarantines) == 0 {
		subject := "requests"
		if fingerprint != "" {
			subject = "fingerprint " + fingerprint
		}
		return []*pb.Finding{{Subject: subject, Answer: "not quarantined on the node asked"}}
	}
	var findings []*pb.Finding
	for _, facts := range quarantines {
		findings = append(findings, explainQuarantine(facts))
	}
	return findings
}

// explainQuarantine explains one quarantined fingerprint. The facts may lack the path and
// the backend servers that crashed, because gossip doesn't carry them.
func explainQuarantine(facts *pb.QuarantineFacts) *pb.Finding {
	kind := "this kind of request"
	if facts.GetService() != "" {
		kind = fmt.Sprintf("%s %s of %s", facts.GetMethod(), facts.GetPath(), facts.GetService())
	}
	finding := &pb.Finding{
		Subject: "fingerprint " + facts.GetFingerprint(),
		Answer:  fmt.Sprintf("%s is refused until %s", kind, formatTime(facts.GetUntilUnixMs())),
		Because: []string{"two backend servers crashed with it in flight"},
	}
	if len(facts.GetCrashed()) > 0 {
		finding.Because = []string{fmt.Sprintf("crashed %s", strings.Join(facts.GetCrashed(), ", "))}
	}
	if facts.GetSinceUnixMs() > 0 {
		finding.Because = append(finding.Because, fmt.Sprintf("quarantined since %s, refused %d times",
			formatTime(facts.GetSinceUnixMs()), facts.GetRefused()))
	}
	return finding
}

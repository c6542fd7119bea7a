package ctl

import (
	"context"
	"fmt"
	"strings"

	"github.com/egretfield/egretfield/internal/configlog"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

// runExplain explains which configuration is in force where and since when, why an
// instance or service gets no work, what became of the request with a key, why a kind of
// request is quarantined, or the rules and API keys of an organisation.
func runExplain(ctx context.Context, s *session) error {
	request, err := s.explainRequest()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	fleet, disconnect, err := s.connect(ctx)
	if err != nil {
		return err
	}
	defer disconnect()
	state, err := fleet.state(ctx)
	if err != nil {
		return err
	}
	findings, err := s.findings(ctx, fleet, state, request)
	if err != nil {
		return err
	}
	return s.printFindings(findings)
}

// explainRequest converts the arguments to a request to a node.
func (s *session) explainRequest() (*pb.ExplainRequest, error) {
	if subject, name, ok := strings.Cut(s.arg(0), "/"); ok && len(s.args) == 1 {
		s.args = []string{subject, name}
	}
	subject, name := s.arg(0), s.arg(1)
	needsName := subject == "instance" || subject == "service" || subject == "key" || subject == "organisation"
	if needsName && name == "" {
		return nil, s.usageError("expected the name after %q", subject)
	}
	switch subject {
	case "config":
		return &pb.ExplainRequest{}, nil
	case "instance":
		return &pb.ExplainRequest{Instance: name}, nil
	case "service":
		return &pb.ExplainRequest{Service: name}, nil
	case "key":
		return &pb.ExplainRequest{Key: name}, nil
	case "quarantine":
		return &pb.ExplainRequest{Fingerprint: name}, nil
	case "organisation":
		return &pb.ExplainRequest{Organisation: name}, nil
	default:
		return nil, s.usageError("unknown subject %q, expected config, instance, service, key, quarantine or organisation", subject)
	}
}

func (s *session) findings(ctx context.Context, fleet control, state configlog.State, request *pb.ExplainRequest) (*pb.Findings, error) {
	if s.arg(0) == "config" {
		status, err := fleet.fleetStatus(ctx)
		if err != nil {
			return nil, err
		}
		return &pb.Findings{Findings: explainConfig(state, status)}, nil
	}
	facts, err := fleet.explain(ctx, request)
	if err != nil {
		return nil, err
	}
	var findings []*pb.Finding
	switch s.arg(0) {
	case "instance", "service":
		findings = explainEndpoints(state, request, facts)
	case "key":
		findings = []*pb.Finding{explainKey(request.GetKey(), facts.GetKey())}
		for _, other := range facts.GetKey().GetOthers() {
			findings = append(findings, explainKey(request.GetKey(), other))
		}
	case "organisation":
		findings = []*pb.Finding{explainOrganisation(state, request.GetOrganisation(), facts.GetCapOwners())}
	case "quarantine":
		findings = explainQuarantines(request.GetFingerprint(), facts.GetQuarantines())
	}
	return &pb.Findings{Findings: findings}, nil
}

func (s *session) printFindings(findings *pb.Findings) error {
	if s.output == "json" {
		return s.printJSON(findings)
	}
	for _, finding := range findings.GetFindings() {
		s.printf("%s: %s", finding.GetSubject(), finding.GetAnswer())
		for _, because := range finding.GetBecause() {
			s.printf("  - %s", because)
		}
	}
	return nil
}

// explainConfig explains what is in force, who put it in force and which nodes lack it.
func explainConfig(state configlog.State, status *pb.FleetStatus) []*pb.Finding {
	finding := &pb.Finding{Subject: "configuration", Answer: inForce(state)}
	for _, entry := range state.Config.GetAudit() {
		if entry.GetOffset() == state.Version() {
			finding.Because = append(finding.Because, fmt.Sprintf("offset %d: %s", entry.GetOffset(), summaryWithReason(entry)))
		}
		if entry.GetWinner() == state.Version() && !entry.GetAccepted() {
			finding.Because = append(finding.Because, fmt.Sprintf("offset %d by %s was refused: %s",
				entry.GetOffset(), orNone(entry.GetOperator()), firstLine(entry.GetSummary())))
		}
	}
	for _, dataCentre := range configlog.Evacuated(state.Config) {
		finding.Because = append(finding.Because, evacuationText(state, dataCentre))
	}
	findings := []*pb.Finding{finding}
	for _, node := range status.GetNodes() {
		if lagging := explainNode(state, node); lagging != nil {
			findings = append(findings, lagging)
		}
	}
	return findings
}

func summaryWithReason(entry *pb.AuditEntry) string {
	text := entry.GetSummary()
	if entry.GetReason() != "" {
		text += " (" + entry.GetReason() + ")"
	}
	return text
}

// explainNode explains why a node doesn't use the configuration in state or isn't ready;
// nil: it does and is.
func explainNode(state configlog.State, node *pb.FleetNode) *pb.Finding {
	digest := node.GetDigest()
	finding := &pb.Finding{Subject: "node " + node.GetMember().GetInstance()}
	switch {
	case digest == nil:
		finding.Answer = "doesn't answer the node asked: what is in force there is unknown"
	case digest.GetVersion() < state.Version():
		finding.Answer = fmt.Sprintf("has version %d", digest.GetVersion())
	case digest.GetFoldedThrough() == state.FoldedThrough && digest.GetChain() != state.Chain:
		finding.Answer = "folded other records than the node asked: restart it"
	case !node.GetReady():
		finding.Answer = "isn't ready"
	default:
		return nil
	}
	finding.Because = append(finding.Because, fmt.Sprintf("status %s, heard of %.1f s ago, offset %d of %d",
		enumLabel(node.GetMember().GetStatus().String(), "MEMBER_STATUS_"),
		float64(node.GetAgeMs())/1000, digest.GetFoldedThrough(), state.FoldedThrough))
	return finding
}

// explainKey explains what became of the request with a key.
func explainKey(key string, facts *pb.KeyFacts) *pb.Finding {
	finding := &pb.Finding{Subject: "key " + key}
	if facts == nil {
		finding.Answer = "the node asked knows nothing of it"
		return finding
	}
	if facts.Organisation != nil {
		finding.Subject += " of organisation " + orNone(facts.GetOrganisation())
	}
	switch facts.GetState() {
	case pb.RunState_RUN_STATE_YES:
		finding.Answer = "ran once; its answer is kept for repeats"
	case pb.RunState_RUN_STATE_NO:
		finding.Answer = "did not run; it may be sent again"
	default:
		finding.Answer = "outcome unknown; it won't be run again under this key"
	}
	if facts.GetKind() != pb.ErrorKind_ERROR_KIND_UNSPECIFIED {
		finding.Because = append(finding.Because, errkind.Of(facts.GetKind()).Name+": "+facts.GetMessage())
	}
	finding.Because = append(finding.Because, fmt.Sprintf("keeper %s, service %s, first seen %s",
		orNone(facts.GetKeeper()), orNone(facts.GetService()), formatTime(facts.GetFirstSeenUnixMs())))
	return finding
}

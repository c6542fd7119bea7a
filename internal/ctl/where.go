package ctl

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

// MethodWhere is the control call that asks what an entry would decide about a request.
const MethodWhere = StatusRPCName + ".Where"

// Where replies with what an entry would decide about a request (control call
// Status.Where).
func (r *StatusRPC) Where(args *pb.WhereRequest, reply *pb.WhereReply) error {
	answer, err := r.status.Where(args)
	if err == nil {
		proto.Merge(reply, answer)
	}
	return err
}

func (n *nodeControl) where(ctx context.Context, question *pb.WhereRequest) (*pb.WhereReply, error) {
	reply := &pb.WhereReply{}
	err := n.client.Call(ctx, n.address, MethodWhere, question, reply)
	return reply, err
}

func (l *logControl) where(ctx context.Context, question *pb.WhereRequest) (*pb.WhereReply, error) {
	if l.viaNode == nil {
		return nil, errNeedsNode
	}
	return l.viaNode.where(ctx, question)
}

func flagsWhere(s *session) {
	s.flags.Lookup("node").Usage = "control address of any node; or the instance whose entry is asked, through the node of EGRETFIELD_NODE"
	s.flags.StringVar(&s.question.Host, "host", "", "host of the request")
	s.flags.StringVar(&s.question.Path, "path", "", "path of the request, with its query")
	s.flags.StringVar(&s.question.Method, "method", "GET", "method of the request")
	s.flags.StringVar(&s.question.RequestId, "request", "", "id of a request: show what was decided about it, instead of -host to -organisation")
	s.flags.StringVar(&s.question.Organisation, "organisation", "", "organisation whose API key the request carries (default: it carries none)")
}

// runWhere asks an entry what it would decide about a request.
func runWhere(ctx context.Context, s *session) error {
	if s.question.GetRequestId() == "" && (s.question.GetHost() == "" || s.question.GetPath() == "") {
		return s.usageError("expected -host and -path, or -request")
	}
	if s.question.GetRequestId() != "" {
		var unused []string
		s.flags.Visit(func(f *flag.Flag) {
			if slices.Contains([]string{"host", "path", "method", "organisation"}, f.Name) {
				unused = append(unused, "-"+f.Name)
			}
		})
		if len(unused) > 0 {
			return s.usageError("expected -host and -path, or -request: -request can't be used with %s", strings.Join(unused, ", "))
		}
	}
	if err := s.separateInstance(); err != nil {
		return err
	}
	s.question.Everywhere = s.question.GetRequestId() != "" && s.question.GetInstance() == ""
	if s.node != "" {
		s.log = "" // only a node decides about requests
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	fleet, disconnect, err := s.connect(ctx)
	if err != nil {
		return err
	}
	defer disconnect()
	reply, err := fleet.where(ctx, &s.question)
	if err != nil {
		return err
	}
	if err := s.printWhere(reply); err != nil {
		return err
	}
	if reply.GetUnreachable() != "" {
		return errkind.New(pb.ErrorKind_ERROR_KIND_TIMEOUT, "the entry of %s couldn't be asked", reply.GetInstance())
	}
	if s.question.GetRequestId() != "" && !hasRecord(reply) {
		return errkind.New(pb.ErrorKind_ERROR_KIND_NOT_FOUND, "no entry that was asked has the request among its recent ones")
	}
	return nil
}

// separateInstance takes the name of an instance out of -node, which is a control address
// otherwise. Addresses have a port.
func (s *session) separateInstance() error {
	address := s.env.Getenv("EGRETFIELD_NODE")
	if s.node == address || strings.Contains(s.node, ":") {
		return nil
	}
	if address == "" {
		return s.usageError("-node %q is an instance: expected the control address of any node in EGRETFIELD_NODE", s.node)
	}
	s.question.Instance, s.node = s.node, address
	return nil
}

func (s *session) printWhere(reply *pb.WhereReply) error {
	if s.output == "json" {
		return s.printJSON(reply)
	}
	if reply.GetUnreachable() != "" {
		s.printf("entry of %s: unreachable: %s", reply.GetInstance(), reply.GetUnreachable())
		return nil
	}
	if s.question.GetRequestId() != "" {
		s.printRecentRequests(reply.GetRecentRequests())
		return nil
	}
	s.printDecision(reply.GetInstance(), reply.GetDecision())
	return nil
}

// printDecision prints what an entry would decide, most important first.
func (s *session) printDecision(instance string, decision *pb.WhereDecision) {
	s.printf("entry of %s: %s, data centre %s, version %d", instance,
		orNone(decision.GetRegion()), orNone(decision.GetDataCentre()), decision.GetConfigVersion())
	s.printf("result: %s", resultText(decision))
	if decision.GetService() == "" {
		return
	}
	s.printf("route: %s, path prefix %s", orNone(decision.GetRoute()), orNone(decision.GetPathPrefix()))
	s.printf("service: %s%s", decision.GetService(), splitText(decision.GetSplit()))
	idempotent := ""
	if decision.GetIdempotent() {
		idempotent = ", idempotent"
	}
	s.printf("class: %s%s", enumLabel(decision.GetClass().String(), "CLASS_"), idempotent)
	s.printf("allowed regions: route %s; organisation %s", orAll(decision.GetRouteRegions()), orAll(decision.GetOrganisationRegions()))
	s.printf("target: %s, timeout: %s", millisecondsText(decision.GetTargetMs()), millisecondsText(decision.GetTimeoutMs()))
	s.printf("API key: %s", requiredText(decision.GetKeyRequired()))
	if decision.GetIdempotencyKeyRequired() {
		s.printf("idempotency key: required")
	}
	if s.question.GetOrganisation() != "" {
		s.printf("cap of %s: %s", s.question.GetOrganisation(), capText(decision.GetCap()))
	}
	var rows [][]string
	for _, candidate := range decision.GetCandidates() {
		rows = append(rows, append([]string{
			candidate.GetInstance(), orNone(candidate.GetRegion()), orNone(candidate.GetDataCentre()),
		}, append(offerColumns(candidate.GetOffer()), strings.Join(candidate.GetReasons(), ", "))...))
	}
	if len(rows) == 0 {
		s.printf("candidates: none known")
		return
	}
	s.printTable("CANDIDATE | REGION | DATA CENTRE | OFFER | WAIT | SERVICE TIME | ROUND TRIP | WHY", rows)
}

func resultText(decision *pb.WhereDecision) string {
	refusal := decision.GetRefusal()
	if refusal == nil {
		return "sent to " + decision.GetChosen()
	}
	retryAfter := "no Retry-After"
	if refusal.GetRetryAfterMs() > 0 {
		retryAfter = "Retry-After " + millisecondsText(refusal.GetRetryAfterMs())
	}
	return fmt.Sprintf("refused: %s, status %d, %s: %s", errkind.Of(refusal.GetKind()).Name, refusal.GetStatus(), retryAfter, refusal.GetMessage())
}

func splitText(split []*pb.WeightedService) string {
	var parts []string
	for _, part := range split {
		parts = append(parts, fmt.Sprintf("%s %d", part.GetService(), part.GetWeight()))
	}
	if len(parts) == 0 {
		return ""
	}
	return fmt.Sprintf(" (next of the split %s)", strings.Join(parts, ", "))
}

func orAll(regions []string) string {
	if len(regions) == 0 {
		return "all"
	}
	return strings.Join(regions, ", ")
}

func requiredText(required bool) string {
	if required {
		return "required"
	}
	return "not required"
}

func millisecondsText(ms uint32) string {
	if ms == 0 {
		return "none"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

// capText describes what is left of a cap as far as the node knows.
func capText(c *pb.WhereCap) string {
	if c == nil {
		return "none"
	}
	text := fmt.Sprintf("%g/s, burst %g; this node has %d tokens and %.1f requests/s", c.GetRatePerS(), c.GetBurst(), c.GetHeld(), c.GetDemandPerS())
	if c.GetOwnsPart() {
		text += fmt.Sprintf(", and owns a part with %.1f tokens left", c.GetPartTokens())
	}
	if c.GetRefusing() {
		text += fmt.Sprintf("; used up for %s", millisecondsText(c.GetRetryAfterMs()))
	}
	return text
}

// offerColumns returns the columns of an offer: what it says, wait, service time, round trip.
func offerColumns(offer *pb.WhereOffer) []string {
	if offer == nil {
		return []string{"-", "-", "-", "-"}
	}
	answer := "later"
	switch {
	case offer.GetRefused() && offer.GetKind() != pb.ErrorKind_ERROR_KIND_UNSPECIFIED:
		answer = "refuses: " + errkind.Of(offer.GetKind()).Name
	case offer.GetRefused():
		answer = "refuses"
	case offer.GetAtOnce():
		answer = "at once"
	}
	serviceTime := microsecondsText(offer.GetServiceUs())
	if offer.GetServiceUs() == 0 {
		serviceTime = "unknown"
	}
	return []string{answer, microsecondsText(offer.GetWaitUs()), serviceTime, microsecondsText(offer.GetRoundTripUs())}
}

func microsecondsText[T uint32 | uint64](us T) string {
	return fmt.Sprintf("%.1f ms", float64(us)/1000)
}

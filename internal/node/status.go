package node

import (
	"context"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/once"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/version"
)

const (
	// fleetCalls is the number of nodes asked at the same time.
	fleetCalls = 32
	// fleetTimeout bounds the call to one node.
	fleetTimeout = time.Second
)

// ready says whether this node takes requests, and each reason why not.
func (n *Node) ready() *pb.ReadyState {
	state := &pb.ReadyState{}
	refuse := func(part string, kind pb.ErrorKind, message string) {
		state.Reasons = append(state.Reasons, &pb.ReadyReason{Part: part, Kind: kind, Message: message})
	}
	if err := n.follower.Ready(); err != nil {
		refuse("config", errkind.KindOf(err), err.Error())
	}
	if health := n.members.Health(); !health.Ready {
		refuse("members", pb.ErrorKind_ERROR_KIND_NOT_READY, health.Reason)
	}
	if n.keeper != nil && !n.keeper.Status().Known {
		refuse("keeper", pb.ErrorKind_ERROR_KIND_NOT_READY, "the stream of key leases has not been read yet")
	}
	if n.drain.wanted() {
		refuse("drain", pb.ErrorKind_ERROR_KIND_DRAINING, "the instance is draining")
	}
	state.Ready = len(state.Reasons) == 0
	return state
}

// takesCallers says whether callers should be sent to this node: it has a
// configuration, has met the fleet once and isn't stopping. A backend server that
// leaves and a node that lost touch don't matter; the entry still has others.
func (n *Node) takesCallers() bool {
	return n.follower.Current() != nil && n.members.Joined() && !n.stopping.Load()
}

// status is the node's side of egretctl status and explain.
type status struct {
	node *Node
}

// Node implements ctl.NodeStatus.
func (s *status) Node() *pb.NodeStatus {
	n := s.node
	return &pb.NodeStatus{
		Member:         n.members.Self(),
		ProgramVersion: version.Version,
		StartedUnixMs:  n.started.UnixMilli(),
		Ready:          n.ready(),
		Config:         n.follower.Status(),
		Services:       s.services(),
		Measuring:      s.measuring(),
	}
}

// services counts the members of each service.
func (s *status) services() []*pb.ServiceSummary {
	byName := map[string]*pb.ServiceSummary{}
	var list []*pb.ServiceSummary
	for _, m := range s.node.members.View().Members {
		if m.GetService() == "" {
			continue
		}
		summary := byName[m.GetService()]
		if summary == nil {
			summary = &pb.ServiceSummary{Service: m.GetService()}
			byName[m.GetService()] = summary
			list = append(list, summary)
		}
		countStatus(summary, m.GetStatus())
	}
	for _, summary := range list {
		summary.Ejected = s.ejected(summary.GetService())
	}
	return list
}

// countStatus adds a member to the summary of its service.
func countStatus(summary *pb.ServiceSummary, status pb.MemberStatus) {
	switch status {
	case pb.MemberStatus_MEMBER_STATUS_ALIVE:
		summary.Alive++
	case pb.MemberStatus_MEMBER_STATUS_SUSPECT:
		summary.Suspect++
	case pb.MemberStatus_MEMBER_STATUS_DRAINING:
		summary.Draining++
	case pb.MemberStatus_MEMBER_STATUS_DEAD:
		summary.Dead++
	}
}

// ejected counts the endpoints of a service that this entry passes over.
func (s *status) ejected(service string) uint32 {
	var ejected uint32
	for _, facts := range s.facts(service) {
		if !facts.Eligible {
			ejected++
		}
	}
	return ejected
}

// facts are what this entry's balancer knows of a service.
func (s *status) facts(service string) []balance.Facts {
	explainer, ok := s.node.services.balancer(service).(balance.Explainer)
	if !ok {
		return nil
	}
	return explainer.Facts()
}

// measuring is the traffic of control calls against its budget.
func (s *status) measuring() *pb.MeasuringUse {
	totals := s.node.limiter.Totals()
	bytes, messages := s.node.limiter.Rates()
	return &pb.MeasuringUse{
		Messages:           totals.Messages,
		Bytes:              totals.Bytes,
		Dropped:            totals.Dropped,
		BudgetBytesPerS:    uint32(bytes),
		BudgetMessagesPerS: uint32(messages),
	}
}

// Fleet implements ctl.NodeStatus: it asks every live node for its own word.
func (s *status) Fleet() *pb.FleetStatus {
	fleet := &pb.FleetStatus{}
	var group errgroup.Group
	group.SetLimit(fleetCalls)
	for _, m := range s.node.members.View().Members {
		one := &pb.FleetNode{Member: m}
		fleet.Nodes = append(fleet.Nodes, one)
		if isLive(m) {
			group.Go(func() error { s.ask(one); return nil })
		}
	}
	_ = group.Wait()
	return fleet
}

// ask fills in what a node says of itself; a silent node stays as it is.
func (s *status) ask(one *pb.FleetNode) {
	reply := s.Node
	if one.GetMember().GetInstance() != s.node.settings.GetInstance() {
		reply = func() *pb.NodeStatus { return s.call(one.GetMember().GetControlAddress()) }
	}
	said := reply()
	one.Digest = said.GetConfig().GetDigest()
	one.Ready = said.GetReady().GetReady()
}

// call asks a node about itself; nil when it doesn't answer.
func (s *status) call(address string) *pb.NodeStatus {
	ctx, cancel := context.WithTimeout(context.Background(), fleetTimeout)
	defer cancel()
	reply := &pb.NodeStatus{}
	if err := s.node.client.Call(ctx, address, "Status.Node", &pb.NodeStatusRequest{}, reply); err != nil {
		return nil
	}
	return reply
}

// Explain implements ctl.NodeStatus.
func (s *status) Explain(request *pb.ExplainRequest) *pb.ExplainReply {
	reply := &pb.ExplainReply{Node: s.Node()}
	if request.GetKey() != "" {
		reply.Key = s.key(request)
		return reply
	}
	for _, m := range s.node.members.View().Members {
		if wantsMember(request, m) {
			reply.Endpoints = append(reply.Endpoints, s.endpoint(m))
		}
	}
	if request.GetInstance() == "" {
		reply.Quarantines = s.quarantines(request.GetFingerprint())
	}
	return reply
}

// key explains a key: in the service named, or in the first configured one whose
// keeper has seen it.
func (s *status) key(request *pb.ExplainRequest) *pb.KeyFacts {
	if s.node.keeper == nil {
		return nil
	}
	if request.GetService() != "" {
		return s.node.keeper.Explain(once.Key{Service: request.GetService(), Value: request.GetKey()})
	}
	var facts *pb.KeyFacts
	for _, service := range s.node.follower.Current().GetConfig().GetServices() {
		facts = s.node.keeper.Explain(once.Key{Service: service.GetName(), Value: request.GetKey()})
		if facts.GetState() != pb.RunState_RUN_STATE_NO {
			return facts
		}
	}
	return facts
}

// quarantines lists the refused fingerprints, or the one asked for.
func (s *status) quarantines(only string) []*pb.QuarantineFacts {
	var list []*pb.QuarantineFacts
	for _, fingerprint := range s.node.suspects.Quarantined() {
		text := strconv.FormatUint(fingerprint, 16)
		until, refused := s.node.suspects.Until(fingerprint)
		if refused && (only == "" || only == text) {
			list = append(list, &pb.QuarantineFacts{Fingerprint: text, UntilUnixMs: until.UnixMilli()})
		}
	}
	return list
}

// wantsMember says whether a request for an explanation is about a member.
func wantsMember(request *pb.ExplainRequest, m *pb.Member) bool {
	if request.GetInstance() != "" {
		return m.GetInstance() == request.GetInstance()
	}
	return m.GetService() != "" && (request.GetService() == "" || request.GetService() == m.GetService())
}

// endpoint joins what the membership and the balancer know of a member.
func (s *status) endpoint(m *pb.Member) *pb.EndpointFacts {
	facts := &pb.EndpointFacts{Member: proto.CloneOf(m)}
	switch m.GetStatus() {
	case pb.MemberStatus_MEMBER_STATUS_ALIVE:
	case pb.MemberStatus_MEMBER_STATUS_SUSPECT:
		facts.Reasons = append(facts.Reasons, "suspect")
	case pb.MemberStatus_MEMBER_STATUS_DRAINING:
		facts.Reasons = append(facts.Reasons, "draining")
	default:
		facts.Reasons = append(facts.Reasons, "unreachable")
	}
	if isDraining(s.node.follower.Current(), m.GetInstance()) {
		facts.Reasons = append(facts.Reasons, "drained by an operator")
	}
	for _, known := range s.facts(m.GetService()) {
		if known.Endpoint.Instance == m.GetInstance() {
			addFacts(facts, known)
		}
	}
	return facts
}

// addFacts adds a balancer's facts to an explanation.
func addFacts(facts *pb.EndpointFacts, known balance.Facts) {
	facts.Eligible = known.Eligible && len(facts.GetReasons()) == 0
	facts.Reasons = append(facts.Reasons, known.Reasons...)
	if !known.EjectedUntil.IsZero() {
		facts.EjectedUntilUnixMs = known.EjectedUntil.UnixMilli()
	}
	facts.Picks = known.Picks
	facts.Successes = known.Successes
	facts.Failures = known.Failures
	facts.Refusals = known.Refusals
	facts.Unreachable = known.Unreachable
	if known.LoadAge >= 0 {
		facts.Report = &pb.LoadReport{InFlight: uint32(known.Load), LatencyUs: uint32(known.Latency.Microseconds())}
		facts.ReportAgeMs = uint32(known.LoadAge.Milliseconds())
	}
}

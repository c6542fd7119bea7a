package node

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/configlog"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/once"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/version"
)

const (
	// maxFleetCalls is the number of nodes queried concurrently.
	maxFleetCalls = 32
	// fleetCallTimeout limits the call to one node.
	fleetCallTimeout = time.Second
)

// ready returns whether this node is ready for requests, and each reason why not.
func (n *Node) ready() *pb.ReadyState {
	state := &pb.ReadyState{}
	addReason := func(part string, kind pb.ErrorKind, message string) {
		state.Reasons = append(state.Reasons, &pb.ReadyReason{Part: part, Kind: kind, Message: message})
	}
	if err := n.follower.Ready(); err != nil {
		addReason("config", errkind.KindOf(err), err.Error())
	}
	if health := n.members.Health(); !health.Ready {
		addReason("members", pb.ErrorKind_ERROR_KIND_NOT_READY, health.Reason)
	}
	if n.keeper != nil && !n.keeper.Status().Known {
		addReason("keeper", pb.ErrorKind_ERROR_KIND_NOT_READY, "the stream of key leases has not been read yet")
	}
	if n.drain.wanted() {
		addReason("drain", pb.ErrorKind_ERROR_KIND_DRAINING, "the instance is draining")
	}
	state.Ready = len(state.Reasons) == 0
	return state
}

// acceptsCallers reports whether callers should be sent to this node: it has a
// configuration, has joined the fleet and isn't stopping. It stays true when the
// node's own backend server leaves or the node loses contact with the fleet, because
// the entry can still use other backend servers.
func (n *Node) acceptsCallers() bool {
	return n.follower.Current() != nil && n.members.Joined() && !n.stopping.Load()
}

// status implements ctl.NodeStatus: it answers egretctl status and explain.
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
		Services:       s.serviceSummaries(),
		Measuring:      s.measuringUse(),
		Quotas:         n.quota.Use(),
	}
}

// serviceSummaries counts the members of each service by status.
func (s *status) serviceSummaries() []*pb.ServiceSummary {
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
		summary.Ejected = s.ejectedCount(summary.GetService())
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

// ejectedCount counts the endpoints of a service that this entry doesn't choose.
func (s *status) ejectedCount(service string) uint32 {
	var ejectedCount uint32
	for _, facts := range s.facts(service) {
		if !facts.Eligible {
			ejectedCount++
		}
	}
	return ejectedCount
}

// facts returns what this entry's balancer knows about a service's endpoints.
func (s *status) facts(service string) []balance.Facts {
	explainer, ok := s.node.balancers.balancer(service).(balance.Explainer)
	if !ok {
		return nil
	}
	return explainer.Facts()
}

// measuringUse returns the traffic of load measurement and gossip, and its budget.
func (s *status) measuringUse() *pb.MeasuringUse {
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

// Fleet implements ctl.NodeStatus: it queries every live node for its own status.
func (s *status) Fleet() *pb.FleetStatus {
	fleet := &pb.FleetStatus{}
	var group errgroup.Group
	group.SetLimit(maxFleetCalls)
	for _, m := range s.node.members.View().Members {
		fleetNode := &pb.FleetNode{Member: m}
		fleet.Nodes = append(fleet.Nodes, fleetNode)
		if isLive(m) {
			group.Go(func() error { s.queryNode(fleetNode); return nil })
		}
	}
	_ = group.Wait()
	return fleet
}

// queryNode fills in a node's own status. A node that doesn't answer is left without a
// digest and not ready.
func (s *status) queryNode(fleetNode *pb.FleetNode) {
	query := s.Node
	if fleetNode.GetMember().GetInstance() != s.node.settings.GetInstance() {
		query = func() *pb.NodeStatus { return s.fetchStatus(fleetNode.GetMember().GetControlAddress()) }
	}
	reported := query()
	fleetNode.Digest = reported.GetConfig().GetDigest()
	fleetNode.Ready = reported.GetReady().GetReady()
}

// fetchStatus returns a node's own status, or nil when it doesn't answer.
func (s *status) fetchStatus(address string) *pb.NodeStatus {
	ctx, cancel := context.WithTimeout(context.Background(), fleetCallTimeout)
	defer cancel()
	reply := &pb.NodeStatus{}
	if err := s.node.controlClient.Call(ctx, address, "Status.Node", &pb.NodeStatusRequest{}, reply); err != nil {
		return nil
	}
	return reply
}

// Explain implements ctl.NodeStatus.
func (s *status) Explain(request *pb.ExplainRequest) *pb.ExplainReply {
	reply := &pb.ExplainReply{Node: s.Node()}
	if request.GetKey() != "" {
		reply.Key = s.keyFacts(request)
		return reply
	}
	if request.GetOrganisation() != "" {
		reply.CapOwners = s.capOwners(request.GetOrganisation())
		return reply
	}
	for _, m := range s.node.members.View().Members {
		if isAbout(request, m) {
			reply.Endpoints = append(reply.Endpoints, s.endpointFacts(m))
		}
	}
	if request.GetInstance() == "" {
		reply.Quarantines = s.quarantineFacts(request.GetFingerprint())
	}
	return reply
}

// capOwners lists the owners of the parts of an organisation's usage cap by region.
func (s *status) capOwners(organisation string) []*pb.CapOwner {
	var owners []*pb.CapOwner
	for region, address := range s.node.quota.Owners(organisation) {
		owner := &pb.CapOwner{Region: region}
		for _, m := range s.node.members.View().Members {
			if m.GetRegion() == region && m.GetControlAddress() == address && isLive(m) {
				owner.Instance = m.GetInstance()
			}
		}
		owners = append(owners, owner)
	}
	slices.SortFunc(owners, func(a, b *pb.CapOwner) int { return strings.Compare(a.GetRegion(), b.GetRegion()) })
	return owners
}

// keyFacts explains a key of the service named in the request, or else of the first
// configured service whose keeper has seen it.
func (s *status) keyFacts(request *pb.ExplainRequest) *pb.KeyFacts {
	if s.node.keeper == nil {
		return nil
	}
	if request.GetService() != "" {
		return s.node.keeper.Explain(once.Key{Service: request.GetService(), Value: request.GetKey()})
	}
	var facts *pb.KeyFacts
	for _, service := range s.node.follower.Current().GetConfig().GetServices() {
		facts = s.node.keeper.Explain(once.Key{Service: service.GetName(), Value: request.GetKey()})
		if facts.GetState() != pb.RunState_RUN_STATE_NO || len(facts.GetOthers()) > 0 {
			return facts
		}
	}
	return facts
}

// quarantineFacts lists the quarantined fingerprints, or only wanted if it isn't empty.
func (s *status) quarantineFacts(wanted string) []*pb.QuarantineFacts {
	var list []*pb.QuarantineFacts
	for _, fingerprint := range s.node.quarantineTable.Quarantined() {
		text := strconv.FormatUint(fingerprint, 16)
		until, refused := s.node.quarantineTable.QuarantinedUntil(fingerprint)
		if refused && (wanted == "" || wanted == text) {
			list = append(list, &pb.QuarantineFacts{Fingerprint: text, UntilUnixMs: until.UnixMilli()})
		}
	}
	return list
}

// isAbout reports whether a request for an explanation concerns a member.
func isAbout(request *pb.ExplainRequest, m *pb.Member) bool {
	if request.GetInstance() != "" {
		return m.GetInstance() == request.GetInstance()
	}
	return m.GetService() != "" && (request.GetService() == "" || request.GetService() == m.GetService())
}

// endpointFacts combines what the membership and the balancer know about a member.
func (s *status) endpointFacts(m *pb.Member) *pb.EndpointFacts {
	facts := &pb.EndpointFacts{Member: proto.CloneOf(m), Reasons: memberReasons(s.node.follower.Current(), m)}
	for _, known := range s.facts(m.GetService()) {
		if known.Endpoint.Instance == m.GetInstance() {
			addBalancerFacts(facts, known)
		}
	}
	return facts
}

// memberReasons returns why a member gets no work, or less, by the membership and the
// configuration in force.
func memberReasons(state *pb.ConfigState, m *pb.Member) []string {
	var reasons []string
	switch m.GetStatus() {
	case pb.MemberStatus_MEMBER_STATUS_ALIVE:
	case pb.MemberStatus_MEMBER_STATUS_SUSPECT:
		reasons = append(reasons, "suspect")
	case pb.MemberStatus_MEMBER_STATUS_DRAINING:
		reasons = append(reasons, "draining")
	default:
		reasons = append(reasons, "unreachable")
	}
	if isDraining(state, m.GetInstance()) {
		reasons = append(reasons, "drained by an operator")
	}
	if slices.Contains(configlog.Evacuated(state), m.GetDataCentre()) {
		reasons = append(reasons, "data centre evacuated")
	}
	return reasons
}

// addBalancerFacts adds a balancer's facts about an endpoint to its explanation.
func addBalancerFacts(facts *pb.EndpointFacts, known balance.Facts) {
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
		facts.Report = &pb.LoadReport{
			InFlight: uint32(known.Load), LatencyUs: uint32(known.Latency.Microseconds()), RateLimitPerS: known.RateLimitPerS,
		}
		facts.ReportAgeMs = uint32(known.LoadAge.Milliseconds())
	}
}

package node

import (
	"cmp"
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/ctl"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/peer"
)

// whereTimeout limits the decision about one question, with its questions to gates of the
// own region and of others.
const whereTimeout = 2 * time.Second

// Where implements ctl.NodeStatus. It passes a question about another instance's entry on to
// that instance.
func (s *status) Where(question *pb.WhereRequest) (*pb.WhereReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), whereTimeout)
	defer cancel()
	own := s.node.settings.GetInstance()
	if question.GetEverywhere() && question.GetRequestId() != "" {
		return &pb.WhereReply{Instance: own, RecentRequests: s.askAll(question)}, nil
	}
	if instance := question.GetInstance(); instance != "" && instance != own {
		return askInstance(ctx, s.node.controlClient, s.node.members.View().Members, question)
	}
	if question.GetRequestId() != "" {
		return &pb.WhereReply{Instance: own, RecentRequests: []*pb.WhereRecentRequests{s.recentRequests(question.GetRequestId())}}, nil
	}
	decision, err := s.node.entry.Where(ctx, question)
	if err != nil {
		return nil, err
	}
	decision.DataCentre = s.node.settings.GetDataCentre()
	s.addMembers(decision)
	return &pb.WhereReply{Instance: own, Decision: decision}, nil
}

// askInstance passes a question on to the instance that it names.
func askInstance(ctx context.Context, client peer.Client, members []*pb.Member, question *pb.WhereRequest) (*pb.WhereReply, error) {
	instance := question.GetInstance()
	i := slices.IndexFunc(members, func(m *pb.Member) bool { return m.GetInstance() == instance })
	if i < 0 {
		return nil, errkind.New(pb.ErrorKind_ERROR_KIND_NOT_FOUND, "the node asked knows no instance %q", instance)
	}
	passedOn := proto.CloneOf(question)
	passedOn.Instance = "" // a node that has taken the address over must not pass it on again
	reply := &pb.WhereReply{}
	err := client.Call(ctx, members[i].GetControlAddress(), ctl.MethodWhere, passedOn, reply)
	switch {
	case errkind.KindOf(err) == pb.ErrorKind_ERROR_KIND_NOT_FOUND || errkind.KindOf(err) == pb.ErrorKind_ERROR_KIND_BAD_REQUEST:
		return nil, err // the instance answered
	case err != nil:
		return &pb.WhereReply{Instance: instance, Unreachable: err.Error()}, nil
	case reply.GetInstance() != instance:
		return &pb.WhereReply{Instance: instance, Unreachable: "its address belongs to " + reply.GetInstance()}, nil
	}
	return reply, nil
}

// recentRequests returns the recent requests of this node's entry with an id.
func (s *status) recentRequests(requestID string) *pb.WhereRecentRequests {
	recent := s.node.entry.RecentRequests(requestID)
	recent.Instance = s.node.settings.GetInstance()
	recent.StartedUnixMs = s.node.started.UnixMilli()
	return recent
}

// askAll asks every node for its recent requests with an id.
func (s *status) askAll(question *pb.WhereRequest) []*pb.WhereRecentRequests {
	members := slices.DeleteFunc(slices.Clone(s.node.members.View().Members), func(m *pb.Member) bool {
		return m.GetStatus() == pb.MemberStatus_MEMBER_STATUS_LEFT
	})
	all := make([]*pb.WhereRecentRequests, len(members))
	var group errgroup.Group
	group.SetLimit(maxFleetCalls)
	for i, m := range members {
		group.Go(func() error {
			all[i] = s.recentRequestsOf(m, members, question.GetRequestId())
			return nil
		})
	}
	_ = group.Wait()
	return all
}

// recentRequestsOf returns the recent requests of a member's entry with an id.
func (s *status) recentRequestsOf(m *pb.Member, members []*pb.Member, requestID string) *pb.WhereRecentRequests {
	if m.GetInstance() == s.node.settings.GetInstance() {
		return s.recentRequests(requestID)
	}
	recent := &pb.WhereRecentRequests{Instance: m.GetInstance()}
	if !isLive(m) {
		recent.Unreachable = "dead, by the member list"
		return recent
	}
	ctx, cancel := context.WithTimeout(context.Background(), fleetCallTimeout)
	defer cancel()
	reply, err := askInstance(ctx, s.node.controlClient, members, &pb.WhereRequest{Instance: m.GetInstance(), RequestId: requestID})
	switch {
	case err != nil:
		recent.Unreachable = err.Error()
	case reply.GetUnreachable() != "":
		recent.Unreachable = reply.GetUnreachable()
	case len(reply.GetRecentRequests()) == 1:
		return reply.GetRecentRequests()[0]
	default:
		recent.Unreachable = "has no recent requests in this build"
	}
	return recent
}

// addMembers adds what the membership and the configuration know about the service's
// members, also of those that are no candidates for the entry.
func (s *status) addMembers(decision *pb.WhereDecision) {
	if decision.GetService() == "" {
		return
	}
	state := s.node.follower.Current()
	for _, m := range s.node.members.View().Members {
		if m.GetService() != decision.GetService() || m.GetStatus() == pb.MemberStatus_MEMBER_STATUS_LEFT {
			continue
		}
		reasons := memberReasons(state, m)
		i := slices.IndexFunc(decision.GetCandidates(), func(c *pb.WhereCandidate) bool { return c.GetInstance() == m.GetInstance() })
		switch {
		case i >= 0 && m.GetInstance() == decision.GetChosen():
			decision.Candidates[i].Reasons = append(decision.Candidates[i].Reasons, reasons...)
		case i >= 0:
			decision.Candidates[i].Reasons = append(reasons, decision.Candidates[i].Reasons...)
		default:
			decision.Candidates = append(decision.Candidates, &pb.WhereCandidate{
				Instance: m.GetInstance(), Region: m.GetRegion(), DataCentre: m.GetDataCentre(), Reasons: reasons,
			})
		}
	}
	slices.SortFunc(decision.GetCandidates(), func(a, b *pb.WhereCandidate) int { return cmp.Compare(a.GetInstance(), b.GetInstance()) })
}

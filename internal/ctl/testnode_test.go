package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/egretfield/egretfield/internal/configlog"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/member"
	"github.com/egretfield/egretfield/internal/once"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/memlog"
	"github.com/egretfield/egretfield/internal/telemetry"
)

// firstIncarnation is the incarnation of the first node; each further node has the next.
const firstIncarnation = 101

// testNode is a node of real parts on a fake network: it follows the configuration,
// gossips with the other members and keeps keys.
type testNode struct {
	name     string
	follower *configlog.Follower
	members  *member.List
	keeper   *once.Manager
	lines    bytes.Buffer
	// stop stops the follower, stopKeeper the keeper; stopKeeper is nil without one.
	stop, stopKeeper context.CancelFunc
	done             sync.WaitGroup
}

// startNode runs a node until ctx ends. It starts no keeper, whose appends to the log
// would use up faults that a test means for those of egretctl.
func (s *testFleet) startNode(ctx context.Context, index int) *testNode {
	n := &testNode{name: instances[index]}
	log := s.log.ForClient(memlog.Client{Name: n.name})
	logger := n.logger()
	ctx, n.stop = context.WithCancel(ctx)
	n.follower = configlog.NewFollower(configlog.Options{Name: n.name, Log: log, Logger: logger.Named("config")})
	endpoint := s.net.At(n.name)
	own := memberOf(n.name)
	own.ControlAddress, own.Status = n.name, 0
	n.members, _ = member.New(member.Options{
		Member: own, ControlClient: endpoint, Seeds: instances, Logger: logger.Named("members"),
		Incarnation: firstIncarnation + uint64(index), Seed: uint64(index + 1),
	})
	_ = n.members.Register(endpoint)
	_ = endpoint.RegisterName(configlog.RPCName, configlog.NewRPC(n.follower, configlog.NewPublisher(log, n.follower)))
	_ = endpoint.RegisterName(StatusRPCName, NewStatusRPC(s))
	n.follower.Subscribe(func(state *pb.ConfigState) {
		n.members.SetDraining(slices.Contains(state.GetDraining(), n.name))
	})
	n.members.Start()
	n.done.Go(func() { _ = n.follower.Run(ctx) })
	return n
}

// startKeeper runs a node's keeper of keys until ctx ends. Call it once the node knows
// the other members.
func (s *testFleet) startKeeper(ctx context.Context, n *testNode) {
	ctx, n.stopKeeper = context.WithCancel(ctx)
	log, endpoint := s.log.ForClient(memlog.Client{Name: n.name}), s.net.At(n.name)
	n.keeper, _ = once.NewManager(once.Options{Log: log, ControlClient: endpoint, Members: n, Logger: n.logger().Named("keys")})
	_ = n.keeper.Register(endpoint)
	n.done.Go(func() { n.keeper.Run(ctx) })
}

// logger returns a logger like egretnode's, which writes to lines.
func (n *testNode) logger() *zap.Logger {
	logger, _, _ := telemetry.NewLogger(&n.lines, telemetry.FormatJSON, "info")
	return telemetry.WithNodeFields(logger, telemetry.NodeFields{
		ConfigOffset: func() int64 { return n.follower.Current().GetApplied() },
		Incarnation:  func() uint64 { return n.members.Self().GetIncarnation() },
	})
}

// Self implements once.Members.
func (n *testNode) Self() once.Member { return onceMember(n.members.Self()) }

// Live implements once.Members.
func (n *testNode) Live() []once.Member {
	var live []once.Member
	for _, m := range n.members.View().Members {
		if m.GetStatus() != pb.MemberStatus_MEMBER_STATUS_DEAD && m.GetStatus() != pb.MemberStatus_MEMBER_STATUS_LEFT {
			live = append(live, onceMember(m))
		}
	}
	return live
}

// Subscribe implements once.Members. It does nothing, because keepers also poll the
// members.
func (n *testNode) Subscribe(func()) {}

func onceMember(m *pb.Member) once.Member {
	return once.Member{Instance: m.GetInstance(), Incarnation: m.GetIncarnation(), Region: m.GetRegion(), Address: m.GetControlAddress()}
}

// kill stops a node without letting it leave the fleet.
func (s *testFleet) kill(n *testNode) {
	s.net.Remove(n.name)
	n.stop()
	if n.stopKeeper != nil {
		n.stopKeeper()
	}
	n.members.Close()
	n.done.Wait()
}

// newKey returns an idempotency key with the current time, in the form of a UUIDv7.
func (s *testFleet) newKey() string {
	s.ids++
	now := time.Now().UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", now>>16, now&0xffff, s.ids)
}

// order sends an order with a key through a node and prints what became of it. With
// reported false, the keeper never learns the order's outcome.
func (s *testFleet) order(n *testNode, key string, reported bool) {
	fmt.Fprintf(&s.text, "$ order %s through %s\n", key, n.name)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	onceKey := once.Key{Service: "orders", Value: key, Scoped: s.organisation != "", Organisation: s.organisation}
	decision, err := n.keeper.Begin(ctx, onceKey, 1)
	switch {
	case err != nil:
		fmt.Fprintf(&s.text, "refused: %s\n", errkind.Of(errkind.KindOf(err)).Name)
	case decision.Verdict == once.VerdictReplay:
		fmt.Fprintf(&s.text, "replayed: %s\n", decision.Answer.GetBody())
	case !reported:
		fmt.Fprintln(&s.text, "runs, its outcome is never told")
	default:
		s.executions++
		body := fmt.Sprintf("answer of run %d", s.executions)
		outcome := once.Outcome{State: pb.RunState_RUN_STATE_YES, Answer: &pb.StoredAnswer{Status: 200, Body: []byte(body)}}
		if err := n.keeper.Finish(ctx, onceKey, decision.Grant, outcome); err != nil {
			fmt.Fprintln(&s.text, "not told:", err)
		}
		fmt.Fprintln(&s.text, "ran:", body)
	}
}

// printLogs prints what the nodes logged, without times and nondeterministic lines.
// Lines of one logger about one member keep their order; the order between such groups
// isn't deterministic, so they are sorted.
func (s *testFleet) printLogs() {
	for _, n := range s.nodes {
		fmt.Fprintf(&s.text, "log of %s\n", n.name)
		lines := strings.Split(strings.TrimSpace(n.lines.String()), "\n")
		lines = slices.DeleteFunc(lines, isNondeterministic)
		slices.SortStableFunc(lines, func(a, b string) int { return strings.Compare(loggerAndMember(a), loggerAndMember(b)) })
		for _, line := range lines {
			fmt.Fprintln(&s.text, " ", withoutTime(line))
		}
	}
}

// isNondeterministic reports whether a node writes a line only after a random choice: a
// keeper that can't read the log asks a random peer for newer records.
func isNondeterministic(line string) bool {
	return strings.Contains(line, "took the keeper state from a peer")
}

// loggerAndMember returns the logger of a line and the member that it is about.
func loggerAndMember(line string) string {
	var parsed struct{ Logger, Member string }
	_ = json.Unmarshal([]byte(line), &parsed)
	return parsed.Logger + " " + parsed.Member
}

// withoutTime returns a line without its time.
func withoutTime(line string) string {
	before, rest, _ := strings.Cut(line, `"ts":"`)
	_, after, _ := strings.Cut(rest, `",`)
	return before + after
}

package once

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/once/keeper"
	"github.com/egretfield/egretfield/internal/once/shard"
	"github.com/egretfield/egretfield/internal/pb"
)

const (
	methodExplain = rpcName + ".Explain"
	// explainTimeout bounds the call to a key's keeper.
	explainTimeout = time.Second
)

// Explain reports what the keeper of a key knows about it, without changing
// anything. If the keeper is unreachable, the facts say so.
func (m *Manager) Explain(key Key) *pb.KeyFacts {
	facts := &pb.KeyFacts{Service: key.Service, Key: key.Value}
	parsed, err := key.parse()
	if err != nil {
		return explainRefusal(facts, pb.RunState_RUN_STATE_NO, pb.ErrorKind_ERROR_KIND_KEY_INVALID, "not a UUIDv7")
	}
	facts.FirstSeenUnixMs = int64(parsed.Timestamp())
	to, ok := m.route(parsed, "")
	if !ok {
		return explainRefusal(facts, pb.RunState_RUN_STATE_UNKNOWN, pb.ErrorKind_ERROR_KIND_KEEPER_UNAVAILABLE,
			"no lease that covers the key's creation time is known")
	}
	if to.self {
		return m.explainLocal(parsed, facts)
	}
	return m.explainRemote(to, facts)
}

// explainRefusal fills in why a request with the key would be refused.
func explainRefusal(facts *pb.KeyFacts, state pb.RunState, kind pb.ErrorKind, message string) *pb.KeyFacts {
	facts.State, facts.Kind, facts.Message = state, kind, message
	return facts
}

// explainRemote asks the key's keeper on another node.
func (m *Manager) explainRemote(to target, facts *pb.KeyFacts) *pb.KeyFacts {
	ctx, cancel := context.WithTimeout(context.Background(), explainTimeout)
	defer cancel()
	reply := &pb.KeyFacts{}
	if err := m.opts.ControlClient.Call(ctx, to.address, methodExplain, facts, reply); err != nil {
		return explainRefusal(facts, pb.RunState_RUN_STATE_UNKNOWN, errkind.KindOf(err), "the key's keeper doesn't answer")
	}
	return reply
}

// explainLocal looks the key up in this node's tables.
func (m *Manager) explainLocal(key shard.Key, facts *pb.KeyFacts) *pb.KeyFacts {
	facts.Keeper = m.opts.Members.Self().Instance
	table := m.tableOf(key)
	if table == nil {
		return explainRefusal(facts, pb.RunState_RUN_STATE_UNKNOWN, pb.ErrorKind_ERROR_KIND_KEY_TOO_OLD,
			"this keeper has no table for the key's creation time")
	}
	states := table.Peek(key)
	switch {
	case len(states) > 0:
		var others []*pb.KeyFacts
		for _, other := range states[1:] {
			others = append(others, explainState(proto.CloneOf(facts), other))
		}
		explainState(facts, states[0]).Others = others
	case key.Timestamp() < table.Floor():
		explainRefusal(facts, pb.RunState_RUN_STATE_UNKNOWN, pb.ErrorKind_ERROR_KIND_KEY_TOO_OLD, "evicted to make room, or older than this keeper")
	default:
		facts.State = pb.RunState_RUN_STATE_NO
	}
	return facts
}

// explainState fills in what the keeper knows of a key in one scope.
func explainState(facts *pb.KeyFacts, known keeper.ScopeState) *pb.KeyFacts {
	facts.Organisation = known.Scope.Field()
	switch known.State {
	case pb.KeyState_KEY_STATE_DONE:
		facts.State = pb.RunState_RUN_STATE_YES
	case pb.KeyState_KEY_STATE_RUNNING:
		explainRefusal(facts, pb.RunState_RUN_STATE_UNKNOWN, pb.ErrorKind_ERROR_KIND_KEY_IN_PROGRESS, "an attempt is running")
	case pb.KeyState_KEY_STATE_UNKNOWN:
		explainRefusal(facts, pb.RunState_RUN_STATE_UNKNOWN, pb.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, "an attempt ended without an outcome")
	default:
		facts.State = pb.RunState_RUN_STATE_NO
	}
	return facts
}

// Explain answers another node's query about a key kept here.
func (r *RPC) Explain(args, reply *pb.KeyFacts) error {
	parsed, err := shard.ParseKey(args.GetService(), args.GetKey())
	if err != nil {
		return errkind.Wrap(pb.ErrorKind_ERROR_KIND_KEY_INVALID, err, "explain")
	}
	reply.Service, reply.Key = args.GetService(), args.GetKey()
	reply.FirstSeenUnixMs = int64(parsed.Timestamp())
	r.m.explainLocal(parsed, reply)
	return nil
}

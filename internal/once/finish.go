package once

import (
	"context"

	"github.com/google/uuid"

	"github.com/egretfield/egretfield/internal/delay"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/once/keeper"
	"github.com/egretfield/egretfield/internal/once/shard"
	"github.com/egretfield/egretfield/internal/pb"
)

// target is the node to which a call about a key is sent.
type target struct {
	address string
	self    bool
}

// route returns the node that may hold the key: the one named by a sealed
// table, else the keeper of the interval that contains the key's timestamp. If
// that keeper is absent, it may have handed its tables to the shard's next
// candidate.
func (m *Manager) route(key shard.Key, movedTo string) (target, bool) {
	p := m.placement.Load()
	if member, ok := p.live[movedTo]; ok {
		return m.targetOf(member), true
	}
	if m.tableOf(key) != nil && movedTo == "" {
		return target{self: true}, true
	}
	owner, ok := m.ownerOf(key)
	if !ok {
		return target{}, false
	}
	if owner.ID == m.session.ID {
		return target{self: true}, true
	}
	if member, live := p.isLive(owner); live {
		return m.targetOf(member), true
	}
	if successor, ok := p.firstOther(key.Shard(), owner.Instance); ok {
		return m.targetOf(successor), true
	}
	return target{}, false
}

// tableOf returns this session's table for the key, sealed ones included. It
// returns nil if there is none or if the log shows that a later interval
// contains the timestamp: a fence may end an interval that was handed over.
func (m *Manager) tableOf(key shard.Key) *keeper.Table {
	table := m.tables.find(key.Shard(), key.Timestamp())
	if table == nil {
		return nil
	}
	later := false
	m.replica.view(func(state *shard.State) {
		begin := state.Current(key.Shard()).Begin
		later = table.IntervalID.Begin < begin && begin <= key.Timestamp()
	})
	if later {
		return nil
	}
	return table
}

func (m *Manager) targetOf(member Member) target {
	if member.Instance == m.self.Instance {
		return target{self: true}
	}
	return target{address: member.Address}
}

// ownerOf returns the session whose interval contains the timestamp. If the
// timestamp is past the end of the shard's present interval, it returns that
// interval's keeper, which may have read further.
func (m *Manager) ownerOf(key shard.Key) (shard.Session, bool) {
	var owner shard.Session
	found := false
	m.replica.view(func(state *shard.State) {
		id, timestamp := key.Shard(), key.Timestamp()
		interval, ok := state.Find(id, timestamp)
		if !ok && timestamp >= state.Current(id).End {
			interval = state.Current(id)
		}
		owner, found = state.Session(interval.Owner)
	})
	return owner, found
}

// Finish implements Guard.
func (m *Manager) Finish(ctx context.Context, key Key, grant string, outcome Outcome) error {
	parsed, err := key.parse()
	if err != nil {
		return errkind.Wrap(pb.ErrorKind_ERROR_KIND_KEY_INVALID, err, "key %.40q", key.Value)
	}
	id, err := uuid.Parse(grant)
	if err != nil {
		return errkind.Wrap(pb.ErrorKind_ERROR_KIND_INTERNAL, err, "grant %.40q", grant)
	}
	ctx, cancel := withDefaultTimeout(ctx, finishTimeout)
	defer cancel()
	return m.reportOutcome(ctx, parsed, keeper.GrantID(id), outcome)
}

// reportOutcome sends an outcome to the key's keeper until the keeper has
// answered.
func (m *Manager) reportOutcome(ctx context.Context, key shard.Key, grant keeper.GrantID, outcome Outcome) error {
	args := &pb.KeyFinish{
		Service:      key.Service,
		Key:          key.ID[:],
		Grant:        grant[:],
		State:        outcome.State,
		Answer:       answerOf(key.Scope, outcome.Answer),
		HasAnswer:    outcome.Answer != nil,
		Organisation: key.Scope.Field(),
	}
	movedTo := ""
	for ctx.Err() == nil {
		reply := m.callFinish(ctx, key, args, movedTo)
		switch reply.GetVerdict() {
		case pb.KeyVerdict_KEY_VERDICT_GRANTED:
			return nil
		case pb.KeyVerdict_KEY_VERDICT_REFUSED:
			return m.finishRefused(outcome)
		case pb.KeyVerdict_KEY_VERDICT_MOVED:
			movedTo = reply.MovedTo
		default:
			movedTo = ""
		}
		delay.Sleep(ctx, searchInterval)
	}
	return errkind.New(pb.ErrorKind_ERROR_KIND_TIMEOUT, "the key's keeper did not acknowledge the outcome")
}

// answerOf returns the answer to store, which names its organisation, so that it is
// replayed to no other one even after a keeper of an older build has kept it.
func answerOf(scope shard.Scope, answer *pb.StoredAnswer) *pb.StoredAnswer {
	if answer == nil || !scope.Known {
		return answer
	}
	return &pb.StoredAnswer{Status: answer.Status, Header: answer.Header, Body: answer.Body, Organisation: scope.Field()}
}

// finishRefused returns the result when the grant isn't held because it was
// cancelled or forgotten. For an outcome that frees the key that is no error:
// the key is free already.
func (m *Manager) finishRefused(outcome Outcome) error {
	if outcome.State == pb.RunState_RUN_STATE_NO {
		return nil
	}
	return errkind.New(pb.ErrorKind_ERROR_KIND_KEY_TOO_OLD, "the keeper no longer holds the grant")
}

// callFinish returns nil when no node answered.
func (m *Manager) callFinish(ctx context.Context, key shard.Key, args *pb.KeyFinish, movedTo string) *pb.KeyFinishReply {
	to, ok := m.route(key, movedTo)
	if !ok {
		return nil
	}
	reply := &pb.KeyFinishReply{}
	if to.self {
		m.finish(args, reply)
		return reply
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if m.opts.ControlClient.Call(callCtx, to.address, methodFinish, args, reply) != nil {
		return nil
	}
	return reply
}

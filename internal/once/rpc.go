package once

import (
	"context"
	"time"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/once/keeper"
	"github.com/egretfield/egretfield/internal/once/shard"
	"github.com/egretfield/egretfield/internal/pb"
)

const (
	rpcName = "Keeper"

	methodBegin    = rpcName + ".Begin"
	methodFinish   = rpcName + ".Finish"
	methodSession  = rpcName + ".Session"
	methodTransfer = rpcName + ".Transfer"
	methodState    = rpcName + ".State"
	methodExtend   = rpcName + ".Extend"

	// limitWait bounds how long a call waits for the grant limit to rise.
	limitWait = 800 * time.Millisecond
	// maxKeeperWait bounds how long a call waits for a running operation.
	maxKeeperWait = 30 * time.Second
)

// RPC serves the control calls for idempotency keys. It is a receiver for net/rpc.
type RPC struct {
	m *Manager
}

// Begin decides on a key whose timestamp this session may grant.
func (r *RPC) Begin(args *pb.KeyBegin, reply *pb.KeyBeginReply) error {
	ctx, err := r.context()
	if err != nil {
		return err
	}
	r.m.begin(ctx, args, reply)
	return nil
}

// Finish records the outcome of a grant.
func (r *RPC) Finish(args *pb.KeyFinish, reply *pb.KeyFinishReply) error {
	if _, err := r.context(); err != nil {
		return err
	}
	r.m.finish(args, reply)
	return nil
}

// Session returns the session of this process.
func (r *RPC) Session(_ *pb.Empty, reply *pb.KeeperSession) error {
	if r.m.closed.Load() || r.m.leaving.Load() {
		return errkind.New(pb.ErrorKind_ERROR_KIND_DRAINING, "the node is stopping and accepts no shards")
	}
	reply.Id = r.m.session.ID
	reply.Instance = r.m.session.Instance
	reply.Incarnation = r.m.session.Incarnation
	return nil
}

// Transfer accepts the contents of sealed tables from another session.
func (r *RPC) Transfer(args *pb.KeeperTransfer, reply *pb.KeeperTransferReply) error {
	ctx, err := r.context()
	if err != nil {
		return err
	}
	accepted, err := r.m.accept(ctx, args)
	reply.Accepted = accepted
	return err
}

// State returns this node's state if it is newer than the requester's.
func (r *RPC) State(args *pb.KeeperStateQuery, reply *pb.KeeperStateReply) error {
	r.m.replica.view(func(state *shard.State) {
		if state.Folded() > args.FoldedThrough {
			reply.State = state.Snapshot()
		}
	})
	return nil
}

func (r *RPC) context() (context.Context, error) {
	ctx := r.m.context()
	if ctx == nil {
		return nil, errkind.New(pb.ErrorKind_ERROR_KIND_NOT_READY, "the keeper isn't running")
	}
	return ctx, nil
}

// begin answers Begin from the table whose interval contains the key's
// timestamp.
func (m *Manager) begin(ctx context.Context, args *pb.KeyBegin, reply *pb.KeyBeginReply) {
	reply.Scopes = true
	key, err := shard.KeyFromBytes(args.Service, args.Key)
	if err != nil || len(args.Grant) != len(keeper.GrantID{}) {
		reply.Verdict = pb.KeyVerdict_KEY_VERDICT_REFUSED
		reply.Kind = pb.ErrorKind_ERROR_KIND_KEY_INVALID
		return
	}
	table := m.tableOf(key)
	if table == nil {
		reply.Verdict = pb.KeyVerdict_KEY_VERDICT_NOT_KEEPER
		return
	}
	waitCtx, cancel := context.WithTimeout(ctx, limitWait)
	defer cancel()
	if !table.TooFarAhead(key.Timestamp()) {
		m.awaitLimit(waitCtx, key.Timestamp())
	}
	result := table.Begin(ctx, keeper.Request{
		Key:         key.In(shard.ScopeOf(args.Organisation)),
		Fingerprint: args.Fingerprint,
		Grant:       keeper.GrantID(args.Grant),
		Wait:        min(millisOf(args.WaitMs), maxKeeperWait),
		Hold:        millisOf(args.HoldMs),
	})
	reply.Verdict = result.Verdict
	reply.Kind = result.Kind
	reply.Message = result.Message
	reply.Answer = result.Answer
	reply.MovedTo = result.MovedTo
}

func (m *Manager) finish(args *pb.KeyFinish, reply *pb.KeyFinishReply) {
	reply.Verdict = pb.KeyVerdict_KEY_VERDICT_REFUSED
	key, err := shard.KeyFromBytes(args.Service, args.Key)
	if err != nil || len(args.Grant) != len(keeper.GrantID{}) {
		return
	}
	table := m.tableOf(key)
	if table == nil {
		reply.Verdict = pb.KeyVerdict_KEY_VERDICT_NOT_KEEPER
		return
	}
	var answer *pb.StoredAnswer
	if args.HasAnswer {
		answer = args.Answer
	}
	result := table.Finish(key.In(shard.ScopeOf(args.Organisation)), keeper.GrantID(args.Grant), args.State, answer)
	reply.Verdict = result.Verdict
	reply.MovedTo = result.MovedTo
}

func millisOf(ms uint32) time.Duration {
	return time.Duration(ms) * time.Millisecond
}

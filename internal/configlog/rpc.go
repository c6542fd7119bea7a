package configlog

import (
	"context"
	"strings"
	"time"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

// RPCName is the name under which RPC is registered for control calls.
const RPCName = "Config"

const (
	defaultChangeTimeout = 30 * time.Second
	maxChangeTimeout     = 2 * time.Minute
)

// RPC serves the control calls for the configuration: Config.Pull, Config.State and
// Config.Change. It is a receiver for net/rpc.
type RPC struct {
	follower  *Follower
	publisher *Publisher
}

// NewRPC returns the receiver of a node. If publisher is nil, changes are refused.
func NewRPC(follower *Follower, publisher *Publisher) *RPC {
	return &RPC{follower: follower, publisher: publisher}
}

// Pull returns the records from an offset on, or a snapshot if they are no longer
// buffered.
func (r *RPC) Pull(args *pb.ConfigPull, reply *pb.ConfigPullReply) error {
	r.pull(args, reply)
	if args.GetAcceptsGzip() {
		return compressReply(reply)
	}
	return nil
}

// pull fills the reply to a pull.
func (r *RPC) pull(args *pb.ConfigPull, reply *pb.ConfigPullReply) {
	f := r.follower
	f.mu.Lock()
	defer f.mu.Unlock()
	reply.Digest = f.folded.Digest()
	reply.Digest.AtEndAgeMs = f.atEndAgeMs(time.Now())
	if args.GetFrom() > f.folded.FoldedThrough {
		hasNews := f.folded.OperatorVersion() > args.GetOperatorVersion() || reply.Digest.GetEvacuations() != args.GetEvacuations()
		if hasNews && f.folded.Version() > 0 {
			reply.Snapshot = f.folded.Snapshot()
		}
		return
	}
	reply.Records, reply.Chain = f.buffer.recordsFrom(args.GetFrom())
	if len(reply.Records) == 0 && f.folded.Version() > 0 {
		reply.Snapshot = f.folded.Snapshot()
	}
}

// State returns the folded state as a snapshot.
func (r *RPC) State(args *pb.ConfigQuery, reply *pb.ConfigSnapshot) error {
	state := r.follower.State()
	reply.State = state.Config
	if args.GetWithoutAudit() {
		reply.State = shallowCopy(state.Config)
		reply.State.Audit = nil
	}
	reply.FoldedThrough = state.FoldedThrough
	reply.Chain = state.Chain
	return nil
}

// Change appends a record to the log and replies with its outcome.
func (r *RPC) Change(args *pb.ConfigChange, reply *pb.ConfigChangeReply) error {
	if r.publisher == nil {
		return errkind.New(pb.ErrorKind_ERROR_KIND_NOT_READY, "this node does not publish changes")
	}
	timeout := time.Duration(args.GetTimeoutMs()) * time.Millisecond
	if timeout <= 0 {
		timeout = defaultChangeTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(timeout, maxChangeTimeout))
	defer cancel()
	entry, err := r.publisher.Submit(ctx, args.GetRecord())
	reply.Entry = entry
	if err != nil {
		reply.Error = errkind.KindOf(err)
		reply.Message = strings.TrimPrefix(err.Error(), errkind.Of(reply.Error).Name+": ")
	}
	return nil
}

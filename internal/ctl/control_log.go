package ctl

import (
	"context"
	"errors"
	"time"

	"github.com/egretfield/egretfield/internal/configlog"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/peer"
	"github.com/egretfield/egretfield/internal/platformlog"
)

// logControl implements control on the platform's log, which it folds itself. It asks
// viaNode, if set, for what only a node knows.
type logControl struct {
	follower  *configlog.Follower
	publisher *configlog.Publisher
	viaNode   *nodeControl
	close     func()
}

// startLogControl starts to fold the log in the background, until close is called.
func startLogControl(ctx context.Context, log platformlog.Log, viaNode *nodeControl) *logControl {
	ctx, cancel := context.WithCancel(ctx)
	follower := configlog.NewFollower(configlog.Options{Name: "egretctl", Log: log})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = follower.Run(ctx)
	}()
	return &logControl{
		follower:  follower,
		publisher: configlog.NewPublisher(log, follower),
		viaNode:   viaNode,
		close:     func() { cancel(); <-done },
	}
}

func (l *logControl) state(ctx context.Context) (configlog.State, error) {
	if err := l.follower.CaughtUp(ctx); err != nil {
		return configlog.State{}, errkind.Wrap(pb.ErrorKind_ERROR_KIND_LOG_UNAVAILABLE, err, "read the log")
	}
	return l.follower.State(), nil
}

func (l *logControl) change(ctx context.Context, record *pb.ConfigRecord) (*pb.AuditEntry, error) {
	if _, err := l.state(ctx); err != nil {
		return nil, err
	}
	return l.publisher.Submit(ctx, record)
}

func (l *logControl) fleetStatus(ctx context.Context) (*pb.FleetStatus, error) {
	if l.viaNode == nil {
		return nil, nil
	}
	return l.viaNode.fleetStatus(ctx)
}

func (l *logControl) nodeStatus(ctx context.Context) (*pb.NodeStatus, error) {
	if l.viaNode == nil {
		return nil, errNeedsNode
	}
	return l.viaNode.nodeStatus(ctx)
}

func (l *logControl) explain(ctx context.Context, request *pb.ExplainRequest) (*pb.ExplainReply, error) {
	if l.viaNode == nil {
		return nil, errNeedsNode
	}
	return l.viaNode.explain(ctx, request)
}

var errNeedsNode = errkind.New(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "this command needs a node: give -node")

// remainingMs returns the time left in ctx in milliseconds, less a margin for the
// transfer of the reply, but at least that margin; zero: ctx has no deadline.
func remainingMs(ctx context.Context) uint32 {
	const margin = 500 * time.Millisecond
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return uint32(max(time.Until(deadline)-margin, margin).Milliseconds())
}

// outcomeError gives err the kind log outcome unknown if the change may have been made
// in spite of it.
func outcomeError(err error, record *pb.ConfigRecord) error {
	kind := errkind.KindOf(err)
	uncertain := errors.Is(err, peer.ErrLost) || kind == pb.ErrorKind_ERROR_KIND_TIMEOUT || kind == pb.ErrorKind_ERROR_KIND_CANCELLED
	if !uncertain {
		return err
	}
	return errkind.Wrap(pb.ErrorKind_ERROR_KIND_LOG_OUTCOME_UNKNOWN, err,
		"the change may have been made; repeat it with -id %s to learn the outcome", record.GetId())
}

package ctl

import (
	"bytes"
	"context"

	"github.com/egretfield/egretfield/internal/configlog"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/peer"
)

// control gives a command access to the fleet, through a node or through the log.
type control interface {
	// state returns the configuration state folded so far.
	state(ctx context.Context) (configlog.State, error)
	// change appends a record and returns its audit entry. A refused change
	// returns its entry and an error.
	change(ctx context.Context, record *pb.ConfigRecord) (*pb.AuditEntry, error)
	// fleetStatus returns what a node knows about all nodes; nil without a node.
	fleetStatus(ctx context.Context) (*pb.FleetStatus, error)
	// nodeStatus returns the status of the node itself.
	nodeStatus(ctx context.Context) (*pb.NodeStatus, error)
	// explain returns the node's facts about the subject of request.
	explain(ctx context.Context, request *pb.ExplainRequest) (*pb.ExplainReply, error)
	// where returns what a node's entry would decide about a request.
	where(ctx context.Context, question *pb.WhereRequest) (*pb.WhereReply, error)
}

// connect returns access to the fleet through -node, -log or both, and a function that
// closes it.
func (s *session) connect(ctx context.Context) (control, func(), error) {
	if s.node == "" && s.log == "" {
		return nil, nil, s.usageError("expected -node or -log (or EGRETFIELD_NODE, EGRETFIELD_LOG)")
	}
	var viaNode *nodeControl
	if s.node != "" {
		key, err := s.key()
		if err != nil {
			return nil, nil, err
		}
		client, err := s.env.NewControlClient(key, &s.certs)
		if err != nil {
			return nil, nil, errkind.Wrap(pb.ErrorKind_ERROR_KIND_UNAUTHENTICATED, err, "create a control client from the shared key and certificates")
		}
		viaNode = &nodeControl{client: client, address: s.node}
	}
	if s.log == "" {
		return viaNode, func() {}, nil
	}
	log, err := s.env.NewLog(s.log)
	if err != nil {
		return nil, nil, s.usageError("-log: %v", err)
	}
	viaLog := startLogControl(ctx, log, viaNode)
	return viaLog, viaLog.close, nil
}

// key returns the shared key from -key-file or the environment.
func (s *session) key() ([]byte, error) {
	if s.keyFile == "" {
		return []byte(s.env.Getenv("EGRETFIELD_KEY")), nil
	}
	data, err := s.env.ReadFile(s.keyFile)
	if err != nil {
		return nil, errkind.Wrap(pb.ErrorKind_ERROR_KIND_NOT_FOUND, err, "read the shared key")
	}
	return bytes.TrimSpace(data), nil
}

// nodeControl implements control by calls to a node's control address.
type nodeControl struct {
	client  peer.Client
	address string
}

func (n *nodeControl) state(ctx context.Context) (configlog.State, error) {
	reply := &pb.ConfigSnapshot{}
	if err := n.client.Call(ctx, n.address, "Config.State", &pb.ConfigQuery{}, reply); err != nil {
		return configlog.State{}, err
	}
	state := configlog.State{Config: reply.GetState(), FoldedThrough: reply.GetFoldedThrough(), Chain: reply.GetChain()}
	if state.Config == nil {
		state.Config = &pb.ConfigState{}
	}
	return state, nil
}

func (n *nodeControl) change(ctx context.Context, record *pb.ConfigRecord) (*pb.AuditEntry, error) {
	args := &pb.ConfigChange{Record: record, TimeoutMs: remainingMs(ctx)}
	reply := &pb.ConfigChangeReply{}
	if err := n.client.Call(ctx, n.address, "Config.Change", args, reply); err != nil {
		return nil, outcomeError(err, record)
	}
	if reply.GetError() != pb.ErrorKind_ERROR_KIND_UNSPECIFIED {
		return reply.GetEntry(), errkind.New(reply.GetError(), "%s", reply.GetMessage())
	}
	return reply.GetEntry(), nil
}

func (n *nodeControl) fleetStatus(ctx context.Context) (*pb.FleetStatus, error) {
	reply := &pb.FleetStatus{}
	err := n.client.Call(ctx, n.address, "Status.Fleet", &pb.FleetRequest{}, reply)
	return reply, err
}

func (n *nodeControl) nodeStatus(ctx context.Context) (*pb.NodeStatus, error) {
	reply := &pb.NodeStatus{}
	err := n.client.Call(ctx, n.address, "Status.Node", &pb.NodeStatusRequest{}, reply)
	return reply, err
}

func (n *nodeControl) explain(ctx context.Context, request *pb.ExplainRequest) (*pb.ExplainReply, error) {
	reply := &pb.ExplainReply{}
	err := n.client.Call(ctx, n.address, "Status.Explain", request, reply)
	return reply, err
}

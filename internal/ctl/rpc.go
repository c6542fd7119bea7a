package ctl

import "github.com/egretfield/egretfield/internal/pb"

// StatusRPCName is the name under which StatusRPC is registered for control calls.
const StatusRPCName = "Status"

// NodeStatus provides a node's answers to status and explain. Implementations are safe
// for concurrent use.
type NodeStatus interface {
	// Node describes the node itself.
	Node() *pb.NodeStatus
	// Fleet describes every node that this node knows, including itself.
	Fleet() *pb.FleetStatus
	// Explain returns the facts about the subject of request.
	Explain(request *pb.ExplainRequest) *pb.ExplainReply
	// Where returns what an entry would decide about a request.
	Where(question *pb.WhereRequest) (*pb.WhereReply, error)
}

// StatusRPC serves a NodeStatus to control calls. It is a receiver for net/rpc.
type StatusRPC struct {
	status NodeStatus
}

// NewStatusRPC returns the receiver for a node's status.
func NewStatusRPC(status NodeStatus) *StatusRPC {
	return &StatusRPC{status: status}
}

// Node replies with the status of the node itself (control call Status.Node).
func (r *StatusRPC) Node(_ *pb.NodeStatusRequest, reply *pb.NodeStatus) error {
	status := r.status.Node()
	reply.Member = status.GetMember()
	reply.ProgramVersion = status.GetProgramVersion()
	reply.StartedUnixMs = status.GetStartedUnixMs()
	reply.Ready = status.GetReady()
	reply.Config = status.GetConfig()
	reply.Services = status.GetServices()
	reply.Requests = status.GetRequests()
	reply.Measuring = status.GetMeasuring()
	reply.Quotas = status.GetQuotas()
	return nil
}

// Fleet replies with the status of every node that this node knows (control call
// Status.Fleet).
func (r *StatusRPC) Fleet(_ *pb.FleetRequest, reply *pb.FleetStatus) error {
	reply.Nodes = r.status.Fleet().GetNodes()
	return nil
}

// Explain replies with the facts about the subject of the request (control call
// Status.Explain).
func (r *StatusRPC) Explain(args *pb.ExplainRequest, reply *pb.ExplainReply) error {
	facts := r.status.Explain(args)
	reply.Node = facts.GetNode()
	reply.Endpoints = facts.GetEndpoints()
	reply.Quarantines = facts.GetQuarantines()
	reply.Key = facts.GetKey()
	reply.CapOwners = facts.GetCapOwners()
	return nil
}

// Package peer is the RPC client and server for control calls between nodes and from
// operators. It runs net/rpc over TCP, optionally with TLS, with protobuf messages as
// arguments and replies. Both ends of a connection authenticate with the shared key
// from the settings, and every message is signed with an HMAC.
package peer

import (
	"context"

	"google.golang.org/protobuf/proto"
)

// Client makes control calls. Implementations are safe for concurrent use.
type Client interface {
	// Call calls method ("Service.Method") at the control address addr and fills
	// in reply. It returns when the call ends or ctx is done. An error returned by
	// the method keeps its errkind kind.
	Call(ctx context.Context, addr, method string, args, reply proto.Message) error
}

// Registrar registers the services that a node offers for control calls. The
// receiver's methods follow net/rpc: func (*T) Method(args *pb.A, reply *pb.R) error.
type Registrar interface {
	// RegisterName registers receiver, whose methods are then called as "name.Method".
	// The error is that of net/rpc for a receiver or a name that is not usable.
	RegisterName(name string, receiver any) error
}

// Broadcaster spreads small messages to all nodes by gossip.
type Broadcaster interface {
	// Broadcast sends payload to every node's subscribers of topic within a few
	// gossip rounds. Delivery is likely but not guaranteed. Payloads are at most
	// 1 KiB.
	Broadcast(topic string, payload []byte)
	// Subscribe registers a handler that is called once for each payload of topic,
	// including those that this node broadcasts. The handler must not block.
	Subscribe(topic string, handler func(payload []byte))
}

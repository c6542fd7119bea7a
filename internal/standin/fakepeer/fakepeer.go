// Package fakepeer implements control calls between nodes in memory, for tests. Its
// delays use package time, so that tests can run it under testing/synctest.
package fakepeer

import (
	"context"
	"reflect"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/peer"
)

// Network connects nodes by address. It is safe for concurrent use.
type Network struct {
	// Delay returns the one-way delay between two addresses. Nil: no delay. It must
	// not be replaced while calls run.
	Delay func(from, to string) time.Duration

	mu            sync.Mutex
	receivers     map[string]map[string]reflect.Value
	isPartitioned func(from, to string) bool
	bytes         map[Link]uint64
	calls         uint64
}

// Link is one direction between two addresses. From is the address of the node that
// calls, To that of the node called.
type Link struct {
	From, To string
}

// New returns a network without nodes.
func New() *Network {
	return &Network{
		receivers: map[string]map[string]reflect.Value{},
		bytes:     map[Link]uint64{},
	}
}

// SetPartition sets the function that reports whether messages from one address to
// another are lost. Nil: none are.
func (n *Network) SetPartition(isPartitioned func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isPartitioned = isPartitioned
}

// Remove removes the node at addr; later calls to it fail.
func (n *Network) Remove(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.receivers, addr)
}

// Bytes returns the bytes of arguments and replies by link, for calls whose receiver
// returned no error. A reply counts for the link of its call.
func (n *Network) Bytes() map[Link]uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	byteCounts := make(map[Link]uint64, len(n.bytes))
	for link, count := range n.bytes {
		byteCounts[link] = count
	}
	return byteCounts
}

// Calls returns the number of calls that found a receiver.
func (n *Network) Calls() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls
}

// Endpoint is the access of the node at one address to the network.
type Endpoint struct {
	network *Network
	addr    string
}

var (
	_ peer.Client    = (*Endpoint)(nil)
	_ peer.Registrar = (*Endpoint)(nil)
)

// At returns the endpoint of the node at addr.
func (n *Network) At(addr string) *Endpoint {
	return &Endpoint{network: n, addr: addr}
}

// RegisterName implements peer.Registrar. A later receiver of the same name
// replaces the earlier one.
func (e *Endpoint) RegisterName(name string, receiver any) error {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	services := e.network.receivers[e.addr]
	if services == nil {
		services = map[string]reflect.Value{}
		e.network.receivers[e.addr] = services
	}
	services[name] = reflect.ValueOf(receiver)
	return nil
}

// Call implements peer.Client. Arguments and replies are copied, as on a network.
func (e *Endpoint) Call(ctx context.Context, addr, method string, args, reply proto.Message) error {
	if err := e.transmit(ctx, e.addr, addr); err != nil {
		return err
	}
	handler, err := e.network.findMethod(addr, method)
	if err != nil {
		return err
	}
	handlerReply := reply.ProtoReflect().New().Interface()
	results := handler.Call([]reflect.Value{reflect.ValueOf(proto.Clone(args)), reflect.ValueOf(handlerReply)})
	if err, failed := results[0].Interface().(error); failed {
		return err
	}
	e.network.countBytes(Link{From: e.addr, To: addr}, proto.Size(args)+proto.Size(handlerReply))
	if err := e.transmit(ctx, addr, e.addr); err != nil {
		return err
	}
	proto.Merge(reply, proto.Clone(handlerReply))
	return nil
}

// transmit waits for the delay of a link. If the link is partitioned or ctx ends first,
// it returns an error of kind timeout when ctx ends.
func (e *Endpoint) transmit(ctx context.Context, from, to string) error {
	e.network.mu.Lock()
	delay, isPartitioned := e.network.Delay, e.network.isPartitioned
	e.network.mu.Unlock()
	if isPartitioned != nil && isPartitioned(from, to) {
		<-ctx.Done()
		return errkind.Wrap(pb.ErrorKind_ERROR_KIND_TIMEOUT, ctx.Err(), "call from %s to %s", from, to)
	}
	if delay == nil {
		return nil
	}
	timer := time.NewTimer(delay(from, to))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return errkind.Wrap(pb.ErrorKind_ERROR_KIND_TIMEOUT, ctx.Err(), "call from %s to %s", from, to)
	case <-timer.C:
		return nil
	}
}

func (n *Network) findMethod(addr, method string) (reflect.Value, error) {
	service, name, _ := strings.Cut(method, ".")
	n.mu.Lock()
	defer n.mu.Unlock()
	receiver, ok := n.receivers[addr][service]
	if !ok {
		return reflect.Value{}, errkind.New(pb.ErrorKind_ERROR_KIND_NO_SERVER, "no %s at %s", service, addr)
	}
	n.calls++
	return receiver.MethodByName(name), nil
}

func (n *Network) countBytes(link Link, size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes[link] += uint64(size)
}

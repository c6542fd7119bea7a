package loadnews

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/egretfield/egretfield/internal/pb"
)

// Options are the parts that a Node works with.
type Options struct {
	// Region of this node.
	Region string
	// SharedKey proves that datagrams come from the fleet.
	SharedKey []byte
	// Address to listen on, host:port; the others' are those of their peers.
	Address string
	// Report returns the load of this node's backend server; nil: there is none.
	Report func() *pb.LoadReport
	// Peers returns the nodes that may be told.
	Peers func() []Peer
	// Observe takes the load of another node's backend server.
	Observe func(*pb.LoadReport)
	// Logger gets a line when datagrams can't be sent and when they can again.
	Logger *zap.Logger
}

// Node tells its load and listens to that of others. All methods are safe for
// concurrent use.
type Node struct {
	options Options
	codec   codec
	socket  *net.UDPConn
	foreign atomic.Int64
	failing bool
}

// New opens the node's socket. Run starts it.
func New(options Options) (*Node, error) {
	address, err := net.ResolveUDPAddr("udp", options.Address)
	if err != nil {
		return nil, eris.Wrap(err, "load news")
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, eris.Wrap(err, "load news")
	}
	return &Node{options: options, codec: newCodec(options.SharedKey), socket: socket}, nil
}

// Close closes the socket.
func (n *Node) Close() { _ = n.socket.Close() }

// Foreign is the number of datagrams that weren't from the fleet.
func (n *Node) Foreign() int64 { return n.foreign.Load() }

// Listen takes news until the socket is closed.
func (n *Node) Listen() error {
	buffer := make([]byte, maxDatagram)
	for {
		size, _, err := n.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			continue // a datagram that couldn't be delivered comes back as an error
		}
		report, err := n.codec.decode(buffer[:size])
		if err != nil {
			n.foreign.Add(1)
			continue
		}
		n.options.Observe(report)
	}
}

// Tell tells this node's load until ctx ends.
func (n *Node) Tell(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	plan := &schedule{region: n.options.Region}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		report := n.options.Report()
		if report != nil && plan.due(time.Now(), report) {
			n.noteSent(n.send(report, plan.targets(n.options.Peers())))
		}
	}
}

// send sends a report to the addresses and returns the last error.
func (n *Node) send(report *pb.LoadReport, addresses []string) error {
	datagram, err := n.codec.encode(report)
	if err != nil {
		return err
	}
	for _, text := range addresses {
		address, parseErr := netip.ParseAddrPort(text)
		if parseErr != nil {
			err = parseErr
			continue
		}
		if _, sendErr := n.socket.WriteToUDPAddrPort(datagram, address); sendErr != nil {
			err = sendErr
		}
	}
	return err
}

// noteSent logs the first failure and the first success after it.
func (n *Node) noteSent(err error) {
	switch {
	case err != nil && !n.failing:
		n.options.Logger.Warn("load news not sent", zap.Error(err))
	case err == nil && n.failing:
		n.options.Logger.Info("load news sent again")
	}
	n.failing = err != nil
}

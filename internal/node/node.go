// Package node puts the parts of egretnode together: the entry for callers, the
// gate of its own backend server, membership, configuration and keys.
package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/egretfield/egretfield/internal/announce"
	"github.com/egretfield/egretfield/internal/budget"
	"github.com/egretfield/egretfield/internal/config"
	"github.com/egretfield/egretfield/internal/configlog"
	"github.com/egretfield/egretfield/internal/delay"
	"github.com/egretfield/egretfield/internal/entry"
	"github.com/egretfield/egretfield/internal/gate"
	"github.com/egretfield/egretfield/internal/member"
	"github.com/egretfield/egretfield/internal/offer"
	"github.com/egretfield/egretfield/internal/once"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/peer"
	"github.com/egretfield/egretfield/internal/platformlog"
	"github.com/egretfield/egretfield/internal/quarantine"
	"github.com/egretfield/egretfield/internal/settings"
	"github.com/egretfield/egretfield/internal/telemetry"
	"github.com/egretfield/egretfield/internal/version"
	"github.com/egretfield/egretfield/internal/wire"
)

const (
	// handoverTimeout bounds the handover of keys at a stop.
	handoverTimeout = 10 * time.Second
	// readHeaderTimeout bounds the arrival of a request's headers.
	readHeaderTimeout = 5 * time.Second
	// failedStop bounds the end of the servers after one of them failed.
	failedStop = 10 * time.Second
	// idleTimeout closes connections of callers and nodes without requests.
	idleTimeout = 120 * time.Second
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 32 << 10
)

// Options are the parts that a node is given.
type Options struct {
	Settings *pb.NodeSettings
	Logger   *zap.Logger
	Level    zap.AtomicLevel
	Metrics  *telemetry.Metrics
	// Platform is the adapter of the platform that the node runs on; nil: the
	// node uses the interfaces of egretfield's own.
	Platform Platform
}

// Platform translates between egretfield and the platform that it runs on. It
// decides nothing.
type Platform interface {
	// Log reaches the platform's store.
	Log() platformlog.Log
	// Headers are the names that callers and backend servers use.
	Headers() *wire.Headers
	// AnnounceHandler serves the heartbeats of the backend server beside the node.
	AnnounceHandler(receiver *announce.Receiver, logger *zap.Logger) http.Handler
	// ReadyHandler serves the platform's question whether the node takes callers.
	ReadyHandler(ready func() bool) http.Handler
	// Close ends the connections to the store.
	Close()
}

// Node is one running egretnode.
type Node struct {
	settings *pb.NodeSettings
	logger   *zap.Logger
	started  time.Time
	sockets  *sockets
	level    zap.AtomicLevel

	log      platformlog.Log
	closeLog func()
	platform Platform
	client   *peer.Caller
	control  *peer.Server
	limiter  *budget.Limiter
	members  *member.List
	follower *configlog.Follower
	snapshot *configlog.Snapshotter
	keeper   *once.Manager
	services *services
	entry    *entry.Handler
	gate     *gate.Gate
	suspects *quarantine.Table
	offers   *offer.Exchange
	receiver *announce.Receiver
	drain    *drainer

	callerHTTP, gateHTTP, opsHTTP, announceHTTP *http.Server
	// readyHTTP is nil without a platform.
	readyHTTP *http.Server

	// stopping: the node leaves the fleet.
	stopping atomic.Bool
	// met is closed once the node has a configuration and has met the fleet.
	met chan struct{}
	// stopBy is when a stop must be over.
	stopBy time.Time

	rebuild sync.Mutex
	// stale says whether the balancers lack the last configuration.
	stale bool
}

// New opens the node's sockets and makes its parts. Run starts them.
func New(options Options) (*Node, error) {
	settings.Fill(options.Settings)
	n := &Node{settings: options.Settings, started: time.Now(), platform: options.Platform, level: options.Level}
	n.met = make(chan struct{})
	n.logger = telemetry.WithPosition(options.Logger, telemetry.Position{
		ConfigOffset: n.configOffset,
		Incarnation:  n.incarnation,
	})
	var err error
	if n.sockets, err = openSockets(options.Settings); err != nil {
		return nil, err
	}
	steps := []func(Options) error{
		n.makeControl, n.makeMembers, n.makeConfiguration, n.makeKeeper, n.makePath, n.register, n.observe, n.makeServers,
	}
	for _, step := range steps {
		if err := step(options); err != nil {
			n.sockets.close()
			return nil, err
		}
	}
	return n, nil
}

// configOffset is the offset of the last record in force on this node.
func (n *Node) configOffset() int64 {
	if n.follower == nil {
		return 0
	}
	return n.follower.Current().GetApplied()
}

// incarnation is this node's own incarnation.
func (n *Node) incarnation() uint64 {
	if n.members == nil {
		return 0
	}
	return n.members.Self().GetIncarnation()
}

// announced takes a change of the backend server beside this node.
func (n *Node) announced(change announce.Change) {
	server := change.Server
	n.logger.Info("backend server", zap.String("service", server.GetService()),
		zap.String("address", server.GetAddress()), zap.Bool("leaving", change.Leaving))
	if server == nil {
		n.gate.SetServer(nil)
		n.members.SetServer(nil)
		return
	}
	n.drain.setServerLeaving(change.Leaving)
	if change.Leaving {
		return
	}
	n.gate.SetServer(&gate.Server{
		Service:     server.GetService(),
		ID:          server.GetServerId(),
		Address:     server.GetAddress(),
		Slots:       int(server.GetSlots()),
		Connections: int(server.GetConnections()),
	})
	n.members.SetServer(server)
	n.configureGate(n.follower.Current(), server.GetService())
}

// serverDown takes the backend server out of the choice of every node once it was
// found dead. Its next announcement brings it back.
func (n *Node) serverDown() {
	n.receiver.Forget()
}

// configureGate applies what is configured for the backend server's service to the
// gate.
func (n *Node) configureGate(state *pb.ConfigState, service string) {
	if state != nil {
		n.gate.SetQueuePercent(config.PolicyOf(state, service).GetQueuePercent())
		n.gate.SetHealthPath(config.HealthPathOf(state.GetConfig(), service))
	}
}

// peerAddresses are the control addresses of the other live nodes, or the seeds.
func (n *Node) peerAddresses() []string {
	own := n.sockets.control.Addr().String()
	var addresses []string
	for _, m := range n.members.View().Members {
		if isLive(m) && m.GetControlAddress() != own {
			addresses = append(addresses, m.GetControlAddress())
		}
	}
	if len(addresses) == 0 {
		return n.settings.GetSeeds()
	}
	return addresses
}

// refresh gives the balancers, the entry and the gate the present configuration
// and members.
func (n *Node) refresh() {
	n.rebuild.Lock()
	defer n.rebuild.Unlock()
	state := n.follower.Current()
	if state == nil {
		return
	}
	n.entry.ShareRetries()
	err := n.services.update(state, n.members.View())
	if err != nil && !n.stale {
		n.logger.Error("balancers can't follow the configuration", zap.Error(err))
	}
	n.stale = err != nil
}

// apply puts a configuration in force on this node.
func (n *Node) apply(state *pb.ConfigState) {
	n.refresh()
	n.entry.SetRoutes(entry.NewRoutes(state.GetConfig(), state.GetPreset()))
	n.limiter.SetLimits(budget.LimitsOf(config.BudgetOf(state)))
	n.configureGate(state, n.members.Self().GetService())
	n.drain.setOperator(isDraining(state, n.settings.GetInstance()))
}

// isDraining says whether operators are draining the instance.
func isDraining(state *pb.ConfigState, instance string) bool {
	for _, draining := range state.GetDraining() {
		if draining == instance {
			return true
		}
	}
	return false
}

// Run runs the node until ctx ends, then leaves the fleet without cutting off a
// request: it drains, hands its keys over and tells the other nodes.
func (n *Node) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, background := errgroup.WithContext(background)
	n.logger.Info("started", zap.String("version", version.Version), zap.String("instance", n.settings.GetInstance()),
		zap.String("region", n.settings.GetRegion()), zap.String("data_centre", n.settings.GetDataCentre()),
		zap.Any("addresses", n.Addresses()))
	n.startParts(background, group)
	n.startServers(group)
	select {
	case <-ctx.Done():
		n.leave()
	case <-background.Done():
		n.stopBy = time.Now().Add(failedStop)
	}
	cancel()
	n.stopServers()
	n.logger.Info("stopped", zap.Duration("ran", time.Since(n.started)))
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// startParts starts everything that runs beside the servers.
func (n *Node) startParts(ctx context.Context, group *errgroup.Group) {
	n.members.Start()
	changed, _ := n.members.Watch()
	n.follower.Subscribe(n.apply)
	group.Go(func() error { return n.follower.Run(ctx) })
	group.Go(func() error { n.awaitFleet(ctx); return nil })
	if n.snapshot != nil {
		group.Go(func() error { return n.snapshot.Run(ctx) })
	}
	if n.keeper != nil {
		group.Go(func() error { n.keeper.Run(ctx); return nil })
	}
	group.Go(func() error { n.receiver.Run(ctx); return nil })
	group.Go(func() error { n.drain.run(ctx); return nil })
	group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-changed:
				n.refresh()
			}
		}
	})
}

// meetPoll is how often a node that starts looks whether it has met the fleet.
const meetPoll = 10 * time.Millisecond

// awaitFleet closes met once the node knows what it needs to serve callers.
func (n *Node) awaitFleet(ctx context.Context) {
	for n.follower.Current() == nil || !n.members.Joined() {
		if !delay.Sleep(ctx, meetPoll) {
			return
		}
	}
	n.refresh()
	close(n.met)
}

// startServers serves on every socket.
func (n *Node) startServers(group *errgroup.Group) {
	group.Go(func() error { return n.control.Serve(n.sockets.control) })
	group.Go(n.offers.Serve)
	for server, socket := range n.httpServers() {
		group.Go(func() error {
			err := server.Serve(socket)
			if errors.Is(err, http.ErrServerClosed) {
				return nil
			}
			return eris.Wrap(err, "serve")
		})
	}
}

// httpServers pairs each HTTP server with its socket.
func (n *Node) httpServers() map[*http.Server]net.Listener {
	servers := map[*http.Server]net.Listener{
		n.callerHTTP:   wire.Listen(n.sockets.callerTLS),
		n.gateHTTP:     n.sockets.gate,
		n.opsHTTP:      n.sockets.ops,
		n.announceHTTP: n.sockets.announce,
	}
	if n.readyHTTP != nil {
		servers[n.readyHTTP] = n.sockets.ready
	}
	return servers
}

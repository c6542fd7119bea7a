// Package node assembles egretnode, the load balancer's sidecar of a backend server, from
// its parts: the entry (the reverse proxy for callers), the gate (the proxy in front of
// the backend server), membership, configuration and idempotency keys.
package node

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/egretfield/egretfield/internal/admission"
	"github.com/egretfield/egretfield/internal/announce"
	"github.com/egretfield/egretfield/internal/balance"
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
	"github.com/egretfield/egretfield/internal/pipeline"
	"github.com/egretfield/egretfield/internal/platformlog"
	"github.com/egretfield/egretfield/internal/quarantine"
	"github.com/egretfield/egretfield/internal/quota"
	"github.com/egretfield/egretfield/internal/settings"
	"github.com/egretfield/egretfield/internal/telemetry"
	"github.com/egretfield/egretfield/internal/version"
	"github.com/egretfield/egretfield/internal/wire"
)

const (
	// handoverTimeout limits the handover of keys when the node stops.
	handoverTimeout = 10 * time.Second
	// readHeaderTimeout limits the time that a request's headers may take to arrive.
	readHeaderTimeout = 5 * time.Second
	// failedStopTimeout limits the shutdown of the servers after one of them failed.
	failedStopTimeout = 10 * time.Second
	// idleTimeout is how long a connection without requests stays open.
	idleTimeout = 120 * time.Second
	// maxHeaderBytes limits the size of a request's headers.
	maxHeaderBytes = 32 << 10
)

// Options holds the settings of a node and the parts that its program provides.
type Options struct {
	Settings *pb.NodeSettings
	Logger   *zap.Logger
	Level    zap.AtomicLevel
	Metrics  *telemetry.Metrics
	// Platform adapts the node to the platform that it runs on; nil: the node uses
	// egretfield's own interfaces.
	Platform Platform
}

// Platform translates between egretfield and the platform that it runs on. It makes no
// decisions.
type Platform interface {
	// Log returns a log that is kept in the platform's store.
	Log() platformlog.Log
	// Headers returns the header names that callers and backend servers use.
	Headers() *wire.Headers
	// AnnounceHandler serves the heartbeats of the backend server beside the node.
	AnnounceHandler(receiver *announce.Receiver, logger *zap.Logger) http.Handler
	// ReadyHandler serves the platform's check whether the node accepts callers.
	ReadyHandler(ready func() bool) http.Handler
	// Close closes the connections to the store.
	Close()
}

// Node is an instance of egretnode.
type Node struct {
	settings *pb.NodeSettings
	logger   *zap.Logger
	started  time.Time
	sockets  *sockets
	level    zap.AtomicLevel

	log             platformlog.Log
	closeLog        func()
	platform        Platform
	controlClient   *peer.TCPClient
	controlServer   *peer.Server
	limiter         *budget.Limiter
	members         *member.List
	follower        *configlog.Follower
	snapshotter     *configlog.Snapshotter
	keeper          *once.Manager
	balancers       *balancers
	entry           *entry.Handler
	gate            *gate.Gate
	quarantineTable *quarantine.Table
	offers          *offer.Exchange
	quota           *quota.Manager
	quotaViews      quotaViews
	receiver        *announce.Receiver
	drain           *drainer

	callerHTTP                      *pipeline.Server
	gateHTTP, opsHTTP, announceHTTP *http.Server
	// readyHTTP is nil without a platform.
	readyHTTP *http.Server

	// stopping is set once the node has begun to leave the fleet.
	stopping atomic.Bool
	// startupDone is closed once the node has a configuration and has joined the fleet.
	startupDone chan struct{}
	// stopDeadline is when all servers and clients must be closed.
	stopDeadline time.Time

	// refreshMu serialises refresh; it guards balancersStale.
	refreshMu sync.Mutex
	// balancersStale reports whether the last update of the balancers failed.
	balancersStale bool
}

// New opens the node's sockets and creates its parts. Run starts them.
func New(options Options) (*Node, error) {
	settings.FillDefaults(options.Settings)
	n := &Node{settings: options.Settings, started: time.Now(), platform: options.Platform, level: options.Level}
	n.startupDone = make(chan struct{})
	n.logger = telemetry.WithNodeFields(options.Logger, telemetry.NodeFields{
		ConfigOffset: n.configOffset,
		Incarnation:  n.incarnation,
	})
	var err error
	if n.sockets, err = openSockets(options.Settings); err != nil {
		return nil, err
	}
	steps := []func(Options) error{
		n.makeControl, n.makeMembers, n.makeConfigFollower, n.makeKeeper, n.makeRequestPath, n.registerRPC, n.observe, n.makeHTTPServers,
	}
	for _, step := range steps {
		if err := step(options); err != nil {
			n.sockets.close()
			return nil, err
		}
	}
	return n, nil
}

// configOffset returns the offset of the last configuration record in force on this
// node.
func (n *Node) configOffset() int64 {
	if n.follower == nil {
		return 0
	}
	return n.follower.Current().GetApplied()
}

// incarnation returns this node's own incarnation.
func (n *Node) incarnation() uint64 {
	if n.members == nil {
		return 0
	}
	return n.members.Self().GetIncarnation()
}

// onAnnouncement applies a change of this node's backend server to the gate, the member
// list and the drain. Without a server in change, the node has none any more.
func (n *Node) onAnnouncement(change announce.Change) {
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
	n.configureGate(n.follower.Current(), server.GetService()) // before the first request
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

// departureTimeout limits how long the acknowledgement of a deregistration waits until it
// is recorded.
const departureTimeout = 300 * time.Millisecond

// recordDepartures appends the departures of backend servers to the log, so that a late
// heartbeat doesn't put one in use after a restart of the node.
func (n *Node) recordDepartures(departures []*pb.Departure) {
	ctx, cancel := context.WithTimeout(context.Background(), departureTimeout)
	defer cancel()
	if err := n.members.RecordDepartures(ctx, departures); err != nil {
		n.logger.Warn("departure of the backend server not recorded: a restart of the node forgets it", zap.Error(err))
	}
}

// onServerDown is called when the backend server was found dead. It forgets the server,
// so that no node chooses it until its next announcement.
func (n *Node) onServerDown() {
	n.receiver.Forget()
}

// configureGate applies the configuration of the backend server's service to the gate.
func (n *Node) configureGate(state *pb.ConfigState, service string) {
	if state != nil {
		policy := config.PolicyOf(state, service)
		n.gate.SetQueuePercent(policy.GetQueuePercent())
		n.gate.SetPromisedPercent(policy.GetPromisedPercent())
		n.gate.SetHealthPath(config.HealthPathOf(state.GetConfig(), service))
		n.gate.SetColdBounds(n.coldBounds(state.GetConfig(), service))
	}
}

// coldBounds returns the limits of a service's servers while they are cold.
func (n *Node) coldBounds(c *pb.Config, service string) admission.ColdBounds {
	coldTime, perSecond := config.ColdServersOf(c, service)
	settings := n.settings.GetPlatform().GetColdServers()
	return admission.ColdBounds{
		PerSecond:   perSecond,
		MaxInSecond: perSecond*max(settings.GetOvershoot(), 1) + settings.GetSlack(),
		ColdTime:    coldTime,
	}
}

// peerAddresses returns the control addresses of the other live nodes, or the seeds if
// none is known.
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

// refresh updates the entry's retry shares and the balancers from the current
// configuration and members.
func (n *Node) refresh() {
	n.refreshMu.Lock()
	defer n.refreshMu.Unlock()
	state := n.follower.Current()
	if state == nil {
		return
	}
	n.entry.UpdateRetryShares()
	err := n.balancers.update(state, n.members.View())
	if err != nil && !n.balancersStale {
		n.logger.Error("could not apply the configuration to the balancers", zap.Error(err))
	}
	n.balancersStale = err != nil
}

// apply puts a configuration in force on this node.
func (n *Node) apply(state *pb.ConfigState) {
	n.refresh()
	routes := entry.NewRoutesOfState(state).AtVersion(state.GetVersion())
	n.gate.SetKeys(routes.Keys())
	n.quota.SetCaps(state.GetConfig().GetOrganisations())
	n.entry.SetRoutes(routes)
	n.limiter.SetLimits(budget.LimitsOf(config.BudgetOf(state)))
	n.configureGate(state, cmp.Or(n.members.Self().GetService(), n.settings.GetPlatform().GetService()))
	n.gate.SetRegionRules(balance.NewRegionRules(state.GetConfig(), state.GetVersion()))
	n.drain.setDrainedByOperator(isDraining(state, n.settings.GetInstance()))
	// The other nodes leave out the data centre on their own; the member list isn't told.
	n.gate.SetEvacuated(slices.Contains(configlog.Evacuated(state), n.settings.GetDataCentre()))
}

// isDraining reports whether operators are draining the instance.
func isDraining(state *pb.ConfigState, instance string) bool {
	for _, draining := range state.GetDraining() {
		if draining == instance {
			return true
		}
	}
	return false
}

// Run runs the node until ctx ends. It then leaves the fleet gracefully: it drains, lets
// the requests in flight finish, hands its keys over and tells the other nodes.
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
		n.stopDeadline = time.Now().Add(failedStopTimeout)
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

// startParts starts everything but the servers.
func (n *Node) startParts(ctx context.Context, group *errgroup.Group) {
	n.members.Start()
	changed, _ := n.members.Watch()
	n.follower.Subscribe(n.apply)
	group.Go(func() error { return n.follower.Run(ctx) })
	group.Go(func() error { n.awaitStartup(ctx); return nil })
	if n.snapshotter != nil {
		group.Go(func() error { return n.snapshotter.Run(ctx) })
	}
	if n.keeper != nil {
		group.Go(func() error { n.keeper.Run(ctx); return nil })
	}
	group.Go(func() error { n.receiver.Run(ctx); return nil })
	group.Go(func() error { n.drain.run(ctx); return nil })
	group.Go(func() error { n.quota.Run(ctx); return nil })
	group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-changed:
				n.refresh()
				n.quota.Refresh()
			}
		}
	})
}

// startupPoll is the interval at which a starting node checks whether it can serve.
const startupPoll = 10 * time.Millisecond

// awaitStartup closes startupDone once the node has what it needs to serve callers.
func (n *Node) awaitStartup(ctx context.Context) {
	for n.follower.Current() == nil || !n.members.Joined() {
		if !delay.Sleep(ctx, startupPoll) {
			return
		}
	}
	n.refresh()
	close(n.startupDone)
}

// startServers starts a server on every socket.
func (n *Node) startServers(group *errgroup.Group) {
	group.Go(func() error { return n.controlServer.Serve(n.sockets.control) })
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

// httpServer is what the node needs of its HTTP servers.
type httpServer interface {
	Serve(l net.Listener) error
	Shutdown(ctx context.Context) error
	Close() error
}

// httpServers pairs each HTTP server with its socket.
func (n *Node) httpServers() map[httpServer]net.Listener {
	servers := map[httpServer]net.Listener{
		n.callerHTTP:   n.sockets.callerTLS,
		n.gateHTTP:     n.sockets.gate,
		n.opsHTTP:      n.sockets.ops,
		n.announceHTTP: n.sockets.announce,
	}
	if n.readyHTTP != nil {
		servers[n.readyHTTP] = n.sockets.ready
	}
	return servers
}

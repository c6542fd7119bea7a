package node

import (
	"cmp"
	"time"

	"github.com/egretfield/egretfield/internal/announce"
	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/budget"
	"github.com/egretfield/egretfield/internal/certs"
	"github.com/egretfield/egretfield/internal/config"
	"github.com/egretfield/egretfield/internal/configlog"
	"github.com/egretfield/egretfield/internal/entry"
	"github.com/egretfield/egretfield/internal/gate"
	"github.com/egretfield/egretfield/internal/member"
	"github.com/egretfield/egretfield/internal/offer"
	"github.com/egretfield/egretfield/internal/once"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/peer"
	"github.com/egretfield/egretfield/internal/platformlog/httplog"
	"github.com/egretfield/egretfield/internal/quarantine"
	"github.com/egretfield/egretfield/internal/settings"
	"github.com/egretfield/egretfield/internal/wire"
)

// platformConfigReadWait is how long a read of the configuration waits for a change in
// a platform's store, where each call is billed. The store's own limit is 30 s.
const platformConfigReadWait = 25 * time.Second

// healthProbeBytes is the approximate size of a request to a backend server's health
// endpoint and its response.
const healthProbeBytes = 300

// keeperSnapshotsPerRetention is the number of snapshots of the keeper stream that are
// written within the log's retention period.
const keeperSnapshotsPerRetention = 8

// makeControl creates the control client and server, the limiter of traffic for load
// measurement and gossip, and the client of the log.
func (n *Node) makeControl(options Options) error {
	key := []byte(n.settings.GetSharedKey())
	clientTLS, serverTLS, err := certs.PeerConfigs(n.settings.GetPeerTls())
	if err != nil {
		return err
	}
	if n.controlClient, err = peer.NewClient(key, peer.Options{TLS: clientTLS}); err != nil {
		return err
	}
	if n.controlServer, err = peer.NewServer(key, peer.Options{TLS: serverTLS, Logger: n.logger.Named("control")}); err != nil {
		return err
	}
	n.limiter = budget.NewWithCredit(budget.LimitsOf(nil), budget.DefaultStartCredit)
	return n.makeLog(options)
}

// makeLog creates the client of the platform's log.
func (n *Node) makeLog(options Options) error {
	if n.platform != nil {
		n.log, n.closeLog = n.platform.Log(), n.platform.Close
		return nil
	}
	client, err := httplog.New(httplog.Options{
		BaseURL:    n.settings.GetLogUrl(),
		Client:     n.settings.GetInstance(),
		DataCentre: n.settings.GetDataCentre(),
		Meter:      options.Metrics.Meter(),
	})
	if err != nil {
		return err
	}
	n.log, n.closeLog = client, client.Close
	return nil
}

// configReadWait returns how long a read of the configuration waits for a change, and
// also how long a node that isn't a reader goes without confirmation that it has the
// newest configuration before it reads the log itself. Zero: the follower's defaults.
func (n *Node) configReadWait() time.Duration {
	if n.platform != nil {
		return platformConfigReadWait
	}
	return 0
}

// headers returns the header names that callers and backend servers use; nil: the
// defaults.
func (n *Node) headers() *wire.Headers {
	if n.platform != nil {
		return n.platform.Headers()
	}
	return nil
}

// makeMembers creates the member list.
func (n *Node) makeMembers(options Options) error {
	var err error
	n.members, err = member.New(member.Options{
		Member: &pb.Member{
			Instance:       n.settings.GetInstance(),
			Region:         n.settings.GetRegion(),
			DataCentre:     n.settings.GetDataCentre(),
			CallerAddress:  n.sockets.caller.Addr().String(),
			GateAddress:    cmp.Or(n.settings.GetGateAdvertiseAddress(), n.sockets.gate.Addr().String()),
			ControlAddress: n.sockets.control.Addr().String(),
		},
		ControlClient: n.controlClient,
		Log:           n.log,
		Seeds:         n.settings.GetSeeds(),
		Budget:        n.limiter,
		Logger:        n.logger.Named("members"),
		OnDepartures:  func(departures []*pb.Departure) { n.receiver.Restore(time.Now(), departures) },
	})
	return err
}

// makeConfigFollower creates the follower of the configuration stream and, without a
// platform, the writer of its snapshots.
func (n *Node) makeConfigFollower(options Options) error {
	n.follower = configlog.NewFollower(configlog.Options{
		Name:          n.settings.GetInstance(),
		Log:           n.log,
		ControlClient: n.controlClient,
		Addresses:     n.peerAddresses,
		IsReader:      n.isConfigReader,
		ReadWait:      n.configReadWait(),
		StaleAfter:    n.configReadWait(),
		OnNewEra:      func() { n.members.AppendJoin() },
		Logger:        n.logger.Named("config"),
		Meter:         options.Metrics.Meter(),
	})
	if n.platform != nil {
		return nil // the store never deletes the newest configuration
	}
	retention := time.Duration(n.settings.GetLogRetentionS()) * time.Second
	n.snapshotter = configlog.NewSnapshotter(n.settings.GetInstance(), n.log, n.follower, retention)
	return nil
}

// makeKeeper creates the keeper of idempotency keys, unless the settings disable keys.
func (n *Node) makeKeeper(options Options) error {
	if n.settings.GetWithoutKeys() {
		return nil
	}
	var err error
	n.keeper, err = once.NewManager(once.Options{
		Log:              n.log,
		ControlClient:    n.controlClient,
		Members:          &keeperMembers{list: n.members},
		Lease:            n.keeperLease,
		SnapshotInterval: time.Duration(n.settings.GetLogRetentionS()) * time.Second / keeperSnapshotsPerRetention,
		Logger:           n.logger.Named("keys"),
		Meter:            options.Metrics.Meter(),
	})
	return err
}

// keeperLease returns the keeper lease of the preset in force.
func (n *Node) keeperLease() time.Duration {
	return time.Duration(config.KeeperLeaseS(n.follower.Current())) * time.Second
}

// makeRequestPath creates the entry, the gate and the parts that they share, the drainer
// and the receiver of the backend server's announcements.
func (n *Node) makeRequestPath(options Options) error {
	meter := options.Metrics.Meter()
	token := wire.PeerToken([]byte(n.settings.GetSharedKey()))
	n.balancers = newBalancers(balance.Options{Region: n.settings.GetRegion(), DataCentre: n.settings.GetDataCentre()}, n.members)
	n.quarantineTable = quarantine.New(n.members, n.logger.Named("quarantine"))
	n.gate = gate.New(gate.Options{
		Instance:        n.settings.GetInstance(),
		Region:          n.settings.GetRegion(),
		Incarnation:     n.members.Self().GetIncarnation(),
		Quarantine:      n.quarantineTable,
		Meter:           meter,
		Logger:          n.logger.Named("gate"),
		PeerToken:       token,
		OnServerDown:    n.onServerDown,
		OnServerLeaving: func(serverID string) { n.receiver.SetLeaving(serverID) },
		AllowProbe:      func() bool { return n.limiter.Allow(budget.ClassProbe, healthProbeBytes) },
		// A warm server that is taken for a cold one loses most of its capacity.
		AllowUrgentProbe: func() bool { return n.limiter.Allow(budget.ClassLiveness, healthProbeBytes) },
		AwaitColdBounds:  n.settings.GetPlatform().GetColdServers() != nil,
		ClientOptions:    wire.ClientOptions{Headers: n.headers()},
	})
	n.offers = offer.New(n.sockets.offers, []byte(n.settings.GetSharedKey()), n.gate.Offer, n.limiter.AllowDatagram, n.logger.Named("offers"))
	n.makeQuota()
	entryOptions := entry.Options{
		Offers:        n.offers,
		Quota:         quotaAdapter{n.quota},
		Started:       n.startupDone,
		Service:       n.settings.GetPlatform().GetService(),
		Headers:       n.headers(),
		Instance:      n.settings.GetInstance(),
		Region:        n.settings.GetRegion(),
		Local:         n.gate,
		RunsHedged:    n.gate.RunsHedged,
		BalancerFor:   n.balancers.balancer,
		Entries:       n.liveMembers,
		ControlClient: n.controlClient,
		Quarantine:    n.quarantineTable,
		Meter:         meter,
		Logger:        n.logger.Named("entry"),
		ClientOptions: wire.ClientOptions{PeerToken: token},
	}
	if n.keeper != nil {
		entryOptions.Guard = n.keeper
	}
	n.entry = entry.New(entryOptions)
	n.drain = newDrainer(n.members, n.gate, settings.Duration(n.settings.GetDrainNotice()), n.logger.Named("drain"))
	n.receiver = announce.NewReceiver(n.onAnnouncement)
	n.receiver.OnDeparture(n.recordDepartures)
	n.receiver.OnHeartbeat(func(server *pb.Announcement) {
		n.gate.RecordHeartbeat(server.GetServerId(), time.Duration(server.GetWarmupLeftMs())*time.Millisecond)
	})
	return nil
}

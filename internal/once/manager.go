package once

import (
	"context"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/egretfield/egretfield/internal/once/shard"
	"github.com/egretfield/egretfield/internal/peer"
	"github.com/egretfield/egretfield/internal/platformlog"
)

const (
	defaultLease            = 2 * time.Minute
	defaultMaxKeys          = 16384
	defaultMaxBytes         = 8 << 20
	defaultSnapshotInterval = 10 * time.Minute
)

// Options configure a Manager. Log, ControlClient and Members are required.
type Options struct {
	Log           platformlog.Log
	ControlClient peer.Client
	Members       Members
	// Lease returns the length of a keeper's lease. Default 2 min; at most an hour.
	Lease func() time.Duration
	// MaxKeys and MaxBytes bound the keys kept by this node in total. Defaults
	// 16384 and 8 MiB.
	MaxKeys  int
	MaxBytes int
	// MaxAhead is how far a key's creation time may be ahead of this node's
	// clock. Zero: anywhere within the lease.
	MaxAhead time.Duration
	// Regions, when set, restricts the keepers to these regions while any of
	// their instances is live.
	Regions []string
	// SnapshotInterval is the age of the last snapshot at which a new one is
	// written; at most a quarter of the stream's retention. Default 10 min.
	SnapshotInterval time.Duration
	Logger           *zap.Logger
	Meter            metric.Meter
}

// Manager runs keys at most once on behalf of a node: it is the keeper of the
// shards assigned to this node and calls the keepers of the others. Run must be
// running. Safe for concurrent use.
type Manager struct {
	opts      Options
	self      Member
	session   shard.Session
	replica   *replica
	tables    *tables
	placement atomic.Pointer[placement]
	metrics   *metrics
	logger    *zap.Logger

	wake    chan struct{}
	leaving atomic.Bool
	closed  atomic.Bool

	// lastResetDue is when a reset of the stream was last due, guarded by the
	// replica's lock.
	lastResetDue time.Time

	transfers     transfers
	bindings      bindings
	registrations registrations

	// cancelling counts the Begin calls being cancelled.
	cancelling atomic.Int64
	// waiting counts the calls to keepers that wait there for running
	// operations.
	waiting atomic.Int64
	// background counts the goroutines that Run waits for.
	background sync.WaitGroup
	runContext atomic.Pointer[context.Context]
}

var _ Guard = (*Manager)(nil)

// NewManager returns a Manager with a new session.
func NewManager(opts Options) (*Manager, error) {
	if opts.Log == nil || opts.ControlClient == nil || opts.Members == nil {
		return nil, eris.New("once: Log, ControlClient and Members are required")
	}
	setDefaults(&opts)
	meters, err := newMetrics(opts.Meter)
	if err != nil {
		return nil, err
	}
	self := opts.Members.Self()
	m := &Manager{
		opts:    opts,
		self:    self,
		session: shard.Session{ID: newID(), Instance: self.Instance, Incarnation: self.Incarnation},
		replica: newReplica(opts.Log),
		tables:  newTables(opts.MaxKeys, opts.MaxBytes, opts.MaxAhead),
		metrics: meters,
		logger:  opts.Logger,
		wake:    make(chan struct{}, 1),
	}
	m.transfers.init()
	m.bindings.wake = make(chan struct{}, 1)
	m.registrations.byID = make(map[registrationID]*registration)
	m.replica.onApply = m.reconcile
	m.replica.onUnavailable = m.askPeersForState
	m.refreshPlacement()
	return m, nil
}

func setDefaults(opts *Options) {
	if opts.Lease == nil {
		opts.Lease = func() time.Duration { return defaultLease }
	}
	if opts.MaxKeys == 0 {
		opts.MaxKeys = defaultMaxKeys
	}
	if opts.MaxBytes == 0 {
		opts.MaxBytes = defaultMaxBytes
	}
	if opts.SnapshotInterval == 0 {
		opts.SnapshotInterval = defaultSnapshotInterval
	}
	if opts.Logger == nil {
		opts.Logger = zap.NewNop()
	}
}

// newID returns a random id that isn't zero.
func newID() uint64 {
	id := uuid.New()
	return binary.BigEndian.Uint64(id[:8]) | 1
}

// Register registers the receiver "Keeper" for control calls.
func (m *Manager) Register(registrar peer.Registrar) error {
	return registrar.RegisterName(rpcName, &RPC{m: m})
}

// Run follows the log, renews leases and takes over shards until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	m.runContext.Store(&ctx)
	m.opts.Members.Subscribe(m.wakeTakeover)
	m.wakeTakeover() // for changes since NewManager
	loops := []func(context.Context){
		m.replica.run, m.renewLoop, m.takeoverLoop, m.handoverLoop,
		m.incomingLoop, m.maintenanceLoop, m.witnessLoop, m.fenceLoop,
	}
	for _, loop := range loops {
		m.background.Go(func() { loop(ctx) })
	}
	<-ctx.Done()
	m.closed.Store(true)
	m.background.Wait()
}

// wakeTakeover makes takeoverLoop check the members and the intervals soon.
func (m *Manager) wakeTakeover() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// context returns the context of Run, or nil while it isn't running.
func (m *Manager) context() context.Context {
	ctx := m.runContext.Load()
	if ctx == nil || m.closed.Load() {
		return nil
	}
	return *ctx
}

// reconcile updates the bindings and tables to match the applied intervals.
func (m *Manager) reconcile() {
	m.replica.view(func(state *shard.State) {
		m.syncBindings(state)
		for _, id := range state.Owned(m.session.ID) {
			m.tables.ensure(id, state.Current(id))
		}
		m.liftLimitIfUnbound()
	})
}

// refreshPlacement recomputes the placement if the members changed.
func (m *Manager) refreshPlacement() {
	live := m.opts.Members.Live()
	old := m.placement.Load()
	switch {
	case old == nil:
		m.placement.Store(newPlacement(live, m.opts.Regions))
	case !old.matches(live):
		m.placement.Store(old.updated(live, m.opts.Regions))
	}
}

// lease returns the length of the lease in force.
func (m *Manager) lease() time.Duration {
	lease := m.opts.Lease()
	if lease <= 0 {
		return defaultLease
	}
	return min(lease, maxLease)
}

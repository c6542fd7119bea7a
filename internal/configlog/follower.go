package configlog

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/peer"
	"github.com/egretfield/egretfield/internal/platformlog"
)

// Options are the parts that a Follower works with.
type Options struct {
	// Name of the instance. Spreads timers of different nodes.
	Name string
	// Log holds the configuration stream. Required.
	Log platformlog.Log
	// Peers makes control calls to other nodes. Nil: the log only.
	Peers peer.Client
	// Addresses returns control addresses of other nodes: the known members, or
	// the seeds of the settings. Nil: none.
	Addresses func() []string
	// Direct says whether this node reads the log as soon as it changes. A node
	// that doesn't leaves that to peers, and reads the log itself once none has
	// known the end of it for a while. Nil: it does.
	Direct func() bool
	// ReadWait is how long a read of the log waits for a record. Zero: 2 s.
	ReadWait time.Duration
	// StaleAfter is how long a node that leaves the log to peers does without news
	// of its end. Zero: 4 s, which is also the least.
	StaleAfter time.Duration
	// Logger gets a line for each change of state. Nil: none.
	Logger *zap.Logger
	// Meter counts. Nil: none.
	Meter metric.Meter
}

// Follower folds the configuration stream and holds the state in force. All
// methods are safe for concurrent use.
type Follower struct {
	options Options
	logger  *zap.Logger
	metrics *metrics
	pulls   *pulls
	jitter  *jitter

	// inForce is the state that the node acts on; nil until it is ready.
	inForce atomic.Pointer[State]

	subscribers subscribers
	divergences atomic.Uint64

	mu        sync.Mutex
	folded    State
	buffer    buffer
	serving   bool
	target    int64 // offset to fold through before serving; -1: unknown
	logErr    error
	logRead   time.Time
	waiting   bool      // a read waits for a record
	atEnd     time.Time // last time that folded was known to be the log's end
	confirmed time.Time // last time that the log or a peer had nothing newer
	inSince   time.Time
	source    pb.ConfigSource
	snapshots snapshotMark
	changed   chan struct{}

	// hurry makes a node that leaves the log to peers read it now.
	hurry chan struct{}
}

// NewFollower returns a follower that does nothing until Run.
func NewFollower(options Options) *Follower {
	logger := options.Logger
	if logger == nil {
		logger = zap.NewNop()
	}
	return &Follower{
		options: options,
		logger:  logger,
		metrics: newMetrics(options.Meter),
		pulls:   newPulls(),
		jitter:  newJitter(options.Name),
		folded:  Empty(),
		target:  -1,
		logErr:  errNotRead,
		changed: make(chan struct{}),
		hurry:   make(chan struct{}, 1),
	}
}

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.followLog(ctx) })
	if f.options.Peers != nil {
		group.Go(func() error { return f.followPeers(ctx) })
	}
	return group.Wait()
}

// Current returns the state in force, or nil while the node isn't ready. It must
// not be changed.
func (f *Follower) Current() *pb.ConfigState {
	state := f.inForce.Load()
	if state == nil {
		return nil
	}
	return state.Config
}

// State returns the state folded so far, in force or not.
func (f *Follower) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.folded
}

// Digest returns how far this node has folded the stream.
func (f *Follower) Digest() *pb.ConfigDigest {
	f.mu.Lock()
	defer f.mu.Unlock()
	digest := f.folded.Digest()
	digest.AtEndAgeMs = f.atEndAgeMs(time.Now())
	return digest
}

// Ready returns nil when a configuration is in force, and otherwise an error of
// kind not ready that says why not.
func (f *Follower) Ready() error {
	if f.inForce.Load() != nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	const kind = pb.ErrorKind_ERROR_KIND_NOT_READY
	switch {
	case f.logErr != nil && f.folded.Version() == 0:
		return errkind.New(kind, "no configuration: log: %v; no peer had one", f.logErr)
	case f.logErr != nil:
		return errkind.New(kind, "configuration not confirmed: log: %v; too few peers answered", f.logErr)
	case f.folded.FoldedThrough < f.target:
		return errkind.New(kind, "reading the log: at offset %d of %d", f.folded.FoldedThrough, f.target)
	default:
		return errkind.New(kind, "no configuration is published yet")
	}
}

// Await waits until the folded state satisfies done or ctx ends. It returns the
// state last seen.
func (f *Follower) Await(ctx context.Context, done func(State) bool) (State, error) {
	for {
		f.mu.Lock()
		state, changed := f.folded, f.changed
		f.mu.Unlock()
		if done(state) {
			return state, nil
		}
		select {
		case <-ctx.Done():
			return state, ctx.Err()
		case <-changed:
		}
	}
}

// CaughtUp waits until everything is folded that the log held when Run first
// reached it. The error is the log's last one, or that of ctx.
func (f *Follower) CaughtUp(ctx context.Context) error {
	for {
		f.mu.Lock()
		reached := f.target >= 0 && f.folded.FoldedThrough >= f.target
		changed := f.changed
		f.mu.Unlock()
		if reached {
			return nil
		}
		select {
		case <-ctx.Done():
			return f.readError(ctx.Err())
		case <-changed:
		}
	}
}

// readError returns the log's last error, or other when it has none.
func (f *Follower) readError(other error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.logErr != nil {
		return f.logErr
	}
	return other
}

// Unconfirmed returns how long ago the log or a peer last said that it has
// nothing newer: the greatest age of a configuration that a node cut off or
// resumed after a pause may act on.
func (f *Follower) Unconfirmed() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.confirmed)
}

// Status describes this node's standing on the stream.
func (f *Follower) Status() *pb.ConfigStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	status := &pb.ConfigStatus{
		Digest:      f.folded.Digest(),
		Preset:      f.folded.Config.GetPreset(),
		Source:      f.source,
		LogHealthy:  f.logErr == nil,
		Divergences: f.divergences.Load(),
	}
	if !f.inSince.IsZero() {
		status.InForceSinceUnixMs = f.inSince.UnixMilli()
	}
	if !f.confirmed.IsZero() {
		status.ConfirmedUnixMs = f.confirmed.UnixMilli()
	}
	if !f.logRead.IsZero() {
		status.LogReadUnixMs = f.logRead.UnixMilli()
	}
	if f.logErr != nil {
		status.LogError = f.logErr.Error()
	}
	return status
}

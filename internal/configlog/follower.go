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

// Options configures a Follower.
type Options struct {
	// Name is the name of the instance. It also seeds the jitter of the timers.
	Name string
	// Log is the log with the configuration stream. Required.
	Log platformlog.Log
	// ControlClient makes control calls to other nodes. If nil, only the log is read.
	ControlClient peer.Client
	// Addresses returns the control addresses of other nodes: the known members, or
	// the seeds of the settings. Nil means none.
	Addresses func() []string
	// IsReader reports whether this node is a reader, that is, reads the log as soon
	// as it changes. The others get changes from their peers and read the log
	// themselves only after StaleAfter without confirmation that they are at its
	// end. Nil means that it is a reader.
	IsReader func() bool
	// ReadWait is how long a read of the log waits for a record. Zero means 2 s.
	ReadWait time.Duration
	// StaleAfter is how long a node that is no reader goes without confirmation that
	// it is at the end of the log. Values below 4 s, zero included, mean 4 s.
	StaleAfter time.Duration
	// OnNewEra is called in a goroutine of its own after the log came back from an older
	// copy. Nil means nothing.
	OnNewEra func()
	// Logger receives a line for each change of state. Nil disables logging.
	Logger *zap.Logger
	// Meter creates the metrics. Nil disables them.
	Meter metric.Meter
}

// Follower folds the configuration stream and holds the state in force. All
// methods are safe for concurrent use.
type Follower struct {
	options   Options
	logger    *zap.Logger
	metrics   *metrics
	pullState *pullState
	jitter    *jitter

	// inForce is the state that the node acts on; nil until the node is ready.
	inForce atomic.Pointer[State]

	subscribers subscribers
	divergences atomic.Uint64
	// logHasOlder is set if the newest configuration of a keyed log was last seen to be
	// older than the own one.
	logHasOlder atomic.Bool

	mu          sync.Mutex
	folded      State
	buffer      buffer
	serving     bool  // the folded state may be put in force
	target      int64 // offset to fold through before serving; -1 if unknown
	logErr      error // error of the last read of the log
	logReadAt   time.Time
	readWaiting bool      // a read is waiting for a record
	lastAtEnd   time.Time // last time folded was known to reach the end of the log
	// lastContact is when the latest question was asked that a peer answered, contactSpread
	// a random part of the wait for the next.
	lastContact   time.Time
	contactSpread time.Duration
	confirmedAt   time.Time // last time the log or a peer had nothing newer
	inForceSince  time.Time
	source        pb.ConfigSource
	lastSnapshot  snapshotInfo
	changed       chan struct{}

	// readRequested makes a node that is no reader read the log now.
	readRequested chan struct{}
}

// NewFollower returns a follower. It is idle until Run is called.
func NewFollower(options Options) *Follower {
	logger := options.Logger
	if logger == nil {
		logger = zap.NewNop()
	}
	return &Follower{
		options:       options,
		logger:        logger,
		metrics:       newMetrics(options.Meter),
		pullState:     newPullState(),
		jitter:        newJitter(options.Name),
		folded:        Empty(),
		target:        -1,
		logErr:        errNotRead,
		changed:       make(chan struct{}),
		readRequested: make(chan struct{}, 1),
	}
}

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.followLog(ctx) })
	if f.options.ControlClient != nil {
		group.Go(func() error { return f.followPeers(ctx) })
	}
	return group.Wait()
}

// Current returns the state in force, or nil while the node isn't ready. The
// caller must not modify it.
func (f *Follower) Current() *pb.ConfigState {
	state := f.inForce.Load()
	if state == nil {
		return nil
	}
	return state.Config
}

// State returns the folded state, whether or not it is in force.
func (f *Follower) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.folded
}

// Digest returns the position and the chain of the folded state and the age of the
// last confirmation that it is at the end of the log.
func (f *Follower) Digest() *pb.ConfigDigest {
	f.mu.Lock()
	defer f.mu.Unlock()
	digest := f.folded.Digest()
	digest.AtEndAgeMs = f.atEndAgeMs(time.Now())
	return digest
}

// Ready returns nil if a configuration is in force, otherwise an error of kind not
// ready with the reason.
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
// last state checked.
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

// CaughtUp waits until every record is folded that the log held when Run first
// reached it. The error is the last one of the log if there is one, otherwise that
// of ctx.
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

// readError returns the error of the last read of the log, or other if it
// succeeded.
func (f *Follower) readError(other error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.logErr != nil {
		return f.logErr
	}
	return other
}

// SinceConfirmed returns the time since the log or a peer last had nothing newer. It
// bounds the age of the configuration that a node acts on while it is cut off or
// after it resumes from a pause.
func (f *Follower) SinceConfirmed() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.confirmedAt)
}

// Status returns this node's position on the stream and the health of its sources.
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
	if !f.inForceSince.IsZero() {
		status.InForceSinceUnixMs = f.inForceSince.UnixMilli()
	}
	if !f.confirmedAt.IsZero() {
		status.ConfirmedUnixMs = f.confirmedAt.UnixMilli()
	}
	if !f.logReadAt.IsZero() {
		status.LogReadUnixMs = f.logReadAt.UnixMilli()
	}
	if f.logErr != nil {
		status.LogError = f.logErr.Error()
	}
	return status
}

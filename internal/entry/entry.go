// Package entry is the HTTP reverse proxy that callers send their requests to. It
// routes each request to a service, selects a backend server, sends the request to
// that server's gate, retries refused and failed attempts within a retry budget and
// the request's deadline, and returns the answer. An answer that can't be delivered
// completely is visibly truncated.
package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/once"
	"github.com/egretfield/egretfield/internal/peer"
	"github.com/egretfield/egretfield/internal/pipeline"
	"github.com/egretfield/egretfield/internal/quarantine"
	"github.com/egretfield/egretfield/internal/retry"
	"github.com/egretfield/egretfield/internal/wire"
)

// DefaultMaxHeldBytes limits the total size of request bodies buffered for retries.
const DefaultMaxHeldBytes = 16 << 20

// LocalGate is the gate of the node that the entry runs in.
type LocalGate interface {
	// Do runs the call on the gate's backend server or refuses it.
	Do(ctx context.Context, call *wire.Call) *wire.Answer
}

// Options configure a Handler and stay fixed for its lifetime.
type Options struct {
	Instance string
	Region   string
	// Service is the service of the backend server next to this node; empty if
	// unknown.
	Service string
	// Headers are the header names that callers use; nil means wire.DefaultHeaders.
	Headers *wire.Headers
	// Local handles requests for this instance in process; may be nil.
	Local LocalGate
	// RunsHedged reports whether the backend server next to this node runs a hedged
	// attempt; nil: it never does.
	RunsHedged func() bool
	// BalancerFor returns the balancer of a configured service, or nil if there is
	// none.
	BalancerFor func(service string) balance.Balancer
	// Entries returns the number of entries in the fleet, or zero while it is
	// unknown; nil means that this is the only entry.
	Entries func() int
	// Offers asks gates how soon they would answer; nil means that the balancers
	// decide without offers.
	Offers Offers
	// Quota enforces the usage caps of organisations; nil means that there are none.
	Quota Quota
	// Started is closed once the node can serve; earlier requests wait for it for up
	// to maxStartWait. Nil means that the node can serve from the beginning.
	Started <-chan struct{}
	// ControlClient asks gates for the state of attempts whose connection was lost; nil means
	// that their outcome stays unknown.
	ControlClient peer.Client
	// Guard decides on idempotency keys; nil means that keys are only forwarded.
	Guard once.Guard
	// Quarantine refuses requests whose fingerprint crashed backend servers; may be
	// nil.
	Quarantine *quarantine.Table
	// Meter creates the entry's metrics; nil disables them.
	Meter metric.Meter
	// Logger receives request lines and errors; nil disables logging.
	Logger *zap.Logger
	// ClientOptions overrides the limits of connections to gates.
	ClientOptions wire.ClientOptions
	// MaxHeldBytes limits the request bodies buffered for retries; 0 means
	// DefaultMaxHeldBytes.
	MaxHeldBytes int64
}

// Handler serves requests of callers. It is safe for concurrent use.
type Handler struct {
	options       Options
	logger        *zap.Logger
	ids           *wire.IDs
	client        *wire.Client
	heldBytes     atomic.Int64
	routes        atomic.Pointer[Routes]
	metrics       metrics
	requestLogger requestLogger
	recent        recentRequests

	// stop is nil unless the node is stopping.
	stop atomic.Pointer[stopTimes]
	// stopped ends at that time.
	stopped   context.Context
	endStop   context.CancelFunc
	stopTimer sync.Once
	// inProgress counts exchanges and outcome reports to keepers.
	inProgress atomic.Int64

	mu     sync.Mutex
	states map[string]*serviceState
	// organisationCounters has the counters by organisation.
	organisationCounters organisationCounters
}

// New returns a Handler that refuses requests until SetRoutes is called.
func New(options Options) *Handler {
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	if options.MaxHeldBytes == 0 {
		options.MaxHeldBytes = DefaultMaxHeldBytes
	}
	if options.Headers == nil {
		options.Headers = wire.DefaultHeaders()
	}
	options.ClientOptions.BetweenNodes = true
	h := &Handler{
		options:       options,
		logger:        options.Logger,
		ids:           wire.NewIDs(),
		client:        wire.NewClient(options.ClientOptions),
		states:        make(map[string]*serviceState),
		requestLogger: newRequestLogger(options.Logger),
	}
	h.stopped, h.endStop = context.WithCancel(context.Background())
	h.registerMetrics(options.Meter)
	return h
}

// CallerLimits returns the limits in force on what callers send. Until the first
// configuration is known, they are the widest that one may set.
func (h *Handler) CallerLimits() pipeline.Limits {
	routes := h.routes.Load()
	if routes == nil {
		return pipeline.Limits{HeaderBytes: wire.MaxHeaderBytes}
	}
	return pipeline.Limits{
		HeaderBytes:   routes.limits.headerBytes,
		HeaderTimeout: routes.limits.headerTimeout,
		IdleTimeout:   routes.limits.idleTimeout,
	}
}

// SetRoutes activates a routing snapshot. The snapshot must not be shared with
// another Handler. The state of services that stay configured is kept.
func (h *Handler) SetRoutes(routes *Routes) {
	h.mu.Lock()
	defer h.mu.Unlock()
	states := make(map[string]*serviceState, len(routes.services))
	for name, s := range routes.services {
		state := h.states[name]
		if state == nil {
			state = &serviceState{budget: retry.NewBudget(s.retryBudgetPercent)}
			state.counters.setService(name)
		}
		state.budget.SetPercent(s.retryBudgetPercent)
		s.state = state
		states[name] = state
	}
	h.states = states
	h.organisationCounters.assignLocked(routes.organisations)
	h.routes.Store(routes)
	h.shareRetriesLocked(routes)
}

// UpdateRetryShares recomputes this entry's share of the fleet's retry slack. It must be
// called when the number of entries changes: an entry that knows only itself would
// use the slack of the whole fleet.
func (h *Handler) UpdateRetryShares() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if routes := h.routes.Load(); routes != nil {
		h.shareRetriesLocked(routes)
	}
}

func (h *Handler) shareRetriesLocked(routes *Routes) {
	entries := 1
	if h.options.Entries != nil {
		entries = h.options.Entries()
	}
	for _, s := range routes.services {
		retrySlack := 0.0
		if entries > 0 {
			retrySlack = s.retrySlack / float64(entries)
		}
		s.state.budget.SetWindow(s.retryWindow, retrySlack)
		s.state.hedging.SetLimits(s.hedgePercent, s.retrySlack, entries)
	}
}

// stopTimes are the times of a stop of the node.
type stopTimes struct {
	// late is the time from which requests that may last longer than the stop are refused.
	late time.Time
	// by is the time by which every request must be answered.
	by time.Time
}

// SetStopping makes every answer close the caller's connection. Later requests are
// still served, with a deadline no later than the time by: an answer in time, even a
// refusal, is more useful to a caller than a broken connection. At that time the earlier
// requests are answered, too. From the time late on, a request whose own deadline is later
// than by is refused: callers have been told to go elsewhere.
func (h *Handler) SetStopping(late, by time.Time) {
	h.stop.Store(&stopTimes{late: late, by: by})
	h.stopTimer.Do(func() { time.AfterFunc(time.Until(by), h.endStop) })
}

// Close closes the idle connections to gates.
func (h *Handler) Close() {
	h.client.Close()
}

// Running returns the number of requests in progress plus outcome reports to keepers
// that are still being sent. A stopping node waits until it is zero.
func (h *Handler) Running() int64 {
	return h.inProgress.Load()
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inProgress.Add(1)
	x := &exchange{handler: h, w: w, r: r}
	defer x.releaseResources()
	if refusal := x.prepare(); refusal != nil {
		x.writeAnswer(refusal)
	} else {
		x.serve()
	}
	x.lingerOnBody()
}

// usesGuard reports whether the guard decides on the request's idempotency key.
func (h *Handler) usesGuard(x *exchange) bool {
	return h.options.Guard != nil && !x.call.Idempotent && x.key != ""
}

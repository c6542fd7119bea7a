// Package entry takes requests from callers, chooses a backend server for each
// and returns its answer, whole or visibly cut.
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
	"github.com/egretfield/egretfield/internal/quarantine"
	"github.com/egretfield/egretfield/internal/retry"
	"github.com/egretfield/egretfield/internal/wire"
)

// DefaultMaxHeldBytes bounds the request bodies held for retries, bytes.
const DefaultMaxHeldBytes = 16 << 20

// LocalGate is the gate of the node that the entry runs in.
type LocalGate interface {
	// Do runs a call at the gate's backend server, or refuses it.
	Do(ctx context.Context, call *wire.Call) *wire.Answer
}

// Options are the fixed parts of a Handler.
type Options struct {
	Instance string
	Region   string
	// Service is that of the backend server beside the node; empty: unknown.
	Service string
	// Headers are those that callers use; nil: wire.DefaultHeaders.
	Headers *wire.Headers
	// Local serves picks of this instance without a connection; may be nil.
	Local LocalGate
	// BalancerFor returns the balancer of a configured service, or nil.
	BalancerFor func(service string) balance.Balancer
	// Entries returns the number of entries in the fleet, zero while it isn't known;
	// nil: this is the only one.
	Entries func() int
	// Offers asks gates how soon they would answer; nil: the balancers decide alone.
	Offers Offers
	// Started is closed once the node can serve; requests that come before wait a
	// little. Nil: it can from the beginning.
	Started <-chan struct{}
	// Peer asks gates about lost attempts; nil: they stay unknown.
	Peer peer.Client
	// Guard decides on idempotency keys; nil: keys are passed on only.
	Guard once.Guard
	// Quarantine refuses fingerprints that crash backend servers; may be nil.
	Quarantine *quarantine.Table
	// Meter makes the entry's metrics; nil: none.
	Meter metric.Meter
	// Log gets changes of state; nil: none.
	Log *zap.Logger
	// Client overrides limits of the connections to gates.
	Client wire.ClientOptions
	// MaxHeldBytes bounds the bodies held for retries; 0: DefaultMaxHeldBytes.
	MaxHeldBytes int64
}

// Handler serves callers. Safe for concurrent use.
type Handler struct {
	options Options
	log     *zap.Logger
	ids     *wire.IDs
	client  *wire.Client
	held    atomic.Int64
	routes  atomic.Pointer[Routes]
	metrics metrics
	tracer  tracer

	// stopBy is when every request must be answered, since the node stops; nil: it
	// doesn't.
	stopBy atomic.Pointer[time.Time]
	// running counts exchanges and reports to keepers.
	running atomic.Int64

	mu     sync.Mutex
	states map[string]*serviceState
}

// New returns a Handler that isn't ready until SetRoutes.
func New(options Options) *Handler {
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	if options.MaxHeldBytes == 0 {
		options.MaxHeldBytes = DefaultMaxHeldBytes
	}
	if options.Headers == nil {
		options.Headers = wire.DefaultHeaders()
	}
	options.Client.BetweenNodes = true
	h := &Handler{
		options: options,
		log:     options.Log,
		ids:     wire.NewIDs(),
		client:  wire.NewClient(options.Client),
		states:  make(map[string]*serviceState),
		tracer:  newTracer(options.Log),
	}
	h.register(options.Meter)
	return h
}

// SetRoutes puts a snapshot in force. The snapshot must not be shared with
// another Handler.
func (h *Handler) SetRoutes(routes *Routes) {
	h.mu.Lock()
	defer h.mu.Unlock()
	states := make(map[string]*serviceState, len(routes.services))
	for name, s := range routes.services {
		state := h.states[name]
		if state == nil {
			state = &serviceState{budget: retry.NewBudget(s.percent)}
			state.counts.bind(name)
		}
		state.budget.SetPercent(s.percent)
		s.state = state
		states[name] = state
	}
	h.states = states
	h.routes.Store(routes)
	h.shareRetriesLocked(routes)
}

// ShareRetries divides the fleet's retries anew. Call it when the number of entries
// changed: one that knows only itself would take the slack of all.
func (h *Handler) ShareRetries() {
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
		slack := 0.0
		if entries > 0 {
			slack = s.slack / float64(entries)
		}
		s.state.budget.SetWindow(s.window, slack)
	}
}

// SetStopping makes every answer ask its caller to use another connection.
// Requests that still come are served, but not beyond by: an answer in time, even
// a refusal, is worth more to a caller than a connection that is cut.
func (h *Handler) SetStopping(by time.Time) {
	h.stopBy.Store(&by)
}

// Close closes the idle connections to gates.
func (h *Handler) Close() {
	h.client.Close()
}

// Running returns the number of requests in progress and of outcomes still on
// their way to a keeper. A stopping node waits for zero.
func (h *Handler) Running() int64 {
	return h.running.Load()
}

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.running.Add(1)
	x := &exchange{handler: h, w: w, r: r}
	defer x.release()
	if refusal := x.prepare(); refusal != nil {
		x.write(refusal)
	} else {
		x.serve()
	}
	x.linger()
}

// wantsGuard reports whether the request's key is decided on by the guard.
func (h *Handler) wantsGuard(x *exchange) bool {
	return h.options.Guard != nil && !x.call.Idempotent && x.key != ""
}

// Package gate guards the backend server of one instance. A request reaches
// the server only through its gate, so the gate's count of requests in flight
// is exact, and a refusal certifies that the request wasn't run.
package gate

import (
	"context"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/quarantine"
	"github.com/egretfield/egretfield/internal/wire"
)

// Server is the backend server that a gate guards. It is immutable.
type Server struct {
	Service string
	// ID is the identity of this start of the backend server; may be empty.
	ID string
	// Address of the backend server, host:port.
	Address string
	// Slots is the number of requests it runs at once.
	Slots int
	// Connections is the number of connections it accepts; 0: no limit.
	Connections int
}

// Options are the fixed parts of a Gate.
type Options struct {
	Instance    string
	Incarnation uint64
	// Quarantine refuses fingerprints that crash backend servers; may be nil.
	Quarantine *quarantine.Table
	// Meter makes the gate's metrics; nil: none.
	Meter metric.Meter
	// Log gets changes of state; nil: none.
	Log *zap.Logger
	// PeerToken is what requests must show; empty: nothing.
	PeerToken string
	// Down is called when the backend server was found dead; may be nil. It must
	// not call the gate in its own goroutine.
	Down func()
	// AllowProbe says whether a question at the backend server's health endpoint fits
	// the budget of measuring load; nil: it always does.
	AllowProbe func() bool
	// Client overrides limits of the connections to the backend server.
	Client wire.ClientOptions
	// MaxAttempts bounds the attempts remembered; 0: DefaultMaxAttempts.
	MaxAttempts int
	// MaxAnswerBytes bounds the answers remembered; 0: DefaultMaxAnswerBytes.
	MaxAnswerBytes int
}

// guarded is a backend server with the connections to it.
type guarded struct {
	Server
	client *wire.Client
	health *healthProbe
	crash  crashWatch
	// down: the server was found dead.
	down atomic.Bool
}

// Gate guards one backend server. Safe for concurrent use.
type Gate struct {
	options  Options
	log      *zap.Logger
	limiter  *limiter
	attempts *attempts
	server   atomic.Pointer[guarded]
	draining atomic.Bool
	// stopBy is when every request must have ended, since the node stops; nil: it
	// doesn't.
	stopBy atomic.Pointer[time.Time]
	counts counts
	traces *rate.Limiter
	// minSilence is the least silence of the server that breaks a connection.
	minSilence time.Duration
	// healthPath is that of the backend server's health endpoint.
	healthPath atomic.Pointer[string]
	// watching: a goroutine waits for the end of a slow moment.
	watching atomic.Bool
}

// New returns a gate without a backend server.
func New(options Options) *Gate {
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	g := &Gate{
		options: options,
		log:     options.Log,
		limiter: newLimiter(),
		traces:  newTraceLimiter(),

		minSilence: minSilence,
		attempts:   newAttempts(options.Incarnation, options.MaxAttempts, options.MaxAnswerBytes),
	}
	g.limiter.onHeld = g.watchMoment
	g.register(options.Meter)
	return g
}

// SetServer sets the backend server on its announcement; nil: it is gone.
// Requests in flight to the server before end on their own. Calls must not
// overlap.
func (g *Gate) SetServer(server *Server) {
	old := g.server.Load()
	if old != nil && server != nil && old.Server == *server {
		g.announcedAgain(old)
		return
	}
	if server == nil {
		g.server.Store(nil)
		g.limiter.configure(0)
	} else {
		options := g.options.Client
		options.MaxConns = server.Connections
		options.Target = server.ID
		g.server.Store(&guarded{Server: *server, client: wire.NewClient(options), health: newHealthProbe(options.Headers)})
		g.limiter.configure(effectiveSlots(server))
	}
	if old == nil {
		return
	}
	g.reportCrash(old)
	old.client.Close()
	old.health.close()
}

// effectiveSlots is the number of slots that the connections suffice for.
func effectiveSlots(server *Server) int {
	slots := max(server.Slots, 1)
	if server.Connections > 0 {
		slots = min(slots, server.Connections)
	}
	return slots
}

// SetQueuePercent bounds the queue as a share of the slots, percent.
func (g *Gate) SetQueuePercent(percent uint32) {
	g.limiter.setQueuePercent(int(percent))
}

// SetDraining refuses new requests while draining is true. Requests in flight
// and in the queue are served.
func (g *Gate) SetDraining(draining bool) {
	if g.draining.Swap(draining) != draining {
		g.log.Info("gate draining changed", zap.Bool("draining", draining))
	}
}

// SetStopping makes the gate take only what is expected to end well before by.
func (g *Gate) SetStopping(by time.Time) { g.stopBy.Store(&by) }

// stopFactor is how many times the expected work must fit into what is left before
// a stop.
const stopFactor = 2

// outlasts says whether a call that begins now might not end before the stop.
func (g *Gate) outlasts(call *wire.Call) bool {
	by := g.stopBy.Load()
	return by != nil && stopFactor*g.limiter.expectedWork(call.Route) > time.Until(*by)
}

// RefuseWaiting refuses the requests in the queue. They weren't run and may go to
// another backend server.
func (g *Gate) RefuseWaiting() {
	if refused := g.limiter.refuseWaiting(pb.ErrorKind_ERROR_KIND_DRAINING); refused > 0 {
		g.log.Info("waiting requests refused", zap.Int("requests", refused))
	}
}

// Idle returns a channel that is closed once no request runs or waits.
func (g *Gate) Idle() <-chan struct{} {
	return g.limiter.whenIdle()
}

// WaitIdle waits until no request runs or waits, or ctx ends.
func (g *Gate) WaitIdle(ctx context.Context) error {
	select {
	case <-g.Idle():
		return nil
	case <-ctx.Done():
		return errkind.Wrap(pb.ErrorKind_ERROR_KIND_TIMEOUT, ctx.Err(), "gate isn't idle")
	}
}

// Report returns the present load of the backend server.
func (g *Gate) Report() *pb.LoadReport {
	report := &pb.LoadReport{Instance: g.options.Instance, Incarnation: g.options.Incarnation}
	g.limiter.fill(report)
	return report
}

// noteLoad takes what the backend server says of itself; nil: nothing.
func (g *Gate) noteLoad(load *pb.LoadReport) {
	if load != nil {
		g.limiter.setSlowness(load.GetSlownessPercent())
	}
}

// ready returns the guarded server, or the refusal of a call that can't run.
func (g *Gate) ready(call *wire.Call) (*guarded, *wire.Answer) {
	server := g.server.Load()
	switch {
	case g.draining.Load():
		return nil, wire.Fail(pb.ErrorKind_ERROR_KIND_DRAINING, "the instance is draining")
	case g.outlasts(call):
		return nil, wire.Fail(pb.ErrorKind_ERROR_KIND_DRAINING, "the instance stops before the request would end")
	case server == nil:
		return nil, wire.Fail(pb.ErrorKind_ERROR_KIND_NOT_READY, "no backend server has announced itself")
	case server.Service != call.Service:
		return nil, wire.Fail(pb.ErrorKind_ERROR_KIND_NOT_READY, "the instance serves another service")
	case !time.Now().Before(call.Deadline):
		return nil, wire.Fail(pb.ErrorKind_ERROR_KIND_DEADLINE_BEFORE_RUN, "the deadline passed before the request was run")
	case g.options.Quarantine.Refuses(call.Fingerprint):
		return nil, wire.Fail(pb.ErrorKind_ERROR_KIND_QUARANTINED, "equal requests crashed backend servers")
	}
	return server, nil
}

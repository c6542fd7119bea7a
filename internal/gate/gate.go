// Package gate is the proxy in front of the backend server of one instance. It
// limits the concurrency at the server, and queues or refuses the requests over the
// limit. A request reaches the server only through its gate, so the gate's count of
// requests in flight is exact, and a refusal proves that the request wasn't run.
package gate

import (
	"context"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/egretfield/egretfield/internal/apikey"
	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/quarantine"
	"github.com/egretfield/egretfield/internal/wire"
)

// Server describes the backend server behind a gate. It is immutable.
type Server struct {
	Service string
	// ID identifies this start of the backend server; may be empty.
	ID string
	// Address is the host:port of the backend server.
	Address string
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Connections is the number of connections that the server accepts; 0: no
	// limit.
	Connections int
}

// Options are the fixed settings of a Gate.
type Options struct {
	Instance string
	// Region is the region of the instance.
	Region      string
	Incarnation uint64
	// Quarantine refuses the fingerprints of requests that crash backend servers;
	// may be nil.
	Quarantine *quarantine.Table
	// Meter registers the gate's metrics; nil: none.
	Meter metric.Meter
	// Logger receives the gate's log lines; nil: none.
	Logger *zap.Logger
	// PeerToken is the token that requests must carry; empty: none.
	PeerToken string
	// OnServerDown is called when the backend server is found dead; may be nil. It must
	// not call the gate in its own goroutine.
	OnServerDown func()
	// OnServerLeaving is called once when the backend server with this ID says in its
	// answers that it takes no new work; may be nil. It must not call the gate in its own
	// goroutine.
	OnServerLeaving func(serverID string)
	// AllowProbe reports whether a probe of the backend server's health endpoint
	// fits the budget for measuring load; nil: it always does.
	AllowProbe func() bool
	// AllowUrgentProbe is AllowProbe for a probe without which a warm server would be
	// taken for a cold one; nil: it always fits.
	AllowUrgentProbe func() bool
	// AwaitColdBounds makes the gate refuse requests until SetColdBounds has been called,
	// since a cold server might not take them.
	AwaitColdBounds bool
	// ClientOptions overrides the limits of the connections to the backend server. Its Dial
	// also opens those to the health endpoint.
	ClientOptions wire.ClientOptions
	// MaxAttemptRecords bounds the number of attempts whose state is kept; 0:
	// DefaultMaxAttemptRecords.
	MaxAttemptRecords int
	// MaxTotalAnswerBytes bounds the total size of the answers kept; 0:
	// DefaultMaxTotalAnswerBytes.
	MaxTotalAnswerBytes int
}

// backendServer is the backend server behind the gate with the connections to it.
type backendServer struct {
	Server
	client *wire.Client
	prober *healthProber
	crash  crashDetector
	// notices are those of the server's answers.
	notices noticeTracker
	// reportedDown: the node was told that the server is dead.
	reportedDown atomic.Bool
	// checkingDeath: a goroutine checks whether the server is dead.
	checkingDeath atomic.Bool
}

// Gate controls access to one backend server. Safe for concurrent use.
type Gate struct {
	options  Options
	logger   *zap.Logger
	limiter  *limiter
	attempts *attempts
	server   atomic.Pointer[backendServer]
	draining atomic.Bool
	// regionRules are the allowed regions of the current configuration; nil: no
	// configuration yet.
	regionRules atomic.Pointer[balance.RegionRules]
	// evacuated reports whether the data centre is evacuated.
	evacuated atomic.Bool
	// keys are the API keys of the configuration in force; nil: there is none yet.
	keys atomic.Pointer[apikey.Table]
	// stopDeadline is when the node stops and every request must have ended; nil:
	// the node isn't stopping.
	stopDeadline atomic.Pointer[time.Time]
	// hedgedRuns is the number of hedged attempts that the backend server runs.
	hedgedRuns   atomic.Int64
	counters     counters
	traceLimiter *rate.Limiter
	// minSilence is the least silence after which a connection to the server counts
	// as broken.
	minSilence time.Duration
	// healthPath is the path of the backend server's health endpoint.
	healthPath atomic.Pointer[string]
	// cold is the state of the cold limit that is known outside of the limiter.
	cold coldState
	// watchingDelayed: a goroutine starts the requests that wait although a slot is
	// free.
	watchingDelayed atomic.Bool
}

// New returns a gate without a backend server.
func New(options Options) *Gate {
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	g := &Gate{
		options:      options,
		logger:       options.Logger,
		limiter:      newLimiter(),
		traceLimiter: newTraceLimiter(),

		minSilence: minSilence,
		attempts:   newAttempts(options.Incarnation, options.MaxAttemptRecords, options.MaxTotalAnswerBytes),
	}
	g.limiter.onDelayed = g.watchDelayed
	g.registerMetrics(options.Meter)
	return g
}

// SetServer sets the backend server after its announcement; nil: it is gone.
// Requests in flight to the previous server run to their end. Calls must not
// overlap.
func (g *Gate) SetServer(server *Server) {
	old := g.server.Load()
	if old != nil && server != nil && old.Server == *server {
		g.handleReannouncement(old)
		return
	}
	if server == nil {
		g.server.Store(nil)
		g.limiter.configure(0, false)
	} else {
		options := g.options.ClientOptions
		options.MaxConns = server.Connections
		options.ServerID = server.ID
		next := &backendServer{Server: *server, client: wire.NewClient(options), prober: newHealthProber(server.Address, options.Headers, options.Dial)}
		g.server.Store(next)
		g.limiter.configure(effectiveSlots(server), next.prober.headers.RateLimit != "")
		g.askIfCold(next)
	}
	if old == nil {
		return
	}
	g.reportCrash(old)
	old.client.Close()
	old.prober.close()
}

// effectiveSlots returns the number of slots, limited by the number of connections.
func effectiveSlots(server *Server) int {
	slots := max(server.Slots, 1)
	if server.Connections > 0 {
		slots = min(slots, server.Connections)
	}
	return slots
}

// SetKeys sets the API keys of the configuration in force.
func (g *Gate) SetKeys(keys *apikey.Table) { g.keys.Store(keys) }

// keyRefusal returns the refusal of a call whose API key was withdrawn or moved after its
// entry had accepted it; nil: it may start. An entry places the request again after a move,
// by the rules of the organisation that has the key now.
func (g *Gate) keyRefusal(call *wire.Call) *wire.Answer {
	switch g.keys.Load().Check(call.KeyUse, call.Organisation) {
	case apikey.Withdrawn:
		return wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_UNAUTHENTICATED, "the API key was withdrawn")
	case apikey.Moved:
		return wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_NOT_READY, "the API key was moved to another organisation")
	}
	return nil
}

// SetQueuePercent sets the length limit of the queue in percent of the slots.
func (g *Gate) SetQueuePercent(percent uint32) {
	g.limiter.setQueuePercent(int(percent))
}

// SetPromisedPercent sets the share of the server's rate that is promised to the returns of
// refused requests, in percent.
func (g *Gate) SetPromisedPercent(percent uint32) {
	g.limiter.setPromisedPercent(int(percent))
}

// RunsHedged reports whether the backend server runs a hedged attempt.
func (g *Gate) RunsHedged() bool { return g.hedgedRuns.Load() > 0 }

// SetDraining makes the gate refuse new requests while draining is true. Requests
// in flight and in the queue are served.
func (g *Gate) SetDraining(draining bool) {
	if g.draining.Swap(draining) != draining {
		g.logger.Info("gate draining changed", zap.Bool("draining", draining))
	}
}

// SetEvacuated makes the gate refuse new and waiting requests while the data centre is
// evacuated. Requests that run are served.
func (g *Gate) SetEvacuated(evacuated bool) {
	if g.evacuated.Swap(evacuated) == evacuated {
		return
	}
	g.logger.Info("gate evacuation changed", zap.Bool("evacuated", evacuated))
	if evacuated {
		g.RefuseWaiting()
	}
}

// evacuatedMessage is the message of refusals while the data centre is evacuated.
const evacuatedMessage = "the data centre is evacuated"

// SetStopping makes the gate accept only requests that are expected to end well
// before the time by, the node's stop.
func (g *Gate) SetStopping(by time.Time) { g.stopDeadline.Store(&by) }

// stopMarginFactor is the multiple of a request's expected service time that must
// be left before the stop.
const stopMarginFactor = 2

// mayOutlastStop reports whether a call that starts now may not end before the
// stop.
func (g *Gate) mayOutlastStop(call *wire.Call) bool {
	by := g.stopDeadline.Load()
	return by != nil && stopMarginFactor*g.limiter.expectedServiceTime(call.Route) > time.Until(*by)
}

// RefuseWaiting refuses the requests in the queue. They weren't run and may go to
// another backend server.
func (g *Gate) RefuseWaiting() {
	if refused := g.limiter.refuseWaiting(pb.ErrorKind_ERROR_KIND_DRAINING); refused > 0 {
		g.logger.Info("waiting requests refused", zap.Int("requests", refused))
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
		return errkind.Wrap(pb.ErrorKind_ERROR_KIND_TIMEOUT, ctx.Err(), "wait for an idle gate: requests still run or wait")
	}
}

// Report returns the current load of the backend server.
func (g *Gate) Report() *pb.LoadReport {
	report := &pb.LoadReport{Instance: g.options.Instance, Incarnation: g.options.Incarnation}
	g.limiter.fillReport(report)
	return report
}

// recordLoad records the slowness from a load report of the backend server; nil: no
// report.
func (g *Gate) recordLoad(load *pb.LoadReport) {
	if load != nil {
		g.limiter.recordSlowness(load.GetSlownessPercent())
	}
}

// serverFor returns the backend server for a call, or the refusal of a call that
// can't run.
func (g *Gate) serverFor(call *wire.Call) (*backendServer, *wire.Answer) {
	server := g.server.Load()
	switch {
	case g.draining.Load():
		return nil, wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_DRAINING, "the instance is draining")
	case g.evacuated.Load():
		return nil, wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_DRAINING, evacuatedMessage)
	case g.mayOutlastStop(call):
		return nil, wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_DRAINING, "the instance stops before the request would end")
	case server == nil:
		return nil, wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_NOT_READY, "no backend server has announced itself")
	case g.options.AwaitColdBounds && !g.cold.boundsKnown.Load():
		return nil, wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_NOT_READY, "the instance has no configuration yet")
	case server.Service != call.Service:
		return nil, wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_NOT_READY, "the instance serves another service")
	case !time.Now().Before(call.Deadline):
		return nil, wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_DEADLINE_BEFORE_RUN, "the deadline passed before the request was run")
	case g.options.Quarantine.Refuses(call.Fingerprint):
		return nil, wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_QUARANTINED, "equal requests crashed backend servers")
	}
	return server, g.keyRefusal(call)
}

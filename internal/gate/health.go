package gate

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/egretfield/egretfield/internal/wire"
)

const (
	// maxReportAgeAtStart is the age of the server's slowness report above which a
	// request that is about to start probes for a new one: slowdowns last some
	// hundred milliseconds, and a start during one multiplies the request's time.
	maxReportAgeAtStart = 20 * time.Millisecond
	// maxReportAgeForOffer is the same limit for a gate that is only asked for an
	// offer. It is higher because probes have a cost, and the request itself may
	// follow with a probe of its own.
	maxReportAgeForOffer = 40 * time.Millisecond
	// probeTimeout bounds a probe of the health endpoint. The endpoint is on the
	// same machine and answers within a millisecond, or too late to help.
	probeTimeout = 10 * time.Millisecond
	// probePause is the time without probes after a failed one.
	probePause = time.Second
	// slowdownProbeInterval is the time between probes while requests wait for the
	// end of a slowdown.
	slowdownProbeInterval = 20 * time.Millisecond
	// maxProbesPerS is the number of probes in a second of a server that may become cold;
	// up to probeBurst of them may follow each other without a pause.
	maxProbesPerS = 60
	probeBurst    = 10
	// maxHealthBytes bounds the body of a health endpoint's answer, and
	// maxHealthHeaderBytes its header.
	maxHealthBytes       = 4 << 10
	maxHealthHeaderBytes = 16 << 10
)

// healthReport is what an answer of a server's health endpoint tells.
type healthReport struct {
	// askedAt is when the probe was sent.
	askedAt time.Time
	// slowness is the server's slowness in percent; zero: not reported.
	slowness uint32
	// notice is the server's notice; nil: none.
	notice *wire.ServerNotice
	// coldFor is the time for which the server stays cold, if it tells that.
	coldFor   time.Duration
	tellsCold bool
}

// healthProber reads a server's state from its health endpoint. Safe for concurrent
// use.
type healthProber struct {
	address string
	client  *wire.Client
	// coldClient is for the questions whether the server is cold, whose time limit is
	// longer, so that they don't hold up the others.
	coldClient *wire.Client
	headers    *wire.Headers
	// timeout bounds a probe.
	timeout time.Duration
	// limiter bounds the probes of a server that may become cold.
	limiter *rate.Limiter
	// askingCold: a question whether the server is cold is in flight.
	askingCold atomic.Bool
	// coldPausedUntil is the end of the pause after a failed question, in Unix nanoseconds.
	coldPausedUntil atomic.Int64

	mu sync.Mutex
	// inFlight is closed when the probe in flight ends; nil: none is.
	inFlight chan struct{}
	// pausedUntil is the end of the pause after a failed probe.
	pausedUntil time.Time
}

// newHealthProber returns a prober of the server at an address that reads the headers of
// that name. dial opens its connections; nil: the default of wire.Client.
func newHealthProber(address string, headers *wire.Headers, dial wire.DialFunc) *healthProber {
	if headers == nil {
		headers = wire.DefaultHeaders()
	}
	return &healthProber{
		address:    address,
		headers:    headers,
		client:     newProbeClient(dial),
		coldClient: newProbeClient(dial),
		timeout:    probeTimeout,
		limiter:    rate.NewLimiter(maxProbesPerS-probeBurst, probeBurst),
	}
}

// newProbeClient returns a client whose requests carry none of the system's headers.
func newProbeClient(dial wire.DialFunc) *wire.Client {
	return wire.NewClient(wire.ClientOptions{
		Dial:           dial,
		MaxIdle:        1,
		MaxConns:       1,
		Headers:        &wire.Headers{},
		KeepHeaders:    true,
		MaxHeaderBytes: maxHealthHeaderBytes,
	})
}

// reportsState reports whether the headers of the server's answers tell its state.
func (p *healthProber) reportsState() bool { return p.headers.Load != "" || p.headers.RateLimit != "" }

// probe returns the report of the server's health endpoint. Calls made while a probe
// is in flight wait for its end and return nil, as do those in the pause after a
// failed one.
func (p *healthProber) probe(ctx context.Context, path string) (*healthReport, error) {
	p.mu.Lock()
	if inFlight := p.inFlight; inFlight != nil {
		p.mu.Unlock()
		select {
		case <-inFlight:
		case <-ctx.Done():
		}
		return nil, nil
	}
	if time.Now().Before(p.pausedUntil) {
		p.mu.Unlock()
		return nil, nil
	}
	p.inFlight = make(chan struct{})
	p.mu.Unlock()
	report, err := p.get(ctx, p.client, path, p.timeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.inFlight)
	p.inFlight = nil
	if err != nil {
		p.pausedUntil = time.Now().Add(probePause)
	}
	return report, err
}

// get asks the server's health endpoint. An answer that isn't whole, up to maxHealthBytes of
// its body, is an error.
func (p *healthProber) get(ctx context.Context, client *wire.Client, path string, timeout time.Duration) (*healthReport, error) {
	target, err := url.ParseRequestURI(path)
	if err != nil {
		return nil, err
	}
	report := &healthReport{askedAt: time.Now()}
	deadline := report.askedAt.Add(timeout)
	call := &wire.Call{Method: http.MethodGet, URI: target.RequestURI(), Host: p.address, AnswerBy: deadline}
	call.Deadline = deadline
	answer, err := client.Do(ctx, wire.SendParams{Addr: p.address, Call: call})
	if err != nil {
		return nil, err
	}
	if answer.Body != nil {
		defer answer.Body.Close()
		if _, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxHealthBytes)); err != nil {
			return nil, err
		}
	}
	report.slowness = wire.ParseServerLoad(answer.Header.Get(p.headers.Load)).GetSlownessPercent()
	report.notice = wire.ParseServerNotice(p.headers, answer.Header)
	report.coldFor, report.tellsCold = wire.ParseColdTime(p.headers, answer.Header)
	return report, nil
}

// close closes the idle connections to the health endpoint.
func (p *healthProber) close() {
	p.client.Close()
	p.coldClient.Close()
}

// SetHealthPath sets the path of the backend server's health endpoint; empty: it
// has none.
func (g *Gate) SetHealthPath(path string) { g.healthPath.Store(&path) }

// refreshState probes the backend server if its state is worth asking for; maxAge is
// the greatest age of a slowness report.
func (g *Gate) refreshState(ctx context.Context, server *backendServer, maxAge time.Duration) {
	path := g.healthPath.Load()
	if path == nil || *path == "" || !server.prober.reportsState() || !g.limiter.needsReport(maxAge) {
		return
	}
	if g.cold.enabled.Load() && !server.prober.limiter.Allow() {
		return
	}
	if allow := g.options.AllowProbe; allow != nil && !allow() {
		return
	}
	report, err := server.prober.probe(ctx, *path)
	if err != nil {
		g.logger.Debug("health probe of the backend server failed", zap.String("server", server.ID), zap.Error(err))
		return
	}
	if report == nil {
		return
	}
	g.recordHealth(server, report)
}

// recordHealth records an answer of the server's health endpoint.
func (g *Gate) recordHealth(server *backendServer, report *healthReport) {
	g.recordColdTime(server, report)
	g.recordNotice(server, report.askedAt, report.notice, noticeFromHealth)
	if report.slowness > 0 {
		g.counters.probes.Add(1)
		g.limiter.recordSlowness(report.slowness)
	}
}

// watchDelayed starts the requests that wait although a slot is free: when the server's
// rate allows the next one, or at the end of a slowdown, for which it probes the server
// periodically.
func (g *Gate) watchDelayed() {
	if !g.watchingDelayed.CompareAndSwap(false, true) {
		return
	}
	go func() {
		for wait, rateLimited := g.limiter.delay(); wait > 0; wait, rateLimited = g.limiter.delay() {
			time.Sleep(wait)
			if server := g.server.Load(); server != nil {
				g.askIfCold(server)
				if !rateLimited {
					g.refreshState(context.Background(), server, slowdownProbeInterval/2)
				}
			}
			g.limiter.grant()
		}
		g.watchingDelayed.Store(false)
		if wait, _ := g.limiter.delay(); wait > 0 {
			g.watchDelayed() // a request began to wait before the flag was cleared
		}
	}()
}

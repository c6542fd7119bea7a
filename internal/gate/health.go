package gate

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

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
	// maxHealthBytes bounds the body of a health endpoint's answer.
	maxHealthBytes = 4 << 10
)

// healthProber reads a server's slowness from its health endpoint. Safe for
// concurrent use.
type healthProber struct {
	client     http.Client
	loadHeader string // name of the load header

	mu sync.Mutex
	// inFlight is closed when the probe in flight ends; nil: none is.
	inFlight chan struct{}
	// pausedUntil is the end of the pause after a failed probe.
	pausedUntil time.Time
}

func newHealthProber(headers *wire.Headers) *healthProber {
	if headers == nil {
		headers = wire.DefaultHeaders()
	}
	return &healthProber{
		loadHeader: headers.Load,
		client: http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 1,
			MaxConnsPerHost:     1,
			IdleConnTimeout:     wire.DefaultIdleTimeout,
			DisableCompression:  true,
		}},
	}
}

// probe returns the slowness that the server reports, in percent; zero: none.
// Calls made while a probe is in flight wait for its end and return zero.
func (p *healthProber) probe(ctx context.Context, url string) (uint32, error) {
	p.mu.Lock()
	if inFlight := p.inFlight; inFlight != nil {
		p.mu.Unlock()
		select {
		case <-inFlight:
		case <-ctx.Done():
		}
		return 0, nil
	}
	if time.Now().Before(p.pausedUntil) {
		p.mu.Unlock()
		return 0, nil
	}
	p.inFlight = make(chan struct{})
	p.mu.Unlock()
	slowness, err := p.get(ctx, url)
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.inFlight)
	p.inFlight = nil
	if err != nil {
		p.pausedUntil = time.Now().Add(probePause)
	}
	return slowness, err
}

func (p *healthProber) get(ctx context.Context, url string) (uint32, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	answer, err := p.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxHealthBytes)); err != nil {
		return 0, err
	}
	return wire.ParseServerLoad(answer.Header.Get(p.loadHeader)).GetSlownessPercent(), nil
}

// close closes the idle connection to the health endpoint.
func (p *healthProber) close() { p.client.CloseIdleConnections() }

// SetHealthPath sets the path of the backend server's health endpoint; empty: it
// has none.
func (g *Gate) SetHealthPath(path string) { g.healthPath.Store(&path) }

// refreshSlowness probes the backend server if its last slowness report is older
// than maxAge and its slowness has changed recently.
func (g *Gate) refreshSlowness(ctx context.Context, server *backendServer, maxAge time.Duration) {
	path := g.healthPath.Load()
	if path == nil || *path == "" || server.prober.loadHeader == "" || !g.limiter.needsReport(maxAge) {
		return
	}
	if allow := g.options.AllowProbe; allow != nil && !allow() {
		return
	}
	slowness, err := server.prober.probe(ctx, "http://"+server.Address+*path)
	if err != nil {
		g.logger.Debug("health probe of the backend server failed", zap.String("server", server.ID), zap.Error(err))
		return
	}
	if slowness > 0 {
		g.counters.probes.Add(1)
		g.limiter.recordSlowness(slowness)
	}
}

// watchSlowdown probes the server periodically while requests wait for the end of a
// slowdown, so that they start when it ends.
func (g *Gate) watchSlowdown() {
	if !g.watchingSlowdown.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer g.watchingSlowdown.Store(false)
		for g.limiter.delayedCount() > 0 {
			time.Sleep(slowdownProbeInterval)
			if server := g.server.Load(); server != nil {
				g.refreshSlowness(context.Background(), server, slowdownProbeInterval/2)
			}
			g.limiter.grant()
		}
	}()
}

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
	// startAge is the age of the server's report of its speed at which a request
	// that is about to begin asks for a new one: slow moments last some hundred
	// milliseconds, and a start in one multiplies the request's time.
	startAge = 20 * time.Millisecond
	// offerAge is that age for a gate that is only asked for an offer; the request
	// itself may follow, and reports have a price.
	offerAge = 40 * time.Millisecond
	// healthTimeout bounds a question at the health endpoint. It is answered by the
	// same machine within a millisecond, or not in time to help.
	healthTimeout = 10 * time.Millisecond
	// healthPause is the time without questions after one that failed.
	healthPause = time.Second
	// watchPeriod is how often the server is asked while requests wait for the end
	// of a slow moment.
	watchPeriod = 20 * time.Millisecond
	// maxHealthBytes bounds the body of a health answer.
	maxHealthBytes = 4 << 10
)

// healthProbe asks a backend server's health endpoint how fast its machine works.
// Safe for concurrent use.
type healthProbe struct {
	client http.Client
	load   string // name of the load header

	mu sync.Mutex
	// running is closed when the question in flight ends; nil: none is.
	running chan struct{}
	// quietUntil is the end of the pause after a failure.
	quietUntil time.Time
}

func newHealthProbe(headers *wire.Headers) *healthProbe {
	if headers == nil {
		headers = wire.DefaultHeaders()
	}
	return &healthProbe{
		load: headers.Load,
		client: http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 1,
			MaxConnsPerHost:     1,
			IdleConnTimeout:     wire.DefaultIdleTimeout,
			DisableCompression:  true,
		}},
	}
}

// ask returns the slowness that the server reports, percent; zero: none. Callers
// that come while a question is in flight wait for its end and get zero.
func (p *healthProbe) ask(ctx context.Context, url string) (uint32, error) {
	p.mu.Lock()
	if running := p.running; running != nil {
		p.mu.Unlock()
		select {
		case <-running:
		case <-ctx.Done():
		}
		return 0, nil
	}
	if time.Now().Before(p.quietUntil) {
		p.mu.Unlock()
		return 0, nil
	}
	p.running = make(chan struct{})
	p.mu.Unlock()
	slowness, err := p.get(ctx, url)
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.running)
	p.running = nil
	if err != nil {
		p.quietUntil = time.Now().Add(healthPause)
	}
	return slowness, err
}

func (p *healthProbe) get(ctx context.Context, url string) (uint32, error) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
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
	return wire.ParseServerLoad(answer.Header.Get(p.load)).GetSlownessPercent(), nil
}

// close ends the probe's connection.
func (p *healthProbe) close() { p.client.CloseIdleConnections() }

// SetHealthPath sets the path of the backend server's health endpoint; empty: it
// has none.
func (g *Gate) SetHealthPath(path string) { g.healthPath.Store(&path) }

// askServer asks the backend server how fast it works if the last report is older
// than age and the speed varies.
func (g *Gate) askServer(ctx context.Context, server *guarded, age time.Duration) {
	path := g.healthPath.Load()
	if path == nil || *path == "" || server.health.load == "" || !g.limiter.needsReport(age) {
		return
	}
	if allow := g.options.AllowProbe; allow != nil && !allow() {
		return
	}
	slowness, err := server.health.ask(ctx, "http://"+server.Address+*path)
	if err != nil {
		g.log.Debug("the backend server doesn't tell its speed", zap.String("server", server.ID), zap.Error(err))
		return
	}
	if slowness > 0 {
		g.counts.probes.Add(1)
		g.limiter.setSlowness(slowness)
	}
}

// watchMoment asks the server again and again while requests wait for the end of a
// slow moment, so that they begin when it ends.
func (g *Gate) watchMoment() {
	if !g.watching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer g.watching.Store(false)
		for g.limiter.held() > 0 {
			time.Sleep(watchPeriod)
			if server := g.server.Load(); server != nil {
				g.askServer(context.Background(), server, watchPeriod/2)
			}
			g.limiter.grant()
		}
	}()
}

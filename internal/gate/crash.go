package gate

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"
)

const (
	// crashWindow is the time between a broken request and the end of its backend
	// server within which both count as one crash.
	crashWindow = 3 * time.Second
	// crashDialTimeout bounds the connection attempt that checks whether the server
	// still accepts connections.
	crashDialTimeout = 250 * time.Millisecond
)

// deathCheckDelays are the times between checks whether a server is dead that broke a
// connection and seemed alive: a process that ends may accept connections a little longer.
var deathCheckDelays = []time.Duration{50 * time.Millisecond, 200 * time.Millisecond}

// brokenRequest is a request whose connection to the server broke.
type brokenRequest struct {
	suspect *suspect
	at      time.Time
}

// crashDetector tracks the requests in flight at a backend server and those whose
// connection broke. Safe for concurrent use.
type crashDetector struct {
	mu       sync.Mutex
	inFlight map[*suspect]struct{}
	broken   []brokenRequest
	reported bool
	// answeredAt is when the server last completed an answer.
	answeredAt time.Time
}

func (d *crashDetector) requestStarted(s *suspect) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.inFlight == nil {
		d.inFlight = make(map[*suspect]struct{})
	}
	d.inFlight[s] = struct{}{}
}

func (d *crashDetector) requestEnded(s *suspect) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.inFlight, s)
}

func (d *crashDetector) recordBroken(s *suspect, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pruneLocked(now)
	d.broken = append(d.broken, brokenRequest{s, now})
}

func (d *crashDetector) pruneLocked(now time.Time) {
	for len(d.broken) > 0 && now.Sub(d.broken[0].at) > crashWindow {
		d.broken = d.broken[1:]
	}
}

// takeSuspects returns the requests that may have caused a crash: those that broke
// within crashWindow and those in flight. It returns them once for each crash, and
// nil when no request broke.
func (d *crashDetector) takeSuspects(now time.Time) []*suspect {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pruneLocked(now)
	if len(d.broken) == 0 || d.reported {
		return nil
	}
	d.reported = true
	var suspects []*suspect
	for _, broken := range d.broken {
		suspects = append(suspects, broken.suspect)
	}
	for s := range d.inFlight {
		suspects = append(suspects, s)
	}
	d.broken = nil
	return suspects
}

// serverAnswered records that the server answers again, so that its next crash is
// reported.
func (d *crashDetector) serverAnswered() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reported = false
	d.answeredAt = time.Now()
}

// hasAnsweredSince reports whether the server has completed an answer after a time.
func (d *crashDetector) hasAnsweredSince(since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.answeredAt.After(since)
}

// handleBrokenConnection records a request whose connection to the server broke. It
// reports whether the server is dead.
func (g *Gate) handleBrokenConnection(ctx context.Context, server *backendServer, s *suspect) bool {
	now := time.Now()
	server.crash.recordBroken(s, now)
	if !g.isDead(ctx, server) {
		g.checkDeathLater(server, now)
		return false
	}
	g.reportCrash(server)
	g.reportDown(server)
	return true
}

// checkDeathLater checks again whether a server is dead that broke a connection at
// brokenAt, until it completes an answer.
func (g *Gate) checkDeathLater(server *backendServer, brokenAt time.Time) {
	if !server.checkingDeath.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer server.checkingDeath.Store(false)
		for _, wait := range deathCheckDelays {
			time.Sleep(wait)
			if g.server.Load() != server || server.crash.hasAnsweredSince(brokenAt) {
				return
			}
			if g.isDead(context.Background(), server) {
				g.reportCrash(server)
				g.reportDown(server)
				return
			}
		}
	}()
}

// reportDown tells the node that the backend server is dead, once for each
// announcement.
func (g *Gate) reportDown(server *backendServer) {
	if g.options.OnServerDown == nil || server.reportedDown.Swap(true) {
		return
	}
	g.logger.Warn("backend server is down", zap.String("server", server.ID), zap.String("address", server.Address))
	go g.options.OnServerDown()
}

// isDead reports whether the server has closed all idle connections or refuses new
// ones.
func (g *Gate) isDead(ctx context.Context, server *backendServer) bool {
	if server.client.AllIdleClosed(server.Address) {
		return true
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashDialTimeout)
	defer cancel()
	err := server.client.Probe(ctx, server.Address)
	return errors.Is(err, syscall.ECONNREFUSED)
}

// handleReannouncement handles a repeated announcement without changes. The server
// may have restarted at the same address, so what its answers told no longer counts.
func (g *Gate) handleReannouncement(server *backendServer) {
	server.notices.reset()
	g.limiter.resetRate(server.prober.headers.RateLimit != "")
	g.askIfCold(server)
	if server.client.AllIdleClosed(server.Address) {
		g.reportCrash(server)
	}
}

func (g *Gate) reportCrash(server *backendServer) {
	suspects := server.crash.takeSuspects(time.Now())
	if suspects == nil {
		return
	}
	g.counters.crashes.Add(1)
	g.logger.Warn("backend server crashed", zap.String("address", server.Address), zap.Int("in_flight", len(suspects)))
	var inFlight, streamed []uint64
	for _, s := range suspects {
		inFlight = append(inFlight, s.id())
		if s.body != nil {
			streamed = append(streamed, s.body.Base())
		}
	}
	g.options.Quarantine.ReportCrash(inFlight, streamed...)
}

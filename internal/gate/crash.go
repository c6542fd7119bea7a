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
	// crashWindow is the time within which broken requests and the end of
	// their backend server count as one crash.
	crashWindow = 3 * time.Second
	// crashDialTimeout bounds the connection that checks on the server.
	crashDialTimeout = 250 * time.Millisecond
)

// brokenRequest is a request whose connection to the server broke.
type brokenRequest struct {
	fingerprint uint64
	at          time.Time
}

// crashWatch knows what is in flight at a backend server. Safe for concurrent use.
type crashWatch struct {
	mu       sync.Mutex
	inFlight map[uint64]int
	broken   []brokenRequest
	reported bool
}

func (w *crashWatch) enter(fingerprint uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inFlight == nil {
		w.inFlight = make(map[uint64]int)
	}
	w.inFlight[fingerprint]++
}

func (w *crashWatch) leave(fingerprint uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight[fingerprint]--
	if w.inFlight[fingerprint] == 0 {
		delete(w.inFlight, fingerprint)
	}
}

func (w *crashWatch) noteBroken(fingerprint uint64, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pruneLocked(now)
	w.broken = append(w.broken, brokenRequest{fingerprint, now})
}

func (w *crashWatch) pruneLocked(now time.Time) {
	for len(w.broken) > 0 && now.Sub(w.broken[0].at) > crashWindow {
		w.broken = w.broken[1:]
	}
}

// take returns the suspects of a crash, once for each crash: what was broken
// lately and what is in flight. It returns nil when nothing broke.
func (w *crashWatch) take(now time.Time) []uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pruneLocked(now)
	if len(w.broken) == 0 || w.reported {
		return nil
	}
	w.reported = true
	var suspects []uint64
	for _, broken := range w.broken {
		suspects = append(suspects, broken.fingerprint)
	}
	for fingerprint := range w.inFlight {
		suspects = append(suspects, fingerprint)
	}
	w.broken = nil
	return suspects
}

// recovered notes that the server answers again.
func (w *crashWatch) recovered() {
	w.mu.Lock()
	w.reported = false
	w.mu.Unlock()
}

// brokenAt judges a request whose connection to the server broke. It reports
// whether the server died.
func (g *Gate) brokenAt(ctx context.Context, server *guarded, fingerprint uint64) bool {
	server.crash.noteBroken(fingerprint, time.Now())
	if !g.isDead(ctx, server) {
		return false
	}
	g.reportCrash(server)
	g.noteDown(server)
	return true
}

// noteDown tells the node that the backend server is dead, once for each
// announcement.
func (g *Gate) noteDown(server *guarded) {
	if g.options.Down == nil || server.down.Swap(true) {
		return
	}
	g.log.Warn("backend server doesn't accept connections", zap.String("server", server.ID), zap.String("address", server.Address))
	go g.options.Down()
}

// isDead reports whether the server refuses new connections or has closed all
// of the old ones.
func (g *Gate) isDead(ctx context.Context, server *guarded) bool {
	if server.client.AllIdleDead(server.Address) {
		return true
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashDialTimeout)
	defer cancel()
	err := server.client.Probe(ctx, server.Address)
	return errors.Is(err, syscall.ECONNREFUSED)
}

// announcedAgain notes that the server announced itself anew without a change.
// It may have restarted at the same address.
func (g *Gate) announcedAgain(server *guarded) {
	if server.client.AllIdleDead(server.Address) {
		g.reportCrash(server)
	}
}

func (g *Gate) reportCrash(server *guarded) {
	suspects := server.crash.take(time.Now())
	if suspects == nil {
		return
	}
	g.counts.crashes.Add(1)
	g.log.Warn("backend server crashed", zap.String("address", server.Address), zap.Int("in_flight", len(suspects)))
	g.options.Quarantine.Crashed(suspects)
}

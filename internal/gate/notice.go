package gate

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/egretfield/egretfield/internal/wire"
)

// Sources of a server's notices, in log lines.
const (
	noticeFromAnswer = "answer"
	noticeFromHealth = "health endpoint"
)

// noticeTracker remembers a server's latest notice. Safe for concurrent use.
type noticeTracker struct {
	mu     sync.Mutex
	heard  bool
	latest wire.ServerNotice
	// leftBefore is set if the first notice that the gate got said that the server
	// leaves, so that other nodes may have known it for any time.
	leftBefore bool
	// reported: the node was told that the server leaves.
	reported bool
}

// update records a notice. It returns the one before, and whether the node should be
// told that the server leaves.
func (t *noticeTracker) update(notice wire.ServerNotice) (before wire.ServerNotice, report bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before = wire.ServerNotice{RatePerS: wire.NoRateLimit}
	if t.heard {
		before = t.latest
	}
	t.leftBefore = t.leftBefore || !t.heard && notice.Leaving
	t.heard, t.latest = true, notice
	report = notice.Leaving && !t.reported
	t.reported = t.reported || report
	return before, report
}

// reset forgets all notices.
func (t *noticeTracker) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard, t.latest, t.leftBefore, t.reported = false, wire.ServerNotice{}, false, false
}

// hasLeftBefore reports whether the server was leaving before the gate knew it.
func (t *noticeTracker) hasLeftBefore() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leftBefore
}

// recordNotice records what the server's answer to a request sent at sentAt told about
// its state; nil: nothing. The answers of a server that was replaced don't count.
func (g *Gate) recordNotice(server *backendServer, sentAt time.Time, notice *wire.ServerNotice, source string) {
	if g.server.Load() != server {
		return
	}
	g.limiter.recordAnswer(sentAt, notice)
	if notice == nil {
		return
	}
	before, report := server.notices.update(*notice)
	if before.RatePerS != notice.RatePerS {
		g.logger.Info("rate limit of the backend server changed", zap.String("server", server.ID),
			zap.Float64("before_per_s", before.RatePerS), zap.Float64("per_s", notice.RatePerS), zap.String("source", source))
	}
	if before.Leaving != notice.Leaving {
		g.logger.Info("backend server's answers say whether it leaves", zap.String("server", server.ID),
			zap.Bool("leaving", notice.Leaving), zap.String("source", source))
	}
	if report && g.options.OnServerLeaving != nil {
		go g.options.OnServerLeaving(server.ID)
	}
}

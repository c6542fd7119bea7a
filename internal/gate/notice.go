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
	latest wire.ServerNotice
}

// update records a notice and returns the one before.
func (t *noticeTracker) update(notice wire.ServerNotice) wire.ServerNotice {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.latest
	t.latest = notice
	return before
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
	before := server.notices.update(*notice)
	if before.RatePerS != notice.RatePerS {
		g.logger.Info("rate limit of the backend server changed", zap.String("server", server.ID),
			zap.Float64("before_per_s", before.RatePerS), zap.Float64("per_s", notice.RatePerS), zap.String("source", source))
	}
	if before.Leaving != notice.Leaving {
		g.logger.Info("backend server's answers say whether it leaves", zap.String("server", server.ID),
			zap.Bool("leaving", notice.Leaving), zap.String("source", source))
	}
}

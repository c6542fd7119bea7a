package gate

import (
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/wire"
)

// traceLines bounds the lines about requests, a second.
const traceLines = 100

func newTraceLimiter() *rate.Limiter { return rate.NewLimiter(traceLines, traceLines) }

// traceRefusal writes why a request was turned away.
func (g *Gate) traceRefusal(call *wire.Call, refusal *wire.Answer) {
	if !g.traces.Allow() {
		g.counts.untraced.Add(1)
		return
	}
	report := g.Report()
	g.log.Info("request refused", zap.String("request", call.RequestID), zap.String("route", call.Route),
		zap.String("outcome", errkind.Of(refusal.Kind).Name), zap.Uint32("running", report.GetInFlight()),
		zap.Uint32("queued", report.GetQueued()), zap.Uint32("limit", report.GetSlots()),
		zap.Uint32("usual_us", report.GetLatencyUs()), zap.Uint32("slowness_percent", report.GetSlownessPercent()),
		zap.Duration("left", time.Until(call.Deadline)), zap.Duration("retry_after", refusal.RetryAfter))
}

// traceFailure writes what became of a request that the backend server was given.
func (g *Gate) traceFailure(r *run, answer *wire.Answer, err error) {
	if !g.traces.Allow() {
		g.counts.untraced.Add(1)
		return
	}
	g.log.Info("request failed at the backend server", zap.String("request", r.call.RequestID),
		zap.String("route", r.call.Route), zap.String("server", r.server.ID),
		zap.String("outcome", errkind.Of(answer.Kind).Name), zap.Bool("crashed", answer.Crashed),
		zap.Duration("held", time.Since(r.begun)), zap.Duration("left", time.Until(r.call.Deadline)),
		zap.String("cause", err.Error()))
}

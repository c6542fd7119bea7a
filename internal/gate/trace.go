package gate

import (
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/wire"
)

// traceLineRate bounds the log lines about single requests, per second.
const traceLineRate = 100

func newTraceLimiter() *rate.Limiter { return rate.NewLimiter(traceLineRate, traceLineRate) }

// traceRefusal logs a refusal with the load that explains it.
func (g *Gate) traceRefusal(call *wire.Call, refusal *wire.Answer) {
	if !g.traceLimiter.Allow() {
		g.counters.untraced.Add(1)
		return
	}
	report := g.Report()
	rate, _ := g.limiter.rateLimit()
	g.logger.Info("request refused", zap.String("request", call.RequestID), zap.String("route", call.Route),
		zap.Stringer("class", call.Class), zap.String("organisation", call.Organisation),
		zap.String("outcome", errkind.Of(refusal.Kind).Name), zap.Uint32("running", report.GetInFlight()),
		zap.Uint32("queued", report.GetQueued()), zap.Uint32("limit", report.GetSlots()),
		zap.Uint32("usual_us", report.GetLatencyUs()), zap.Uint32("slowness_percent", report.GetSlownessPercent()),
		zap.Float64("rate_limit_per_s", rate), zap.Duration("left", time.Until(call.Deadline)), zap.Duration("retry_after", refusal.RetryAfter))
}

// traceBrokenOff logs an answer that broke off after its head.
func (g *Gate) traceBrokenOff(r *run, err error) {
	if !g.traceLimiter.Allow() {
		g.counters.untraced.Add(1)
		return
	}
	g.logger.Info("answer of the backend server broke off", zap.String("request", r.call.RequestID),
		zap.String("route", r.call.Route), zap.String("server", r.server.ID),
		zap.Duration("held", time.Since(r.startedAt)), zap.String("cause", err.Error()))
}

// traceFailure logs the failure of a request that was sent to the backend server.
func (g *Gate) traceFailure(r *run, answer *wire.Answer, err error) {
	if !g.traceLimiter.Allow() {
		g.counters.untraced.Add(1)
		return
	}
	g.logger.Info("request failed at the backend server", zap.String("request", r.call.RequestID),
		zap.String("route", r.call.Route), zap.String("server", r.server.ID),
		zap.String("outcome", errkind.Of(answer.Kind).Name), zap.Bool("crashed", answer.Crashed),
		zap.Duration("held", time.Since(r.startedAt)), zap.Duration("left", time.Until(r.call.Deadline)),
		zap.String("cause", err.Error()))
}

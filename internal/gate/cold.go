package gate

import (
	"context"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/egretfield/egretfield/internal/admission"
)

const (
	// coldProbeTimeout bounds a question whether the server is cold. An answer that takes
	// longer comes when the server counts as cold anyway.
	coldProbeTimeout = 400 * time.Millisecond
	// coldProbePause is the time without questions after one that failed.
	coldProbePause = 50 * time.Millisecond
)

// coldState is what the gate keeps about a server that may become cold besides the
// limiter's state.
type coldState struct {
	// enabled: the service has a cold rate.
	enabled atomic.Bool
	// boundsKnown: SetColdBounds has been called.
	boundsKnown atomic.Bool
	// logged: the server was cold in the latest log line.
	logged atomic.Bool
	// answered, failed and withheld count the questions whether the server is cold.
	answered, failed, withheld atomic.Int64
}

// coldRefusals counts refusals by whether the server was known to be cold.
type coldRefusals struct {
	cold, unknown int64
}

// SetColdBounds sets the limits of the backend server while it is cold.
func (g *Gate) SetColdBounds(bounds admission.ColdBounds) {
	g.limiter.setColdBounds(bounds)
	g.cold.enabled.Store(bounds.PerSecond > 0)
	g.cold.boundsKnown.Store(true)
	if server := g.server.Load(); server != nil {
		g.askIfCold(server)
	}
}

// RecordHeartbeat records the time for which the backend server with the given ID stays
// cold by its heartbeat; zero: it is warm.
func (g *Gate) RecordHeartbeat(serverID string, coldFor time.Duration) {
	server := g.server.Load()
	if server == nil || server.ID != serverID || !g.cold.enabled.Load() {
		return
	}
	g.limiter.recordColdHeartbeat(coldFor)
	g.logColdChange(server, "heartbeat")
}

// recordColdTime records what an answer of the server's health endpoint tells about its
// cold time.
func (g *Gate) recordColdTime(server *backendServer, report *healthReport) {
	if !report.tellsCold || !g.cold.enabled.Load() || g.server.Load() != server {
		return
	}
	g.limiter.recordColdAnswer(report.askedAt, report.coldFor)
	g.logColdChange(server, noticeFromHealth)
}

// logColdChange logs when the server becomes cold or warm.
func (g *Gate) logColdChange(server *backendServer, source string) {
	if cold := g.limiter.isCold(); g.cold.logged.Swap(cold) != cold {
		g.logger.Info("backend server's cold state changed", zap.String("server", server.ID), zap.Bool("cold", cold), zap.String("source", source))
	}
}

// askIfCold asks the server's health endpoint in the background whether the server is
// cold, if an answer is needed soon.
func (g *Gate) askIfCold(server *backendServer) {
	if !g.cold.enabled.Load() {
		return
	}
	g.logColdChange(server, "time")
	path := g.healthPath.Load()
	need := g.limiter.coldAnswerNeed()
	prober := server.prober
	if need == admission.AnswerNotNeeded || path == nil || *path == "" || prober.headers.ColdTime == "" ||
		time.Now().UnixNano() < prober.coldPausedUntil.Load() || !prober.askingCold.CompareAndSwap(false, true) {
		return
	}
	if !prober.limiter.Allow() {
		prober.askingCold.Store(false)
		return
	}
	allow := g.options.AllowProbe
	if need == admission.AnswerUrgent {
		allow = g.options.AllowUrgentProbe
	}
	if allow != nil && !allow() {
		prober.askingCold.Store(false)
		g.cold.withheld.Add(1)
		g.limiter.recordColdWithheld()
		return
	}
	go g.askColdTime(server, *path)
}

// askColdTime asks the server's health endpoint and records the answer.
func (g *Gate) askColdTime(server *backendServer, path string) {
	prober := server.prober
	defer prober.askingCold.Store(false)
	report, err := prober.get(context.Background(), prober.coldClient, path, coldProbeTimeout)
	if err != nil {
		g.cold.failed.Add(1)
		prober.coldPausedUntil.Store(time.Now().Add(coldProbePause).UnixNano())
		g.logger.Debug("question whether the backend server is cold failed", zap.String("server", server.ID), zap.Error(err))
		return
	}
	g.cold.answered.Add(1)
	g.recordHealth(server, report)
}

// observeCold observes the metrics of a server that may become cold.
func (g *Gate) observeCold(o metric.Observer, cold metric.Int64Observable, refusals, questions metric.Int64Observable) {
	value := int64(0)
	if g.limiter.isCold() {
		value = 1
	}
	o.ObserveInt64(cold, value)
	refused := g.limiter.coldRefusalCounts()
	o.ObserveInt64(refusals, refused.cold, metric.WithAttributes(attribute.String("state", "cold")))
	o.ObserveInt64(refusals, refused.unknown, metric.WithAttributes(attribute.String("state", "unknown")))
	o.ObserveInt64(questions, g.cold.answered.Load(), metric.WithAttributes(attribute.String("result", "answered")))
	o.ObserveInt64(questions, g.cold.failed.Load(), metric.WithAttributes(attribute.String("result", "failed")))
	o.ObserveInt64(questions, g.cold.withheld.Load(), metric.WithAttributes(attribute.String("result", "withheld")))
}

// setColdBounds sets the limits of the server while it is cold.
func (l *limiter) setColdBounds(bounds admission.ColdBounds) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Cold.Configure(time.Now(), bounds)
	l.grantLocked()
}

// recordColdHeartbeat records the remaining cold time in a heartbeat of the server.
func (l *limiter) recordColdHeartbeat(coldFor time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Cold.RecordHeartbeat(time.Now(), coldFor)
	l.grantLocked()
}

// recordColdAnswer records the remaining cold time in the server's answer to a question
// sent at askedAt, and starts the requests that waited for it.
func (l *limiter) recordColdAnswer(askedAt time.Time, coldFor time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Cold.RecordAnswer(time.Now(), askedAt, coldFor)
	l.grantLocked()
}

// recordColdWithheld records that the budget withheld a question.
func (l *limiter) recordColdWithheld() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Cold.RecordWithheld(time.Now())
}

// undoStart removes a start that didn't reach the server from those that count.
func (l *limiter) undoStart(startedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Cold.Undo(startedAt)
}

// coldAnswerNeed says whether the server should be asked whether it is cold.
func (l *limiter) coldAnswerNeed() admission.AnswerNeed {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Cold.Need(time.Now())
}

func (l *limiter) isCold() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Cold.IsCold(time.Now())
}

func (l *limiter) coldRefusalCounts() coldRefusals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.coldRefusals
}

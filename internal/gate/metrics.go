package gate

import (
	"context"
	"errors"
	"sync/atomic"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/http1"
	"github.com/egretfield/egretfield/internal/pb"
)

// counters are the gate's counters. The index of answers is the error kind; 0
// stands for answers of the backend server itself.
type counters struct {
	answers           [64]atomic.Int64
	crashes           atomic.Int64
	silentConnections atomic.Int64
	shed              atomic.Int64
	// probes counts the answers of the backend server's health endpoint that
	// reported a slowness.
	probes atomic.Int64
	// arrivals counts the requests sent to the backend server.
	arrivals atomic.Int64
	// malformed counts the answers of the backend server that break HTTP, brokenOff those
	// that its connection ended.
	malformed, brokenOff atomic.Int64
	// untraced counts the log lines about requests dropped by the rate limit.
	untraced atomic.Int64
}

func (c *counters) answer(kind errkind.Kind) {
	c.answers[int(kind)%len(c.answers)].Add(1)
}

// brokenAnswer counts an answer of which an error is all or the end.
func (c *counters) brokenAnswer(err error) {
	if errors.Is(err, http1.ErrMalformed) {
		c.malformed.Add(1)
		return
	}
	c.brokenOff.Add(1)
}

// registerMetrics registers the gate's metrics.
func (g *Gate) registerMetrics(meter metric.Meter) {
	if meter == nil {
		return
	}
	answers, _ := meter.Int64ObservableCounter("egretfield.gate.answers", metric.WithDescription("Answers of the gate by error kind; \"none\" is the backend server's own."))
	crashes, _ := meter.Int64ObservableCounter("egretfield.gate.crashes", metric.WithDescription("Crashes of the backend server with requests in flight."))
	silentConnections, _ := meter.Int64ObservableCounter("egretfield.gate.silent_connections", metric.WithDescription("Connections to the backend server given up as silent."))
	shed, _ := meter.Int64ObservableCounter("egretfield.gate.shed", metric.WithDescription("Requests that the backend server itself turned away."))
	probes, _ := meter.Int64ObservableCounter("egretfield.gate.probes", metric.WithDescription("Answers of the backend server's health endpoint."))
	arrivals, _ := meter.Int64ObservableCounter("egretfield.gate.arrivals", metric.WithDescription("Requests sent to the backend server."))
	broken, _ := meter.Int64ObservableCounter("egretfield.gate.broken_answers", metric.WithDescription("Answers of the backend server that weren't passed on as complete ones: malformed, or broken off by the end of the connection."))
	untraced, _ := meter.Int64ObservableCounter("egretfield.gate.untraced", metric.WithDescription("Lines about requests left out."))
	running, _ := meter.Int64ObservableGauge("egretfield.gate.running", metric.WithDescription("Requests that hold a slot."))
	queued, _ := meter.Int64ObservableGauge("egretfield.gate.queued", metric.WithDescription("Requests that wait for a slot."))
	rateLimit, _ := meter.Float64ObservableGauge("egretfield.gate.rate_limit", metric.WithDescription("Requests a second that the backend server takes; absent while it names none."))
	cold, _ := meter.Int64ObservableGauge("egretfield.gate.cold", metric.WithDescription("1 while the backend server counts as cold, else 0; absent for a service without a cold rate."))
	coldRefusals, _ := meter.Int64ObservableCounter("egretfield.gate.cold_refusals", metric.WithDescription("Requests refused because the backend server is cold, or hasn't said that it is warm, by state."))
	coldQuestions, _ := meter.Int64ObservableCounter("egretfield.gate.cold_questions", metric.WithDescription("Questions whether the backend server is cold, by result."))
	promises, _ := meter.Int64ObservableCounter("egretfield.gate.promises", metric.WithDescription("Promises of capacity to the returns of refused requests: made, kept, and missed because the request didn't return in time or wasn't admitted."))
	_, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		g.observeAnswers(o, answers)
		o.ObserveInt64(crashes, g.counters.crashes.Load())
		o.ObserveInt64(silentConnections, g.counters.silentConnections.Load())
		o.ObserveInt64(shed, g.counters.shed.Load())
		o.ObserveInt64(probes, g.counters.probes.Load())
		o.ObserveInt64(arrivals, g.counters.arrivals.Load())
		o.ObserveInt64(broken, g.counters.malformed.Load(), metric.WithAttributes(attribute.String("reason", "malformed")))
		o.ObserveInt64(broken, g.counters.brokenOff.Load(), metric.WithAttributes(attribute.String("reason", "broken_off")))
		if rate, limited := g.limiter.rateLimit(); limited {
			o.ObserveFloat64(rateLimit, rate)
		}
		if g.cold.enabled.Load() {
			g.observeCold(o, cold, coldRefusals, coldQuestions)
		}
		if counts := g.limiter.placeCounts(); counts.Promised > 0 {
			o.ObserveInt64(promises, int64(counts.Promised), metric.WithAttributes(attribute.String("result", "made")))
			o.ObserveInt64(promises, int64(counts.Kept), metric.WithAttributes(attribute.String("result", "kept")))
			o.ObserveInt64(promises, int64(counts.Missed), metric.WithAttributes(attribute.String("result", "missed")))
		}
		o.ObserveInt64(untraced, g.counters.untraced.Load())
		report := g.Report()
		o.ObserveInt64(running, int64(report.InFlight))
		o.ObserveInt64(queued, int64(report.Queued))
		return nil
	}, answers, crashes, silentConnections, shed, probes, arrivals, broken, rateLimit, cold, coldRefusals, coldQuestions, promises, untraced, running, queued)
	if err != nil {
		g.logger.Error("gate metrics not registered", zap.Error(err))
	}
}

func (g *Gate) observeAnswers(o metric.Observer, answers metric.Int64ObservableCounter) {
	for number := range pb.ErrorKind_name {
		value := g.counters.answers[number].Load()
		if value == 0 {
			continue
		}
		name := "none"
		if number != 0 {
			name = errkind.Of(pb.ErrorKind(number)).Name
		}
		o.ObserveInt64(answers, value, metric.WithAttributes(attribute.String("kind", name)))
	}
}

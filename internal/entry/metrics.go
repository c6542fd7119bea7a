package entry

import (
	"context"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

// serviceCounters are the counters of a service. Answers are indexed by error kind;
// index 0 counts the backend servers' own answers.
type serviceCounters struct {
	answers [64]atomic.Int64
	label   metric.MeasurementOption
}

func (c *serviceCounters) setService(service string) {
	c.label = metric.WithAttributeSet(attribute.NewSet(attribute.String("service", service)))
}

// metrics are the counters and histograms of a Handler.
type metrics struct {
	retries          atomic.Int64
	lostConnections  atomic.Int64
	recoveredAnswers atomic.Int64
	unfinishedKeys   atomic.Int64
	rejected         atomic.Int64
	crossRegionBytes atomic.Int64
	droppedLogLines  atomic.Int64
	hedges           hedgeCounters
	withdrawals      atomic.Int64
	latency          metric.Float64Histogram
	timeAdded        metric.Float64Histogram
}

// countAnswer counts the final answer and records its latencies.
func (x *exchange) countAnswer(answer *wire.Answer) {
	if x.service == nil {
		x.handler.metrics.rejected.Add(1)
		return
	}
	x.countOrganisation(answer.Kind)
	counters := &x.service.state.counters
	counters.answers[int(answer.Kind)%len(counters.answers)].Add(1)
	if answer.Kind == 0 && x.handler.metrics.timeAdded != nil {
		timeAdded := time.Since(x.startTime) - answer.ServerTime
		x.handler.metrics.timeAdded.Record(context.Background(), timeAdded.Seconds(), counters.label)
	}
	if x.handler.metrics.latency != nil {
		x.handler.metrics.latency.Record(context.Background(), time.Since(x.startTime).Seconds(), counters.label)
	}
}

// countCrossRegionBytes counts the bytes of an attempt in another region.
func (h *Handler) countCrossRegionBytes(result *balance.Result) {
	if result.Endpoint.Region != h.options.Region {
		h.metrics.crossRegionBytes.Add(result.Bytes)
	}
}

// timeAddedBounds are the histogram buckets of the time that the load balancer adds,
// in seconds. The bound of 340 µs is the time that it may add at the 99th percentile.
var timeAddedBounds = []float64{.0001, .0002, .00034, .0005, .001, .002, .005, .01, .05, .2, 1}

// latencyBounds are the histogram buckets of the latency, in seconds: from an answer
// of the same machine to the longest usual deadline.
var latencyBounds = []float64{0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 15}

// registerMetrics creates the entry's instruments and the callback that observes its
// counters.
func (h *Handler) registerMetrics(meter metric.Meter) {
	if meter == nil {
		return
	}
	h.metrics.timeAdded, _ = meter.Float64Histogram("egretfield.entry.time_added", metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(timeAddedBounds...),
		metric.WithDescription("Time to the answer's header besides the backend server's."))
	h.metrics.latency, _ = meter.Float64Histogram("egretfield.entry.latency", metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(latencyBounds...),
		metric.WithDescription("Time from a request's header to its answer, by service."))
	answers, _ := meter.Int64ObservableCounter("egretfield.entry.answers", metric.WithDescription("Answers by service and error kind; \"none\" is a backend server's own."))
	definitions := []struct {
		name, help string
		value      func() int64
	}{
		{"egretfield.entry.rejected", "Requests that named no known service.", h.metrics.rejected.Load},
		{"egretfield.entry.retries", "Attempts after the first.", h.metrics.retries.Load},
		{"egretfield.entry.hedges_sent", "Hedged attempts.", h.metrics.hedges.sent.Load},
		{"egretfield.entry.hedges_won", "Hedged attempts whose answer was delivered.", h.metrics.hedges.won.Load},
		{"egretfield.entry.hedges_cancelled", "Attempts cancelled because another attempt of the request was answered first.", h.metrics.hedges.cancelled.Load},
		{"egretfield.entry.withdrawals", "Attempts withdrawn while they waited at a gate, because another gate would start the request at once.", h.metrics.withdrawals.Load},
		{"egretfield.entry.lost_connections", "Attempts whose connection to a gate was lost.", h.metrics.lostConnections.Load},
		{"egretfield.entry.recovered_answers", "Lost answers fetched over a control call.", h.metrics.recoveredAnswers.Load},
		{"egretfield.entry.unfinished_keys", "Outcomes of keys that their keeper didn't record.", h.metrics.unfinishedKeys.Load},
		{"egretfield.entry.cross_region_bytes", "Bytes of bodies sent to and received from other regions, by attempt.", h.metrics.crossRegionBytes.Load},
		{"egretfield.entry.untraced", "Lines about requests left out.", h.metrics.droppedLogLines.Load},
		{"egretfield.entry.attempt_mismatches", "Answers that carried another attempt's id.", h.client.Mismatches},
	}
	byOrganisation, _ := meter.Int64ObservableCounter("egretfield.entry.organisation_answers",
		metric.WithDescription("Answers by organisation and result, for those with the most requests; the others are counted together."))
	withheld, _ := meter.Int64ObservableCounter("egretfield.entry.hedges_withheld",
		metric.WithDescription("Slow requests without a hedged attempt, by reason."))
	instruments := []metric.Observable{answers, byOrganisation, withheld}
	counters := make([]metric.Int64ObservableCounter, len(definitions))
	for i, definition := range definitions {
		counters[i], _ = meter.Int64ObservableCounter(definition.name, metric.WithDescription(definition.help))
		instruments = append(instruments, counters[i])
	}
	_, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for i, definition := range definitions {
			o.ObserveInt64(counters[i], definition.value())
		}
		h.observeAnswers(o, answers)
		h.observeOrganisations(o, byOrganisation)
		h.metrics.hedges.observeWithheld(o, withheld)
		return nil
	}, instruments...)
	if err != nil {
		h.logger.Error("registering entry metrics failed", zap.Error(err))
	}
}

func (h *Handler) observeAnswers(o metric.Observer, answers metric.Int64ObservableCounter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, state := range h.states {
		for number := range pb.ErrorKind_name {
			value := state.counters.answers[number].Load()
			if value == 0 {
				continue
			}
			kind := "none"
			if number != 0 {
				kind = errkind.Of(pb.ErrorKind(number)).Name
			}
			o.ObserveInt64(answers, value, metric.WithAttributes(attribute.String("service", name), attribute.String("kind", kind)))
		}
	}
}

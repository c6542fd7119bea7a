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

// serviceCounts are the counters of a service. The index of answers is the
// error kind; 0 stands for backend servers' own answers.
type serviceCounts struct {
	answers [64]atomic.Int64
	label   metric.MeasurementOption
}

func (c *serviceCounts) bind(service string) {
	c.label = metric.WithAttributeSet(attribute.NewSet(attribute.String("service", service)))
}

// metrics are the counters of a Handler.
type metrics struct {
	retries          atomic.Int64
	lost             atomic.Int64
	recovered        atomic.Int64
	unfinished       atomic.Int64
	rejected         atomic.Int64
	crossRegionBytes atomic.Int64
	untraced         atomic.Int64
	latency          metric.Float64Histogram
	added            metric.Float64Histogram
}

// count counts the final answer.
func (x *exchange) count(answer *wire.Answer) {
	if x.service == nil {
		x.handler.metrics.rejected.Add(1)
		return
	}
	counts := &x.service.state.counts
	counts.answers[int(answer.Kind)%len(counts.answers)].Add(1)
	if answer.Kind == 0 && x.handler.metrics.added != nil {
		added := time.Since(x.begun) - answer.ServerTime
		x.handler.metrics.added.Record(context.Background(), added.Seconds(), counts.label)
	}
	if x.handler.metrics.latency != nil {
		x.handler.metrics.latency.Record(context.Background(), time.Since(x.begun).Seconds(), counts.label)
	}
}

// countRegion counts the bytes of an attempt in another region.
func (x *exchange) countRegion(endpoint *balance.Endpoint) {
	if endpoint.Region != x.handler.options.Region {
		x.handler.metrics.crossRegionBytes.Add(x.open.Bytes)
	}
}

// addedBounds are the buckets of the time added, seconds.
var addedBounds = []float64{.0001, .0002, .00034, .0005, .001, .002, .005, .01, .05, .2, 1}

// latencyBounds are the buckets of the answers' times, seconds: from an answer
// of the same machine to the longest usual time budget.
var latencyBounds = []float64{0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 15}

// register makes the entry's metrics read its counters.
func (h *Handler) register(meter metric.Meter) {
	if meter == nil {
		return
	}
	h.metrics.added, _ = meter.Float64Histogram("egretfield.entry.time_added", metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(addedBounds...),
		metric.WithDescription("Time to the answer's header besides the backend server's."))
	h.metrics.latency, _ = meter.Float64Histogram("egretfield.entry.latency", metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(latencyBounds...),
		metric.WithDescription("Time from a request's header to its answer, by service."))
	answers, _ := meter.Int64ObservableCounter("egretfield.entry.answers", metric.WithDescription("Answers by service and error kind; \"none\" is a backend server's own."))
	plain := []struct {
		name, help string
		value      func() int64
	}{
		{"egretfield.entry.rejected", "Requests that named no known service.", h.metrics.rejected.Load},
		{"egretfield.entry.retries", "Attempts after the first.", h.metrics.retries.Load},
		{"egretfield.entry.lost_connections", "Attempts whose connection to a gate was lost.", h.metrics.lost.Load},
		{"egretfield.entry.recovered_answers", "Lost answers fetched over a control call.", h.metrics.recovered.Load},
		{"egretfield.entry.unfinished_keys", "Outcomes of keys that their keeper didn't record.", h.metrics.unfinished.Load},
		{"egretfield.entry.cross_region_bytes", "Bytes of bodies sent to and received from other regions, by attempt.", h.metrics.crossRegionBytes.Load},
		{"egretfield.entry.untraced", "Lines about requests left out.", h.metrics.untraced.Load},
		{"egretfield.entry.attempt_mismatches", "Answers that carried another attempt's id.", h.client.Mismatches},
	}
	instruments := []metric.Observable{answers}
	counters := make([]metric.Int64ObservableCounter, len(plain))
	for i, p := range plain {
		counters[i], _ = meter.Int64ObservableCounter(p.name, metric.WithDescription(p.help))
		instruments = append(instruments, counters[i])
	}
	_, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for i, p := range plain {
			o.ObserveInt64(counters[i], p.value())
		}
		h.observeAnswers(o, answers)
		return nil
	}, instruments...)
	if err != nil {
		h.log.Error("entry metrics not registered", zap.Error(err))
	}
}

func (h *Handler) observeAnswers(o metric.Observer, answers metric.Int64ObservableCounter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, state := range h.states {
		for number := range pb.ErrorKind_name {
			value := state.counts.answers[number].Load()
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

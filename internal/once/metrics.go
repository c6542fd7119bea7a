package once

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

type metrics struct {
	begins    metric.Int64Counter
	appends   metric.Int64Counter
	takeovers metric.Int64Counter
	handovers metric.Int64Counter
}

func newMetrics(meter metric.Meter) (*metrics, error) {
	if meter == nil {
		meter = noop.NewMeterProvider().Meter("once")
	}
	var m metrics
	counters := []struct {
		to   *metric.Int64Counter
		name string
		help string
	}{
		{&m.begins, "egretfield.keys.begun", "Requests with a key by verdict."},
		{&m.appends, "egretfield.keeper.appends", "Appends to the keeper stream by record and result."},
		{&m.takeovers, "egretfield.keeper.takeovers", "Shards claimed by this node."},
		{&m.handovers, "egretfield.keeper.handovers", "Shards handed over by this node by result."},
	}
	for _, counter := range counters {
		made, err := meter.Int64Counter(counter.name, metric.WithDescription(counter.help))
		if err != nil {
			return nil, err
		}
		*counter.to = made
	}
	return &m, nil
}

func (m *metrics) begun(verdict string) {
	m.begins.Add(context.Background(), 1, metric.WithAttributes(attribute.String("verdict", verdict)))
}

func (m *metrics) refused(kind pb.ErrorKind) {
	m.begun(errkind.Of(kind).Name)
}

func (m *metrics) appended(record string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.appends.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("record", record), attribute.String("result", result)))
}

func (m *metrics) handedOver(shards int, accepted bool) {
	m.handovers.Add(context.Background(), int64(shards), metric.WithAttributes(attribute.Bool("accepted", accepted)))
}

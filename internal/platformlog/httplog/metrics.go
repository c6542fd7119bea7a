package httplog

import (
	"context"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// metrics holds the counters of a client.
type metrics struct {
	reads   metric.Int64Counter
	records metric.Int64Counter
}

// newMetrics creates the counters with meter. If meter is nil, they record nothing.
func newMetrics(meter metric.Meter) (*metrics, error) {
	if meter == nil {
		meter = noop.Meter{}
	}
	reads, err := meter.Int64Counter("egretfield.log.reads",
		metric.WithDescription("Reads of the platform's log sent, by stream."))
	if err != nil {
		return nil, eris.Wrap(err, "metrics")
	}
	records, err := meter.Int64Counter("egretfield.log.records_read",
		metric.WithDescription("Records that the platform's log handed to this node, by stream."))
	if err != nil {
		return nil, eris.Wrap(err, "metrics")
	}
	return &metrics{reads: reads, records: records}, nil
}

// read counts one read of a stream and the records it returned.
func (m *metrics) read(ctx context.Context, stream string, records int) {
	attributes := metric.WithAttributes(attribute.String("stream", stream))
	m.reads.Add(ctx, 1, attributes)
	m.records.Add(ctx, int64(records), attributes)
}

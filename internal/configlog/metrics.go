package configlog

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

// metrics holds the gauges and counters of a follower.
type metrics struct {
	version      metric.Int64Gauge
	folded       metric.Int64Gauge
	records      metric.Int64Counter
	reads        metric.Int64Counter
	trimmedReads metric.Int64Counter
	pullsFailed  metric.Int64Counter
	divergences  metric.Int64Counter
	evacuations  metric.Int64Gauge
	refused      metric.Int64Gauge
	adjusted     metric.Int64Gauge
}

// newMetrics creates the metrics with meter. If meter is nil, they record nothing.
func newMetrics(meter metric.Meter) *metrics {
	if meter == nil {
		meter = noop.Meter{}
	}
	m := &metrics{}
	m.version, _ = meter.Int64Gauge("egretfield.config.version")
	m.folded, _ = meter.Int64Gauge("egretfield.config.folded_through")
	m.records, _ = meter.Int64Counter("egretfield.config.records")
	m.reads, _ = meter.Int64Counter("egretfield.config.log_reads")
	m.trimmedReads, _ = meter.Int64Counter("egretfield.config.trimmed_reads")
	m.pullsFailed, _ = meter.Int64Counter("egretfield.config.pulls_failed")
	m.divergences, _ = meter.Int64Counter("egretfield.config.divergences")
	m.evacuations, _ = meter.Int64Gauge("egretfield.config.evacuations")
	m.refused, _ = meter.Int64Gauge("egretfield.config.newest_refused", metric.WithDescription("1 if the newest configuration is invalid, so that an older version is in force."))
	m.adjusted, _ = meter.Int64Gauge("egretfield.config.adjusted_limits", metric.WithDescription("Limits of the version in force that exceed a bound of the node and are applied as that bound."))
	return m
}

func (m *metrics) state(state State) {
	m.version.Record(context.Background(), state.Version())
	m.folded.Record(context.Background(), state.FoldedThrough)
}

// record counts a folded record by its verdict.
func (m *metrics) record(entry *pb.AuditEntry) {
	verdict := "none"
	switch {
	case entry.GetAccepted():
		verdict = "accepted"
	case entry != nil:
		verdict = errkind.Of(entry.GetRefusal()).Name
	}
	m.records.Add(context.Background(), 1, metric.WithAttributes(attribute.String("verdict", verdict)))
}

func (m *metrics) read(err error) {
	m.reads.Add(context.Background(), 1, metric.WithAttributes(attribute.Bool("ok", err == nil)))
}

// trimmed counts a read at an offset that the log doesn't have.
func (m *metrics) trimmed() {
	m.trimmedReads.Add(context.Background(), 1)
}

func (m *metrics) pullFailed() {
	m.pullsFailed.Add(context.Background(), 1)
}

func (m *metrics) diverged() {
	m.divergences.Add(context.Background(), 1)
}

// unapplied records whether the newest configuration is refused as invalid, and the number
// of limits in force that were brought down to a bound.
func (m *metrics) unapplied(isRefused bool, adjusted int) {
	refused := int64(0)
	if isRefused {
		refused = 1
	}
	m.refused.Record(context.Background(), refused)
	m.adjusted.Record(context.Background(), int64(adjusted))
}

// evacuated records the number of data centres whose evacuation is in force.
func (m *metrics) evacuated(count int) {
	m.evacuations.Record(context.Background(), int64(count))
}

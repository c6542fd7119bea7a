package quota

import (
	"context"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Observe registers the manager's metrics with meter. The organisations with the
// largest rates have labels of their own; the others share one.
func (m *Manager) Observe(meter metric.Meter) error {
	definitions := []struct {
		name, help string
		value      func(c *labelCounters) int64
	}{
		{"egretfield.quota.granted", "Tokens given to requests, by organisation.", func(c *labelCounters) int64 { return c.granted.Load() }},
		{"egretfield.quota.refused", "Requests refused beyond the usage cap, by organisation.", func(c *labelCounters) int64 { return c.refused.Load() }},
		{"egretfield.quota.asked", "Requests for tokens sent to owners, by organisation.", func(c *labelCounters) int64 { return c.asked.Load() }},
		{"egretfield.quota.timeouts", "Requests for tokens without a reply in time, by organisation.", func(c *labelCounters) int64 { return c.timeouts.Load() }},
	}
	instruments := make([]metric.Observable, 0, len(definitions)+1)
	counters := make([]metric.Int64ObservableCounter, len(definitions))
	for i, definition := range definitions {
		var err error
		if counters[i], err = meter.Int64ObservableCounter(definition.name, metric.WithDescription(definition.help)); err != nil {
			return eris.Wrap(err, "metrics")
		}
		instruments = append(instruments, counters[i])
	}
	owned, err := meter.Int64ObservableGauge("egretfield.quota.owned_slots",
		metric.WithDescription("Slots of organisations whose part of the cap in this region this node grants from."))
	if err != nil {
		return eris.Wrap(err, "metrics")
	}
	instruments = append(instruments, owned)
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for _, c := range m.caps.Load().all {
			organisation := metric.WithAttributes(attribute.String("organisation", c.label))
			for i, definition := range definitions {
				o.ObserveInt64(counters[i], definition.value(c), organisation)
			}
		}
		o.ObserveInt64(owned, int64(m.placement.Load().Owned()))
		return nil
	}, instruments...)
	return eris.Wrap(err, "metrics")
}

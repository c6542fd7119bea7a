package node

import (
	"context"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/egretfield/egretfield/internal/balance"
)

// observe registers the metrics of the parts that were created without a meter.
func (n *Node) observe(options Options) error {
	meter := options.Metrics.Meter()
	for _, register := range []func() error{
		func() error { return n.members.Observe(meter) },
		func() error { return n.limiter.Observe(meter) },
		func() error { return n.controlClient.Stats().Observe(meter, "client") },
		func() error { return n.controlServer.Stats().Observe(meter, "server") },
		func() error { return n.observeBalancers(meter) },
		func() error { return n.observeKeeper(meter) },
		func() error { return n.quota.Observe(meter) },
	} {
		if err := register(); err != nil {
			return err
		}
	}
	return nil
}

// observeBalancers registers counters of ejections and cross-region bytes by service.
func (n *Node) observeBalancers(meter metric.Meter) error {
	ejections, err := meter.Int64ObservableCounter("egretfield.balance.ejections",
		metric.WithDescription("Outliers ejected, by service."))
	if err != nil {
		return eris.Wrap(err, "metrics")
	}
	bytes, err := meter.Int64ObservableCounter("egretfield.balance.cross_region_bytes", metric.WithUnit("By"),
		metric.WithDescription("Bytes of requests and answers to and from other regions, by service."))
	if err != nil {
		return eris.Wrap(err, "metrics")
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for name, stats := range n.balancers.stats() {
			service := metric.WithAttributes(attribute.String("service", name))
			o.ObserveInt64(ejections, stats.Ejections, service)
			o.ObserveInt64(bytes, stats.CrossRegionBytes, service)
		}
		return nil
	}, ejections, bytes)
	return eris.Wrap(err, "metrics")
}

// observeKeeper registers gauges of the keys and shards that this node keeps.
func (n *Node) observeKeeper(meter metric.Meter) error {
	if n.keeper == nil {
		return nil
	}
	keys, err := meter.Int64ObservableGauge("egretfield.keys.held", metric.WithDescription("Idempotency keys in memory."))
	if err != nil {
		return eris.Wrap(err, "metrics")
	}
	shards, err := meter.Int64ObservableGauge("egretfield.keys.shards", metric.WithDescription("Shards of keys kept by this node."))
	if err != nil {
		return eris.Wrap(err, "metrics")
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		status := n.keeper.Status()
		o.ObserveInt64(keys, int64(status.Keys))
		o.ObserveInt64(shards, int64(status.Shards))
		return nil
	}, keys, shards)
	return eris.Wrap(err, "metrics")
}

// stats returns the counters of every balancer by service.
func (b *balancers) stats() map[string]balance.Stats {
	all := map[string]balance.Stats{}
	for name, existing := range *b.byService.Load() {
		if explainer, ok := existing.balancer.(balance.Explainer); ok {
			all[name] = explainer.Stats()
		}
	}
	return all
}

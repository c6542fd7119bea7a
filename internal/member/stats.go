package member

import (
	"context"
	"sync/atomic"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/egretfield/egretfield/internal/budget"
	"github.com/egretfield/egretfield/internal/pb"
)

// counters holds the values of Stats.
type counters struct {
	exchanges     atomic.Uint64
	failed        atomic.Uint64
	skipped       atomic.Uint64
	checks        atomic.Uint64
	withheld      atomic.Uint64
	refutations   atomic.Uint64
	pauses        atomic.Uint64
	appends       atomic.Uint64
	logFailed     atomic.Uint64
	badRecords    atomic.Uint64
	rumorsDropped atomic.Uint64
}

// Stats are a List's counters.
type Stats struct {
	// Exchanges counts the gossip calls made, Failed the exchanges that ended because
	// a call failed, and Skipped the messages dropped because of the budget.
	Exchanges, Failed, Skipped uint64
	// Checks counts the checks of members reported unreachable, and Withheld those
	// that ended without an accusation because the fault may be this node's own.
	Checks, Withheld uint64
	// Refutations counts the accusations that this node has refuted.
	Refutations uint64
	// Pauses counts the detected pauses of this process.
	Pauses uint64
	// Appends counts the attempted appends to the member stream, LogFailed the failed
	// operations on the log, and BadRecords the records that couldn't be decoded or
	// were invalid.
	Appends, LogFailed, BadRecords uint64
	// RumorsDropped counts the rumors and deliveries dropped because of a limit.
	RumorsDropped uint64
}

// Stats returns the current counters.
func (l *List) Stats() Stats {
	s := &l.stats
	return Stats{
		Exchanges:     s.exchanges.Load(),
		Failed:        s.failed.Load(),
		Skipped:       s.skipped.Load(),
		Checks:        s.checks.Load(),
		Withheld:      s.withheld.Load(),
		Refutations:   s.refutations.Load(),
		Pauses:        s.pauses.Load(),
		Appends:       s.appends.Load(),
		LogFailed:     s.logFailed.Load(),
		BadRecords:    s.badRecords.Load(),
		RumorsDropped: s.rumorsDropped.Load(),
	}
}

// GossipLimiter returns the limiter of gossip, so that its counters can be read.
func (l *List) GossipLimiter() *budget.Limiter { return l.gossipLimiter }

// Observe registers the counters and the number of members by status with meter.
func (l *List) Observe(meter metric.Meter) error {
	events, err := meter.Int64ObservableCounter("egretfield.member.events",
		metric.WithDescription("Events of the membership by kind."))
	if err != nil {
		return err
	}
	members, err := meter.Int64ObservableGauge("egretfield.member.members",
		metric.WithDescription("Members known, by status."))
	if err != nil {
		return err
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		l.observeEvents(o, events)
		l.observeMembers(o, members)
		return nil
	}, events, members)
	return err
}

func (l *List) observeEvents(o metric.Observer, events metric.Int64Observable) {
	s := l.Stats()
	for _, event := range []struct {
		name  string
		value uint64
	}{
		{"exchange", s.Exchanges}, {"exchange_failed", s.Failed}, {"skipped", s.Skipped},
		{"check", s.Checks}, {"check_withheld", s.Withheld}, {"refutation", s.Refutations},
		{"pause", s.Pauses}, {"log_append", s.Appends}, {"log_failed", s.LogFailed},
		{"bad_record", s.BadRecords}, {"rumor_dropped", s.RumorsDropped},
	} {
		o.ObserveInt64(events, int64(event.value), metric.WithAttributes(attribute.String("event", event.name)))
	}
}

func (l *List) observeMembers(o metric.Observer, members metric.Int64Observable) {
	counts := map[pb.MemberStatus]int64{}
	for _, m := range l.View().Members {
		counts[m.Status]++
	}
	for _, status := range []pb.MemberStatus{alive, suspect, draining, dead, left} {
		o.ObserveInt64(members, counts[status], metric.WithAttributes(attribute.String("status", status.String())))
	}
}

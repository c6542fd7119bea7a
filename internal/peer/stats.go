package peer

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

const (
	// maxClasses bounds the number of classes counted separately; calls of further
	// classes count as otherClass.
	maxClasses = 32
	otherClass = "other"
)

// Traffic is the number of messages and bytes of a class of calls in each direction,
// as seen from this end.
type Traffic struct {
	MessagesIn, MessagesOut, BytesIn, BytesOut uint64
}

// trafficCounters are the counters behind a Traffic.
type trafficCounters struct {
	messagesIn, messagesOut, bytesIn, bytesOut atomic.Uint64
}

// Stats counts messages and bytes per class of calls, which is the service part of
// the method name, and connections by event. It is safe for concurrent use.
type Stats struct {
	mu      sync.RWMutex
	classes map[string]*trafficCounters
	// rejected counts connections closed before authentication succeeded.
	rejected atomic.Uint64
	// refused counts connections closed at once because a limit was reached or the
	// server was closed.
	refused atomic.Uint64
	// retired counts connections retired because the peer stopped responding.
	retired atomic.Uint64
	dials   atomic.Uint64
	// panics counts calls that ended with a panic of the called method.
	panics atomic.Uint64
}

func newStats() *Stats {
	return &Stats{classes: map[string]*trafficCounters{}}
}

// Rejected returns the number of connections closed before authentication
// succeeded.
func (s *Stats) Rejected() uint64 { return s.rejected.Load() }

// Refused returns the number of connections closed at once because a limit was
// reached or the server was closed.
func (s *Stats) Refused() uint64 { return s.refused.Load() }

// Retired returns the number of connections retired because the peer stopped
// responding.
func (s *Stats) Retired() uint64 { return s.retired.Load() }

// Panics returns the number of calls that ended with a panic of the called method.
func (s *Stats) Panics() uint64 { return s.panics.Load() }

// Dials returns the number of attempts to open a connection.
func (s *Stats) Dials() uint64 { return s.dials.Load() }

// Classes returns the traffic of each class.
func (s *Stats) Classes() map[string]Traffic {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make(map[string]Traffic, len(s.classes))
	for name, t := range s.classes {
		out[name] = Traffic{t.messagesIn.Load(), t.messagesOut.Load(), t.bytesIn.Load(), t.bytesOut.Load()}
	}
	return out
}

// trafficOf returns the counters of a method's class.
func (s *Stats) trafficOf(method string) *trafficCounters {
	name, _, _ := strings.Cut(method, ".")
	s.mu.RLock()
	counters := s.classes[name]
	s.mu.RUnlock()
	if counters != nil {
		return counters
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.classes[name] == nil && len(s.classes) >= maxClasses {
		name = otherClass
	}
	if s.classes[name] == nil {
		s.classes[name] = &trafficCounters{}
	}
	return s.classes[name]
}

func (s *Stats) countIn(method string, bytes int) {
	t := s.trafficOf(method)
	t.messagesIn.Add(1)
	t.bytesIn.Add(uint64(bytes))
}

func (s *Stats) countOut(method string, bytes int) {
	t := s.trafficOf(method)
	t.messagesOut.Add(1)
	t.bytesOut.Add(uint64(bytes))
}

// Observe registers the counters with meter; role is "client" or "server".
func (s *Stats) Observe(meter metric.Meter, role string) error {
	messages, err := meter.Int64ObservableCounter("egretfield.peer.messages",
		metric.WithDescription("Control messages by class, direction and role."))
	if err != nil {
		return err
	}
	bytes, err := meter.Int64ObservableCounter("egretfield.peer.bytes", metric.WithUnit("By"),
		metric.WithDescription("Control bytes by class, direction and role."))
	if err != nil {
		return err
	}
	connections, err := meter.Int64ObservableCounter("egretfield.peer.connections",
		metric.WithDescription("Control connections by event and role."))
	if err != nil {
		return err
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for class, t := range s.Classes() {
			in := observationAttributes(role, attribute.String("class", class), attribute.String("direction", "in"))
			out := observationAttributes(role, attribute.String("class", class), attribute.String("direction", "out"))
			o.ObserveInt64(messages, int64(t.MessagesIn), in)
			o.ObserveInt64(messages, int64(t.MessagesOut), out)
			o.ObserveInt64(bytes, int64(t.BytesIn), in)
			o.ObserveInt64(bytes, int64(t.BytesOut), out)
		}
		o.ObserveInt64(connections, int64(s.Dials()), observationAttributes(role, attribute.String("event", "dialed")))
		o.ObserveInt64(connections, int64(s.Rejected()), observationAttributes(role, attribute.String("event", "rejected")))
		o.ObserveInt64(connections, int64(s.Refused()), observationAttributes(role, attribute.String("event", "refused")))
		o.ObserveInt64(connections, int64(s.Retired()), observationAttributes(role, attribute.String("event", "retired")))
		return nil
	}, messages, bytes, connections)
	return err
}

// observationAttributes returns the attributes of one observation.
func observationAttributes(role string, more ...attribute.KeyValue) metric.MeasurementOption {
	return metric.WithAttributes(append(more, attribute.String("role", role))...)
}

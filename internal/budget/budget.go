// Package budget bounds what a node spends on measuring load and on gossip:
// bytes, messages and estimated work a second. What doesn't fit is dropped, the
// least important class first, and counted.
package budget

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/egretfield/egretfield/internal/pb"
)

// Class is a kind of control traffic. Lower classes are dropped first.
type Class int

// Classes in the order of dropping.
const (
	// ClassProbe is for requests that only ask for load.
	ClassProbe Class = iota
	// ClassReport is for load reports.
	ClassReport
	// ClassRumor is for payloads of a Broadcaster.
	ClassRumor
	// ClassGossip is for changes of members and digests.
	ClassGossip
	// ClassLiveness is for checks of members and their answers.
	ClassLiveness
	// ClassLeave is for news of members that leave or drain.
	ClassLeave
	classCount
)

// String returns the class's name in metrics.
func (c Class) String() string {
	return [...]string{"probe", "report", "rumor", "gossip", "liveness", "leave"}[c]
}

// reserved is the share of each allowance, in percent, that a class leaves to
// the classes above it.
var reserved = [classCount]float64{
	ClassProbe:    60,
	ClassReport:   50,
	ClassRumor:    40,
	ClassGossip:   30,
	ClassLiveness: 10,
	ClassLeave:    0,
}

// Defaults of the limits.
const (
	DefaultBytes    = 25_000
	DefaultMessages = 200
	// DefaultWork is the processor time a second for measuring and gossip.
	DefaultWork = 9 * time.Millisecond
	// WorkPerMessage and WorkPerKiB estimate the work of a message.
	WorkPerMessage = 40 * time.Microsecond
	WorkPerKiB     = 10 * time.Microsecond
	// WorkPerDatagram estimates that of a question or offer: offer.BenchmarkAsk takes
	// 45 us for both, with both ends.
	WorkPerDatagram = 25 * time.Microsecond

	kib = 1024 // bytes
	// burst is the time for which an unused allowance is kept.
	burst = time.Second
)

// Limits are the allowances for one second.
type Limits struct {
	Bytes    float64
	Messages float64
	Work     time.Duration
}

// LimitsOf returns the limits of a preset's budget; zero fields and nil stand
// for the defaults.
func LimitsOf(b *pb.MeasuringBudget) Limits {
	limits := Limits{Bytes: DefaultBytes, Messages: DefaultMessages, Work: DefaultWork}
	if n := b.GetBytesPerS(); n > 0 {
		limits.Bytes = float64(n)
	}
	if n := b.GetMessagesPerS(); n > 0 {
		limits.Messages = float64(n)
	}
	return limits
}

// bucket is a token bucket.
type bucket struct {
	rate   float64 // tokens a second
	tokens float64
}

// capacity is the greatest number of tokens that the bucket holds.
func (b *bucket) capacity() float64 {
	return b.rate * burst.Seconds()
}

func (b *bucket) refill(elapsed time.Duration) {
	b.tokens = min(b.tokens+b.rate*elapsed.Seconds(), b.capacity())
}

// has says whether n tokens can be taken while keep percent stay.
func (b *bucket) has(n, keep float64) bool {
	return b.tokens-n >= b.capacity()*keep/100
}

// Limiter is the one limiter of a node. Safe for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	last     time.Time
	bytes    bucket
	messages bucket
	work     bucket // in seconds

	allowed      [classCount]atomic.Uint64
	allowedBytes [classCount]atomic.Uint64
	dropped      [classCount]atomic.Uint64
}

// New returns a limiter with full allowances.
func New(limits Limits) *Limiter {
	l := &Limiter{last: time.Now()}
	l.SetLimits(limits)
	l.bytes.tokens = l.bytes.capacity()
	l.messages.tokens = l.messages.capacity()
	l.work.tokens = l.work.capacity()
	return l
}

// SetLimits changes the limits at once.
func (l *Limiter) SetLimits(limits Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill()
	l.bytes.rate = limits.Bytes
	l.messages.rate = limits.Messages
	l.work.rate = limits.Work.Seconds()
}

// Allow takes the cost of a message of the class from the allowances and
// returns true, or returns false: the message must not be sent. A message
// counts once, where it is sent.
func (l *Limiter) Allow(class Class, bytes int) bool {
	return l.allow(class, bytes, workOf(bytes).Seconds())
}

// AllowDatagram is Allow for a datagram.
func (l *Limiter) AllowDatagram(class Class, bytes int) bool {
	return l.allow(class, bytes, WorkPerDatagram.Seconds())
}

func (l *Limiter) allow(class Class, bytes int, work float64) bool {
	keep := reserved[class]
	l.mu.Lock()
	l.refill()
	ok := l.bytes.has(float64(bytes), keep) && l.messages.has(1, keep) && l.work.has(work, keep)
	if ok {
		l.bytes.tokens -= float64(bytes)
		l.messages.tokens--
		l.work.tokens -= work
	}
	l.mu.Unlock()
	l.count(class, bytes, ok)
	return ok
}

// refill adds what the time since the last call allows. The caller holds mu.
func (l *Limiter) refill() {
	now := time.Now()
	elapsed := now.Sub(l.last)
	l.last = now
	l.bytes.refill(elapsed)
	l.messages.refill(elapsed)
	l.work.refill(elapsed)
}

func (l *Limiter) count(class Class, bytes int, ok bool) {
	if !ok {
		l.dropped[class].Add(1)
		return
	}
	l.allowed[class].Add(1)
	l.allowedBytes[class].Add(uint64(bytes))
}

// workOf estimates the processor time of sending and receiving a message.
func workOf(bytes int) time.Duration {
	return WorkPerMessage + WorkPerKiB*time.Duration(bytes)/kib
}

// Allowed returns the messages and bytes of the class that passed.
func (l *Limiter) Allowed(class Class) (messages, bytes uint64) {
	return l.allowed[class].Load(), l.allowedBytes[class].Load()
}

// Dropped returns the number of messages of the class that were dropped.
func (l *Limiter) Dropped(class Class) uint64 {
	return l.dropped[class].Load()
}

// Observe reports the counters to meter.
func (l *Limiter) Observe(meter metric.Meter) error {
	messages, err := meter.Int64ObservableCounter("egretfield.budget.messages",
		metric.WithDescription("Messages of measuring and gossip by class and result."))
	if err != nil {
		return err
	}
	bytes, err := meter.Int64ObservableCounter("egretfield.budget.bytes", metric.WithUnit("By"),
		metric.WithDescription("Bytes of measuring and gossip that passed, by class."))
	if err != nil {
		return err
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		for class := range classCount {
			name := attribute.String("class", class.String())
			passed, size := l.Allowed(class)
			o.ObserveInt64(messages, int64(passed), metric.WithAttributes(name, attribute.String("result", "allowed")))
			o.ObserveInt64(messages, int64(l.Dropped(class)), metric.WithAttributes(name, attribute.String("result", "dropped")))
			o.ObserveInt64(bytes, int64(size), metric.WithAttributes(name))
		}
		return nil
	}, messages, bytes)
	return err
}

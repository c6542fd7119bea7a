// Package budget limits the rate of a node's traffic for load measurement and
// gossip: bytes, messages and estimated CPU time per second. Messages over the
// limits are dropped, the least important class first, and counted.
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

// Class is a priority class of control traffic. Lower classes are dropped first.
type Class int

// Classes, the first to be dropped first.
const (
	// ClassExtra is for questions about requests that are placed already.
	ClassExtra Class = iota
	// ClassProbe is for requests that only ask for load.
	ClassProbe
	// ClassReport is for load reports.
	ClassReport
	// ClassQuota is for tokens of usage caps, which requests wait for.
	ClassQuota
	// ClassRumor is for payloads of a peer.Broadcaster.
	ClassRumor
	// ClassGossip is for changes of members and digests.
	ClassGossip
	// ClassLiveness is for checks of members and their answers.
	ClassLiveness
	// ClassLeave is for messages about members that leave or drain.
	ClassLeave
	classCount
)

// String returns the class's name in metrics.
func (c Class) String() string {
	return [...]string{"extra", "probe", "report", "quota", "rumor", "gossip", "liveness", "leave"}[c]
}

// reservedPercent is the share of each allowance that a class leaves to the classes
// above it.
var reservedPercent = [classCount]float64{
	ClassExtra:    80,
	ClassProbe:    60,
	ClassReport:   50,
	ClassQuota:    45,
	ClassRumor:    40,
	ClassGossip:   30,
	ClassLiveness: 10,
	ClassLeave:    0,
}

// Default limits per second, and the estimated costs of messages.
const (
	DefaultBytes    = 25_000
	DefaultMessages = 200
	// DefaultCPUTime is the CPU time per second for load measurement and gossip.
	DefaultCPUTime = 9 * time.Millisecond
	// CPUTimePerMessage and CPUTimePerKiB estimate the CPU time of a message.
	CPUTimePerMessage = 40 * time.Microsecond
	CPUTimePerKiB     = 10 * time.Microsecond
	// CPUTimePerDatagram estimates the CPU time of a question or an offer:
	// offer.BenchmarkAsk takes 45 us for one of each, both ends included.
	CPUTimePerDatagram = 25 * time.Microsecond

	kib = 1024 // bytes
	// burstPeriod is how long an unused allowance is kept.
	burstPeriod = time.Second
	// creditPeriod is how long after its start a node may use the start credit. Members
	// that start together are known within 3 s at 660 nodes, and servers announce
	// themselves within another 1.5 s.
	creditPeriod = 10 * time.Second
)

// DefaultStartCredit is the one-time credit of a node for the exchange of member tables
// after its start. One table of 660 members is 112 KB; with 250 KB, 660 nodes that started
// together ran out of credit before they knew all members.
var DefaultStartCredit = Credit{Bytes: 400_000, Messages: 400, CPUTime: 26 * time.Millisecond}

// Limits are the allowances per second.
type Limits struct {
	Bytes    float64
	Messages float64
	CPUTime  time.Duration
}

// LimitsOf returns the limits set by a preset's budget. Zero fields, and all fields
// of a nil budget, take the defaults.
func LimitsOf(b *pb.MeasuringBudget) Limits {
	limits := Limits{Bytes: DefaultBytes, Messages: DefaultMessages, CPUTime: DefaultCPUTime}
	if n := b.GetBytesPerS(); n > 0 {
		limits.Bytes = float64(n)
	}
	if n := b.GetMessagesPerS(); n > 0 {
		limits.Messages = float64(n)
	}
	return limits
}

// Credit is an allowance that a limiter grants once, in addition to its limits.
type Credit struct {
	Bytes    float64
	Messages float64
	CPUTime  time.Duration
}

// take takes a message's cost from the credit. It reports false, and takes nothing, if
// any of the three doesn't suffice.
func (c *Credit) take(bytes int, cpuTime time.Duration) bool {
	if c.Bytes < float64(bytes) || c.Messages < 1 || c.CPUTime < cpuTime {
		return false
	}
	c.Bytes -= float64(bytes)
	c.Messages--
	c.CPUTime -= cpuTime
	return true
}

// bucket is a token bucket.
type bucket struct {
	ratePerSecond float64 // tokens
	tokens        float64
}

// capacity returns the largest number of tokens that the bucket holds.
func (b *bucket) capacity() float64 {
	return b.ratePerSecond * burstPeriod.Seconds()
}

func (b *bucket) refill(elapsed time.Duration) {
	b.tokens = min(b.tokens+b.ratePerSecond*elapsed.Seconds(), b.capacity())
}

// canTake reports whether n tokens can be taken with at least keepPercent of the
// capacity left.
func (b *bucket) canTake(n, keepPercent float64) bool {
	return b.tokens-n >= b.capacity()*keepPercent/100
}

// Limiter limits the control traffic of a node; a node has one. Safe for concurrent
// use.
type Limiter struct {
	mu         sync.Mutex
	lastRefill time.Time
	bytes      bucket
	messages   bucket
	cpuTime    bucket // in seconds
	// credit is what is left of the start credit, which expires at creditExpires.
	credit        Credit
	creditExpires time.Time

	allowed      [classCount]atomic.Uint64
	allowedBytes [classCount]atomic.Uint64
	dropped      [classCount]atomic.Uint64
}

// New returns a limiter with full allowances and no start credit.
func New(limits Limits) *Limiter {
	return NewWithCredit(limits, Credit{})
}

// NewWithCredit returns a limiter with full allowances and a start credit. Messages of
// ClassGossip and above that the limits refuse are charged to the credit instead, until
// it is spent or creditPeriod has passed. In any time t the limiter therefore allows at
// most the rate times t, the allowance of burstPeriod and the credit.
func NewWithCredit(limits Limits, credit Credit) *Limiter {
	now := time.Now()
	l := &Limiter{lastRefill: now, credit: credit, creditExpires: now.Add(creditPeriod)}
	l.SetLimits(limits)
	l.bytes.tokens = l.bytes.capacity()
	l.messages.tokens = l.messages.capacity()
	l.cpuTime.tokens = l.cpuTime.capacity()
	return l
}

// SetLimits changes the limits with immediate effect.
func (l *Limiter) SetLimits(limits Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill()
	l.bytes.ratePerSecond = limits.Bytes
	l.messages.ratePerSecond = limits.Messages
	l.cpuTime.ratePerSecond = limits.CPUTime.Seconds()
}

// Allow reports whether a message of the class may be sent, and takes its cost from
// the allowances if so. A message counts once, at its sender.
func (l *Limiter) Allow(class Class, bytes int) bool {
	return l.allow(class, bytes, estimateCPUTime(bytes))
}

// AllowDatagram is Allow for a datagram.
func (l *Limiter) AllowDatagram(class Class, bytes int) bool {
	return l.allow(class, bytes, CPUTimePerDatagram)
}

func (l *Limiter) allow(class Class, bytes int, cpuTime time.Duration) bool {
	keepPercent := reservedPercent[class]
	l.mu.Lock()
	l.refill()
	ok := l.bytes.canTake(float64(bytes), keepPercent) && l.messages.canTake(1, keepPercent) && l.cpuTime.canTake(cpuTime.Seconds(), keepPercent)
	if ok {
		l.bytes.tokens -= float64(bytes)
		l.messages.tokens--
		l.cpuTime.tokens -= cpuTime.Seconds()
	} else if class >= ClassGossip && l.lastRefill.Before(l.creditExpires) {
		ok = l.credit.take(bytes, cpuTime)
	}
	l.mu.Unlock()
	l.count(class, bytes, ok)
	return ok
}

// refill adds the allowance for the time since the last call. The caller holds mu.
func (l *Limiter) refill() {
	now := time.Now()
	elapsed := now.Sub(l.lastRefill)
	l.lastRefill = now
	l.bytes.refill(elapsed)
	l.messages.refill(elapsed)
	l.cpuTime.refill(elapsed)
}

func (l *Limiter) count(class Class, bytes int, ok bool) {
	if !ok {
		l.dropped[class].Add(1)
		return
	}
	l.allowed[class].Add(1)
	l.allowedBytes[class].Add(uint64(bytes))
}

// estimateCPUTime estimates the CPU time for sending and receiving a message.
func estimateCPUTime(bytes int) time.Duration {
	return CPUTimePerMessage + CPUTimePerKiB*time.Duration(bytes)/kib
}

// Allowed returns the number of messages of the class that were allowed, and their
// bytes.
func (l *Limiter) Allowed(class Class) (messages, bytes uint64) {
	return l.allowed[class].Load(), l.allowedBytes[class].Load()
}

// Dropped returns the number of messages of the class that were dropped.
func (l *Limiter) Dropped(class Class) uint64 {
	return l.dropped[class].Load()
}

// Observe registers the limiter's metrics with meter.
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

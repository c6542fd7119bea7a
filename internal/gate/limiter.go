package gate

import (
	"context"
	"sync"
	"time"

	"github.com/egretfield/egretfield/internal/admission"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

const (
	// maxUnconfirmed is the number of requests at once at a server that may name a
	// rate limit and hasn't answered yet.
	maxUnconfirmed = 2
	// maxRateAge is the age of the last answer that named a rate limit above which
	// the server is asked whether the limit still holds.
	maxRateAge = time.Second
	classCount = int(pb.Class_CLASS_CRITICAL) + 1
	// failureSampleWeight is the weight of the latest sample in the moving average
	// of failures.
	failureSampleWeight = 0.125
	// defaultQueuePercent is the length limit of the queue in percent of the slots.
	defaultQueuePercent = 100
)

// limiter allocates the slots of one backend server. Safe for concurrent use.
type limiter struct {
	mu           sync.Mutex
	slots        int
	queuePercent int
	// promisedPercent is the share of the server's rate that is promised to the returns of
	// refused requests.
	promisedPercent int
	queue           admission.Queue
	serviceTimes    admission.ServiceTimes
	// resolutions receive 0 when the slot is granted, or the kind of the refusal.
	resolutions map[*admission.Ticket]chan errkind.Kind
	// waiting has the tickets of the attempts that were queued and haven't seen their
	// resolution yet.
	waiting     map[wire.AttemptID]*admission.Ticket
	slowdowns   admission.SlowdownTracker
	failureRate float64 // moving average, 0 to 1
	// coldRefusals counts the refusals of requests for which a slot was free, but not the
	// rate that a cold server takes.
	coldRefusals coldRefusals
	// unconfirmed is set until the first answer of a server that may name a rate
	// limit.
	unconfirmed bool
	// onDelayed is called with the lock held when requests wait although a slot is
	// free; it must not block.
	onDelayed func()
	idle      chan struct{}
}

func newLimiter() *limiter {
	return &limiter{queuePercent: defaultQueuePercent, resolutions: make(map[*admission.Ticket]chan errkind.Kind), waiting: make(map[wire.AttemptID]*admission.Ticket)}
}

// configure sets the number of slots of a new server and grants free ones to waiting
// requests. With zero slots, waiting requests are refused. mayLimit reports whether
// the server may name a rate limit.
func (l *limiter) configure(slots int, mayLimit bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slots = slots
	l.resetRateLocked(mayLimit)
	if slots == 0 {
		l.refuseWaitingLocked(pb.ErrorKind_ERROR_KIND_NOT_READY)
	}
	l.grantLocked()
}

// resetRate forgets the server's rate limit. mayLimit reports whether it may name one.
func (l *limiter) resetRate(mayLimit bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetRateLocked(mayLimit)
}

func (l *limiter) resetRateLocked(mayLimit bool) {
	l.unconfirmed = mayLimit
	l.queue.Rate = admission.RateLimit{}
	l.queue.Cold.Reset(time.Now())
	l.setLimitsLocked()
}

// refuseWaiting refuses the requests in the queue and returns their number.
func (l *limiter) refuseWaiting(kind errkind.Kind) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.signalIdleLocked()
	return l.refuseWaitingLocked(kind)
}

func (l *limiter) refuseWaitingLocked(kind errkind.Kind) int {
	waiting := l.queue.Clear()
	for _, t := range waiting {
		l.resolveLocked(t, kind)
	}
	return len(waiting)
}

func (l *limiter) setLimitsLocked() {
	limit := admission.ConcurrencyLimit(l.slots)
	if l.unconfirmed {
		limit = min(limit, maxUnconfirmed)
	}
	l.queue.SetLimits(limit, l.queueCapacityLocked())
}

// queueCapacityLocked returns the number of requests that may wait.
func (l *limiter) queueCapacityLocked() int { return l.slots * l.queuePercent / 100 }

// recordAnswer records the notice, if any, in the server's answer to a request sent at
// sentAt.
func (l *limiter) recordAnswer(sentAt time.Time, notice *wire.ServerNotice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rateBefore, limitedBefore := l.queue.Rate.PerSecond()
	if notice != nil {
		l.queue.Rate.Observe(time.Now(), sentAt, notice.RatePerS)
	}
	rate, limited := l.queue.Rate.PerSecond()
	if !l.unconfirmed && rate == rateBefore && limited == limitedBefore {
		return
	}
	l.unconfirmed = false
	l.setLimitsLocked()
	l.grantLocked()
}

// rateLimit returns the request rate that the server names, and false if it names none.
func (l *limiter) rateLimit() (perSecond float64, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Rate.PerSecond()
}

// takeRepeat takes the allowance for sending a request to the server once more. It
// returns the time of that start, and whether there was an allowance.
func (l *limiter) takeRepeat() (startedAt time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	return now, l.queue.TakeStart(now)
}

func (l *limiter) setQueuePercent(percent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queuePercent = percent
	l.setLimitsLocked()
}

// recordSlowness records the slowness reported by the server, in percent, and
// starts the requests that no longer have to wait for the end of a slowdown.
func (l *limiter) recordSlowness(percent uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slowdowns.Record(time.Now(), percent)
	l.grantLocked()
}

// needsReport reports whether the server should be probed: it hasn't answered yet, its
// rate limit may have ended, or the last report is older than maxAge and the slowness
// has changed recently.
func (l *limiter) needsReport(maxAge time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	_, limited := l.queue.Rate.PerSecond()
	if l.unconfirmed || limited && l.queue.Rate.NameAge(now) > maxRateAge {
		return true
	}
	return l.slowdowns.ChangedRecently(now) && l.slowdowns.ReportAge(now) > maxAge
}

// delay returns the time after which requests that wait although a slot is free should
// be looked at again; zero: none waits so. rateLimited reports whether they wait for
// the server's rate.
func (l *limiter) delay() (wait time.Duration, rateLimited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue.Delayed() == 0 {
		return 0, false
	}
	if wait := l.queue.StartWait(time.Now(), 0); wait > 0 {
		return min(wait, maxRateAge), true
	}
	return slowdownProbeInterval, false
}

// slowdownFactor returns the factor on the service time of a request that starts
// now.
func (l *limiter) slowdownFactor() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.slowdowns.Now(time.Now()).Factor
}

// slotRequest describes the request that needs a slot.
type slotRequest struct {
	class pb.Class
	// organisation is the caller's organisation; empty: none.
	organisation string
	route        string
	target       time.Time
	deadline     time.Time
	// attempt identifies the attempt that needs the slot.
	attempt wire.AttemptID
	// fingerprint is equal for a request and its return after a refusal.
	fingerprint uint64
}

// acquire takes a slot, waiting in the queue as long as the request can still be
// answered before its deadline. It returns the time at which it got the slot and 0, or
// the kind of the refusal.
func (l *limiter) acquire(ctx context.Context, s slotRequest) (startedAt time.Time, kind errkind.Kind) {
	ticket, resolution, at, kind := l.admit(s)
	if ticket == nil {
		return at, kind
	}
	defer l.forget(s.attempt)
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case kind = <-resolution:
		return ticket.Started(), kind
	case <-ctx.Done():
		return time.Time{}, l.abandon(ticket, resolution, pb.ErrorKind_ERROR_KIND_CANCELLED)
	case <-timer.C:
		return time.Time{}, l.abandon(ticket, resolution, expiredKind(s.deadline))
	}
}

// forget forgets the ticket of an attempt that has its resolution.
func (l *limiter) forget(attempt wire.AttemptID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, attempt)
}

// withdraw refuses an attempt that waits in the queue. It reports whether it did.
func (l *limiter) withdraw(attempt wire.AttemptID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	ticket := l.waiting[attempt]
	if ticket == nil || !l.queue.Cancel(ticket) {
		return false
	}
	l.resolveLocked(ticket, pb.ErrorKind_ERROR_KIND_NOT_READY)
	l.signalIdleLocked()
	return true
}

// expiredKind returns the kind of the refusal of a request that waited until its
// latest start.
func expiredKind(deadline time.Time) errkind.Kind {
	if time.Now().Before(deadline) {
		return pb.ErrorKind_ERROR_KIND_OVERLOADED
	}
	return pb.ErrorKind_ERROR_KIND_DEADLINE_BEFORE_RUN
}

// classOrNormal returns the class, or the normal class for one that is unspecified
// or unknown.
func classOrNormal(class pb.Class) int {
	if class <= pb.Class_CLASS_UNSPECIFIED || int(class) >= classCount {
		return int(pb.Class_CLASS_NORMAL)
	}
	return int(class)
}

// admit grants a slot at once, queues the request or refuses it. For a request that
// is queued it returns the ticket, the channel of its resolution and the time until which
// it may wait, for one that starts the time of that.
func (l *limiter) admit(s slotRequest) (ticket *admission.Ticket, resolution chan errkind.Kind, at time.Time, kind errkind.Kind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.queue.SetMeanHoldTime(l.serviceTimes.MeanHoldTime())
	l.queue.SetSlowdown(l.slowdowns.Now(now))
	verdict, queued, evicted := l.queue.Admit(now, l.requestLocked(s))
	if evicted != nil {
		l.resolveLocked(evicted, pb.ErrorKind_ERROR_KIND_OVERLOADED)
	}
	switch verdict {
	case admission.Granted:
		return nil, nil, now, 0
	case admission.Refused:
		l.countColdRefusalLocked(now)
		return nil, nil, time.Time{}, pb.ErrorKind_ERROR_KIND_OVERLOADED
	}
	l.resolutions[queued] = make(chan errkind.Kind, 1)
	l.waiting[s.attempt] = queued
	l.notifyDelayedLocked()
	return queued, l.resolutions[queued], queued.LatestStart(), 0
}

// countColdRefusalLocked counts the refusal of a request that the server could have
// started if it was warm.
func (l *limiter) countColdRefusalLocked(now time.Time) {
	if l.queue.Running() >= l.queue.Limit() || l.queue.Cold.Wait(now, 0) == 0 {
		return
	}
	if l.queue.Cold.IsCold(now) {
		l.coldRefusals.cold++
	} else {
		l.coldRefusals.unknown++
	}
}

// requestLocked returns the queue's form of a slot request.
func (l *limiter) requestLocked(s slotRequest) admission.Request {
	request := admission.Request{
		Class:        classOrNormal(s.class),
		Organisation: s.organisation,
		Target:       s.target,
		Deadline:     s.deadline,
		ServiceTime:  l.serviceTimes.Estimate(s.route),
		IsMeasured:   l.serviceTimes.IsMeasuredRecently(time.Now(), s.route),
		Fingerprint:  s.fingerprint,
	}
	if request.Target.IsZero() {
		request.Target = s.deadline
	}
	return request
}

// resolveLocked delivers the resolution of a waiting request; 0 grants the slot.
func (l *limiter) resolveLocked(ticket *admission.Ticket, kind errkind.Kind) {
	l.resolutions[ticket] <- kind
	delete(l.resolutions, ticket)
}

// abandon takes a ticket out of the queue. A slot granted in the meantime is
// released.
func (l *limiter) abandon(ticket *admission.Ticket, resolution chan errkind.Kind, kind errkind.Kind) errkind.Kind {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue.Cancel(ticket) {
		delete(l.resolutions, ticket)
		if kind == pb.ErrorKind_ERROR_KIND_OVERLOADED {
			l.countColdRefusalLocked(time.Now())
		}
		l.signalIdleLocked()
		return kind
	}
	if <-resolution == 0 {
		l.releaseUnusedLocked(ticket.Started(), ticket.Class, ticket.Organisation)
	}
	return kind
}

// releaseUnused releases a slot, granted at startedAt, that its request didn't run in.
func (l *limiter) releaseUnused(startedAt time.Time, s slotRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.releaseUnusedLocked(startedAt, classOrNormal(s.class), s.organisation)
}

func (l *limiter) releaseUnusedLocked(startedAt time.Time, class int, organisation string) {
	l.queue.Cold.Undo(startedAt)
	l.queue.Release(class, organisation)
	l.grantLocked()
}

// runResult describes how a request that held a slot ended.
type runResult struct {
	class        pb.Class
	organisation string
	route        string
	holdTime     time.Duration
	// slowdownFactor is the server's slowdown factor when the request started.
	slowdownFactor float64
	// completed: the server ran the request to its end, so its hold time counts as
	// a sample.
	completed bool
	failed    bool
}

// release frees a slot after its request has ended.
func (l *limiter) release(result runResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if result.completed {
		l.serviceTimes.Add(time.Now(), result.route, result.holdTime, result.slowdownFactor)
	}
	sample := 0.0
	if result.failed {
		sample = 1
	}
	l.failureRate += failureSampleWeight * (sample - l.failureRate)
	l.queue.Release(classOrNormal(result.class), result.organisation)
	l.grantLocked()
}

// grantLocked grants free slots to waiting requests, and refuses those that can no
// longer be answered before their deadline.
func (l *limiter) grantLocked() {
	now := time.Now()
	l.queue.SetSlowdown(l.slowdowns.Now(now))
	for _, t := range l.queue.RemoveExpired(now) {
		if now.After(t.LatestStart()) {
			l.countColdRefusalLocked(now)
		}
		l.resolveLocked(t, expiredKind(t.Deadline))
	}
	for t := l.queue.Next(now); t != nil; t = l.queue.Next(now) {
		l.resolveLocked(t, 0)
	}
	l.notifyDelayedLocked()
	l.signalIdleLocked()
}

// grant grants free slots to waiting requests.
func (l *limiter) grant() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grantLocked()
}

func (l *limiter) notifyDelayedLocked() {
	if l.onDelayed != nil && l.queue.Delayed() > 0 {
		l.onDelayed()
	}
}

func (l *limiter) signalIdleLocked() {
	if l.idle != nil && l.queue.Running() == 0 && l.queue.Waiting() == 0 {
		close(l.idle)
		l.idle = nil
	}
}

// whenIdle returns a channel that is closed once no request runs or waits.
func (l *limiter) whenIdle() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.idle == nil {
		l.idle = make(chan struct{})
	}
	idle := l.idle
	l.signalIdleLocked()
	return idle
}

// fillReport sets the load in a report. Its slots are the concurrency limit, its
// latency is the mean service time at normal speed.
func (l *limiter) fillReport(report *pb.LoadReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	report.InFlight = uint32(l.queue.Running())
	report.Queued = uint32(l.queue.Waiting())
	report.Slots = uint32(l.queue.Limit())
	report.LatencyUs = uint32(min(l.serviceTimes.Mean().Microseconds(), 1<<31))
	report.ErrorsPermille = uint32(l.failureRate * 1000)
	report.SlownessPercent = l.slowdowns.Slowness()
	if rate, limited := l.queue.Rate.PerSecond(); limited {
		report.RateLimitPerS = &rate
	}
}

func (l *limiter) meanHoldTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.serviceTimes.MeanHoldTime()
}

// expectedServiceTime returns the expected service time of a request of the route
// that starts now.
func (l *limiter) expectedServiceTime(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(float64(l.serviceTimes.Estimate(route)) * l.slowdowns.Now(time.Now()).Factor)
}

// setPromisedPercent sets the share of the server's rate that is promised to the returns of
// refused requests.
func (l *limiter) setPromisedPercent(percent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.promisedPercent = percent
}

// book promises capacity to the return of a refused request and returns the time until it,
// or the wait of a request to which none can be promised. It returns false without a
// schedule: none is configured, or the server's rate is limited, and its own wait holds.
func (l *limiter) book(s slotRequest) (wait time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !l.hasScheduleLocked(now) {
		return 0, false
	}
	wait, _ = l.queue.Places.Book(now, l.requestLocked(s))
	return wait, true
}

// hasScheduleLocked reports whether capacity is promised, and sets the rate of the promises.
func (l *limiter) hasScheduleLocked(now time.Time) bool {
	_, limited := l.queue.Rate.PerSecond()
	holdTime := l.serviceTimes.MeanHoldTime()
	if l.promisedPercent == 0 || limited || l.queue.Cold.IsCold(now) || holdTime <= 0 {
		return false
	}
	l.queue.Places.SetRate(float64(l.queue.Limit()) / holdTime.Seconds() * float64(l.promisedPercent) / 100)
	return true
}

// placeCounts returns the numbers of promises.
func (l *limiter) placeCounts() admission.PlaceCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Places.Counts(time.Now())
}

// retryAfter returns the wait to suggest to a caller who is refused.
func (l *limiter) retryAfter() time.Duration {
	l.mu.Lock()
	wait := l.queue.ExpectedWait(time.Now())
	l.mu.Unlock()
	return admission.RetryAfter(wait)
}

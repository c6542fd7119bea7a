package gate

import (
	"context"
	"sync"
	"time"

	"github.com/egretfield/egretfield/internal/admission"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

const (
	classes = int(pb.Class_CLASS_CRITICAL) + 1
	// failureWeight is the weight of the newest sample in the share of failures.
	failureWeight = 0.125
	// defaultQueuePercent bounds the queue as a share of the slots.
	defaultQueuePercent = 100
)

// limiter gives out the slots of one backend server. Safe for concurrent use.
type limiter struct {
	mu           sync.Mutex
	slots        int
	queuePercent int
	queue        admission.Queue
	work         admission.ServiceTimes
	// verdicts receive 0 when the slot is given, or the kind of the refusal.
	verdicts map[*admission.Ticket]chan errkind.Kind
	moments  admission.SlowdownTracker
	failures float64 // smoothed share, 0 to 1
	// onHeld is called under the lock when requests wait though a slot is free; it
	// must not block.
	onHeld func()
	idle   chan struct{}
}

func newLimiter() *limiter {
	return &limiter{queuePercent: defaultQueuePercent, verdicts: make(map[*admission.Ticket]chan errkind.Kind)}
}

// configure sets the number of slots and lets waiting requests in. Without
// slots they are refused.
func (l *limiter) configure(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slots = slots
	l.setLimitsLocked()
	if slots == 0 {
		l.refuseWaitingLocked(pb.ErrorKind_ERROR_KIND_NOT_READY)
	}
	l.grantLocked()
}

// refuseWaiting refuses the requests in the queue and returns their number.
func (l *limiter) refuseWaiting(kind errkind.Kind) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.signalLocked()
	return l.refuseWaitingLocked(kind)
}

func (l *limiter) refuseWaitingLocked(kind errkind.Kind) int {
	waiting := l.queue.Clear()
	for _, t := range waiting {
		l.decideLocked(t, kind)
	}
	return len(waiting)
}

func (l *limiter) setLimitsLocked() {
	l.queue.SetLimits(admission.ConcurrencyLimit(l.slots), l.slots*l.queuePercent/100)
}

func (l *limiter) setQueuePercent(percent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queuePercent = percent
	l.setLimitsLocked()
}

// setSlowness notes what the server says of its machine, percent, and lets
// requests begin that waited for the end of a slow moment.
func (l *limiter) setSlowness(percent uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.moments.Record(time.Now(), percent)
	l.grantLocked()
}

// needsReport says whether the server should be asked how fast it works, since the
// last report is older than age and may have changed.
func (l *limiter) needsReport(age time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	return l.moments.ChangedRecently(now) && l.moments.ReportAge(now) > age
}

// held is the number of requests that wait though a slot is free.
func (l *limiter) held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Delayed()
}

// stretch is the factor on the time of a request that begins now.
func (l *limiter) stretch() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.moments.Now(time.Now()).Factor
}

// slot is what a request asks the limiter for.
type slot struct {
	class    pb.Class
	route    string
	target   time.Time
	deadline time.Time
}

// acquire takes a slot, waiting in the queue as long as the request can still be
// answered in time. It returns 0, or the kind of the refusal.
func (l *limiter) acquire(ctx context.Context, s slot) errkind.Kind {
	ticket, verdict, kind := l.enter(s)
	if ticket == nil {
		return kind
	}
	timer := time.NewTimer(time.Until(ticket.LatestStart()))
	defer timer.Stop()
	select {
	case kind = <-verdict:
		return kind
	case <-ctx.Done():
		return l.leave(ticket, verdict, pb.ErrorKind_ERROR_KIND_CANCELLED)
	case <-timer.C:
		return l.leave(ticket, verdict, tooLate(s.deadline))
	}
}

// tooLate is the kind of a request that waited as long as it could.
func tooLate(deadline time.Time) errkind.Kind {
	if time.Now().Before(deadline) {
		return pb.ErrorKind_ERROR_KIND_OVERLOADED
	}
	return pb.ErrorKind_ERROR_KIND_DEADLINE_BEFORE_RUN
}

func clampClass(class pb.Class) int {
	if class <= pb.Class_CLASS_UNSPECIFIED || int(class) >= classes {
		return int(pb.Class_CLASS_NORMAL)
	}
	return int(class)
}

// enter gives a slot at once, queues the request or refuses it.
func (l *limiter) enter(s slot) (*admission.Ticket, chan errkind.Kind, errkind.Kind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.queue.SetMeanHoldTime(l.work.MeanHoldTime())
	l.queue.SetSlowdown(l.moments.Now(now))
	verdict, ticket, evicted := l.queue.Admit(now, l.requestLocked(s))
	if evicted != nil {
		l.decideLocked(evicted, pb.ErrorKind_ERROR_KIND_OVERLOADED)
	}
	switch verdict {
	case admission.Granted:
		return nil, nil, 0
	case admission.Refused:
		return nil, nil, pb.ErrorKind_ERROR_KIND_OVERLOADED
	}
	l.verdicts[ticket] = make(chan errkind.Kind, 1)
	l.noteHeldLocked()
	return ticket, l.verdicts[ticket], 0
}

// requestLocked is what the queue is told of a request.
func (l *limiter) requestLocked(s slot) admission.Request {
	request := admission.Request{
		Class:       clampClass(s.class),
		Target:      s.target,
		Deadline:    s.deadline,
		ServiceTime: l.work.Estimate(s.route),
	}
	if request.Target.IsZero() {
		request.Target = s.deadline
	}
	return request
}

// decideLocked tells a request that waited what became of it.
func (l *limiter) decideLocked(t *admission.Ticket, kind errkind.Kind) {
	l.verdicts[t] <- kind
	delete(l.verdicts, t)
}

// leave takes a ticket out of the queue. A slot given meanwhile is given back.
func (l *limiter) leave(t *admission.Ticket, verdict chan errkind.Kind, kind errkind.Kind) errkind.Kind {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue.Cancel(t) {
		delete(l.verdicts, t)
		l.signalLocked()
		return kind
	}
	if <-verdict == 0 {
		l.queue.Release()
		l.grantLocked()
	}
	return kind
}

// giveBack gives a slot back that wasn't used.
func (l *limiter) giveBack() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Release()
	l.grantLocked()
}

// ending is how a request ended that held a slot.
type ending struct {
	route string
	held  time.Duration
	// stretch is the factor on the request's time when it began.
	stretch float64
	// ran says that the server worked on the request to the end.
	ran    bool
	failed bool
}

// release gives a slot back after a request ended.
func (l *limiter) release(e ending) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.ran {
		l.work.Add(e.route, e.held, e.stretch)
	}
	share := 0.0
	if e.failed {
		share = 1
	}
	l.failures += failureWeight * (share - l.failures)
	l.queue.Release()
	l.grantLocked()
}

// grantLocked hands free slots to waiting requests and turns those away that can
// no longer be answered in time.
func (l *limiter) grantLocked() {
	now := time.Now()
	l.queue.SetSlowdown(l.moments.Now(now))
	for _, t := range l.queue.RemoveExpired(now) {
		l.decideLocked(t, tooLate(t.Deadline))
	}
	for t := l.queue.Next(now); t != nil; t = l.queue.Next(now) {
		l.decideLocked(t, 0)
	}
	l.noteHeldLocked()
	l.signalLocked()
}

// grant hands free slots to waiting requests.
func (l *limiter) grant() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grantLocked()
}

func (l *limiter) noteHeldLocked() {
	if l.onHeld != nil && l.queue.Delayed() > 0 {
		l.onHeld()
	}
}

func (l *limiter) signalLocked() {
	if l.idle != nil && l.queue.Running() == 0 && l.queue.Waiting() == 0 {
		close(l.idle)
		l.idle = nil
	}
}

// whenIdle returns a channel that is closed once nothing runs or waits.
func (l *limiter) whenIdle() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.idle == nil {
		l.idle = make(chan struct{})
	}
	idle := l.idle
	l.signalLocked()
	return idle
}

// fill writes the load to report.
func (l *limiter) fill(report *pb.LoadReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	report.InFlight = uint32(l.queue.Running())
	report.Queued = uint32(l.queue.Waiting())
	report.Slots = uint32(l.queue.Limit())
	report.LatencyUs = uint32(min(l.work.Mean().Microseconds(), 1<<31))
	report.ErrorsPermille = uint32(l.failures * 1000)
	report.SlownessPercent = l.moments.Slowness()
}

func (l *limiter) smoothedLatency() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.work.MeanHoldTime()
}

// expectedWork is the time that a request of the route takes if it begins now.
func (l *limiter) expectedWork(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(float64(l.work.Estimate(route)) * l.moments.Now(time.Now()).Factor)
}

// retryAfter is the wait to suggest to a caller who is turned away.
func (l *limiter) retryAfter() time.Duration {
	l.mu.Lock()
	wait := l.queue.ExpectedWait()
	l.mu.Unlock()
	return admission.RetryAfter(wait)
}

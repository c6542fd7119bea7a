package gate

import (
	"fmt"
	"time"

	"github.com/egretfield/egretfield/internal/admission"
)

// refusalReasonLocked returns why the queue refuses a request of which it estimated that:
// why the request can't start at once, and why it can't wait. Without a free slot the rates
// of the server are named only if the queue would have admitted the request but for them.
func (l *limiter) refusalReasonLocked(now time.Time, r *admission.Request, estimate admission.QueueEstimate) string {
	waiting, capacity := l.queue.Waiting(), l.queueCapacityLocked()
	hasPlace := waiting < capacity
	isLate := !now.Add(estimate.Wait).Before(r.Deadline.Add(-r.ServiceTime))
	isFull := l.queue.Running() >= l.queue.Limit()
	slowdown := l.slowdowns.Now(now)
	held := l.startDelayLocked(now)
	expected := fmt.Sprintf("the expected wait is %s", estimate.Wait.Round(100*time.Microsecond))
	noPlace := fmt.Sprintf("%d of %d are taken", waiting, capacity)
	switch {
	case held != "" && (!isFull || hasPlace && !isLate):
		if hasPlace || isLate {
			return held + ": " + expected
		}
		return held + ", and the queue has no place: " + noPlace
	case slowdown.Factor > 1 && (!isFull || isLate && estimate.Wait == slowdown.Remaining):
		slow := fmt.Sprintf("the backend server works %.1f times slower than usual", slowdown.Factor)
		if hasPlace || isLate {
			return slow + ", too slowly to answer the request before its deadline"
		}
		return slow + ", and the queue has no place to wait for the end of that: " + noPlace
	}
	mustWait := "no slot is free"
	if !isFull {
		mustWait = "other requests go first"
	}
	switch {
	case isLate:
		return fmt.Sprintf("%s, and the request would start too late: %s", mustWait, expected)
	case !hasPlace:
		return mustWait + ", and the queue has no place: " + noPlace
	}
	return mustWait + ", and the free places of the queue are kept for requests that return as promised"
}

// startDelayLocked returns which of the server's rates allows no start now; empty: none.
func (l *limiter) startDelayLocked(now time.Time) string {
	rateWait, coldWait := l.queue.Rate.Wait(now, 0), l.queue.Cold.Wait(now, 0)
	switch {
	case rateWait > 0 && rateWait >= coldWait:
		rate, _ := l.queue.Rate.PerSecond()
		return fmt.Sprintf("the backend server is at its rate limit of %g requests/s", rate)
	case coldWait == 0:
		return ""
	case l.queue.Cold.IsCold(now):
		return "the backend server is cold and at its cold rate"
	}
	return "the backend server may be cold, as it hasn't said recently that it is warm"
}

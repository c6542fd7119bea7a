// Package admission decides which requests a backend server runs at once, which
// wait for it and which are turned away. It does no input or output, holds no
// locks and is told the time.
package admission

import (
	"time"
)

// Request is what the queue knows of a request.
type Request struct {
	// Class is its importance; higher classes go first.
	Class int
	// Target is when the answer should be there to be worth most.
	Target time.Time
	// Deadline is when the caller gives up.
	Deadline time.Time
	// Work is the time that the backend server takes at its usual speed.
	Work time.Duration
}

// latestStart is the last moment at which the request can begin and still be
// answered in time.
func (r *Request) latestStart() time.Time { return r.Deadline.Add(-r.Work) }

// targetPercent of its expected work is set aside for a request to meet its target:
// work spreads by about a third, and the answer has a way to go.
const targetPercent = 130

// meetsTarget says whether the request, begun at start, is expected to meet its
// target.
func (r *Request) meetsTarget(start time.Time) bool {
	return !start.Add(r.Work * targetPercent / 100).After(r.Target)
}

// isBetterLater says whether the request is expected to be answered sooner if it
// waits for the end of a slow moment.
func (r *Request) isBetterLater(now time.Time, m Moment) bool {
	extra := time.Duration(float64(r.Work) * (m.Stretch - 1))
	return extra > m.Relief && now.Add(m.Relief).Before(r.latestStart())
}

// Ticket is a request in the queue.
type Ticket struct {
	Request
	arrival uint64
	waiting bool
}

// LatestStart is the last moment at which the request can begin and still be
// answered in time. A request that waits until then is turned away.
func (t *Ticket) LatestStart() time.Time { return t.latestStart() }

// Verdict is what becomes of a request that arrives.
type Verdict int

// Verdicts on a request that arrives.
const (
	// Granted: the request runs.
	Granted Verdict = iota
	// Queued: the request waits.
	Queued
	// Refused: the request is turned away.
	Refused
)

// Queue gives out the slots of one backend server. It isn't safe for concurrent
// use.
type Queue struct {
	limit   int
	room    int
	hold    time.Duration
	moment  Moment
	running int
	waiting []*Ticket
	arrived uint64
}

// SetLimits sets the number of requests that run at once and the number that may
// wait.
func (q *Queue) SetLimits(limit, room int) { q.limit, q.room = limit, room }

// SetHold sets the mean time that a request holds a slot.
func (q *Queue) SetHold(hold time.Duration) { q.hold = hold }

// SetMoment sets how fast the server works now.
func (q *Queue) SetMoment(m Moment) { q.moment = m }

// Limit is the number of requests that run at once.
func (q *Queue) Limit() int { return q.limit }

// Running is the number of requests that hold a slot.
func (q *Queue) Running() int { return q.running }

// Waiting is the number of requests in the queue.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Arrive decides on a request. It returns the ticket of one that waits, and the
// ticket that was pushed out to make room for it, if any.
func (q *Queue) Arrive(now time.Time, r Request) (verdict Verdict, ticket, evicted *Ticket) {
	if q.running < q.limit && len(q.waiting) == 0 && !r.isBetterLater(now, q.moment) {
		q.running++
		return Granted, nil, nil
	}
	q.arrived++
	ticket = &Ticket{Request: r, arrival: q.arrived}
	if !q.worthWaiting(now, ticket) {
		return Refused, nil, nil
	}
	if len(q.waiting) >= q.room {
		if evicted = q.least(now); evicted == nil || evicted.Class >= r.Class {
			return Refused, nil, nil
		}
		q.remove(evicted)
	}
	ticket.waiting = true
	q.waiting = append(q.waiting, ticket)
	return Queued, ticket, evicted
}

// Expected is what a request would meet.
type Expected struct {
	// Refused: it would be turned away.
	Refused bool
	// Wait is the time until it begins.
	Wait time.Duration
	// Work is the time that the server takes then.
	Work time.Duration
	// AtOnce: it would begin at once, and the server works as usual.
	AtOnce bool
}

// Expect says what a request that arrives now would meet. It changes nothing.
func (q *Queue) Expect(now time.Time, r Request) Expected {
	t := &Ticket{Request: r, arrival: q.arrived + 1}
	expected := Expected{Wait: q.expectedWait(now, t), Work: r.Work}
	if expected.Wait < q.moment.Relief {
		expected.Work = time.Duration(float64(r.Work) * q.moment.Stretch)
	}
	mustQueue := q.running >= q.limit || len(q.waiting) > 0 || r.isBetterLater(now, q.moment)
	expected.AtOnce = !mustQueue && q.moment.Stretch <= 1
	expected.Refused = mustQueue && (!q.worthWaiting(now, t) || !q.hasRoom(now, t))
	return expected
}

// hasRoom says whether the queue is short enough, or has a request that is less
// important.
func (q *Queue) hasRoom(now time.Time, t *Ticket) bool {
	if len(q.waiting) < q.room {
		return true
	}
	least := q.least(now)
	return least != nil && least.Class < t.Class
}

// worthWaiting says whether a request is expected to be answered in time if it
// waits. In a burst most of the callers who wait get late answers or none; a
// caller who is told at once can come back in time.
func (q *Queue) worthWaiting(now time.Time, t *Ticket) bool {
	start := now.Add(q.expectedWait(now, t))
	return start.Before(t.latestStart())
}

// expectedWait is the time until the slots have served what goes before t.
func (q *Queue) expectedWait(now time.Time, t *Ticket) time.Duration {
	ahead := 0
	for _, other := range q.waiting {
		if q.before(now, other, t) {
			ahead++
		}
	}
	wait := q.waitBehind(ahead)
	if t.isBetterLater(now, q.moment) {
		wait = max(wait, q.moment.Relief)
	}
	return wait
}

// waitBehind is the time until a slot is free for a request that goes after ahead
// waiting ones.
func (q *Queue) waitBehind(ahead int) time.Duration {
	served := ahead + 1 - max(q.limit-q.running, 0)
	if served <= 0 {
		return 0
	}
	return q.hold * time.Duration(served) / time.Duration(max(q.limit, 1))
}

// ExpectedWait is the time that one more request would wait behind all others.
func (q *Queue) ExpectedWait() time.Duration { return q.waitBehind(len(q.waiting)) }

// before says whether a goes before b: the more important, then a request that can
// still meet its target before one that can't, then the one whose target is next.
// Short calls that other requests wait for have near targets, so they pass the long
// ones that hold a slot elsewhere meanwhile.
func (q *Queue) before(now time.Time, a, b *Ticket) bool {
	if a.Class != b.Class {
		return a.Class > b.Class
	}
	if onTime := a.meetsTarget(now); onTime != b.meetsTarget(now) {
		return onTime
	}
	if !a.Target.Equal(b.Target) {
		return a.Target.Before(b.Target)
	}
	return a.arrival < b.arrival
}

// first returns the ticket that goes before all others that should begin now; nil:
// none should.
func (q *Queue) first(now time.Time) *Ticket {
	var best *Ticket
	for _, t := range q.waiting {
		if t.isBetterLater(now, q.moment) {
			continue
		}
		if best == nil || q.before(now, t, best) {
			best = t
		}
	}
	return best
}

// Held is the number of requests that wait for the end of a slow moment though a
// slot is free.
func (q *Queue) Held() int {
	if q.running >= q.limit {
		return 0
	}
	return len(q.waiting)
}

// least returns the ticket of the lowest class that goes after all others of it;
// nil: none waits.
func (q *Queue) least(now time.Time) *Ticket {
	var worst *Ticket
	for _, t := range q.waiting {
		if worst == nil || t.Class < worst.Class || t.Class == worst.Class && q.before(now, worst, t) {
			worst = t
		}
	}
	return worst
}

// Release gives a slot back.
func (q *Queue) Release() { q.running-- }

// Next gives a free slot to a waiting request. It returns nil when no slot is
// free or nobody should begin now.
func (q *Queue) Next(now time.Time) *Ticket {
	if q.running >= q.limit {
		return nil
	}
	t := q.first(now)
	if t == nil {
		return nil
	}
	q.remove(t)
	q.running++
	return t
}

// Expired removes and returns the requests that can no longer be answered in
// time.
func (q *Queue) Expired(now time.Time) []*Ticket {
	var expired []*Ticket
	for _, t := range q.waiting {
		if now.After(t.latestStart()) {
			expired = append(expired, t)
		}
	}
	for _, t := range expired {
		q.remove(t)
	}
	return expired
}

// Leave takes a ticket out of the queue. It reports false when the ticket isn't
// there any more.
func (q *Queue) Leave(t *Ticket) bool {
	if !t.waiting {
		return false
	}
	q.remove(t)
	return true
}

// Clear removes and returns every waiting request.
func (q *Queue) Clear() []*Ticket {
	cleared := q.waiting
	for _, t := range cleared {
		t.waiting = false
	}
	q.waiting = nil
	return cleared
}

func (q *Queue) remove(t *Ticket) {
	for i := range q.waiting {
		if q.waiting[i] == t {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			t.waiting = false
			return
		}
	}
}

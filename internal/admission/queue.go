// Package admission implements admission control for one backend server: a
// concurrency limit, a priority queue for the requests over it, and the refusal of
// requests that can't be answered in time. It does no I/O, holds no locks and takes
// the current time as an argument.
package admission

import (
	"time"
)

// Request is what the queue knows about a request.
type Request struct {
	// Class is the priority; requests of higher classes go first.
	Class int
	// Organisation is the caller's organisation, among which a class shares the server;
	// requests without one, "", share as one with the weight of several.
	Organisation string
	// Target is the time by which an answer has its full value to the caller.
	Target time.Time
	// Deadline is when the caller gives up.
	Deadline time.Time
	// ServiceTime is the expected time that the backend server takes at normal
	// speed.
	ServiceTime time.Duration
	// IsMeasured reports whether ServiceTime comes from recent requests of the same route.
	IsMeasured bool
	// Fingerprint is equal for a request and its return after a refusal; zero: unknown.
	Fingerprint uint64
	// hasPlace: the request returns at the time that it was promised. It goes before others
	// of its class and organisation.
	hasPlace bool
}

// latestStart returns the last time at which the request can start and still be
// answered before its deadline.
func (r *Request) latestStart() time.Time { return r.Deadline.Add(-r.ServiceTime) }

// minTimeToTargetPercent is the least time from the start of a request to its
// target, in percent of its expected service time, for it to count as on time:
// service times vary by about a third, and the answer has to travel back to the
// caller.
const minTimeToTargetPercent = 130

// meetsTarget reports whether the request is expected to meet its target if it
// starts at start.
func (r *Request) meetsTarget(start time.Time) bool {
	return !start.Add(r.ServiceTime * minTimeToTargetPercent / 100).After(r.Target)
}

// isFasterAfterSlowdown reports whether the request is expected to be answered
// sooner if it waits for the end of the slowdown, and can still be answered before
// its deadline then.
func (r *Request) isFasterAfterSlowdown(now time.Time, s Slowdown) bool {
	extra := time.Duration(float64(r.ServiceTime) * (s.Factor - 1))
	return extra > s.Remaining && now.Add(s.Remaining).Before(r.latestStart())
}

// minServiceTimePercent is the shortest time that most requests take, in percent of their
// expected service time. A request is given up only if even that is too long.
const minServiceTimePercent = 70

// isTooSlowNow reports whether the request can't be answered before its deadline if it
// starts during the slowdown, as a request keeps the speed at which it started.
func (r *Request) isTooSlowNow(now time.Time, s Slowdown) bool {
	shortest := time.Duration(float64(r.ServiceTime) * s.Factor * minServiceTimePercent / 100)
	return s.Factor > 1 && r.IsMeasured && now.Add(shortest).After(r.Deadline)
}

// waitsForNormalSpeed reports whether the request isn't started during the slowdown.
func (q *Queue) waitsForNormalSpeed(now time.Time, r *Request) bool {
	return r.isFasterAfterSlowdown(now, q.slowdown) || r.isTooSlowNow(now, q.slowdown)
}

// isLateAtAnySpeed reports whether the request can be answered before its deadline neither
// if it starts during the slowdown nor if it waits for its end.
func (q *Queue) isLateAtAnySpeed(now time.Time, r *Request) bool {
	return r.isTooSlowNow(now, q.slowdown) && !now.Add(q.slowdown.Remaining).Before(r.latestStart())
}

// maxQueueTimeAtRate is how long a request may wait while the server's rate is limited:
// about a round trip to another region. Requests of higher classes that arrive meanwhile
// take the allowance first, so a longer wait would often be in vain.
const maxQueueTimeAtRate = 50 * time.Millisecond

// Ticket is a request in the queue.
type Ticket struct {
	Request
	sequence uint64
	waiting  bool
	// latest is the time until which the request waits.
	latest time.Time
	// started is when the request got a slot.
	started time.Time
}

// Started returns the time at which a request that waited got its slot.
func (t *Ticket) Started() time.Time { return t.started }

// LatestStart returns the time until which the request may wait: the last one at which
// it can start and still be answered before its deadline, or an earlier one while the
// server's rate is limited. A request that waits until then is refused, if not before.
func (t *Ticket) LatestStart() time.Time { return t.latest }

// Verdict is the decision on a request that arrives.
type Verdict int

// Decisions on a request that arrives.
const (
	// Granted: the request has a slot and runs.
	Granted Verdict = iota
	// Queued: the request waits.
	Queued
	// Refused: the request neither runs nor waits.
	Refused
)

// Queue allocates the slots of one backend server, within the request rate that it
// takes, and orders the requests that wait. It isn't safe for concurrent use.
type Queue struct {
	// Rate is the request rate that the server takes.
	Rate RateLimit
	// Cold limits the starts while the server is cold, or may be.
	Cold ColdLimit
	// Places are the promises to requests that were refused.
	Places       Schedule
	limit        int
	capacity     int
	meanHoldTime time.Duration
	slowdown     Slowdown
	running      int
	waiting      []*Ticket
	shares       shares
	lastSequence uint64
}

// callsShareDivisor: requests without an organisation get 1/callsShareDivisor of the slots
// before those of organisations of their class. Without it, calls of backend servers wait
// behind new work of many organisations while their callers hold slots; with all slots,
// calls could keep the service's own callers out.
const callsShareDivisor = 2

// SetLimits sets the number of requests that may run at once and the number that
// may wait.
func (q *Queue) SetLimits(limit, capacity int) {
	q.limit, q.capacity = limit, capacity
	q.shares.callsWeight = limit / callsShareDivisor
}

// SetMeanHoldTime sets the mean time for which a request holds a slot.
func (q *Queue) SetMeanHoldTime(meanHoldTime time.Duration) { q.meanHoldTime = meanHoldTime }

// SetSlowdown sets the server's present slowdown.
func (q *Queue) SetSlowdown(s Slowdown) { q.slowdown = s }

// Limit returns the number of requests that may run at once.
func (q *Queue) Limit() int { return q.limit }

// Running returns the number of requests that hold a slot.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of requests in the queue.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Admit decides on a request that arrives. It returns the ticket of a request that
// waits, and the ticket that was evicted to make room for it, if any.
func (q *Queue) Admit(now time.Time, r Request) (verdict Verdict, ticket, evicted *Ticket) {
	place := q.Places.find(now, &r)
	r.hasPlace = place >= 0
	verdict, ticket, evicted = q.admit(now, r)
	if r.hasPlace && verdict != Refused {
		q.Places.use(place)
	}
	return verdict, ticket, evicted
}

func (q *Queue) admit(now time.Time, r Request) (verdict Verdict, ticket, evicted *Ticket) {
	if q.startsAtOnce(now, &r) && q.TakeStart(now) {
		q.running++
		q.shares.started(&r)
		return Granted, nil, nil
	}
	q.lastSequence++
	ticket = q.newTicket(now, r, q.lastSequence)
	if !q.canStartInTime(now, ticket) {
		return Refused, nil, nil
	}
	if !q.hasFreePlace(now, ticket) {
		if evicted = q.evictionCandidate(now); !q.isEvictedFor(evicted, &r) {
			return Refused, nil, nil
		}
		q.remove(evicted)
	}
	ticket.waiting = true
	q.waiting = append(q.waiting, ticket)
	q.shares.queued(&r)
	return Queued, ticket, evicted
}

// startsAtOnce reports whether a request that arrives starts without waiting, if the server's
// rates allow it. Requests that wait for the end of a slowdown don't hold it up.
func (q *Queue) startsAtOnce(now time.Time, r *Request) bool {
	return q.running < q.limit && !q.waitsForNormalSpeed(now, r) && q.nextEligible(now) == nil
}

// newTicket returns the ticket of a request that arrives now.
func (q *Queue) newTicket(now time.Time, r Request, sequence uint64) *Ticket {
	t := &Ticket{Request: r, sequence: sequence, latest: r.latestStart()}
	if limit := now.Add(maxQueueTimeAtRate); q.Rate.limited && limit.Before(t.latest) {
		t.latest = limit
	}
	if q.Cold.Wait(now, 0) > 0 {
		q.limitWait(now, t)
	}
	return t
}

// limitWait limits the time for which a request waits at a server that is cold or may be:
// another server may still meet its target.
func (q *Queue) limitWait(now time.Time, t *Ticket) {
	if limit := now.Add(maxQueueTimeAtRate); limit.Before(t.latest) {
		t.latest = limit
	}
	if last := t.Target.Add(-t.ServiceTime); last.After(now) && last.Before(t.latest) {
		t.latest = last
	}
}

// TakeStart takes the allowance for sending one request to the server. It reports whether
// there was one.
func (q *Queue) TakeStart(now time.Time) bool {
	if q.Rate.Wait(now, 0) > 0 || !q.Cold.Take(now) {
		return false
	}
	return q.Rate.Take(now)
}

// StartWait returns the time until the server's rates allow the start of a request with
// that many others ahead of it.
func (q *Queue) StartWait(now time.Time, ahead int) time.Duration {
	return max(q.Rate.Wait(now, ahead), q.Cold.Wait(now, ahead))
}

// QueueEstimate is what a request can expect from the queue and the server.
type QueueEstimate struct {
	// Refused: the request would be refused.
	Refused bool
	// Wait is the time until it would start.
	Wait time.Duration
	// ServiceTime is the expected time that the server takes from that start, slowdown
	// included.
	ServiceTime time.Duration
	// AtOnce: it would start at once, and the server works at normal speed.
	AtOnce bool
	// HasPlace: it has a place that is due.
	HasPlace bool
}

// Estimate returns what a request that arrives now can expect. It doesn't change
// the queue.
func (q *Queue) Estimate(now time.Time, r Request) QueueEstimate {
	r.hasPlace = q.Places.find(now, &r) >= 0
	t := q.newTicket(now, r, q.lastSequence+1)
	startsAtOnce := q.startsAtOnce(now, &r) && q.StartWait(now, 0) == 0
	estimate := QueueEstimate{ServiceTime: r.ServiceTime, HasPlace: r.hasPlace}
	if !startsAtOnce {
		estimate.Wait = q.expectedWait(now, t)
	}
	if estimate.Wait < q.slowdown.Remaining {
		estimate.ServiceTime = time.Duration(float64(r.ServiceTime) * q.slowdown.Factor)
	}
	estimate.AtOnce = startsAtOnce && q.slowdown.Factor <= 1
	estimate.Refused = !startsAtOnce && (!q.canStartInTime(now, t) || !q.hasCapacity(now, t))
	return estimate
}

// hasCapacity reports whether the queue has a free place, or holds a request of a
// lower class that can be evicted.
func (q *Queue) hasCapacity(now time.Time, t *Ticket) bool {
	return q.hasFreePlace(now, t) || q.isEvictedFor(q.evictionCandidate(now), &t.Request)
}

// maxReservedDivisor: at most 1/maxReservedDivisor of the queue is kept free for requests
// with a promise. Slots would run empty without others that wait if these don't return.
const maxReservedDivisor = 2

// hasFreePlace reports whether the queue has a free place beside those that requests with a
// promise will need while one that arrives now waits. Without these, each of them would
// displace a request that has waited.
func (q *Queue) hasFreePlace(now time.Time, t *Ticket) bool {
	free := q.capacity - len(q.waiting)
	if free <= 0 || t.hasPlace {
		return free > 0
	}
	reserved := q.Places.reserved(now, q.expectedWaitBehind(len(q.waiting)), &t.Request)
	return free > min(reserved, q.capacity/maxReservedDivisor)
}

// isEvictedFor reports whether a waiting request gives its place to one that arrives: it
// has a lower class, or its organisation would still hold as much of the class afterwards
// as that of the other.
func (q *Queue) isEvictedFor(evicted *Ticket, r *Request) bool {
	switch {
	case evicted == nil || evicted.Class > r.Class:
		return false
	case evicted.Class < r.Class:
		return true
	}
	if evicted.Organisation == r.Organisation {
		return r.hasPlace && !evicted.hasPlace
	}
	return q.shares.weightedHeld(&evicted.Request, -1) >= q.shares.weightedHeld(r, 1)
}

// canStartInTime reports whether a request that waits is expected to be answered
// before its deadline. In a burst most of the callers who wait get late answers or
// none; a caller who is refused at once can retry in time.
func (q *Queue) canStartInTime(now time.Time, t *Ticket) bool {
	start := now.Add(q.expectedWait(now, t))
	return start.Before(t.latest)
}

// expectedWait returns the expected time until t starts, after the requests that go
// before it.
func (q *Queue) expectedWait(now time.Time, t *Ticket) time.Duration {
	ahead := q.ahead(now, t)
	wait := max(q.expectedWaitBehind(ahead), q.StartWait(now, ahead))
	if q.waitsForNormalSpeed(now, &t.Request) {
		wait = max(wait, q.slowdown.Remaining)
	}
	return wait
}

// expectedWaitBehind returns the expected time until a slot is free for a request
// with that many waiting requests ahead of it.
func (q *Queue) expectedWaitBehind(ahead int) time.Duration {
	releases := ahead + 1 - max(q.limit-q.running, 0)
	if releases <= 0 {
		return 0
	}
	return q.meanHoldTime * time.Duration(releases) / time.Duration(max(q.limit, 1))
}

// ExpectedWait returns the expected wait of one more request behind all that wait
// now.
func (q *Queue) ExpectedWait(now time.Time) time.Duration {
	return max(q.expectedWaitBehind(len(q.waiting)), q.StartWait(now, len(q.waiting)))
}

// ahead returns the number of waiting requests that are expected to go before t.
func (q *Queue) ahead(now time.Time, t *Ticket) int {
	areShared := q.shares.areShared(&t.Request)
	waits := q.waitsForNormalSpeed(now, &t.Request)
	ahead, ofShare := 0, 0
	var preceding map[string]int
	for _, other := range q.waiting {
		if !q.before(now, other, t) || !waits && q.waitsForNormalSpeed(now, &other.Request) {
			continue
		}
		switch {
		case !areShared || other.Class != t.Class:
			ahead++
		case other.Organisation == t.Organisation:
			ofShare++
		default:
			if preceding == nil {
				preceding = make(map[string]int)
			}
			preceding[other.Organisation]++
		}
	}
	if !areShared {
		return ahead
	}
	return ahead + ofShare + q.shares.aheadOfPlace(&t.Request, q.shares.running(&t.Request)+ofShare, preceding)
}

// before reports whether a goes before b if they have the same organisation: first by
// class, then requests that can still meet their target before those that can't, then by
// target, then by arrival. Short calls that other requests wait for have near targets, so they overtake long
// requests: a request that waits for such a call holds a slot elsewhere meanwhile.
func (q *Queue) before(now time.Time, a, b *Ticket) bool {
	if a.Class != b.Class {
		return a.Class > b.Class
	}
	if a.hasPlace != b.hasPlace {
		return a.hasPlace
	}
	if onTime := a.meetsTarget(now); onTime != b.meetsTarget(now) {
		return onTime
	}
	if !a.Target.Equal(b.Target) {
		return a.Target.Before(b.Target)
	}
	return a.sequence < b.sequence
}

// nextEligible returns the first ticket in order of those that should start now;
// nil: none.
func (q *Queue) nextEligible(now time.Time) *Ticket {
	var best *Ticket
	for _, t := range q.waiting {
		if q.waitsForNormalSpeed(now, &t.Request) {
			continue
		}
		if best == nil || q.startsBefore(now, t, best) {
			best = t
		}
	}
	return best
}

// startsBefore reports whether a starts before b: within a class, the organisation that has
// fewer requests running goes first.
func (q *Queue) startsBefore(now time.Time, a, b *Ticket) bool {
	if a.Class == b.Class && a.Organisation != b.Organisation {
		if ra, rb := q.shares.weightedRunning(&a.Request), q.shares.weightedRunning(&b.Request); ra != rb {
			return ra < rb
		}
	}
	return q.before(now, a, b)
}

// Delayed returns the number of requests that wait although a slot is free: for the
// end of a slowdown, or for the server's rate.
func (q *Queue) Delayed() int {
	if q.running >= q.limit {
		return 0
	}
	return len(q.waiting)
}

// evictionCandidate returns the last ticket in order, among those of the organisation that
// holds most, of the lowest class that waits; nil: none waits.
func (q *Queue) evictionCandidate(now time.Time) *Ticket {
	var worst *Ticket
	for _, t := range q.waiting {
		if worst == nil || t.Class < worst.Class || t.Class == worst.Class && q.evictedBefore(now, t, worst) {
			worst = t
		}
	}
	return worst
}

// evictedBefore reports whether of two requests of a class a is evicted before b.
func (q *Queue) evictedBefore(now time.Time, a, b *Ticket) bool {
	if a.Organisation != b.Organisation {
		if ha, hb := q.shares.weightedHeld(&a.Request, 0), q.shares.weightedHeld(&b.Request, 0); ha != hb {
			return ha > hb
		}
	}
	return q.before(now, b, a)
}

// Release frees the slot of a request of a class and an organisation.
func (q *Queue) Release(class int, organisation string) {
	q.running--
	q.shares.ended(&Request{Class: class, Organisation: organisation})
}

// Next gives a free slot to a waiting request and returns its ticket. It returns
// nil when no slot is free or no request should start now.
func (q *Queue) Next(now time.Time) *Ticket {
	if q.running >= q.limit {
		return nil
	}
	t := q.nextEligible(now)
	if t == nil || !q.TakeStart(now) {
		return nil
	}
	q.remove(t)
	t.started = now
	q.running++
	q.shares.started(&t.Request)
	return t
}

// RemoveExpired removes and returns the requests that have waited until their latest
// start, or can't be answered in time because of a slowdown: another server may be faster.
func (q *Queue) RemoveExpired(now time.Time) []*Ticket {
	var expired []*Ticket
	isCold := q.Cold.IsCold(now)
	for _, t := range q.waiting {
		if isCold {
			q.limitWait(now, t) // it may have begun to wait at a warm server
		}
		if now.After(t.latest) || q.isLateAtAnySpeed(now, &t.Request) {
			expired = append(expired, t)
		}
	}
	for _, t := range expired {
		q.remove(t)
	}
	return expired
}

// Cancel removes a ticket from the queue. It reports whether the ticket was still
// waiting.
func (q *Queue) Cancel(t *Ticket) bool {
	if !t.waiting {
		return false
	}
	q.remove(t)
	return true
}

// Clear removes and returns all waiting requests.
func (q *Queue) Clear() []*Ticket {
	cleared := q.waiting
	for _, t := range cleared {
		t.waiting = false
		q.shares.left(&t.Request)
	}
	q.waiting = nil
	return cleared
}

func (q *Queue) remove(t *Ticket) {
	for i := range q.waiting {
		if q.waiting[i] == t {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			t.waiting = false
			q.shares.left(&t.Request)
			return
		}
	}
}

package admission

import (
	"sort"
	"time"
)

const (
	// coldMarginPercent is the share of a cold server's bound that is used, in percent: a
	// request arrives some time after its start, so a second at the server may hold
	// requests started within a little more than a second.
	coldMarginPercent = 80
	// minColdWindow is the span in which the starts at a cold server are counted.
	minColdWindow = time.Second
	// coldBurstDivisor is the part of the starts of a window that may follow each other
	// without a pause.
	coldBurstDivisor = 4
	// MaxColdAnswerAge is the age of the server's latest answer up to which it may get
	// more requests than a cold one.
	MaxColdAnswerAge = 200 * time.Millisecond
	// coldAnswerTimeout is the time without a needed answer after which the server counts
	// as cold.
	coldAnswerTimeout = 500 * time.Millisecond
	// coldRefreshAge is the age of an answer above which the next one is asked for: half of
	// the greatest useful age, so that it arrives before it is needed.
	coldRefreshAge = MaxColdAnswerAge / 2
	// urgentAnswerAge is the age of an answer above which the next one is urgent.
	urgentAnswerAge = MaxColdAnswerAge * 3 / 4
	// coldAnswerWait is the expected wait for an answer of the server's health endpoint,
	// which is on the same machine.
	coldAnswerWait = 10 * time.Millisecond
	// maxColdTime bounds the time for which a single report makes a server cold if the
	// service names no cold time. A longer one is confirmed by further reports.
	maxColdTime = 10 * time.Second
)

// ColdBounds are the limits of a cold server.
type ColdBounds struct {
	// PerSecond is the number of requests a second that a cold server takes; zero: there
	// is no limit.
	PerSecond float64
	// MaxInSecond is the number of requests within a second that a cold server never
	// exceeds; at least PerSecond.
	MaxInSecond float64
	// ColdTime is how long a server is cold at most before it reports so again; zero: a
	// default.
	ColdTime time.Duration
}

// AnswerNeed says whether the server should be asked whether it is cold.
type AnswerNeed int

// Values of AnswerNeed.
const (
	// AnswerNotNeeded: the next starts need no newer answer.
	AnswerNotNeeded AnswerNeed = iota
	// AnswerSoonNeeded: an answer will be needed soon.
	AnswerSoonNeeded
	// AnswerUrgent: starts are held back, or will be at once, without an answer.
	AnswerUrgent
)

// ColdLimit limits the starts at a server that may become cold at any moment, after its
// start or later: a cold server breaks down above a low request rate, and only its
// heartbeat and its health endpoint tell that it is cold. Starts up to the cold rate are
// always allowed. Above it, the server must have said recently that it is warm, and only
// so many starts follow such an answer that the bound holds if the server became cold
// right after it. The limiter must see all starts. It isn't safe for concurrent use.
type ColdLimit struct {
	bounds ColdBounds
	// window is the span in which at most perWindow requests start at a cold server.
	window    time.Duration
	perWindow int
	// burst is the number of starts at a cold server without a pause between them.
	burst int
	// perAnswer is the number of starts allowed after the server said that it is warm.
	perAnswer int

	// starts is a ring of the latest starts; next is the index of the oldest.
	starts []time.Time
	next   int

	// heard is set once the server has reported whether it is cold.
	heard bool
	// coldUntil is the end of the reported cold time.
	coldUntil time.Time
	// reportedAt is when the latest report that the server is cold arrived.
	reportedAt time.Time
	// askedAt and answeredAt are the times of the latest answer and of the question.
	askedAt, answeredAt time.Time
	// neededSince is when an answer was first needed after the latest one; zero: none is.
	neededSince time.Time
	// withheldAt is when a question was last withheld by the budget for measuring.
	withheldAt time.Time
}

// Configure sets the bounds. The latest starts still count; those before the first bounds
// aren't known, so as many count as may make up the bound with the starts of a second: the
// gate of a process that has just ended may have used up what followed an answer.
func (c *ColdLimit) Configure(now time.Time, b ColdBounds) {
	if b == c.bounds {
		return
	}
	if b.PerSecond <= 0 {
		*c = ColdLimit{}
		return
	}
	c.bounds = b
	usable := max(b.MaxInSecond, b.PerSecond) * coldMarginPercent / 100
	perSecond := min(b.PerSecond, usable)
	c.window = max(minColdWindow, time.Duration(float64(time.Second)/perSecond))
	c.perWindow = max(1, int(perSecond*c.window.Seconds()))
	c.burst = max(1, c.perWindow/coldBurstDivisor)
	c.perAnswer = max(c.perWindow, int(usable))
	isFirst := len(c.starts) == 0
	old := c.latestStarts(c.perAnswer)
	c.starts, c.next = make([]time.Time, c.perAnswer), 0
	for i := len(old) - 1; i >= 0; i-- {
		c.push(old[i])
	}
	if isFirst {
		bound := int(max(b.MaxInSecond, b.PerSecond))
		for range min(max(c.perWindow+c.perAnswer-bound, 0), c.perWindow-1) {
			c.push(now)
		}
	}
}

// latestStarts returns up to n starts, the latest first.
func (c *ColdLimit) latestStarts(n int) []time.Time {
	var latest []time.Time
	for k := 1; k <= min(n, len(c.starts)); k++ {
		latest = append(latest, c.start(k))
	}
	return latest
}

// start returns the k-th latest start; k is 1 to len(starts).
func (c *ColdLimit) start(k int) time.Time {
	return c.starts[(c.next-k+len(c.starts))%len(c.starts)]
}

func (c *ColdLimit) push(at time.Time) {
	c.starts[c.next] = at
	c.next = (c.next + 1) % len(c.starts)
}

// Enabled reports whether the server has a cold rate.
func (c *ColdLimit) Enabled() bool { return c.bounds.PerSecond > 0 }

// Reset forgets what the server reported, as after its start. Answers to questions sent
// before now no longer count; the latest starts still do.
func (c *ColdLimit) Reset(now time.Time) {
	c.heard, c.coldUntil, c.reportedAt = false, time.Time{}, time.Time{}
	c.askedAt, c.answeredAt, c.neededSince, c.withheldAt = now, time.Time{}, time.Time{}, time.Time{}
}

// RecordHeartbeat records the time for which the server stays cold by its heartbeat. A
// heartbeat may be delayed, so one that says that the server is warm doesn't end a cold
// time.
func (c *ColdLimit) RecordHeartbeat(now time.Time, coldFor time.Duration) {
	c.heard = true
	if coldFor <= 0 {
		return
	}
	c.reportedAt = now
	if until := now.Add(c.bounded(coldFor)); until.After(c.coldUntil) {
		c.coldUntil = until
	}
}

// RecordAnswer records the time for which the server stays cold by its answer to a
// question sent at askedAt. An answer to a question before the latest report is ignored.
func (c *ColdLimit) RecordAnswer(now, askedAt time.Time, coldFor time.Duration) {
	if askedAt.Before(c.askedAt) || coldFor <= 0 && askedAt.Before(c.reportedAt) {
		return
	}
	c.heard = true
	c.askedAt, c.answeredAt, c.neededSince = askedAt, now, time.Time{}
	c.coldUntil = time.Time{}
	if coldFor > 0 {
		c.reportedAt, c.coldUntil = now, now.Add(c.bounded(coldFor))
	}
}

// RecordWithheld records that a question was withheld by the budget for measuring.
func (c *ColdLimit) RecordWithheld(now time.Time) { c.withheldAt = now }

// bounded returns the cold time that a single report may set.
func (c *ColdLimit) bounded(coldFor time.Duration) time.Duration {
	limit := c.bounds.ColdTime
	if limit <= 0 {
		limit = maxColdTime
	}
	return min(coldFor, limit)
}

// IsCold reports whether the server counts as cold: it has said so, it hasn't reported
// yet, or it owes a needed answer for too long.
func (c *ColdLimit) IsCold(now time.Time) bool {
	if !c.Enabled() {
		return false
	}
	overdue := !c.neededSince.IsZero() && now.Sub(c.neededSince) > coldAnswerTimeout
	return !c.heard || overdue || now.Before(c.coldUntil)
}

// maxAnswerAge returns the age up to which the latest answer counts. When the budget
// withheld the next question, the server isn't to blame, and the number of starts since
// the answer stays bounded.
func (c *ColdLimit) maxAnswerAge() time.Duration {
	if c.withheldAt.After(c.answeredAt) {
		return coldAnswerTimeout
	}
	return MaxColdAnswerAge
}

// startsLeft returns the number of starts that the latest answer still allows.
func (c *ColdLimit) startsLeft(now time.Time) int {
	if c.answeredAt.IsZero() || c.IsCold(now) || now.Sub(c.answeredAt) > c.maxAnswerAge() {
		return 0
	}
	return c.perAnswer - c.startsSince(c.askedAt, c.perAnswer)
}

// startsSince returns the number of starts at or after a time, at most limit.
func (c *ColdLimit) startsSince(since time.Time, limit int) int {
	return sort.Search(min(limit, len(c.starts)), func(i int) bool { return c.start(i + 1).Before(since) })
}

// Take records a start now if it is allowed, and reports whether it is.
func (c *ColdLimit) Take(now time.Time) bool {
	if !c.Enabled() {
		return true
	}
	if c.Wait(now, 0) > 0 {
		if c.neededSince.IsZero() && !c.IsCold(now) {
			c.neededSince = now
		}
		return false
	}
	c.push(now)
	return true
}

// Undo removes the start at a time: the request didn't reach the server.
func (c *ColdLimit) Undo(at time.Time) {
	for k := 1; k <= len(c.starts); k++ {
		if !c.start(k).Equal(at) {
			continue
		}
		for ; k < len(c.starts); k++ {
			c.starts[(c.next-k+len(c.starts))%len(c.starts)] = c.start(k + 1)
		}
		c.starts[c.next] = time.Time{} // the oldest
		return
	}
}

// Wait returns the time until a request with that many others ahead of it may start.
func (c *ColdLimit) Wait(now time.Time, ahead int) time.Duration {
	if !c.Enabled() || c.startsLeft(now) > ahead {
		return 0
	}
	if c.IsCold(now) {
		return c.waitAtColdRate(now, ahead, c.burst)
	}
	return min(c.waitAtColdRate(now, ahead, c.perWindow), coldAnswerWait)
}

// waitAtColdRate returns the time until a request with that many others ahead of it may
// start at the cold rate, if burst starts may follow each other without a pause.
func (c *ColdLimit) waitAtColdRate(now time.Time, ahead, burst int) time.Duration {
	burstWindow := c.window * time.Duration(burst) / time.Duration(c.perWindow)
	// expected holds the starts of the requests ahead and of this one.
	expected := make([]time.Time, 0, ahead+1)
	before := func(k int) time.Time {
		if k <= len(expected) {
			return expected[len(expected)-k]
		}
		return c.start(k - len(expected))
	}
	for range ahead + 1 {
		at := now
		if free := before(c.perWindow).Add(c.window); free.After(at) {
			at = free
		}
		if free := before(burst).Add(burstWindow); free.After(at) {
			at = free
		}
		expected = append(expected, at)
	}
	return min(expected[ahead].Sub(now), maxRateWait)
}

// Need says whether the server should be asked now whether it is cold. Nothing is asked
// while it gets less than half of the cold rate.
func (c *ColdLimit) Need(now time.Time) AnswerNeed {
	if !c.Enabled() {
		return AnswerNotNeeded
	}
	if !c.heard || !c.neededSince.IsZero() {
		return AnswerUrgent
	}
	recent := c.startsSince(now.Add(-c.window), c.perWindow)
	if recent < max(1, c.perWindow/2) {
		return AnswerNotNeeded
	}
	age := now.Sub(c.answeredAt)
	if c.IsCold(now) {
		if age > coldAnswerTimeout {
			return AnswerSoonNeeded // the cold time may have ended early
		}
		return AnswerNotNeeded
	}
	left := c.startsLeft(now)
	switch {
	case recent >= c.perWindow && (age > urgentAnswerAge || left < c.perAnswer/4):
		return AnswerUrgent
	case age > coldRefreshAge || left < c.perAnswer/2:
		return AnswerSoonNeeded
	default:
		return AnswerNotNeeded
	}
}

package quota

import (
	"slices"
	"time"
)

const (
	// resendAfter is the time without a reply after which a request for tokens is sent
	// again once. A round trip in a region takes about a millisecond, on a loaded
	// machine up to 10 ms; to another region about 40 ms.
	resendAfter            = 20 * time.Millisecond
	resendOtherRegionAfter = 55 * time.Millisecond
	// askTimeout is the time after which an owner counts as not responding.
	askTimeout            = 60 * time.Millisecond
	askOtherRegionTimeout = 120 * time.Millisecond
	// skipTime is how long an owner that didn't respond is skipped, which is about the
	// time until membership has found it dead.
	skipTime = time.Second
	// notOwnerTime is how long a node that says that it doesn't own a part is skipped:
	// a few rounds of gossip, after which the views agree.
	notOwnerTime = 200 * time.Millisecond
	// minEmptyTime and maxEmptyTime bound how long an empty part isn't asked again. The
	// maximum keeps the part in use when the demand falls; the minimum limits the
	// messages for refused requests to 20 a second and part.
	minEmptyTime = 50 * time.Millisecond
	maxEmptyTime = 500 * time.Millisecond
	// prefetchTime is the demand that is asked for ahead of need. It is half of the
	// longest lifetime of a token, so that few tokens expire.
	prefetchTime = 125 * time.Millisecond
	// minPrefetch is the smallest number of tokens worth asking for ahead of need.
	minPrefetch = 2
	// calmTime is how long nothing is asked for ahead of need after a part was empty,
	// because every unused token is then missing elsewhere.
	calmTime = time.Second
	// rateTime is the time constant of the demand's estimate.
	rateTime = time.Second
)

// Token allows one request to be forwarded until it expires.
type Token struct {
	expires time.Time
}

// Valid reports whether the token may still be spent.
func (t Token) Valid(now time.Time) bool { return now.Before(t.expires) }

// message is a request for tokens to the owner of a part.
type message struct {
	to           string
	number       uint64
	organisation string
	region       string
	wanted       int
}

// timer asks for a call of holder.timeout.
type timer struct {
	number uint64
	after  time.Duration
}

// result is the outcome for a waiting request.
type result struct {
	waiter uint64
	token  Token
	ok     bool
	// retryAfter is the time until a refused request may succeed.
	retryAfter time.Duration
	// starting reports that the fleet is starting and no owner grants yet.
	starting bool
}

// effects are what the caller of a state machine has to do.
type effects struct {
	messages []message
	timers   []timer
	results  []result
}

// ask is a request for tokens without a reply.
type ask struct {
	message
	sentAt time.Time
	resent bool
}

// part is what a holder knows about the part of a region.
type part struct {
	region string
	// emptyUntil is the time until which the part isn't asked because it was empty, and
	// tokenAt when it expects a token for a refused request.
	emptyUntil, tokenAt time.Time
	// skipUntil is the time until which the part isn't asked because its owner didn't
	// respond or is unknown.
	skipUntil time.Time
	starting  bool
	ask       *ask
}

// tokens are a number of tokens with one time of expiry.
type tokens struct {
	count   int
	expires time.Time
}

// counters are counts since the start.
type counters struct {
	granted, refused, asked, timeouts int64
}

// holder takes tokens for the requests of an organisation on one node and, as an owner,
// gives tokens to others. It isn't safe for concurrent use.
type holder struct {
	organisation string
	slot         int
	cap          Cap
	limits       Limits
	numbers      func() uint64

	tokens  []tokens
	waiters []uint64
	parts   []part
	bucket  bucket
	// demand is the number of requests a second, an exponentially weighted mean.
	demand    float64
	demandAt  time.Time
	lastEmpty time.Time
	// nextSlot is the last Retry-After time that was given without a message.
	nextSlot time.Time
	counters counters
}

// acquire asks for a token for a request. The result is among the effects of this call
// or of a later one.
func (h *holder) acquire(now time.Time, p *Placement, waiter uint64, e *effects) {
	h.countDemand(now)
	h.waiters = append(h.waiters, waiter)
	h.step(now, p, e)
	h.askAhead(now, p, e)
}

// cancel removes a waiting request.
func (h *holder) cancel(waiter uint64) {
	if i := slices.Index(h.waiters, waiter); i >= 0 {
		h.waiters = slices.Delete(h.waiters, i, i+1)
	}
}

// giveBack returns the token of a request that wasn't forwarded.
func (h *holder) giveBack(now time.Time, p *Placement, token Token, e *effects) {
	if token.Valid(now) {
		h.add(tokens{1, token.expires})
		h.step(now, p, e)
	}
}

// add adds tokens in the order of their expiry.
func (h *holder) add(t tokens) {
	i := len(h.tokens)
	for i > 0 && h.tokens[i-1].expires.After(t.expires) {
		i--
	}
	h.tokens = slices.Insert(h.tokens, i, t)
}

// take removes the token that expires first.
func (h *holder) take(now time.Time) (Token, bool) {
	for len(h.tokens) > 0 {
		first := &h.tokens[0]
		if first.count == 0 || !now.Before(first.expires) {
			h.tokens = slices.Delete(h.tokens, 0, 1)
			continue
		}
		first.count--
		return Token{first.expires}, true
	}
	return Token{}, false
}

// held returns the number of tokens that are valid.
func (h *holder) held(now time.Time) int {
	count := 0
	for _, t := range h.tokens {
		if now.Before(t.expires) {
			count += t.count
		}
	}
	return count
}

func (h *holder) countDemand(now time.Time) {
	elapsed := now.Sub(h.demandAt).Seconds() / rateTime.Seconds()
	h.demandAt = now
	if elapsed > 10 { // the earlier demand has no more weight
		h.demand = 0
	} else {
		h.demand -= h.demand * elapsed / (1 + elapsed)
	}
	h.demand += 1 / rateTime.Seconds()
}

// step gives tokens to waiting requests, asks owners for the others, and refuses those
// for which no owner can be asked.
func (h *holder) step(now time.Time, p *Placement, e *effects) {
	h.syncParts(p)
	h.serve(now, e)
	missing := len(h.waiters)
	asking := false
	for i := range h.parts {
		if a := h.parts[i].ask; a != nil {
			missing -= a.wanted
			asking = true
		}
	}
	for i := range h.parts {
		if missing <= 0 {
			break
		}
		pt := &h.parts[i]
		if pt.ask != nil {
			if i == 0 {
				return // the reply from this region comes before any from another one
			}
			continue
		}
		if !pt.askable(now) {
			continue
		}
		before := len(h.waiters)
		wanted := missing + h.prefetch(now)
		if h.askPart(now, p, i, wanted, e) {
			asking = true
			missing -= wanted
			if i == 0 {
				return
			}
			continue
		}
		missing -= before - len(h.waiters)
	}
	if !asking {
		h.refuse(now, p, e)
	}
}

// askable reports whether the part may be asked.
func (pt *part) askable(now time.Time) bool {
	return !now.Before(pt.emptyUntil) && !now.Before(pt.skipUntil)
}

// syncParts makes the parts those of the placement's regions. The timer of a request to
// a region that is gone calls step.
func (h *holder) syncParts(p *Placement) {
	same := len(h.parts) == len(p.regions)
	for i := 0; same && i < len(p.regions); i++ {
		same = h.parts[i].region == p.regions[i]
	}
	if same {
		return
	}
	old := h.parts
	h.parts = make([]part, 0, len(p.regions))
	for _, region := range p.regions {
		i := slices.IndexFunc(old, func(pt part) bool { return pt.region == region })
		if i < 0 {
			h.parts = append(h.parts, part{region: region})
			continue
		}
		h.parts = append(h.parts, old[i])
	}
}

// serve gives the held tokens to the waiting requests.
func (h *holder) serve(now time.Time, e *effects) {
	for len(h.waiters) > 0 {
		token, ok := h.take(now)
		if !ok {
			return
		}
		h.counters.granted++
		e.results = append(e.results, result{waiter: h.waiters[0], token: token, ok: true})
		h.waiters = slices.Delete(h.waiters, 0, 1)
	}
}

// prefetch returns the number of tokens to ask for ahead of need.
func (h *holder) prefetch(now time.Time) int {
	if now.Sub(h.lastEmpty) < calmTime {
		return 0
	}
	if n := int(h.demand * prefetchTime.Seconds()); n >= minPrefetch {
		return n
	}
	return 0
}

// askAhead asks the own region's part before the held tokens run out.
func (h *holder) askAhead(now time.Time, p *Placement, e *effects) {
	n := h.prefetch(now)
	if n == 0 || len(h.parts) == 0 || len(p.regions) == 0 || h.parts[0].ask != nil || !h.parts[0].askable(now) {
		return
	}
	if h.held(now) <= n/minPrefetch {
		h.askPart(now, p, 0, n, e)
	}
}

// askPart asks the owner of a part. It reports whether a reply is awaited; if this node
// is the owner, the tokens are taken at once.
func (h *holder) askPart(now time.Time, p *Placement, i, wanted int, e *effects) bool {
	pt := &h.parts[i]
	owner := p.owner(h.slot, i)
	if owner == p.ownAddress {
		wanted = min(wanted, len(h.waiters))
		h.receive(now, p, pt, now, wanted, h.bucket.grant(now, p, h.slot, h.cap, h.limits, requestID{}, wanted))
		h.serve(now, e)
		return false
	}
	pt.ask = &ask{
		message: message{to: owner, number: h.numbers(), organisation: h.organisation, region: pt.region, wanted: wanted},
		sentAt:  now,
	}
	h.counters.asked++
	e.messages = append(e.messages, pt.ask.message)
	resend := resendOtherRegionAfter
	if i == 0 {
		resend = resendAfter
	}
	e.timers = append(e.timers, timer{pt.ask.number, resend})
	return true
}

// reply applies an owner's reply. Replies to requests that have timed out are ignored:
// their tokens would be spent too late.
func (h *holder) reply(now time.Time, p *Placement, number uint64, g grant, e *effects) {
	i := h.partOf(number)
	if i < 0 {
		return
	}
	pt := &h.parts[i]
	sentAt, wanted := pt.ask.sentAt, pt.ask.wanted
	pt.ask = nil
	h.receive(now, p, pt, sentAt, wanted, g)
	h.step(now, p, e)
}

func (h *holder) partOf(number uint64) int {
	return slices.IndexFunc(h.parts, func(pt part) bool { return pt.ask != nil && pt.ask.number == number })
}

// receive records a grant for tokens that were asked for at sentAt.
func (h *holder) receive(now time.Time, p *Placement, pt *part, sentAt time.Time, wanted int, g grant) {
	pt.starting = g.starting
	if granted := min(g.tokens, wanted); granted > 0 {
		h.add(tokens{granted, sentAt.Add(h.limits.Lifetime)})
	}
	switch {
	case !g.owner:
		pt.skipUntil = now.Add(notOwnerTime)
	case g.tokens < wanted:
		h.lastEmpty = now
		pt.tokenAt = now.Add(g.retryAfter)
		pt.emptyUntil = now.Add(min(max(g.retryAfter, minEmptyTime), maxEmptyTime))
	}
}

// timeout is called after the time of a timer. It sends a request again once and then
// gives it up.
func (h *holder) timeout(now time.Time, p *Placement, number uint64, e *effects) {
	i := h.partOf(number)
	if i < 0 {
		h.step(now, p, e)
		return
	}
	pt := &h.parts[i]
	limit := askOtherRegionTimeout
	if i == 0 {
		limit = askTimeout
	}
	if waited := now.Sub(pt.ask.sentAt); waited < limit {
		if pt.ask.resent {
			return
		}
		pt.ask.resent = true
		e.messages = append(e.messages, pt.ask.message)
		e.timers = append(e.timers, timer{number, limit - waited})
		return
	}
	h.unreachable(now, p, i, e)
}

// unreachable gives a request up and skips its owner for skipTime.
func (h *holder) unreachable(now time.Time, p *Placement, i int, e *effects) {
	h.counters.timeouts++
	h.parts[i].ask = nil
	h.parts[i].skipUntil = now.Add(skipTime)
	h.step(now, p, e)
}

// unsent is called when a request for tokens couldn't be sent, for example because the
// budget for messages is spent.
func (h *holder) unsent(now time.Time, p *Placement, number uint64, e *effects) {
	if i := h.partOf(number); i >= 0 && !h.parts[i].ask.resent {
		h.counters.timeouts++
		h.parts[i].ask = nil
		h.parts[i].skipUntil = now.Add(minEmptyTime)
		h.step(now, p, e)
	}
}

// refuse refuses all waiting requests.
func (h *holder) refuse(now time.Time, p *Placement, e *effects) {
	if len(h.waiters) == 0 {
		return
	}
	starting := p.starting || len(p.regions) == 0 || now.Before(p.youngUntil)
	next := now.Add(unknownRetryAfter)
	known := false
	for i := range h.parts {
		pt := &h.parts[i]
		starting = starting || pt.starting && !pt.askable(now)
		if pt.tokenAt.After(now) && (!known || pt.tokenAt.Before(next)) {
			next, known = pt.tokenAt, true
		}
	}
	for _, waiter := range h.waiters {
		next = h.slotAfter(now, next, p)
		h.counters.refused++
		e.results = append(e.results, result{waiter: waiter, retryAfter: next.Sub(now), starting: starting})
	}
	h.waiters = h.waiters[:0]
}

// slotAfter returns the Retry-After time of a request that is refused without a
// message. Each one is later than the one before, by what the requests of this node get
// of the rate.
func (h *holder) slotAfter(now, next time.Time, p *Placement) time.Time {
	if !h.nextSlot.Before(next) && h.cap.RatePerS > 0 {
		interval := float64(time.Second) * float64(max(p.nodes, 1)) / h.cap.RatePerS
		next = h.nextSlot.Add(time.Duration(min(interval, float64(maxEmptyTime))))
	}
	if latest := now.Add(maxRetryAfter); next.After(latest) {
		next = latest
	}
	h.nextSlot = next
	return next
}

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
	// minEmptyTime is the shortest time until an empty part is asked again. It limits the
	// messages for refused requests to 20 a second and part.
	minEmptyTime = 50 * time.Millisecond
	// maxEmptyTime is the longest time for which an empty part is asked at this node's share
	// of the rate only, or not at all if the owner doesn't tell it. It keeps the part in use
	// when the demand falls.
	maxEmptyTime        = 2 * time.Second
	maxEmptyTimeUnknown = 500 * time.Millisecond
	// askFactor is how many tokens of an empty part all nodes together ask for, for each
	// token that it gets. Above 1, the tokens are used up although requests come at random.
	askFactor = 1.5
	// shareJump is the growth of this node's share of the fleet's refusals beyond which its
	// schedule of Retry-After times begins anew. The estimate varies by less at even demand.
	shareJump = 6
	// maxCredit is the largest number of tokens of an empty part that are asked for at once.
	maxCredit = 8
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
	refused      int
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
	// onCredit reports that the part was thought to be empty, so that requests beyond the
	// number of wanted tokens don't wait for the reply.
	onCredit bool
}

// part is what a holder knows about the part of a region.
type part struct {
	region string
	// emptyUntil is the time until which the part is asked for no more than this node's
	// share of its rate, because it was empty, and tokenAt when a refused caller should come
	// back by its owner.
	emptyUntil, tokenAt time.Time
	// creditPerS is that share in tokens a second, and credit those that may be asked for
	// at creditAt.
	creditPerS, credit float64
	creditAt           time.Time
	// refused are the requests refused since the part was asked, reported the rate of those
	// that its owner was told of, and lastReported the number that it was told of last.
	refused      int
	reported     rateEstimate
	lastReported int
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
	// refusedShare is the estimated share of this node in the requests that the fleet
	// refuses; zero: no owner has refused a request yet.
	refusedShare float64
	counters     counters
}

// acquire asks for a token for a request. The result is among the effects of this call
// or of a later one.
func (h *holder) acquire(now time.Time, p *Placement, waiter uint64, e *effects) {
	h.countDemand(now)
	h.waiters = append(h.waiters, waiter)
	h.stepNew(now, p, e)
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
func (h *holder) step(now time.Time, p *Placement, e *effects) { h.ask(now, p, false, e) }

// stepNew is step after a request has come. Only then are empty parts asked for this node's
// share, so that no request waits for one reply after the other.
func (h *holder) stepNew(now time.Time, p *Placement, e *effects) { h.ask(now, p, true, e) }

// ask is step, which asks empty parts for this node's share if useCredit.
func (h *holder) ask(now time.Time, p *Placement, useCredit bool, e *effects) {
	h.syncParts(p)
	h.serve(now, e)
	missing := len(h.waiters)
	mayGrantMore := false
	for i := range h.parts {
		if a := h.parts[i].ask; a != nil {
			missing -= a.wanted
			mayGrantMore = mayGrantMore || !a.onCredit
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
		onCredit := !pt.askable(now)
		if onCredit && !(useCredit && pt.hasCredit(now)) {
			continue
		}
		before := len(h.waiters)
		wanted := missing + h.prefetch(now)
		if onCredit {
			// Tokens beyond what this node needs soon would expire.
			wanted = max(wanted, min(int(pt.credit), int(h.demand*prefetchTime.Seconds())))
		}
		if h.askPart(now, p, i, wanted, e) {
			pt.ask.onCredit = onCredit
			mayGrantMore = mayGrantMore || !onCredit
			missing -= wanted
			if i == 0 {
				return
			}
			continue
		}
		missing -= before - len(h.waiters)
	}
	if !mayGrantMore && missing > 0 {
		h.refuse(now, p, missing, e)
	}
}

// askable reports whether the part may be asked.
func (pt *part) askable(now time.Time) bool {
	return !now.Before(pt.emptyUntil) && !now.Before(pt.skipUntil)
}

// hasCredit reports whether a part that was empty may be asked because this node's share of
// its rate amounts to a token.
func (pt *part) hasCredit(now time.Time) bool {
	pt.credit = min(pt.credit+pt.creditPerS*now.Sub(pt.creditAt).Seconds(), maxCredit)
	pt.creditAt = now
	return pt.credit >= 1 && !now.Before(pt.skipUntil)
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
		refused := pt.report(now)
		h.receive(now, p, pt, now, wanted, h.bucket.grant(now, p, h.slot, h.cap, h.limits, requestID{}, wanted, refused))
		h.serve(now, e)
		return false
	}
	pt.ask = &ask{
		message: message{to: owner, number: h.numbers(), organisation: h.organisation, region: pt.region, wanted: wanted, refused: pt.report(now)},
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
	case g.tokens < wanted || g.retryAfter > 0:
		h.lastEmpty = now
		pt.tokenAt = now.Add(g.retryAfter)
		before := max(h.refusedShare, 1/float64(max(p.nodes, 1)))
		share, upper := pt.refusedShare(now, p, g.refusedPerS)
		if h.refusedShare = share; share > shareJump*before {
			h.nextSlot = time.Time{} // the times were computed with a share that was far too small
		}
		longest := maxEmptyTimeUnknown
		pt.creditPerS, pt.credit, pt.creditAt = 0, 0, now
		if g.refusedPerS > 0 {
			longest = maxEmptyTime
			pt.creditPerS = askFactor * h.cap.RatePerS * p.total / float64(max(len(p.regions), 1)) * upper
		}
		pt.emptyUntil = now.Add(min(max(g.retryAfter, minEmptyTime), longest))
	default:
		pt.emptyUntil, pt.credit = time.Time{}, 0
	}
}

// report returns the number of refused requests to tell the owner of.
func (pt *part) report(now time.Time) int {
	refused := pt.refused
	pt.refused = 0
	pt.reported.add(now, refused)
	pt.lastReported = refused
	return refused
}

// refusedShare estimates the share of this node in the requests that the fleet refuses, at
// least that of an average node, and returns an upper bound with it. Of the other nodes'
// latest requests the owner has been told half on average, so half of this node's latest
// ones are left out; and a few requests say little, so they are given less weight.
func (pt *part) refusedShare(now time.Time, p *Placement, fleetPerS float64) (share, upper float64) {
	share = 1 / float64(max(p.nodes, 1))
	upper = share
	if fleetPerS > 0 {
		known := pt.reported.at(now)
		upper = min(max(share, known/fleetPerS), 1)
		known -= float64(pt.lastReported) / refusedTime.Seconds() / 2
		share = min(max(share, known/fleetPerS*known/(known+1)), 1)
	}
	return share, upper
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

// refuse refuses a number of waiting requests, those that came last.
func (h *holder) refuse(now time.Time, p *Placement, count int, e *effects) {
	kept := max(len(h.waiters)-count, 0)
	starting := p.starting || len(p.regions) == 0 || now.Before(p.youngUntil)
	next := now.Add(unknownRetryAfter)
	known := false
	for i := range h.parts {
		pt := &h.parts[i]
		starting = starting || pt.starting && !pt.askable(now)
		// The latest time comes from the owner that knows most of the refused requests.
		if pt.tokenAt.After(now) && (!known || pt.tokenAt.After(next)) {
			next, known = pt.tokenAt, true
		}
	}
	for _, waiter := range h.waiters[kept:] {
		next = h.slotAfter(now, next, p)
		h.counters.refused++
		for i := range h.parts {
			h.parts[i].refused++
		}
		e.results = append(e.results, result{waiter: waiter, retryAfter: next.Sub(now), starting: starting})
	}
	h.waiters = h.waiters[:kept]
}

// slotAfter returns the Retry-After time of a request that is refused without a
// message. Each one is later than the one before, by what the requests of this node get
// of the rate.
func (h *holder) slotAfter(now, next time.Time, p *Placement) time.Time {
	share := h.refusedShare
	if share == 0 {
		share = 1 / float64(max(p.nodes, 1))
	}
	if rate := h.cap.RatePerS * p.total * share; !h.nextSlot.Before(next) && rate > 0 {
		next = h.nextSlot.Add(seconds(1 / rate))
	}
	if latest := now.Add(maxRetryAfter); next.After(latest) {
		next = latest
	}
	h.nextSlot = next
	return next
}

package quota

import (
	"math"
	"time"
)

const (
	// maxRetryAfter bounds the schedule of Retry-After times. Callers return within a
	// few seconds or not at all.
	maxRetryAfter = 5 * time.Second
	// unknownRetryAfter is the Retry-After while no owner can be reached: a part has a
	// new owner or is skipped no longer within about that time.
	unknownRetryAfter = time.Second
	// refusedTime is the time constant of estimates of the rate of refusals. A surge of an
	// organisation lasts several seconds.
	refusedTime = 2 * time.Second
	// overCapPart is the rate of refusals, as a part of the cap's rate, from which on a node
	// that has taken the last token is told that the part is empty.
	overCapPart = 0.1
	// minShare keeps divisions finite.
	minShare = 1e-6
	// repeatWindow is how long a grant is kept for a repeated request. It is longer
	// than the time after which a request is repeated plus a round trip.
	repeatWindow = 300 * time.Millisecond
	// maxWanted bounds a request for tokens, so that a malformed one can't empty a part
	// of any size at once.
	maxWanted = 1000
	// maxReported bounds the refused requests of a request for tokens in the same way.
	maxReported = 100_000
)

// Defaults of the bounds of a cap.
const (
	DefaultWindow    = 5 * time.Second
	DefaultOvershoot = 0.1
	DefaultSlack     = 20.0
)

// Limits are the bounds that a cap is enforced within.
type Limits struct {
	// Lifetime is the time from a request for tokens within which they must be spent.
	Lifetime time.Duration
	// RateFactor reduces the rate where the bounds leave no room for Lifetime.
	RateFactor float64
	// ExtraBurst is added to the burst, so that the parts of a small cap hold whole
	// tokens.
	ExtraBurst float64
	// FirstTokens is the level of a part that a node has just become the owner of.
	FirstTokens float64
}

// NewLimits returns the limits for the bounds of a cap: in any window at most
// (rate x window + burst) x (1 + overshoot) + slack requests.
func NewLimits(window time.Duration, overshoot, slack float64) Limits {
	// Half of the overshoot is for tokens that are spent late and 0.4 of the slack for
	// the burst. The rest is for parts that change their owner.
	const (
		longest  = 250 * time.Millisecond
		shortest = 50 * time.Millisecond // two round trips in a region under load
	)
	lifetime := min(max(time.Duration(overshoot/2*float64(window)), shortest), longest)
	return Limits{
		Lifetime:    lifetime,
		RateFactor:  min(1, (1+overshoot)*window.Seconds()/(window+lifetime).Seconds()),
		ExtraBurst:  0.4 * slack,
		FirstTokens: min(1, slack/20),
	}
}

// Cap is the usage cap of an organisation.
type Cap struct {
	RatePerS float64
	Burst    float64
}

// grant is the reply of an owner.
type grant struct {
	tokens int
	// retryAfter is the time until a token for a refused request is expected.
	retryAfter time.Duration
	// owner reports whether the node owns the part.
	owner bool
	// starting reports that the owner doesn't grant yet because the fleet has just
	// started.
	starting bool
	// refusedPerS is the rate at which the fleet refuses requests; zero: not known.
	refusedPerS float64
}

// requestID identifies a request for tokens.
type requestID struct {
	from   string
	number uint64
}

// repeat is a grant that is given again when its request is repeated.
type repeat struct {
	id    requestID
	at    time.Time
	grant grant
}

// bucket is the part of an organisation's cap that this node owns. The zero bucket is
// ready for use.
type bucket struct {
	generation uint32
	used       bool
	level      float64
	// accrued is Placement.accruedAt of the last change of level.
	accrued float64
	// nextSlot is the time up to which the cap is promised to refused callers.
	nextSlot time.Time
	// refused is the rate at which the fleet refuses requests.
	refused rateEstimate
	// repeats are the latest grants, oldest first.
	repeats []repeat
}

// grant takes up to wanted tokens from the part for a node that has refused requests since
// it last asked.
func (b *bucket) grant(now time.Time, p *Placement, slot int, c Cap, limits Limits, id requestID, wanted, refused int) grant {
	held, active := p.active(slot, now)
	if !active {
		wait, owned := p.activeIn(slot, now)
		return grant{owner: owned, retryAfter: wait, starting: owned && p.starting}
	}
	if old, ok := b.repeated(now, id); ok {
		return old
	}
	b.refill(now, p, held, c, limits)
	tokens := max(min(min(wanted, maxWanted), int(b.level)), 0)
	b.level -= float64(tokens)
	reply := grant{tokens: tokens, owner: true}
	b.refused.add(now, refused)
	if tokens < wanted {
		refused = max(refused, 1)
	}
	rate := c.RatePerS * limits.RateFactor
	retryAfter := b.slot(now, rate, p, refused)
	reply.refusedPerS = b.refused.at(now)
	if tokens < wanted || b.level < 1 && reply.refusedPerS > overCapPart*rate {
		reply.retryAfter = retryAfter
	}
	if tokens > 0 && id.from != "" {
		b.repeats = append(b.repeats, repeat{id: id, at: now, grant: reply})
	}
	return reply
}

// repeated returns the grant that the request has already received.
func (b *bucket) repeated(now time.Time, id requestID) (grant, bool) {
	expired := 0
	for expired < len(b.repeats) && now.Sub(b.repeats[expired].at) > repeatWindow {
		expired++
	}
	if expired > 0 {
		b.repeats = b.repeats[:copy(b.repeats, b.repeats[expired:])]
	}
	for _, r := range b.repeats {
		if r.id == id && id.from != "" {
			return r.grant, true
		}
	}
	return grant{}, false
}

// refill adds the tokens since the last call.
func (b *bucket) refill(now time.Time, p *Placement, held *holding, c Cap, limits Limits) {
	capacity := max((c.Burst+limits.ExtraBurst)*p.share, 1)
	if !b.used || b.generation != held.generation {
		*b = bucket{generation: held.generation, used: true, level: limits.FirstTokens, accrued: held.accruedAtStart}
	}
	accrued := p.accruedAt(now)
	b.level = min(capacity, b.level+c.RatePerS*limits.RateFactor*max(accrued-b.accrued, 0))
	b.accrued = max(accrued, b.accrued)
}

// slot promises the cap to a number of refused callers, one after the other, and returns
// the time until the last one of them may come back. Every part is told of all refused
// requests, so the callers are spread at the rate of the whole cap.
func (b *bucket) slot(now time.Time, rate float64, p *Placement, refused int) time.Duration {
	if rate *= p.total; rate <= 0 {
		return unknownRetryAfter
	}
	if b.nextSlot.Before(now) {
		empty := max(1-b.level, 0) / (rate * max(p.share, minShare) / max(p.total, minShare))
		b.nextSlot = now.Add(seconds(empty) - seconds(1/rate)) // the first one gets the next token
	}
	b.nextSlot = b.nextSlot.Add(seconds(float64(refused) / rate))
	if latest := now.Add(maxRetryAfter); b.nextSlot.After(latest) {
		b.nextSlot = latest
	}
	return max(b.nextSlot.Sub(now), 0)
}

// seconds returns a duration of at most maxRetryAfter.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}

// rateEstimate is the rate of events, an exponentially weighted mean.
type rateEstimate struct {
	perS    float64
	updated time.Time
}

// at returns the rate at a time.
func (r *rateEstimate) at(now time.Time) float64 {
	return r.perS * math.Exp(-max(now.Sub(r.updated), 0).Seconds()/refusedTime.Seconds())
}

func (r *rateEstimate) add(now time.Time, count int) {
	r.perS = r.at(now) + float64(count)/refusedTime.Seconds()
	r.updated = now
}

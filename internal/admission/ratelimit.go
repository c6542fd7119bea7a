package admission

import (
	"math"
	"time"
)

const (
	// rateBurst is the time for which a limited server's unused allowance is kept.
	rateBurst = 250 * time.Millisecond
	// maxRateWait bounds the wait given for a rate that is close to zero.
	maxRateWait = time.Minute
	// roundingSlack absorbs rounding errors in the number of tokens.
	roundingSlack = 1e-9
)

// RateLimit holds back the requests to a server that names, in its answers, the number
// of requests a second that it takes. The load that it answers is one that fits the
// slots but not the rate, as at a server that other work slows down. The limiter must
// see all requests to the server: limiters that see a part each would together let too
// many pass. It isn't safe for concurrent use.
type RateLimit struct {
	limited bool
	// perSecond is the rate named last, if limited.
	perSecond float64
	// namedAt is when the last answer that named a rate arrived.
	namedAt    time.Time
	tokens     float64
	refilledAt time.Time
}

// Observe records the rate that an answer names; infinite: none. Answers may overtake
// each other, so only one to a request that was sent after the last naming ends the
// limit.
func (l *RateLimit) Observe(now, sentAt time.Time, perSecond float64) {
	if math.IsInf(perSecond, 1) {
		if l.limited && sentAt.After(l.namedAt) {
			*l = RateLimit{}
		}
		return
	}
	l.refill(now)
	if !l.limited {
		l.tokens = 1
	}
	l.limited, l.perSecond, l.namedAt = true, perSecond, now
	l.tokens = min(l.tokens, l.capacity())
}

// PerSecond returns the rate, and false if there is none.
func (l *RateLimit) PerSecond() (rate float64, limited bool) { return l.perSecond, l.limited }

// NameAge returns the time since an answer last named the rate.
func (l *RateLimit) NameAge(now time.Time) time.Duration { return now.Sub(l.namedAt) }

func (l *RateLimit) capacity() float64 { return max(1, l.perSecond*rateBurst.Seconds()) }

func (l *RateLimit) refill(now time.Time) {
	if elapsed := now.Sub(l.refilledAt); l.limited && elapsed > 0 {
		l.tokens = min(l.tokens+elapsed.Seconds()*l.perSecond, l.capacity())
	}
	l.refilledAt = now
}

// Take takes the allowance of one request. It reports whether there was one.
func (l *RateLimit) Take(now time.Time) bool {
	if !l.limited {
		return true
	}
	l.refill(now)
	if l.tokens < 1-roundingSlack {
		return false
	}
	l.tokens--
	return true
}

// Wait returns the time until a request with that many others ahead of it may start.
func (l *RateLimit) Wait(now time.Time, ahead int) time.Duration {
	if !l.limited {
		return 0
	}
	l.refill(now)
	missing := float64(ahead+1) - l.tokens - roundingSlack
	if missing <= 0 {
		return 0
	}
	wait := missing / l.perSecond * float64(time.Second)
	return time.Duration(math.Ceil(min(wait, float64(maxRateWait))))
}

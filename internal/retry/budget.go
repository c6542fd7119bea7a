// Package retry bounds the retries of a service to a share of its successes,
// so that retries can't multiply an overload.
package retry

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// DefaultPercent is the share of retries when the policy names none.
	DefaultPercent = 10
	// floorPerSecond retries are allowed whatever the successes, so that a
	// service with little traffic can retry at all.
	floorPerSecond = 1
	floorBurst     = 3
	// unit is one retry in the bucket.
	unit = 100
	// capacity bounds the retries saved up, in units.
	capacity = 100 * unit
)

// Budget is a token bucket that successes fill, or, once it has a window, a bound
// on the retries in every span of time. Safe for concurrent use.
type Budget struct {
	percent atomic.Int64
	tokens  atomic.Int64
	floor   *rate.Limiter
	window  atomic.Pointer[Window]
}

// NewBudget returns a budget that allows percent retries for 100 successes;
// 0: DefaultPercent.
func NewBudget(percent uint32) *Budget {
	b := &Budget{floor: rate.NewLimiter(floorPerSecond, floorBurst)}
	b.SetPercent(percent)
	return b
}

// SetPercent changes the share; 0: DefaultPercent.
func (b *Budget) SetPercent(percent uint32) {
	if percent == 0 {
		percent = DefaultPercent
	}
	b.percent.Store(int64(percent))
}

// SetWindow makes the budget allow, in every span, percent retries for 100
// requests and slack retries more. Slack is this entry's part of the fleet's. A
// span of zero changes nothing.
func (b *Budget) SetWindow(span time.Duration, slack float64) {
	if span <= 0 {
		return
	}
	window := b.window.Load()
	if window == nil || window.span != span {
		window = newWindow(span)
		b.window.Store(window)
	}
	window.setLimits(float64(b.percent.Load())/100, slack)
}

// Request adds a request, whatever becomes of it.
func (b *Budget) Request() {
	if window := b.window.Load(); window != nil {
		window.request(time.Now())
	}
}

// Success adds a success.
func (b *Budget) Success() {
	tokens := b.tokens.Load()
	if tokens >= capacity {
		return
	}
	// Racing additions may pass the capacity by a few units.
	b.tokens.Add(b.percent.Load())
}

// Take reports whether a retry is allowed, and uses it up.
func (b *Budget) Take() bool {
	if window := b.window.Load(); window != nil {
		return window.take(time.Now())
	}
	for {
		tokens := b.tokens.Load()
		if tokens < unit {
			return b.floor.Allow()
		}
		if b.tokens.CompareAndSwap(tokens, tokens-unit) {
			return true
		}
	}
}

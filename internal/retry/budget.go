// Package retry implements retry budgets: it limits the retries of a service to a
// share of its successes or requests, so that retries can't amplify an overload.
package retry

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// DefaultPercent is the share of retries when the policy sets none.
	DefaultPercent = 10
	// floorRetriesPerSecond is the rate of retries allowed regardless of successes,
	// so that a service with little traffic can retry at all.
	floorRetriesPerSecond = 1
	floorBurstRetries     = 3
	// tokensPerRetry is the number of tokens that a retry takes from the bucket.
	tokensPerRetry = 100
	// maxTokens bounds the tokens in the bucket.
	maxTokens = 100 * tokensPerRetry
)

// Budget limits retries by a token bucket that successes fill or, once a window is
// set, by a limit on the retries in every sliding span of time. Safe for concurrent
// use.
type Budget struct {
	percent atomic.Int64
	tokens  atomic.Int64
	floor   *rate.Limiter
	window  atomic.Pointer[Window]
}

// NewBudget returns a budget that allows percent retries for every 100 successes;
// 0: DefaultPercent.
func NewBudget(percent uint32) *Budget {
	b := &Budget{floor: rate.NewLimiter(floorRetriesPerSecond, floorBurstRetries)}
	b.SetPercent(percent)
	return b
}

// SetPercent sets the share of retries; 0: DefaultPercent.
func (b *Budget) SetPercent(percent uint32) {
	if percent == 0 {
		percent = DefaultPercent
	}
	b.percent.Store(int64(percent))
}

// SetWindow limits the retries in every span of time to percent for every 100
// requests plus slack, of which usableShare is used. Slack is this entry's part of
// the fleet's slack. A span of zero changes nothing.
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

// RecordRequest counts a request, whatever its outcome.
func (b *Budget) RecordRequest() {
	if window := b.window.Load(); window != nil {
		window.recordRequest(time.Now())
	}
}

// RecordSuccess counts a successful request.
func (b *Budget) RecordSuccess() {
	tokens := b.tokens.Load()
	if tokens >= maxTokens {
		return
	}
	// Concurrent additions may exceed maxTokens by a few tokens.
	b.tokens.Add(b.percent.Load())
}

// Take reports whether a retry is allowed, and counts it if so.
func (b *Budget) Take() bool {
	if window := b.window.Load(); window != nil {
		return window.take(time.Now())
	}
	for {
		tokens := b.tokens.Load()
		if tokens < tokensPerRetry {
			return b.floor.Allow()
		}
		if b.tokens.CompareAndSwap(tokens, tokens-tokensPerRetry) {
			return true
		}
	}
}

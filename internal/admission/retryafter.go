package admission

import (
	"math/rand/v2"
	"time"
)

// minRetryAfter is the shortest wait suggested to a caller; within less, the load
// can't have changed.
const minRetryAfter = 50 * time.Millisecond

// RetryAfter returns the wait to suggest to a caller who is refused by a queue that
// drains within wait. The result is spread uniformly from half to one and a half
// times wait, so that callers refused together don't retry together.
func RetryAfter(wait time.Duration) time.Duration {
	wait = max(wait, minRetryAfter)
	return wait/2 + rand.N(wait)
}

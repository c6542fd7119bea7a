package admission

import (
	"math/rand/v2"
	"time"
)

// minRetryAfter is the least wait suggested to a caller; sooner, nothing can have
// changed.
const minRetryAfter = 50 * time.Millisecond

// RetryAfter is the wait to suggest to a caller who is turned away from a queue that
// drains in wait, spread by half to either side so that those turned away together
// don't come back together.
func RetryAfter(wait time.Duration) time.Duration {
	wait = max(wait, minRetryAfter)
	return wait/2 + rand.N(wait)
}

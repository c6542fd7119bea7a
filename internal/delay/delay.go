// Package delay provides a sleep that ends early when a context is done.
package delay

import (
	"context"
	"time"
)

// Sleep waits for d and returns true, or returns false as soon as ctx is done. If d
// isn't positive, it returns at once and reports whether ctx is still active.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

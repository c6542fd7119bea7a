//go:build !linux

package loadgen

import "time"

// preciseSleep sleeps with the runtime's timers.
func preciseSleep(d time.Duration) {
	time.Sleep(d)
}

package loadgen

import (
	"syscall"
	"time"
)

// preciseSleep sleeps in the kernel, because the runtime's timers are rounded up
// to a millisecond when the process is idle. It blocks an OS thread.
func preciseSleep(d time.Duration) {
	if d <= 0 {
		return
	}
	spec := syscall.NsecToTimespec(int64(d))
	for syscall.Nanosleep(&spec, &spec) == syscall.EINTR {
	}
}

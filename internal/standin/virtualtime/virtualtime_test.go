package virtualtime

import (
	"runtime"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// bubbles, callbacks and sleepers are large enough to crash the process in most runs
// if Test doesn't limit GOMAXPROCS.
const (
	bubbles   = 100
	callbacks = 200
	sleepers  = 200
	dueTimers = 20
)

// TestSimultaneousTimers guards against the crash described at Test. Timers start their
// functions while goroutines receive from timers that are due.
func TestSimultaneousTimers(t *testing.T) {
	for range bubbles {
		Test(t, func(*testing.T) {
			done := make(chan struct{}, callbacks+sleepers)
			for range callbacks {
				time.AfterFunc(time.Second, func() { done <- struct{}{} })
			}
			for range sleepers {
				go receiveDueTimers(done)
			}
			for range callbacks + sleepers {
				<-done
			}
		})
	}
}

func receiveDueTimers(done chan<- struct{}) {
	time.Sleep(time.Second)
	for range dueTimers {
		<-time.NewTimer(0).C
	}
	done <- struct{}{}
}

func TestPanic(t *testing.T) {
	Convey("A panic of the body reaches the caller, and GOMAXPROCS is restored", t, func() {
		before := runtime.GOMAXPROCS(0)
		So(func() { Test(t, func(*testing.T) { panic("body") }) }, ShouldPanicWith, "body")
		So(runtime.GOMAXPROCS(0), ShouldEqual, before)
	})
}

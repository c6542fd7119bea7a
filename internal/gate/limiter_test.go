package gate

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
	"github.com/egretfield/egretfield/internal/wire"
)

const (
	critical   = pb.Class_CLASS_CRITICAL
	normal     = pb.Class_CLASS_NORMAL
	background = pb.Class_CLASS_BACKGROUND
	overloaded = pb.ErrorKind_ERROR_KIND_OVERLOADED
)

// acquireAsync starts an acquire in a goroutine and returns the channel that
// receives its result.
func acquireAsync(ctx context.Context, l *limiter, class pb.Class, wait time.Duration) chan errkind.Kind {
	result := make(chan errkind.Kind, 1)
	go func() {
		_, kind := l.acquire(ctx, slotRequest{class: class, deadline: time.Now().Add(wait)})
		result <- kind
	}()
	synctest.Wait()
	return result
}

func TestLimiter(t *testing.T) {
	Convey("Given two slots and a queue of two", t, func() {
		run := func(name string, body func(ctx context.Context, l *limiter)) {
			virtualtime.Test(t, func(t *testing.T) {
				l := newLimiter()
				l.configure(2, false)
				ctx := context.Background()
				for range 2 {
					if _, kind := l.acquire(ctx, slotRequest{class: normal, deadline: time.Now().Add(time.Second)}); kind != 0 {
						t.Fatalf("%s: slot refused: %v", name, kind)
					}
				}
				body(ctx, l)
			})
		}
		Convey("the limits of slots and queue are exact", func() {
			var result errkind.Kind
			var report pb.LoadReport
			run("exact", func(ctx context.Context, l *limiter) {
				a, b := acquireAsync(ctx, l, normal, time.Second), acquireAsync(ctx, l, normal, time.Second)
				_, result = l.acquire(ctx, slotRequest{class: normal, deadline: time.Now().Add(time.Second)})
				l.fillReport(&report)
				l.release(runResult{})
				l.release(runResult{})
				<-a
				<-b
			})
			So(result, ShouldEqual, overloaded)
			So(report.InFlight, ShouldEqual, 2)
			So(report.Queued, ShouldEqual, 2)
		})
		Convey("requests of a higher class go first and evict one of the lowest class", func() {
			var evicted, first errkind.Kind
			waiting := 0
			run("classes", func(ctx context.Context, l *limiter) {
				a, b := acquireAsync(ctx, l, background, time.Second), acquireAsync(ctx, l, normal, time.Second)
				c := acquireAsync(ctx, l, critical, time.Second)
				evicted = <-a
				l.release(runResult{})
				first = <-c
				waiting = len(b)
				l.release(runResult{})
				<-b
			})
			So(evicted, ShouldEqual, overloaded)
			So(first, ShouldEqual, errkind.Kind(0))
			So(waiting, ShouldEqual, 0)
		})
		Convey("a request whose deadline passes leaves the queue", func() {
			var kind errkind.Kind
			var report pb.LoadReport
			run("deadline", func(ctx context.Context, l *limiter) {
				kind = <-acquireAsync(ctx, l, normal, 100*time.Millisecond)
				l.fillReport(&report)
			})
			So(kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_DEADLINE_BEFORE_RUN)
			So(report.Queued, ShouldEqual, 0)
		})
		Convey("a request that is cancelled leaves the queue", func() {
			var kind errkind.Kind
			run("cancel", func(ctx context.Context, l *limiter) {
				ctx, cancel := context.WithCancel(ctx)
				result := acquireAsync(ctx, l, normal, time.Second)
				cancel()
				kind = <-result
			})
			So(kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_CANCELLED)
		})
		Convey("a request whose expected wait exceeds its deadline is refused at once", func() {
			var kind errkind.Kind
			var elapsed time.Duration
			run("estimate", func(ctx context.Context, l *limiter) {
				l.serviceTimes.Add(time.Now(), "", time.Second, 0)
				startedAt := time.Now()
				_, kind = l.acquire(ctx, slotRequest{class: normal, deadline: startedAt.Add(100 * time.Millisecond)})
				elapsed = time.Since(startedAt)
			})
			So(kind, ShouldEqual, overloaded)
			So(elapsed, ShouldEqual, 0)
		})
		Convey("the queue is emptied at once when the server is gone", func() {
			var kind errkind.Kind
			run("gone", func(ctx context.Context, l *limiter) {
				result := acquireAsync(ctx, l, normal, time.Second)
				l.configure(0, false)
				kind = <-result
			})
			So(kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_NOT_READY)
		})
		Convey("waiting requests can be refused while the running ones continue", func() {
			var kind errkind.Kind
			var report pb.LoadReport
			run("drain", func(ctx context.Context, l *limiter) {
				result := acquireAsync(ctx, l, normal, 15*time.Second)
				l.refuseWaiting(pb.ErrorKind_ERROR_KIND_DRAINING)
				kind = <-result
				l.fillReport(&report)
			})
			So(kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_DRAINING)
			So(report.InFlight, ShouldEqual, 2)
			So(report.Queued, ShouldEqual, 0)
		})
		Convey("idle is signalled when all requests have ended", func() {
			before, after := true, false
			run("idle", func(_ context.Context, l *limiter) {
				idle := l.whenIdle()
				l.release(runResult{})
				before = isClosed(idle)
				l.release(runResult{})
				after = isClosed(idle) && isClosed(l.whenIdle())
			})
			So(before, ShouldBeFalse)
			So(after, ShouldBeTrue)
		})
		Convey("a slot granted to a request that is being cancelled isn't lost", func() {
			var report pb.LoadReport
			run("race", func(_ context.Context, l *limiter) {
				ticket, result, _, _ := l.admit(slotRequest{class: normal, deadline: time.Now().Add(time.Second)})
				l.release(runResult{})
				l.abandon(ticket, result, pb.ErrorKind_ERROR_KIND_CANCELLED)
				l.fillReport(&report)
			})
			So(report.InFlight, ShouldEqual, 1)
		})
	})
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// TestWithdraw guards against an attempt that is certified as withdrawn and runs all the
// same, and against slots lost when attempts are withdrawn while slots become free.
func TestWithdraw(t *testing.T) {
	const attempts = 200
	l := newLimiter()
	l.configure(2, false)
	l.setQueuePercent(100 * attempts)
	var withdrawn, ran, both, runsNow, most atomic.Int64
	var group sync.WaitGroup
	_, _ = l.acquire(context.Background(), slotRequest{deadline: time.Now().Add(time.Minute)})
	for i := range attempts {
		id := wire.AttemptID{Origin: 1, Number: uint64(i)}
		s := slotRequest{attempt: id, deadline: time.Now().Add(time.Minute)}
		var ended atomic.Bool
		group.Go(func() {
			defer ended.Store(true)
			_, kind := l.acquire(context.Background(), s)
			if kind == 0 {
				most.Store(max(most.Load(), runsNow.Add(1)))
				ran.Add(1)
				runtime.Gosched()
				if l.withdraw(id) {
					both.Add(1)
				}
				runsNow.Add(-1)
				l.release(runResult{})
			}
		})
		group.Go(func() {
			for i%2 == 0 && !ended.Load() {
				if l.withdraw(id) {
					withdrawn.Add(1)
				}
				runtime.Gosched()
			}
		})
	}
	l.release(runResult{})
	group.Wait()
	Convey("Each attempt runs or is withdrawn, within the slots, and nothing is left", t, func() {
		So(ran.Load()+withdrawn.Load(), ShouldEqual, attempts)
		So(withdrawn.Load(), ShouldBeGreaterThan, 0)
		So(both.Load(), ShouldEqual, 0)
		So(most.Load(), ShouldBeLessThanOrEqualTo, 2)
		So(l.queue.Running()+l.queue.Waiting()+len(l.waiting)+len(l.resolutions), ShouldEqual, 0)
	})
}

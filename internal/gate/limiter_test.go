package gate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
)

const (
	critical   = pb.Class_CLASS_CRITICAL
	normal     = pb.Class_CLASS_NORMAL
	background = pb.Class_CLASS_BACKGROUND
	overloaded = pb.ErrorKind_ERROR_KIND_OVERLOADED
)

// queueUp starts an acquire and returns where its verdict will come.
func queueUp(ctx context.Context, l *limiter, class pb.Class, wait time.Duration) chan errkind.Kind {
	verdict := make(chan errkind.Kind, 1)
	go func() { verdict <- l.acquire(ctx, slot{class: class, deadline: time.Now().Add(wait)}) }()
	synctest.Wait()
	return verdict
}

func TestLimiter(t *testing.T) {
	Convey("Given two slots and a queue of two", t, func() {
		run := func(name string, body func(ctx context.Context, l *limiter)) {
			virtualtime.Test(t, func(t *testing.T) {
				l := newLimiter()
				l.configure(2)
				ctx := context.Background()
				for range 2 {
					if kind := l.acquire(ctx, slot{class: normal, deadline: time.Now().Add(time.Second)}); kind != 0 {
						t.Fatalf("%s: slot refused: %v", name, kind)
					}
				}
				body(ctx, l)
			})
		}
		Convey("slots and queue are exact", func() {
			var verdict errkind.Kind
			var report pb.LoadReport
			run("exact", func(ctx context.Context, l *limiter) {
				a, b := queueUp(ctx, l, normal, time.Second), queueUp(ctx, l, normal, time.Second)
				verdict = l.acquire(ctx, slot{class: normal, deadline: time.Now().Add(time.Second)})
				l.fill(&report)
				l.release(ending{})
				l.release(ending{})
				<-a
				<-b
			})
			So(verdict, ShouldEqual, overloaded)
			So(report.InFlight, ShouldEqual, 2)
			So(report.Queued, ShouldEqual, 2)
		})
		Convey("important requests go first and push the least out", func() {
			var pushed, first errkind.Kind
			waiting := 0
			run("classes", func(ctx context.Context, l *limiter) {
				a, b := queueUp(ctx, l, background, time.Second), queueUp(ctx, l, normal, time.Second)
				c := queueUp(ctx, l, critical, time.Second)
				pushed = <-a
				l.release(ending{})
				first = <-c
				waiting = len(b)
				l.release(ending{})
				<-b
			})
			So(pushed, ShouldEqual, overloaded)
			So(first, ShouldEqual, errkind.Kind(0))
			So(waiting, ShouldEqual, 0)
		})
		Convey("a deadline that passes in the queue frees the place", func() {
			var kind errkind.Kind
			var report pb.LoadReport
			run("deadline", func(ctx context.Context, l *limiter) {
				kind = <-queueUp(ctx, l, normal, 100*time.Millisecond)
				l.fill(&report)
			})
			So(kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_DEADLINE_BEFORE_RUN)
			So(report.Queued, ShouldEqual, 0)
		})
		Convey("a caller that leaves the queue frees the place", func() {
			var kind errkind.Kind
			run("cancel", func(ctx context.Context, l *limiter) {
				ctx, cancel := context.WithCancel(ctx)
				verdict := queueUp(ctx, l, normal, time.Second)
				cancel()
				kind = <-verdict
			})
			So(kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_CANCELLED)
		})
		Convey("a wait longer than the deadline is refused at once", func() {
			var kind errkind.Kind
			var took time.Duration
			run("estimate", func(ctx context.Context, l *limiter) {
				l.work.Add("", time.Second, 0)
				begun := time.Now()
				kind = l.acquire(ctx, slot{class: normal, deadline: begun.Add(100 * time.Millisecond)})
				took = time.Since(begun)
			})
			So(kind, ShouldEqual, overloaded)
			So(took, ShouldEqual, 0)
		})
		Convey("a server that is gone empties the queue at once", func() {
			var kind errkind.Kind
			run("gone", func(ctx context.Context, l *limiter) {
				verdict := queueUp(ctx, l, normal, time.Second)
				l.configure(0)
				kind = <-verdict
			})
			So(kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_NOT_READY)
		})
		Convey("a drain that lasts refuses what still waits, and keeps what runs", func() {
			var kind errkind.Kind
			var report pb.LoadReport
			run("drain", func(ctx context.Context, l *limiter) {
				verdict := queueUp(ctx, l, normal, 15*time.Second)
				l.refuseWaiting(pb.ErrorKind_ERROR_KIND_DRAINING)
				kind = <-verdict
				l.fill(&report)
			})
			So(kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_DRAINING)
			So(report.InFlight, ShouldEqual, 2)
			So(report.Queued, ShouldEqual, 0)
		})
		Convey("idle is signalled when all have ended", func() {
			before, after := true, false
			run("idle", func(_ context.Context, l *limiter) {
				idle := l.whenIdle()
				l.release(ending{})
				before = isClosed(idle)
				l.release(ending{})
				after = isClosed(idle) && isClosed(l.whenIdle())
			})
			So(before, ShouldBeFalse)
			So(after, ShouldBeTrue)
		})
		Convey("a slot given to one who leaves at that moment isn't lost", func() {
			var report pb.LoadReport
			run("race", func(_ context.Context, l *limiter) {
				w, verdict, _ := l.enter(slot{class: normal, deadline: time.Now().Add(time.Second)})
				l.release(ending{})
				l.leave(w, verdict, pb.ErrorKind_ERROR_KIND_CANCELLED)
				l.fill(&report)
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

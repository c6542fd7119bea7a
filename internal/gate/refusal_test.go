package gate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
	"github.com/egretfield/egretfield/internal/wire"
)

// TestReasonOfRefusal guards against offers that name a wrong reason for a refusal, such as
// a full queue although the server is slow and has free slots.
func TestReasonOfRefusal(t *testing.T) {
	for _, c := range []struct {
		name string
		// running and waiting are the numbers of requests before the question.
		running, waiting int
		prepare          func(l *limiter)
		deadline         time.Duration
		want             string
	}{
		{"a slow server with free slots", 0, 0, func(l *limiter) { l.recordSlowness(400) }, 200 * time.Millisecond,
			"the backend server works 4.0 times slower than usual, too slowly to answer the request before its deadline"},
		{"a slow server with free slots and without a queue", 0, 0, func(l *limiter) {
			l.setQueuePercent(0)
			l.recordSlowness(400)
		}, time.Second,
			"the backend server works 4.0 times slower than usual, and the queue has no place to wait for the end of that: 0 of 0 are taken"},
		{"a server without a free slot and a short deadline", 2, 1, nil, 150 * time.Millisecond,
			"no slot is free, and the request would start too late: the expected wait is 50ms"},
		{"a server without a free slot and a full queue", 2, 2, nil, time.Minute,
			"no slot is free, and the queue has no place: 2 of 2 are taken"},
		{"a slow server without a free slot and with a full queue", 2, 2, func(l *limiter) { l.recordSlowness(400) }, time.Minute,
			"no slot is free, and the queue has no place: 2 of 2 are taken"},
		{"a slow server without a free slot", 2, 0, func(l *limiter) { l.recordSlowness(400) }, 200 * time.Millisecond,
			"the backend server works 4.0 times slower than usual, too slowly to answer the request before its deadline"},
		{"a server that may be cold", 0, 0, func(l *limiter) {
			l.setColdBounds(testColdBounds)
			l.recordColdHeartbeat(0)
			l.setQueuePercent(0)
			for range 15 {
				l.takeRepeat()
			}
		}, time.Minute,
			"the backend server may be cold, as it hasn't said recently that it is warm, and the queue has no place: 0 of 0 are taken"},
		{"a server at its rate limit", 1, 0, func(l *limiter) {
			l.recordAnswer(time.Now(), &wire.ServerNotice{RatePerS: 1})
			l.takeRepeat()
		}, time.Minute,
			"the backend server is at its rate limit of 1 requests/s: the expected wait is 1s"},
		{"a server at its rate limit without a queue", 1, 0, func(l *limiter) {
			l.setQueuePercent(0)
			l.recordAnswer(time.Now(), &wire.ServerNotice{RatePerS: 100})
			for range 25 {
				l.takeRepeat()
			}
		}, time.Minute,
			"the backend server is at its rate limit of 100 requests/s, and the queue has no place: 0 of 0 are taken"},
		{"a cold server", 0, 0, func(l *limiter) {
			l.setColdBounds(testColdBounds)
			l.recordColdHeartbeat(time.Second)
			for range 15 {
				l.takeRepeat()
			}
		}, time.Minute,
			"the backend server is cold and at its cold rate: the expected wait is 200ms"},
		{"a server without a free slot at its rate limit", 2, 0, func(l *limiter) {
			l.recordAnswer(time.Now(), &wire.ServerNotice{RatePerS: 1})
			l.takeRepeat()
		}, time.Minute,
			"the backend server is at its rate limit of 1 requests/s: the expected wait is 1s"},
	} {
		Convey("The offer of "+c.name+" names the reason of its refusal", t, func() {
			var inspected, usual *pb.Offer
			virtualtime.Test(t, func(*testing.T) {
				g := New(Options{Instance: "i", Incarnation: 1})
				g.SetServer(&Server{Service: "s", Address: "127.0.0.1:1", Slots: 2, Connections: 3})
				g.limiter.acquire(context.Background(), slotRequest{deadline: time.Now().Add(time.Minute)})
				g.limiter.release(runResult{holdTime: 100 * time.Millisecond, slowdownFactor: 1, completed: true})
				for range c.running + c.waiting {
					go g.limiter.acquire(context.Background(), slotRequest{deadline: time.Now().Add(time.Minute)})
					synctest.Wait()
				}
				if c.prepare != nil {
					c.prepare(g.limiter)
				}
				ask := func(inspect bool) *pb.Offer {
					us := uint32(c.deadline.Microseconds())
					return g.Offer(context.Background(), &pb.OfferQuestion{Service: "s", TargetUs: us, DeadlineUs: us, Inspect: inspect})
				}
				inspected, usual = ask(true), ask(false)
				time.Sleep(2 * time.Minute) // the requests that wait give up
			})
			So(inspected.GetRefused(), ShouldBeTrue)
			So(inspected.GetKind(), ShouldEqual, pb.ErrorKind_ERROR_KIND_OVERLOADED)
			So(inspected.GetMessage(), ShouldEqual, c.want)
			So(usual.GetRefused(), ShouldBeTrue)
			So(usual.GetMessage(), ShouldBeEmpty)
		})
	}
}

package budget

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
)

var testLimits = Limits{Bytes: 20_000, Messages: 100, CPUTime: 3 * time.Millisecond}

// offerMessages offers messages of each class at the given rate per second for d.
func offerMessages(l *Limiter, d time.Duration, messagesPerSecond, size int, classes ...Class) {
	interval := time.Second / time.Duration(messagesPerSecond)
	for range int(d / interval) {
		time.Sleep(interval)
		for _, class := range classes {
			l.Allow(class, size)
		}
	}
}

// allowedTotals returns the allowed messages and bytes over all classes.
func allowedTotals(l *Limiter) (messages, bytes uint64) {
	for class := range classCount {
		m, b := l.Allowed(class)
		messages += m
		bytes += b
	}
	return messages, bytes
}

func TestBound(t *testing.T) {
	const seconds = 20
	all := []Class{ClassProbe, ClassReport, ClassRumor, ClassGossip, ClassLiveness, ClassLeave}
	for _, size := range []int{20, 200, 2000} {
		virtualtime.Test(t, func(t *testing.T) {
			l := New(testLimits)
			// Six classes offer 1,200 messages a second, 12 times the limit.
			offerMessages(l, seconds*time.Second, 200, size, all...)
			Convey("However much is offered, no allowance is exceeded", t, func() {
				messages, bytes := allowedTotals(l)
				So(messages, ShouldBeLessThanOrEqualTo, (seconds+1)*testLimits.Messages)
				So(bytes, ShouldBeLessThanOrEqualTo, (seconds+1)*testLimits.Bytes)
				cpuTime := time.Duration(messages) * estimateCPUTime(size)
				So(cpuTime, ShouldBeLessThanOrEqualTo, (seconds+1)*testLimits.CPUTime)
			})
		})
	}
}

func TestOrderOfDropping(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		l := New(testLimits)
		go offerMessages(l, 20*time.Second, 1000, 200, ClassProbe, ClassReport, ClassRumor, ClassGossip)
		offerMessages(l, 20*time.Second, 10, 200, ClassLiveness, ClassLeave)
		Convey("A flood of the lower classes drops no liveness check and no leave message", t, func() {
			So(l.Dropped(ClassLiveness), ShouldEqual, 0)
			So(l.Dropped(ClassLeave), ShouldEqual, 0)
			So(l.Dropped(ClassGossip), ShouldBeGreaterThan, 0)
			probes, _ := l.Allowed(ClassProbe)
			reports, _ := l.Allowed(ClassReport)
			gossip, _ := l.Allowed(ClassGossip)
			So(probes, ShouldBeLessThan, reports)
			So(reports, ShouldBeLessThan, gossip)
		})
	})
}

func TestLiveLimits(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		l := New(LimitsOf(nil))
		l.SetLimits(LimitsOf(&pb.MeasuringBudget{BytesPerS: 1000, MessagesPerS: 5}))
		offerMessages(l, 10*time.Second, 100, 100, ClassLeave)
		Convey("A lower limit takes effect at once, and a zero field keeps the default", t, func() {
			messages, bytes := allowedTotals(l)
			So(messages, ShouldBeLessThanOrEqualTo, 5*11)
			So(bytes, ShouldBeLessThanOrEqualTo, 1000*11)
			So(LimitsOf(&pb.MeasuringBudget{BytesPerS: 7}), ShouldResemble, Limits{7, DefaultMessages, DefaultCPUTime})
		})
	})
}

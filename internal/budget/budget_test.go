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
	all := []Class{ClassExtra, ClassProbe, ClassReport, ClassRumor, ClassGossip, ClassLiveness, ClassLeave}
	for _, size := range []int{20, 200, 2000} {
		virtualtime.Test(t, func(t *testing.T) {
			l := New(testLimits)
			// Seven classes offer 1,400 messages a second, 14 times the limit.
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

var testCredit = Credit{Bytes: 50_000, Messages: 70, CPUTime: 4 * time.Millisecond}

// Guards against a start credit that is granted more than once, is open to classes below
// gossip, or outlives its period: in any window a node may send the rate times the window,
// one burst and, once, the credit.
func TestBoundWithCredit(t *testing.T) {
	const seconds = 20
	all := []Class{ClassExtra, ClassProbe, ClassReport, ClassRumor, ClassGossip, ClassLiveness, ClassLeave}
	for _, size := range []int{20, 200, 2000} {
		virtualtime.Test(t, func(t *testing.T) {
			l := NewWithCredit(testLimits, testCredit)
			// sent[i] is what was allowed up to the i-th tenth of a second.
			var sent [][2]float64
			for range seconds * 10 {
				messages, bytes := allowedTotals(l)
				sent = append(sent, [2]float64{float64(messages), float64(bytes)})
				offerMessages(l, 100*time.Millisecond, 200, size, all...)
			}
			Convey("In no window is more allowed than the limits, a burst and the credit, nor without the credit once it has expired", t, func() {
				for from := range sent {
					credit := testCredit
					if from >= int(creditPeriod/(100*time.Millisecond)) {
						credit = Credit{}
					}
					for to := from; to < len(sent); to++ {
						window := float64(to-from)/10 + 1
						messages, bytes := sent[to][0]-sent[from][0], sent[to][1]-sent[from][1]
						cpuTime := messages * float64(estimateCPUTime(size))
						if messages > window*testLimits.Messages+credit.Messages+1e-6 || bytes > window*testLimits.Bytes+credit.Bytes+1e-6 ||
							cpuTime > window*float64(testLimits.CPUTime)+float64(credit.CPUTime)+1 {
							t.Fatalf("from %d to %d tenths of a second: %v messages, %v bytes", from, to, messages, bytes)
						}
					}
				}
				So(l.CreditLeft(), ShouldResemble, Credit{})
			})
		})
	}
	virtualtime.Test(t, func(t *testing.T) {
		l := NewWithCredit(testLimits, testCredit)
		time.Sleep(creditPeriod)
		offerMessages(l, time.Second, 1000, 200, ClassGossip, ClassLeave)
		Convey("A credit that wasn't used expires", t, func() {
			messages, bytes := allowedTotals(l)
			So(messages, ShouldBeLessThanOrEqualTo, 2*testLimits.Messages)
			So(bytes, ShouldBeLessThanOrEqualTo, 2*testLimits.Bytes)
		})
	})
	virtualtime.Test(t, func(t *testing.T) {
		l := NewWithCredit(testLimits, testCredit)
		offerMessages(l, time.Second, 1000, 200, ClassProbe, ClassReport, ClassRumor)
		Convey("Classes below gossip don't use the credit", t, func() {
			So(l.CreditLeft(), ShouldResemble, testCredit)
		})
	})
}

package retry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/standin/virtualtime"
)

// TestWindowUnderSheddingServers simulates a service whose servers refuse most
// requests for longer than two spans. Without a limit by span, the floors and saved
// tokens of all entries add up over the fleet.
func TestWindowUnderSheddingServers(t *testing.T) {
	const (
		entries = 24
		span    = 10 * time.Second
		percent = 20
		slack   = 56.0
		perStep = 10 // requests an entry sends in a step
		step    = time.Second
	)
	maxShareUsed, total := 0.0, 0
	virtualtime.Test(t, func(*testing.T) {
		budgets := make([]*Budget, entries)
		for i := range budgets {
			budgets[i] = NewBudget(percent)
			budgets[i].SetWindow(span, slack/entries)
		}
		var retries []int
		for range 40 {
			inStep := 0
			for _, b := range budgets {
				for range perStep {
					b.RecordRequest()
					if b.Take() {
						inStep++
					}
				}
			}
			retries = append(retries, inStep)
			inSpan := 0
			for _, n := range retries[max(0, len(retries)-int(span/step)):] {
				inSpan += n
			}
			requests := float64(entries * perStep * min(len(retries), int(span/step)))
			maxShareUsed = max(maxShareUsed, float64(inSpan)/(requests*percent/100+slack))
			total += inStep
			time.Sleep(step)
		}
	})
	Convey("No span contains more retries than the fleet is allowed", t, func() { So(maxShareUsed, ShouldBeLessThanOrEqualTo, 1) })
	Convey("Most of the allowed retries are still made", t, func() {
		So(float64(total), ShouldBeGreaterThan, 0.5*40*entries*perStep*percent/100)
	})
}

func TestWindowDropsOldBuckets(t *testing.T) {
	allowedLater := 0
	virtualtime.Test(t, func(*testing.T) {
		b := NewBudget(20)
		b.SetWindow(10*time.Second, 0)
		for range 100 {
			b.RecordRequest()
		}
		takeAll(b)
		time.Sleep(25 * time.Second)
		for range 100 {
			b.RecordRequest()
		}
		allowedLater = takeAll(b)
	})
	Convey("Requests and retries older than the span don't count", t, func() { So(allowedLater, ShouldEqual, 12) })
}

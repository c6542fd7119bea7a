package retry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/standin/virtualtime"
)

func takeAll(b *Budget) int {
	n := 0
	for b.Take() {
		n++
	}
	return n
}

func TestBudget(t *testing.T) {
	var first, second, floor, saved, share int
	virtualtime.Test(t, func(*testing.T) {
		b := NewBudget(0)
		first = takeAll(b)
		for range 50 {
			b.RecordSuccess()
		}
		second = takeAll(b)
		time.Sleep(2 * time.Second)
		floor = takeAll(b)
		for range 100_000 {
			b.RecordSuccess()
		}
		saved = takeAll(b)
		b.SetPercent(50)
		for range 10 {
			b.RecordSuccess()
		}
		share = takeAll(b)
	})
	Convey("A new budget allows the floor's burst", t, func() { So(first, ShouldEqual, floorBurstRetries) })
	Convey("Successes allow the default share", t, func() { So(second, ShouldEqual, 5) })
	Convey("The floor allows a few retries over time", t, func() { So(floor, ShouldEqual, 2) })
	Convey("The number of saved retries is limited", t, func() { So(saved, ShouldEqual, maxTokens/tokensPerRetry) })
	Convey("The share can be changed", t, func() { So(share, ShouldEqual, 5) })
}

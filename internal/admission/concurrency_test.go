package admission

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestConcurrencyUnderSaturation replays a server under more load than it can
// take, whose requests take 1.7 times as long once eight tenths of its slots are
// busy.
func TestConcurrencyUnderSaturation(t *testing.T) {
	const usual = 100 * time.Millisecond
	throughput := func(running, slots int) float64 {
		held := usual
		if float64(running) > 0.8*float64(slots) {
			held = usual * 17 / 10
		}
		return float64(running) / held.Seconds()
	}
	Convey("More requests get through than with every slot in use", t, func() {
		for _, slots := range []int{9, 10, 12, 16, 32} {
			So(throughput(Concurrency(slots), slots), ShouldBeGreaterThan, 1.2*throughput(slots, slots))
		}
	})
	Convey("A server with very few slots uses them all", t, func() {
		So(Concurrency(0), ShouldEqual, 0)
		So(Concurrency(1), ShouldEqual, 1)
		So(Concurrency(2), ShouldEqual, 2)
	})
}

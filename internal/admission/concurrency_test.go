package admission

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestConcurrencyUnderSaturation models a server under more load than it can take,
// whose requests take 1.7 times as long once more than eight tenths of its slots
// are busy.
func TestConcurrencyUnderSaturation(t *testing.T) {
	const unloaded = 100 * time.Millisecond
	throughput := func(running, slots int) float64 {
		serviceTime := unloaded
		if float64(running) > 0.8*float64(slots) {
			serviceTime = unloaded * 17 / 10
		}
		return float64(running) / serviceTime.Seconds()
	}
	Convey("Throughput is higher than with every slot in use", t, func() {
		for _, slots := range []int{9, 10, 12, 16, 32} {
			So(throughput(ConcurrencyLimit(slots), slots), ShouldBeGreaterThan, 1.2*throughput(slots, slots))
		}
	})
	Convey("A server with very few slots uses them all", t, func() {
		So(ConcurrencyLimit(0), ShouldEqual, 0)
		So(ConcurrencyLimit(1), ShouldEqual, 1)
		So(ConcurrencyLimit(2), ShouldEqual, 2)
	})
}

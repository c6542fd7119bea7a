package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestStopTimes(t *testing.T) {
	const serverRoundTrips = 100 * time.Millisecond // two round trips between regions
	Convey("Requests are cut off only in the last sixth of the stop timeout, and before the time reserved at its end", t, func() {
		for _, timeout := range []time.Duration{6 * time.Second, 60 * time.Second} {
			So(inFlightTimeout(timeout)-serverRoundTrips, ShouldBeGreaterThan, timeout*5/6)
			So(inFlightTimeout(timeout), ShouldBeLessThan, timeout-timeout/stopReserveDivisor)
		}
	})
}

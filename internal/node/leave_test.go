package node

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestStopTimes(t *testing.T) {
	const wayToServer = 100 * time.Millisecond // there and back between regions, twice over
	Convey("Requests are broken off in the last sixth of a stop only, and before its end", t, func() {
		for _, timeout := range []time.Duration{6 * time.Second, 60 * time.Second} {
			So(requestTime(timeout)-wayToServer, ShouldBeGreaterThan, timeout*5/6)
			So(requestTime(timeout), ShouldBeLessThan, timeout-timeout/stopReserve)
		}
	})
}

package delay

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/standin/virtualtime"
)

func TestSleep(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		Convey("Sleep ends after its duration or when the context is done", t, func() {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			begun := time.Now()
			So(Sleep(ctx, 2*time.Second), ShouldBeTrue)
			So(time.Since(begun), ShouldEqual, 2*time.Second)
			So(Sleep(ctx, 2*time.Second), ShouldBeFalse)
			So(time.Since(begun), ShouldEqual, 3*time.Second)
		})
	})
}

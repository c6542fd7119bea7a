package quota

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
)

// TestPeek guards against a look at a cap that takes tokens, sends messages, or tells
// another outcome than a request gets.
func TestPeek(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		Convey("Given a fleet of two nodes and an organisation with a cap of 2 a second", t, func() {
			f := newTestFleet(2, 1, &pb.Organisation{Name: "acme", RatePerS: 2, Burst: 2})
			defer f.stop()
			time.Sleep(20 * time.Second)
			_, capped := f.managers[0].Peek("other")
			So(capped, ShouldBeFalse)
			messages, owners := f.messages.Load(), 0
			for _, m := range f.managers {
				for range 100 {
					status, _ := m.Peek("acme")
					So(status.Refused, ShouldBeFalse)
					So(status.Cap, ShouldResemble, Cap{RatePerS: 2, Burst: 2})
				}
				if status, _ := m.Peek("acme"); status.OwnsPart {
					owners++
					So(status.PartTokens, ShouldBeGreaterThanOrEqualTo, 1)
				}
			}
			So(owners, ShouldEqual, 1)
			So(f.messages.Load(), ShouldEqual, messages)
			refused := false
			for i := range 100 {
				claim := f.managers[i%2].Begin("acme")
				if _, ok := claim.Wait(context.Background(), time.Now().Add(time.Second)); !ok {
					refused = true
					break
				}
			}
			So(refused, ShouldBeTrue)
			status, _ := f.managers[1].Peek("acme")
			again, _ := f.managers[1].Peek("acme")
			So(again, ShouldResemble, status)
			retryAfter, refused := f.managers[1].Begin("acme").Refused()
			So(status.Refused, ShouldEqual, refused)
			So(status.RetryAfter, ShouldEqual, retryAfter)
			time.Sleep(5 * time.Second)
			for _, m := range f.managers {
				_, _ = m.Peek("acme")
				_, ok := m.Begin("acme").Wait(context.Background(), time.Now().Add(time.Second))
				So(ok, ShouldBeTrue)
			}
		})
	})
}

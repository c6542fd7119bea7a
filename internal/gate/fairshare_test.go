package gate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
	"github.com/egretfield/egretfield/internal/wire"
)

// Guards against a gate that doesn't tell the organisations of requests and offers apart.
func TestOrganisationsShareSlots(t *testing.T) {
	Convey("An organisation that fills slots and queue gives a place to another, which starts first", t, func() {
		var refused, started errkind.Kind
		var offeredToLarge, offeredToSmall *pb.Offer
		virtualtime.Test(t, func(*testing.T) {
			g := New(Options{Instance: "i", Incarnation: 1})
			g.SetServer(&Server{Service: "s", Address: "127.0.0.1:1", Slots: 2, Connections: 3})
			acquire := func(organisation string) chan errkind.Kind {
				result := make(chan errkind.Kind, 1)
				call := &wire.Call{Meta: wire.Meta{Class: normal, Organisation: organisation, Deadline: time.Now().Add(time.Second)}}
				go func() {
					_, kind := g.limiter.acquire(context.Background(), slotRequestOf(call))
					result <- kind
				}()
				synctest.Wait()
				return result
			}
			for range 3 {
				acquire("large")
			}
			last := acquire("large")
			question := &pb.OfferQuestion{Service: "s", Class: normal, TargetUs: 1_000_000, DeadlineUs: 1_000_000, Organisation: "large"}
			offeredToLarge = g.Offer(context.Background(), question)
			question.Organisation = "small"
			offeredToSmall = g.Offer(context.Background(), question)
			small := acquire("small")
			refused = <-last
			g.limiter.release(runResult{class: normal, organisation: "large"})
			started = <-small
			time.Sleep(2 * time.Second) // the requests that still wait give up
		})
		So(offeredToLarge.GetRefused(), ShouldBeTrue)
		So(offeredToSmall.GetRefused(), ShouldBeFalse)
		So(refused, ShouldEqual, overloaded)
		So(started, ShouldEqual, errkind.Kind(0))
	})
}

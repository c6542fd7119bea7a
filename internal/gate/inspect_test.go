package gate

import (
	"context"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
)

// TestInspectedOffer guards against an operator's question that is answered without the
// reason of a refusal, and against ordinary offers that carry it.
func TestInspectedOffer(t *testing.T) {
	Convey("Given the gate of a cold server", t, func() {
		g, server, _ := newColdGate(func(http.ResponseWriter, *http.Request) {})
		defer server.Close()
		ask := func(inspect bool) *pb.Offer {
			return g.Offer(context.Background(), &pb.OfferQuestion{Service: "s", TargetUs: 5e6, DeadlineUs: 5e6, Inspect: inspect})
		}
		So(ask(true), ShouldNotBeNil)
		So(ask(true).GetCold(), ShouldBeTrue)
		So(ask(true).GetRefused(), ShouldBeFalse)
		So(ask(false).GetCold(), ShouldBeFalse)
		g.SetEvacuated(true)
		So(ask(true).GetKind(), ShouldEqual, pb.ErrorKind_ERROR_KIND_DRAINING)
		So(ask(true).GetMessage(), ShouldEqual, evacuatedMessage)
		So(ask(false).GetKind(), ShouldEqual, pb.ErrorKind_ERROR_KIND_UNSPECIFIED)
		g.SetEvacuated(false)
		g.SetQueuePercent(1)
		offer := &pb.Offer{}
		for range 1000 {
			if offer = ask(true); offer.GetRefused() {
				break
			}
			g.Do(context.Background(), newTestCall("/"))
		}
		So(offer.GetRefused(), ShouldBeTrue)
		So(offer.GetKind(), ShouldEqual, pb.ErrorKind_ERROR_KIND_OVERLOADED)
	})
}

package balance

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
)

// TestInspect guards against an inspection that changes what later requests get, or that
// ignores the state of the balancer.
func TestInspect(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		all := append(makeEndpoints("r", 2), makeEndpoints("far", 2)...)
		elsewhere := PickInfo{Tried: []string{"r0", "r1"}}
		for _, policy := range Names() {
			Convey(policy+": an inspection chooses without recording", t, func() {
				b := mustNew(policy).(*pool)
				b.Update(all, &pb.Policy{CrossRegionBytesPerS: assumedRequestBytes})
				before := b.Facts()
				inspection := b.Inspect()
				for range 100 {
					e, err := inspection.Pick(PickInfo{})
					So(err, ShouldBeNil)
					So(e.Region, ShouldEqual, "r")
					inspection.Done(Result{Endpoint: e, Outcome: OutcomeFailure})
					_, err = inspection.Pick(elsewhere)
					So(err, ShouldBeNil)
				}
				So(b.Facts(), ShouldResemble, before)
				_, err := b.Pick(elsewhere) // the byte budget is untouched
				So(err, ShouldBeNil)
				_, err = b.Inspect().Pick(elsewhere)
				So(errkind.KindOf(err), ShouldEqual, pb.ErrorKind_ERROR_KIND_REGION_BUDGET)
			})
		}
	})
}

// TestReason guards against reasons that don't agree with the choice among offers.
func TestReason(t *testing.T) {
	Convey("Given three endpoints, one in the own data centre", t, func() {
		b, err := New(EarliestFinish, Options{Region: "r", DataCentre: "a"})
		So(err, ShouldBeNil)
		near, other, third := &Endpoint{Instance: "n", Region: "r", DataCentre: "a"}, &Endpoint{Instance: "o", Region: "r", DataCentre: "b"}, &Endpoint{Instance: "t", Region: "r", DataCentre: "b"}
		b.Update([]*Endpoint{near, other, third}, &pb.Policy{})
		ms := time.Millisecond
		for _, c := range []struct {
			best, other EndpointOffer
			want        string
		}{
			{EndpointOffer{Endpoint: near}, EndpointOffer{Endpoint: other, Refused: true}, ReasonRefuses},
			{EndpointOffer{Endpoint: near, Wait: ms, Promised: true}, EndpointOffer{Endpoint: other}, ReasonPromised},
			{EndpointOffer{Endpoint: near, ServiceTime: 9 * ms, AtOnce: true}, EndpointOffer{Endpoint: other, ServiceTime: ms, AtOnce: true}, ReasonNearIsEarly},
			{EndpointOffer{Endpoint: third, ServiceTime: 9 * ms}, EndpointOffer{Endpoint: other, Wait: 20 * ms, ServiceTime: ms}, ReasonStartsLater},
			{EndpointOffer{Endpoint: third, ServiceTime: ms}, EndpointOffer{Endpoint: other, ServiceTime: 2 * ms}, ReasonAnswersLater},
			{EndpointOffer{Endpoint: third, ServiceTime: ms}, EndpointOffer{Endpoint: other, ServiceTime: ms, ErrorRate: 0.5}, ReasonFailsMore},
		} {
			offers := []EndpointOffer{c.other, c.best}
			inspection := b.(Inspector).Inspect()
			So(inspection.Placer().Best(offers, time.Second).Endpoint, ShouldEqual, c.best.Endpoint)
			So(inspection.Reason(offers, c.other.Endpoint, c.best.Endpoint, time.Second), ShouldEqual, c.want)
		}
	})
}

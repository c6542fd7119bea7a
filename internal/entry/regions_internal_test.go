package entry

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

// TestRegionsOfRouteAndOrganisation guards against a filter that leaves out the list of the
// organisation, and against a request in no region that is sent or refused late.
func TestRegionsOfRouteAndOrganisation(t *testing.T) {
	Convey("Given a route and an organisation with allowed regions", t, func() {
		h := New(Options{Region: "north"})
		defer h.Close()
		routes := NewRoutes(&pb.Config{
			RequestRoutes: []*pb.RequestRoute{{Name: "r", AllowedRegions: []string{"north", "south"}}},
			Organisations: []*pb.Organisation{
				{Name: "o", AllowedRegions: []string{"south", "west"}},
				{Name: "elsewhere", AllowedRegions: []string{"west"}},
				{Name: "anywhere"},
			},
		}, "").AtVersion(7)
		h.SetRoutes(routes)
		x := &exchange{handler: h, regionsAtArrival: routes.regions}
		x.call.Route = "r"
		allowed := func(organisation string) (list []string) {
			x.call.Organisation = organisation
			for _, region := range []string{"north", "south", "west"} {
				if x.pickInfo().Regions.Allows(region) {
					list = append(list, region)
				}
			}
			return list
		}

		Convey("both lists apply", func() {
			So(allowed(""), ShouldResemble, []string{"north", "south"})
			So(allowed("anywhere"), ShouldResemble, []string{"north", "south"})
			So(allowed("o"), ShouldResemble, []string{"south"})
			So(x.refuseWithoutRegion(), ShouldBeNil)
		})
		Convey("without a common region the request is refused before anything else", func() {
			So(allowed("elsewhere"), ShouldBeEmpty)
			refusal := x.refuseWithoutRegion()
			So(refusal.Kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_REGION_NOT_ALLOWED)
			So(refusal.RetryAfter, ShouldEqual, emptyRegionsRetryAfter)
			noServer := errkind.New(pb.ErrorKind_ERROR_KIND_NO_SERVER, "none")
			So(errkind.KindOf(x.regionError(noServer)), ShouldEqual, pb.ErrorKind_ERROR_KIND_REGION_NOT_ALLOWED)
			So(x.retryAfter, ShouldEqual, emptyRegionsRetryAfter)
		})
		Convey("an unrestricted request without a server is refused as before", func() {
			x.call.Route = ""
			So(allowed(""), ShouldResemble, []string{"north", "south", "west"})
			noServer := errkind.New(pb.ErrorKind_ERROR_KIND_NO_SERVER, "none")
			So(errkind.KindOf(x.regionError(noServer)), ShouldEqual, pb.ErrorKind_ERROR_KIND_NO_SERVER)
		})
		Convey("the gate learns the version by which the endpoint was allowed", func() {
			x.call.Organisation = "o"
			So(x.confirmRegion(&balance.Endpoint{Region: "north"}), ShouldNotBeNil)
			So(x.confirmRegion(&balance.Endpoint{Region: "south"}), ShouldBeNil)
			So(x.call.ConfigVersion, ShouldEqual, 7)
		})
	})
}

package entry

import (
	"time"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

// emptyRegionsRetryAfter is the wait suggested to a caller whose route and organisation
// have no allowed region in common. Only a new configuration helps, which takes up to
// this time to be in force everywhere.
const emptyRegionsRetryAfter = 8 * time.Second

// regionFilter returns the regions in which the current configuration allows the request.
func (x *exchange) regionFilter() balance.RegionFilter {
	return x.regionFilterOf(x.handler.routes.Load().regions)
}

func (x *exchange) regionFilterOf(rules *balance.RegionRules) balance.RegionFilter {
	filter := rules.Filter(x.call.Route, x.call.Organisation, x.regionsAtArrival)
	filter.Refused = x.refusedRegions
	return filter
}

// pickInfo describes the request to the balancer.
func (x *exchange) pickInfo() balance.PickInfo {
	return balance.PickInfo{Class: x.call.Class, Tried: x.tried, BodyBytes: x.call.BodyBytes, Regions: x.regionFilter()}
}

// refuseWithoutRegion returns the refusal of a request that is allowed in no region, or
// nil. Route and organisation must be known.
func (x *exchange) refuseWithoutRegion() *wire.Answer {
	if !x.regionFilter().IsEmpty() {
		return nil
	}
	refusal := wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_REGION_NOT_ALLOWED, "the route and the organisation have no allowed region in common")
	refusal.RetryAfter = emptyRegionsRetryAfter
	return refusal
}

// regionError returns the error for a failed selection of an endpoint: one of kind
// REGION_NOT_ALLOWED if the allowed regions have no backend server.
func (x *exchange) regionError(err error) error {
	filter := x.regionFilter()
	if errkind.KindOf(err) != pb.ErrorKind_ERROR_KIND_NO_SERVER || !filter.IsRestricted() {
		return err
	}
	if filter.IsEmpty() {
		x.retryAfter = emptyRegionsRetryAfter
	}
	return errkind.Wrap(pb.ErrorKind_ERROR_KIND_REGION_NOT_ALLOWED, err, "the allowed regions have no backend server")
}

// confirmRegion checks a selected endpoint against the current configuration, which may
// have changed since the selection began: gates were asked for offers meanwhile. The gate
// learns by which version the endpoint was allowed.
func (x *exchange) confirmRegion(endpoint *balance.Endpoint) error {
	rules := x.handler.routes.Load().regions
	if !x.regionFilterOf(rules).Allows(endpoint.Region) {
		return errkind.New(pb.ErrorKind_ERROR_KIND_REGION_NOT_ALLOWED, "a new configuration no longer allows region %q", endpoint.Region)
	}
	x.call.ConfigVersion = rules.Version()
	return nil
}

// excludeRegion keeps later attempts out of the region of the last attempt, whose gate
// refused the request by a newer configuration.
func (x *exchange) excludeRegion() {
	x.refusedRegions = append(x.refusedRegions, x.pending.Endpoint.Region)
}

package config

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
)

// Fit returns a configuration in which every limit that exceeds a bound of this build has
// the value of the bound, and one problem for each of them. It returns config itself if
// there is none. Fit is for configurations that operators' own systems have accepted
// already: to refuse one would keep all its other changes out of force. Whether the result
// is valid is for Check to tell.
func Fit(config *pb.Config) (*pb.Config, []Problem) {
	f := &fitter{}
	fitted := proto.Clone(config).(*pb.Config)
	for i, service := range fitted.GetServices() {
		path := fmt.Sprintf("services[%d]", i)
		lower(f, path+".cold_ms", &service.ColdMs, maxWarmupMs)
		lower(f, path+".cold_requests_per_s", &service.ColdRequestsPerS, maxColdRequestsPerS)
	}
	for i, route := range fitted.GetRequestRoutes() {
		path := fmt.Sprintf("request_routes[%d]", i)
		f.scaleWeights(path, route.GetServices())
		lower(f, path+".timeout_ms", &route.TimeoutMs, maxRequestTimeMs)
		lower(f, path+".target_latency_ms", &route.TargetLatencyMs, maxRequestTimeMs)
		lower(f, path+".max_attempts", &route.MaxAttempts, maxAttempts)
	}
	if limits := fitted.GetCallerLimits(); limits != nil {
		lower(f, "caller_limits.max_header_bytes", &limits.MaxHeaderBytes, maxCallerHeaderBytes)
		lower(f, "caller_limits.max_body_bytes", &limits.MaxBodyBytes, maxBodyBytes)
		lower(f, "caller_limits.header_timeout_ms", &limits.HeaderTimeoutMs, maxRequestTimeMs)
		lower(f, "caller_limits.idle_timeout_ms", &limits.IdleTimeoutMs, maxRequestTimeMs)
	}
	lower(f, "max_call_depth", &fitted.MaxCallDepth, maxCallDepth)
	if len(f.adjusted) == 0 {
		return config, nil
	}
	return fitted, f.adjusted
}

// fitter collects the values that were brought down to a bound.
type fitter struct {
	adjusted []Problem
}

// lower brings a value down to its bound.
func lower[N uint32 | uint64 | float64](f *fitter, path string, value *N, bound N) {
	if *value <= bound || *value != *value { // Check refuses what isn't a number
		return
	}
	f.adjusted = append(f.adjusted, Problem{Path: path, Message: fmt.Sprintf("%v is above the bound, %v applies", *value, bound)})
	*value = bound
}

// scaleWeights divides the weights of a route by the same number if one of them exceeds
// the bound, so that the shares stay.
func (f *fitter) scaleWeights(path string, services []*pb.WeightedService) {
	var largest uint32
	for _, service := range services {
		largest = max(largest, service.GetWeight())
	}
	if largest <= maxWeight {
		return
	}
	f.adjusted = append(f.adjusted, Problem{
		Path: path + ".services", Message: fmt.Sprintf("a weight of %d is above the bound, the weights are scaled down to %d", largest, maxWeight),
	})
	for _, service := range services {
		scaled := uint64(service.GetWeight()) * maxWeight / uint64(largest)
		service.Weight = uint32(max(scaled, 1))
	}
}

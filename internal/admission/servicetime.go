package admission

import "time"

const (
	// sampleWeight is the weight of the latest sample in a moving average: about
	// the last ten requests count.
	sampleWeight = 0.1
	// maxRoutes bounds the number of routes with an estimate of their own.
	maxRoutes = 1024
	// maxSampleAge is the age of the latest sample of a route above which requests aren't
	// given up because of its estimate. If none of them started, an estimate that is too
	// long would never be corrected.
	maxSampleAge = 5 * time.Second
)

// ServiceTimes estimates by route how long requests hold a slot at the server's
// normal speed: it divides each sample by the slowdown factor at the request's
// start. It isn't safe for concurrent use.
type ServiceTimes struct {
	byRoute     map[string]routeTime // at normal speed
	serviceTime float64              // moving average in nanoseconds over all routes, at normal speed
	holdTime    float64              // moving average in nanoseconds over all routes, as measured
}

// routeTime is the estimate of a route.
type routeTime struct {
	mean      float64 // moving average in nanoseconds
	sampledAt time.Time
}

// Add records the time for which a request of the route held a slot, and the
// slowdown factor of the server when the request started.
func (s *ServiceTimes) Add(now time.Time, route string, holdTime time.Duration, slowdownFactor float64) {
	serviceTime := float64(holdTime) / max(slowdownFactor, 1)
	s.serviceTime = movingAverage(s.serviceTime, serviceTime)
	s.holdTime = movingAverage(s.holdTime, float64(holdTime))
	if s.byRoute == nil {
		s.byRoute = make(map[string]routeTime)
	}
	estimate, known := s.byRoute[route]
	if !known && len(s.byRoute) >= maxRoutes {
		return
	}
	s.byRoute[route] = routeTime{mean: movingAverage(estimate.mean, serviceTime), sampledAt: now}
}

func movingAverage(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + sampleWeight*(sample-mean)
}

// IsMeasured reports whether a request of the route has ended.
func (s *ServiceTimes) IsMeasured(route string) bool {
	_, known := s.byRoute[route]
	return known
}

// IsMeasuredRecently reports whether a request of the route has ended within maxSampleAge.
func (s *ServiceTimes) IsMeasuredRecently(now time.Time, route string) bool {
	estimate, known := s.byRoute[route]
	return known && now.Sub(estimate.sampledAt) <= maxSampleAge
}

// Estimate returns the time that a request of the route takes at normal speed; the
// mean over all routes for an unknown route, and zero while nothing is known.
func (s *ServiceTimes) Estimate(route string) time.Duration {
	if estimate, known := s.byRoute[route]; known {
		return time.Duration(estimate.mean)
	}
	return s.Mean()
}

// MeanHoldTime returns the mean time over all routes for which requests held a
// slot.
func (s *ServiceTimes) MeanHoldTime() time.Duration { return time.Duration(s.holdTime) }

// Mean returns the mean service time over all routes at normal speed.
func (s *ServiceTimes) Mean() time.Duration { return time.Duration(s.serviceTime) }

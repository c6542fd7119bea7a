package admission

import "time"

const (
	// workWeight is the weight of the newest sample in an estimate of work: about
	// the last ten requests count.
	workWeight = 0.1
	// maxRoutes bounds the routes whose work is remembered.
	maxRoutes = 1024
	// usualSlowness is the slowness of a server that works as usual, percent.
	usualSlowness = 100
	// lastingShare of a server's slowness of the moment is expected to last while
	// a request runs, percent: such moments are about as long as a request.
	lastingShare = 60
)

// Work estimates how long requests hold a slot, by route, cleared of how slow the
// server's machine was at the time. It isn't safe for concurrent use.
type Work struct {
	byRoute map[string]float64 // nanoseconds at usual speed
	all     float64
}

// Add records that a request of the route held a slot for a time at that slowness,
// percent; zero: unknown.
func (w *Work) Add(route string, held time.Duration, slowness uint32) {
	usual := float64(held) * usualSlowness / stretch(slowness)
	w.all = blend(w.all, usual)
	if w.byRoute == nil {
		w.byRoute = make(map[string]float64)
	}
	if _, known := w.byRoute[route]; !known && len(w.byRoute) >= maxRoutes {
		return
	}
	w.byRoute[route] = blend(w.byRoute[route], usual)
}

func blend(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + workWeight*(sample-mean)
}

// Expect returns the time that a request of the route is expected to take now;
// zero: nothing is known yet.
func (w *Work) Expect(route string, slowness uint32) time.Duration {
	usual, known := w.byRoute[route]
	if !known {
		usual = w.all
	}
	return time.Duration(usual * stretch(slowness) / usualSlowness)
}

// Mean returns the mean time over all routes now.
func (w *Work) Mean(slowness uint32) time.Duration {
	return time.Duration(w.all * stretch(slowness) / usualSlowness)
}

// Usual returns the mean time over all routes at usual speed.
func (w *Work) Usual() time.Duration { return time.Duration(w.all) }

// stretch is the slowness expected over a request, percent.
func stretch(slowness uint32) float64 {
	if slowness == 0 {
		return usualSlowness
	}
	return usualSlowness + (float64(slowness)-usualSlowness)*lastingShare/100
}

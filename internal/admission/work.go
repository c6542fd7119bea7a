package admission

import "time"

const (
	// workWeight is the weight of the newest sample in an estimate of work: about
	// the last ten requests count.
	workWeight = 0.1
	// maxRoutes bounds the routes whose work is remembered.
	maxRoutes = 1024
)

// Work estimates how long requests hold a slot, by route, cleared of how slow the
// server's machine was when they began. It isn't safe for concurrent use.
type Work struct {
	byRoute map[string]float64 // nanoseconds at usual speed
	usual   float64            // nanoseconds at usual speed, over all routes
	held    float64            // nanoseconds as they were, over all routes
}

// Add records that a request of the route, begun at a time of that stretch, held a
// slot for a time.
func (w *Work) Add(route string, held time.Duration, stretch float64) {
	usual := float64(held) / max(stretch, 1)
	w.usual = blend(w.usual, usual)
	w.held = blend(w.held, float64(held))
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

// Expect returns the time that a request of the route takes at usual speed; zero:
// nothing is known yet.
func (w *Work) Expect(route string) time.Duration {
	if usual, known := w.byRoute[route]; known {
		return time.Duration(usual)
	}
	return w.Usual()
}

// Held returns the mean time over all routes for which requests held a slot.
func (w *Work) Held() time.Duration { return time.Duration(w.held) }

// Usual returns the mean time over all routes at usual speed.
func (w *Work) Usual() time.Duration { return time.Duration(w.usual) }

package hedge

import (
	"sync"
	"time"
)

const (
	// maxPrice and minPrice bound the price. Hedged attempts of which fewer than one in
	// twelve helps a late response aren't worth the work that they add.
	maxPrice = 1
	minPrice = 0.08
	// priceStep is the rise of the price with each hedged attempt, sent or denied by the limit,
	// and half of that with each one withheld. The price follows a change of the load within some hundred requests.
	priceStep = 0.02
)

// price is the least gain for which a hedged attempt is sent. It rises with each one and
// falls with each request, so that about as many are sent as the limit allows, for the
// requests that gain most.
type price struct {
	mu    sync.Mutex
	value float64
}

func (p *price) current() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.value, minPrice)
}

func (p *price) add(change float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.value = min(max(p.value+change, minPrice), maxPrice)
}

// Request describes a request whose first attempt is about to be sent.
type Request struct {
	// Expected is the latency that is expected by the offer; zero if unknown.
	Expected time.Duration
	// UntilTarget is the time left until the target, UntilDeadline until the deadline.
	UntilTarget, UntilDeadline time.Duration
}

// Plan tells when a hedged attempt of a request is sent.
type Plan struct {
	// Delay is the time from sending the first attempt.
	Delay time.Duration
	// Median is the usual latency of the route.
	Median time.Duration
}

// Plan returns when a hedged attempt of the request is sent unless the first attempt was
// answered before. It returns false if none is planned.
func (s *Service) Plan(now time.Time, route *Estimator, r Request) (Plan, bool) {
	d, ok := route.distributions(now)
	if !ok {
		return Plan{}, false
	}
	delay, median := d.delay(s.percent.Load())
	if r.UntilTarget < r.UntilDeadline {
		delay, ok = d.mostGainfulDelay(r, s.price.current())
	}
	return Plan{Delay: delay, Median: median}, ok && delay < r.UntilDeadline
}

// lateness are the multiples of the time until the target past which a response counts as
// late, once for each: the slowest responses count more than those just past the target. A
// request that ends at its deadline counts for all later ones.
var lateness = [...]float64{1, 1.5, 2}

// planSteps is the number of delays until the target that are compared.
const planSteps = 16

// mostGainfulDelay returns the delay at which a hedged attempt has the largest gain less
// its price. The gain is the probability that the first attempt is late and the second
// isn't, summed over lateness; the price is paid if the first one wasn't answered before.
// It returns false if the price exceeds the gain at every delay.
func (d *distributions) mostGainfulDelay(r Request, price float64) (delay time.Duration, ok bool) {
	first, scale := d.ratio, r.Expected
	if first == nil || scale <= 0 {
		first, scale = d.latency, ratioUnit
	}
	var limits [len(lateness)]time.Duration
	var late [len(lateness)]float64
	for i, multiple := range lateness {
		limits[i] = min(time.Duration(multiple*float64(r.UntilTarget)), r.UntilDeadline)
		late[i] = first.after(ratioOf(limits[i], scale))
	}
	most := 0.0
	for at := time.Duration(0); at < limits[len(limits)-1]; at += max(r.UntilTarget/planSteps, 1) {
		gain := -price * first.after(ratioOf(at, scale))
		for i, limit := range limits {
			if at < limit {
				gain += late[i] * (1 - d.latency.after(limit-at))
			}
		}
		if gain > most {
			delay, most = at, gain
		}
	}
	return delay, most > 0
}

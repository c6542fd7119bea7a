package balance

import (
	"math"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// spilloverOnShare is the share of refusals in the own region above which requests
	// go to other regions after one refused or failed attempt.
	spilloverOnShare = 0.05
	// spilloverOffShare is the share below which that ends. The gap between the two is
	// hysteresis.
	spilloverOffShare = 0.01
	// refusalWeight is the weight of the newest attempt in the share of refusals.
	refusalWeight = 0.02
	// attemptsBeforeSpillover is how many attempts of a request must have been refused or
	// have failed before it may go to another region while spillover is off.
	attemptsBeforeSpillover = 2
	// directStep is how much a refusal in the own region adds, while spillover is on, to
	// the share of requests that go to another region at once. directRecoverySteps is
	// the fraction of it that a local attempt without a refusal takes away, so that
	// about 3% of local attempts remain refused.
	directStep          = 0.01
	directRecoverySteps = 0.03
	// directRemoteRefusalSteps is the number of steps that a refusal in another region
	// takes away from that share, because other regions are full as well.
	directRemoteRefusalSteps = 10
	// maxDirectShare limits the share so that the own region is always tried.
	maxDirectShare = 0.9
	// assumedRequestBytes is charged to the budget, on top of a known body length, for
	// a request and its answer before their real size is known.
	assumedRequestBytes = 4 << 10
	// budgetBurstSeconds is the burst of the byte budget, in seconds of its rate.
	budgetBurstSeconds = 1
)

// spillover decides when requests go to other regions and keeps their byte budget.
type spillover struct {
	refusalShare atomic.Uint64 // float64 bits; share of local attempts that were refused
	active       atomic.Bool
	// directShare is the share of requests that go to another region at once, as
	// float64 bits.
	directShare atomic.Uint64
	budget      atomic.Pointer[rate.Limiter]
	bytes       atomic.Int64
}

// newSpillover returns a spillover with an empty budget, so that no request leaves the
// region before setBudget.
func newSpillover() *spillover {
	s := &spillover{}
	s.budget.Store(rate.NewLimiter(0, 0))
	return s
}

// setBudget sets the bytes per second that may be exchanged with other regions.
func (s *spillover) setBudget(bytesPerSecond uint64) {
	burst := int(bytesPerSecond) * budgetBurstSeconds
	if burst == s.budget.Load().Burst() {
		return
	}
	s.budget.Store(rate.NewLimiter(rate.Limit(bytesPerSecond), burst))
}

// observe records an attempt in the own region.
func (s *spillover) observe(refused bool) {
	sample := 0.0
	if refused {
		sample = 1
	}
	old := math.Float64frombits(s.refusalShare.Load())
	share := old + refusalWeight*(sample-old)
	s.refusalShare.Store(math.Float64bits(share))
	if share > spilloverOnShare {
		s.active.Store(true)
	}
	if share < spilloverOffShare {
		s.active.Store(false)
	}
	switch {
	case !refused:
		s.adjustDirectShare(-directStep * directRecoverySteps)
	case s.active.Load():
		s.adjustDirectShare(directStep)
	}
}

// observeRemote records an attempt in another region.
func (s *spillover) observeRemote(refused bool) {
	if refused {
		s.adjustDirectShare(-directStep * directRemoteRefusalSteps)
	}
}

// adjustDirectShare changes directShare. Concurrent changes may be lost.
func (s *spillover) adjustDirectShare(delta float64) {
	old := math.Float64frombits(s.directShare.Load())
	if old == 0 && delta < 0 {
		return
	}
	share := old + delta
	s.directShare.Store(math.Float64bits(min(max(share, 0), maxDirectShare)))
}

// startsRemote reports, at random with a probability of directShare, whether a
// request's first attempt goes to another region.
func (s *spillover) startsRemote(rand func() uint64) bool {
	share := math.Float64frombits(s.directShare.Load())
	return share > 0 && float64(rand()) < share*math.MaxUint64
}

// shouldLeave reports whether a request should go to another region after that many
// attempts.
func (s *spillover) shouldLeave(attempts int) bool {
	if s.active.Load() {
		return attempts >= 1
	}
	return attempts >= attemptsBeforeSpillover
}

// charge takes the expected bytes of a request from the budget. It returns false if
// the budget is exhausted.
func (s *spillover) charge(bodyBytes int64) bool {
	budget := s.budget.Load()
	cost := requestCost(budget, bodyBytes)
	return cost > 0 && budget.AllowN(timeNow(), cost)
}

// requestCost returns the expected bytes of a request, at most the burst of the budget.
func requestCost(budget *rate.Limiter, bodyBytes int64) int {
	return int(min(max(bodyBytes, 0)+assumedRequestBytes, int64(budget.Burst())))
}

// chargeUnconditionally takes the expected bytes of a request from the budget, even if
// that leaves less than nothing. The debt stays below about two bursts, so that other
// requests may leave the region again soon after such requests have ended.
func (s *spillover) chargeUnconditionally(bodyBytes int64) {
	budget, now := s.budget.Load(), timeNow()
	cost := requestCost(budget, bodyBytes)
	if cost > 0 && budget.TokensAt(now) > -float64(budget.Burst()) {
		budget.ReserveN(now, cost)
	}
}

// settle takes the bytes that an attempt used beyond assumedRequestBytes from the
// budget.
func (s *spillover) settle(bytes int64) {
	s.bytes.Add(bytes)
	budget := s.budget.Load()
	for extra := bytes - assumedRequestBytes; extra > 0 && budget.Burst() > 0; {
		n := min(extra, int64(budget.Burst()))
		budget.ReserveN(timeNow(), int(n))
		extra -= n
	}
}

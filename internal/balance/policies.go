package balance

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

// Names of the balancing policies.
const (
	RoundRobin    = "round_robin"
	Random        = "random"
	LeastInFlight = "least_in_flight"
	P2C           = "p2c"
	P2CEWMA       = "p2c_ewma"
	ProbePool     = "probe_pool"
	// EarliestFinish asks gates for offers; without any offer it works like P2CEWMA.
	EarliestFinish = "earliest_finish"
	// Default is the balancing policy used when the configuration names none.
	Default = P2CEWMA
)

const (
	// errorPenalty raises the score of an endpoint with its error rate, by a factor of
	// 1 + errorPenalty at an error rate of 1, so that fast failures don't look like
	// idle capacity.
	errorPenalty = 10
	// hotQuantile is the position between the lowest and the highest load in the pool
	// above which an endpoint is hot.
	hotQuantile = 0.8
	// maxReportUses is the number of picks that may rely on one load report.
	maxReportUses = 3
)

// Names returns the names of all balancing policies, sorted.
func Names() []string {
	names := []string{RoundRobin, Random, LeastInFlight, P2C, P2CEWMA, ProbePool, EarliestFinish}
	slices.Sort(names)
	return names
}

// New returns a balancer with the named balancing policy; an empty name means Default. For an
// unknown name it returns an error of kind INVALID_CONFIG.
func New(name string, options Options) (Balancer, error) {
	p := newPool(options, nil)
	switch name {
	case RoundRobin:
		p.chooser = &roundRobin{}
	case Random:
		p.chooser = &random{rand: p.options.Rand}
	case LeastInFlight:
		p.chooser = leastInFlight{rand: p.options.Rand}
	case P2C:
		p.chooser = newTwoChoices(p.options.Rand, isLessLoaded)
	case P2CEWMA, "":
		p.chooser = newTwoChoices(p.options.Rand, isFaster)
	case EarliestFinish:
		p.chooser = newTwoChoices(p.options.Rand, isFaster)
		p.usesOffers = true
	case ProbePool:
		p.chooser = &probePool{rand: p.options.Rand}
	default:
		return nil, errkind.New(pb.ErrorKind_ERROR_KIND_INVALID_CONFIG, "unknown balancer %q, expected one of %v", name, Names())
	}
	return p, nil
}

// roundRobin selects the endpoints in rotation.
type roundRobin struct {
	next atomic.Uint64
}

func (r *roundRobin) choose(_ time.Time, _ *snapshot, from *candidates) *endpointState {
	return from.nth(r.next.Add(1))
}

// random selects a random endpoint.
type random struct {
	rand func() uint64
}

func (r *random) choose(_ time.Time, _ *snapshot, from *candidates) *endpointState {
	return from.nth(r.rand())
}

// leastInFlight selects the endpoint with the fewest attempts of this entry in flight,
// and a random one of them on a tie.
type leastInFlight struct {
	rand func() uint64
}

func (l leastInFlight) choose(_ time.Time, _ *snapshot, from *candidates) *endpointState {
	var best *endpointState
	ties := uint64(0)
	for _, s := range from.endpoints {
		if !from.eligible(s) {
			continue
		}
		switch {
		case best == nil || s.inFlight.Load() < best.inFlight.Load():
			best, ties = s, 1
		case s.inFlight.Load() == best.inFlight.Load():
			ties++
			if l.rand()%ties == 0 {
				best = s
			}
		}
	}
	if best == nil {
		return from.nth(l.rand())
	}
	return best
}

// loadScore returns the estimated load per unit of capacity, raised by errorPenalty.
func loadScore(now time.Time, snap *snapshot, s *endpointState) float64 {
	load := (s.load(now) + 1) / s.capacity(now, snap.warmup)
	return load * (1 + errorPenalty*s.errorRate.get())
}

// lessFunc reports whether a is a better choice than b.
type lessFunc func(now time.Time, snap *snapshot, a, b *endpointState) bool

// isLessLoaded compares the load scores only.
func isLessLoaded(now time.Time, snap *snapshot, a, b *endpointState) bool {
	return loadScore(now, snap, a) < loadScore(now, snap, b)
}

// isFaster compares the products of load score and mean latency. If one of the
// endpoints has only failed, it compares the load scores only. An endpoint that hasn't
// been tried yet is preferred.
func isFaster(now time.Time, snap *snapshot, a, b *endpointState) bool {
	if a.hasOnlyFailed() || b.hasOnlyFailed() {
		return isLessLoaded(now, snap, a, b)
	}
	return latencyScore(now, snap, a) < latencyScore(now, snap, b)
}

// latencyScore returns the load score times the mean latency measured by this entry.
func latencyScore(now time.Time, snap *snapshot, s *endpointState) float64 {
	latency := max(s.latency.get(now), float64(time.Microsecond))
	return loadScore(now, snap, s) * latency
}

// twoChoices compares the next endpoint in rotation with a random other one and
// selects the better. The rotation spreads requests evenly over equal endpoints.
type twoChoices struct {
	rand func() uint64
	less lessFunc
	next atomic.Uint64
}

// newTwoChoices returns a chooser whose rotation starts at a random position, so that
// entries that start together don't select the same endpoints at the same time.
func newTwoChoices(rand func() uint64, less lessFunc) *twoChoices {
	t := &twoChoices{rand: rand, less: less}
	t.next.Store(rand())
	return t
}

func (t *twoChoices) choose(now time.Time, snap *snapshot, from *candidates) *endpointState {
	first := t.next.Add(1)
	a := from.nth(first)
	if from.count == 1 {
		return a
	}
	// Draw the second one from the others so that the two always differ.
	offset := 1 + t.rand()%uint64(from.count-1)
	b := from.nth(first%uint64(from.count) + offset)
	if t.less(now, snap, b, a) {
		return b
	}
	return a
}

// probePool treats recent load reports as a pool of probes, each of which is used a
// limited number of times. It selects the cold endpoint with the lowest latency or, if
// all are hot, the endpoint with the lowest load.
type probePool struct {
	rand func() uint64
	// inspects is set if choices don't count as uses of load reports.
	inspects bool
}

func (p *probePool) choose(now time.Time, snap *snapshot, from *candidates) *endpointState {
	var cold, hot *endpointState
	coldLatency, hotLoad := math.Inf(1), math.Inf(1)
	threshold := hotThreshold(now, snap, from)
	for _, s := range from.endpoints {
		if !from.eligible(s) || !hasUsableReport(now, s) {
			continue
		}
		load := loadScore(now, snap, s)
		if latency := s.latency.get(now); load <= threshold && latency < coldLatency {
			cold, coldLatency = s, latency
		}
		if load < hotLoad {
			hot, hotLoad = s, load
		}
	}
	chosen := cold
	if chosen == nil {
		chosen = hot
	}
	if chosen == nil {
		return from.nth(p.rand())
	}
	if !p.inspects {
		chosen.loadReport.Load().uses.Add(1)
	}
	return chosen
}

// hasUsableReport reports whether the load report of s is recent and has been used
// fewer than maxReportUses times.
func hasUsableReport(now time.Time, s *endpointState) bool {
	r := s.loadReport.Load()
	return r != nil && now.Sub(r.receivedAt) < maxReportAge && r.uses.Load() < maxReportUses
}

// hotThreshold returns the load above which an endpoint is hot. It lies between the
// lowest and the highest load of the usable reports.
func hotThreshold(now time.Time, snap *snapshot, from *candidates) float64 {
	lowest, highest := math.Inf(1), 0.0
	for _, s := range from.endpoints {
		if !from.eligible(s) || !hasUsableReport(now, s) {
			continue
		}
		load := loadScore(now, snap, s)
		lowest = min(lowest, load)
		highest = max(highest, load)
	}
	if math.IsInf(lowest, 1) {
		return 0
	}
	return lowest + hotQuantile*(highest-lowest)
}

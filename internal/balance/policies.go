package balance

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

// Names of the policies.
const (
	RoundRobin    = "round_robin"
	Random        = "random"
	LeastInFlight = "least_in_flight"
	P2C           = "p2c"
	P2CEWMA       = "p2c_ewma"
	ProbePool     = "probe_pool"
	// EarliestFinish asks gates for offers; without any it chooses as P2CEWMA.
	EarliestFinish = "earliest_finish"
	// Default is the policy of a configuration that names none.
	Default = P2CEWMA
)

const (
	// errorPenalty multiplies the score of an endpoint by 1 + errorPenalty at an
	// error rate of 1, so that fast failures don't look like idle capacity.
	errorPenalty = 10
	// hotQuantile is the share of the pool's loads above which an endpoint is hot.
	hotQuantile = 0.8
	// maxReportUses is how many picks may rely on one report.
	maxReportUses = 3
)

// Names returns the names of all policies, sorted.
func Names() []string {
	names := []string{RoundRobin, Random, LeastInFlight, P2C, P2CEWMA, ProbePool, EarliestFinish}
	slices.Sort(names)
	return names
}

// New returns a balancer of the named policy. An empty name is Default. The
// error is of kind invalid config.
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
		p.places = true
	case ProbePool:
		p.chooser = &probePool{rand: p.options.Rand}
	default:
		return nil, errkind.New(pb.ErrorKind_ERROR_KIND_INVALID_CONFIG, "unknown balancer %q, want one of %v", name, Names())
	}
	return p, nil
}

// roundRobin takes the endpoints in turn.
type roundRobin struct {
	next atomic.Uint64
}

func (r *roundRobin) choose(_ time.Time, _ *snapshot, from *candidates) *slot {
	return from.nth(r.next.Add(1))
}

// random takes any endpoint.
type random struct {
	rand func() uint64
}

func (r *random) choose(_ time.Time, _ *snapshot, from *candidates) *slot {
	return from.nth(r.rand())
}

// leastInFlight takes the endpoint with the fewest own attempts in flight,
// any of them on a tie.
type leastInFlight struct {
	rand func() uint64
}

func (l leastInFlight) choose(_ time.Time, _ *snapshot, from *candidates) *slot {
	var best *slot
	ties := uint64(0)
	for _, s := range from.slots {
		if !from.eligible(s) {
			continue
		}
		switch {
		case best == nil || s.own.Load() < best.own.Load():
			best, ties = s, 1
		case s.own.Load() == best.own.Load():
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

// scoreLoad is the estimated load for each unit of capacity.
func scoreLoad(now time.Time, snap *snapshot, s *slot) float64 {
	load := (s.load(now) + 1) / s.capacity(now, snap.warmup)
	return load * (1 + errorPenalty*s.errors.get())
}

// lessFunc says whether a is a better choice than b.
type lessFunc func(now time.Time, snap *snapshot, a, b *slot) bool

// isLessLoaded compares the loads alone.
func isLessLoaded(now time.Time, snap *snapshot, a, b *slot) bool {
	return scoreLoad(now, snap, a) < scoreLoad(now, snap, b)
}

// isFaster compares load times mean latency. The loads alone decide about an
// endpoint that has only failed; one that wasn't tried yet goes first.
func isFaster(now time.Time, snap *snapshot, a, b *slot) bool {
	if a.hasOnlyFailed() || b.hasOnlyFailed() {
		return isLessLoaded(now, snap, a, b)
	}
	return scoreLatency(now, snap, a) < scoreLatency(now, snap, b)
}

// scoreLatency is the estimated load times the latency seen by this entry.
func scoreLatency(now time.Time, snap *snapshot, s *slot) float64 {
	latency := max(s.latency.get(now), float64(time.Microsecond))
	return scoreLoad(now, snap, s) * latency
}

// twoChoices takes the next endpoint in turn and draws another at random, and
// takes the better one. The turn evens out equal endpoints.
type twoChoices struct {
	rand func() uint64
	less lessFunc
	next atomic.Uint64
}

// newTwoChoices returns a chooser whose turn starts at random, so that entries
// that start together don't move in step.
func newTwoChoices(rand func() uint64, less lessFunc) *twoChoices {
	t := &twoChoices{rand: rand, less: less}
	t.next.Store(rand())
	return t
}

func (t *twoChoices) choose(now time.Time, snap *snapshot, from *candidates) *slot {
	first := t.next.Add(1)
	a := from.nth(first)
	if from.count == 1 {
		return a
	}
	// Draw the second from the others, so that the two always differ.
	offset := 1 + t.rand()%uint64(from.count-1)
	b := from.nth(first%uint64(from.count) + offset)
	if t.less(now, snap, b, a) {
		return b
	}
	return a
}

// probePool treats fresh load reports as a pool of probes, each used a bounded
// number of times. Among cold endpoints it takes the one with the lowest latency;
// when all are hot, the one with the lowest load.
type probePool struct {
	rand func() uint64
}

func (p *probePool) choose(now time.Time, snap *snapshot, from *candidates) *slot {
	var cold, hot *slot
	coldLatency, hotLoad := math.Inf(1), math.Inf(1)
	limit := hotLimit(now, snap, from)
	for _, s := range from.slots {
		if !from.eligible(s) || !usable(now, s) {
			continue
		}
		load := scoreLoad(now, snap, s)
		if latency := s.latency.get(now); load <= limit && latency < coldLatency {
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
	chosen.report.Load().uses.Add(1)
	return chosen
}

// usable says whether the report of s is fresh and not used up.
func usable(now time.Time, s *slot) bool {
	r := s.report.Load()
	return r != nil && now.Sub(r.at) < reportTTL && r.uses.Load() < maxReportUses
}

// hotLimit is the load above which an endpoint is hot, between the lowest and
// the highest load of the usable reports.
func hotLimit(now time.Time, snap *snapshot, from *candidates) float64 {
	lowest, highest := math.Inf(1), 0.0
	for _, s := range from.slots {
		if !from.eligible(s) || !usable(now, s) {
			continue
		}
		load := scoreLoad(now, snap, s)
		lowest = min(lowest, load)
		highest = max(highest, load)
	}
	if math.IsInf(lowest, 1) {
		return 0
	}
	return lowest + hotQuantile*(highest-lowest)
}

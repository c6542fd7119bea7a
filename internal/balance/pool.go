package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

// timeNow is the clock of the package.
var timeNow = time.Now

// Defaults of a policy.
const (
	defaultWarmup            = 5 * time.Second
	defaultMaxEjectedPercent = 34
	defaultCrossRegionBytes  = 1 << 20 // bytes a second
	// coldJoinAge is how long after the balancer's start a new endpoint counts
	// as cold. Those known from the start are taken as warm.
	coldJoinAge = 2 * time.Second
)

// slotKey names an endpoint through updates.
type slotKey struct {
	instance    string
	incarnation uint64
}

// snapshot is an immutable view of the endpoints and the policy.
type snapshot struct {
	all   []*slot
	byKey map[slotKey]*slot
	// local holds the endpoints of the own region, remote the others.
	local             []*slot
	remote            []*slot
	warmup            time.Duration
	maxEjectedPercent int
}

// chooser selects one of the eligible slots; it never gets an empty set.
type chooser interface {
	choose(now time.Time, snap *snapshot, from *candidates) *slot
}

// Options configure a balancer.
type Options struct {
	// Region and DataCentre are those of this entry.
	Region     string
	DataCentre string
	// Rand returns random numbers; nil: math/rand/v2.
	Rand func() uint64
}

// pool is the Balancer that all policies share; they differ in the chooser.
type pool struct {
	options   Options
	chooser   chooser
	started   time.Time
	current   atomic.Pointer[snapshot]
	updates   sync.Mutex
	ejecting  sync.Mutex
	spill     *spill
	ejections atomic.Int64
	// places: requests are placed by the offers of gates.
	places bool
	// farTrip is the mean time of a question to another region, nanoseconds.
	farTrip atomic.Int64
}

// newPool returns a pool without endpoints.
func newPool(options Options, c chooser) *pool {
	if options.Rand == nil {
		options.Rand = rand.Uint64
	}
	p := &pool{options: options, chooser: c, started: timeNow(), spill: newSpill()}
	p.current.Store(&snapshot{})
	return p
}

// Update implements Balancer.
func (p *pool) Update(endpoints []*Endpoint, policy *pb.Policy) {
	p.updates.Lock()
	defer p.updates.Unlock()
	now := timeNow()
	old := p.current.Load()
	next := &snapshot{
		byKey:             make(map[slotKey]*slot, len(endpoints)),
		warmup:            warmupOf(policy),
		maxEjectedPercent: cmp.Or(int(policy.GetMaxEjectedPercent()), defaultMaxEjectedPercent),
	}
	for _, endpoint := range endpoints {
		next.add(p.slotFor(now, old, endpoint))
	}
	p.spill.setBudget(cmp.Or(policy.GetCrossRegionBytesPerS(), defaultCrossRegionBytes))
	p.current.Store(next)
}

// slotFor keeps the state of a known endpoint or starts that of a new one.
func (p *pool) slotFor(now time.Time, old *snapshot, endpoint *Endpoint) *slot {
	fresh := &slot{endpoint: endpoint, remote: endpoint.Region != p.options.Region}
	known, ok := old.byKey[slotKey{endpoint.Instance, endpoint.Incarnation}]
	if ok && *known.endpoint == *endpoint {
		return known
	}
	if now.Sub(p.started) > coldJoinAge {
		fresh.rampStart.Store(now.UnixNano())
	}
	return fresh
}

// add puts a slot into the snapshot.
func (s *snapshot) add(one *slot) {
	s.all = append(s.all, one)
	s.byKey[slotKey{one.endpoint.Instance, one.endpoint.Incarnation}] = one
	if one.remote {
		s.remote = append(s.remote, one)
		return
	}
	s.local = append(s.local, one)
}

// Pick implements Balancer.
func (p *pool) Pick(info PickInfo) (*Endpoint, error) {
	now := timeNow()
	snap := p.current.Load()
	if len(snap.all) == 0 {
		return nil, errkind.New(pb.ErrorKind_ERROR_KIND_NO_SERVER, "no backend server is known")
	}
	local := newCandidates(now, snap.local, info.Tried)
	localTries := len(info.Tried)
	leave := local.count == 0 || (len(snap.remote) > 0 && p.leaves(localTries))
	if leave {
		if chosen, err := p.pickRemote(now, snap, info); err == nil || local.count == 0 {
			return chosen, err
		}
	}
	return p.take(p.chooser.choose(now, snap, &local)), nil
}

// leaves says whether a request refused tries times should leave the region.
func (p *pool) leaves(tries int) bool {
	if tries == 0 {
		return p.spill.leavesAtOnce(p.options.Rand)
	}
	return p.spill.wanted(tries)
}

// pickRemote picks in another region, within the budget of bytes.
func (p *pool) pickRemote(now time.Time, snap *snapshot, info PickInfo) (*Endpoint, error) {
	remote := newCandidates(now, snap.remote, info.Tried)
	if remote.count == 0 {
		return nil, errkind.New(pb.ErrorKind_ERROR_KIND_NO_SERVER, "no backend server is left to try")
	}
	if !p.spill.charge(info.BodyBytes) {
		return nil, errkind.New(pb.ErrorKind_ERROR_KIND_REGION_BUDGET, "the budget of bytes to other regions is spent")
	}
	return p.take(p.chooser.choose(now, snap, &remote)), nil
}

// take counts a pick.
func (p *pool) take(s *slot) *Endpoint {
	s.own.Add(1)
	s.counts.picks.Add(1)
	return s.endpoint
}

// Done implements Balancer.
func (p *pool) Done(result Result) {
	snap := p.current.Load()
	s, ok := snap.byKey[slotKey{result.Endpoint.Instance, result.Endpoint.Incarnation}]
	if !ok {
		return
	}
	now := timeNow()
	s.own.Add(-1)
	s.observe(now, result)
	p.judge(now, snap, s, result.Outcome)
	if s.remote {
		p.spill.settle(result.Bytes)
		p.spill.observeRemote(result.Outcome == OutcomeRefused)
		return
	}
	p.spill.observe(result.Outcome == OutcomeRefused)
}

// Stats are counts of a balancer since its start.
type Stats struct {
	// Ejections of outliers.
	Ejections int64
	// CrossRegionBytes sent to and received from other regions.
	CrossRegionBytes int64
	// Spilling says whether requests leave the region after one refusal.
	Spilling bool
}

// Stats returns the counts.
func (p *pool) Stats() Stats {
	return Stats{
		Ejections:        p.ejections.Load(),
		CrossRegionBytes: p.spill.bytes.Load(),
		Spilling:         p.spill.active.Load(),
	}
}

// candidates are the slots that a request may go to: those not tried, less the
// ejected ones unless nothing else is left.
type candidates struct {
	slots []*slot
	tried []string
	now   time.Time
	// ejectedToo is set when only ejected slots are left.
	ejectedToo bool
	count      int
}

// newCandidates counts the eligible slots without copying them.
func newCandidates(now time.Time, slots []*slot, tried []string) candidates {
	c := candidates{slots: slots, tried: tried, now: now}
	untried := 0
	for _, s := range slots {
		if slices.Contains(tried, s.endpoint.Instance) {
			continue
		}
		untried++
		if !s.outlier.ejected(now) {
			c.count++
		}
	}
	if c.count == 0 {
		c.ejectedToo = true
		c.count = untried
	}
	return c
}

// eligible says whether a slot is among the candidates.
func (c *candidates) eligible(s *slot) bool {
	if slices.Contains(c.tried, s.endpoint.Instance) {
		return false
	}
	return c.ejectedToo || !s.outlier.ejected(c.now)
}

// nth returns the n-th eligible slot, counting from 0 and around.
func (c *candidates) nth(n uint64) *slot {
	skip := int(n % uint64(c.count))
	for _, s := range c.slots {
		if !c.eligible(s) {
			continue
		}
		if skip == 0 {
			return s
		}
		skip--
	}
	// The set shrank while it was read: an ejection or its end. Any untried
	// slot will do.
	for _, s := range c.slots {
		if !slices.Contains(c.tried, s.endpoint.Instance) {
			return s
		}
	}
	return c.slots[0]
}

// warmupOf returns the ramp of a policy.
func warmupOf(policy *pb.Policy) time.Duration {
	if policy.GetWarmupMs() == 0 {
		return defaultWarmup
	}
	return time.Duration(policy.GetWarmupMs()) * time.Millisecond
}

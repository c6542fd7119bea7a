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

// timeNow is the clock that the package uses.
var timeNow = time.Now

// Defaults for values that a policy leaves out.
const (
	defaultWarmup            = 5 * time.Second
	defaultMaxEjectedPercent = 34
	defaultCrossRegionBytes  = 1 << 20 // bytes per second
	// coldJoinAge is the age of the balancer from which a new endpoint is warmed up.
	// Endpoints known from the start are assumed to be warm.
	coldJoinAge = 2 * time.Second
)

// endpointKey identifies an endpoint across updates.
type endpointKey struct {
	instance    string
	incarnation uint64
}

// snapshot is an immutable view of the endpoints and the policy.
type snapshot struct {
	endpoints []*endpointState
	byKey     map[endpointKey]*endpointState
	// local holds the endpoints of the own region, remote those of other regions.
	local             []*endpointState
	remote            []*endpointState
	warmup            time.Duration
	maxEjectedPercent int
	// promises is set if gates promise capacity to the returns of refused requests.
	promises bool
}

// chooser selects one of the eligible endpoints. The set is never empty.
type chooser interface {
	choose(now time.Time, snap *snapshot, from *candidates) *endpointState
}

// Options configure a balancer.
type Options struct {
	// Region and DataCentre are the location of this entry.
	Region     string
	DataCentre string
	// Rand returns random numbers; nil means math/rand/v2.
	Rand func() uint64
}

// pool is the Balancer of all balancing policies, which differ in the chooser.
type pool struct {
	options    Options
	chooser    chooser
	started    time.Time
	current    atomic.Pointer[snapshot]
	updateMu   sync.Mutex
	ejectionMu sync.Mutex
	spillover  *spillover
	ejections  atomic.Int64
	// usesOffers reports whether requests are placed by offers of gates.
	usesOffers bool
	// inspects is set if choices aren't recorded; see Inspect.
	inspects bool
	// remoteRoundTrip is the mean round-trip time of an offer question to another
	// region, in nanoseconds.
	remoteRoundTrip atomic.Int64
}

// newPool returns a pool without endpoints.
func newPool(options Options, c chooser) *pool {
	if options.Rand == nil {
		options.Rand = rand.Uint64
	}
	p := &pool{options: options, chooser: c, started: timeNow(), spillover: newSpillover()}
	p.current.Store(&snapshot{})
	return p
}

// Update implements Balancer.
func (p *pool) Update(endpoints []*Endpoint, policy *pb.Policy) {
	p.updateMu.Lock()
	defer p.updateMu.Unlock()
	now := timeNow()
	old := p.current.Load()
	next := &snapshot{
		byKey:             make(map[endpointKey]*endpointState, len(endpoints)),
		warmup:            warmupFor(policy),
		maxEjectedPercent: cmp.Or(int(policy.GetMaxEjectedPercent()), defaultMaxEjectedPercent),
		promises:          policy.GetPromisedPercent() > 0,
	}
	for _, endpoint := range endpoints {
		next.add(p.stateFor(now, old, endpoint))
	}
	p.spillover.setBudget(cmp.Or(policy.GetCrossRegionBytesPerS(), defaultCrossRegionBytes))
	p.current.Store(next)
}

// stateFor returns the state of a known endpoint, or new state for a new one.
func (p *pool) stateFor(now time.Time, old *snapshot, endpoint *Endpoint) *endpointState {
	state := &endpointState{endpoint: endpoint, remote: endpoint.Region != p.options.Region}
	known, ok := old.byKey[endpointKey{endpoint.Instance, endpoint.Incarnation}]
	if ok && *known.endpoint == *endpoint {
		return known
	}
	if now.Sub(p.started) > coldJoinAge {
		state.warmupStart.Store(now.UnixNano())
	}
	return state
}

// add adds an endpoint to the snapshot.
func (s *snapshot) add(state *endpointState) {
	s.endpoints = append(s.endpoints, state)
	s.byKey[endpointKey{state.endpoint.Instance, state.endpoint.Incarnation}] = state
	if state.remote {
		s.remote = append(s.remote, state)
		return
	}
	s.local = append(s.local, state)
}

// Pick implements Balancer.
func (p *pool) Pick(info PickInfo) (*Endpoint, error) {
	now := timeNow()
	snap := p.current.Load()
	if len(snap.endpoints) == 0 {
		return nil, errkind.New(pb.ErrorKind_ERROR_KIND_NO_SERVER, "no backend server of the service is known")
	}
	local := newCandidates(now, snap.local, info)
	attempts := len(info.Tried)
	leaveRegion := local.count == 0 || (len(snap.remote) > 0 && p.shouldLeaveRegion(attempts))
	if leaveRegion {
		if chosen, err := p.pickRemote(now, snap, info); err == nil || local.count == 0 {
			return chosen, err
		}
	}
	return p.take(p.chooser.choose(now, snap, &local)), nil
}

// shouldLeaveRegion reports whether a request should go to another region after that
// many attempts.
func (p *pool) shouldLeaveRegion(attempts int) bool {
	if attempts == 0 {
		return p.spillover.startsRemote(p.options.Rand)
	}
	return p.spillover.shouldLeave(attempts)
}

// pickRemote picks an endpoint of another region, within the byte budget unless the own
// region isn't allowed.
func (p *pool) pickRemote(now time.Time, snap *snapshot, info PickInfo) (*Endpoint, error) {
	remote := newCandidates(now, snap.remote, info)
	if remote.count == 0 {
		return nil, errkind.New(pb.ErrorKind_ERROR_KIND_NO_SERVER, "no untried backend server is left in the allowed regions")
	}
	if !p.chargeRemote(info) {
		return nil, errkind.New(pb.ErrorKind_ERROR_KIND_REGION_BUDGET, "the byte budget for other regions is exhausted")
	}
	return p.take(p.chooser.choose(now, snap, &remote)), nil
}

// chargeRemote takes the expected bytes of a request to another region from the byte
// budget and reports whether the request may be sent there. A request that isn't allowed
// in the own region is counted but never refused: it can't be placed here.
func (p *pool) chargeRemote(info PickInfo) bool {
	if p.inspects {
		return !info.Regions.Allows(p.options.Region) || p.spillover.canAfford(info.BodyBytes)
	}
	if !info.Regions.Allows(p.options.Region) {
		p.spillover.chargeUnconditionally(info.BodyBytes)
		return true
	}
	return p.spillover.charge(info.BodyBytes)
}

// take records a pick.
func (p *pool) take(s *endpointState) *Endpoint {
	if p.inspects {
		return s.endpoint
	}
	s.inFlight.Add(1)
	s.counts.picks.Add(1)
	return s.endpoint
}

// Done implements Balancer.
func (p *pool) Done(result Result) {
	if p.inspects {
		return
	}
	snap := p.current.Load()
	s, ok := snap.byKey[endpointKey{result.Endpoint.Instance, result.Endpoint.Incarnation}]
	if !ok {
		return
	}
	now := timeNow()
	s.inFlight.Add(-1)
	s.observe(now, result)
	p.updateEjection(now, snap, s, result.Outcome)
	if s.remote {
		p.spillover.settle(result.Bytes)
		p.spillover.observeRemote(result.Outcome == OutcomeRefused)
		return
	}
	p.spillover.observe(result.Outcome == OutcomeRefused)
}

// Stats are the counters of a balancer since its start, and its spillover state.
type Stats struct {
	// Ejections is the number of ejections.
	Ejections int64
	// CrossRegionBytes is the number of bytes sent to and received from other regions.
	CrossRegionBytes int64
	// SpilloverActive reports whether requests go to other regions after one refused
	// or failed attempt.
	SpilloverActive bool
}

// Stats implements Explainer.
func (p *pool) Stats() Stats {
	return Stats{
		Ejections:        p.ejections.Load(),
		CrossRegionBytes: p.spillover.bytes.Load(),
		SpilloverActive:  p.spillover.active.Load(),
	}
}

// candidates are the endpoints that a request may go to: those in allowed regions not
// tried yet, without the ejected ones unless only ejected ones are left.
type candidates struct {
	endpoints []*endpointState
	tried     []string
	regions   RegionFilter
	now       time.Time
	// includeEjected is set if only ejected endpoints are left.
	includeEjected bool
	count          int
}

// newCandidates counts the eligible endpoints without copying them.
func newCandidates(now time.Time, endpoints []*endpointState, info PickInfo) candidates {
	c := candidates{endpoints: endpoints, tried: info.Tried, regions: info.Regions, now: now}
	untried := 0
	for _, s := range endpoints {
		if !c.usable(s) {
			continue
		}
		untried++
		if !s.ejectionState.ejected(now) {
			c.count++
		}
	}
	if c.count == 0 {
		c.includeEjected = true
		c.count = untried
	}
	return c
}

// usable reports whether an endpoint, ejected or not, is in an allowed region and hasn't
// been tried.
func (c *candidates) usable(s *endpointState) bool {
	return !slices.Contains(c.tried, s.endpoint.Instance) && c.regions.Allows(s.endpoint.Region)
}

// eligible reports whether an endpoint is among the candidates.
func (c *candidates) eligible(s *endpointState) bool {
	if !c.usable(s) {
		return false
	}
	return c.includeEjected || !s.ejectionState.ejected(c.now)
}

// nth returns the n-th eligible endpoint, counting from 0 and wrapping around.
func (c *candidates) nth(n uint64) *endpointState {
	skip := int(n % uint64(c.count))
	for _, s := range c.endpoints {
		if !c.eligible(s) {
			continue
		}
		if skip == 0 {
			return s
		}
		skip--
	}
	// The set shrank in the meantime because an ejection began or ended. Return any
	// usable endpoint.
	for _, s := range c.endpoints {
		if c.usable(s) {
			return s
		}
	}
	return c.endpoints[0]
}

// warmupFor returns the warm-up time of a policy.
func warmupFor(policy *pb.Policy) time.Duration {
	if policy.GetWarmupMs() == 0 {
		return defaultWarmup
	}
	return time.Duration(policy.GetWarmupMs()) * time.Millisecond
}

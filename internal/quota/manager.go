package quota

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// shardBits is the number of bits of a request's number that name its shard.
	shardBits  = 5
	shardCount = 1 << shardBits
	// tickInterval is the interval at which the view and the holdings are checked. It
	// is a part of gainDelay.
	tickInterval = 100 * time.Millisecond
	// sweepInterval is the interval at which unused organisations are released and
	// changes of their state are logged.
	sweepInterval = 5 * time.Second
	// idleTime is how long an organisation without requests on this node is kept.
	idleTime = time.Minute
	// maxStartWait is how long a request waits for an owner while the fleet starts:
	// startDelay after the members have got to know each other, with a margin for large
	// fleets and lost messages.
	maxStartWait = 3 * time.Second
	// startPoll is the interval at which owners are asked again during that time.
	startPoll = 100 * time.Millisecond
	// maxLabels is the number of organisations with metrics and status of their own.
	maxLabels = 20
	// otherLabel is the metric label of all other organisations.
	otherLabel = "other"
)

// Sender sends a request for tokens to the node at an address. It reports whether the
// request was sent.
type Sender func(address string, number uint64, request *pb.QuotaRequest) bool

// Options configure a Manager.
type Options struct {
	Self   Member
	Limits Limits
	// View returns the current view of the fleet. It is called at every tick.
	View func() View
	Send Sender
	// Rand is the source of the first request numbers; nil: a random one.
	Rand   *rand.Rand
	Logger *zap.Logger
	// Slots is the number of slots that organisations are hashed to; 0: DefaultSlots.
	Slots int
}

// organisationCaps are the caps of a configuration.
type organisationCaps struct {
	caps   map[string]Cap
	labels map[string]*labelCounters
	all    []*labelCounters
}

// labelCounters are the counters of a metric label.
type labelCounters struct {
	label                             string
	granted, refused, asked, timeouts atomic.Int64
}

// Manager enforces the usage caps on one node. It is safe for concurrent use.
type Manager struct {
	options   Options
	caps      atomic.Pointer[organisationCaps]
	placement atomic.Pointer[Placement]
	shards    [shardCount]shard

	mu       sync.Mutex // guards the following fields
	fleet    *Fleet
	lastView View
	hasView  bool
	logged   fleetState
}

// fleetState is the part of a placement whose changes are logged.
type fleetState struct {
	owned    int
	share    float64
	starting bool
}

// shard holds the organisations whose name has one hash.
type shard struct {
	manager *Manager
	index   uint64
	mu      sync.Mutex
	holders map[string]*managedHolder
	// asking are the holders by the numbers of their requests without a reply.
	asking  map[uint64]*managedHolder
	waiting map[uint64]chan result
	number  uint64
	waiter  uint64
}

// managedHolder is a holder with what its manager keeps of it.
type managedHolder struct {
	holder
	usedAt time.Time
	// counted are the counters that the label's counters include.
	counted counters
	// sweptRefused is counters.refused at the last sweep.
	sweptRefused int64
	overCap      bool
}

// NewManager returns a Manager without caps.
func NewManager(options Options) *Manager {
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	if options.Slots == 0 {
		options.Slots = DefaultSlots
	}
	if options.Rand == nil {
		options.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	m := &Manager{options: options, fleet: NewFleet(options.Self, options.Slots)}
	m.caps.Store(&organisationCaps{})
	m.placement.Store(m.fleet.Placement())
	for i := range m.shards {
		m.shards[i] = shard{
			manager: m,
			index:   uint64(i),
			holders: map[string]*managedHolder{},
			asking:  map[uint64]*managedHolder{},
			waiting: map[uint64]chan result{},
			number:  options.Rand.Uint64() >> (2 * shardBits),
		}
	}
	return m
}

// SetCaps puts the caps of a configuration in force. Organisations without a rate have
// no cap.
func (m *Manager) SetCaps(organisations []*pb.Organisation) {
	next := &organisationCaps{caps: map[string]Cap{}, labels: map[string]*labelCounters{}}
	limited := make([]*pb.Organisation, 0, len(organisations))
	for _, o := range organisations {
		if o.GetRatePerS() > 0 {
			next.caps[o.GetName()] = Cap{RatePerS: o.GetRatePerS(), Burst: max(o.GetBurst(), 0)}
			limited = append(limited, o)
		}
	}
	slices.SortStableFunc(limited, func(a, b *pb.Organisation) int {
		switch {
		case a.GetRatePerS() > b.GetRatePerS():
			return -1
		case a.GetRatePerS() < b.GetRatePerS():
			return 1
		}
		return 0
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	before := map[string]*labelCounters{}
	for _, c := range m.caps.Load().all {
		before[c.label] = c
	}
	counters := func(label string) *labelCounters {
		c := before[label]
		if c == nil {
			c = &labelCounters{label: label}
			before[label] = c
		}
		return c
	}
	for _, o := range limited[:min(len(limited), maxLabels)] {
		c := counters(o.GetName())
		next.labels[o.GetName()] = c
		next.all = append(next.all, c)
	}
	if len(limited) > maxLabels {
		next.all = append(next.all, counters(otherLabel))
	}
	if other := before[otherLabel]; other != nil && len(limited) <= maxLabels {
		next.all = append(next.all, other)
	}
	m.caps.Store(next)
	for i := range m.shards {
		m.shards[i].setCaps(next)
	}
}

// counters returns the counters of the organisation's label.
func (o *organisationCaps) counters(organisation string) *labelCounters {
	if c := o.labels[organisation]; c != nil {
		return c
	}
	if len(o.all) > 0 && o.all[len(o.all)-1].label == otherLabel {
		return o.all[len(o.all)-1]
	}
	return nil
}

// setCaps applies changed caps to the organisations in use. An organisation without a
// cap is released when nothing waits for it.
func (s *shard) setCaps(o *organisationCaps) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, h := range s.holders {
		if c, ok := o.caps[name]; ok {
			h.cap = c
		}
	}
}

// Run updates the view until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastSweep := time.Now()
	for {
		m.tick()
		if now := time.Now(); now.Sub(lastSweep) >= sweepInterval {
			lastSweep = now
			m.sweep(now)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Refresh applies the current view. It is called when the members have changed.
func (m *Manager) Refresh() { m.tick() }

// tick applies the current view and checks the holdings.
func (m *Manager) tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, view := time.Now(), m.options.View()
	changed := m.fleet.Tick(now)
	if changed || !m.hasView || !sameView(view, m.lastView) {
		m.fleet.Update(now, view)
		m.lastView, m.hasView = view, true
	}
	p := m.fleet.Placement()
	m.placement.Store(p)
	m.logFleet(fleetState{owned: p.Owned(), share: p.share, starting: p.starting})
}

func sameView(a, b View) bool {
	return a.Version == b.Version && a.Joined == b.Joined && a.Isolated == b.Isolated
}

// logFleet logs a change of what this node grants. The caller holds mu.
func (m *Manager) logFleet(state fleetState) {
	if state == m.logged || len(m.caps.Load().caps) == 0 {
		return
	}
	m.logged = state
	m.options.Logger.Info("usage caps: owned parts changed", zap.Int("owned_slots", state.owned),
		zap.Int("slots", m.options.Slots), zap.Float64("share_of_caps", state.share), zap.Bool("starting", state.starting))
}

// shardOf returns the shard of an organisation.
func (m *Manager) shardOf(organisation string) *shard {
	return &m.shards[xxhash.Sum64String(organisation)>>(64-shardBits)]
}

// holder returns the holder of an organisation with a cap. The caller holds mu.
func (s *shard) holder(organisation string, c Cap, now time.Time) *managedHolder {
	h := s.holders[organisation]
	if h == nil {
		h = &managedHolder{holder: holder{
			organisation: organisation,
			slot:         s.manager.placement.Load().slot(organisation),
			cap:          c,
			limits:       s.manager.options.Limits,
			numbers:      s.nextNumber,
		}}
		s.holders[organisation] = h
	}
	h.usedAt = now
	return h
}

// nextNumber returns the number of a request for tokens.
func (s *shard) nextNumber() uint64 {
	s.number++
	return s.number<<shardBits | s.index
}

// apply does what a holder's step demands. The caller holds mu.
func (s *shard) apply(h *managedHolder, e *effects) {
	for _, r := range e.results {
		if c := s.waiting[r.waiter]; c != nil {
			delete(s.waiting, r.waiter)
			c <- r // buffered
		} else if r.ok {
			h.add(tokens{1, r.token.expires})
		}
	}
	for _, t := range e.timers {
		s.asking[t.number] = h
		time.AfterFunc(t.after, func() { s.timeout(t.number) })
	}
	s.count(h)
}

// count adds the new counts of a holder to its label's.
func (s *shard) count(h *managedHolder) {
	c := s.manager.caps.Load().counters(h.organisation)
	if c == nil {
		return
	}
	c.granted.Add(h.counters.granted - h.counted.granted)
	c.refused.Add(h.counters.refused - h.counted.refused)
	c.asked.Add(h.counters.asked - h.counted.asked)
	c.timeouts.Add(h.counters.timeouts - h.counted.timeouts)
	h.counted = h.counters
}

// send sends the messages of a step. The caller doesn't hold mu.
func (s *shard) send(messages []message) {
	for _, msg := range messages {
		request := &pb.QuotaRequest{Organisation: msg.organisation, Region: msg.region, Wanted: uint32(msg.wanted)}
		if !s.manager.options.Send(msg.to, msg.number, request) {
			s.step(msg.number, (*holder).unsent)
		}
	}
}

// timeout is called when a timer of a request for tokens ends.
func (s *shard) timeout(number uint64) { s.step(number, (*holder).timeout) }

// step calls a function of the holder that sent a request.
func (s *shard) step(number uint64, do func(h *holder, now time.Time, p *Placement, number uint64, e *effects)) {
	var e effects
	s.mu.Lock()
	h := s.asking[number]
	if h != nil {
		do(&h.holder, time.Now(), s.manager.placement.Load(), number, &e)
		if h.partOf(number) < 0 {
			delete(s.asking, number)
		}
		s.apply(h, &e)
	}
	s.mu.Unlock()
	s.send(e.messages)
}

// HandleRequest answers a node's request for tokens of a part that this node owns.
func (m *Manager) HandleRequest(from string, number uint64, request *pb.QuotaRequest) *pb.QuotaGrant {
	c, ok := m.caps.Load().caps[request.GetOrganisation()]
	if !ok {
		// This node doesn't have the configuration yet that names the organisation.
		return &pb.QuotaGrant{Starting: true}
	}
	if request.GetRegion() != m.options.Self.Region {
		return &pb.QuotaGrant{}
	}
	now := time.Now()
	s := m.shardOf(request.GetOrganisation())
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.holder(request.GetOrganisation(), c, now)
	wanted := int(min(request.GetWanted(), maxWanted))
	g := h.bucket.grant(now, m.placement.Load(), h.slot, h.cap, h.limits, requestID{from, number}, wanted)
	return &pb.QuotaGrant{
		Tokens:       uint32(g.tokens),
		RetryAfterUs: uint32(g.retryAfter.Microseconds()),
		Owner:        g.owner,
		Starting:     g.starting,
	}
}

// HandleGrant applies an owner's reply to the request with that number.
func (m *Manager) HandleGrant(number uint64, reply *pb.QuotaGrant) {
	g := grant{
		tokens:     int(min(reply.GetTokens(), maxWanted)),
		retryAfter: min(time.Duration(reply.GetRetryAfterUs())*time.Microsecond, maxRetryAfter),
		owner:      reply.GetOwner(),
		starting:   reply.GetStarting(),
	}
	m.shards[number&(shardCount-1)].step(number, func(h *holder, now time.Time, p *Placement, number uint64, e *effects) {
		h.reply(now, p, number, g, e)
	})
}

// Claim is the token of one request, or the wait for it. It isn't safe for concurrent
// use.
type Claim struct {
	shard        *shard
	organisation string
	waiter       uint64
	done         chan result
	token        Token
	held         bool
}

// Begin starts to acquire the token of a request. It returns nil if the organisation
// has no cap.
func (m *Manager) Begin(organisation string) *Claim {
	if organisation == "" {
		return nil
	}
	if _, ok := m.caps.Load().caps[organisation]; !ok {
		return nil
	}
	c := &Claim{shard: m.shardOf(organisation), organisation: organisation}
	c.begin()
	return c
}

// begin asks for a token.
func (c *Claim) begin() {
	limit, ok := c.shard.manager.caps.Load().caps[c.organisation]
	if !ok {
		c.done = make(chan result, 1)
		c.done <- result{ok: true, token: Token{time.Now().Add(c.shard.manager.options.Limits.Lifetime)}}
		return
	}
	var e effects
	now := time.Now()
	s := c.shard
	s.mu.Lock()
	h := s.holder(c.organisation, limit, now)
	s.waiter++
	c.waiter = s.waiter
	c.done = make(chan result, 1)
	s.waiting[c.waiter] = c.done
	h.acquire(now, s.manager.placement.Load(), c.waiter, &e)
	s.apply(h, &e)
	s.mu.Unlock()
	s.send(e.messages)
}

// maxRenewals is the number of times that a token is acquired again because it expired
// before the request could be sent.
const maxRenewals = 2

// Wait returns once the request may be forwarded (ok) or is refused. A token that has
// expired meanwhile is acquired again. While the fleet starts, the request waits for
// an owner until the deadline or for maxStartWait.
func (c *Claim) Wait(ctx context.Context, deadline time.Time) (retryAfter time.Duration, ok bool) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	latest := time.Now().Add(maxStartWait)
	if deadline.Before(latest) {
		latest = deadline
	}
	starting := false
	for renewals := 0; ; {
		if c.held {
			if c.token.Valid(time.Now()) {
				return 0, true
			}
			c.held = false
			if renewals++; renewals > maxRenewals {
				return unknownRetryAfter, false
			}
			c.begin()
		}
		var r result
		select {
		case r = <-c.done:
		case <-ctx.Done():
			c.Return()
			return unknownRetryAfter, false
		}
		c.done = nil
		starting = starting || r.starting
		switch {
		case r.ok:
			c.token, c.held = r.token, true
			continue
		case !starting || !time.Now().Add(startPoll).Before(latest):
			return r.retryAfter, false
		}
		select {
		case <-time.After(startPoll):
		case <-ctx.Done():
			return r.retryAfter, false
		}
		c.begin()
	}
}

// Refused reports, without waiting, whether the request is refused already.
func (c *Claim) Refused() (retryAfter time.Duration, refused bool) {
	select {
	case r := <-c.done:
		if !r.ok && !r.starting {
			c.done = nil
			return r.retryAfter, true
		}
		c.done <- r // buffered, and this claim is its only user
	default:
	}
	return 0, false
}

// Return gives the token of a request that wasn't forwarded to the next request of the
// organisation. It may be called in every state of the claim.
func (c *Claim) Return() {
	if c == nil {
		return
	}
	s := c.shard
	var e effects
	s.mu.Lock()
	h := s.holders[c.organisation]
	if h != nil {
		h.cancel(c.waiter)
		delete(s.waiting, c.waiter)
		if c.done != nil {
			select {
			case r := <-c.done:
				c.token, c.held = r.token, r.ok
			default:
			}
			c.done = nil
		}
		if c.held {
			h.giveBack(time.Now(), s.manager.placement.Load(), c.token, &e)
		}
		s.apply(h, &e)
	}
	c.held = false
	s.mu.Unlock()
	s.send(e.messages)
}

// sweep logs the organisations that have reached their cap and releases those without
// requests.
func (m *Manager) sweep(now time.Time) {
	caps := m.caps.Load()
	for i := range m.shards {
		m.shards[i].sweep(now, caps)
	}
}

func (s *shard) sweep(now time.Time, caps *organisationCaps) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, h := range s.holders {
		over := h.counters.refused > h.sweptRefused
		h.sweptRefused = h.counters.refused
		if over != h.overCap {
			h.overCap = over
			s.manager.options.Logger.Info("usage cap of organisation", zap.String("organisation", name), zap.Bool("refusing", over))
		}
		if now.Sub(h.usedAt) < idleTime || len(h.waiters) > 0 {
			continue
		}
		if _, limited := caps.caps[name]; !limited || h.bucket.full(now, s.manager.placement.Load(), h.slot, h.cap, h.limits) {
			delete(s.holders, name)
		}
	}
}

// full reports whether the bucket equals one that is created anew.
func (b *bucket) full(now time.Time, p *Placement, slot int, c Cap, limits Limits) bool {
	held, active := p.active(slot, now)
	if !active || !b.used {
		return !b.used || !active
	}
	b.refill(now, p, held, c, limits)
	return b.level >= max((c.Burst+limits.ExtraBurst)*p.share, 1)
}

// Owners returns the address of the owner of the part of an organisation's cap in each
// region, by this node's view; nil: the organisation has no cap.
func (m *Manager) Owners(organisation string) map[string]string {
	if _, capped := m.caps.Load().caps[organisation]; !capped {
		return nil
	}
	p := m.placement.Load()
	slot, owners := p.slot(organisation), make(map[string]string, len(p.regions))
	for i, region := range p.regions {
		owners[region] = p.owner(slot, i)
	}
	return owners
}

// Use returns the use of caps on this node, at most that of the 20 organisations with
// the most requests.
func (m *Manager) Use() []*pb.QuotaUse {
	var all []*pb.QuotaUse
	p, now := m.placement.Load(), time.Now()
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		for name, h := range s.holders {
			if h.counters.granted+h.counters.refused == 0 {
				continue
			}
			_, owned := p.active(h.slot, now)
			all = append(all, &pb.QuotaUse{
				Organisation: name, RatePerS: h.cap.RatePerS, Burst: h.cap.Burst,
				Granted: uint64(max(h.counters.granted, 0)), Refused: uint64(h.counters.refused),
				DemandPerS: h.demand, Owner: owned,
			})
		}
		s.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b *pb.QuotaUse) int {
		if x, y := a.GetGranted()+a.GetRefused(), b.GetGranted()+b.GetRefused(); x != y {
			if x > y {
				return -1
			}
			return 1
		}
		return compareStrings(a.GetOrganisation(), b.GetOrganisation())
	})
	return all[:min(len(all), maxLabels)]
}

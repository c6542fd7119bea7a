package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// simEvent is a function that runs at a virtual time.
type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

// before reports whether e runs before o.
func (e *simEvent) before(o *simEvent) bool {
	return e.at < o.at || e.at == o.at && e.seq < o.seq
}

// simQueue is a heap of events. container/heap would allocate for each of them.
type simQueue []simEvent

func (q *simQueue) push(e simEvent) {
	*q = append(*q, e)
	all := *q
	i := len(all) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !e.before(&all[parent]) {
			break
		}
		all[i] = all[parent]
		i = parent
	}
	all[i] = e
}

func (q *simQueue) pop() simEvent {
	all := *q
	first, last := all[0], all[len(all)-1]
	all[len(all)-1] = simEvent{}
	all = all[:len(all)-1]
	*q = all
	i := 0
	for {
		child := 2*i + 1
		if child >= len(all) {
			break
		}
		if child+1 < len(all) && all[child+1].before(&all[child]) {
			child++
		}
		if !all[child].before(&last) {
			break
		}
		all[i] = all[child]
		i = child
	}
	if len(all) > 0 {
		all[i] = last
	}
	return first
}

// simTick is the interval of ticks. Manager's is shorter, which only makes losses known
// sooner.
const simTick = 200 * time.Millisecond

// simOptions describe a simulated fleet.
type simOptions struct {
	nodes, regions int
	cap            Cap
	// loss is the share of datagrams that are lost.
	loss float64
	// otherRegion is the one-way delay to another region.
	otherRegion time.Duration
	// settled starts the fleet with complete views and active parts.
	settled bool
	// firstStart reports that the log has no join records of an earlier run of the fleet,
	// and logDown that no node can read it.
	firstStart, logDown bool
}

// sim is a fleet under virtual time with one organisation. Its network and its views
// of members are simple models; the state machines are the product's.
type sim struct {
	options simOptions
	rand    *rand.Rand
	now     time.Duration
	queue   simQueue
	seq     int
	nodes   []*simNode
	limits  Limits
	// spent are the times of forwarded requests; refused, starting and demanded count
	// requests.
	spent                       []time.Duration
	refused, starting, demanded int
	messages                    int
	// recorded are the nodes with a join record in the log.
	recorded []string
	// onRefused is called for a refused request; nil: nothing is.
	onRefused func(retryAfter time.Duration)
	// returned and servedReturns count the requests of refused callers that came back.
	returned, servedReturns int
}

// simNode is a node of the fleet.
type simNode struct {
	sim       *sim
	index     int
	member    Member
	up        bool
	frozen    bool
	group     int
	epoch     int // increases with every start
	startedAt time.Duration
	joinedAt  time.Duration
	// aloneSince is the first of successive starts without a reachable node; negative:
	// none.
	aloneSince time.Duration
	// recorded are the nodes with a join record when this node read the log.
	recorded []string
	logRead  bool
	fleet    *Fleet
	holder   holder
	number   uint64
	waiter   uint64
	// since are the times from which requests have waited for the start of the fleet.
	since map[uint64]time.Duration
	// returning are the waiting requests of refused callers that came back.
	returning map[uint64]bool
	// seen are the states of the other nodes in this node's view; -1: unknown.
	seen    []State
	seenAt  []time.Time
	changes []int // versions of the pending changes of seen
	// isolatedSince is when the node lost all others; negative: it didn't.
	isolatedSince time.Duration
	changed       bool
	deferred      []func()
}

const unknownState State = -1

var simEpoch = time.Unix(1_700_000_000, 0)

func newSim(seed uint64, options simOptions) *sim {
	s := &sim{options: options, rand: rand.New(rand.NewPCG(seed, 1)), limits: NewLimits(5*time.Second, 0.1, 20)}
	for i := range options.nodes {
		n := &simNode{sim: s, index: i, seen: make([]State, options.nodes), seenAt: make([]time.Time, options.nodes), changes: make([]int, options.nodes)}
		n.member = Member{
			Instance: fmt.Sprint("node-", seed, "-", i),
			Region:   fmt.Sprint("region-", i%options.regions),
			Address:  fmt.Sprint("address-", i),
		}
		n.aloneSince = -1
		s.nodes = append(s.nodes, n)
		if !options.firstStart {
			s.recorded = append(s.recorded, n.member.Instance)
		}
	}
	if !options.settled {
		return s
	}
	s.now = time.Hour
	for _, n := range s.nodes {
		n.boot()
		n.startedAt = 0
		n.member.Started = simEpoch
		n.fleet.self.Started = simEpoch
	}
	for _, n := range s.nodes {
		for j := range n.seen {
			n.seen[j], n.seenAt[j] = Alive, simEpoch
		}
		n.joinedAt = s.now
		n.recorded, n.logRead = s.recorded, true
	}
	for _, n := range s.nodes {
		n.update()
		n.fleet.settled = true
		n.fleet.history[0].at = s.time().Add(-time.Hour)
		for i := range n.fleet.holdings {
			if h := &n.fleet.holdings[i]; !h.since.IsZero() {
				h.since = s.time().Add(-time.Hour)
			}
		}
		n.fleet.pending = true
		n.fleet.placement.accrued = 1e6
		n.fleet.Tick(s.time())
		for i := range n.fleet.holdings {
			n.fleet.holdings[i].accruedAtStart = 0 // active for a long time: the buckets are full
		}
	}
	return s
}

func (s *sim) time() time.Time { return simEpoch.Add(s.now) }

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	s.queue.push(simEvent{s.now + d, s.seq, run})
}

// runFor runs the events of the next d.
func (s *sim) runFor(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := s.queue.pop()
		s.now = e.at
		e.run()
	}
	s.now = end
}

// between returns a random duration.
func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rand.Float64()*float64(high-low))
}

// boot starts a node's process without knowledge of others.
func (n *simNode) boot() {
	s := n.sim
	n.epoch++
	n.up, n.frozen = true, false
	n.startedAt, n.joinedAt, n.isolatedSince = s.now, math.MaxInt64, -1
	n.member.Started = s.time()
	n.fleet = NewFleet(n.member, 1)
	for j := range n.seen {
		n.seen[j] = unknownState
		n.changes[j]++
	}
	n.seen[n.index], n.seenAt[n.index] = Alive, n.member.Started
	n.number = s.rand.Uint64() >> 1
	n.holder = holder{organisation: "o", cap: s.options.cap, limits: s.limits, numbers: func() uint64 { n.number++; return n.number }}
	n.changed = true
	n.deferred = nil
	n.recorded, n.logRead = nil, false
	n.since, n.returning = map[uint64]time.Duration{}, map[uint64]bool{}
	epoch := n.epoch
	var tick func()
	tick = func() {
		if !n.up || n.epoch != epoch {
			return
		}
		if !n.frozen {
			n.tick()
		}
		s.after(simTick, tick)
	}
	s.after(s.between(0, simTick), tick)
	s.after(s.between(10*time.Millisecond, 100*time.Millisecond), func() {
		if n.up && n.epoch == epoch && !s.options.logDown {
			n.recorded, n.logRead, n.changed = slices.Clone(s.recorded), true, true
		}
	})
	s.after(s.between(0, 2*time.Second), func() {
		if n.up && n.epoch == epoch && !s.options.logDown && !slices.Contains(s.recorded, n.member.Instance) {
			s.recorded = append(s.recorded, n.member.Instance)
		}
	})
}

func (n *simNode) view() View {
	s := n.sim
	v := View{Joined: s.now >= n.joinedAt, Isolated: n.isolatedSince >= 0 && s.now-n.isolatedSince > 3*time.Second,
		Recorded: n.recorded, LogUnread: !n.logRead}
	for j, state := range n.seen {
		if state != unknownState {
			m := s.nodes[j].member
			m.Started, m.State = n.seenAt[j], state
			v.Members = append(v.Members, m)
		}
	}
	return v
}

func (n *simNode) update() {
	n.changed = false
	n.fleet.Update(n.sim.time(), n.view())
}

func (n *simNode) tick() {
	now := n.sim.time()
	expired := n.fleet.Tick(now)
	isolationNews := n.isolatedSince >= 0 && n.sim.now-n.isolatedSince < 4*time.Second
	if expired || n.changed || isolationNews {
		n.update()
	}
}

// reachable reports whether datagrams from a to b arrive.
func (s *sim) reachable(a, b *simNode) bool {
	return a.up && b.up && a.group == b.group
}

// see changes what n believes of node j after d, unless another change follows.
func (n *simNode) see(j int, d time.Duration, state State) {
	n.changes[j]++
	version, epoch := n.changes[j], n.epoch
	n.sim.after(d, func() {
		if n.changes[j] != version || n.epoch != epoch || !n.up {
			return
		}
		n.whenRunning(func() {
			n.seen[j] = state
			n.seenAt[j] = n.sim.nodes[j].member.Started
			n.changed = true
			n.update()
		})
	})
}

// whenRunning runs f now, or when the node is thawed.
func (n *simNode) whenRunning(f func()) {
	if n.frozen {
		n.deferred = append(n.deferred, f)
		return
	}
	f()
}

// fault changes the fleet and schedules the changes of views that follow: a member
// that can't be reached is found dead after 0.9 to 1.4 s, views differ by up to 1 s,
// and a member that returns is alive within 2 s.
func (s *sim) fault(change func()) {
	before := s.links()
	change()
	after := s.links()
	for i, n := range s.nodes {
		if !n.up {
			continue
		}
		others := 0
		for j := range s.nodes {
			if i != j && after[i][j] {
				others++
			}
		}
		if others > 0 {
			if n.isolatedSince >= 0 {
				n.isolatedSince = -1
				n.changed = true
			}
		} else if n.isolatedSince < 0 && n.joinedAt <= s.now {
			n.isolatedSince = s.now + s.between(0, simTick)
		}
		for j, other := range s.nodes {
			restarted := n.seen[j] != unknownState && other.up && !n.seenAt[j].Equal(other.member.Started)
			switch {
			case i == j:
			case after[i][j] && (!before[i][j] || restarted || n.seen[j] == unknownState && n.changes[j] < 1):
				n.see(j, s.between(100*time.Millisecond, 2*time.Second), Alive)
			case !after[i][j] && before[i][j] && others > 0:
				n.see(j, s.between(900*time.Millisecond, 2400*time.Millisecond), Dead)
			case !after[i][j] && before[i][j]: // an isolated node accuses nobody
				n.changes[j]++
			}
		}
	}
}

func (s *sim) links() [][]bool {
	links := make([][]bool, len(s.nodes))
	all := make([]bool, len(s.nodes)*len(s.nodes))
	for i, a := range s.nodes {
		links[i] = all[i*len(s.nodes) : (i+1)*len(s.nodes)]
		for j, b := range s.nodes {
			links[i][j] = s.reachable(a, b) && !a.frozen && !b.frozen
		}
	}
	return links
}

// start starts a node. In a running fleet it hears of all others when it joins; in a
// fleet that starts at once, one by one.
func (s *sim) start(n *simNode) {
	var peer *simNode // a running node
	for _, other := range s.nodes {
		if other.up && s.now-other.startedAt > time.Second && other.group == n.group {
			peer = other
		}
	}
	s.fault(func() { n.boot() })
	join := s.between(200*time.Millisecond, 800*time.Millisecond)
	for j, other := range s.nodes {
		switch {
		case j == n.index:
		case peer != nil && j != peer.index && !s.reachable(n, other):
			if peer.seen[j] != unknownState {
				n.see(j, join-10*time.Millisecond, peer.seen[j])
			}
		case peer != nil:
			n.see(j, join-10*time.Millisecond, Alive)
		case s.reachable(n, other):
			n.see(j, s.between(100*time.Millisecond, 1200*time.Millisecond), Alive)
			other.see(n.index, s.between(100*time.Millisecond, 1200*time.Millisecond), Alive)
		}
	}
	epoch := n.epoch
	s.after(join, func() {
		if n.epoch != epoch || !n.up {
			return
		}
		for _, other := range s.nodes {
			if other != n && s.reachable(n, other) {
				n.joinedAt = s.now
			}
		}
		if n.joinedAt <= s.now {
			n.aloneSince = -1
		} else { // a node that reaches no other joins alone after some time, if the log can be read
			if n.aloneSince < 0 {
				n.aloneSince = s.now
			}
			if s.options.logDown || s.now-n.aloneSince < 3*time.Second {
				s.start(n)
				return
			}
			n.joinedAt, n.aloneSince = s.now, -1
		}
		n.whenRunning(n.update)
	})
}

func (s *sim) kill(n *simNode) {
	s.fault(func() { n.up = false; n.epoch++ })
}

func (s *sim) freeze(n *simNode, d time.Duration) {
	if !n.up || n.frozen {
		return
	}
	s.fault(func() { n.frozen = true })
	epoch := n.epoch
	s.after(d, func() {
		if n.epoch != epoch {
			return
		}
		s.fault(func() { n.frozen = false })
		deferred := n.deferred
		n.deferred = nil
		for _, f := range deferred {
			f()
		}
	})
}

func (s *sim) partition(group func(i int) int, d time.Duration) {
	s.fault(func() {
		for i, n := range s.nodes {
			n.group = group(i)
		}
	})
	s.after(d, func() {
		s.fault(func() {
			for _, n := range s.nodes {
				n.group = 0
			}
		})
	})
}

// deliver sends a datagram from a to b.
func (s *sim) deliver(a, b *simNode, receive func()) {
	s.messages++
	if !s.reachable(a, b) || s.rand.Float64() < s.options.loss {
		return
	}
	delay := s.between(100*time.Microsecond, 800*time.Microsecond)
	if a.member.Region != b.member.Region {
		delay += s.options.otherRegion
	}
	if s.options.loss > 0 && s.rand.IntN(50) == 0 {
		delay += s.between(0, 300*time.Millisecond) // late
	}
	epoch := b.epoch
	s.after(delay, func() {
		if b.up && b.epoch == epoch && s.reachable(a, b) {
			b.whenRunning(receive)
		}
	})
}

// apply does what a node's step demands.
func (n *simNode) apply(e *effects) {
	s := n.sim
	for _, m := range e.messages {
		owner := s.byAddress(m.to)
		s.deliver(n, owner, func() {
			var g grant
			if m.region == owner.member.Region {
				g = owner.holder.bucket.grant(s.time(), owner.fleet.current(), 0, s.options.cap, s.limits, requestID{n.member.Address, m.number}, m.wanted, m.refused)
			}
			s.deliver(owner, n, func() {
				n.step(func(e *effects) { n.holder.reply(s.time(), n.fleet.current(), m.number, g, e) })
			})
		})
	}
	for _, t := range e.timers {
		epoch := n.epoch
		s.after(t.after, func() {
			if n.epoch == epoch && n.up {
				n.whenRunning(func() {
					n.step(func(e *effects) { n.holder.timeout(s.time(), n.fleet.current(), t.number, e) })
				})
			}
		})
	}
	for _, r := range e.results {
		isReturn := n.returning[r.waiter]
		delete(n.returning, r.waiter)
		switch {
		case r.ok:
			delete(n.since, r.waiter)
			s.spend(n, r.token)
			s.servedReturns += b2i(isReturn)
		case r.starting || n.since[r.waiter] > 0:
			n.retryAtStart(r.waiter)
		default:
			s.refused++
			if s.onRefused != nil && !isReturn {
				s.onRefused(r.retryAfter)
			}
		}
	}
}

// retryAtStart asks again, as Claim.Wait does while the fleet starts.
func (n *simNode) retryAtStart(waiter uint64) {
	s := n.sim
	since, waited := n.since[waiter]
	if !waited {
		since = s.now
	}
	delete(n.since, waiter)
	if s.now-since+startPoll >= maxStartWait {
		s.starting++
		return
	}
	epoch := n.epoch
	s.after(startPoll, func() {
		if n.up && n.epoch == epoch {
			n.whenRunning(func() { n.acquire(since) })
		}
	})
}

// acquire asks for a token for a request that may have waited for the start.
func (n *simNode) acquire(since time.Duration) {
	n.waiter++
	if since < n.sim.now {
		n.since[n.waiter] = since
	}
	n.step(func(e *effects) { n.holder.acquire(n.sim.time(), n.fleet.current(), n.waiter, e) })
}

func (s *sim) byAddress(address string) *simNode {
	i := 0
	for _, digit := range address[len("address-"):] {
		i = 10*i + int(digit-'0')
	}
	return s.nodes[i]
}

// spend forwards a request at some time before its token expires.
func (s *sim) spend(n *simNode, token Token) {
	wait := token.expires.Sub(s.time())
	if s.rand.IntN(2) == 0 {
		wait = 0
	}
	epoch := n.epoch
	s.after(time.Duration(s.rand.Float64()*float64(wait)), func() {
		if n.epoch == epoch && n.up {
			n.whenRunning(func() {
				if !s.time().After(token.expires) {
					s.spent = append(s.spent, s.now)
				}
			})
		}
	})
}

func (n *simNode) step(do func(e *effects)) {
	var e effects
	do(&e)
	n.apply(&e)
}

// request makes a caller's request at a node.
func (n *simNode) request() {
	if !n.up {
		return
	}
	n.sim.demanded++
	n.whenRunning(func() { n.acquire(n.sim.now) })
}

// comeBack makes the request of a refused caller that has waited, at any node.
func (s *sim) comeBack(wait time.Duration) {
	s.after(wait, func() {
		n := s.nodes[s.rand.IntN(len(s.nodes))]
		if n.up {
			s.returned++
			n.returning[n.waiter+1] = true
			n.acquire(s.now)
		}
	})
}

// demand makes requests at random times, rate a second, at nodes that choose names.
func (s *sim) demand(rate float64, choose func() int) {
	var next func()
	next = func() {
		s.nodes[choose()].request()
		s.after(time.Duration(s.rand.ExpFloat64()*float64(time.Second)/rate), next)
	}
	s.after(time.Duration(s.rand.ExpFloat64()*float64(time.Second)/rate), next)
}

// most returns the largest number of forwarded requests in any span of window.
func (s *sim) most(window time.Duration) int {
	slices.Sort(s.spent)
	most, first := 0, 0
	for i, at := range s.spent {
		for at-s.spent[first] > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// bound returns the limit of most for the default settings.
func (s *sim) bound() int {
	c := s.options.cap
	return int((c.RatePerS*5+c.Burst)*1.1 + 20)
}

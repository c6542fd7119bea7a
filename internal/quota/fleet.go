package quota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// gainDelay is how long a node waits before it uses a part, or a larger share of
	// the cap, that a change of its view gives it. A loss takes effect immediately.
	// Views differ for up to 2 s after a change, and an isolated node notices that
	// after 3 s (member's isolationTime) plus a round and a tick, 3.4 s in all; others
	// need at least 0.9 s to declare it dead. Within 0.9 s + gainDelay the previous
	// owner has therefore stopped.
	gainDelay = 3 * time.Second
	// startDelay replaces gainDelay while the whole fleet starts: nobody has granted
	// anything before, and the tables of members that start together grow without a longer
	// pause until they agree.
	startDelay = 400 * time.Millisecond
	// lateJoinDivisor: the start isn't over while more than 1/lateJoinDivisor of the
	// members are new. 660 nodes need 33 s until the last one is known everywhere, and a
	// few missing members change hardly any owner.
	lateJoinDivisor = 50
	// commonStartSpan is the time within which members of a fleet that starts together
	// start.
	commonStartSpan = 5 * time.Second
	// youngTime is how long requests wait instead of being refused after the start of a
	// whole fleet: the requests that have waited until then are served within it.
	youngTime = 2 * time.Second
	// recordsWait is how long the end of a start waits for the join records. A log that
	// can be reached returns them sooner; afterwards the smaller share is granted.
	recordsWait = time.Second
	// unknownSides is the number of sides of a partition that is assumed while the size of
	// the fleet is unknown.
	unknownSides = 2
	// missingDivisor: up to 1/missingDivisor of the recorded members may be missing in a
	// common start without delaying it. After a loss of power some machines are often away
	// for another reason, and all requests would wait for them.
	missingDivisor = 6
	// knownFor is how long a member that died without leaving counts as known: a
	// partition is expected to heal within it.
	knownFor = 20 * time.Second
	// maxTickGap is the longest time between two ticks after which the state of the
	// owner is still used. A node that stands still for longer may have been replaced.
	maxTickGap = 800 * time.Millisecond
	// DefaultSlots is the number of slots that organisations are hashed to. The owners
	// of a slot are computed once for each view, so that the work for a change of the
	// view doesn't depend on the number of organisations.
	DefaultSlots = 256
)

// State is the state of a member for the purpose of usage caps.
type State int

// States of a member. Draining members are alive: they still grant and forward.
const (
	Alive State = iota
	// Suspect members may keep their parts but don't count as reachable.
	Suspect
	Dead
	// Left members have announced their departure and forward nothing any more.
	Left
)

// Member is a node as the membership list knows it.
type Member struct {
	Instance string
	Region   string
	// Address is the address of the node's datagram socket.
	Address string
	// Started is when the node started, by its own clock.
	Started time.Time
	State   State
}

// View is what a node knows about the fleet.
type View struct {
	// Version changes whenever Members do.
	Version uint64
	Members []Member
	// Joined reports whether the node has had a complete view at least once.
	Joined bool
	// Isolated reports that neither members nor the log have answered for some time, so
	// that the states of the members are outdated.
	Isolated bool
	// Recorded are the instances with a recent join record in the log. Members of the other
	// side of a partition may be known from there only. LogUnread reports that the log
	// hasn't been read since this node started.
	Recorded  []string
	LogUnread bool
}

// knownMember is a member that counts as a part of the fleet.
type knownMember struct {
	Member
	hash uint64
	// lastAlive is when the member was last alive in the view. A member that is dead in
	// the first view counts as alive until then.
	lastAlive time.Time
	// expired reports that the member has been dead for longer than knownFor and no
	// longer counts.
	expired bool
	// listed reports whether the latest view has the member.
	listed bool
}

// holding is the state of a slot's part of this node's region.
type holding struct {
	// since is when this node became the owner; zero: it isn't.
	since time.Time
	// active reports whether gainDelay has passed since then.
	active bool
	// generation increases whenever the holding ends. Buckets of an older generation
	// are void.
	generation uint32
	// accruedAtStart is Placement.accruedAt of the activation.
	accruedAtStart float64
}

// shareAt is the share of the cap by the view from a point in time on.
type shareAt struct {
	at    time.Time
	share float64
}

// Fleet computes from the views of a node which parts it owns and the share of the cap
// that it may grant. It isn't safe for concurrent use; its placements are.
type Fleet struct {
	self     Member
	slots    int
	salts    []uint64
	known    map[string]*knownMember
	joined   bool
	joinedAt time.Time
	// growth are the times at which members were seen for the first time, until the
	// start is over.
	growth []time.Time
	// expected is the number of members by the join records, and sizeKnown reports whether
	// these or a member that ran long before this node have told the size of the fleet.
	expected  int
	sizeKnown bool
	// complete reports that expected and sizeKnown have no effect any more: the view has
	// contained as many members, or the node has been a member for knownFor.
	complete bool
	// settled reports whether the start is over.
	settled bool
	// startCredit is the time before the end of the start of a whole fleet for which
	// parts accrue: nobody granted anything, and requests have waited.
	startCredit time.Duration
	history     []shareAt
	// holdings has a holding for each slot. It is copied before a change, because
	// placements refer to it.
	holdings  []holding
	pending   bool
	placement Placement
}

// Placement is an immutable snapshot of who owns which part.
type Placement struct {
	// checkedAt is the time of the last tick.
	checkedAt time.Time
	// share is the share of every cap that this node may grant as an owner, and accrued
	// its integral over time in seconds up to checkedAt.
	share, accrued float64
	// total is the share that the owners of all regions may grant together.
	total float64
	// nodes is the number of nodes that the cap is shared among.
	nodes int
	// regions are the regions with a live member, this node's first.
	regions []string
	// owners holds the address of the owner for each slot and region; ownAddress for
	// this node.
	owners     []string
	ownAddress string
	holdings   []holding
	// starting reports whether the whole fleet starts and no owner grants yet.
	starting bool
	// youngUntil is the time until which the fleet has just started and tokens may be
	// short because of the requests that have waited.
	youngUntil time.Time
}

// NewFleet returns a Fleet that owns nothing until its first complete view.
func NewFleet(self Member, slots int) *Fleet {
	f := &Fleet{self: self, slots: slots, known: map[string]*knownMember{}, holdings: make([]holding, slots), salts: make([]uint64, slots)}
	for i := range f.salts {
		f.salts[i] = mix(uint64(i) + 1)
	}
	f.placement.ownAddress = self.Address
	f.placement.starting = true
	f.placement.holdings = f.holdings
	return f
}

// Placement returns the current snapshot.
func (f *Fleet) Placement() *Placement {
	p := f.placement
	return &p
}

// current returns the placement, which changes with the next call of a method.
func (f *Fleet) current() *Placement { return &f.placement }

// Update applies a view.
func (f *Fleet) Update(now time.Time, view View) {
	f.advance(now)
	if !f.joined && !view.Joined {
		return
	}
	if !f.joined {
		f.joined, f.joinedAt = true, now
	}
	f.note(now, view)
	f.noteRecords(now, view)
	f.place(now, view)
	f.Tick(now)
}

// note updates the known members.
func (f *Fleet) note(now time.Time, view View) {
	for _, k := range f.known {
		k.listed = false
	}
	for _, m := range view.Members {
		k := f.known[m.Instance]
		if m.State == Left {
			delete(f.known, m.Instance)
			continue
		}
		if k == nil {
			k = &knownMember{hash: xxhash.Sum64String(m.Instance), lastAlive: now}
			f.known[m.Instance] = k
			if !f.settled {
				f.growth = append(f.growth, now)
			}
		}
		if m.State != Dead {
			k.lastAlive, k.expired = now, false
		}
		k.Member, k.listed = m, true
	}
	for instance, k := range f.known {
		if !k.listed && k.expired {
			delete(f.known, instance)
		}
	}
}

// noteRecords updates what the join records and members that have run for long tell about
// the size of the fleet. The members of a side of a partition that have all restarted don't
// know of the other side from each other.
func (f *Fleet) noteRecords(now time.Time, view View) {
	if f.complete || now.Sub(f.joinedAt) > knownFor {
		f.complete = true
		return
	}
	hasLeft := map[string]bool{}
	f.sizeKnown = f.sizeKnown || !view.LogUnread
	for _, m := range view.Members {
		hasLeft[m.Instance] = m.State == Left
		f.sizeKnown = f.sizeKnown || m.State != Dead && m.State != Left && f.self.Started.Sub(m.Started) > knownFor
	}
	f.expected = 0
	for _, instance := range view.Recorded {
		if !hasLeft[instance] {
			f.expected++
		}
	}
	f.complete = !view.LogUnread && f.count() >= f.expected
}

// size returns the number of members that the cap is shared among.
func (f *Fleet) size() int {
	switch count := f.count(); {
	case f.complete:
		return count
	case !f.sizeKnown:
		return unknownSides * count
	default:
		return max(count, f.expected)
	}
}

// expire stops counting members that have been dead for longer than knownFor, and those
// known from join records only that long after this node has joined. It reports whether
// there were any.
func (f *Fleet) expire(now time.Time) bool {
	changed := !f.complete && now.Sub(f.joinedAt) > knownFor
	for _, k := range f.known {
		if !k.expired && (k.State == Dead || !k.listed) && now.Sub(k.lastAlive) > knownFor {
			k.expired, changed = true, true
		}
	}
	return changed
}

// count returns the number of members that count as a part of the fleet.
func (f *Fleet) count() int {
	count := 0
	for _, k := range f.known {
		if !k.expired {
			count++
		}
	}
	return count
}

// reachable returns the members that may own parts, and the numbers of those that are alive
// in this node's region and in all.
func (f *Fleet) reachable(view View) (eligible []*knownMember, aliveHere, alive int) {
	self := false
	for _, k := range f.known {
		own := k.Instance == f.self.Instance
		self = self || own
		if own || !view.Isolated && k.listed && (k.State == Alive || k.State == Suspect) {
			eligible = append(eligible, k)
		}
		if own || !view.Isolated && k.listed && k.State == Alive {
			alive++
			aliveHere += b2i(k.Region == f.self.Region)
		}
	}
	if !self { // the view reports this node as having left
		return nil, 0, 0
	}
	return eligible, aliveHere, alive
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// place computes the share and the owners of all slots.
func (f *Fleet) place(now time.Time, view View) {
	eligible, aliveHere, alive := f.reachable(view)
	share := 0.0
	size := f.size()
	if size > 0 {
		share = float64(aliveHere) / float64(size)
		f.placement.total = float64(alive) / float64(size)
	}
	if n := len(f.history); n == 0 || f.history[n-1].share != share {
		f.history = append(f.history, shareAt{now, share})
	}
	f.placement.nodes = size
	byRegion := map[string][]*knownMember{}
	for _, k := range eligible {
		byRegion[k.Region] = append(byRegion[k.Region], k)
	}
	regions := make([]string, 0, len(byRegion))
	for region := range byRegion {
		regions = append(regions, region)
	}
	slices.SortFunc(regions, func(a, b string) int {
		if (a == f.self.Region) != (b == f.self.Region) {
			if a == f.self.Region {
				return -1
			}
			return 1
		}
		return compareStrings(a, b)
	})
	f.placement.regions = regions
	f.placement.owners = make([]string, f.slots*len(regions))
	f.holdings = slices.Clone(f.holdings)
	for slot := range f.slots {
		for r, region := range regions {
			f.placement.owners[slot*len(regions)+r] = f.owner(slot, byRegion[region]).Address
		}
		owned := len(regions) > 0 && regions[0] == f.self.Region && f.placement.owners[slot*len(regions)] == f.self.Address
		f.setOwned(&f.holdings[slot], owned, now)
	}
	f.placement.holdings = f.holdings
}

func compareStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// owner returns the member with the highest hash for the slot.
func (f *Fleet) owner(slot int, members []*knownMember) *knownMember {
	var best *knownMember
	var bestHash uint64
	for _, k := range members {
		if h := mix(k.hash ^ f.salts[slot]); best == nil || h > bestHash {
			best, bestHash = k, h
		}
	}
	return best
}

// setOwned records whether this node owns a slot's part by the current view.
func (f *Fleet) setOwned(h *holding, owned bool, now time.Time) {
	switch {
	case owned && h.since.IsZero():
		h.since = now
		f.pending = true
	case !owned && !h.since.IsZero():
		*h = holding{generation: h.generation + 1}
	}
}

// advance adds the share granted since the last tick. After a pause of this process
// all holdings begin anew.
func (f *Fleet) advance(now time.Time) {
	p := &f.placement
	if p.checkedAt.IsZero() {
		p.checkedAt = now
		return
	}
	elapsed := now.Sub(p.checkedAt)
	if elapsed > maxTickGap && f.joined {
		f.restart(now)
	} else {
		p.accrued += p.share * elapsed.Seconds()
	}
	p.checkedAt = now
}

// restart ends all holdings after a pause and begins them again with gainDelay.
func (f *Fleet) restart(now time.Time) {
	f.holdings = slices.Clone(f.holdings)
	for i := range f.holdings {
		h := &f.holdings[i]
		if !h.since.IsZero() {
			*h = holding{generation: h.generation + 1, since: now}
		}
	}
	f.placement.holdings = f.holdings
	f.pending = true
	f.settled = true
	f.placement.starting = false
}

// Tick must be called several times a second. It reports whether the number of known
// members has changed, so that Update must be called again.
func (f *Fleet) Tick(now time.Time) (changed bool) {
	f.advance(now)
	if !f.joined {
		return false
	}
	changed = f.expire(now)
	f.settle(now)
	f.placement.share = f.effectiveShare(now)
	f.activate(now)
	return changed
}

// settle ends the start once the view has stopped growing.
func (f *Fleet) settle(now time.Time) {
	if f.settled {
		return
	}
	wait := gainDelay
	together := f.startsTogether()
	f.placement.starting = together
	// Members known from the log only may be running and granting, until they find this
	// side dead or themselves isolated.
	isMissing := !f.complete && f.count() < f.expected-f.expected/missingDivisor
	if together && !isMissing {
		wait = startDelay
	}
	if !f.complete && !f.sizeKnown {
		wait = max(wait, recordsWait)
	}
	recent := 0
	for i := len(f.growth) - 1; i >= 0 && now.Sub(f.growth[i]) < wait; i-- {
		recent++
	}
	if now.Sub(f.joinedAt) < wait || recent > len(f.known)/lateJoinDivisor {
		return
	}
	f.growth = nil
	if together && !isMissing {
		f.startCredit = min(now.Sub(f.joinedAt), maxStartWait)
		f.placement.youngUntil = now.Add(youngTime)
	}
	f.settled = true
	f.placement.starting = false
	f.history = f.history[len(f.history)-1:]
	f.history[0].at = now.Add(-gainDelay)
	f.holdings = slices.Clone(f.holdings)
	for i := range f.holdings {
		if h := &f.holdings[i]; !h.since.IsZero() {
			h.since = now.Add(-gainDelay)
		}
	}
	f.placement.holdings = f.holdings
	f.pending = true
}

// startsTogether reports whether at least two thirds of the fleet started at about the
// time of this node.
func (f *Fleet) startsTogether() bool {
	together := 0
	for _, k := range f.known {
		if k.State != Dead && k.Started.Sub(f.self.Started).Abs() <= commonStartSpan {
			together++
		}
	}
	return 3*together >= 2*f.count()
}

// effectiveShare returns the smallest share of the last gainDelay.
func (f *Fleet) effectiveShare(now time.Time) float64 {
	if !f.settled || len(f.history) == 0 {
		return 0
	}
	from := now.Add(-gainDelay)
	for len(f.history) > 1 && !f.history[1].at.After(from) {
		f.history = f.history[1:]
	}
	share := f.history[0].share
	for _, h := range f.history[1:] {
		share = min(share, h.share)
	}
	return share
}

// activate activates the holdings that have waited for gainDelay.
func (f *Fleet) activate(now time.Time) {
	if !f.settled || !f.pending {
		return
	}
	f.pending = false
	f.holdings = slices.Clone(f.holdings)
	for i := range f.holdings {
		h := &f.holdings[i]
		if h.since.IsZero() || h.active {
			continue
		}
		if now.Sub(h.since) < gainDelay {
			f.pending = true
			continue
		}
		h.active = true
		h.accruedAtStart = f.placement.accrued - f.placement.share*f.startCredit.Seconds()
	}
	f.startCredit = 0
	f.placement.holdings = f.holdings
	f.placement.starting = false
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// slot returns the slot of an organisation.
func (p *Placement) slot(organisation string) int {
	return int(xxhash.Sum64String(organisation) % uint64(len(p.holdings)))
}

// owner returns the address of the owner of the part of the i-th region.
func (p *Placement) owner(slot, i int) string {
	return p.owners[slot*len(p.regions)+i]
}

// accruedAt returns the integral of the share up to now.
func (p *Placement) accruedAt(now time.Time) float64 {
	return p.accrued + p.share*max(now.Sub(p.checkedAt), 0).Seconds()
}

// active returns the holding of a slot if this node may grant from it now.
func (p *Placement) active(slot int, now time.Time) (*holding, bool) {
	if now.Sub(p.checkedAt) > maxTickGap {
		return nil, false
	}
	h := &p.holdings[slot]
	return h, h.active
}

// activeIn returns the time until the holding of a slot is active, and whether this
// node owns the part.
func (p *Placement) activeIn(slot int, now time.Time) (time.Duration, bool) {
	if p.holdings[slot].since.IsZero() {
		return 0, false
	}
	if p.starting {
		return startDelay, true
	}
	return max(gainDelay-now.Sub(p.holdings[slot].since), 0), true
}

// Owned returns the number of slots whose part this node may grant from.
func (p *Placement) Owned() int {
	count := 0
	for _, h := range p.holdings {
		if h.active {
			count++
		}
	}
	return count
}

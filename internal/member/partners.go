package member

import (
	"math/rand/v2"
	"slices"
	"sort"

	"github.com/egretfield/egretfield/internal/pb"
)

// partners selects the nodes to gossip with. Most rounds go to a few neighbours
// that change slowly and are mostly in the node's own region, so that connections
// are reused and few bytes cross regions. It isn't safe for concurrent use.
type partners struct {
	sameRegion   []*pb.Member // reachable members in this node's region
	otherRegions []*pb.Member // reachable members in other regions
	neighbours   []*pb.Member
	next         int
}

// rebuild updates the reachable members from the table.
func (p *partners) rebuild(own *pb.MemberRecord, t *table, random *rand.Rand) {
	p.sameRegion, p.otherRegions = p.sameRegion[:0:0], p.otherRegions[:0:0]
	for instance, e := range t.entries {
		if instance == own.Member.Instance || isTombstone(e.record) {
			continue
		}
		if e.record.Member.Region == own.Member.Region {
			p.sameRegion = append(p.sameRegion, e.record.Member)
		} else {
			p.otherRegions = append(p.otherRegions, e.record.Member)
		}
	}
	sortMembers(p.sameRegion)
	sortMembers(p.otherRegions)
	p.refreshNeighbours(t)
	p.fillNeighbours(random)
}

func sortMembers(members []*pb.Member) {
	sort.Slice(members, func(i, j int) bool { return members[i].Instance < members[j].Instance })
}

// refreshNeighbours drops the neighbours that are dead or have left and updates the
// others' data.
func (p *partners) refreshNeighbours(t *table) {
	kept := p.neighbours[:0:0]
	for _, m := range p.neighbours {
		e := t.entries[m.Instance]
		if e != nil && !isTombstone(e.record) {
			kept = append(kept, e.record.Member)
		}
	}
	p.neighbours = kept
}

// fillNeighbours adds neighbours until there are enough.
func (p *partners) fillNeighbours(random *rand.Rand) {
	remote := 0
	for _, m := range p.neighbours {
		if contains(p.otherRegions, m) {
			remote++
		}
	}
	for remote < remoteNeighbours && p.addFrom(p.otherRegions, random) {
		remote++
	}
	for len(p.neighbours) < neighbourCount && p.addFrom(p.sameRegion, random) {
	}
	for len(p.neighbours) < neighbourCount && p.addFrom(p.otherRegions, random) {
	}
}

func contains(members []*pb.Member, m *pb.Member) bool {
	return slices.ContainsFunc(members, func(other *pb.Member) bool { return other.Instance == m.Instance })
}

// addFrom adds one random member of members that isn't a neighbour yet. It returns
// false if there is none.
func (p *partners) addFrom(members []*pb.Member, random *rand.Rand) bool {
	if len(members) == 0 {
		return false
	}
	start := random.IntN(len(members))
	for i := range members {
		m := members[(start+i)%len(members)]
		if !contains(p.neighbours, m) {
			p.neighbours = append(p.neighbours, m)
			return true
		}
	}
	return false
}

// rotate replaces the oldest neighbour.
func (p *partners) rotate(random *rand.Rand) {
	if len(p.neighbours) < neighbourCount {
		return
	}
	p.neighbours = slices.Clone(p.neighbours[1:])
	p.fillNeighbours(random)
}

// pick returns the partner for a round, or nil if no member is reachable.
func (p *partners) pick(random *rand.Rand) *pb.Member {
	if len(p.neighbours) > 0 && random.IntN(100) < neighbourPercent {
		p.next++
		return p.neighbours[p.next%len(p.neighbours)]
	}
	return p.pickAny(random)
}

// pickAny returns a random reachable member, or nil if there is none.
func (p *partners) pickAny(random *rand.Rand) *pb.Member {
	n := len(p.sameRegion) + len(p.otherRegions)
	if n == 0 {
		return nil
	}
	i := random.IntN(n)
	if i < len(p.sameRegion) {
		return p.sameRegion[i]
	}
	return p.otherRegions[i-len(p.sameRegion)]
}

// sample returns up to n different members other than except, including at least
// one from another region if there is any.
func (p *partners) sample(n int, except string, random *rand.Rand) []*pb.Member {
	otherRegions := sampleMembers(p.otherRegions, 1, except, random)
	sameRegion := sampleMembers(p.sameRegion, n-len(otherRegions), except, random)
	if missing := n - len(sameRegion) - len(otherRegions); missing > 0 {
		otherRegions = sampleMembers(p.otherRegions, len(otherRegions)+missing, except, random)
	}
	return append(sameRegion, otherRegions...)
}

// sampleMembers returns up to n different members other than except.
func sampleMembers(members []*pb.Member, n int, except string, random *rand.Rand) []*pb.Member {
	var out []*pb.Member
	if len(members) == 0 {
		return nil
	}
	for range 4 * n {
		m := members[random.IntN(len(members))]
		if len(out) < n && m.Instance != except && !contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

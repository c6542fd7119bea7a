package once

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/egretfield/egretfield/internal/once/shard"
)

const (
	// maxCandidates is the number of candidates for each shard.
	maxCandidates = 3
	noRank        = maxCandidates
)

// placement assigns candidate keepers to each shard by rendezvous hashing, so
// that a change of one instance moves only its own shards. Immutable.
type placement struct {
	live       map[string]Member
	eligible   []Member
	seeds      []uint64 // hash of each eligible instance
	candidates [shard.Count][maxCandidates]int16
}

func newPlacement(live []Member, regions []string) *placement {
	p := newUnranked(live, regions)
	for id := range p.candidates {
		p.candidates[id] = rank(shardSeed(id), p.seeds)
	}
	return p
}

// newUnranked returns a placement without candidates.
func newUnranked(live []Member, regions []string) *placement {
	p := &placement{live: make(map[string]Member, len(live))}
	for _, member := range live {
		p.live[member.Instance] = member
	}
	p.eligible = eligible(live, regions)
	p.seeds = make([]uint64, len(p.eligible))
	for i, member := range p.eligible {
		p.seeds[i] = xxhash.Sum64String(member.Instance)
	}
	return p
}

func shardSeed(id int) uint64 {
	return mix(uint64(id) + 1)
}

// matches reports whether the placement was made for these members.
func (p *placement) matches(live []Member) bool {
	if len(live) != len(p.live) {
		return false
	}
	for _, member := range live {
		if p.live[member.Instance] != member {
			return false
		}
	}
	return true
}

// eligible returns the members that may get shards: of those that aren't
// draining, the ones in the regions, or all if none is there.
func eligible(live []Member, regions []string) []Member {
	var all, inRegions []Member
	for _, member := range live {
		if member.Draining {
			continue
		}
		all = append(all, member)
		if slices.Contains(regions, member.Region) {
			inRegions = append(inRegions, member)
		}
	}
	if len(inRegions) > 0 {
		all = inRegions
	}
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return all
}

func rank(seed uint64, seeds []uint64) [maxCandidates]int16 {
	best := [maxCandidates]int16{-1, -1, -1}
	var weights [maxCandidates]uint64
	for i, memberSeed := range seeds {
		weight := mix(seed ^ memberSeed)
		index := int16(i)
		for position := range best {
			if best[position] >= 0 && weights[position] >= weight {
				continue
			}
			best[position], index = index, best[position]
			weights[position], weight = weight, weights[position]
			if index < 0 {
				break
			}
		}
	}
	return best
}

// mix is a 64-bit finalizer with good avalanche.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// first returns the preferred keeper of the shard.
func (p *placement) first(shardID uint32) (Member, bool) {
	index := p.candidates[shardID][0]
	if index < 0 {
		return Member{}, false
	}
	return p.eligible[index], true
}

// firstOther returns the best-ranked candidate for the shard other than the
// named instance.
func (p *placement) firstOther(shardID uint32, instance string) (Member, bool) {
	for _, index := range p.candidates[shardID] {
		if index >= 0 && p.eligible[index].Instance != instance {
			return p.eligible[index], true
		}
	}
	return Member{}, false
}

// rankOf returns the rank of the instance among the shard's candidates, or
// noRank.
func (p *placement) rankOf(shardID uint32, instance string) int {
	for position, index := range p.candidates[shardID] {
		if index >= 0 && p.eligible[index].Instance == instance {
			return position
		}
	}
	return noRank
}

// isLive reports whether the session's process is among the live members, and
// returns its member.
func (p *placement) isLive(session shard.Session) (Member, bool) {
	member, ok := p.live[session.Instance]
	return member, ok && member.Incarnation == session.Incarnation
}

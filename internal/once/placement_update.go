package once

import "github.com/egretfield/egretfield/internal/once/shard"

// maxAdded is the number of new members up to which a placement is derived from
// the last one. With more, ranking all shards again costs less.
const maxAdded = 64

// removed marks a member of the old placement that the new one lacks.
const removed = int16(-1)

// updated returns the same placement for live as newPlacement, but derives it
// from this one: a shard is ranked again only if it lost a candidate, and new
// members are compared with its present candidates.
func (p *placement) updated(live []Member, regions []string) *placement {
	next := newUnranked(live, regions)
	newIndexes, added := next.indexesFrom(p)
	if len(added) > maxAdded || len(p.eligible) < maxCandidates {
		return newPlacement(live, regions)
	}
	for id := range shard.Count {
		next.candidates[id] = next.rerank(id, p.candidates[id], newIndexes, added)
	}
	return next
}

// indexesFrom returns the index in this placement of each member of the old
// one, and the indexes of the members that the old one lacks. Both lists are in
// order.
func (p *placement) indexesFrom(old *placement) (newIndexes, added []int16) {
	newIndexes = make([]int16, len(old.eligible))
	next := 0
	for i, member := range old.eligible {
		newIndexes[i] = removed
		for ; next < len(p.eligible) && p.eligible[next].Instance < member.Instance; next++ {
			added = append(added, int16(next))
		}
		if next < len(p.eligible) && p.eligible[next].Instance == member.Instance {
			newIndexes[i] = int16(next)
			next++
		}
	}
	for ; next < len(p.eligible); next++ {
		added = append(added, int16(next))
	}
	return newIndexes, added
}

// rerank returns the candidates of a shard, given its candidates in the old
// placement.
func (p *placement) rerank(id int, old [maxCandidates]int16, newIndexes, added []int16) [maxCandidates]int16 {
	seed := shardSeed(id)
	var best [maxCandidates]int16
	var weights [maxCandidates]uint64
	for position, index := range old {
		best[position] = newIndexes[index]
		if best[position] == removed {
			return rank(seed, p.seeds)
		}
		weights[position] = mix(seed ^ p.seeds[best[position]])
	}
	for _, index := range added {
		insert(&best, &weights, index, mix(seed^p.seeds[index]))
	}
	return best
}

// insert adds a member to the candidates if its weight is great enough.
func insert(best *[maxCandidates]int16, weights *[maxCandidates]uint64, index int16, weight uint64) {
	for position := range best {
		if weights[position] >= weight {
			continue
		}
		best[position], index = index, best[position]
		weights[position], weight = weight, weights[position]
	}
}

package loadnews

import (
	"math/rand/v2"
	"time"

	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// tick is the time between two looks at the load: a few of them fit into the
	// time for which a server stays slow or busy.
	tick = 100 * time.Millisecond
	// restInterval is the time after which unchanged load is told again, so that
	// it doesn't grow too old to be trusted.
	restInterval = 300 * time.Millisecond
	// nearPerTick is the number of nodes of the own region told in a tick. With more
	// nodes each is told less often: 25,000 bytes a second for all of control leave
	// about 110 datagrams.
	nearPerTick = 10
	// farEvery is the number of ticks between news to other regions, whose bytes
	// are paid.
	farEvery = 2
	// changedRequests is the change in the number of requests that is worth telling.
	changedRequests = 2
	// changedSlowness is the change of a server's slowness that is worth telling,
	// percent points.
	changedSlowness = 50
)

// Peer is a node that may be told.
type Peer struct {
	Address string
	Region  string
}

// schedule decides when the load is told and to whom. It isn't safe for concurrent
// use.
type schedule struct {
	region string
	last   *pb.LoadReport
	toldAt time.Time
	ticks  int
}

// due says whether the report is worth telling now.
func (s *schedule) due(now time.Time, report *pb.LoadReport) bool {
	s.ticks++
	if s.last != nil && now.Sub(s.toldAt) < restInterval && !changed(s.last, report) {
		return false
	}
	s.last, s.toldAt = report, now
	return true
}

// changed says whether the load differs by enough to change a choice.
func changed(before, after *pb.LoadReport) bool {
	isFull := func(r *pb.LoadReport) bool { return r.GetInFlight() >= r.GetSlots() }
	requests := func(r *pb.LoadReport) int { return int(r.GetInFlight() + r.GetQueued()) }
	return isFull(before) != isFull(after) || before.GetSlots() != after.GetSlots() ||
		abs(requests(before)-requests(after)) >= changedRequests ||
		abs(int(before.GetSlownessPercent())-int(after.GetSlownessPercent())) >= changedSlowness
}

func abs(n int) int { return max(n, -n) }

// targets chooses whom to tell: some nodes of the own region and, now and then, one
// of each other.
func (s *schedule) targets(peers []Peer) []string {
	var near []string
	far := make(map[string][]string)
	for _, peer := range peers {
		if peer.Region == s.region {
			near = append(near, peer.Address)
		} else {
			far[peer.Region] = append(far[peer.Region], peer.Address)
		}
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	chosen := near[:min(len(near), nearPerTick)]
	if s.ticks%farEvery != 0 {
		return chosen
	}
	for _, addresses := range far {
		chosen = append(chosen, addresses[rand.IntN(len(addresses))])
	}
	return chosen
}

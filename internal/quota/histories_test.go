package quota

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// history runs a random history of faults under a demand above the cap and returns the
// largest number of forwarded requests in 5 s and its bound.
func history(seed uint64) (most, bound int, text string) {
	r := rand.New(rand.NewPCG(seed, 2))
	options := simOptions{
		nodes:       3 + r.IntN(3),
		regions:     1 + r.IntN(3),
		cap:         Cap{RatePerS: []float64{1, 2, 5, 12}[r.IntN(4)]},
		loss:        []float64{0, 0.02, 0.2}[r.IntN(3)],
		otherRegion: 20 * time.Millisecond,
		settled:     r.IntN(8) != 0,
		firstStart:  r.IntN(4) == 0,
		logDown:     r.IntN(4) == 0,
	}
	// The log has the join records of a fleet that has run.
	options.firstStart = options.firstStart && !options.settled
	options.cap.Burst = options.cap.RatePerS * float64(r.IntN(3))
	s := newSim(seed, options)
	if !options.settled {
		for _, n := range s.nodes {
			s.after(s.between(0, 500*time.Millisecond), func() { s.start(n) })
		}
	}
	target := r.IntN(2)
	s.demand(max(2.5*options.cap.RatePerS, 5), func() int {
		if target == 0 && r.IntN(3) > 0 {
			return 0
		}
		return r.IntN(len(s.nodes))
	})
	text = fmt.Sprintf("%+v", options)
	first := r.IntN(faultKinds)
	for i := range 1 + r.IntN(2) {
		kind := first
		if i > 0 {
			kind = secondFault(r, first, options)
		}
		at := s.between(200*time.Millisecond, 3*time.Second)
		if kind >= partitionKinds && (options.firstStart || !options.settled && options.logDown && options.regions > 2) {
			at += startTime
		}
		text += fmt.Sprintf(" [%d at %s]", kind, at)
		s.after(at, func() { s.randomFault(kind) })
	}
	s.runFor(8 * time.Second)
	return s.most(5 * time.Second), s.bound(), text
}

// faultKinds is the number of kinds of faults: partitions from partitionKinds on.
const (
	faultKinds     = 8
	partitionKinds = 4
)

// startTime is the time in which the nodes of a starting fleet get to know each other.
// Nothing tells them the size of the fleet at its first start, nor while the log is down.
const startTime = 2 * time.Second

// secondFault returns a kind of fault that may come with the first. While the log is down,
// a side of a partition whose nodes all restart assumes that there are two sides, so that
// the bound doesn't hold for three with a loss of power (kinds 0 and 1).
func secondFault(r *rand.Rand, first int, options simOptions) int {
	switch {
	case !options.firstStart && (!options.logDown || options.regions < 3):
	case first < 2:
		return r.IntN(partitionKinds)
	case first >= partitionKinds:
		return 2 + r.IntN(faultKinds-2)
	}
	return r.IntN(faultKinds)
}

// randomFault makes a fault of a kind.
func (s *sim) randomFault(kind int) {
	r := s.rand
	restart := func(n *simNode, d time.Duration) {
		s.after(d, func() {
			if !n.up {
				s.start(n)
			}
		})
	}
	switch kind {
	case 7: // regions or a third are cut off, and all nodes of one side restart
		s.randomFault(5 + r.IntN(2))
		side := s.nodes[r.IntN(len(s.nodes))].group
		for _, n := range s.nodes {
			if n.group == side {
				s.kill(n)
				restart(n, s.between(300*time.Millisecond, 1500*time.Millisecond))
			}
		}
	case 4: // a node is cut off from all others
		alone := r.IntN(len(s.nodes))
		s.partition(func(i int) int { return b2i(i == alone) }, s.between(time.Second, 12*time.Second))
	case 5: // a third is cut off
		groups := make([]int, len(s.nodes))
		for i := range groups {
			groups[i] = b2i(r.IntN(3) == 0)
		}
		s.partition(func(i int) int { return groups[i] }, s.between(time.Second, 12*time.Second))
	case 6: // regions lose each other
		s.partition(func(i int) int { return i % s.options.regions }, s.between(time.Second, 12*time.Second))
	case 2: // a node is killed and restarted
		n := s.nodes[r.IntN(len(s.nodes))]
		s.kill(n)
		restart(n, s.between(50*time.Millisecond, 3*time.Second))
	case 1: // half of the nodes are killed and restarted
		for _, n := range s.nodes {
			if r.IntN(2) == 0 {
				s.kill(n)
				restart(n, s.between(50*time.Millisecond, 3*time.Second))
			}
		}
	case 0: // all nodes lose power
		for _, n := range s.nodes {
			s.kill(n)
			restart(n, s.between(300*time.Millisecond, 1500*time.Millisecond))
		}
	case 3: // nodes stand still
		for range 1 + r.IntN(2) {
			s.freeze(s.nodes[r.IntN(len(s.nodes))], s.between(100*time.Millisecond, 6*time.Second))
		}
	}
}

// historyCount is the number of random histories. scripts/test runs all of them without
// the race detector, which makes them about ten times slower and finds nothing in code
// of one goroutine; with it, a few show that they run.
func historyCount() uint64 {
	if raceEnabled {
		return 1_000
	}
	return 100_000
}

// simSeeds is the number of seeds of tests with 60 nodes.
func simSeeds(n uint64) uint64 {
	if raceEnabled {
		return 1
	}
	return n
}

// TestHistories guards against more requests than the cap's bound in any window of
// 5 s, under partitions, kills, restarts, a loss of power, freezes, and lost and late
// datagrams.
func TestHistories(t *testing.T) {
	count := historyCount()
	// The collector would take half of the time.
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(256 << 20))
	var next, failed atomic.Uint64
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for {
				seed := next.Add(1)
				if seed > count || failed.Load() > 10 {
					return
				}
				if most, bound, text := history(seed); most > bound {
					failed.Add(1)
					t.Errorf("seed %d: %d requests in 5 s, the bound is %d: %s", seed, most, bound, text)
				}
			}
		})
	}
	group.Wait()
}

// TestLargeHistories guards against the same with 60 nodes, the largest cap of
// deployment A and demand of 3.75 times the cap, in the faults that its platform makes,
// and against refusals by the thousand after a fault has ended.
func TestLargeHistories(t *testing.T) {
	for kind, name := range []string{"power lost", "half killed", "one restarted", "nodes frozen", "one cut off", "a third cut off", "regions cut off", "side restarted"} {
		for seed := range simSeeds(3) {
			for _, rate := range []float64{239, 1} {
				s := newSim(seed, fleet60(Cap{rate, rate}, true))
				s.demand(3.75*rate, func() int { return s.rand.IntN(60) })
				s.runFor(3 * time.Second)
				s.randomFault(kind)
				s.runFor(17 * time.Second)
				before := len(s.spent)
				s.runFor(20 * time.Second)
				served := float64(len(s.spent)-before) / (rate * 20)
				t.Logf("%s, rate %g: %d of %d in 5 s, %.2f of the cap served afterwards", name, rate, s.most(5*time.Second), s.bound(), served)
				if s.most(5*time.Second) > s.bound() {
					t.Errorf("%s, rate %g, seed %d: %d requests in 5 s, the bound is %d", name, rate, seed, s.most(5*time.Second), s.bound())
				}
				if served < 0.9 {
					t.Errorf("%s, rate %g, seed %d: %.2f of the cap served 20 s after the fault, expected 0.9", name, rate, seed, served)
				}
			}
		}
	}
}

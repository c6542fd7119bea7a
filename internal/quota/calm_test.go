package quota

import (
	"math"
	"testing"
	"time"
)

// zipf returns a chooser of nodes whose weights fall with their number.
func zipf(s *sim) func() int {
	total := 0.0
	weights := make([]float64, len(s.nodes))
	for i := range weights {
		weights[i] = 1 / math.Pow(float64(i+1), 1.2)
		total += weights[i]
	}
	return func() int {
		x := s.rand.Float64() * total
		for i, w := range weights {
			if x -= w; x < 0 {
				return i
			}
		}
		return 0
	}
}

// fleet60 is the fleet of deployment A.
func fleet60(c Cap, settled bool) simOptions {
	return simOptions{nodes: 60, regions: 3, cap: c, otherRegion: 20 * time.Millisecond, settled: settled}
}

// TestServesTheCap guards against a cap that the fleet doesn't use up: without faults,
// demand of 1.5 times the cap must be served to 0.97 of it, wherever it arrives.
func TestServesTheCap(t *testing.T) {
	for _, rate := range []float64{2, 46, 239} {
		for name, pattern := range map[string]func(s *sim) func() int{
			"even":     func(s *sim) func() int { return func() int { return s.rand.IntN(60) } },
			"skewed":   zipf,
			"one node": func(*sim) func() int { return func() int { return 7 } },
			"one region": func(s *sim) func() int {
				return func() int { return 3 * s.rand.IntN(20) }
			},
			"one node at a time": func(s *sim) func() int {
				return func() int { return int(s.now/(400*time.Millisecond)) % 60 }
			},
			"moving": func(s *sim) func() int {
				return func() int { return (int(s.now/(2*time.Second)) + s.rand.IntN(5)) % 60 }
			},
		} {
			s := newSim(1, fleet60(Cap{rate, rate}, true))
			s.demand(1.5*rate, pattern(s))
			s.runFor(10 * time.Second) // spends the burst
			before, messages, demanded := len(s.spent), s.messages, s.demanded
			// Over fewer tokens, the levels of the parts at both ends of the span decide.
			span := max(60, 1200/rate)
			s.runFor(time.Duration(span) * time.Second)
			served := float64(len(s.spent)-before) / (rate * span)
			t.Logf("rate %g, %s: %.3f of the cap served, %.2f messages a request", rate, name, served, float64(s.messages-messages)/float64(s.demanded-demanded))
			if served < 0.97 || served > 1.03 {
				t.Errorf("rate %g, %s: %.3f of the cap served, expected 0.97 to 1.03", rate, name, served)
			}
		}
	}
}

// TestBelowTheCap guards against refusals of organisations that stay below their cap,
// in calm and while single things fail. A request may be refused only where a bucket
// for the whole fleet would refuse it, or once in 200 requests.
func TestBelowTheCap(t *testing.T) {
	faults := map[string]func(s *sim){
		"calm":         func(*sim) {},
		"owner killed": func(s *sim) { s.kill(s.byAddress(s.nodes[0].fleet.current().owner(0, 0))) },
		"owner killed and started": func(s *sim) {
			n := s.byAddress(s.nodes[0].fleet.current().owner(0, 0))
			s.kill(n)
			s.after(2*time.Second, func() { s.start(n) })
		},
		"region lost": func(s *sim) {
			s.fault(func() {
				for i, n := range s.nodes {
					if i%3 == 2 {
						n.up = false
						n.epoch++
					}
				}
			})
		},
		"datagrams lost": func(s *sim) { s.options.loss = 0.02 },
	}
	for name, fault := range faults {
		for _, rate := range []float64{1, 2, 3, 28, 239} {
			s := newSim(1, fleet60(Cap{rate, rate}, true))
			ideal := &idealBucket{cap: s.options.cap, level: rate, at: s.now}
			s.demand(0.5*rate, func() int { return ideal.count(s, s.rand.IntN(60)) })
			s.runFor(5 * time.Second)
			fault(s)
			s.runFor(60 * time.Second)
			allowed := ideal.refused + s.demanded/200
			if name != "calm" {
				allowed += 1
			}
			t.Logf("%s, rate %g: %d of %d requests refused, %d by a bucket of the whole fleet", name, rate, s.refused+s.starting, s.demanded, ideal.refused)
			if s.refused+s.starting > allowed {
				t.Errorf("%s, rate %g: %d of %d requests refused, expected at most %d", name, rate, s.refused+s.starting, s.demanded, allowed)
			}
		}
	}
}

// TestFleetStart guards against refusals of organisations below their cap while a
// fleet starts: callers come as soon as a node has joined. A bucket of the whole fleet
// that starts empty is the measure: after a loss of power a full one would grant the
// burst twice.
func TestFleetStart(t *testing.T) {
	for seed := range simSeeds(10) {
		for _, rate := range []float64{1, 2, 28, 239} {
			s := newSim(seed, fleet60(Cap{rate, rate}, false))
			for _, n := range s.nodes {
				s.after(s.between(0, 500*time.Millisecond), func() { s.start(n) })
			}
			ideal := &idealBucket{cap: s.options.cap}
			s.demand(0.5*rate, func() int {
				for {
					n := s.nodes[s.rand.IntN(len(s.nodes))]
					if n.joinedAt <= s.now || s.now < 400*time.Millisecond {
						return ideal.count(s, n.index)
					}
				}
			})
			s.runFor(20 * time.Second)
			t.Logf("rate %g: %d of %d requests refused, %d while the fleet started", rate, s.refused+s.starting, s.demanded, s.starting)
			if s.refused+s.starting > ideal.refused+s.demanded/200 {
				t.Errorf("rate %g, seed %d: %d of %d requests refused and %d while the fleet started, expected at most %d", rate, seed, s.refused, s.demanded, s.starting, ideal.refused+s.demanded/200)
			}
		}
	}
}

// idealBucket is one token bucket for the whole fleet.
type idealBucket struct {
	cap     Cap
	level   float64
	at      time.Duration
	refused int
}

// count takes a token for a request at node.
func (b *idealBucket) count(s *sim, node int) int {
	b.level = min(b.cap.Burst, b.level+b.cap.RatePerS*(s.now-b.at).Seconds())
	b.at = s.now
	switch {
	case !s.nodes[node].up:
	case b.level < 1:
		b.refused++
	default:
		b.level--
	}
	return node
}

package quota

import (
	"testing"
	"time"
)

// patterns are ways in which demand is spread over 60 nodes.
var patterns = map[string]func(s *sim) func() int{
	"even":     func(s *sim) func() int { return func() int { return s.rand.IntN(60) } },
	"skewed":   zipf,
	"one node": func(*sim) func() int { return func() int { return 7 } },
}

// maxMessagesARefusal are the messages and replies that a refused request may cost, by
// the rate of the cap. Callers of a small organisation rarely meet a node that has refused
// one of them before.
var maxMessagesARefusal = map[float64]float64{2: 3.6, 46: 0.45, 239: 0.35}

// TestBeyondTheCap guards against refusals that cost the fleet messages, and against a cap
// that isn't used up because nodes remember for too long that a part was empty: demand is
// 7.5 times the cap, and refused callers come back once, a fifth of them immediately.
func TestBeyondTheCap(t *testing.T) {
	for rate, limit := range maxMessagesARefusal {
		for name, pattern := range patterns {
			s := newSim(1, fleet60(Cap{rate, rate}, true))
			s.onRefused = func(retryAfter time.Duration) {
				if s.rand.IntN(5) == 0 {
					retryAfter = 0
				}
				s.comeBack(retryAfter)
			}
			s.demand(7.5*rate, pattern(s))
			s.runFor(10 * time.Second) // spends the burst
			before, messages, refused := len(s.spent), s.messages, s.refused
			const span = 30
			s.runFor(span * time.Second)
			served := float64(len(s.spent)-before) / (rate * span)
			cost := float64(s.messages-messages) / float64(s.refused-refused)
			t.Logf("rate %g, %s: %.3f of the cap served, %.2f messages a refused request", rate, name, served, cost)
			if served < 0.97 || served > 1.03 || cost > limit {
				t.Errorf("rate %g, %s: %.3f of the cap served and %.2f messages a refused request, expected 0.97 to 1.03 and at most %.2f", rate, name, served, cost, limit)
			}
		}
	}
}

// TestReturnsWithinTheCap guards against Retry-After times that bring refused callers back
// when the cap has no room, or later than it has: a crowd of 7.5 times the cap comes within
// a second, and those refused come back as told.
func TestReturnsWithinTheCap(t *testing.T) {
	const seeds = 5
	for _, rate := range []float64{2, 46, 239} {
		for name, pattern := range patterns {
			served, allowed := 0, 0.0
			for seed := range uint64(seeds) {
				s := newSim(seed, fleet60(Cap{rate, rate}, true))
				s.onRefused = s.comeBack
				choose := pattern(s)
				for range int(7.5 * rate) {
					s.after(s.between(0, time.Second), func() { s.nodes[choose()].request() })
				}
				s.runFor(7 * time.Second)
				served += s.servedReturns
				// The cap has room for rate requests a second while callers come back.
				allowed += min(rate*maxRetryAfter.Seconds(), float64(s.returned))
			}
			t.Logf("rate %g, %s: %d returns served, the cap allows %.0f", rate, name, served, allowed)
			if float64(served) < 0.9*allowed {
				t.Errorf("rate %g, %s: %d returns served, expected 0.9 of %.0f", rate, name, served, allowed)
			}
		}
	}
}

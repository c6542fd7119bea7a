package quota

import (
	"slices"
	"time"
)

// CapStatus is what a node knows about an organisation's cap.
type CapStatus struct {
	Cap Cap
	// Held is the number of tokens that this node holds.
	Held int
	// OwnsPart reports whether the node owns a part of the cap, in which PartTokens are
	// left.
	OwnsPart   bool
	PartTokens float64
	// DemandPerS is the number of requests a second of this node, recently.
	DemandPerS float64
	// Refused reports whether a request would be refused now, without asking an owner.
	// RetryAfter is then the time until a token is expected.
	Refused    bool
	RetryAfter time.Duration
}

// Peek returns the status of an organisation's cap without taking a token. It returns
// false if the organisation has no cap.
func (m *Manager) Peek(organisation string) (CapStatus, bool) {
	c, ok := m.caps.Load().caps[organisation]
	if !ok {
		return CapStatus{}, false
	}
	s, p, now := m.shardOf(organisation), m.placement.Load(), time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	h := holder{organisation: organisation, slot: p.slot(organisation), cap: c, limits: m.options.Limits}
	if known := s.holders[organisation]; known != nil {
		h = known.copy()
	}
	h.numbers = func() uint64 { return 0 } // the messages of the copy aren't sent
	status := CapStatus{Cap: c, Held: h.held(now)}
	if now.Sub(h.demandAt) < idleTime {
		status.DemandPerS = h.demand
	}
	if held, active := p.active(h.slot, now); active {
		h.bucket.refill(now, p, held, h.cap, h.limits)
		status.OwnsPart, status.PartTokens = true, h.bucket.level
	}
	var e effects
	waiter := s.waiter + 1 // no request that waits has this number
	h.acquire(now, p, waiter, &e)
	for _, r := range e.results {
		if r.waiter == waiter && !r.ok && !r.starting {
			status.Refused, status.RetryAfter = true, r.retryAfter
		}
	}
	return status, true
}

// copy returns a holder whose steps don't change h. The asks of its parts are shared with h,
// so steps of the copy may only replace part.ask; timeout changes the ask itself and must not
// be called on a copy.
func (h *holder) copy() holder {
	c := *h
	c.tokens = slices.Clone(h.tokens)
	c.waiters = slices.Clone(h.waiters)
	c.parts = slices.Clone(h.parts)
	c.bucket.repeats = slices.Clone(h.bucket.repeats)
	return c
}

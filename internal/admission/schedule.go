package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// honouredDivisor: callers wait as told up to this part of the time that they have left.
	honouredDivisor = 3
	// earlyReturn and lateReturn bound the return of a request around its place: timers and
	// connections of callers, and the entry's questions before the request reaches the gate.
	earlyReturn = 20 * time.Millisecond
	lateReturn  = 100 * time.Millisecond
	// maxPlaces bounds the places of a gate: a second at 1,000 places a second.
	maxPlaces = 1000
	// maxScheduledWait bounds the time ahead for which places are given, and about the wait
	// told to callers without one: demand 5 s ahead can't be foreseen.
	maxScheduledWait = 5 * time.Second
)

// placeKey is what a request has in common with its return.
type placeKey struct {
	class        int
	organisation string
	fingerprint  uint64
}

func placeKeyOf(r *Request) placeKey { return placeKey{r.Class, r.Organisation, r.Fingerprint} }

// place is a promise to a request that was refused.
type place struct {
	at  time.Time
	key placeKey
}

// PlaceCounts are the numbers of places of a schedule since its start.
type PlaceCounts struct {
	// Promised counts the places booked, Kept those whose request was admitted, and Missed
	// those that passed unused.
	Promised, Kept, Missed uint64
}

// Schedule promises capacity to come to requests that are refused now. A place is the right
// to go before requests of the same class and organisation that have none, so one that
// isn't used leaves no slot idle. Requests of higher classes take no account of it. It isn't
// safe for concurrent use.
type Schedule struct {
	// interval is the time between two places; zero: none are given.
	interval time.Duration
	places   []place
	byKey    map[placeKey]int  // number of places
	latest   map[int]time.Time // the latest place by class
	counts   PlaceCounts
}

// SetRate sets the number of places a second; zero: none are given.
func (s *Schedule) SetRate(perSecond float64) {
	s.interval = 0
	if perSecond > 0 {
		s.interval = time.Duration(float64(time.Second) / perSecond)
	}
}

// Counts returns the numbers of places.
func (s *Schedule) Counts(now time.Time) PlaceCounts {
	s.expire(now)
	return s.counts
}

// next returns the first place of a class after those promised to it and to higher ones.
func (s *Schedule) next(now time.Time, class int) time.Time {
	at := now.Add(minRetryAfter)
	for other, latest := range s.latest {
		if after := latest.Add(s.interval); other >= class && after.After(at) {
			at = after
		}
	}
	return at
}

// honoured returns the longest wait that the caller of a request honours, up to
// maxScheduledWait.
func honoured(now time.Time, r *Request) time.Duration {
	return min(r.Deadline.Sub(now)/honouredDivisor, maxScheduledWait)
}

// lastUsable returns the time of the last place that is of use to a request: its caller
// waits for it, and its target can still be met. A request that can't meet its target
// anyway takes what its caller waits for.
func lastUsable(now time.Time, r *Request) time.Time {
	usable := now.Add(honoured(now, r))
	onTime := r.Target.Add(-r.ServiceTime * minTimeToTargetPercent / 100)
	if onTime.Before(usable) && onTime.After(now.Add(minRetryAfter)) {
		return onTime
	}
	return usable
}

// Book promises the next place to a request that is refused, if it is of use, and returns
// the time until it. Otherwise nothing is promised, and it returns the wait of Later.
func (s *Schedule) Book(now time.Time, r Request) (wait time.Duration, booked bool) {
	if s.interval <= 0 {
		return 0, false
	}
	if wait, isLater := s.Later(now, r); isLater {
		return wait, false
	}
	if s.byKey == nil {
		s.byKey, s.latest = make(map[placeKey]int), make(map[int]time.Time)
	}
	at, key := s.next(now, r.Class), placeKeyOf(&r)
	s.latest[r.Class] = at
	s.places = append(s.places, place{at, key})
	s.byKey[key]++
	s.counts.Promised++
	return at.Sub(now), true
}

// Later reports whether no place of use is left for a refused request. The wait to suggest
// is then at least the time until the next place and longer than its caller honours, with a
// random addition of up to half, so that callers refused together don't return together.
func (s *Schedule) Later(now time.Time, r Request) (wait time.Duration, isLater bool) {
	if s.interval <= 0 {
		return 0, false
	}
	s.expire(now)
	at := s.next(now, r.Class)
	if !at.After(lastUsable(now, &r)) && len(s.places) < maxPlaces {
		return 0, false
	}
	wait = max(at.Sub(now), honoured(now, &r)+minRetryAfter)
	return wait + rand.N(wait/2), true
}

// isDue reports whether the place is due now.
func (p *place) isDue(now time.Time) bool {
	return !now.Before(p.at.Add(-earlyReturn)) && !p.hasPassed(now)
}

func (p *place) hasPassed(now time.Time) bool { return now.After(p.at.Add(lateReturn)) }

// find returns the index of a request's place that is due now, or -1.
func (s *Schedule) find(now time.Time, r *Request) int {
	key := placeKeyOf(r)
	if s.byKey[key] == 0 {
		return -1
	}
	for i := range s.places {
		if s.places[i].key == key && s.places[i].isDue(now) {
			return i
		}
	}
	return -1
}

// use removes the place at an index, which the request has used.
func (s *Schedule) use(i int) {
	s.counts.Kept++
	s.forget(s.places[i].key)
	s.places = append(s.places[:i], s.places[i+1:]...)
}

func (s *Schedule) forget(key placeKey) {
	if s.byKey[key]--; s.byKey[key] == 0 {
		delete(s.byKey, key)
	}
}

// reserved returns the number of places of the class and organisation of a request that come
// due within a time or are due already.
func (s *Schedule) reserved(now time.Time, within time.Duration, r *Request) int {
	if len(s.places) == 0 {
		return 0
	}
	s.expire(now)
	n, end := 0, now.Add(within)
	for i := range s.places {
		if p := &s.places[i]; p.key.class == r.Class && p.key.organisation == r.Organisation && !p.at.After(end) {
			n++
		}
	}
	return n
}

// expire removes the places that have passed unused.
func (s *Schedule) expire(now time.Time) {
	kept := s.places[:0]
	for i := range s.places {
		if !s.places[i].hasPassed(now) {
			kept = append(kept, s.places[i])
			continue
		}
		s.counts.Missed++
		s.forget(s.places[i].key)
	}
	s.places = kept
}

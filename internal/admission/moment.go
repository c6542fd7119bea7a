package admission

import "time"

const (
	// usualSlowness is the slowness of a server that works as usual, percent.
	usualSlowness = 100
	// momentAge is the age at which a report of slowness no longer says anything:
	// a third of a slow moment of some hundred milliseconds.
	momentAge = 100 * time.Millisecond
	// firstMoment is the expected length of a slow moment before one was seen to end.
	firstMoment = 200 * time.Millisecond
	// momentWeight is the weight of the newest slow moment in their mean length.
	momentWeight = 0.2
	// calmTime is how long the reports must have been the same for the slowness to
	// count as constant.
	calmTime = 10 * time.Second
)

// Moment is how fast a server works for the requests that begin now. A request
// keeps the speed of its beginning to its end.
type Moment struct {
	// Stretch is the factor on the usual time of a request; 1: as usual.
	Stretch float64
	// Relief is the expected time until the server works as usual again.
	Relief time.Duration
}

// usualMoment is that of a server of which nothing else is known.
var usualMoment = Moment{Stretch: 1}

// Moments follows how fast a server's machine works from the server's reports. It
// answers machines shared with others, which are several times slower for some
// hundred milliseconds at a time. It isn't safe for concurrent use.
type Moments struct {
	slowness uint32
	at       time.Time
	changed  time.Time
	// slowSince is when the present slow moment was first seen; zero: none.
	slowSince time.Time
	length    time.Duration
}

// Note takes a report of the slowness, percent; zero: the server doesn't tell.
func (m *Moments) Note(now time.Time, slowness uint32) {
	if slowness == 0 {
		return
	}
	if m.slowness != 0 && slowness != m.slowness {
		m.changed = now
	}
	wasSlow := m.slowness > usualSlowness
	m.slowness, m.at = slowness, now
	switch isSlow := slowness > usualSlowness; {
	case isSlow && !wasSlow:
		m.slowSince = now
	case !isSlow && wasSlow:
		m.learnLength(now.Sub(m.slowSince))
		m.slowSince = time.Time{}
	}
}

func (m *Moments) learnLength(length time.Duration) {
	if m.length == 0 {
		m.length = length
		return
	}
	m.length += time.Duration(momentWeight * float64(length-m.length))
}

// Slowness is the last report, percent; zero: none yet.
func (m *Moments) Slowness() uint32 { return m.slowness }

// Age is the time since the last report.
func (m *Moments) Age(now time.Time) time.Duration { return now.Sub(m.at) }

// Varies says whether the slowness changed lately, so that a fresh report is worth
// asking for.
func (m *Moments) Varies(now time.Time) bool {
	return !m.changed.IsZero() && now.Sub(m.changed) < calmTime
}

// Now returns the moment. A slow moment is expected to last as long as the mean of
// those before, or as long again as it already has: one that outlasts the others is
// likely to be a lasting change.
func (m *Moments) Now(now time.Time) Moment {
	if m.slowness <= usualSlowness || m.Age(now) > momentAge {
		return usualMoment
	}
	length := m.length
	if length == 0 {
		length = firstMoment
	}
	return Moment{
		Stretch: float64(m.slowness) / usualSlowness,
		Relief:  max(length, now.Sub(m.slowSince)),
	}
}

package admission

import "time"

const (
	// normalSlownessPercent is the slowness reported by a server that works at its
	// normal speed.
	normalSlownessPercent = 100
	// maxReportAge is the age above which a slowness report is ignored: a third of a
	// slowdown of some hundred milliseconds.
	maxReportAge = 100 * time.Millisecond
	// defaultSlowdownDuration is the expected length of a slowdown before the end
	// of one has been observed.
	defaultSlowdownDuration = 200 * time.Millisecond
	// durationSampleWeight is the weight of the latest slowdown in the moving
	// average of their durations.
	durationSampleWeight = 0.2
	// stabilityPeriod is how long the reported slowness must stay the same to count
	// as constant.
	stabilityPeriod = 10 * time.Second
)

// Slowdown is how much slower than normal a server works for the requests that
// start now. A request keeps the speed at which it started until it ends.
type Slowdown struct {
	// Factor is the multiple of a request's normal service time; 1 at normal speed.
	Factor float64
	// Remaining is the expected time until the server works at normal speed again.
	Remaining time.Duration
}

// noSlowdown is assumed for a server of which nothing else is known.
var noSlowdown = Slowdown{Factor: 1}

// SlowdownTracker follows the speed of a server's machine from the server's
// reports. It is meant for machines shared with other workloads, which are several
// times slower for some hundred milliseconds at a time. It isn't safe for
// concurrent use.
type SlowdownTracker struct {
	// slowness is the last reported slowness in percent; zero: none yet.
	slowness   uint32
	reportedAt time.Time
	changedAt  time.Time
	// slowSince is when the present slowdown was first reported; zero: none.
	slowSince time.Time
	// duration is the moving average of the durations of past slowdowns; zero: none
	// has ended yet.
	duration time.Duration
}

// Record adds a report of the server's slowness in percent; zero: the server
// doesn't report it.
func (t *SlowdownTracker) Record(now time.Time, slowness uint32) {
	if slowness == 0 {
		return
	}
	if t.slowness != 0 && slowness != t.slowness {
		t.changedAt = now
	}
	wasSlow := t.slowness > normalSlownessPercent
	t.slowness, t.reportedAt = slowness, now
	switch isSlow := slowness > normalSlownessPercent; {
	case isSlow && !wasSlow:
		t.slowSince = now
	case !isSlow && wasSlow:
		t.recordDuration(now.Sub(t.slowSince))
		t.slowSince = time.Time{}
	}
}

func (t *SlowdownTracker) recordDuration(duration time.Duration) {
	if t.duration == 0 {
		t.duration = duration
		return
	}
	t.duration += time.Duration(durationSampleWeight * float64(duration-t.duration))
}

// Slowness returns the last reported slowness in percent; zero: none yet.
func (t *SlowdownTracker) Slowness() uint32 { return t.slowness }

// ReportAge returns the time since the last report.
func (t *SlowdownTracker) ReportAge(now time.Time) time.Duration { return now.Sub(t.reportedAt) }

// ChangedRecently reports whether the slowness changed within the stability period,
// so that a fresh report is worth requesting.
func (t *SlowdownTracker) ChangedRecently(now time.Time) bool {
	return !t.changedAt.IsZero() && now.Sub(t.changedAt) < stabilityPeriod
}

// Now returns the present slowdown. It is expected to last as long as the average
// of the earlier ones, or as long again as it already has: one that outlasts the
// others is likely to be a lasting change.
func (t *SlowdownTracker) Now(now time.Time) Slowdown {
	if t.slowness <= normalSlownessPercent || t.ReportAge(now) > maxReportAge {
		return noSlowdown
	}
	duration := t.duration
	if duration == 0 {
		duration = defaultSlowdownDuration
	}
	return Slowdown{
		Factor:    float64(t.slowness) / normalSlownessPercent,
		Remaining: max(duration, now.Sub(t.slowSince)),
	}
}

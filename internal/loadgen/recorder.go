package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/egretfield/egretfield/internal/pb"
)

// Range and precision of the histograms.
const (
	lowestLatency     = int64(time.Microsecond)
	highestLatency    = int64(10 * time.Minute)
	significantDigits = 3
	// Interval histograms are less precise, because a run has many of them.
	intervalSignificantDigits = 2

	intervalDuration = time.Second
)

func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency, highestLatency, digits)
}

// record adds d to h, clamped to the range of the histogram.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(int64(d), lowestLatency), highestLatency))
}

func latencyOf(h *hdrhistogram.Histogram) *pb.Latency {
	if h.TotalCount() == 0 {
		return &pb.Latency{}
	}
	at := func(quantile float64) float64 { return microseconds(h.ValueAtQuantile(quantile)) }
	return &pb.Latency{
		Count:  uint32(h.TotalCount()),
		P50Us:  at(50),
		P90Us:  at(90),
		P99Us:  at(99),
		P999Us: at(99.9),
		MaxUs:  microseconds(h.Max()),
		MeanUs: h.Mean() / float64(time.Microsecond),
	}
}

func microseconds(ns int64) float64 {
	return float64(ns) / float64(time.Microsecond)
}

// kindStats counts the operations of one kind.
type kindStats struct {
	result  pb.KindResult
	latency *hdrhistogram.Histogram
	// refusals are the latencies of answers certified not run.
	refusals *hdrhistogram.Histogram
}

// intervalStats counts the operations whose intended time of sending is in one
// interval. unknown includes failed operations; wrong ones are only in sent.
type intervalStats struct {
	sent, answered, refused, unknown uint32
	latency                          *hdrhistogram.Histogram
}

// recorder counts results. It is safe for concurrent use.
type recorder struct {
	mu        sync.Mutex
	kinds     map[Kind]*kindStats
	intervals []*intervalStats
	// attemptsByReason counts the attempts without a complete answer by reason, also
	// those that weren't refused.
	attemptsByReason map[string]uint32
	lateness         *hdrhistogram.Histogram
	skipped          uint32
	// slowThreshold is the latency above which an answered operation counts as
	// affected; 0: never.
	slowThreshold time.Duration
	affected      *pb.Affected
}

func newRecorder(slowThreshold time.Duration) *recorder {
	return &recorder{
		kinds:            map[Kind]*kindStats{},
		attemptsByReason: map[string]uint32{},
		lateness:         newHistogram(significantDigits),
		slowThreshold:    slowThreshold,
	}
}

func (r *recorder) kind(kind Kind) *kindStats {
	k := r.kinds[kind]
	if k == nil {
		k = &kindStats{latency: newHistogram(significantDigits), refusals: newHistogram(significantDigits)}
		k.result.Kind = string(kind)
		r.kinds[kind] = k
	}
	return k
}

func (r *recorder) interval(at time.Duration) *intervalStats {
	index := int(at / intervalDuration)
	for len(r.intervals) <= index {
		r.intervals = append(r.intervals, &intervalStats{latency: newHistogram(intervalSignificantDigits)})
	}
	return r.intervals[index]
}

// countSkipped counts an operation that was not sent.
func (r *recorder) countSkipped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.skipped++
}

// countResend counts the result of an attempt that isn't the operation's last.
func (r *recorder) countResend(kind Kind, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kind(kind).result.Resent++
	r.attemptsByReason[result.Reason]++
}

// recordRefusal records the latency of an answer certified not run, of any
// attempt.
func (r *recorder) recordRefusal(kind Kind, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.kind(kind).refusals, latency)
}

// recordOperation counts an operation by its last result. at is the intended
// time of sending, lateBy the delay until it was sent, total the time from the
// intended sending to the end of the answer.
func (r *recorder) recordOperation(kind Kind, at, lateBy, total time.Duration, result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.lateness, lateBy)
	if result.Outcome != OutcomeAnswered || r.slowThreshold > 0 && total > r.slowThreshold {
		r.countAffected(at)
	}
	k, i := r.kind(kind), r.interval(at)
	k.result.Sent++
	i.sent++
	if result.Outcome != OutcomeAnswered {
		r.attemptsByReason[result.Reason]++
	}
	switch result.Outcome {
	case OutcomeAnswered:
		k.result.Answered++
		i.answered++
		record(k.latency, total)
		record(i.latency, total)
	case OutcomeNotRun:
		k.result.Refused++
		i.refused++
	case OutcomeUnknown:
		k.result.Unknown++
		i.unknown++
	case OutcomeFailed:
		k.result.Failed++
		i.unknown++
	case OutcomeWrong:
		k.result.Wrong++
	}
}

// countAffected counts an operation without a complete answer or with a slow one.
func (r *recorder) countAffected(at time.Duration) {
	if r.affected == nil {
		r.affected = &pb.Affected{FirstS: at.Seconds(), LastS: at.Seconds()}
	}
	r.affected.Operations++
	r.affected.FirstS = min(r.affected.FirstS, at.Seconds())
	r.affected.LastS = max(r.affected.LastS, at.Seconds())
}

// fill writes the counts into the result of a run.
func (r *recorder) fill(run *pb.LoadRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, kind := range Kinds {
		if k := r.kinds[kind]; k != nil {
			k.result.Latency = latencyOf(k.latency)
			k.result.RefusalLatency = latencyOf(k.refusals)
			run.Kinds = append(run.Kinds, &k.result)
		}
	}
	for index, i := range r.intervals {
		latency := latencyOf(i.latency)
		run.Intervals = append(run.Intervals, &pb.Interval{
			AtS:  float64(index) * intervalDuration.Seconds(),
			Sent: i.sent, Answered: i.answered, Refused: i.refused, Unknown: i.unknown,
			P50Us: latency.GetP50Us(), P99Us: latency.GetP99Us(),
		})
	}
	run.Refusals = r.attemptsByReason
	run.Affected = r.affected
	run.Generator.Lateness = latencyOf(r.lateness)
	run.Generator.Skipped = r.skipped
}

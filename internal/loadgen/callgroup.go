package loadgen

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// turnDuration is how long a closed loop makes the calls of one group before it
	// switches to the next.
	turnDuration = 250 * time.Millisecond
	// blockCount is the number of blocks of equal length that a run is divided
	// into, for medians over the blocks.
	blockCount = 10
)

// callGroup collects the results of the direct, the control or the routed calls
// of a run. nextTarget and record are safe for concurrent use.
type callGroup struct {
	targets []Target
	next    atomic.Uint64
	// activeTime is the total duration of its turns in a closed loop.
	activeTime time.Duration

	mu      sync.Mutex
	latency [blockCount]*hdrhistogram.Histogram
	// failed counts the calls that were neither answered nor wrong.
	failed uint32
	wrong  uint32
}

func newCallGroup(targets []Target) *callGroup {
	g := &callGroup{targets: targets}
	for i := range g.latency {
		g.latency[i] = newHistogram(significantDigits)
	}
	return g
}

// nextTarget returns the targets in round-robin order.
func (g *callGroup) nextTarget() Target {
	return g.targets[g.next.Add(1)%uint64(len(g.targets))]
}

func (g *callGroup) record(result Result, block int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch result.Outcome {
	case OutcomeAnswered:
		record(g.latency[block], result.Latency)
	case OutcomeWrong:
		g.wrong++
	default:
		g.failed++
	}
}

// answeredCount returns the number of calls with a complete answer.
func (g *callGroup) answeredCount() int64 {
	count := int64(0)
	for _, h := range g.latency {
		count += h.TotalCount()
	}
	return count
}

// totalLatency returns the latency over all blocks.
func (g *callGroup) totalLatency() *pb.Latency {
	all := newHistogram(significantDigits)
	for _, h := range g.latency {
		all.Merge(h)
	}
	return latencyOf(all)
}

// callsPerSecond returns the number of calls with a complete answer per second
// of its turns.
func (g *callGroup) callsPerSecond() float64 {
	if g.activeTime <= 0 {
		return 0
	}
	return float64(g.answeredCount()) / g.activeTime.Seconds()
}

// medianAdded returns the medians, over the blocks, of the differences between
// two groups' p50 and p99, in microseconds. Blocks in which a group has no answer
// are left out. A disturbance that affects only a few blocks doesn't change the
// medians.
func medianAdded(slower, faster *callGroup) (p50, p99 float64) {
	p50s, p99s := []float64{}, []float64{}
	for i := range blockCount {
		a, b := latencyOf(slower.latency[i]), latencyOf(faster.latency[i])
		if a.GetCount() == 0 || b.GetCount() == 0 {
			continue
		}
		p50s = append(p50s, a.GetP50Us()-b.GetP50Us())
		p99s = append(p99s, a.GetP99Us()-b.GetP99Us())
	}
	return median(p50s), median(p99s)
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}

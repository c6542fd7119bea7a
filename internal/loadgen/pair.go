package loadgen

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"github.com/egretfield/egretfield/internal/pb"
)

// PairOptions configure a run of paired calls.
type PairOptions struct {
	// Direct are the addresses of backend servers, Routed those of nodes.
	Direct []Target
	Routed []Target
	// Traffic describes the operations of all calls.
	Traffic  *pb.Traffic
	Duration time.Duration
	// Rate is the number of pairs per second, each with a direct, a control and a
	// routed call; not used with Workers.
	Rate float64
	// Workers, if above zero, is the number of workers of a closed loop, which
	// make the direct, control and routed calls in turns.
	Workers int
	Timeout time.Duration
	// Warmup is the time of calls that aren't counted, before the measurement.
	Warmup time.Duration
	Seed   uint64
	// Pids are the processes whose CPU time is reported.
	Pids []int
}

// pairRunner performs one run of paired calls.
type pairRunner struct {
	options PairOptions
	sender  Sender
	mix     *Mix
	random  *rand.Rand
	sleep   func(time.Duration)
	// control repeats the direct calls; its difference from direct is the noise
	// of the measurement.
	direct, control, routed *callGroup

	mu         sync.Mutex
	difference *hdrhistogram.Histogram
	lateness   *hdrhistogram.Histogram
}

// RunPairs makes direct and routed calls in one run, so that both meet the same
// state of the machine. A second group of direct calls, the control, shows the
// noise of the measurement.
func RunPairs(ctx context.Context, options PairOptions) (*pb.PairRun, error) {
	if options.Timeout <= 0 {
		options.Timeout = defaultTimeout
	}
	caller := NewCaller(options.Timeout, 1)
	defer caller.Close()
	p, err := newPairRunner(options, caller)
	if err != nil {
		return nil, err
	}
	if err := p.warmUp(ctx); err != nil {
		return nil, err
	}
	costs, err := newProcessCosts(options.Pids)
	if err != nil {
		return nil, err
	}
	start, cpu, dialled := time.Now(), cpuTime(), caller.dialled.Load()
	p.run(ctx)
	run := p.result(start)
	calls := run.GetDirect().GetCount() + run.GetControl().GetCount() + run.GetRouted().GetCount()
	run.Generator.CpuUs = microseconds(int64(cpuTime()-cpu)) / float64(max(1, calls))
	run.Generator.Connections = uint32(caller.dialled.Load() - dialled)
	run.Generator.Reconnects = uint32(caller.reconnects.Load())
	run.Processes, err = costs.since(time.Since(start), run.GetRouted().GetCount())
	return run, err
}

func newPairRunner(options PairOptions, sender Sender) (*pairRunner, error) {
	if len(options.Direct) == 0 || len(options.Routed) == 0 {
		return nil, eris.New("direct and routed addresses are required")
	}
	if options.Duration <= 0 || options.Workers <= 0 && options.Rate <= 0 {
		return nil, eris.New("the duration, and the rate or the number of workers, must be above zero")
	}
	seed := max(1, options.Seed)
	mix, err := NewMix([]*pb.Traffic{options.Traffic}, seed)
	if err != nil {
		return nil, err
	}
	p := &pairRunner{
		options:    options,
		sender:     sender,
		mix:        mix,
		random:     rand.New(rand.NewPCG(seed, seed)),
		sleep:      preciseSleep,
		difference: newHistogram(significantDigits),
		lateness:   newHistogram(significantDigits),
	}
	p.reset()
	return p, nil
}

// reset discards the results so far.
func (p *pairRunner) reset() {
	p.direct, p.control, p.routed = newCallGroup(p.options.Direct), newCallGroup(p.options.Direct), newCallGroup(p.options.Routed)
	p.difference.Reset()
	p.lateness.Reset()
}

// warmUp makes calls that aren't counted. It fails unless both direct and
// routed calls were answered.
func (p *pairRunner) warmUp(ctx context.Context) error {
	if p.options.Warmup <= 0 {
		return nil
	}
	duration := p.options.Duration
	p.options.Duration = p.options.Warmup
	p.run(ctx)
	p.options.Duration = duration
	if direct, routed := p.direct.answeredCount(), p.routed.answeredCount(); direct == 0 || routed == 0 {
		return eris.Errorf("warm-up: want answers to direct and to routed calls, got %d and %d", direct, routed)
	}
	p.reset()
	return nil
}

func (p *pairRunner) run(ctx context.Context) {
	if p.options.Workers > 0 {
		p.closedLoop(ctx)
		return
	}
	p.openLoop(ctx)
}

// openLoop makes Rate pairs per second: one direct, one control and one routed
// call each, evenly spaced and in random order.
func (p *pairRunner) openLoop(ctx context.Context) {
	start := time.Now()
	groups := []*callGroup{p.direct, p.control, p.routed}
	spacing := seconds(1 / p.options.Rate / float64(len(groups)))
	wait := sync.WaitGroup{}
	defer wait.Wait()
	for pair := 0; ctx.Err() == nil; pair++ {
		at := seconds(float64(pair) / p.options.Rate)
		if at >= p.options.Duration {
			return
		}
		block := p.block(at)
		p.random.Shuffle(len(groups), func(i, j int) { groups[i], groups[j] = groups[j], groups[i] })
		results := make(chan groupResult, len(groups))
		for i, group := range groups {
			intended := start.Add(at + time.Duration(i)*spacing)
			p.sleep(time.Until(intended))
			o := p.mix.Next()
			wait.Go(func() { results <- p.call(ctx, group, o, block, intended) })
		}
		wait.Go(func() { p.recordDifference(<-results, <-results, <-results) })
	}
}

// block returns the index of the block that a time of the run falls into.
func (p *pairRunner) block(at time.Duration) int {
	return min(blockCount-1, int(blockCount*at/p.options.Duration))
}

type groupResult struct {
	callGroup *callGroup
	result    Result
}

func (p *pairRunner) call(ctx context.Context, group *callGroup, o *Operation, block int, intended time.Time) groupResult {
	lateBy := time.Since(intended)
	result := p.sender.Do(ctx, group.nextTarget(), o)
	group.record(result, block)
	p.mu.Lock()
	defer p.mu.Unlock()
	record(p.lateness, lateBy)
	return groupResult{callGroup: group, result: result}
}

// recordDifference records how much longer the routed call took than the direct
// one, if all calls of the pair were answered. A negative difference counts as
// lowestLatency.
func (p *pairRunner) recordDifference(results ...groupResult) {
	latencies := map[*callGroup]time.Duration{}
	for _, r := range results {
		if r.result.Outcome != OutcomeAnswered {
			return
		}
		latencies[r.callGroup] = r.result.Latency
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	record(p.difference, latencies[p.routed]-latencies[p.direct])
}

// closedLoop has all workers make the calls of one group at a time, in turns of
// random order.
func (p *pairRunner) closedLoop(ctx context.Context) {
	start := time.Now()
	groups := []*callGroup{p.direct, p.control, p.routed}
	for time.Since(start) < p.options.Duration && ctx.Err() == nil {
		p.random.Shuffle(len(groups), func(i, j int) { groups[i], groups[j] = groups[j], groups[i] })
		block := p.block(time.Since(start))
		for _, group := range groups {
			p.runTurn(ctx, group, block)
		}
	}
}

func (p *pairRunner) runTurn(ctx context.Context, group *callGroup, block int) {
	begin := time.Now()
	wait := sync.WaitGroup{}
	for range p.options.Workers {
		wait.Go(func() {
			for time.Since(begin) < turnDuration && ctx.Err() == nil {
				group.record(p.sender.Do(ctx, group.nextTarget(), p.nextOperation()), block)
			}
		})
	}
	wait.Wait()
	group.activeTime += time.Since(begin)
}

func (p *pairRunner) nextOperation() *Operation {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mix.Next()
}

func (p *pairRunner) result(start time.Time) *pb.PairRun {
	direct, control, routed := p.direct.totalLatency(), p.control.totalLatency(), p.routed.totalLatency()
	run := &pb.PairRun{
		StartUnixMs: start.UnixMilli(),
		DurationS:   time.Since(start).Seconds(),
		Rate:        p.options.Rate,
		Workers:     uint32(p.options.Workers),
		Direct:      direct,
		Control:     control,
		Routed:      routed,
		Difference:  latencyOf(p.difference),
		Failed:      p.direct.failed + p.control.failed + p.routed.failed,
		Wrong:       p.direct.wrong + p.control.wrong + p.routed.wrong,
		Generator:   &pb.GeneratorResult{Lateness: latencyOf(p.lateness)},

		AddedP50Us:  routed.GetP50Us() - direct.GetP50Us(),
		AddedP99Us:  routed.GetP99Us() - direct.GetP99Us(),
		AddedP999Us: routed.GetP999Us() - direct.GetP999Us(),
		NoiseP50Us:  control.GetP50Us() - direct.GetP50Us(),
		NoiseP99Us:  control.GetP99Us() - direct.GetP99Us(),
		NoiseP999Us: control.GetP999Us() - direct.GetP999Us(),
	}
	run.BlockAddedP50Us, run.BlockAddedP99Us = medianAdded(p.routed, p.direct)
	run.BlockNoiseP50Us, run.BlockNoiseP99Us = medianAdded(p.control, p.direct)
	if p.options.Workers > 0 {
		run.Rate = 0
		run.DirectCallsPerS, run.RoutedCallsPerS = p.direct.callsPerSecond(), p.routed.callsPerSecond()
		return run
	}
	run.DirectCallsPerS = float64(direct.GetCount()) / run.GetDurationS()
	run.RoutedCallsPerS = float64(routed.GetCount()) / run.GetDurationS()
	return run
}

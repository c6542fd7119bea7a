package loadgen

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/egretfield/egretfield/internal/pb"
)

const (
	defaultTimeout     = 5 * time.Second
	defaultMaxInFlight = 4096
	defaultResendDelay = 20 * time.Millisecond
)

// Sender performs one attempt of an operation.
type Sender interface {
	// Do sends the operation to target and returns the outcome once the attempt has
	// ended or ctx is done.
	Do(ctx context.Context, target Target, o *Operation) Result
}

// runner is one open-loop run.
type runner struct {
	experiment  *pb.Experiment
	sender      Sender
	mix         *Mix
	schedule    *Schedule
	targets     []Target
	sleep       func(time.Duration)
	applyFaults func(ctx context.Context, step *pb.Step) error

	recorder    *recorder
	ledger      ledger
	inFlight    atomic.Int64
	maxInFlight int64

	resendDelay time.Duration
	operations  sync.WaitGroup
	start       time.Time
	stepMarks   []*pb.StepMark
}

// Run performs an experiment: it sends the load, sets the faults of each step,
// collects the journals and determines the verdict. It fails if the experiment
// is invalid, a server can't be reached before the load or a fault can't be set.
func Run(ctx context.Context, experiment *pb.Experiment) (*pb.LoadRun, error) {
	caller := NewCaller(timeoutOf(experiment), int(experiment.GetPipeline()))
	defer caller.Close()
	r, err := newRunner(experiment, caller)
	if err != nil {
		return nil, err
	}
	faults := newFaultClient(experiment)
	r.applyFaults = faults.apply
	collector := newJournalCollector(experiment.GetServers())
	if err := collector.recordRunIDs(ctx); err != nil {
		return nil, err
	}
	cpu := cpuTime()
	run, err := r.run(ctx)
	if err != nil {
		return nil, err
	}
	run.Generator.CpuUs = cpuPerOperation(cpuTime()-cpu, run)
	run.Generator.Connections = uint32(caller.dialled.Load())
	run.Generator.Reconnects = uint32(caller.reconnects.Load())
	run.Generator.Pipelined = uint32(caller.pipelined.Load())
	run.Generator.OutOfOrder = uint32(caller.outOfOrder.Load())
	journals := collector.collectUntilStable(context.WithoutCancel(ctx))
	run.Verdict = buildVerdict(r.ledger.entries, journals, r.mix.idPrefix)
	run.Verdict.Examples = append(run.Verdict.Examples, journals.Problems...)
	run.Servers = serverResults(journals, r.mix.idPrefix, r.start, len(run.GetIntervals()))
	return run, nil
}

func newRunner(experiment *pb.Experiment, sender Sender) (*runner, error) {
	seed := max(1, experiment.GetSeed())
	mix, err := NewMix(experiment.GetMix(), seed)
	if err != nil {
		return nil, err
	}
	random := (*rand.Rand)(nil)
	if experiment.GetRandomArrivals() {
		random = rand.New(rand.NewPCG(seed, seed+1))
	}
	schedule, err := NewSchedule(experiment.GetSteps(), random)
	if err != nil {
		return nil, err
	}
	if len(experiment.GetTargets()) == 0 {
		return nil, eris.New("no targets")
	}
	r := &runner{
		experiment:  experiment,
		sender:      sender,
		mix:         mix,
		schedule:    schedule,
		sleep:       preciseSleep,
		applyFaults: func(context.Context, *pb.Step) error { return nil },
		recorder:    newRecorder(time.Duration(experiment.GetSlowMs()) * time.Millisecond),
		maxInFlight: defaultMaxInFlight,

		resendDelay: defaultResendDelay,
	}
	if ms := experiment.GetResendDelayMs(); ms > 0 {
		r.resendDelay = time.Duration(ms) * time.Millisecond
	}
	if maxInFlight := experiment.GetMaxInFlight(); maxInFlight > 0 {
		r.maxInFlight = int64(maxInFlight)
	}
	for _, target := range experiment.GetTargets() {
		r.targets = append(r.targets, Target{Address: target.GetAddress(), Place: target.GetPlace()})
	}
	return r, nil
}

// run sends every operation at its intended time and waits for the last answer.
func (r *runner) run(ctx context.Context) (*pb.LoadRun, error) {
	r.start = time.Now()
	if err := r.send(ctx); err != nil {
		return nil, err
	}
	r.operations.Wait()
	run := &pb.LoadRun{
		Name:        r.experiment.GetName(),
		StartUnixMs: r.start.UnixMilli(),
		DurationS:   time.Since(r.start).Seconds(),
		Steps:       r.stepMarks,
		Generator:   &pb.GeneratorResult{},
	}
	r.recorder.fill(run)
	return run, nil
}

func (r *runner) send(ctx context.Context) error {
	lastBegun := -1
	for number := 0; ctx.Err() == nil; number++ {
		at, step, ok := r.schedule.Next()
		if !ok {
			return nil
		}
		for lastBegun < step {
			lastBegun++
			if err := r.beginStep(ctx, lastBegun); err != nil {
				return err
			}
		}
		r.sleep(time.Until(r.start.Add(at)))
		r.dispatch(ctx, at, number)
	}
	return nil
}

// beginStep waits for the start of a step, records it and sets its faults.
func (r *runner) beginStep(ctx context.Context, step int) error {
	offset := time.Duration(0)
	for _, earlier := range r.experiment.GetSteps()[:step] {
		offset += seconds(earlier.GetDurationS())
	}
	r.sleep(time.Until(r.start.Add(offset)))
	current := r.experiment.GetSteps()[step]
	r.stepMarks = append(r.stepMarks, &pb.StepMark{AtS: offset.Seconds(), Note: current.GetNote()})
	return r.applyFaults(ctx, current)
}

// dispatch starts an operation, or skips it if too many are in flight.
func (r *runner) dispatch(ctx context.Context, at time.Duration, number int) {
	o := r.mix.Next()
	if r.inFlight.Add(1) > r.maxInFlight {
		r.inFlight.Add(-1)
		r.recorder.countSkipped()
		return
	}
	r.operations.Go(func() {
		defer r.inFlight.Add(-1)
		r.perform(ctx, o, at, number)
	})
}

// perform sends an operation, with its resends and its concurrent duplicate, and
// records the outcome.
func (r *runner) perform(ctx context.Context, o *Operation, at time.Duration, number int) {
	intended := r.start.Add(at)
	lateBy := time.Since(intended)
	e := &entry{id: o.ID, idempotent: o.IsIdempotent(), depth: o.Depth}
	duplicate := r.startDuplicate(ctx, o, number)
	result := r.sendUntilDone(ctx, o, e, number, lateBy)
	total := time.Since(intended)
	if duplicate != nil {
		e.addResult(<-duplicate)
	}
	r.ledger.add(e)
	r.recorder.recordOperation(o.Kind, at, lateBy, total, result)
}

// sendUntilDone sends an operation until an attempt is answered, fails or gets a
// wrong answer, or until its resends are used up. An operation without a key is
// sent once. lateBy is the delay of the first attempt.
func (r *runner) sendUntilDone(ctx context.Context, o *Operation, e *entry, number int, lateBy time.Duration) Result {
	resends := 0
	if o.Key != "" {
		resends = int(r.experiment.GetResends())
	}
	for resend := 0; ; resend++ {
		result := r.sender.Do(ctx, r.targetFor(number+resend), o.forAttempt(resend))
		e.addResult(result)
		if result.Outcome == OutcomeNotRun {
			r.recorder.recordRefusal(o.Kind, lateBy+result.Latency)
		}
		lateBy = 0
		if result.Outcome != OutcomeUnknown && result.Outcome != OutcomeNotRun || resend >= resends {
			return result
		}
		r.recorder.countResend(o.Kind, result)
		time.Sleep(r.resendDelay)
	}
}

// startDuplicate sends an operation a second time concurrently, through the next
// target. It returns nil if the operation isn't to be sent twice.
func (r *runner) startDuplicate(ctx context.Context, o *Operation, number int) <-chan Result {
	if !o.SendTwice {
		return nil
	}
	duplicate := make(chan Result, 1)
	go func() { duplicate <- r.sender.Do(ctx, r.targetFor(number+1), o) }()
	return duplicate
}

func (r *runner) targetFor(number int) Target {
	return r.targets[number%len(r.targets)]
}

func timeoutOf(experiment *pb.Experiment) time.Duration {
	if ms := experiment.GetTimeoutMs(); ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return defaultTimeout
}

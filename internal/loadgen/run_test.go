package loadgen

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
	"github.com/egretfield/egretfield/internal/standin/wire"
)

// fakeSender answers with a function of the operation and the number of its
// attempt, counted from 1.
type fakeSender struct {
	answer func(o *Operation, attempt int) Result

	mu       sync.Mutex
	attempts map[string]int
	targets  map[string][]string
}

func newFakeSender(answer func(o *Operation, attempt int) Result) *fakeSender {
	return &fakeSender{answer: answer, attempts: map[string]int{}, targets: map[string][]string{}}
}

// Do implements Sender.
func (f *fakeSender) Do(_ context.Context, target Target, o *Operation) Result {
	f.mu.Lock()
	f.attempts[o.ID]++
	attempt := f.attempts[o.ID]
	f.targets[o.ID] = append(f.targets[o.ID], target.Address)
	f.mu.Unlock()
	return f.answer(o, attempt)
}

// experimentOf returns an experiment with two targets.
func experimentOf(kind Kind, steps ...*pb.Step) *pb.Experiment {
	return &pb.Experiment{
		Targets: []*pb.LoadTarget{{Address: "a"}, {Address: "b"}},
		Mix:     []*pb.Traffic{{Kind: string(kind), Service: "s"}},
		Steps:   steps,
	}
}

func runFake(ctx context.Context, experiment *pb.Experiment, sender Sender, enter func(*pb.Step)) (*runner, *pb.LoadRun) {
	r, err := newRunner(experiment, sender)
	So(err, ShouldBeNil)
	r.sleep = time.Sleep
	r.applyFaults = func(_ context.Context, step *pb.Step) error {
		if enter != nil {
			enter(step)
		}
		return nil
	}
	run, err := r.run(ctx)
	So(err, ShouldBeNil)
	return r, run
}

func TestOpenLoop(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		Convey("A stall counts in the latency of every operation that was to be sent during it", t, func() {
			begin := time.Now()
			sender := newFakeSender(func(*Operation, int) Result {
				if at := time.Since(begin); at > time.Second && at < 2*time.Second {
					time.Sleep(2*time.Second - at)
				}
				return Result{Outcome: OutcomeAnswered}
			})
			_, run := runFake(t.Context(), experimentOf(KindBrowse, &pb.Step{DurationS: 3.001, Rate: 100}), sender, nil)
			browse := run.GetKinds()[0]
			So(browse.GetAnswered(), ShouldEqual, 300)
			So(browse.GetLatency().GetP50Us(), ShouldBeLessThan, 2)
			So(browse.GetLatency().GetP90Us(), ShouldBeBetween, 690_000, 710_000)
			So(browse.GetLatency().GetMaxUs(), ShouldBeBetween, 980_000, 1_000_000)
		})
		Convey("Operations beyond the limit in flight are counted as skipped, not sent", t, func() {
			experiment := experimentOf(KindBrowse, &pb.Step{DurationS: 1.001, Rate: 100})
			experiment.MaxInFlight = 10
			sender := newFakeSender(func(*Operation, int) Result {
				time.Sleep(10 * time.Second)
				return Result{Outcome: OutcomeAnswered}
			})
			_, run := runFake(t.Context(), experiment, sender, nil)
			So(run.GetKinds()[0].GetSent(), ShouldEqual, 10)
			So(run.GetGenerator().GetSkipped(), ShouldEqual, 90)
		})
		Convey("Lateness of the generator itself is part of the latency and is reported", t, func() {
			sender := newFakeSender(func(*Operation, int) Result { return Result{Outcome: OutcomeAnswered} })
			experiment := experimentOf(KindBrowse, &pb.Step{DurationS: 0.11, Rate: 100}, &pb.Step{DurationS: 0.1, Rate: 100, Note: "slow"})
			_, run := runFake(t.Context(), experiment, sender, func(step *pb.Step) {
				if step.GetNote() == "slow" {
					time.Sleep(50 * time.Millisecond)
				}
			})
			So(run.GetGenerator().GetLateness().GetMaxUs(), ShouldBeGreaterThan, 40_000)
			So(run.GetKinds()[0].GetLatency().GetMaxUs(), ShouldBeGreaterThan, 40_000)
		})
		Convey("Steps begin at their times and are listed in the result", t, func() {
			begin := time.Now()
			entered := []time.Duration{}
			sender := newFakeSender(func(*Operation, int) Result { return Result{Outcome: OutcomeNotRun} })
			experiment := experimentOf(KindBrowse, &pb.Step{DurationS: 2, Rate: 10}, &pb.Step{DurationS: 3, Rate: 0}, &pb.Step{DurationS: 1.001, Rate: 10, Note: "last"})
			_, run := runFake(t.Context(), experiment, sender, func(*pb.Step) { entered = append(entered, time.Since(begin)) })
			So(entered, ShouldResemble, []time.Duration{0, 2 * time.Second, 5 * time.Second})
			So(run.GetSteps()[2].GetNote(), ShouldEqual, "last")
			So(run.GetIntervals(), ShouldHaveLength, 7)
			So(run.GetIntervals()[3].GetSent(), ShouldEqual, 0)
			So(run.GetIntervals()[5].GetRefused(), ShouldEqual, 9)
		})
	})
}

func TestResends(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		step := &pb.Step{DurationS: 0.1001, Rate: 10}
		Convey("An order is sent again through the next target until it is answered", t, func() {
			experiment := experimentOf(KindOrder, step)
			experiment.Resends = 3
			sender := newFakeSender(func(o *Operation, attempt int) Result {
				return []Result{{Outcome: OutcomeUnknown}, {Outcome: OutcomeNotRun, RequestID: "r2"}, {Outcome: OutcomeAnswered}}[attempt-1]
			})
			r, run := runFake(t.Context(), experiment, sender, nil)
			e := r.ledger.entries[0]
			So(sender.targets[e.id], ShouldResemble, []string{"a", "b", "a"})
			So([]bool{e.answered, e.mayHaveRun, e.wrong}, ShouldResemble, []bool{true, true, false})
			So(e.refused, ShouldResemble, []string{"r2"})
			So(run.GetKinds()[0].GetResent(), ShouldEqual, 2)
			So(run.GetKinds()[0].GetLatency().GetMaxUs(), ShouldBeGreaterThan, 2*defaultResendDelay.Microseconds()-100)
		})
		Convey("The refusal latency counts each answer certified not run, and no other answer", t, func() {
			experiment := experimentOf(KindOrder, step)
			experiment.Resends = 3
			sender := newFakeSender(func(_ *Operation, attempt int) Result {
				outcome := []Outcome{OutcomeNotRun, OutcomeUnknown, OutcomeNotRun, OutcomeAnswered}[attempt-1]
				return Result{Outcome: outcome, Latency: time.Duration(attempt) * time.Millisecond}
			})
			_, run := runFake(t.Context(), experiment, sender, nil)
			refusals := run.GetKinds()[0].GetRefusalLatency()
			So(refusals.GetCount(), ShouldEqual, 2)
			So(refusals.GetP50Us(), ShouldAlmostEqual, 1000, 2)
			So(refusals.GetP99Us(), ShouldAlmostEqual, 3000, 5)
		})
		Convey("An order without a key is sent once", t, func() {
			sender := newFakeSender(func(*Operation, int) Result { return Result{Outcome: OutcomeUnknown} })
			experiment := experimentOf(KindOrder, step)
			experiment.Resends = 3
			experiment.Mix[0].WithoutKey = true
			r, _ := runFake(t.Context(), experiment, sender, nil)
			So(sender.attempts[r.ledger.entries[0].id], ShouldEqual, 1)
		})
		Convey("Only the first send of a key that isn't sent twice concurrently is marked as first", t, func() {
			var first []bool
			sender := newFakeSender(func(o *Operation, _ int) Result {
				first = append(first, o.FirstSend)
				return Result{Outcome: OutcomeUnknown}
			})
			experiment := experimentOf(KindOrder, step)
			experiment.Resends = 2
			runFake(t.Context(), experiment, sender, nil)
			So(first, ShouldResemble, []bool{true, false, false})

			twice := (&Operation{Key: "k", SendTwice: true}).forAttempt(0)
			keyless := (&Operation{}).forAttempt(0)
			So([]bool{twice.FirstSend, keyless.FirstSend}, ShouldResemble, []bool{false, false})
			header := (&Caller{}).newRequest(Target{}, (&Operation{Key: "k"}).forAttempt(0)).Header
			So(header.Get(wire.HeaderFirstSend), ShouldEqual, "true")
			So(header, ShouldNotContainKey, "Authorization")
			withAPIKey := newOperation(&pb.Traffic{Kind: "browse", Service: "s", ApiKey: "secret"}, "op")
			So((&Caller{}).newRequest(Target{}, withAPIKey).Header.Get("Authorization"), ShouldEqual, "Bearer secret")
		})
		Convey("An order sent twice concurrently has both results in its entry", t, func() {
			experiment := experimentOf(KindOrder, step)
			experiment.Mix[0].TwicePercent = 100
			sender := newFakeSender(func(_ *Operation, attempt int) Result {
				return []Result{{Outcome: OutcomeAnswered}, {Outcome: OutcomeUnknown}}[attempt-1]
			})
			r, _ := runFake(t.Context(), experiment, sender, nil)
			e := r.ledger.entries[0]
			So([]bool{e.answered, e.mayHaveRun}, ShouldResemble, []bool{true, true})
		})
	})
}

func TestPairs(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		Convey("Paired calls give the time that routed calls take longer than direct ones", t, func() {
			times := map[string]time.Duration{"direct": 2 * time.Millisecond, "routed": 3 * time.Millisecond}
			sender := &timedSender{times: times}
			p, err := newPairRunner(PairOptions{
				Direct: []Target{{Address: "direct"}}, Routed: []Target{{Address: "routed"}},
				Traffic: &pb.Traffic{Kind: "browse", Service: "s"}, Duration: time.Second, Rate: 100, Warmup: time.Second,
			}, sender)
			So(err, ShouldBeNil)
			p.sleep = time.Sleep
			So(p.warmUp(t.Context()), ShouldBeNil)
			start := time.Now()
			p.run(t.Context())
			run := p.result(start)
			So(run.GetDirect().GetCount(), ShouldEqual, 100)
			So(run.GetRouted().GetCount(), ShouldEqual, 100)
			So(run.GetAddedP99Us(), ShouldAlmostEqual, 1000, 5)
			So(run.GetDifference().GetP50Us(), ShouldAlmostEqual, 1000, 5)
			So(run.GetNoiseP99Us(), ShouldEqual, 0)
			So(run.GetBlockAddedP99Us(), ShouldAlmostEqual, 1000, 5)
			So(sender.firstCalls["routed"], ShouldBeBetween, 40, 95)
		})
		Convey("A closed loop gives the calls per second of both kinds", t, func() {
			sender := &timedSender{times: map[string]time.Duration{"direct": 2 * time.Millisecond, "routed": 4 * time.Millisecond}}
			p, err := newPairRunner(PairOptions{
				Direct: []Target{{Address: "direct"}}, Routed: []Target{{Address: "routed"}},
				Traffic: &pb.Traffic{Kind: "browse", Service: "s"}, Duration: 3 * time.Second, Workers: 4,
			}, sender)
			So(err, ShouldBeNil)
			start := time.Now()
			p.run(t.Context())
			run := p.result(start)
			So(run.GetDirectCallsPerS(), ShouldAlmostEqual, 2000, 20)
			So(run.GetRoutedCallsPerS(), ShouldAlmostEqual, 1000, 20)
		})
	})
}

// timedSender answers each address after a fixed time, and counts which
// address is called first in each pair, which has three calls.
type timedSender struct {
	times map[string]time.Duration

	mu         sync.Mutex
	calls      int
	firstCalls map[string]int
}

// Do implements Sender.
func (s *timedSender) Do(_ context.Context, target Target, _ *Operation) Result {
	s.mu.Lock()
	if s.firstCalls == nil {
		s.firstCalls = map[string]int{}
	}
	if s.calls%3 == 0 {
		s.firstCalls[target.Address]++
	}
	s.calls++
	s.mu.Unlock()
	time.Sleep(s.times[target.Address])
	return Result{Outcome: OutcomeAnswered, Latency: s.times[target.Address]}
}

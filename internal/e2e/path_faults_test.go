package e2e

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// loadRate is the rate of the load, in operations per second.
	loadRate = 400
	// faultStartSeconds is the time from the start of a run to its fault.
	faultStartSeconds = 1
	straggleFactor    = 10
	// silenceLimit is the time within which a silent connection has to be detected
	// and its requests answered over another one; it leaves room for two checks.
	silenceLimit = 2 * time.Second
)

// serverFaultExperiment returns an experiment whose second step sets faults on a
// server and whose last step clears them.
func (f *fleet) serverFaultExperiment(victim *instance, faults *pb.ServerFaults) *pb.Experiment {
	experiment := f.experiment(0, f.instances[:3])
	set := func(faults *pb.ServerFaults) []*pb.ServerFaultChange {
		return []*pb.ServerFaultChange{{Server: victim.name, Faults: faults}}
	}
	experiment.Steps = []*pb.Step{
		{DurationS: faultStartSeconds, Rate: loadRate},
		{DurationS: 4, Rate: loadRate, ServerFaults: set(faults)},
		{DurationS: 0.1, Rate: loadRate, ServerFaults: set(&pb.ServerFaults{})},
	}
	return experiment
}

// maxLatency returns the longest time to an answer.
func maxLatency(run *pb.LoadRun) time.Duration {
	longest := 0.0
	for _, kind := range run.GetKinds() {
		longest = max(longest, kind.GetLatency().GetMaxUs())
	}
	return time.Duration(longest * float64(time.Microsecond))
}

// sentCount returns the number of operations sent in a run.
func sentCount(run *pb.LoadRun) int {
	total := 0
	for _, kind := range run.GetKinds() {
		total += int(kind.GetSent())
	}
	return total
}

func TestFaultsOfThePath(t *testing.T) {
	Convey("Given a fleet of two instances in each region, with a relay before one gate, under load", t, func() {
		f := newFleet(t, 6, addRelay)
		slow, failing, silent := f.instances[3], f.instances[4], f.instances[5]

		Convey("faults of servers and connections affect few callers, and only briefly", func() {
			f.failFast(failing)
			f.straggle(slow)
			// Last, because it counts late answers, and the first orders of a fleet
			// wait for their keepers.
			f.silence(silent)
		})
	})
}

// silence drops all bytes on the present connections to an instance's gate, and
// checks that every request is answered in time and that new connections are used
// soon.
func (f *fleet) silence(victim *instance) {
	experiment := f.experiment(5, f.instances[:3])
	experiment.Steps[0].Rate = loadRate
	// Answers slower than this count as affected, besides missing ones.
	experiment.SlowMs = uint32(silenceLimit.Milliseconds()) / 4
	lostConnections := 0
	run := f.run(experiment, func() {
		lostConnections = victim.relay.ConnectionCount()
		victim.relay.Discard(true, true)
	})
	shouldKeepGuarantees(run)
	shouldAnswerAll(run)
	// Each silent connection delays at most one request.
	So(run.GetAffected().GetOperations(), ShouldBeGreaterThan, 0)
	So(run.GetAffected().GetOperations(), ShouldBeLessThanOrEqualTo, lostConnections)
	So(run.GetAffected().GetLastS()-faultStartSeconds, ShouldBeLessThan, silenceLimit.Seconds())
	So(maxLatency(run), ShouldBeLessThan, silenceLimit)
}

// failFast makes an instance's server fail immediately, and checks that at least
// 99 in 100 operations are answered.
func (f *fleet) failFast(victim *instance) {
	run := f.run(f.serverFaultExperiment(victim, &pb.ServerFaults{FailFastPercent: 100}), func() {})
	shouldKeepGuarantees(run)
	So(run.GetAffected().GetOperations(), ShouldBeBetweenOrEqual, 1, sentCount(run)/100)
}

// straggle makes an instance's server slow, and checks that at least 99 in 100
// operations run elsewhere. It counts the server's executions and not the
// latency, which also depends on the machine.
func (f *fleet) straggle(victim *instance) {
	run := f.run(f.serverFaultExperiment(victim, &pb.ServerFaults{StraggleFactor: straggleFactor}), func() {})
	shouldKeepGuarantees(run)
	shouldAnswerAll(run)
	f.t.Logf("executions at the straggler: %d", executionsSince(run, victim, faultStartSeconds))
	So(executionsSince(run, victim, faultStartSeconds), ShouldBeBetweenOrEqual, 1, sentCount(run)/100)
}

// executionsSince counts the executions at an instance from startSecond of the run
// on.
func executionsSince(run *pb.LoadRun, inst *instance, startSecond int) int {
	count := 0
	for _, server := range run.GetServers() {
		if server.GetServer() != inst.name {
			continue
		}
		for _, n := range server.GetSeries()[startSecond:] {
			count += int(n)
		}
	}
	return count
}

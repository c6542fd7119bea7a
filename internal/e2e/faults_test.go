package e2e

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/loadgen"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/wire"
)

// load is a mix of pages, orders that are sent again, and uploads.
func (f *fleet) load(seconds float64, through []*instance) *pb.Experiment {
	return &pb.Experiment{
		Name:    "fault",
		Targets: targets(through),
		Servers: f.servers(),
		LogUrl:  f.logURL,
		Resends: 3,
		Mix: []*pb.Traffic{
			{Kind: "browse", Service: "orders", Weight: 5},
			{Kind: "order", Service: "orders", Weight: 4, TwicePercent: 10},
			{Kind: "upload", Service: "orders", Weight: 1},
		},
		Steps: []*pb.Step{{DurationS: seconds, Rate: 200}},
	}
}

// run drives an experiment while fault does its harm, and returns the result.
func (f *fleet) run(experiment *pb.Experiment, fault func()) *pb.LoadRun {
	var done sync.WaitGroup
	done.Go(func() {
		time.Sleep(time.Second)
		fault()
	})
	run, err := loadgen.Run(context.Background(), experiment)
	done.Wait()
	So(err, ShouldBeNil)
	report(f.t, run)
	return run
}

// report logs the figures of a run.
func report(t *testing.T, run *pb.LoadRun) {
	verdict, _ := json.Marshal(run.GetVerdict())
	t.Logf("verdict %s, refusals %v, affected %v", verdict, run.GetRefusals(), run.GetAffected())
	for _, kind := range run.GetKinds() {
		t.Logf("%s: sent %d answered %d refused %d unknown %d failed %d wrong %d p99 %.1f ms", kind.GetKind(), kind.GetSent(),
			kind.GetAnswered(), kind.GetRefused(), kind.GetUnknown(), kind.GetFailed(), kind.GetWrong(), kind.GetLatency().GetP99Us()/1000)
	}
}

// answered is the number of operations of a kind with a whole answer.
func answered(run *pb.LoadRun, kind string) (answered, sent int) {
	for _, k := range run.GetKinds() {
		if k.GetKind() == kind {
			return int(k.GetAnswered()), int(k.GetSent())
		}
	}
	return 0, 0
}

// attemptTimeout is what callers allow an attempt.
const attemptTimeout = 5 * time.Second

// witnessNamed is the time in which the keepers of a new fleet have named their
// witnesses; one lost before it is replaced at its lease's end only.
const witnessNamed = 4 * time.Second

// p99 is the time that 99 in 100 operations of a kind took, resends included.
func p99(run *pb.LoadRun, kind string) time.Duration {
	for _, k := range run.GetKinds() {
		if k.GetKind() == kind {
			return time.Duration(k.GetLatency().GetP99Us() * float64(time.Microsecond))
		}
	}
	return 0
}

// shouldKeepPromises checks that no answer is wrong, lost or doubled and that no
// request ran though it was refused.
func shouldKeepPromises(run *pb.LoadRun) {
	verdict := run.GetVerdict()
	So(verdict.GetOperations(), ShouldBeGreaterThan, 100)
	So(verdict.GetDoubled(), ShouldEqual, 0)
	So(verdict.GetRanThoughRefused(), ShouldEqual, 0)
	So(verdict.GetLost(), ShouldEqual, 0)
	So(verdict.GetWrong(), ShouldEqual, 0)
	So(loadgen.Failed(verdict), ShouldBeFalse)
}

// shouldAnswerAll checks that every operation of every kind was answered.
func shouldAnswerAll(run *pb.LoadRun) {
	for _, kind := range run.GetKinds() {
		So(kind.GetAnswered(), ShouldEqual, kind.GetSent())
	}
}

func TestKilledServer(t *testing.T) {
	Convey("A backend server killed under load: no answer is wrong, lost or doubled, pages go on", t, func() {
		f := newFleet(t, 4)
		victim := f.instances[3]
		run := f.run(f.load(5, f.instances[:3]), func() { victim.server.kill() })
		shouldKeepPromises(run)
		pages, sent := answered(run, "browse")
		So(pages, ShouldEqual, sent)
	})
}

func TestKilledNode(t *testing.T) {
	Convey("A node killed under load: no answer is wrong, lost or doubled, pages go on", t, func() {
		f := newFleet(t, 4)
		run := f.run(f.load(5, f.instances[:3]), func() { f.instances[3].node.kill() })
		shouldKeepPromises(run)
		pages, sent := answered(run, "browse")
		So(pages, ShouldEqual, sent)
	})
}

func TestFrozenNode(t *testing.T) {
	Convey("A node frozen past its lease and resumed: no answer is wrong, lost or doubled, and orders don't wait for it", t, func() {
		f := newFleet(t, 4)
		victim := f.instances[3]
		run := f.run(f.load(16, f.instances[:3]), func() {
			time.Sleep(witnessNamed)
			victim.node.signal(syscall.SIGSTOP)
			time.Sleep(8 * time.Second)
			victim.node.signal(syscall.SIGCONT)
		})
		shouldKeepPromises(run)
		So(p99(run, "order"), ShouldBeLessThan, attemptTimeout)
	})
}

func TestLogDown(t *testing.T) {
	Convey("The log down for less than a lease: orders go on and none is doubled", t, func() {
		f := newFleet(t, 3)
		f.publish(configuration + "\n")
		load := f.load(0, f.instances)
		load.Steps = []*pb.Step{
			{DurationS: 1, Rate: 200},
			{DurationS: 2, Rate: 200, LogFaults: &pb.LogFaults{Down: true}},
			{DurationS: 2, Rate: 200, LogFaults: &pb.LogFaults{}},
		}
		run := f.run(load, func() {})
		shouldKeepPromises(run)
		shouldAnswerAll(run)
	})
}

func TestRollingRestart(t *testing.T) {
	Convey("Nodes and backend servers replaced one by one under load: every request is answered, none runs twice", t, func() {
		f := newFleet(t, 4)
		run := f.run(f.load(20, f.instances[:2]), func() {
			for _, one := range f.instances[2:] {
				one.server.terminate()
				one.node.terminate()
				one.startNode()
				one.startServer()
				f.awaitReady(4)
			}
		})
		shouldKeepPromises(run)
		shouldAnswerAll(run)
	})
}

// TestReloadWhileStopping replays seed 487013959170 of the small Templarik site: the
// settings change while a node stops.
func TestReloadWhileStopping(t *testing.T) {
	Convey("A node that is told to reload while it stops goes on stopping", t, func() {
		f := newFleet(t, 2)
		victim := f.instances[1].node
		victim.signal(syscall.SIGTERM)
		time.Sleep(300 * time.Millisecond)
		victim.signal(syscall.SIGHUP)
		<-victim.done
		So(victim.cmd.ProcessState.ExitCode(), ShouldEqual, 0)
	})
}

func TestDrain(t *testing.T) {
	Convey("An instance drained and undrained by an operator: every request is answered, none runs there meanwhile", t, func() {
		f := newFleet(t, 4)
		victim := f.instances[3]
		var before, first, last int
		var drained, undrained int
		run := f.run(f.load(14, f.instances[:1]), func() {
			before = countLines(victim.journal)
			_, drained = f.ctl("drain", victim.name)
			time.Sleep(4 * time.Second)
			first = countLines(victim.journal)
			time.Sleep(2 * time.Second)
			last = countLines(victim.journal)
			_, undrained = f.ctl("undrain", victim.name)
		})
		So(drained, ShouldEqual, 0)
		So(undrained, ShouldEqual, 0)
		shouldKeepPromises(run)
		shouldAnswerAll(run)
		So(before, ShouldBeGreaterThan, 0)
		So(last, ShouldEqual, first)
		So(countLines(victim.journal), ShouldBeGreaterThan, last)
	})
}

func TestOperatorRace(t *testing.T) {
	Convey("Of two operators who change the preset at the same version exactly one is accepted", t, func() {
		f := newFleet(t, 2)
		exits := make([]int, 2)
		var racing sync.WaitGroup
		for i := range exits {
			racing.Go(func() { _, exits[i] = f.ctl("preset", "use", "-base", "1", []string{"peak", "ordinary"}[i]) })
		}
		racing.Wait()
		So(exits, ShouldContain, 0)
		So(exits[0]+exits[1], ShouldEqual, 34)
		out, _ := f.ctl("audit")
		So(out, ShouldContainSubstring, "refused")
	})
}

func TestCrashingRequest(t *testing.T) {
	Convey("A request that crashes each backend server that runs it kills two at most, and others go on", t, func() {
		f := newFleet(t, 4)
		last := ""
		for try := range 8 {
			last = f.sendCrash(f.instances[try%len(f.instances)])
			time.Sleep(500 * time.Millisecond)
		}
		So(f.deadServers(), ShouldBeBetweenOrEqual, 1, 2)
		So(last, ShouldEqual, "quarantined")
		run := f.run(f.load(3, f.instances), func() {})
		shouldKeepPromises(run)
		shouldAnswerAll(run)
	})
}

// sendCrash sends the same crashing order through a node, as a caller that
// doesn't give up, and returns the error kind of the answer.
func (f *fleet) sendCrash(through *instance) string {
	request, err := http.NewRequest(http.MethodPost, "http://"+through.addresses.Caller+"/svc/orders/crash", strings.NewReader(wire.CrashBody))
	So(err, ShouldBeNil)
	response, err := http.DefaultClient.Do(request)
	So(err, ShouldBeNil)
	response.Body.Close()
	return response.Header.Get("Egret-Error")
}

// deadServers counts the backend servers that have exited.
func (f *fleet) deadServers() int {
	dead := 0
	for _, one := range f.instances {
		select {
		case <-one.server.done:
			dead++
		default:
		}
	}
	return dead
}

func TestExplain(t *testing.T) {
	Convey("An operator is told what became of an order, which server gets no work and what was refused", t, func() {
		f := newFleet(t, 2)
		key := uuid.Must(uuid.NewV7()).String()
		So(f.sendOrder(f.instances[0], key, "one"), ShouldEqual, "")

		out, exit := f.ctl("explain", "key", key)
		So(exit, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "ran once")

		So(f.sendOrder(f.instances[1], key, "another"), ShouldEqual, "key_reused")
		_, exit = f.ctl("drain", f.instances[1].name)
		So(exit, ShouldEqual, 0)
		out, _ = f.ctl("explain", "instance", f.instances[1].name)
		So(out, ShouldContainSubstring, "drain")
		out, _ = f.ctl("audit")
		So(out, ShouldContainSubstring, "tester")
	})
}

// sendOrder sends an order with a key and returns the error kind of the answer.
func (f *fleet) sendOrder(through *instance, key, body string) string {
	request, err := http.NewRequest(http.MethodPost, "http://"+through.addresses.Caller+"/svc/orders/order", strings.NewReader(body))
	So(err, ShouldBeNil)
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	So(err, ShouldBeNil)
	response.Body.Close()
	return response.Header.Get("Egret-Error")
}

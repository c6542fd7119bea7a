package loadgen

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
)

func sampleRun() *pb.LoadRun {
	return &pb.LoadRun{
		Name:        "one straggler",
		StartUnixMs: 1_800_000_000_000,
		DurationS:   3.0417,
		Kinds: []*pb.KindResult{
			{
				Kind: "browse", Sent: 900, Answered: 880, Refused: 15, Unknown: 4, Wrong: 1,
				Latency:        &pb.Latency{Count: 880, P50Us: 2100, P90Us: 2900, P99Us: 20500.4, P999Us: 31000, MaxUs: 31234.5},
				RefusalLatency: &pb.Latency{Count: 15, P50Us: 410, P99Us: 1750.5},
			},
			{Kind: "order", Sent: 100, Answered: 99, Failed: 1, Resent: 2, Latency: &pb.Latency{Count: 99, P50Us: 2500, P99Us: 21000}},
		},
		Verdict: &pb.LoadVerdict{
			Operations: 1000, Executions: 984, Wrong: 1, UnknownRan: 3, UnknownNotRun: 2, JournalsComplete: true,
			Examples: []string{"wrong: p-17"},
		},
		Servers: []*pb.ServerResult{
			{Server: "s1", Executions: 500, Series: []uint32{200, 150, 150}},
			{Server: "s2", Executions: 484, Series: []uint32{100, 184, 200}},
		},
		Intervals: []*pb.Interval{
			{Sent: 300, Answered: 300, P50Us: 2000, P99Us: 2900},
			{AtS: 1, Sent: 350, Answered: 330, Refused: 15, Unknown: 4, P50Us: 2100, P99Us: 20000},
			{AtS: 2, Sent: 350, Answered: 349, Unknown: 1, P50Us: 2100, P99Us: 21000},
		},
		Steps:     []*pb.StepMark{{Note: "steady"}, {AtS: 1, Note: "s1 ten times slower"}},
		Generator: &pb.GeneratorResult{Lateness: &pb.Latency{P50Us: 100, P99Us: 270, MaxUs: 1500}, Skipped: 3, CpuUs: 44.6, Connections: 12, Reconnects: 1},
		Refusals:  map[string]uint32{"overloaded": 15, "cut answer": 4, "status 500": 1},
	}
}

func assertGolden(t *testing.T, name string, write func(b *bytes.Buffer) error) {
	t.Helper()
	b := &bytes.Buffer{}
	if err := write(b); err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, name, b.Bytes())
}

func TestReports(t *testing.T) {
	run, calm := sampleRun(), sampleRun()
	calm.Name, calm.Verdict.Wrong = "calm", 0
	calm.Kinds = calm.GetKinds()[:1]
	calm.GetKinds()[0].Latency.P99Us = 10250.2
	assertGolden(t, "report", func(b *bytes.Buffer) error { return WriteMarkdown(b, run) })
	assertGolden(t, "table", func(b *bytes.Buffer) error { return WriteTable(b, run) })
	assertGolden(t, "comparison", func(b *bytes.Buffer) error { return WriteComparison(b, run, calm) })
	assertGolden(t, "pairs", func(b *bytes.Buffer) error {
		return WritePairTable(b, &pb.PairRun{
			Direct: &pb.Latency{Count: 100, P50Us: 200, P99Us: 300}, Routed: &pb.Latency{Count: 99, P50Us: 400, P99Us: 600},
			Control: &pb.Latency{Count: 100, P50Us: 201, P99Us: 290}, NoiseP50Us: 1, NoiseP99Us: -10, BlockAddedP99Us: 295,
			Difference: &pb.Latency{Count: 99, P50Us: 210}, AddedP50Us: 200, AddedP99Us: 300, Failed: 1,
			DirectCallsPerS: 100, RoutedCallsPerS: 99, Generator: &pb.GeneratorResult{CpuUs: 40},
			Processes: []*pb.ProcessCost{{Pid: 7, Name: "egretnode", Cores: 0.5, UsPerRoutedCall: 81.25}},
		})
	})
}

func TestBlocks(t *testing.T) {
	Convey("A disturbance in a few blocks changes the total, but not the median over the blocks", t, func() {
		disturbed, calm := newCallGroup(nil), newCallGroup(nil)
		for block := range blockCount {
			slow := 3 * time.Millisecond
			if block < 3 {
				slow = time.Second
			}
			for range 100 {
				disturbed.record(Result{Latency: slow}, block)
				calm.record(Result{Latency: 2 * time.Millisecond}, block)
			}
		}
		p50, p99 := medianAdded(disturbed, calm)
		So(p50, ShouldAlmostEqual, 1000, 5)
		So(p99, ShouldAlmostEqual, 1000, 5)
		So(disturbed.totalLatency().GetP99Us(), ShouldBeGreaterThan, 900_000)
	})
}

func TestReportFiles(t *testing.T) {
	Convey("A report has its plots, and its run can be read back", t, func() {
		for _, run := range []*pb.LoadRun{sampleRun(), {Name: "empty"}} {
			directory := filepath.Join(t.TempDir(), "out")
			So(WriteReport(directory, run), ShouldBeNil)
			for _, name := range []string{latencyFile, executionsFile, refusalsFile} {
				text, err := os.ReadFile(filepath.Join(directory, name))
				So(err, ShouldBeNil)
				So(string(text[1:4]), ShouldEqual, "PNG")
			}
			again, err := ReadRun(filepath.Join(directory, RunFile))
			So(err, ShouldBeNil)
			So(proto.Equal(again, run), ShouldBeTrue)
		}
	})
}

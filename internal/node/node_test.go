package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/configlog"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/logserver"
	"github.com/egretfield/egretfield/internal/standin/memlog"
	"github.com/egretfield/egretfield/internal/telemetry"
)

// stepTimeout limits the wait for one condition.
const stepTimeout = 20 * time.Second

// waitUntil polls condition and fails the test if it isn't met within stepTimeout.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(stepTimeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("no %s within %s", what, stepTimeout)
		}
	}
}

// startNode runs a node on loopback. It returns the node, the buffer that it logs to,
// and a function that stops it. The buffer may be read only after that.
func startNode(t *testing.T, logURL string) (*Node, *bytes.Buffer, func()) {
	t.Helper()
	lines := &bytes.Buffer{}
	logger, level, err := telemetry.NewLogger(lines, telemetry.FormatJSON, "debug")
	So(err, ShouldBeNil)
	metrics, err := telemetry.NewMetrics()
	So(err, ShouldBeNil)
	const anyPort = "127.0.0.1:0"
	n, err := New(Options{
		Settings: &pb.NodeSettings{
			Instance: "orders-taipei", Region: "north", DataCentre: "taipei",
			SharedKey: "0123456789abcdef", LogUrl: logURL, LogRetentionS: 3600,
			CallerAddress: anyPort, GateAddress: anyPort, ControlAddress: anyPort,
			AnnounceAddress: anyPort, OpsAddress: anyPort,
		},
		Logger:  logger,
		Level:   level,
		Metrics: metrics,
	})
	So(err, ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	return n, lines, func() {
		cancel()
		So(<-done, ShouldBeNil)
	}
}

// applyChange appends a record and waits until it is in force on the node.
func applyChange(t *testing.T, n *Node, log *memlog.Log, record *pb.ConfigRecord) {
	t.Helper()
	record.Id, record.Operator = configlog.NewID(), "ann"
	record.BaseVersion = n.follower.State().FoldedThrough
	entry, err := configlog.NewPublisher(log, n.follower).Submit(t.Context(), record)
	So(err, ShouldBeNil)
	waitUntil(t, "change", func() bool { return n.configOffset() == entry.GetOffset() })
}

func announceServer(address string) {
	body := strings.NewReader(`{"service":"orders","address":"127.0.0.1:1","slots":4}`)
	response, err := http.Post("http://"+address+"/announce", "application/json", body)
	So(err, ShouldBeNil)
	So(response.Body.Close(), ShouldBeNil)
	So(response.StatusCode, ShouldEqual, http.StatusNoContent)
}

// TestLogLines takes a node through its changes of state and checks every line that it
// logged.
func TestLogLines(t *testing.T) {
	Convey("Every log line has the offset in force and the node's incarnation, and none repeats the one before", t, func() {
		log := memlog.New(memlog.Options{})
		server := httptest.NewServer(logserver.New(log))
		defer server.Close()
		n, lines, stop := startNode(t, server.URL)
		incarnation := n.members.Self().GetIncarnation()
		waitUntil(t, "readable log", func() bool { return n.follower.Status().GetLogHealthy() })
		applyChange(t, n, log, &pb.ConfigRecord{Change: &pb.ConfigRecord_Publish{Publish: &pb.Publish{Config: &pb.Config{
			Services: []*pb.Service{{Name: "orders"}}, DefaultPreset: "ordinary",
			Presets: []*pb.Preset{{Name: "ordinary"}, {Name: "peak"}},
		}}}})
		announceServer(n.Addresses().Announce)
		applyChange(t, n, log, &pb.ConfigRecord{Change: &pb.ConfigRecord_UsePreset{UsePreset: &pb.UsePreset{Preset: "peak"}}})
		applyChange(t, n, log, &pb.ConfigRecord{Change: &pb.ConfigRecord_Drain{Drain: &pb.Drain{Instance: "orders-taipei", Drain: true}}})
		log.SetFaults(&pb.LogFaults{Down: true})
		waitUntil(t, "unreadable log", func() bool { return !n.follower.Status().GetLogHealthy() })
		n.members.Report("nobody", 1, false)
		stop()

		offsets := map[string][]int64{}
		lastFields := map[string]string{}
		for text := range strings.Lines(lines.String()) {
			line, fields := parseLine(text)
			So(strings.Count(text, `"incarnation":`), ShouldEqual, 1)
			So(strings.Count(text, `"config_offset":`), ShouldEqual, 1)
			So(line.Incarnation, ShouldEqual, incarnation)
			So(lastFields[line.Logger], ShouldNotEqual, fields)
			lastFields[line.Logger] = fields
			offsets[line.Msg] = append(offsets[line.Msg], line.ConfigOffset)
		}
		So(offsets["configuration in force"], ShouldResemble, []int64{1, 2})
		So(offsets["backend server"][0], ShouldEqual, 1) // another line may follow when the announcement expires
		So(offsets["drain"], ShouldResemble, []int64{3})
		So(offsets["configuration stream unreadable"], ShouldResemble, []int64{3})
		So(offsets["leaving"], ShouldResemble, []int64{3})
		So(offsets["left"], ShouldResemble, []int64{3})
	})
}

// TestExplainQuarantine asks a node to explain a request that crashed two servers.
func TestExplainQuarantine(t *testing.T) {
	Convey("A quarantined fingerprint is listed with the end of its quarantine, others are not", t, func() {
		server := httptest.NewServer(logserver.New(memlog.New(memlog.Options{})))
		defer server.Close()
		n, _, stop := startNode(t, server.URL)
		defer stop()
		before := time.Now()
		n.quarantineTable.ReportCrash([]uint64{0xf00d, 0xbeef})
		n.quarantineTable.ReportCrash([]uint64{0xf00d})
		facts := (&status{node: n}).Explain(&pb.ExplainRequest{Fingerprint: "f00d"}).GetQuarantines()
		So(len(facts), ShouldEqual, 1)
		So(facts[0].GetUntilUnixMs(), ShouldBeGreaterThan, before.UnixMilli())
		So((&status{node: n}).Explain(&pb.ExplainRequest{Fingerprint: "beef"}).GetQuarantines(), ShouldBeEmpty)
	})
}

// logLine holds the fields that every log line has.
type logLine struct {
	Logger       string `json:"logger"`
	Msg          string `json:"msg"`
	ConfigOffset int64  `json:"config_offset"`
	Incarnation  uint64 `json:"incarnation"`
}

// parseLine returns a parsed line, and all its fields but the time as text.
func parseLine(text string) (logLine, string) {
	var parsed logLine
	So(json.Unmarshal([]byte(text), &parsed), ShouldBeNil)
	fields := map[string]any{}
	So(json.Unmarshal([]byte(text), &fields), ShouldBeNil)
	delete(fields, "ts")
	return parsed, fmt.Sprint(fields)
}

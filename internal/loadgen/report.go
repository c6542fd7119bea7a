package loadgen

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/egretfield/egretfield/internal/pb"
)

// Files of a report directory.
const (
	ReportFile     = "report.md"
	RunFile        = "run.json"
	latencyFile    = "latency.png"
	executionsFile = "executions.png"
	refusalsFile   = "refusals.png"

	fileMode      = 0o644
	directoryMode = 0o755
)

// WriteReport writes a run as JSON, as Markdown and as plots into a directory.
func WriteReport(directory string, run *pb.LoadRun) error {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return eris.Wrap(err, "report")
	}
	text, err := protojson.MarshalOptions{Multiline: true}.Marshal(run)
	if err != nil {
		return eris.Wrap(err, "report")
	}
	if err := os.WriteFile(filepath.Join(directory, RunFile), append(text, '\n'), fileMode); err != nil {
		return eris.Wrap(err, "report")
	}
	markdown := bytes.Buffer{}
	if err := WriteMarkdown(&markdown, run); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(directory, ReportFile), markdown.Bytes(), fileMode); err != nil {
		return eris.Wrap(err, "report")
	}
	return writePlots(directory, run)
}

// ReadRun reads a run from the JSON that WriteReport wrote.
func ReadRun(file string) (*pb.LoadRun, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "run")
	}
	run := &pb.LoadRun{}
	if err := protojson.Unmarshal(text, run); err != nil {
		return nil, eris.Wrapf(err, "run %s", file)
	}
	return run, nil
}

// WriteMarkdown writes the report of a run; it refers to the plots by name.
func WriteMarkdown(w io.Writer, run *pb.LoadRun) error {
	b := &bytes.Buffer{}
	fmt.Fprintf(b, "# %s\n\n", run.GetName())
	fmt.Fprintf(b, "Started %s, lasted %.1f s.\n\n", time.UnixMilli(run.GetStartUnixMs()).UTC().Format(time.RFC3339), run.GetDurationS())
	fmt.Fprintf(b, "Verdict: **%s**.\n\n", verdictText(run.GetVerdict()))
	writeKinds(b, run)
	writeVerdictCounts(b, run.GetVerdict())
	writeReasons(b, run)
	writeSteps(b, run)
	writeServers(b, run)
	writeGenerator(b, run.GetGenerator())
	_, err := w.Write(b.Bytes())
	return err
}

func verdictText(v *pb.LoadVerdict) string {
	switch {
	case Failed(v):
		return "failed"
	case !v.GetJournalsComplete():
		return "no fault found, but the journals are incomplete"
	}
	return "passed"
}

func writeKinds(b *bytes.Buffer, run *pb.LoadRun) {
	b.WriteString("## Operations\n\nLatency in milliseconds from the intended time of sending, whole answers only. The last two columns are of answers certified not run, of every attempt.\n\n")
	b.WriteString("| kind | sent | answered | refused | unknown | failed | wrong | resent | p50 | p90 | p99 | p99.9 | max | refusal p50 | refusal p99 |\n")
	b.WriteString("|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|\n")
	for _, k := range run.GetKinds() {
		l, refusal := k.GetLatency(), k.GetRefusalLatency()
		fmt.Fprintf(b, "| %s | %d | %d | %d | %d | %d | %d | %d | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f | %.3f |\n",
			k.GetKind(), k.GetSent(), k.GetAnswered(), k.GetRefused(), k.GetUnknown(), k.GetFailed(), k.GetWrong(), k.GetResent(),
			milliseconds(l.GetP50Us()), milliseconds(l.GetP90Us()), milliseconds(l.GetP99Us()), milliseconds(l.GetP999Us()), milliseconds(l.GetMaxUs()),
			milliseconds(refusal.GetP50Us()), milliseconds(refusal.GetP99Us()))
	}
	fmt.Fprintf(b, "\n![Latency over time](%s)\n\n", latencyFile)
}

func writeVerdictCounts(b *bytes.Buffer, v *pb.LoadVerdict) {
	b.WriteString("## What callers were told against what ran\n\n| | operations |\n|---|--:|\n")
	rows := []struct {
		name  string
		count uint32
	}{
		{"sent", v.GetOperations()},
		{"executions found in the journals", v.GetExecutions()},
		{"wrong answer", v.GetWrong()},
		{"answered, never ran", v.GetLost()},
		{"not idempotent, ran more than once", v.GetDoubled()},
		{"certified not run, ran", v.GetRanThoughRefused()},
		{"executions that nobody asked for", v.GetForeign()},
		{"unknown outcome, ran", v.GetUnknownRan()},
		{"unknown outcome, did not run", v.GetUnknownNotRun()},
		{"idempotent, ran more than once", v.GetRepeated()},
		{"answered, no execution found in incomplete journals", v.GetUnproved()},
	}
	for _, row := range rows {
		fmt.Fprintf(b, "| %s | %d |\n", row.name, row.count)
	}
	b.WriteString("\n")
	for _, example := range v.GetExamples() {
		fmt.Fprintf(b, "- %s\n", example)
	}
	if len(v.GetExamples()) > 0 {
		b.WriteString("\n")
	}
}

func writeReasons(b *bytes.Buffer, run *pb.LoadRun) {
	if len(run.GetRefusals()) > 0 {
		b.WriteString("## Attempts without a whole answer\n\n| reason | attempts |\n|---|--:|\n")
		for _, reason := range slices.Sorted(maps.Keys(run.GetRefusals())) {
			fmt.Fprintf(b, "| %s | %d |\n", reason, run.GetRefusals()[reason])
		}
		b.WriteString("\n")
	}
	fmt.Fprintf(b, "![Refused and unknown operations over time](%s)\n\n", refusalsFile)
}

func writeSteps(b *bytes.Buffer, run *pb.LoadRun) {
	b.WriteString("## Steps\n\n| begins at s | note |\n|--:|---|\n")
	for _, step := range run.GetSteps() {
		fmt.Fprintf(b, "| %.1f | %s |\n", step.GetAtS(), step.GetNote())
	}
	b.WriteString("\n")
}

func writeServers(b *bytes.Buffer, run *pb.LoadRun) {
	if len(run.GetServers()) == 0 {
		return
	}
	b.WriteString("## Executions per server\n\n| server | executions |\n|---|--:|\n")
	for _, server := range run.GetServers() {
		fmt.Fprintf(b, "| %s | %d |\n", server.GetServer(), server.GetExecutions())
	}
	fmt.Fprintf(b, "\n![Executions per server over time](%s)\n\n", executionsFile)
}

func writeGenerator(b *bytes.Buffer, g *pb.GeneratorResult) {
	b.WriteString("## The generator itself\n\n")
	fmt.Fprintf(b, "Operations were sent late by p50 %.3f ms, p99 %.3f ms and at most %.3f ms; this is part of their latency. ",
		milliseconds(g.GetLateness().GetP50Us()), milliseconds(g.GetLateness().GetP99Us()), milliseconds(g.GetLateness().GetMaxUs()))
	fmt.Fprintf(b, "%d were not sent because too many were in flight. ", g.GetSkipped())
	fmt.Fprintf(b, "It spent %.0f us of processor time an operation, made %d connections and sent %d idempotent requests again because an idle connection was closed.\n",
		g.GetCpuUs(), g.GetConnections(), g.GetReconnects())
	if g.GetPipelined() > 0 {
		fmt.Fprintf(b, "%d requests were sent behind another on their connection; %d answers there came out of order or twice.\n",
			g.GetPipelined(), g.GetOutOfOrder())
	}
}

package loadgen

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/egretfield/egretfield/internal/pb"
)

// WritePairTable prints a run of paired calls as a human-readable table.
func WritePairTable(w io.Writer, run *pb.PairRun) error {
	t := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	fmt.Fprintln(t, "calls\tcount\tp50 ms\tp99 ms\tp99.9 ms\tmax ms")
	rows := []struct {
		name    string
		latency *pb.Latency
	}{
		{"direct", run.GetDirect()},
		{"direct again (control)", run.GetControl()},
		{"routed", run.GetRouted()},
		{"routed less direct, within each pair", run.GetDifference()},
	}
	for _, row := range rows {
		fmt.Fprintf(t, "%s\t%d\t%s\n", row.name, row.latency.GetCount(), formatLatency(row.latency, "\t"))
	}
	differences := []struct {
		name           string
		p50, p99, p999 float64
	}{
		{"added: routed less direct", run.GetAddedP50Us(), run.GetAddedP99Us(), run.GetAddedP999Us()},
		{"noise: control less direct", run.GetNoiseP50Us(), run.GetNoiseP99Us(), run.GetNoiseP999Us()},
	}
	for _, d := range differences {
		fmt.Fprintf(t, "%s\t\t%.3f\t%.3f\t%.3f\n", d.name, milliseconds(d.p50), milliseconds(d.p99), milliseconds(d.p999))
	}
	fmt.Fprintf(t, "added, median of %d blocks\t\t%.3f\t%.3f\n", blockCount, milliseconds(run.GetBlockAddedP50Us()), milliseconds(run.GetBlockAddedP99Us()))
	fmt.Fprintf(t, "noise, median of %d blocks\t\t%.3f\t%.3f\n", blockCount, milliseconds(run.GetBlockNoiseP50Us()), milliseconds(run.GetBlockNoiseP99Us()))
	if err := t.Flush(); err != nil {
		return err
	}
	return writePairCosts(w, run)
}

func writePairCosts(w io.Writer, run *pb.PairRun) error {
	t := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	fmt.Fprintf(t, "\ncalls a second: direct %.0f, routed %.0f\n", run.GetDirectCallsPerS(), run.GetRoutedCallsPerS())
	for _, p := range run.GetProcesses() {
		fmt.Fprintf(t, "%s (process %d)\t%.2f cores\t%.1f us of processor time a routed call\n", p.GetName(), p.GetPid(), p.GetCores(), p.GetUsPerRoutedCall())
	}
	g := run.GetGenerator()
	fmt.Fprintf(t, "failed %d, wrong %d\n", run.GetFailed(), run.GetWrong())
	fmt.Fprintf(t, "generator: sent late by p50 %.3f ms, p99 %.3f ms; %.0f us of processor time a call; new connections %d, reconnects %d\n",
		milliseconds(g.GetLateness().GetP50Us()), milliseconds(g.GetLateness().GetP99Us()), g.GetCpuUs(), g.GetConnections(), g.GetReconnects())
	return t.Flush()
}

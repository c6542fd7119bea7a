package loadgen

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/egretfield/egretfield/internal/pb"
)

const tablePadding = 2

// WriteTable prints a run as a human-readable table.
func WriteTable(w io.Writer, run *pb.LoadRun) error {
	t := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', 0)
	fmt.Fprintln(t, "kind\tsent\tanswered\trefused\tunknown\tfailed\twrong\tresent\tp50 ms\tp99 ms\tp99.9 ms\tmax ms\trefusal p50 ms\trefusal p99 ms")
	for _, k := range run.GetKinds() {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%.3f\t%.3f\n", k.GetKind(), k.GetSent(), k.GetAnswered(), k.GetRefused(),
			k.GetUnknown(), k.GetFailed(), k.GetWrong(), k.GetResent(), formatLatency(k.GetLatency(), "\t"),
			milliseconds(k.GetRefusalLatency().GetP50Us()), milliseconds(k.GetRefusalLatency().GetP99Us()))
	}
	fmt.Fprintln(t)
	for _, reason := range slices.Sorted(maps.Keys(run.GetRefusals())) {
		fmt.Fprintf(t, "not answered: %s\t%d\n", reason, run.GetRefusals()[reason])
	}
	for _, s := range run.GetServers() {
		fmt.Fprintf(t, "executions at %s\t%d\n", s.GetServer(), s.GetExecutions())
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return writeVerdictLines(w, run)
}

func writeVerdictLines(w io.Writer, run *pb.LoadRun) error {
	v, g := run.GetVerdict(), run.GetGenerator()
	_, err := fmt.Fprintf(w, `
operations %d, executions %d, journals complete: %t
wrong %d, lost %d, doubled %d, ran though refused %d
unknown: ran %d, not run %d; repeated (idempotent) %d; unproved %d; foreign %d
generator: sent late by p50 %.3f ms, p99 %.3f ms; skipped %d; %.0f us of processor time an operation; connections %d, reconnects %d
`, v.GetOperations(), v.GetExecutions(), v.GetJournalsComplete(),
		v.GetWrong(), v.GetLost(), v.GetDoubled(), v.GetRanThoughRefused(),
		v.GetUnknownRan(), v.GetUnknownNotRun(), v.GetRepeated(), v.GetUnproved(), v.GetForeign(),
		milliseconds(g.GetLateness().GetP50Us()), milliseconds(g.GetLateness().GetP99Us()), g.GetSkipped(), g.GetCpuUs(),
		g.GetConnections(), g.GetReconnects())
	for _, example := range v.GetExamples() {
		if err == nil {
			_, err = fmt.Fprintln(w, example)
		}
	}
	return err
}

func formatLatency(l *pb.Latency, separator string) string {
	return fmt.Sprintf("%.3f%s%.3f%s%.3f%s%.3f", milliseconds(l.GetP50Us()), separator, milliseconds(l.GetP99Us()), separator,
		milliseconds(l.GetP999Us()), separator, milliseconds(l.GetMaxUs()))
}

func milliseconds(us float64) float64 {
	const usPerMs = 1000
	return us / usPerMs
}

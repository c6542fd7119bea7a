package loadgen

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/egretfield/egretfield/internal/pb"
)

// WriteComparison prints two runs side by side, with the relative changes.
func WriteComparison(w io.Writer, a, b *pb.LoadRun) error {
	t := tabwriter.NewWriter(w, 0, 0, tablePadding, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "\t%s\t%s\tchange\t\n", columnLabel(a, "a"), columnLabel(b, "b"))
	for _, kind := range Kinds {
		writeKindComparison(t, kindResult(a, kind), kindResult(b, kind))
	}
	va, vb := a.GetVerdict(), b.GetVerdict()
	rows := []struct {
		name string
		a, b uint32
	}{
		{"wrong", va.GetWrong(), vb.GetWrong()},
		{"lost", va.GetLost(), vb.GetLost()},
		{"doubled", va.GetDoubled(), vb.GetDoubled()},
		{"ran though refused", va.GetRanThoughRefused(), vb.GetRanThoughRefused()},
		{"executions", va.GetExecutions(), vb.GetExecutions()},
		{"idempotent, ran more than once", va.GetRepeated(), vb.GetRepeated()},
	}
	for _, row := range rows {
		writeComparisonRow(t, row.name, "%.0f", float64(row.a), float64(row.b))
	}
	writeComparisonRow(t, "generator p99 lateness, ms", "%.3f", milliseconds(a.GetGenerator().GetLateness().GetP99Us()), milliseconds(b.GetGenerator().GetLateness().GetP99Us()))
	return t.Flush()
}

func columnLabel(run *pb.LoadRun, fallback string) string {
	if run.GetName() == "" {
		return fallback
	}
	return fallback + ": " + run.GetName()
}

func kindResult(run *pb.LoadRun, kind Kind) *pb.KindResult {
	for _, k := range run.GetKinds() {
		if k.GetKind() == string(kind) {
			return k
		}
	}
	return nil
}

func writeKindComparison(w io.Writer, a, b *pb.KindResult) {
	if a == nil && b == nil {
		return
	}
	name := a.GetKind()
	if a == nil {
		name = b.GetKind()
	}
	counts := []struct {
		name string
		of   func(*pb.KindResult) uint32
	}{
		{"sent", (*pb.KindResult).GetSent},
		{"answered", (*pb.KindResult).GetAnswered},
		{"refused", (*pb.KindResult).GetRefused},
		{"unknown", (*pb.KindResult).GetUnknown},
		{"failed", (*pb.KindResult).GetFailed},
	}
	for _, c := range counts {
		writeComparisonRow(w, name+" "+c.name, "%.0f", float64(c.of(a)), float64(c.of(b)))
	}
	latencies := []struct {
		name string
		of   func(*pb.Latency) float64
	}{
		{"p50", (*pb.Latency).GetP50Us},
		{"p99", (*pb.Latency).GetP99Us},
		{"p99.9", (*pb.Latency).GetP999Us},
	}
	for _, l := range latencies {
		writeComparisonRow(w, name+" "+l.name+", ms", "%.3f", milliseconds(l.of(a.GetLatency())), milliseconds(l.of(b.GetLatency())))
	}
	for _, l := range latencies[:2] {
		writeComparisonRow(w, name+" refusal "+l.name+", ms", "%.3f", milliseconds(l.of(a.GetRefusalLatency())), milliseconds(l.of(b.GetRefusalLatency())))
	}
}

func writeComparisonRow(w io.Writer, name, format string, a, b float64) {
	change := ""
	if a > 0 {
		change = fmt.Sprintf("%+.1f%%", (b-a)/a*percent)
	}
	fmt.Fprintf(w, "%s\t"+format+"\t"+format+"\t%s\t\n", name, a, b, change)
}

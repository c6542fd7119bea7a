package loadgen

import (
	"image/color"
	"path/filepath"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/egretfield/egretfield/internal/pb"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	// maxLegendEntries is the largest number of lines that a legend names.
	maxLegendEntries = 14
	// intervalMidpoint is the position of a point within its interval.
	intervalMidpoint = 0.5
)

// series is one line of a plot.
type series struct {
	name string
	// values holds one value per interval.
	values []float64
}

// writePlots writes the plots of a run into a directory.
func writePlots(directory string, run *pb.LoadRun) error {
	plots := []struct {
		file, title, unit string
		lines             []series
	}{
		{latencyFile, "Latency of whole answers", "ms", latencySeries(run)},
		{executionsFile, "Executions per server", "1/s", executionSeries(run)},
		{refusalsFile, "Operations without a whole answer", "1/s", refusalSeries(run)},
	}
	for _, p := range plots {
		if err := writePlot(filepath.Join(directory, p.file), p.title, p.unit, p.lines, run); err != nil {
			return err
		}
	}
	return nil
}

func latencySeries(run *pb.LoadRun) []series {
	p50, p99 := series{name: "p50"}, series{name: "p99"}
	for _, interval := range run.GetIntervals() {
		p50.values = append(p50.values, milliseconds(interval.GetP50Us()))
		p99.values = append(p99.values, milliseconds(interval.GetP99Us()))
	}
	return []series{p50, p99}
}

func executionSeries(run *pb.LoadRun) []series {
	lines := []series{}
	for _, server := range run.GetServers() {
		line := series{name: server.GetServer()}
		for _, count := range server.GetSeries() {
			line.values = append(line.values, float64(count)/intervalDuration.Seconds())
		}
		lines = append(lines, line)
	}
	return lines
}

func refusalSeries(run *pb.LoadRun) []series {
	refused, unknown := series{name: "refused, not run"}, series{name: "unknown or failed"}
	for _, interval := range run.GetIntervals() {
		refused.values = append(refused.values, float64(interval.GetRefused())/intervalDuration.Seconds())
		unknown.values = append(unknown.values, float64(interval.GetUnknown())/intervalDuration.Seconds())
	}
	return []series{refused, unknown}
}

func writePlot(file, title, unit string, lines []series, run *pb.LoadRun) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "s"
	p.Y.Label.Text = unit
	p.X.Min = 0
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	highest := 0.0
	for i, line := range lines {
		points := make(plotter.XYs, len(line.values))
		for j, value := range line.values {
			points[j] = plotter.XY{X: (float64(j) + intervalMidpoint) * intervalDuration.Seconds(), Y: value}
			highest = max(highest, value)
		}
		drawn, err := plotter.NewLine(points)
		if err != nil {
			return eris.Wrapf(err, "plot %q", title)
		}
		drawn.Color = plotutil.Color(i)
		p.Add(drawn)
		if i < maxLegendEntries {
			p.Legend.Add(line.name, drawn)
		}
	}
	if err := addSteps(p, run, max(1, highest)); err != nil {
		return eris.Wrapf(err, "plot %q", title)
	}
	return eris.Wrapf(p.Save(plotWidth, plotHeight, file), "plot %q", title)
}

// addSteps marks the beginning of each step except the first.
func addSteps(p *plot.Plot, run *pb.LoadRun, height float64) error {
	for i, step := range run.GetSteps() {
		if i == 0 {
			continue
		}
		mark, err := plotter.NewLine(plotter.XYs{{X: step.GetAtS()}, {X: step.GetAtS(), Y: height}})
		if err != nil {
			return err
		}
		mark.Color = color.Gray{Y: 128}
		mark.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
		p.Add(mark)
		label, err := plotter.NewLabels(plotter.XYLabels{
			XYs:    plotter.XYs{{X: step.GetAtS(), Y: height}},
			Labels: []string{step.GetNote()},
		})
		if err != nil {
			return err
		}
		p.Add(label)
	}
	return nil
}

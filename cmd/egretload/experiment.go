package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/egretfield/egretfield/internal/loadgen"
)

// runExperiment runs an experiment from a file, prints its result and writes its report.
func runExperiment(ctx context.Context, args []string) int {
	flags := flag.NewFlagSet("egretload run", flag.ContinueOnError)
	directory := flags.String("out", "", "`directory` for report.md, run.json and plots (default: no report)")
	output := flags.String("o", "table", "output: table or json")
	fleet := flags.String("fleet", "", "`file` with targets, servers and log_url, in place of the experiment's")
	check := flags.Bool("check", false, "only check the file")
	rest, code, ok := parse(flags, args, 1)
	if !ok {
		return code
	}
	experiment, err := loadgen.LoadExperiment(rest[0], *fleet)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if *check {
		return exitOK
	}
	result, err := loadgen.Run(ctx, experiment)
	if err != nil {
		return fail(err)
	}
	if *directory != "" {
		if err := loadgen.WriteReport(*directory, result); err != nil {
			return fail(err)
		}
	}
	return printRun(result, *output)
}

// report writes the report of a run that was stored as JSON.
func report(args []string) int {
	flags := flag.NewFlagSet("egretload report", flag.ContinueOnError)
	directory := flags.String("out", "", "`directory` for the report (default: that of the run)")
	rest, code, ok := parse(flags, args, 1)
	if !ok {
		return code
	}
	result, err := loadgen.ReadRun(rest[0])
	if err != nil {
		return fail(err)
	}
	if *directory == "" {
		*directory = filepath.Dir(rest[0])
	}
	if err := loadgen.WriteReport(*directory, result); err != nil {
		return fail(err)
	}
	return exitOK
}

// compare prints two runs side by side.
func compare(args []string) int {
	flags := flag.NewFlagSet("egretload compare", flag.ContinueOnError)
	rest, code, ok := parse(flags, args, 2)
	if !ok {
		return code
	}
	first, err := loadgen.ReadRun(rest[0])
	if err != nil {
		return fail(err)
	}
	second, err := loadgen.ReadRun(rest[1])
	if err != nil {
		return fail(err)
	}
	if err := loadgen.WriteComparison(os.Stdout, first, second); err != nil {
		return fail(err)
	}
	return exitOK
}

// Command egretload is a load generator. It sends requests through the system, checks
// every answer and compares the outcomes reported to callers with what the stand-in
// servers executed.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"

	"github.com/egretfield/egretfield/internal/version"
)

// Exit codes.
const (
	exitOK          = 0
	exitWrongAnswer = 1 // an answer was wrong, lost or doubled
	exitUsage       = 2
	exitFailed      = 3 // the run couldn't be made
)

// gcPercent makes garbage collection rare, to keep it out of the measured latencies.
const gcPercent = 400

const usage = `usage:
  egretload [flags]                 run load at a fixed rate; see egretload -help
  egretload run [flags] FILE        run an experiment in YAML and report on it
  egretload pair [flags]            measure the added latency by paired direct and routed calls
  egretload report [flags] RUN      write the report of a run.json again
  egretload compare RUN RUN         print two runs side by side
  egretload -version

Exit codes: 0 passed; 1 an answer was wrong, lost or doubled; 2 usage; 3 the
run couldn't be made.
`

func main() {
	debug.SetGCPercent(gcPercent)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	os.Exit(run(ctx, os.Args[1:]))
}

// run runs the command in args and returns its exit code.
func run(ctx context.Context, args []string) int {
	if len(args) == 0 {
		fmt.Fprint(os.Stderr, usage)
		return exitUsage
	}
	switch args[0] {
	case "-version", "--version":
		fmt.Println("egretload", version.Version)
		return exitOK
	case "run":
		return runExperiment(ctx, args[1:])
	case "pair":
		return runPairs(ctx, args[1:])
	case "report":
		return report(args[1:])
	case "compare":
		return compare(args[1:])
	}
	return load(ctx, args)
}

// parse parses flags and returns the arguments after them, of which there must be want.
// If ok is false, the command ends with the exit code.
func parse(flags *flag.FlagSet, args []string, want int) (rest []string, code int, ok bool) {
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return nil, exitOK, false
		}
		return nil, exitUsage, false
	}
	if flags.NArg() != want {
		fmt.Fprintf(os.Stderr, "%s: expected %d arguments after the flags, got %d\n", flags.Name(), want, flags.NArg())
		return nil, exitUsage, false
	}
	return flags.Args(), exitOK, true
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, "egretload:", err)
	return exitFailed
}

func usageError(problem string) int {
	fmt.Fprintln(os.Stderr, "egretload:", problem)
	return exitUsage
}

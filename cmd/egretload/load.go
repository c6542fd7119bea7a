package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/egretfield/egretfield/internal/loadgen"
	"github.com/egretfield/egretfield/internal/pb"
)

// loadFlags holds the flags of a run without an experiment file.
type loadFlags struct {
	targets, journals, service string
	rate                       float64
	duration, timeout          time.Duration
	orders, uploads, lookups   uint
	depth, resends, pipeline   uint
	answerBytes                uint64
	seed                       uint64
	output                     string
}

// load runs the load that the flags describe and prints the result.
func load(ctx context.Context, args []string) int {
	f := loadFlags{}
	flags := flag.NewFlagSet("egretload", flag.ContinueOnError)
	flags.StringVar(&f.targets, "target", "", "caller `addresses` of nodes, comma-separated; address@region or address@region/data-centre gives the place of its callers")
	flags.StringVar(&f.journals, "journal", "", "admin `addresses` (or journal files, as file:PATH) of all stand-in servers, comma-separated")
	flags.StringVar(&f.service, "service", "catalogue", "service called")
	flags.Float64Var(&f.rate, "rate", 400, "operations a second")
	flags.DurationVar(&f.duration, "duration", 10*time.Second, "length of the run")
	flags.DurationVar(&f.timeout, "timeout", 5*time.Second, "time allowed for an operation")
	flags.UintVar(&f.orders, "orders", 20, "share of orders, percent")
	flags.UintVar(&f.uploads, "uploads", 0, "share of uploads, percent")
	flags.UintVar(&f.lookups, "lookups", 0, "share of lookup chains, percent")
	flags.UintVar(&f.depth, "depth", 3, "depth of lookup chains")
	flags.UintVar(&f.resends, "resends", 0, "number of times that an order is sent again with its key")
	flags.UintVar(&f.pipeline, "pipeline", 1, "idempotent requests that share a connection, sent before the answers ahead of them (1 to 64)")
	flags.Uint64Var(&f.answerBytes, "answer-bytes", 0, "length of answers (0: the server's)")
	flags.Uint64Var(&f.seed, "seed", 1, "seed of the random mix of operations")
	flags.StringVar(&f.output, "o", "table", "output: table or json")
	_, code, ok := parse(flags, args, 0)
	if !ok {
		return code
	}
	if problem := f.validate(); problem != "" {
		return usageError(problem)
	}
	run, err := loadgen.Run(ctx, f.experiment())
	if err != nil {
		return fail(err)
	}
	return printRun(run, f.output)
}

// validate returns a message about the first invalid flag, or the empty string.
func (f *loadFlags) validate() string {
	switch {
	case f.targets == "":
		return "-target: expected at least one address, got none"
	case f.output != "table" && f.output != "json":
		return fmt.Sprintf("-o: expected table or json, got %q", f.output)
	case f.pipeline < 1 || f.pipeline > loadgen.MaxPipeline:
		return fmt.Sprintf("-pipeline: expected 1 to %d, got %d", loadgen.MaxPipeline, f.pipeline)
	case f.orders+f.uploads+f.lookups > 100:
		return "-orders, -uploads and -lookups: expected at most 100 percent in all, got more"
	}
	return ""
}

// experiment returns an experiment with one step of load, as the flags describe it.
func (f *loadFlags) experiment() *pb.Experiment {
	e := &pb.Experiment{
		Name:      "egretload",
		Seed:      f.seed,
		Resends:   uint32(f.resends),
		Pipeline:  uint32(f.pipeline),
		TimeoutMs: uint32(f.timeout.Milliseconds()),
		Steps:     []*pb.Step{{DurationS: f.duration.Seconds(), Rate: f.rate}},
	}
	for _, target := range targets(f.targets) {
		e.Targets = append(e.Targets, &pb.LoadTarget{Address: target.Address, Place: target.Place})
	}
	for _, journal := range splitList(f.journals) {
		server := &pb.LoadServer{Name: journal, Admin: journal}
		if path, found := strings.CutPrefix(journal, "file:"); found {
			server = &pb.LoadServer{Name: journal, JournalFile: path}
		}
		e.Servers = append(e.Servers, server)
	}
	shares := []struct {
		kind  loadgen.Kind
		share uint
	}{
		{loadgen.KindBrowse, 100 - f.orders - f.uploads - f.lookups},
		{loadgen.KindOrder, f.orders},
		{loadgen.KindUpload, f.uploads},
		{loadgen.KindLookup, f.lookups},
	}
	for _, s := range shares {
		if s.share == 0 {
			continue
		}
		e.Mix = append(e.Mix, &pb.Traffic{
			Kind: string(s.kind), Service: f.service, Weight: uint32(s.share),
			Depth: uint32(f.depth), AnswerBytes: f.answerBytes,
		})
	}
	return e
}

// targets parses a comma-separated list of addresses, each optionally preceded by
// http:// and followed by an @ and its place.
func targets(list string) []loadgen.Target {
	found := []loadgen.Target{}
	for _, text := range splitList(list) {
		address, place, _ := strings.Cut(text, "@")
		found = append(found, loadgen.Target{Address: strings.TrimPrefix(address, "http://"), Place: place})
	}
	return found
}

// splitList splits a comma-separated list. An empty text is an empty list.
func splitList(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

// printRun prints a run and returns the exit code for its verdict.
func printRun(run *pb.LoadRun, output string) int {
	if output == "json" {
		fmt.Println(protojson.Format(run))
	} else if err := loadgen.WriteTable(os.Stdout, run); err != nil {
		return fail(err)
	}
	if loadgen.Failed(run.GetVerdict()) {
		return exitWrongAnswer
	}
	return exitOK
}

package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/egretfield/egretfield/internal/loadgen"
	"github.com/egretfield/egretfield/internal/pb"
)

// runPairs measures the latency that the system adds to a call.
func runPairs(ctx context.Context, args []string) int {
	options := loadgen.PairOptions{}
	flags := flag.NewFlagSet("egretload pair", flag.ContinueOnError)
	direct := flags.String("direct", "", "`addresses` of backend servers, comma-separated")
	routed := flags.String("routed", "", "caller `addresses` of nodes, comma-separated")
	service := flags.String("service", "catalogue", "service called")
	answerBytes := flags.Uint64("answer-bytes", 0, "length of answers (0: the server's)")
	pids := flags.String("pids", "", "ids of `processes` whose CPU time is reported, comma-separated")
	output := flags.String("o", "table", "output: table or json")
	flags.Float64Var(&options.Rate, "rate", 400, "pairs a second (open loop)")
	flags.IntVar(&options.Workers, "workers", 0, "workers of a closed loop, for calls a second at saturation (0: open loop)")
	flags.DurationVar(&options.Duration, "duration", 10*time.Second, "length of the run")
	flags.DurationVar(&options.Warmup, "warmup", time.Second, "length of the warm-up, whose calls aren't counted")
	flags.DurationVar(&options.Timeout, "timeout", 5*time.Second, "time allowed for a call")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the order within pairs")
	_, code, ok := parse(flags, args, 0)
	if !ok {
		return code
	}
	options.Direct, options.Routed = targets(*direct), targets(*routed)
	options.Traffic = &pb.Traffic{Kind: string(loadgen.KindBrowse), Service: *service, AnswerBytes: *answerBytes}
	for _, text := range splitList(*pids) {
		pid, err := strconv.Atoi(text)
		if err != nil {
			return usageError(fmt.Sprintf("-pids: expected numbers, got %q", text))
		}
		options.Pids = append(options.Pids, pid)
	}
	result, err := loadgen.RunPairs(ctx, options)
	if err != nil {
		return fail(err)
	}
	if *output == "json" {
		fmt.Println(protojson.Format(result))
	} else if err := loadgen.WritePairTable(os.Stdout, result); err != nil {
		return fail(err)
	}
	if result.GetWrong() > 0 {
		return exitWrongAnswer
	}
	return exitOK
}

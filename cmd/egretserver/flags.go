package main

import (
	"flag"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/egretfield/egretfield/internal/standin/backend"
)

const (
	defaultDrainGrace   = time.Second
	defaultDrainTimeout = 30 * time.Second
	defaultSlots        = 10
	defaultConnections  = 220
	defaultAnswerBytes  = 2048
)

// linkDelays is a flag value with the one-way delays from other regions and data
// centres, by place.
type linkDelays map[string]time.Duration

// String implements flag.Value.
func (l linkDelays) String() string {
	parts := []string{}
	for place, delay := range l {
		parts = append(parts, place+"="+delay.String())
	}
	return strings.Join(parts, ",")
}

// Set implements flag.Value.
func (l linkDelays) Set(text string) error {
	for part := range strings.SplitSeq(text, ",") {
		place, delay, found := strings.Cut(part, "=")
		if !found {
			return eris.Errorf("expected place=delay, got %q", part)
		}
		d, err := time.ParseDuration(delay)
		if err != nil {
			return eris.Errorf("invalid delay %q", delay)
		}
		l[place] = d
	}
	return nil
}

// linkRates is a flag value with the bytes a second of links to regions and data
// centres, by place.
type linkRates map[string]int64

// String implements flag.Value.
func (r linkRates) String() string {
	parts := []string{}
	for place, rate := range r {
		parts = append(parts, place+"="+strconv.FormatInt(rate, 10))
	}
	return strings.Join(parts, ",")
}

// Set implements flag.Value.
func (r linkRates) Set(text string) error {
	for part := range strings.SplitSeq(text, ",") {
		place, number, found := strings.Cut(part, "=")
		if !found {
			return eris.Errorf("expected place=bytes, got %q", part)
		}
		rate, err := strconv.ParseInt(number, 10, 64)
		if err != nil || rate <= 0 {
			return eris.Errorf("invalid rate %q, expected a positive integer", number)
		}
		r[place] = rate
	}
	return nil
}

func parseFlags() (backend.Options, processOptions, bool) {
	options := backend.Options{Links: map[string]time.Duration{}, LinkRates: map[string]int64{}}
	process := processOptions{}
	flag.StringVar(&process.serve, "address", "127.0.0.1:0", "`host:port` for requests")
	flag.StringVar(&process.serveFile, "address-file", "", "`file` to write the bound address to")
	flag.StringVar(&process.admin, "admin-address", "127.0.0.1:0", "`host:port` for journal and faults")
	flag.StringVar(&process.adminFile, "admin-address-file", "", "`file` to write the bound admin address to")
	flag.StringVar(&process.announce, "announce", "", "announce address of the node (`host:port`); empty: none")
	flag.DurationVar(&process.drainGrace, "drain-grace", defaultDrainGrace, "time that new requests are still served after SIGTERM")
	flag.DurationVar(&process.drainTimeout, "drain-timeout", defaultDrainTimeout, "longest wait for requests in flight after SIGTERM")
	flag.StringVar(&options.Name, "name", "", "name of the server in its answers (default: its address)")
	flag.StringVar(&options.Service, "service", "catalogue", "service that it belongs to")
	flag.StringVar(&options.Place, "place", "", "`region` or region/data-centre that its lookups come from")
	flag.IntVar(&options.Slots, "slots", defaultSlots, "number of requests run concurrently")
	flag.IntVar(&options.Queue, "queue", -1, "requests that may wait for a slot (-1: no limit)")
	flag.IntVar(&options.Connections, "connections", defaultConnections, "number of connections accepted")
	flag.DurationVar(&options.ConnectDelay, "connect-delay", 0, "time that a new connection takes")
	flag.DurationVar(&options.Mean, "mean", 0, "mean service time")
	flag.DurationVar(&options.Jitter, "jitter", 0, "greatest deviation from the mean")
	flag.Float64Var(&options.TailPercent, "tail-percent", 0, "share of requests in the tail, percent")
	flag.Float64Var(&options.TailFactor, "tail-factor", 10, "service time of requests in the tail, as a multiple of the usual")
	flag.Int64Var(&options.AnswerBytes, "answer-bytes", defaultAnswerBytes, "length of an answer")
	flag.DurationVar(&options.ColdFor, "cold-for", 0, "duration of the ramp after a cold start")
	flag.Float64Var(&options.ColdFactor, "cold-factor", 5, "service time at a cold start, as a multiple of the usual")
	flag.BoolVar(&options.ReportCold, "report-cold", false, "tell the node in announcements and health answers how long the ramp still takes")
	flag.Var(linkDelays(options.Links), "links", "one-way delays from regions and data centres, `place=delay,...`")
	flag.Var(linkRates(options.LinkRates), "link-rates", "bytes a second each way that links to regions and data centres carry, `place=bytes,...`")
	flag.StringVar(&options.CallerAddress, "caller", "", "caller address of the node (`host:port`), for lookups")
	flag.StringVar(&options.JournalFile, "journal-file", "", "`file` to which a line is written for each execution; it is kept when the process is killed")
	showVersion := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	return options, process, *showVersion
}

package balance

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
)

var (
	compareLength = flag.Duration("compare.length", 500*time.Millisecond, "virtual time of each run of the comparison")
	compareSeeds  = flag.Int("compare.seeds", 1, "number of runs of the comparison that are added up")
	comparePolicy = flag.String("compare.policies", strings.Join([]string{Default, RoundRobin, Random}, ","), "policies to compare")
	compareTable  = flag.String("compare.table", "", "file to write the table of the comparison to")
)

const (
	steadyLoadShare   = 0.6
	stragglerSlowdown = 10
)

// scenario is a server fault or a change of load.
type scenario struct {
	name  string
	apply func(f *fleet, length time.Duration)
}

// scenarios run after 200 ms of light steady load, with the same seeds for each policy.
var scenarios = []scenario{
	{"steady", func(f *fleet, length time.Duration) {
		f.sendLoad(steadyLoadShare*f.capacity(), length, f.entries)
	}},
	{"straggler", func(f *fleet, length time.Duration) {
		f.servers[0].slowdown = stragglerSlowdown
		f.sendLoad(steadyLoadShare*f.capacity(), length, f.entries)
	}},
	{"doubled", func(f *fleet, length time.Duration) {
		f.sendLoad(0.45*f.capacity(), length, f.entries)
		f.schedule(length/3, func() { f.sendLoad(0.45*f.capacity(), length/3, f.entries) })
	}},
	{"half cold", func(f *fleet, length time.Duration) {
		for i := 0; i < len(f.servers); i += 2 {
			f.servers[i].slowdown = 4
			f.schedule(length/2, func() { f.servers[i].slowdown = 1 })
		}
		f.sendLoad(0.4*f.capacity(), length, f.entries)
	}},
	{"fast failing", func(f *fleet, length time.Duration) {
		f.servers[0].failing = true
		f.sendLoad(steadyLoadShare*f.capacity(), length, f.entries)
	}},
	{"lying", func(f *fleet, length time.Duration) {
		f.servers[0].misreporting = true
		f.servers[0].slowdown = 3
		f.sendLoad(steadyLoadShare*f.capacity(), length, f.entries)
	}},
	{"region short", func(f *fleet, length time.Duration) {
		var first []*fakeEntry
		for _, e := range f.entries {
			if e.region == "0" {
				first = append(first, e)
			}
		}
		f.sendLoad(0.5*f.capacity(), length, first)
		f.sendLoad(0.2*f.capacity(), length, f.entries)
	}},
}

// runScenario runs one policy in one scenario in virtual time, once per seed.
func runScenario(t *testing.T, l layout, policy string, s scenario, length time.Duration) summary {
	total := &totals{latency: newHistogram()}
	for seed := range uint64(*compareSeeds) {
		virtualtime.Test(t, func(*testing.T) {
			settings := &pb.Policy{CrossRegionBytesPerS: 4 << 20}
			f := newFleet(l, policy, settings, seed+1)
			f.sendLoad(steadyLoadShare*f.capacity()/2, 200*time.Millisecond, f.entries)
			f.run()
			f.totals = totals{latency: newHistogram()}
			s.apply(f, length)
			f.run()
			total.add(&f.totals)
		})
	}
	return total.summary()
}

func TestCompare(t *testing.T) {
	results := map[string]summary{}
	var table strings.Builder
	table.WriteString("| deployment | case | policy | p50 ms | p99 ms | p99.9 ms | no answer % | refused attempts % | other region % |\n|---|---|---|---|---|---|---|---|---|\n")
	for _, l := range []layout{association, templarik} {
		for _, s := range scenarios {
			for _, policy := range strings.Split(*comparePolicy, ",") {
				r := runScenario(t, l, policy, s, *compareLength)
				results[l.name+s.name+policy] = r
				fmt.Fprintf(&table, "| %s | %s | %s | %.1f | %.1f | %.1f | %.2f | %.2f | %.2f |\n",
					l.name, s.name, policy, r.p50, r.p99, r.p999, r.failed, r.refusedAttempts, r.crossRegion)
			}
		}
	}
	if *compareTable != "" {
		if err := os.WriteFile(*compareTable, []byte(table.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	Convey("The default policy is no worse than any baseline where load data misleads", t, func() {
		for _, l := range []layout{association, templarik} {
			for _, s := range []string{"straggler", "lying", "doubled"} {
				chosen := results[l.name+s+Default]
				for _, baseline := range []string{RoundRobin, Random} {
					So(chosen.p99, ShouldBeLessThanOrEqualTo, results[l.name+s+baseline].p99)
				}
			}
		}
	})
	Convey("With a fast failing backend server nearly all requests are answered", t, func() {
		So(results["associationfast failing"+Default].failed, ShouldBeLessThan, 0.5)
	})
	Convey("Hardly any request leaves its region while the region has capacity", t, func() {
		So(results["associationsteady"+Default].crossRegion, ShouldBeLessThan, 0.1)
	})
}

package loadgen

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
)

const validExperiment = `name: trial
targets: [{address: "127.0.0.1:1", place: north}]
servers:
  - {name: s1, admin: "127.0.0.1:2"}
  - {name: s2, journal_file: journal}
mix:
  - {kind: lookup, service: catalogue, depth: 13, services: [archive, catalogue]}
steps:
  - {duration_s: 1, rate: 10}
  - duration_s: 1.5
    rate: 10
    server_faults:
      - {server: s1, faults: {straggle_factor: 10, load_lie: LOAD_LIE_IDLE}}
`

func TestExperiments(t *testing.T) {
	Convey("A valid experiment is read completely", t, func() {
		experiment, err := ParseExperiment("good.yaml", []byte(validExperiment), nil)
		So(err, ShouldBeNil)
		So(experiment.GetSteps()[1].GetServerFaults()[0].GetFaults().GetStraggleFactor(), ShouldEqual, 10)
		So(experiment.GetMix()[0].GetServices(), ShouldResemble, []string{"archive", "catalogue"})
	})
	invalid := map[string]string{
		"unknown-field": strings.Replace(validExperiment, "rate: 10}", "rat: 10}", 1),
		"wrong-type":    strings.Replace(validExperiment, "depth: 13", "depth: deep", 1),
		"not-yaml":      strings.Replace(validExperiment, "mix:", "mix: [", 1),
		"key-twice":     strings.Replace(validExperiment, "    rate: 10\n", "    rate: 10\n    rate: 20\n", 1),
		"empty":         "",
		"rules": `targets: [{place: north}]
servers:
  - {name: s1}
  - {name: s2, journal_file: journal}
  - {name: s2, admin: "127.0.0.1:2"}
mix:
  - {kind: brows, service: catalogue}
  - {kind: lookup}
  - kind: lookup
    service: catalogue
    depth: 14
  - {kind: order, service: orders, twice_percent: 101}
steps:
  - {duration_s: 0, rate: 10}
  - {duration_s: 1, rate: -1}
  - duration_s: 1
    rate: 2000000
    log_faults: {down: true}
    server_faults: [{server: s9}, {server: all}]
`,
	}
	for name, text := range invalid {
		t.Run(name, func(t *testing.T) {
			_, err := ParseExperiment(name+".yaml", []byte(text), nil)
			if err == nil {
				t.Fatal("no error")
			}
			goldie.New(t).Assert(t, "experiment-"+name, []byte(normalizeSpaces(err.Error())+"\n"))
		})
	}
}

// TestExamples parses the experiments under examples/ with the server names of
// scripts/playground.
func TestExamples(t *testing.T) {
	fleet := &pb.LoadFleet{LogUrl: "http://127.0.0.1:1", Targets: []*pb.LoadTarget{{Address: "127.0.0.1:2"}}}
	for _, name := range []string{"catalogue-taipei", "orders-taipei", "catalogue-hsinchu", "orders-hsinchu"} {
		fleet.Servers = append(fleet.Servers, &pb.LoadServer{Name: name, Admin: "127.0.0.1:3"})
	}
	files, err := filepath.Glob("../../examples/experiments/*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatal("no examples", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ParseExperiment(file, text, fleet); err != nil {
			t.Error(err)
		}
	}
}

// normalizeSpaces replaces the no-break spaces that protobuf inserts into its
// errors at random.
func normalizeSpaces(text string) string {
	return strings.ReplaceAll(text, "\u00a0", " ")
}

func TestMix(t *testing.T) {
	Convey("A mix draws kinds by weight, and the same ones for the same seed", t, func() {
		experiment := experimentOf(KindBrowse)
		experiment.Mix[0].Weight = 3
		experiment.Mix = append(experiment.Mix, experimentOf(KindOrder).Mix...)
		counts := [2]map[Kind]int{{}, {}}
		ids, keys := map[string]bool{}, map[string]bool{}
		for i := range counts {
			mix, err := NewMix(experiment.GetMix(), 7)
			So(err, ShouldBeNil)
			for range 1000 {
				o := mix.Next()
				counts[i][o.Kind]++
				ids[o.ID] = true
				if o.Key != "" {
					keys[o.Key] = true
				}
			}
		}
		So(counts[1], ShouldResemble, counts[0])
		So(counts[0][KindOrder], ShouldBeBetween, 200, 300)
		So(ids, ShouldHaveLength, 2000)
		So(keys, ShouldHaveLength, 2*counts[0][KindOrder])
	})
}

func TestProcessTime(t *testing.T) {
	Convey("/proc/PID/stat is parsed whatever the name of the process", t, func() {
		name, spent, err := parseStat([]byte("7 (a) (b c) S 1 7 7 0 -1 4194304 100 0 0 0 250 50 0 0 20 0"))
		So(err, ShouldBeNil)
		So(name, ShouldEqual, "a) (b c")
		So(spent, ShouldEqual, 3*time.Second)
		for _, text := range []string{"", "7 (a) S 1", "7 (a) S 1 7 7 0 -1 4194304 100 0 0 0 x 50"} {
			_, _, err = parseStat([]byte(text))
			So(err, ShouldNotBeNil)
		}
	})
}

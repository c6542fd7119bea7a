package loadgen

import (
	"errors"
	"fmt"
	"os"

	"buf.build/go/protoyaml"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
)

// LoadExperiment reads and validates an experiment in YAML. Targets, servers and
// the log's URL come from fleetFile unless it is empty. The error has one line
// per problem, with file and line number.
func LoadExperiment(file, fleetFile string) (*pb.Experiment, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "experiment")
	}
	if fleetFile == "" {
		return ParseExperiment(file, text, nil)
	}
	fleetText, err := os.ReadFile(fleetFile)
	if err != nil {
		return nil, eris.Wrap(err, "fleet")
	}
	fleet := &pb.LoadFleet{}
	if _, err := parseYAML(fleetFile, fleetText, fleet); err != nil {
		return nil, err
	}
	return ParseExperiment(file, text, fleet)
}

// ParseExperiment is LoadExperiment for YAML text; file is the name used in
// errors. If fleet isn't nil, its targets, servers and log URL replace those in
// the text.
func ParseExperiment(file string, text []byte, fleet *pb.LoadFleet) (*pb.Experiment, error) {
	experiment := &pb.Experiment{}
	lines, err := parseYAML(file, text, experiment)
	if err != nil {
		return nil, err
	}
	if fleet != nil {
		experiment.Targets = fleet.GetTargets()
		experiment.Servers = fleet.GetServers()
		experiment.LogUrl = fleet.GetLogUrl()
	}
	c := &experimentChecker{lines: lines, experiment: experiment}
	c.check()
	return experiment, errors.Join(c.problems...)
}

// parseYAML parses text into a message and returns the line numbers of its parts.
func parseYAML(file string, text []byte, into proto.Message) (*positions, error) {
	lines, err := newPositions(file, text)
	if err != nil {
		return nil, err
	}
	options := protoyaml.UnmarshalOptions{Path: file}
	return lines, options.Unmarshal(text, into)
}

// experimentChecker collects the rule violations of an experiment whose fields
// could be parsed.
type experimentChecker struct {
	lines      *positions
	experiment *pb.Experiment
	problems   []error
}

func (c *experimentChecker) addProblem(path []any, format string, args ...any) {
	c.problems = append(c.problems, eris.Errorf("%s: %s", c.lines.locate(path...), fmt.Sprintf(format, args...)))
}

func (c *experimentChecker) check() {
	e := c.experiment
	if len(e.GetTargets()) == 0 {
		c.addProblem([]any{"targets"}, "targets: want at least one")
	}
	for i, target := range e.GetTargets() {
		if target.GetAddress() == "" {
			c.addProblem([]any{"targets", i}, "address: missing")
		}
	}
	c.checkServers()
	if len(e.GetMix()) == 0 {
		c.addProblem([]any{"mix"}, "mix: want at least one kind of operation")
	}
	for i, traffic := range e.GetMix() {
		if field, err := checkTraffic(traffic); err != nil {
			c.addProblem([]any{"mix", i, field}, "%s: %v", field, err)
		}
	}
	if e.GetPipeline() > MaxPipeline {
		c.addProblem([]any{"pipeline"}, "pipeline: want at most %d, got %d", MaxPipeline, e.GetPipeline())
	}
	if len(e.GetSteps()) == 0 {
		c.addProblem([]any{"steps"}, "steps: want at least one")
	}
	for i, step := range e.GetSteps() {
		c.checkStep(i, step)
	}
}

func (c *experimentChecker) checkServers() {
	names := map[string]bool{}
	for i, server := range c.experiment.GetServers() {
		switch {
		case server.GetName() == "":
			c.addProblem([]any{"servers", i}, "name: missing")
		case names[server.GetName()]:
			c.addProblem([]any{"servers", i, "name"}, "name: %q is there twice", server.GetName())
		case server.GetAdmin() == "" && server.GetJournalFile() == "":
			c.addProblem([]any{"servers", i}, "admin: missing, and there is no journal_file")
		}
		names[server.GetName()] = true
	}
}

func (c *experimentChecker) checkStep(i int, step *pb.Step) {
	if field, err := checkStep(step); err != nil {
		c.addProblem([]any{"steps", i, field}, "%s: %v", field, err)
	}
	for j, change := range step.GetServerFaults() {
		if !c.hasAdmin(change.GetServer()) {
			c.addProblem([]any{"steps", i, "server_faults", j, "server"}, "server: no server %q with an admin address", change.GetServer())
		}
	}
	if step.GetLogFaults() != nil && c.experiment.GetLogUrl() == "" {
		c.addProblem([]any{"steps", i, "log_faults"}, "log_faults: log_url is missing")
	}
}

// hasAdmin reports whether faults can be set on the named server, or on all
// servers.
func (c *experimentChecker) hasAdmin(name string) bool {
	found := false
	for _, server := range c.experiment.GetServers() {
		if name != allServers && name != server.GetName() {
			continue
		}
		if server.GetAdmin() == "" {
			return false
		}
		found = true
	}
	return found
}

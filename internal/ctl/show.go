package ctl

import (
	"context"
	"fmt"

	"buf.build/go/protoyaml"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/apikey"
	"github.com/egretfield/egretfield/internal/config"
	"github.com/egretfield/egretfield/internal/configlog"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/settings"
)

const yamlIndent = 2

func flagsValidate(s *session) {
	s.flags.BoolVar(&s.settings, "settings", false, "the files are node settings")
}

// runValidate checks every file and reports the problems in all of them.
func runValidate(_ context.Context, s *session) error {
	var firstErr error
	for _, name := range s.args {
		text, err := s.validate(name)
		if err != nil && firstErr == nil {
			firstErr = err
			continue
		}
		if err != nil {
			fmt.Fprintln(s.env.Stderr, "egretctl:", withKind(errkind.KindOf(err), err))
			continue
		}
		s.printf("%s: %s", name, text)
	}
	return firstErr
}

func (s *session) validate(name string) (string, error) {
	data, err := s.env.ReadFile(name)
	if err != nil {
		return "", errkind.Wrap(pb.ErrorKind_ERROR_KIND_NOT_FOUND, err, "read file")
	}
	if s.settings {
		_, err := settings.Parse(name, data)
		return "valid node settings", err
	}
	parsed, err := config.Parse(name, data)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("valid configuration: %d services, %d presets", len(parsed.GetServices()), len(parsed.GetPresets())), nil
}

// readState connects to the fleet and returns its configuration state.
func (s *session) readState(ctx context.Context) (configlog.State, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	fleet, disconnect, err := s.connect(ctx)
	if err != nil {
		return configlog.State{}, err
	}
	defer disconnect()
	return fleet.state(ctx)
}

// publishedState returns the configuration state, or an error if no configuration is in
// force.
func (s *session) publishedState(ctx context.Context) (configlog.State, error) {
	state, err := s.readState(ctx)
	if err == nil && state.Version() == 0 {
		err = errkind.New(pb.ErrorKind_ERROR_KIND_NOT_FOUND, "no configuration is published yet")
	}
	return state, err
}

func flagsConfigShow(s *session) {
	s.flags.BoolVar(&s.showKeys, "keys", false, "print the API keys of organisations instead of digests, to edit and publish the output")
}

// runConfigShow prints the configuration in a form that can be edited and published, if
// it has no API keys or they are shown.
func runConfigShow(ctx context.Context, s *session) error {
	state, err := s.publishedState(ctx)
	if err != nil {
		return err
	}
	snapshot := state.Snapshot()
	if !s.showKeys {
		snapshot = proto.CloneOf(snapshot)
		snapshot.State.Config = apikey.Redact(snapshot.GetState().GetConfig())
	}
	if s.output == "json" {
		return s.printJSON(snapshot)
	}
	text, err := protoyaml.MarshalOptions{Indent: yamlIndent, UseProtoNames: true}.Marshal(snapshot.GetState().GetConfig())
	if err != nil {
		return errkind.Wrap(pb.ErrorKind_ERROR_KIND_INTERNAL, err, "encode configuration")
	}
	s.printf("# version: %d", state.Version())
	s.printf("# preset in force: %s", state.Config.GetPreset())
	s.printf("# since: %s", formatTime(state.Config.GetSinceUnixMs()))
	_, err = s.env.Stdout.Write(text)
	return err
}

func runPresetList(ctx context.Context, s *session) error {
	state, err := s.publishedState(ctx)
	if err != nil {
		return err
	}
	if s.output == "json" {
		return s.printJSON(&pb.Config{
			Presets:       state.Config.GetConfig().GetPresets(),
			DefaultPreset: state.Config.GetPreset(),
		})
	}
	var rows [][]string
	for _, preset := range state.Config.GetConfig().GetPresets() {
		rows = append(rows, presetRow(state.Config, preset))
	}
	s.printTable("PRESET | IN FORCE | BALANCER | ATTEMPTS | RETRIES | QUEUE | MEASURING | LEASE", rows)
	return nil
}

func presetRow(state *pb.ConfigState, preset *pb.Preset) []string {
	inForce := "no"
	if preset.GetName() == state.GetPreset() {
		inForce = "yes"
	}
	withPreset := &pb.ConfigState{Config: state.GetConfig(), Preset: preset.GetName()}
	policy := config.PolicyOf(withPreset, "")
	budget := config.BudgetOf(withPreset)
	return []string{
		preset.GetName(),
		inForce,
		policy.GetBalancer(),
		fmt.Sprint(policy.GetMaxAttempts()),
		fmt.Sprintf("%d%%", policy.GetRetryBudgetPercent()),
		fmt.Sprintf("%d%%", policy.GetQueuePercent()),
		fmt.Sprintf("%d B/s", budget.GetBytesPerS()),
		fmt.Sprintf("%d s", config.KeeperLeaseS(withPreset)),
	}
}

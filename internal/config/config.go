// Package config reads the live configuration (services, routes, and presets of
// balancing policies) from YAML, validates it and fills in defaults. egretctl validates
// it before it publishes, and every node again when it folds the record.
package config

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/yamlpb"
)

const invalid = pb.ErrorKind_ERROR_KIND_INVALID_CONFIG

// MaxEncodedBytes is the maximum encoded size of a configuration in bytes. 10,000
// organisations with a key, a rate, a burst and a region take about 780 KiB. It leaves
// room in a log record for the rest of a snapshot.
const MaxEncodedBytes = 1 << 20

// Balancers are the valid names for Policy.balancer.
var Balancers = balance.Names()

// Parse reads a configuration from YAML and validates it. name is the name of the
// file in errors. The error is of kind invalid config and has one line for each
// problem: "file:line:column: path: what was expected".
func Parse(name string, data []byte) (*pb.Config, error) {
	config := &pb.Config{}
	document, lines := yamlpb.Unmarshal(name, data, config)
	if len(lines) == 0 {
		for _, problem := range Problems(config) {
			lines = append(lines, document.Locate(problem.Path, problem.String()))
		}
	}
	if len(lines) > 0 {
		return nil, errkind.New(invalid, "%s", strings.Join(lines, "\n"))
	}
	return config, nil
}

// Check validates a decoded configuration by the same rules as Parse. The error is
// of kind invalid config and has one line for each problem.
func Check(config *pb.Config) error {
	problems := Problems(config)
	if len(problems) == 0 {
		return nil
	}
	lines := make([]string, 0, len(problems))
	for _, problem := range problems {
		lines = append(lines, problem.String())
	}
	return errkind.New(invalid, "%s", strings.Join(lines, "\n"))
}

// HasPreset reports whether config has a preset with the given name.
func HasPreset(config *pb.Config, name string) bool {
	return FindPreset(config, name) != nil
}

// FindPreset returns the preset with the given name, or nil.
func FindPreset(config *pb.Config, name string) *pb.Preset {
	for _, preset := range config.GetPresets() {
		if preset.GetName() == name {
			return preset
		}
	}
	return nil
}

// encodedSize returns the encoded size of config in bytes.
func encodedSize(config *pb.Config) int {
	return proto.Size(config)
}

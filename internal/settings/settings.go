// Package settings reads the startup settings of a node from YAML, fills in defaults
// and validates them. Unlike the live configuration on the log, they don't change
// while the node runs.
package settings

import (
	"os"
	"strings"
	"time"

	"github.com/egretfield/egretfield/internal/defaults"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/pipeline"
	"github.com/egretfield/egretfield/internal/yamlpb"
)

const invalid = pb.ErrorKind_ERROR_KIND_INVALID_CONFIG

// Defaults of optional settings.
const (
	DefaultAddress        = "127.0.0.1:0"
	DefaultLogLevel       = "info"
	DefaultLogFormat      = "json"
	DefaultGCPercent      = 100
	DefaultMemoryLimitMiB = 256
	DefaultLogRetentionS  = 7200
	DefaultMaxProcs       = 2
	DefaultDrainNotice    = "3s"
	DefaultStopTimeout    = "60s"
	DefaultMetricsPath    = "/metrics"
)

// Load reads the settings in the file at path. Errors are of kind not found or invalid
// config.
func Load(path string) (*pb.NodeSettings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errkind.Wrap(pb.ErrorKind_ERROR_KIND_NOT_FOUND, err, "read settings")
	}
	return Parse(path, data)
}

// Parse reads settings from YAML. name is the name of the file in errors. The error is
// of kind invalid config and has one line for each problem: "file:line:column:
// setting: what was expected". No message contains a secret.
func Parse(name string, data []byte) (*pb.NodeSettings, error) {
	settings := &pb.NodeSettings{}
	document, lines := yamlpb.Unmarshal(name, data, settings)
	if len(lines) == 0 {
		FillDefaults(settings)
		for _, found := range check(settings) {
			lines = append(lines, document.Locate(found.path, found.path+": "+found.message))
		}
	}
	if len(lines) > 0 {
		return nil, errkind.New(invalid, "%s", strings.Join(lines, "\n"))
	}
	return settings, nil
}

// Check validates settings by the same rules as Parse. The error is of kind invalid config
// and has one line for each problem.
func Check(settings *pb.NodeSettings) error {
	var lines []string
	for _, found := range check(settings) {
		lines = append(lines, found.path+": "+found.message)
	}
	if len(lines) > 0 {
		return errkind.New(invalid, "%s", strings.Join(lines, "\n"))
	}
	return nil
}

// Duration returns the value of a validated duration setting, or zero if it is empty.
func Duration(value string) time.Duration {
	parsed, err := time.ParseDuration(value)
	if err != nil {
		return 0 // the setting is optional and empty; Parse refuses other invalid values
	}
	return parsed
}

// FillDefaults sets every empty setting that has a default to it.
func FillDefaults(settings *pb.NodeSettings) {
	for _, address := range []*string{
		&settings.CallerAddress,
		&settings.GateAddress,
		&settings.ControlAddress,
		&settings.AnnounceAddress,
		&settings.OpsAddress,
	} {
		defaults.Set(address, DefaultAddress)
	}
	defaults.Set(&settings.LogLevel, DefaultLogLevel)
	defaults.Set(&settings.LogFormat, DefaultLogFormat)
	defaults.Set(&settings.GcPercent, DefaultGCPercent)
	defaults.Set(&settings.MemoryLimitMib, DefaultMemoryLimitMiB)
	defaults.Set(&settings.LogRetentionS, DefaultLogRetentionS)
	defaults.Set(&settings.MaxProcs, DefaultMaxProcs)
	defaults.Set(&settings.DrainNotice, DefaultDrainNotice)
	defaults.Set(&settings.StopTimeout, DefaultStopTimeout)
	defaults.Set(&settings.CallerNotice, settings.GetDrainNotice())
	defaults.Set(&settings.MetricsPath, DefaultMetricsPath)
	if settings.Pipelining == nil {
		settings.Pipelining = &pb.PipeliningSettings{}
	}
	defaults.Set(&settings.Pipelining.Depth, pipeline.DefaultDepth)
	defaults.Set(&settings.Pipelining.Concurrent, pipeline.DefaultConcurrent)
	defaults.Set(&settings.Pipelining.UnreadKib, pipeline.DefaultUnreadBytes>>10)
	defaults.Set(&settings.Pipelining.AnswerKib, pipeline.DefaultAnswerBytes>>10)
}

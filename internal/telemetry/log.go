// Package telemetry sets up the structured logs (zap) and the metrics (OpenTelemetry, served
// to Prometheus) of the programs.
package telemetry

import (
	"io"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Log formats.
const (
	FormatJSON    = "json"
	FormatConsole = "console"
)

// NewLogger returns a logger that writes to w, and its level, which can be changed at run
// time. An empty format means json, an empty level info.
func NewLogger(w io.Writer, format, level string) (*zap.Logger, zap.AtomicLevel, error) {
	atomicLevel := zap.NewAtomicLevel()
	if level != "" {
		if err := atomicLevel.UnmarshalText([]byte(level)); err != nil {
			return nil, atomicLevel, eris.Wrap(err, "log level")
		}
	}
	encoder, err := newEncoder(format)
	if err != nil {
		return nil, atomicLevel, err
	}
	core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), atomicLevel)
	return zap.New(plainErrors{core}), atomicLevel, nil
}

// newEncoder returns the encoder for a log format.
func newEncoder(format string) (zapcore.Encoder, error) {
	encoderConfig := zap.NewProductionEncoderConfig()
	encoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	switch format {
	case FormatJSON, "":
		return zapcore.NewJSONEncoder(encoderConfig), nil
	case FormatConsole:
		return zapcore.NewConsoleEncoder(encoderConfig), nil
	}
	return nil, eris.Errorf("unknown log format %q, expected %s or %s", format, FormatJSON, FormatConsole)
}

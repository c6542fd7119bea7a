package telemetry

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// plainErrors is a core that logs only the message of an error, without the stack trace
// that the errors library adds.
type plainErrors struct {
	zapcore.Core
}

// With implements zapcore.Core.
func (c plainErrors) With(fields []zapcore.Field) zapcore.Core {
	return plainErrors{c.Core.With(errorsToStrings(fields))}
}

// Check implements zapcore.Core.
func (c plainErrors) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c plainErrors) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(entry, errorsToStrings(fields))
}

// errorsToStrings replaces error fields by string fields.
func errorsToStrings(fields []zapcore.Field) []zapcore.Field {
	out := make([]zapcore.Field, len(fields))
	for i, field := range fields {
		if err, ok := field.Interface.(error); ok && field.Type == zapcore.ErrorType {
			field = zap.String(field.Key, err.Error())
		}
		out[i] = field
	}
	return out
}

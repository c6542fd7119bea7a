package telemetry

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Fields of every log line of a node.
const (
	// FieldConfigOffset is the offset in the configuration log of the latest record in
	// force on the node: a publish, preset switch or drain. Zero means that there is none
	// yet.
	FieldConfigOffset = "config_offset"
	// FieldIncarnation is the incarnation of the node.
	FieldIncarnation = "incarnation"
)

// Position provides the fields that every log line of a node carries. Its functions are
// called for each line. They must be safe for concurrent use and must not wait for a lock.
type Position struct {
	ConfigOffset func() int64
	Incarnation  func() uint64
}

// WithPosition returns a logger that adds the current values of the fields to each line.
func WithPosition(logger *zap.Logger, position Position) *zap.Logger {
	return logger.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return nodeFieldsCore{core, position}
	}))
}

// nodeFieldsCore is a core that adds the fields of a Position to each line.
type nodeFieldsCore struct {
	zapcore.Core
	position Position
}

// With implements zapcore.Core.
func (c nodeFieldsCore) With(fields []zapcore.Field) zapcore.Core {
	return nodeFieldsCore{c.Core.With(fields), c.position}
}

// Check implements zapcore.Core.
func (c nodeFieldsCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c nodeFieldsCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	all := make([]zapcore.Field, 0, len(fields)+2)
	all = append(all, fields...)
	all = append(all,
		zap.Int64(FieldConfigOffset, c.position.ConfigOffset()),
		zap.Uint64(FieldIncarnation, c.position.Incarnation()))
	return c.Core.Write(entry, all)
}

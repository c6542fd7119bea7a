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

// NodeFields provides the fields that every log line of a node carries. Its functions are
// called for each line. They must be safe for concurrent use and must not wait for a lock.
type NodeFields struct {
	ConfigOffset func() int64
	Incarnation  func() uint64
}

// WithNodeFields returns a logger that adds the current values of the fields to each
// line.
func WithNodeFields(logger *zap.Logger, nodeFields NodeFields) *zap.Logger {
	return logger.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return nodeFieldsCore{core, nodeFields}
	}))
}

// nodeFieldsCore is a core that adds the fields of a NodeFields to each line.
type nodeFieldsCore struct {
	zapcore.Core
	nodeFields NodeFields
}

// With implements zapcore.Core.
func (c nodeFieldsCore) With(fields []zapcore.Field) zapcore.Core {
	return nodeFieldsCore{c.Core.With(fields), c.nodeFields}
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
		zap.Int64(FieldConfigOffset, c.nodeFields.ConfigOffset()),
		zap.Uint64(FieldIncarnation, c.nodeFields.Incarnation()))
	return c.Core.Write(entry, all)
}

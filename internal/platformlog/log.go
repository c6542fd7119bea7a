// Package platformlog is the interface to the platform's append-only log.
//
// A log holds named streams of records. The offset of a record is its place in
// its stream: offsets start at 1 and grow by one. Records are kept for a
// limited time; older ones are trimmed.
package platformlog

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Stream names used by the system.
const (
	ConfigStream  = "egretfield-config"
	MemberStream  = "egretfield-members"
	KeeperStream  = "egretfield-keepers"
	FirstOffset   = int64(1)
	MaxRecordSize = 1 << 20 // bytes
)

// Errors of a Log. Test with errors.Is.
var (
	// ErrUnavailable: the operation surely did not take effect.
	ErrUnavailable = eris.New("log unavailable")
	// ErrUnknownOutcome: an append may or may not have taken effect.
	ErrUnknownOutcome = eris.New("log append outcome unknown")
	// ErrTrimmed: the offset asked for is older than the first record kept.
	ErrTrimmed = eris.New("log offset trimmed")
)

// Record is one record of a stream.
type Record struct {
	Offset int64     `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Bounds are the limits of the records that a stream holds.
type Bounds struct {
	// First is the offset of the oldest record kept; equal to Next when the
	// stream is empty.
	First int64 `json:"first"`
	// Next is the offset that the next append gets.
	Next int64 `json:"next"`
}

// Keyed is a Log whose records have keys and that keeps the newest record of each
// key for good.
type Keyed interface {
	Log
	// Newest returns the newest record of each key of the stream in order of
	// offset, and the stream's limits. Records appended meanwhile may be missing.
	Newest(ctx context.Context, stream string) ([]Record, Bounds, error)
}

// Log is the platform's log. Implementations are safe for concurrent use.
type Log interface {
	// Append adds a record and returns its offset. The error is
	// ErrUnavailable when the record surely was not added, and
	// ErrUnknownOutcome when it may have been.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns up to max records from offset from on, in order. When there
	// are none it waits up to wait for one and then returns an empty slice.
	// The error is ErrTrimmed when from is older than the first record kept.
	Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) ([]Record, error)
	// Bounds returns the limits of the stream.
	Bounds(ctx context.Context, stream string) (Bounds, error)
}

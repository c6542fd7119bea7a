// Package platformlog defines the interface to the platform's append-only log.
//
// A log holds named streams of records. The offset of a record is its position in
// its stream: offsets start at 1 and increase by one, or by more at the start of a new
// era, see OffsetsPerEra. Records are kept for a limited time; older ones are trimmed.
package platformlog

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Names of the streams, and limits of their records.
const (
	ConfigStream = "egretfield-config"
	MemberStream = "egretfield-members"
	KeeperStream = "egretfield-keepers"
	FirstOffset  = int64(1)
	// MaxRecordBytes holds a snapshot with the largest configuration, and stays below the
	// 2 MiB of a call to the log and of a message between nodes.
	MaxRecordBytes = 3 << 19
)

// Errors returned by a Log. Check for them with errors.Is.
var (
	// ErrUnavailable means that the operation certainly did not take effect.
	ErrUnavailable = eris.New("log unavailable")
	// ErrUnknownOutcome means that an append may or may not have taken effect.
	ErrUnknownOutcome = eris.New("log append outcome unknown")
	// ErrTrimmed means that the requested offset is older than the first record kept,
	// or of another era than the log's.
	ErrTrimmed = eris.New("log offset trimmed")
)

// Record is one record of a stream.
type Record struct {
	Offset int64 `json:"offset"`
	// Time is when the log stored the record; a log without such times sets the time
	// at which it was read.
	Time time.Time `json:"time"`
	Data []byte    `json:"data"`
}

// Bounds are the offsets that delimit the records of a stream.
type Bounds struct {
	// First is the offset of the oldest record kept. It equals Next if the stream is
	// empty.
	First int64 `json:"first"`
	// Next is the offset of the next append.
	Next int64 `json:"next"`
}

// KeyedLog is a Log whose records have keys and that keeps the newest record of each
// key indefinitely.
type KeyedLog interface {
	Log
	// Newest returns the newest record of each key of the stream, sorted by offset,
	// and the bounds of the stream. Records appended during the call may be missing.
	Newest(ctx context.Context, stream string) ([]Record, Bounds, error)
}

// Log is the platform's log. Implementations are safe for concurrent use.
type Log interface {
	// Append adds a record and returns its offset. The error is ErrUnavailable if
	// the record was certainly not added, and ErrUnknownOutcome if it may have been.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns up to max records starting at offset from, in order. If there are
	// none, it waits up to wait for one and then returns an empty slice. The error is
	// ErrTrimmed if from is older than the first record kept or of another era.
	Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) ([]Record, error)
	// Bounds returns the bounds of the stream.
	Bounds(ctx context.Context, stream string) (Bounds, error)
}

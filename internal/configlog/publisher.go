package configlog

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/config"
	"github.com/egretfield/egretfield/internal/delay"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
)

// Error kinds of a change that was neither accepted nor refused.
const (
	kindLogUnavailable = pb.ErrorKind_ERROR_KIND_LOG_UNAVAILABLE
	kindOutcomeUnknown = pb.ErrorKind_ERROR_KIND_LOG_OUTCOME_UNKNOWN
)

// Publisher appends changes to the log and determines their outcomes. Safe for
// concurrent use.
type Publisher struct {
	log      platformlog.Log
	follower *Follower
	jitter   *jitter
}

// NewPublisher returns a publisher that takes outcomes from follower, which must be
// running.
func NewPublisher(log platformlog.Log, follower *Follower) *Publisher {
	return &Publisher{
		log:      log,
		follower: follower,
		jitter:   newJitter(follower.options.Name + "/publisher"),
	}
}

// NewID returns an id for a new record: a UUID of version 7.
func NewID() string {
	return uuid.Must(uuid.NewV7()).String()
}

// Submit appends record and waits until its outcome is folded. The record must
// have an id; submitting the same record again returns the first outcome.
//
// A refused change returns its audit entry and an error of the entry's kind, for
// example conflict. Kind log unavailable means that the record was not appended.
// Kind log outcome unknown means that it may have been: submit the same record again
// to learn the outcome.
func (p *Publisher) Submit(ctx context.Context, record *pb.ConfigRecord) (*pb.AuditEntry, error) {
	data, err := encode(record)
	if err != nil {
		return nil, err
	}
	maybeAppended := false
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		if entry := p.follower.State().Find(record.GetId()); entry != nil {
			return outcome(entry)
		}
		offset, err := p.log.Append(ctx, platformlog.ConfigStream, data)
		switch {
		case err == nil:
			return p.awaitOutcome(ctx, record.GetId(), offset)
		case !errors.Is(err, platformlog.ErrUnavailable):
			maybeAppended = true
			if entry := p.readBack(ctx, record.GetId()); entry != nil {
				return outcome(entry)
			}
		}
		delay.Sleep(ctx, p.jitter.spread(backoff))
		if ctx.Err() != nil {
			return nil, unresolvedError(record, maybeAppended, err)
		}
	}
}

// encode encodes record after the checks that don't depend on the stream.
func encode(record *pb.ConfigRecord) ([]byte, error) {
	if record.GetId() == "" || record.GetSnapshot() != nil || record.GetChange() == nil {
		return nil, errkind.New(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "a record needs an id and a change other than a snapshot")
	}
	if publish := record.GetPublish(); publish != nil {
		if err := config.Check(publish.GetConfig()); err != nil {
			return nil, err
		}
	}
	data, err := proto.Marshal(record)
	if err != nil {
		return nil, errkind.Wrap(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, err, "encode record")
	}
	if len(data) > platformlog.MaxRecordBytes {
		return nil, errkind.New(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "record of %d bytes, expected at most %d", len(data), platformlog.MaxRecordBytes)
	}
	return data, nil
}

// awaitOutcome waits until the record appended at offset is folded.
func (p *Publisher) awaitOutcome(ctx context.Context, id string, offset int64) (*pb.AuditEntry, error) {
	state, err := p.awaitRecord(ctx, id, offset)
	if entry := state.Find(id); entry != nil {
		return outcome(entry)
	}
	if err == nil {
		err = errNoSnapshot
	}
	return nil, errkind.Wrap(kindOutcomeUnknown, err, "appended at offset %d, but not read back from the stream yet; id %s", offset, id)
}

// awaitRecord waits until the record with id or every record through offset is
// folded.
func (p *Publisher) awaitRecord(ctx context.Context, id string, offset int64) (State, error) {
	p.follower.requestRead()
	return p.follower.Await(ctx, func(state State) bool {
		return state.FoldedThrough >= offset || state.Find(id) != nil
	})
}

// readBack waits until every record that the log holds now is folded and returns
// the entry of id, or nil if there is none or ctx ends. Appending the record again
// is safe after that: of two copies only the first takes effect.
func (p *Publisher) readBack(ctx context.Context, id string) *pb.AuditEntry {
	for ctx.Err() == nil {
		bounds, err := p.log.Bounds(ctx, platformlog.ConfigStream)
		if err != nil {
			delay.Sleep(ctx, minBackoff)
			continue
		}
		state, _ := p.awaitRecord(ctx, id, bounds.Next-1)
		return state.Find(id)
	}
	return nil
}

// outcome returns entry, with an error if it was refused.
func outcome(entry *pb.AuditEntry) (*pb.AuditEntry, error) {
	if entry.GetAccepted() {
		return entry, nil
	}
	return entry, errkind.New(entry.GetRefusal(), "%s", entry.GetSummary())
}

// unresolvedError returns the error of a record without an audit entry. err is that
// of the last append.
func unresolvedError(record *pb.ConfigRecord, maybeAppended bool, err error) error {
	if maybeAppended {
		return errkind.New(kindOutcomeUnknown, "the change may have been appended; submit id %s again to learn its outcome", record.GetId())
	}
	if err == nil {
		err = context.DeadlineExceeded
	}
	return errkind.Wrap(kindLogUnavailable, err, "nothing was appended")
}

// IsConflict reports whether err is of kind conflict: another change came first.
func IsConflict(err error) bool {
	return errkind.KindOf(err) == pb.ErrorKind_ERROR_KIND_CONFLICT
}

// NowUnixMs returns the current time as the operator's time of a record, in Unix
// milliseconds.
func NowUnixMs() int64 {
	return time.Now().UnixMilli()
}

package configlog

import (
	"context"
	"errors"

	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/config"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
)

// StartOver puts a configuration in force on a stream whose first records are
// trimmed and that holds no snapshot, where no fold could start otherwise. It
// appends the configuration as a snapshot, which nodes that have a state ignore.
// An error of kind conflict means that the stream can be folded and the change must
// be published as usual.
func (p *Publisher) StartOver(ctx context.Context, record *pb.ConfigRecord) (*pb.AuditEntry, error) {
	publish := record.GetPublish()
	if err := config.Check(publish.GetConfig()); err != nil {
		return nil, err
	}
	bounds, err := p.log.Bounds(ctx, platformlog.ConfigStream)
	if err != nil {
		return nil, errkind.Wrap(kindLogUnavailable, err, "read the bounds of the stream")
	}
	if bounds.First == platformlog.FirstOffset || p.follower.State().Version() > 0 {
		return nil, errkind.New(pb.ErrorKind_ERROR_KIND_CONFLICT, "the stream can be folded and needs no new start; publish as usual")
	}
	state := firstState(record, bounds.Next-1)
	if _, err := StateFromSnapshot(state.Snapshot()); err != nil {
		return nil, errkind.Wrap(pb.ErrorKind_ERROR_KIND_INVALID_CONFIG, err, "new start")
	}
	data, err := proto.Marshal(&pb.ConfigRecord{
		Id:         record.GetId(),
		Operator:   record.GetOperator(),
		TimeUnixMs: record.GetTimeUnixMs(),
		Change:     &pb.ConfigRecord_Snapshot{Snapshot: state.Snapshot()},
	})
	if err != nil {
		return nil, errkind.Wrap(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, err, "encode record")
	}
	if _, err := p.log.Append(ctx, platformlog.ConfigStream, data); err != nil && errors.Is(err, platformlog.ErrUnavailable) {
		return nil, errkind.Wrap(kindLogUnavailable, err, "nothing was appended")
	}
	return p.awaitOutcome(ctx, record.GetId(), state.FoldedThrough)
}

// firstState returns the state of a new start as of offset, the last one before the
// next append.
func firstState(record *pb.ConfigRecord, offset int64) State {
	publish := record.GetPublish()
	preset := publish.GetPreset()
	if preset == "" {
		preset = publish.GetConfig().GetDefaultPreset()
	}
	entry := newEntry(record, platformlog.Record{Offset: offset})
	entry.Accepted = true
	entry.LogTimeUnixMs = record.GetTimeUnixMs()
	entry.Summary = "new start: " + entry.GetSummary()
	return State{
		Config: &pb.ConfigState{
			Version:     offset,
			Applied:     offset,
			Config:      publish.GetConfig(),
			Preset:      preset,
			SinceUnixMs: record.GetTimeUnixMs(),
			Audit:       []*pb.AuditEntry{entry},
		},
		FoldedThrough: offset,
		Chain:         extendChain(0, offset, []byte(record.GetId()), true),
	}
}

package configlog

import (
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
)

// Limits of the records buffered for peers.
const (
	maxBufferedRecords = 256
	maxBufferedBytes   = 1 << 20
	// maxPullBytes limits the records in one reply to a peer; a single record may
	// exceed it.
	maxPullBytes = 256 << 10
)

// bufferedRecord is a record and the chain after it.
type bufferedRecord struct {
	record platformlog.Record
	chain  uint64
}

// buffer holds the latest records in offset order. Not safe for concurrent use.
type buffer struct {
	records []bufferedRecord
	bytes   int
}

// add appends the record that follows the last one and drops the oldest over the
// limits.
func (b *buffer) add(record platformlog.Record, chain uint64) {
	b.records = append(b.records, bufferedRecord{record: record, chain: chain})
	b.bytes += len(record.Data)
	for len(b.records) > maxBufferedRecords || (b.bytes > maxBufferedBytes && len(b.records) > 1) {
		b.bytes -= len(b.records[0].record.Data)
		b.records[0] = bufferedRecord{}
		b.records = b.records[1:]
	}
}

// reset drops all records, for a state that doesn't continue the last one.
func (b *buffer) reset() {
	b.records = nil
	b.bytes = 0
}

// recordsFrom returns records starting at offset and the chain after the last one.
// The result is empty if the buffer doesn't hold offset.
func (b *buffer) recordsFrom(offset int64) ([]*pb.StreamRecord, uint64) {
	if len(b.records) == 0 || offset < b.records[0].record.Offset {
		return nil, 0
	}
	var found []*pb.StreamRecord
	var chain uint64
	total := 0
	for i := int(offset - b.records[0].record.Offset); i < len(b.records); i++ {
		buffered := b.records[i]
		total += len(buffered.record.Data)
		if len(found) > 0 && total > maxPullBytes {
			break
		}
		found = append(found, toStreamRecord(buffered.record))
		chain = buffered.chain
	}
	return found, chain
}

// chainAt returns the chain after the record at offset and whether the buffer holds
// that record.
func (b *buffer) chainAt(offset int64) (uint64, bool) {
	if len(b.records) == 0 {
		return 0, false
	}
	index := offset - b.records[0].record.Offset
	if index < 0 || index >= int64(len(b.records)) {
		return 0, false
	}
	return b.records[index].chain, true
}

func toStreamRecord(record platformlog.Record) *pb.StreamRecord {
	return &pb.StreamRecord{
		Offset:     record.Offset,
		TimeUnixMs: record.Time.UnixMilli(),
		Data:       record.Data,
	}
}

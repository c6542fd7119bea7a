package configlog

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
)

const (
	// minGzipBytes is the size from which on a reply to a pull is compressed: below, it is
	// sent in a few packets.
	minGzipBytes = 16 << 10
	// maxPullReplyBytes bounds the decompressed reply: a record or a snapshot of the largest
	// size beside maxPullBytes of other records.
	maxPullReplyBytes = 2 * platformlog.MaxRecordBytes
)

// compressReply replaces the fields of a large reply by their compressed encoding.
func compressReply(reply *pb.ConfigPullReply) error {
	if proto.Size(reply) < minGzipBytes {
		return nil
	}
	data, err := proto.Marshal(reply)
	if err != nil {
		return eris.Wrap(err, "encode the reply to a pull")
	}
	var compressed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return eris.Wrap(err, "compress the reply to a pull")
	}
	if _, err := writer.Write(data); err != nil {
		return eris.Wrap(err, "compress the reply to a pull")
	}
	if err := writer.Close(); err != nil {
		return eris.Wrap(err, "compress the reply to a pull")
	}
	proto.Reset(reply)
	reply.Gzip = compressed.Bytes()
	return nil
}

// decompressReply returns the reply that a compressed one contains, and any other as it is.
func decompressReply(reply *pb.ConfigPullReply) (*pb.ConfigPullReply, error) {
	if len(reply.GetGzip()) == 0 {
		return reply, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(reply.GetGzip()))
	if err != nil {
		return nil, eris.Wrap(err, "decompress the reply to a pull")
	}
	data, err := io.ReadAll(io.LimitReader(reader, maxPullReplyBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress the reply to a pull")
	}
	if len(data) > maxPullReplyBytes {
		return nil, eris.Errorf("reply to a pull has more than %d bytes decompressed", maxPullReplyBytes)
	}
	inner := &pb.ConfigPullReply{}
	if err := proto.Unmarshal(data, inner); err != nil {
		return nil, eris.Wrap(err, "decode the reply to a pull")
	}
	return inner, nil
}

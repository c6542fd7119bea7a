package peer

import (
	"bufio"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// macBytes is the length of a message's truncated HMAC.
	macBytes = 16
	// frameOverheadBytes is the space allowed for a frame's fields other than its
	// payload.
	frameOverheadBytes = 64
)

// signer numbers and signs the messages of one direction of a connection, so that
// none can be changed, repeated or reordered unnoticed.
type signer struct {
	mac           hash.Hash
	messageNumber uint64
}

// sign returns the signature of the next message, made from its number and payload.
func (s *signer) sign(payload []byte) []byte {
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], s.messageNumber)
	s.messageNumber++
	s.mac.Reset()
	s.mac.Write(encoded[:])
	s.mac.Write(payload)
	return s.mac.Sum(nil)[:macBytes]
}

// framedConn is an authenticated connection that carries signed messages. One
// goroutine may read and one may write at a time.
type framedConn struct {
	conn            net.Conn
	reader          *bufio.Reader
	in              signer
	out             signer
	maxMessageBytes int
	// received counts the messages read.
	received atomic.Uint64
}

func newFramedConn(conn net.Conn, reader *bufio.Reader, in, out []byte, maxMessageBytes int) *framedConn {
	return &framedConn{
		conn:            conn,
		reader:          reader,
		in:              signer{mac: hmac.New(sha256.New, in)},
		out:             signer{mac: hmac.New(sha256.New, out)},
		maxMessageBytes: maxMessageBytes,
	}
}

// checkSize returns an error of kind body too large if call exceeds the limit.
func (f *framedConn) checkSize(call *pb.PeerCall) error {
	if size := proto.Size(call); size > f.maxMessageBytes {
		return errkind.New(pb.ErrorKind_ERROR_KIND_BODY_TOO_LARGE,
			"message has %d bytes, limit is %d", size, f.maxMessageBytes)
	}
	return nil
}

// write sends call within timeout and returns the bytes written. The caller has
// checked the size of call with checkSize.
func (f *framedConn) write(call *pb.PeerCall, timeout time.Duration) (int, error) {
	payload, err := proto.Marshal(call)
	if err != nil {
		return 0, err
	}
	if err := f.conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return 0, err
	}
	return writeMessage(f.conn, &pb.PeerFrame{Payload: payload, Mac: f.out.sign(payload)})
}

// read receives and verifies the next message and returns the bytes of its payload
// and signature.
func (f *framedConn) read(call *pb.PeerCall) (int, error) {
	frame := &pb.PeerFrame{}
	limit := protodelim.UnmarshalOptions{MaxSize: int64(f.maxMessageBytes + frameOverheadBytes)}
	if err := limit.UnmarshalFrom(f.reader, frame); err != nil {
		return 0, err
	}
	if !hmac.Equal(frame.Mac, f.in.sign(frame.Payload)) {
		return 0, unauthenticatedError("message signature mismatch")
	}
	f.received.Add(1)
	return len(frame.Payload) + len(frame.Mac), proto.Unmarshal(frame.Payload, call)
}

// Package loadnews spreads the load of each node's backend server to other nodes in
// single datagrams, so that an entry knows of servers that it hasn't used lately.
// News may be lost, doubled or late; each replaces the one before.
package loadnews

import (
	"crypto/hmac"
	"crypto/sha256"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// purpose separates this use of the shared key from others.
	purpose = "egretfield load news"
	// macBytes is the length of the proof that a datagram comes from the fleet. A
	// guess in 2^64 only makes an entry prefer another server for a moment.
	macBytes = 8
	// maxDatagram bounds what is read of a datagram, bytes.
	maxDatagram = 512
)

// errForeign: a datagram doesn't come from a node of the fleet.
var errForeign = eris.New("the datagram isn't from a node of the fleet")

// codec signs and reads datagrams. Safe for concurrent use.
type codec struct {
	key []byte
}

func newCodec(sharedKey []byte) codec {
	mac := hmac.New(sha256.New, sharedKey)
	mac.Write([]byte(purpose))
	return codec{key: mac.Sum(nil)}
}

func (c codec) sign(payload []byte) []byte {
	mac := hmac.New(sha256.New, c.key)
	mac.Write(payload)
	return mac.Sum(nil)[:macBytes]
}

func (c codec) encode(report *pb.LoadReport) ([]byte, error) {
	payload, err := proto.Marshal(report)
	if err != nil {
		return nil, eris.Wrap(err, "encode a load report")
	}
	return append(c.sign(payload), payload...), nil
}

func (c codec) decode(datagram []byte) (*pb.LoadReport, error) {
	if len(datagram) < macBytes || !hmac.Equal(datagram[:macBytes], c.sign(datagram[macBytes:])) {
		return nil, errForeign
	}
	report := &pb.LoadReport{}
	if err := proto.Unmarshal(datagram[macBytes:], report); err != nil {
		return nil, eris.Wrap(err, "decode a load report")
	}
	return report, nil
}

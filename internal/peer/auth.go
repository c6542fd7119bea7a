package peer

import (
	"bufio"
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

const (
	nonceBytes    = 16
	maxHelloBytes = 128
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 2048

	// The labels keep the MACs derived from the shared key apart, by end of the
	// connection and by use: as a proof of the key, and as the key that signs the
	// messages sent by that end.
	labelServer       = "egretfield server proof"
	labelClient       = "egretfield client proof"
	labelServerStream = "egretfield server stream"
	labelClientStream = "egretfield client stream"
)

// deriveMAC returns the HMAC of label and both nonces under key.
func deriveMAC(key []byte, label string, client, server []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(label))
	mac.Write(client)
	mac.Write(server)
	return mac.Sum(nil)
}

// newNonce returns a random nonce of nonceBytes.
func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	rand.Read(nonce)
	return nonce
}

// writeMessage writes a length-prefixed message with a single write and returns the
// number of bytes written.
func writeMessage(conn net.Conn, m proto.Message) (int, error) {
	var buf bytes.Buffer
	if _, err := protodelim.MarshalTo(&buf, m); err != nil {
		return 0, err
	}
	return conn.Write(buf.Bytes())
}

// readHello reads one handshake message of at most maxHelloBytes.
func readHello(r *bufio.Reader) (*pb.PeerHello, error) {
	hello := &pb.PeerHello{}
	err := protodelim.UnmarshalOptions{MaxSize: maxHelloBytes}.UnmarshalFrom(r, hello)
	return hello, err
}

// unauthenticatedError returns an error of the kind unauthenticated.
func unauthenticatedError(reason string) error {
	return errkind.New(pb.ErrorKind_ERROR_KIND_UNAUTHENTICATED, "%s", reason)
}

// clientHandshake authenticates both ends of conn with key and returns the framed
// connection. A deadline must have been set on conn.
func clientHandshake(conn net.Conn, key []byte, maxMessageBytes int) (*framedConn, error) {
	reader := bufio.NewReaderSize(conn, readBufferBytes)
	nonce := newNonce()
	if _, err := writeMessage(conn, &pb.PeerHello{Nonce: nonce}); err != nil {
		return nil, err
	}
	hello, err := readHello(reader)
	if err != nil {
		return nil, err
	}
	if len(hello.Nonce) != nonceBytes || !hmac.Equal(hello.Proof, deriveMAC(key, labelServer, nonce, hello.Nonce)) {
		return nil, unauthenticatedError("the server doesn't hold the shared key")
	}
	proof := deriveMAC(key, labelClient, nonce, hello.Nonce)
	if _, err := writeMessage(conn, &pb.PeerHello{Proof: proof}); err != nil {
		return nil, err
	}
	inKey := deriveMAC(key, labelServerStream, nonce, hello.Nonce)
	outKey := deriveMAC(key, labelClientStream, nonce, hello.Nonce)
	return newFramedConn(conn, reader, inKey, outKey, maxMessageBytes), nil
}

// serverHandshake is the server's side of clientHandshake.
func serverHandshake(conn net.Conn, key []byte, maxMessageBytes int) (*framedConn, error) {
	reader := bufio.NewReaderSize(conn, readBufferBytes)
	hello, err := readHello(reader)
	if err != nil {
		return nil, err
	}
	if len(hello.Nonce) != nonceBytes {
		return nil, unauthenticatedError("malformed nonce")
	}
	nonce := newNonce()
	answer := &pb.PeerHello{Nonce: nonce, Proof: deriveMAC(key, labelServer, hello.Nonce, nonce)}
	if _, err := writeMessage(conn, answer); err != nil {
		return nil, err
	}
	proof, err := readHello(reader)
	if err != nil {
		return nil, err
	}
	if !hmac.Equal(proof.Proof, deriveMAC(key, labelClient, hello.Nonce, nonce)) {
		return nil, unauthenticatedError("the client doesn't hold the shared key")
	}
	inKey := deriveMAC(key, labelClientStream, hello.Nonce, nonce)
	outKey := deriveMAC(key, labelServerStream, hello.Nonce, nonce)
	return newFramedConn(conn, reader, inKey, outKey, maxMessageBytes), nil
}

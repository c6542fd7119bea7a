package wire

import (
	"crypto/rand"
	"encoding/binary"
	"strconv"
	"strings"
	"sync/atomic"
)

// AttemptID identifies one attempt of a request. The numbers of an origin increase.
type AttemptID struct {
	// Origin identifies the process that made the attempt.
	Origin uint64
	// Number counts the attempts of the origin, from 1.
	Number uint64
	// Incarnation is the incarnation of the gate that the attempt is meant for.
	Incarnation uint64
}

// String returns the id in the form of HeaderAttempt.
func (id AttemptID) String() string {
	buf := make([]byte, 0, 48)
	buf = strconv.AppendUint(buf, id.Origin, 16)
	buf = append(buf, '-')
	buf = strconv.AppendUint(buf, id.Number, 16)
	buf = append(buf, '-')
	buf = strconv.AppendUint(buf, id.Incarnation, 16)
	return string(buf)
}

// ParseAttemptID parses the result of AttemptID.String.
func ParseAttemptID(text string) (AttemptID, bool) {
	origin, rest, ok := strings.Cut(text, "-")
	if !ok {
		return AttemptID{}, false
	}
	number, incarnation, ok := strings.Cut(rest, "-")
	if !ok {
		return AttemptID{}, false
	}
	var id AttemptID
	for _, part := range []struct {
		text string
		dest *uint64
	}{{origin, &id.Origin}, {number, &id.Number}, {incarnation, &id.Incarnation}} {
		value, err := strconv.ParseUint(part.text, 16, 64)
		if err != nil {
			return AttemptID{}, false
		}
		*part.dest = value
	}
	return id, id.Number > 0
}

// IDs generates attempt ids and request ids. It is safe for concurrent use.
type IDs struct {
	origin   uint64
	attempts atomic.Uint64
	requests atomic.Uint64
}

// NewIDs returns a generator of ids with a random origin.
func NewIDs() *IDs {
	var seed [8]byte
	_, _ = rand.Read(seed[:]) // crypto/rand.Read never fails
	return &IDs{origin: binary.LittleEndian.Uint64(seed[:])}
}

// Attempt returns a new attempt id for the gate of the given incarnation.
func (s *IDs) Attempt(incarnation uint64) AttemptID {
	return AttemptID{Origin: s.origin, Number: s.attempts.Add(1), Incarnation: incarnation}
}

// Request returns a new request id.
func (s *IDs) Request() string {
	buf := make([]byte, 0, 34)
	buf = append(buf, 'r')
	buf = strconv.AppendUint(buf, s.origin, 16)
	buf = append(buf, '-')
	buf = strconv.AppendUint(buf, s.requests.Add(1), 16)
	return string(buf)
}

// MaxRequestIDBytes is the maximum length of a request id.
const MaxRequestIDBytes = 1 << 10

// ValidRequestID reports whether a request id chosen by a caller can be used: it has at
// most MaxRequestIDBytes of printable ASCII characters without spaces.
func ValidRequestID(id string) bool {
	if id == "" || len(id) > MaxRequestIDBytes {
		return false
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return true
}

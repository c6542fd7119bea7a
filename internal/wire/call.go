package wire

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

// Meta is what entry tells gate about a request besides the request itself.
type Meta struct {
	Attempt   AttemptID
	RequestID string
	Service   string
	Class     pb.Class
	// Idempotent: the request may run more than once.
	Idempotent bool
	// Depth of this call in its chain; 0 at the first.
	Depth int
	// Deadline of the answer's first byte.
	Deadline time.Time
	// Fingerprint identifies equal requests.
	Fingerprint uint64
	// Target is when the answer should be there to be worth most.
	Target time.Time
	// Route names the kind of request; empty: none.
	Route string
	// Caller is the service beside the node that took the request.
	Caller string
}

// Call is one attempt of a request. It isn't changed by those it passes.
type Call struct {
	Meta
	Method string
	// URI is the path and query, as in the request line.
	URI  string
	Host string
	// Header holds end-to-end headers only.
	Header http.Header
	// Held is the whole body when it is held in memory. Otherwise Body is
	// read as a stream, at most once; nil: no body.
	Held []byte
	Body io.Reader
	// BodyBytes is the length of the body, -1 when unknown.
	BodyBytes int64
}

// Streams reports whether the body is read as a stream.
func (c *Call) Streams() bool {
	return c.Body != nil
}

// Answer is the answer to a Call.
type Answer struct {
	// Kind is set when the system made the answer, not the backend server.
	Kind errkind.Kind
	// Message explains Kind.
	Message string
	// RetryAfter is the wait suggested to the caller; zero: that of Kind.
	RetryAfter time.Duration
	// Crashed: the backend server died while it ran the request.
	Crashed bool
	// NotExecuted: the backend server says that it didn't run the request.
	NotExecuted bool
	// Arrived: the request that was refused had reached a backend server.
	Arrived bool
	// Misdirected: another backend server has the address; nothing was run.
	Misdirected bool
	// Lost: the connection was lost, though the gate replies to control calls.
	Lost bool

	Status int
	Header http.Header
	// Body must be closed. Nil when Kind is set.
	Body io.ReadCloser
	// Length of the body, -1 when unknown.
	Length int64
	// Trailer may be read once Body returned io.EOF. It may be nil.
	Trailer *http.Header
	// Load is the report of the gate, or nil.
	Load *pb.LoadReport
	// ServerTime is the backend server's time to the answer's first byte.
	ServerTime time.Duration
}

// Fail returns an answer of the system's own.
func Fail(kind errkind.Kind, message string) *Answer {
	return &Answer{Kind: kind, Message: message}
}

const metaFields = 9

// appendMeta writes the value of HeaderCall. The times left are in milliseconds.
func appendMeta(buf []byte, m *Meta, left, untilTarget int64) []byte {
	buf = append(buf, m.Service...)
	buf = append(buf, ' ')
	buf = strconv.AppendInt(buf, left, 10)
	buf = append(buf, ' ')
	buf = strconv.AppendInt(buf, int64(m.Class), 10)
	buf = append(buf, ' ')
	buf = strconv.AppendBool(buf, m.Idempotent)
	buf = append(buf, ' ')
	buf = strconv.AppendInt(buf, int64(m.Depth), 10)
	buf = append(buf, ' ')
	buf = strconv.AppendUint(buf, m.Fingerprint, 16)
	buf = append(buf, ' ')
	buf = strconv.AppendInt(buf, untilTarget, 10)
	buf = append(buf, ' ')
	buf = append(buf, nameOrNone(m.Caller)...)
	buf = append(buf, ' ')
	return append(buf, nameOrNone(m.Route)...)
}

// noName stands for an empty name in HeaderCall: the fields are split by spaces,
// and spaces at the end of a header are lost.
const noName = "-"

func nameOrNone(name string) string {
	if name == "" {
		return noName
	}
	return name
}

func nameOf(field string) string {
	if field == noName {
		return ""
	}
	return field
}

// parseMillis parses whole milliseconds; anything else is none.
func parseMillis(text string) time.Duration {
	value, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0
	}
	return time.Duration(value) * time.Millisecond
}

// ParseMeta reads the headers that an entry sends to a gate.
func ParseMeta(header http.Header, now time.Time) (Meta, error) {
	attempt, ok := ParseAttemptID(header.Get(HeaderAttempt))
	if !ok {
		return Meta{}, errkind.New(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "%s is missing or malformed", HeaderAttempt)
	}
	meta, ok := parseCallField(header.Get(HeaderCall), now)
	if !ok {
		return Meta{}, errkind.New(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "%s is missing or malformed", HeaderCall)
	}
	meta.Attempt = attempt
	meta.RequestID = header.Get(HeaderRequestID)
	return meta, nil
}

func parseCallField(text string, now time.Time) (Meta, bool) {
	var fields [metaFields]string
	for i := range metaFields - 1 {
		field, rest, ok := strings.Cut(text, " ")
		if !ok {
			return Meta{}, false
		}
		fields[i], text = field, rest
	}
	fields[metaFields-1] = text
	left, errLeft := strconv.ParseUint(fields[1], 10, 32)
	class, errClass := strconv.ParseUint(fields[2], 10, 8)
	idempotent, errIdempotent := strconv.ParseBool(fields[3])
	depth, errDepth := strconv.ParseUint(fields[4], 10, 16)
	fingerprint, errFingerprint := strconv.ParseUint(fields[5], 16, 64)
	untilTarget, errTarget := strconv.ParseInt(fields[6], 10, 32)
	if errTarget != nil || errLeft != nil || errClass != nil || errIdempotent != nil || errDepth != nil || errFingerprint != nil {
		return Meta{}, false
	}
	return Meta{
		Service:     fields[0],
		Deadline:    now.Add(time.Duration(left) * time.Millisecond),
		Class:       pb.Class(class),
		Idempotent:  idempotent,
		Depth:       int(depth),
		Fingerprint: fingerprint,
		Target:      now.Add(time.Duration(untilTarget) * time.Millisecond),
		Caller:      nameOf(fields[7]),
		Route:       nameOf(fields[8]),
	}, fields[0] != ""
}

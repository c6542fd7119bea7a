package wire

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/egretfield/egretfield/internal/apikey"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

// Meta is the metadata of a request that an entry sends to a gate along with it.
type Meta struct {
	Attempt   AttemptID
	RequestID string
	Service   string
	Class     pb.Class
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
	// Depth is the depth of this call in its chain of calls; the first has 0.
	Depth int
	// Deadline is when the first byte of the answer must have arrived.
	Deadline time.Time
	// Fingerprint is a hash that is the same for equal requests.
	Fingerprint uint64
	// Target is the time by which the answer should arrive, from the route's latency
	// target. A later answer is worth less to the caller.
	Target time.Time
	// Route is the name of the request's route; empty if it has none.
	Route string
	// Caller is the name of the calling service: that of the backend server next to the
	// node that accepted the request.
	Caller string
	// Organisation is the name of the caller's organisation; empty if it has none.
	Organisation string
	// ConfigVersion is the version of the configuration by which the entry chose the
	// gate; zero if unknown. A gate with an older one doesn't judge the entry's choice.
	ConfigVersion int64
	// Hedged reports whether another attempt of the request runs already.
	Hedged bool
	// KeyUse is the API key without which the request may not start; zero if it may.
	KeyUse apikey.Use
}

// Call is one attempt of a request. Functions that receive a Call don't modify it.
type Call struct {
	Meta
	Method string
	// URI is the request target (path and query) of the request line.
	URI  string
	Host string
	// Header contains end-to-end headers only.
	Header http.Header
	// HeldBody is the complete body if it is buffered in memory. Otherwise Body is read
	// as a stream, at most once; both are nil if there is no body.
	HeldBody []byte
	Body     io.Reader
	// BodyBytes is the length of the body, or -1 if unknown.
	BodyBytes int64
	// AnswerBy is when the last byte of the answer must have arrived; zero: an answer that
	// has begun may take any time. It isn't sent between nodes.
	AnswerBy time.Time
}

// Streams reports whether the body is sent as a stream.
func (c *Call) Streams() bool {
	return c.Body != nil
}

// Answer is the answer to a Call.
type Answer struct {
	// Kind is the error kind of an answer made by the system; zero if the backend server
	// made the answer.
	Kind errkind.Kind
	// Message explains Kind.
	Message string
	// RetryAfter is the wait suggested to the caller; zero means the default of Kind.
	RetryAfter time.Duration
	// Crashed reports whether the backend server crashed while it ran the request.
	Crashed bool
	// NotExecuted reports whether the backend server states that it didn't run the
	// request.
	NotExecuted bool
	// ReachedServer reports whether the refused request had reached a backend server.
	ReachedServer bool
	// Misdirected reports whether another backend server now has the address; it didn't
	// run the request.
	Misdirected bool
	// ConnectionLost reports whether the connection to the gate was lost although the
	// gate replies to control calls.
	ConnectionLost bool

	Status int
	Header http.Header
	// Body must be closed by the receiver. It is nil if Kind is set.
	Body io.ReadCloser
	// BodyBytes is the length of the body in bytes, or -1 if unknown.
	BodyBytes int64
	// Trailer may be read after Body has returned io.EOF. It may be nil.
	Trailer *http.Header
	// Load is the load report that came with the answer, or nil.
	Load *pb.LoadReport
	// Notice is what the answer tells about the backend server's state, or nil.
	Notice *ServerNotice
	// ServerTime is the time that the backend server took until the answer's first byte.
	ServerTime time.Duration
}

// ErrorAnswer returns an error answer made by the system.
func ErrorAnswer(kind errkind.Kind, message string) *Answer {
	return &Answer{Kind: kind, Message: message}
}

const metaFields = 12

// appendMeta appends the value of HeaderCall to buf. Both times are relative to the start of
// the exchange.
func appendMeta(buf []byte, m *Meta, timeoutMs, untilTargetMs int64) []byte {
	buf = append(buf, m.Service...)
	buf = append(buf, ' ')
	buf = strconv.AppendInt(buf, timeoutMs, 10)
	buf = append(buf, ' ')
	buf = strconv.AppendInt(buf, int64(m.Class), 10)
	buf = append(buf, ' ')
	buf = strconv.AppendBool(buf, m.Idempotent)
	buf = append(buf, ' ')
	buf = strconv.AppendInt(buf, int64(m.Depth), 10)
	buf = append(buf, ' ')
	buf = strconv.AppendUint(buf, m.Fingerprint, 16)
	buf = append(buf, ' ')
	buf = strconv.AppendInt(buf, untilTargetMs, 10)
	buf = append(buf, ' ')
	buf = strconv.AppendInt(buf, m.ConfigVersion, 10)
	buf = append(buf, ' ')
	buf = append(buf, encodeName(m.Caller)...)
	buf = append(buf, ' ')
	buf = append(buf, encodeName(m.Route)...)
	buf = append(buf, ' ')
	buf = append(buf, encodeName(m.Organisation)...)
	buf = append(buf, ' ')
	if m.KeyUse.IsZero() {
		return append(buf, emptyName...)
	}
	return m.KeyUse.AppendTo(buf)
}

// emptyName represents an empty name in HeaderCall: the fields are separated by spaces,
// and trailing spaces of a header value are stripped.
const emptyName = "-"

func encodeName(name string) string {
	if name == "" {
		return emptyName
	}
	return name
}

func decodeName(field string) string {
	if field == emptyName {
		return ""
	}
	return field
}

// parseMillis parses whole milliseconds. It returns zero if text is malformed.
func parseMillis(text string) time.Duration {
	value, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0
	}
	return time.Duration(value) * time.Millisecond
}

// ParseMeta parses the headers that an entry sends to a gate. The deadline and target
// are computed from now.
func ParseMeta(header http.Header, now time.Time) (Meta, error) {
	attempt, ok := ParseAttemptID(header.Get(HeaderAttempt))
	if !ok {
		return Meta{}, errkind.New(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "%s is missing or malformed: expected origin-number-incarnation in hexadecimal", HeaderAttempt)
	}
	meta, ok := parseCallHeader(header.Get(HeaderCall), now)
	if !ok {
		return Meta{}, errkind.New(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "%s is missing or malformed: expected the metadata of a call as fields separated by spaces", HeaderCall)
	}
	meta.Attempt = attempt
	meta.RequestID = header.Get(HeaderRequestID)
	meta.Hedged = header.Get(HeaderHedged) != ""
	return meta, nil
}

func parseCallHeader(text string, now time.Time) (Meta, bool) {
	var fields [metaFields]string
	for i := range metaFields - 1 {
		field, rest, ok := strings.Cut(text, " ")
		if !ok {
			return Meta{}, false
		}
		fields[i], text = field, rest
	}
	fields[metaFields-1] = text
	timeoutMs, errTimeout := strconv.ParseUint(fields[1], 10, 32)
	class, errClass := strconv.ParseUint(fields[2], 10, 8)
	idempotent, errIdempotent := strconv.ParseBool(fields[3])
	depth, errDepth := strconv.ParseUint(fields[4], 10, 16)
	fingerprint, errFingerprint := strconv.ParseUint(fields[5], 16, 64)
	untilTargetMs, errTarget := strconv.ParseInt(fields[6], 10, 32)
	configVersion, errVersion := strconv.ParseInt(fields[7], 10, 64)
	keyUse, keyOK := apikey.Use{}, true
	if fields[11] != emptyName {
		keyUse, keyOK = apikey.ParseUse(fields[11])
	}
	if !keyOK || errVersion != nil || errTarget != nil || errTimeout != nil || errClass != nil || errIdempotent != nil || errDepth != nil || errFingerprint != nil {
		return Meta{}, false
	}
	return Meta{
		Service:     fields[0],
		Deadline:    now.Add(time.Duration(timeoutMs) * time.Millisecond),
		Class:       pb.Class(class),
		Idempotent:  idempotent,
		Depth:       int(depth),
		Fingerprint: fingerprint,
		Target:      now.Add(time.Duration(untilTargetMs) * time.Millisecond),
		Caller:      decodeName(fields[8]),
		Route:       decodeName(fields[9]),

		Organisation:  decodeName(fields[10]),
		ConfigVersion: configVersion,
		KeyUse:        keyUse,
	}, fields[0] != ""
}

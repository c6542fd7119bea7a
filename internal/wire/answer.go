package wire

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/egretfield/egretfield/internal/pb"
)

// MaxHeldBodyBytes is the size in bytes of the largest request body that is buffered in
// memory.
const MaxHeldBodyBytes = 64 << 10

// MaxStoredAnswerBytes is the size in bytes of the largest answer body that is stored
// for a second delivery.
const MaxStoredAnswerBytes = 64 << 10

// WriteAnswer writes a backend server's answer to w and closes its body. It returns the
// size of the body in bytes. If the body is truncated, it panics with http.ErrAbortHandler,
// so that the receiver notices the truncation.
func WriteAnswer(w http.ResponseWriter, answer *Answer) int64 {
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	if answer.Body == nil {
		w.WriteHeader(answer.Status)
		return 0
	}
	defer answer.Body.Close()
	if answer.BodyBytes >= 0 && len(header["Content-Length"]) != 1 {
		header["Content-Length"] = []string{strconv.FormatInt(answer.BodyBytes, 10)}
	}
	w.WriteHeader(answer.Status)
	n, err := Copy(bodyWriter(w, answer.BodyBytes), answer.Body)
	if err != nil || (answer.BodyBytes >= 0 && n != answer.BodyBytes) {
		panic(http.ErrAbortHandler)
	}
	if answer.Trailer != nil {
		for name, values := range *answer.Trailer {
			header[http.TrailerPrefix+name] = values
		}
	}
	return n
}

// bodyWriter returns the writer for a body. A short body goes straight to w. The writer of
// a long one limits the time of each write, and a body of unknown length is flushed after
// each write.
func bodyWriter(w http.ResponseWriter, length int64) io.Writer {
	if length >= 0 && length <= MaxHeldBodyBytes {
		return w
	}
	return &streamWriter{w: w, control: http.NewResponseController(w), flush: length < 0}
}

type streamWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	flush   bool
}

func (s *streamWriter) Write(data []byte) (int, error) {
	// Only ResponseWriters in tests don't support deadlines and flushing.
	_ = s.control.SetWriteDeadline(time.Now().Add(DefaultProgressTimeout))
	n, err := s.w.Write(data)
	if err == nil && s.flush {
		_ = s.control.Flush()
	}
	_ = s.control.SetWriteDeadline(time.Time{})
	return n, err
}

// NewStoredAnswer returns the status and header of answer in the form in which they are
// stored.
func NewStoredAnswer(answer *Answer) *pb.StoredAnswer {
	stored := &pb.StoredAnswer{Status: uint32(answer.Status)}
	for name, values := range answer.Header {
		stored.Header = append(stored.Header, &pb.HeaderField{Name: name, Values: values})
	}
	return stored
}

// RestoreAnswer converts a stored answer back to an Answer.
func RestoreAnswer(stored *pb.StoredAnswer) *Answer {
	header := make(http.Header, len(stored.Header))
	for _, field := range stored.Header {
		header[http.CanonicalHeaderKey(field.Name)] = field.Values
	}
	StripHopByHop(header)
	answer := &Answer{Status: int(stored.Status), Header: header, BodyBytes: int64(len(stored.Body))}
	if len(stored.Body) > 0 {
		answer.Body = newBody(stored.Body)
	}
	return answer
}

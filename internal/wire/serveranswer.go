package wire

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/egretfield/egretfield/internal/http1"
	"github.com/egretfield/egretfield/internal/pb"
)

// defaultSlownessPercent is the slowness assumed for a backend server that reports none.
const defaultSlownessPercent = 100

// isStale reports whether an answer of a backend server belongs to an earlier request on
// this connection, i.e. is a late second answer to it. The answer to the current request
// is still to come. A server that needn't repeat ids may put others on its answers, so
// only the ids of earlier requests count.
func (x *exchange) isStale(received *http1.Answer) bool {
	options := &x.client.options
	if options.BetweenNodes || !x.conn.reused {
		return false
	}
	echoed := received.Header.Get(options.Headers.RequestID)
	if echoed == "" || echoed == x.params.Call.RequestID {
		return false
	}
	return options.Headers.EchoesRequestID || slices.Contains(x.conn.earlierIDs[:], echoed) || x.conn.mayAnswerAgain(echoed)
}

// rememberID records the id of a request whose answer was complete.
func (c *conn) rememberID(id string) {
	c.earlierIDs[c.nextID%len(c.earlierIDs)] = id
	c.nextID++
}

// mayBeSentAgain reports whether the request may be sent again after its answer, on
// whatever connection.
func (x *exchange) mayBeSentAgain() bool {
	if x.client.options.BetweenNodes || x.client.options.Headers.RequestID == "" {
		return false // each attempt has an id of its own, or none
	}
	switch answer := &x.result; answer.Status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests:
		return true
	default:
		return answer.NotExecuted || answer.Misdirected || answer.Status >= http.StatusInternalServerError
	}
}

// discardStale reads and discards an answer that belongs to another request.
func (x *exchange) discardStale(received *http1.Answer) error {
	x.client.mismatches.Add(1)
	if received.Close {
		return eris.New("the answer to an earlier request closes the connection")
	}
	if received.Body == nil {
		return nil
	}
	n, err := io.Copy(io.Discard, io.LimitReader(received.Body, maxDrainBytes))
	if err != nil {
		return eris.Wrap(err, "discard the answer to an earlier request")
	}
	if n == maxDrainBytes {
		return eris.New("the answer to an earlier request is too long to skip")
	}
	return nil
}

// checkServerAnswer returns an error if the header shows that the answer is not the
// backend server's own answer to this request. It copies what the header tells about the
// server into answer.
func (x *exchange) checkServerAnswer(answer *Answer) error {
	names, header := x.client.options.Headers, answer.Header
	if names.EchoesRequestID && header.Get(names.RequestID) != x.params.Call.RequestID {
		x.client.mismatches.Add(1)
		return eris.New("the answer belongs to another request")
	}
	answer.NotExecuted = names.NotExecuted != "" && header.Get(names.NotExecuted) != ""
	answer.Misdirected = x.client.options.ServerID != "" && answer.Status == http.StatusMisdirectedRequest
	if names.Signature != "" && answer.Status/100 == 2 && header.Get(names.Signature) == "" {
		return eris.New("successful answer without the backend server's signature")
	}
	if names.Signature != "" && header.Get("Content-Encoding") != "" {
		return eris.New("the answer has a Content-Encoding that was not requested")
	}
	if names.Load != "" {
		answer.Load = ParseServerLoad(header.Get(names.Load))
		delete(header, names.Load)
	}
	answer.Notice = ParseServerNotice(names, header)
	return nil
}

// ParseServerLoad parses the value of Headers.Load: "running,waiting,slots[,slowness]". It
// returns nil if text is malformed.
func ParseServerLoad(text string) *pb.LoadReport {
	var values [4]uint32
	fields := strings.Split(text, ",")
	if len(fields) < 3 {
		return nil
	}
	values[3] = defaultSlownessPercent
	for i := range min(len(fields), len(values)) {
		value, err := strconv.ParseUint(strings.TrimSpace(fields[i]), 10, 32)
		if err != nil {
			return nil
		}
		values[i] = uint32(value)
	}
	return &pb.LoadReport{InFlight: values[0], Queued: values[1], Slots: values[2], SlownessPercent: values[3]}
}

package wire

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/egretfield/egretfield/internal/pb"
)

// usualSlowness is the slowness of a backend server that reports none, percent.
const usualSlowness = 100

// isForeign reports whether an answer of a backend server belongs to an earlier
// request: a second answer to it, sent late. The answer that is waited for is
// still to come on the connection.
func (x *exchange) isForeign(resp *http.Response) bool {
	options := &x.client.options
	if options.BetweenNodes || !options.Headers.EchoesRequestID || !x.conn.reused {
		return false
	}
	echoed := resp.Header.Get(options.Headers.RequestID)
	return echoed != "" && echoed != x.sending.Call.RequestID
}

// skip reads an answer that belongs to another request.
func (x *exchange) skip(resp *http.Response) error {
	x.client.mismatches.Add(1)
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDrain))
	if err != nil {
		return eris.Wrap(unexpected(err), "skip the answer to another request")
	}
	if n == maxDrain || resp.Close {
		return eris.New("the answer to another request is long or ends the connection")
	}
	return nil
}

// checkServer refuses the header of an answer that can't be the backend server's
// own to this request, and notes what it says of the server.
func (x *exchange) checkServer(answer *Answer) error {
	names, header := x.client.options.Headers, answer.Header
	if names.EchoesRequestID && header.Get(names.RequestID) != x.sending.Call.RequestID {
		x.client.mismatches.Add(1)
		return eris.New("the answer belongs to another request")
	}
	answer.NotExecuted = names.NotExecuted != "" && header.Get(names.NotExecuted) != ""
	answer.Misdirected = x.client.options.Target != "" && answer.Status == http.StatusMisdirectedRequest
	if names.Signature != "" && answer.Status/100 == 2 && header.Get(names.Signature) == "" {
		return eris.New("a success without the backend server's signature")
	}
	if names.Signature != "" && header.Get("Content-Encoding") != "" {
		return eris.New("the body is in an encoding that nobody asked for")
	}
	if names.Load != "" {
		answer.Load = ParseServerLoad(header.Get(names.Load))
		delete(header, names.Load)
	}
	return nil
}

// ParseServerLoad parses "running,waiting,slots[,slowness]". It returns nil when
// text is malformed.
func ParseServerLoad(text string) *pb.LoadReport {
	var values [4]uint32
	fields := strings.Split(text, ",")
	if len(fields) < 3 {
		return nil
	}
	values[3] = usualSlowness
	for i := range min(len(fields), len(values)) {
		value, err := strconv.ParseUint(strings.TrimSpace(fields[i]), 10, 32)
		if err != nil {
			return nil
		}
		values[i] = uint32(value)
	}
	return &pb.LoadReport{InFlight: values[0], Queued: values[1], Slots: values[2], SlownessPercent: values[3]}
}

package wire

import (
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/egretfield/egretfield/internal/errkind"
)

type counter = atomic.Int64

const (
	// maxAnswerHeader bounds the header of an answer, bytes.
	maxAnswerHeader = 256 << 10
	// maxSilenceGrowth bounds the growth of the time between checks.
	maxSilenceGrowth = 8
	// maxInterim is the number of interim answers accepted before the final one.
	maxInterim = 8
)

// exchange is one request on one connection.
type exchange struct {
	client  *Client
	conn    *conn
	sending Sending
	stop    func() bool
	sent    bool
	limited bool // the first wait for the answer is bounded already
	begun   time.Time
	// upload ends when the streamed body has been written; nil: none.
	upload chan error
	// taking is the state of the upload: whether it may still begin to read.
	taking atomic.Int32
	// attempt is the id that was sent to a node.
	attempt string
	reply   Answer
	body    answerBody
}

func (x *exchange) run(ctx context.Context) (*Answer, error) {
	call := x.sending.Call
	x.begun = time.Now()
	if err := x.limitStart(); err != nil {
		return nil, err
	}
	x.sent = true
	if err := x.writeHead(); err != nil {
		return nil, eris.Wrap(err, "send request")
	}
	if call.Streams() && !x.client.options.BetweenNodes {
		x.startUpload()
	}
	resp, err := x.readHead(ctx)
	if err != nil {
		return nil, err
	}
	return x.answer(resp)
}

// limitStart bounds the sending of the request and the first wait for the
// answer, in one step when the request fits the buffers of the connection.
func (x *exchange) limitStart() error {
	limit := x.sending.Call.Deadline
	x.limited = len(x.sending.Call.Held) <= connWriteBuffer
	if x.limited && x.sending.Check != nil {
		limit = earlier(limit, x.begun.Add(x.client.options.Silence))
	}
	if err := x.conn.SetDeadline(limit); err != nil {
		return eris.Wrap(err, "set deadline")
	}
	if x.conn.aborted.Load() {
		return eris.New("cancelled")
	}
	return nil
}

func (x *exchange) writeHead() error {
	w := x.conn.writer
	w.Reset(x.conn.Conn)
	buf := w.AvailableBuffer()
	buf = x.appendHead(buf)
	if _, err := w.Write(buf); err != nil {
		return err
	}
	if len(x.sending.Call.Held) > 0 {
		if _, err := w.Write(x.sending.Call.Held); err != nil {
			return err
		}
	}
	return w.Flush()
}

// appendHead writes the request line and the header.
func (x *exchange) appendHead(buf []byte) []byte {
	call := x.sending.Call
	buf = append(buf, call.Method...)
	buf = append(buf, ' ')
	buf = append(buf, call.URI...)
	buf = append(buf, " HTTP/1.1\r\nHost: "...)
	buf = append(buf, call.Host...)
	buf = append(buf, "\r\n"...)
	for name, values := range call.Header {
		for _, value := range values {
			buf = appendField(buf, name, value)
		}
	}
	buf = x.appendFraming(buf)
	left := max(NextTimeout(x.begun, call.Deadline, x.conn.roundTrip), 1)
	if x.client.options.BetweenNodes {
		x.attempt = call.Attempt.String()
		buf = appendField(buf, HeaderRequestID, call.RequestID)
		buf = appendField(buf, HeaderAttempt, x.attempt)
		if token := x.client.options.PeerToken; token != "" {
			buf = appendField(buf, HeaderPeer, token)
		}
		buf = append(buf, HeaderCall+": "...)
		buf = appendMeta(buf, &call.Meta, left, call.Target.Sub(x.begun).Milliseconds())
		buf = append(buf, "\r\n"...)
	} else {
		buf = x.appendForServer(buf, left)
	}
	return append(buf, "\r\n"...)
}

// appendForServer writes the headers that a backend server understands.
func (x *exchange) appendForServer(buf []byte, left int64) []byte {
	call, names := x.sending.Call, x.client.options.Headers
	buf = appendField(buf, names.RequestID, call.RequestID)
	buf = appendNumber(buf, names.Timeout, left)
	if names.Depth != "" {
		buf = appendNumber(buf, names.Depth, int64(call.Depth)+1)
	}
	if names.Caller != "" {
		buf = appendField(buf, names.Caller, call.Caller)
	}
	if names.Target != "" && x.client.options.Target != "" {
		buf = appendField(buf, names.Target, x.client.options.Target)
	}
	return buf
}

func (x *exchange) appendFraming(buf []byte) []byte {
	call := x.sending.Call
	switch {
	case call.BodyBytes < 0:
		buf = append(buf, "Transfer-Encoding: chunked\r\n"...)
	case call.BodyBytes > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut:
		buf = appendNumber(buf, "Content-Length", call.BodyBytes)
	}
	if call.Streams() && x.client.options.BetweenNodes {
		buf = append(buf, "Expect: 100-continue\r\n"...)
	}
	return buf
}

func appendField(buf []byte, name, value string) []byte {
	buf = append(buf, name...)
	buf = append(buf, ": "...)
	buf = append(buf, value...)
	return append(buf, "\r\n"...)
}

func appendNumber(buf []byte, name string, value int64) []byte {
	buf = append(buf, name...)
	buf = append(buf, ": "...)
	buf = strconv.AppendInt(buf, value, 10)
	return append(buf, "\r\n"...)
}

// readHead reads the header of the final answer.
func (x *exchange) readHead(ctx context.Context) (*http.Response, error) {
	for range maxInterim {
		x.conn.input.left = maxAnswerHeader
		if err := x.awaitByte(ctx); err != nil {
			return nil, err
		}
		x.conn.request.Method = x.sending.Call.Method
		resp, err := http.ReadResponse(x.conn.reader, &x.conn.request)
		if err != nil {
			return nil, eris.Wrap(unexpected(err), "read answer")
		}
		switch {
		case resp.StatusCode == statusContinue:
			x.startUpload()
		case resp.StatusCode >= http.StatusOK && x.isForeign(resp):
			if err := x.skip(resp); err != nil {
				return nil, err
			}
		case resp.StatusCode >= http.StatusOK:
			return resp, nil
		}
	}
	return nil, eris.Errorf("more than %d interim or foreign answers", maxInterim)
}

// awaitByte waits for the next byte of the answer. It checks the connection
// after each Silence without one.
func (x *exchange) awaitByte(ctx context.Context) error {
	deadline := x.sending.Call.Deadline
	silence := x.client.options.Silence
	for {
		if err := x.limitWait(silence); err != nil {
			return err
		}
		_, err := x.conn.reader.Peek(1)
		if err == nil {
			return nil
		}
		if !isTimeout(err) || x.conn.aborted.Load() || !time.Now().Before(deadline) {
			return eris.Wrap(unexpected(err), "await answer")
		}
		if x.sending.Check(ctx, time.Since(x.begun), x.conn.reused) == VerdictBroken {
			return errSilent
		}
		silence = min(2*silence, maxSilenceGrowth*x.client.options.Silence)
	}
}

// limitWait bounds the wait for a byte to silence, when there is a check.
func (x *exchange) limitWait(silence time.Duration) error {
	if x.limited {
		x.limited = false
		return nil
	}
	limit := x.sending.Call.Deadline
	if x.sending.Check != nil {
		limit = earlier(limit, time.Now().Add(silence))
	}
	if err := x.conn.SetReadDeadline(limit); err != nil {
		return eris.Wrap(err, "set deadline")
	}
	if x.conn.aborted.Load() {
		return eris.New("cancelled")
	}
	return nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// answer turns the response into an Answer whose body gives the connection back.
func (x *exchange) answer(resp *http.Response) (*Answer, error) {
	if resp.ContentLength < 0 {
		// One read of a chunked body may take several from the connection.
		if err := x.conn.SetReadDeadline(time.Now().Add(x.client.options.ProgressLimit)); err != nil {
			return nil, eris.Wrap(err, "set deadline")
		}
		if x.conn.aborted.Load() {
			return nil, eris.New("cancelled")
		}
	}
	x.conn.input.left = math.MaxInt64
	x.reply = Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Trailer: &resp.Trailer}
	answer := &x.reply
	if x.client.options.BetweenNodes {
		if err := x.readInternal(answer); err != nil {
			return nil, err
		}
	}
	if !x.client.options.BetweenNodes {
		if err := x.checkServer(answer); err != nil {
			return nil, err
		}
		x.conn.noteKeepAlive(resp.Header)
	}
	StripHopByHop(resp.Header)
	StripInternal(resp.Header)
	x.body = answerBody{x: x, body: resp.Body, keep: !resp.Close}
	body := &x.body
	if answer.Kind != 0 || resp.ContentLength == 0 || resp.Body == http.NoBody {
		return answer, body.drain()
	}
	answer.Body = body
	return answer, nil
}

// readInternal reads the headers that a gate puts on its answers.
func (x *exchange) readInternal(answer *Answer) error {
	header := answer.Header
	if header.Get(HeaderAttempt) != x.attempt {
		x.client.mismatches.Add(1)
		return eris.Errorf("answer of attempt %q on attempt %s", header.Get(HeaderAttempt), x.attempt)
	}
	answer.Load, answer.ServerTime = ParseLoad(header.Get(HeaderLoad))
	if name := header.Get(HeaderError); name != "" {
		kind, ok := errkind.Parse(name)
		if !ok {
			return eris.Errorf("unknown error kind %q", name)
		}
		answer.Kind = kind
		answer.Crashed = header.Get(HeaderCrashed) != ""
		answer.RetryAfter = parseMillis(header.Get(HeaderRetryAfter))
		answer.Arrived = header.Get(HeaderArrived) != ""
		answer.Message = header.Get(HeaderMessage)
	}
	return nil
}

// States of an upload.
const (
	// bodyUntouched: nothing was read of the body.
	bodyUntouched = iota
	// bodyTaken: the upload has begun to read.
	bodyTaken
	// bodyReleased: the exchange ended before the upload began, which reads nothing.
	bodyReleased
)

var errUploadCancelled = eris.New("the exchange ended before its body was read")

// Claimer is a streamed body that is told when a part of it may have been read.
type Claimer interface {
	Claim()
}

// endUpload keeps an upload that hasn't begun from reading the body, so that
// another attempt may. Otherwise the body is claimed: two readers would each send
// a part of it.
func (x *exchange) endUpload() {
	if x.upload == nil || x.taking.CompareAndSwap(bodyUntouched, bodyReleased) {
		return
	}
	if body, ok := x.sending.Call.Body.(Claimer); ok {
		body.Claim()
	}
}

// startUpload writes the streamed body beside the reading of the answer.
func (x *exchange) startUpload() {
	call := x.sending.Call
	if !call.Streams() || x.upload != nil {
		return
	}
	upload := make(chan error, 1)
	x.upload = upload
	go func() {
		if !x.taking.CompareAndSwap(bodyUntouched, bodyTaken) {
			upload <- errUploadCancelled
			return
		}
		w := &progressWriter{conn: x.conn, limit: x.client.options.ProgressLimit}
		err := writeBody(w, call)
		if err != nil && !w.failed {
			// The body ended early; the peer must not take it for complete.
			// After a failed write the answer may still be there to read.
			x.conn.abort()
		}
		upload <- err
	}()
}

func writeBody(w io.Writer, call *Call) error {
	if call.BodyBytes >= 0 {
		n, err := Copy(w, io.LimitReader(call.Body, call.BodyBytes))
		if err == nil && n < call.BodyBytes {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	return copyChunked(w, call.Body)
}

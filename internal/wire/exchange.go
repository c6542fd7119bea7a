package wire

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/http1"
)

type counter = atomic.Int64

const (
	// maxSilenceFactor limits the interval between checks to a multiple of
	// SilenceTimeout.
	maxSilenceFactor = 8
	// maxInterimAnswers is the number of answers read to find the final one, interim and
	// stale answers included.
	maxInterimAnswers = 8
)

// exchange is one request on a connection and the answer to it.
type exchange struct {
	client    *Client
	conn      *conn
	params    SendParams
	stopAbort func() bool // unregisters conn.abort from the end of the context
	sent      bool        // the peer may have received the request
	// deadlineSet reports whether the deadline of the next wait for a byte is set already.
	deadlineSet bool
	startedAt   time.Time
	// uploadDone receives the result of the upload of the streamed body; nil if none was
	// started.
	uploadDone chan error
	// upload writes the streamed body; nil if no upload was started.
	upload *progressWriter
	// bodyState tells whether the upload may still start to read the body.
	bodyState atomic.Int32
	// attempt is the attempt id that was sent to a node.
	attempt string
	result  Answer
	body    answerBody
}

func (x *exchange) run(ctx context.Context) (*Answer, error) {
	call := x.params.Call
	x.startedAt = time.Now()
	if err := x.setInitialDeadline(); err != nil {
		return nil, err
	}
	x.sent = true
	if err := x.writeHead(); err != nil {
		return nil, eris.Wrap(err, "send request")
	}
	if call.Streams() && !x.client.options.BetweenNodes {
		x.startUpload()
	}
	received, err := x.readHead(ctx)
	if err != nil {
		return nil, err
	}
	return x.answer(received)
}

// setInitialDeadline sets the deadline for sending the request. The same deadline covers
// the first wait for the answer, unless a buffered body exceeds the write buffer of the
// connection.
func (x *exchange) setInitialDeadline() error {
	deadline := x.params.Call.Deadline
	x.deadlineSet = len(x.params.Call.HeldBody) <= connWriteBufferBytes
	if x.deadlineSet && x.params.Check != nil {
		deadline = earlier(deadline, x.startedAt.Add(x.client.options.SilenceTimeout))
	}
	if err := x.conn.SetDeadline(deadline); err != nil {
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
	if len(x.params.Call.HeldBody) > 0 {
		if _, err := w.Write(x.params.Call.HeldBody); err != nil {
			return err
		}
	}
	return w.Flush()
}

// appendHead appends the request line and the header.
func (x *exchange) appendHead(buf []byte) []byte {
	call := x.params.Call
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
	timeoutMs := max(NextTimeoutMs(x.startedAt, call.Deadline, x.conn.roundTrip), 1)
	if x.client.options.BetweenNodes {
		x.attempt = call.Attempt.String()
		buf = appendField(buf, HeaderRequestID, call.RequestID)
		buf = appendField(buf, HeaderAttempt, x.attempt)
		if token := x.client.options.PeerToken; token != "" {
			buf = appendField(buf, HeaderPeer, token)
		}
		if call.Hedged {
			buf = appendField(buf, HeaderHedged, "1")
		}
		buf = append(buf, HeaderCall+": "...)
		buf = appendMeta(buf, &call.Meta, timeoutMs, call.Target.Sub(x.startedAt).Milliseconds())
		buf = append(buf, "\r\n"...)
	} else {
		buf = x.appendServerHeaders(buf, timeoutMs)
	}
	return append(buf, "\r\n"...)
}

// appendServerHeaders appends the headers that a backend server understands.
func (x *exchange) appendServerHeaders(buf []byte, timeoutMs int64) []byte {
	call, names := x.params.Call, x.client.options.Headers
	if names.RequestID != "" {
		buf = appendField(buf, names.RequestID, call.RequestID)
	}
	if names.Timeout != "" {
		buf = appendNumber(buf, names.Timeout, timeoutMs)
	}
	if names.Depth != "" {
		buf = appendNumber(buf, names.Depth, int64(call.Depth)+1)
	}
	if names.Caller != "" {
		buf = appendField(buf, names.Caller, call.Caller)
	}
	if names.Organisation != "" && call.Organisation != "" {
		buf = appendField(buf, names.Organisation, call.Organisation)
	}
	if names.TargetServer != "" && x.client.options.ServerID != "" {
		buf = appendField(buf, names.TargetServer, x.client.options.ServerID)
	}
	return buf
}

func (x *exchange) appendFraming(buf []byte) []byte {
	call := x.params.Call
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
func (x *exchange) readHead(ctx context.Context) (*http1.Answer, error) {
	for range maxInterimAnswers {
		if err := x.awaitByte(ctx); err != nil {
			return nil, err
		}
		received, err := x.conn.reader.ReadAnswer(x.params.Call.Method)
		if err != nil {
			return nil, eris.Wrap(err, "read answer")
		}
		switch {
		case received.Status == statusContinue:
			x.startUpload()
		case received.IsInterim():
		case x.isStale(received):
			if err := x.discardStale(received); err != nil {
				return nil, err
			}
		default:
			return received, nil
		}
	}
	return nil, eris.Errorf("no final answer among the first %d answers", maxInterimAnswers)
}

// awaitByte waits for the next byte of the answer. It calls Check when none has arrived
// for SilenceTimeout, and again at growing intervals.
func (x *exchange) awaitByte(ctx context.Context) error {
	deadline := x.params.Call.Deadline
	silence := x.client.options.SilenceTimeout
	for {
		if err := x.setWaitDeadline(silence); err != nil {
			return err
		}
		err := x.conn.reader.AwaitByte()
		if err == nil {
			return nil
		}
		if !IsTimeout(err) || x.conn.aborted.Load() || !time.Now().Before(deadline) {
			return eris.Wrap(err, "await answer")
		}
		switch x.params.Check(ctx, time.Since(x.startedAt), x.conn.reused) {
		case VerdictBroken:
			return errSilent
		case VerdictAnswered:
			return x.awaitSentAnswer()
		}
		silence = min(2*silence, maxSilenceFactor*x.client.options.SilenceTimeout)
	}
}

// awaitSentAnswer waits for the first byte of an answer that the peer has sent.
func (x *exchange) awaitSentAnswer() error {
	if err := x.conn.SetReadDeadline(earlier(x.params.Call.Deadline, time.Now().Add(x.client.options.AnswerGrace))); err != nil {
		return eris.Wrap(err, "set deadline")
	}
	if x.conn.aborted.Load() {
		return eris.New("cancelled")
	}
	err := x.conn.reader.AwaitByte()
	if err == nil {
		return nil
	}
	if !IsTimeout(err) || x.conn.aborted.Load() {
		return eris.Wrap(err, "await answer")
	}
	return errSilent
}

// setWaitDeadline sets the read deadline for the next byte: after silence if there is a
// Check, otherwise the deadline of the call.
func (x *exchange) setWaitDeadline(silence time.Duration) error {
	if x.deadlineSet {
		x.deadlineSet = false
		return nil
	}
	deadline := x.params.Call.Deadline
	if x.params.Check != nil {
		deadline = earlier(deadline, time.Now().Add(silence))
	}
	if err := x.conn.SetReadDeadline(deadline); err != nil {
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

// answer converts what was received to an Answer. The connection returns to its pool at the
// end of the body.
func (x *exchange) answer(received *http1.Answer) (*Answer, error) {
	if received.Length < 0 {
		// One read of a chunked body may need several reads of the connection.
		if err := x.conn.SetReadDeadline(x.bodyDeadline()); err != nil {
			return nil, eris.Wrap(err, "set deadline")
		}
		if x.conn.aborted.Load() {
			return nil, eris.New("cancelled")
		}
	}
	x.result = Answer{Status: received.Status, Header: received.Header, BodyBytes: received.Length, Trailer: &received.Trailer}
	answer := &x.result
	if x.client.options.BetweenNodes {
		if err := x.readGateHeaders(answer); err != nil {
			return nil, err
		}
	}
	if !x.client.options.BetweenNodes {
		if err := x.checkServerAnswer(answer); err != nil {
			return nil, err
		}
		x.conn.noteKeepAlive(received.Header)
	}
	if !x.client.options.KeepHeaders {
		StripHopByHop(received.Header)
		StripInternal(received.Header)
	}
	x.body = answerBody{x: x, received: received}
	body := &x.body
	if answer.Kind != 0 || received.Body == nil {
		return answer, body.drain()
	}
	answer.Body = body
	return answer, nil
}

// bodyDeadline returns when the next byte of the answer's body must have arrived.
func (x *exchange) bodyDeadline() time.Time {
	progress := time.Now().Add(x.client.options.ProgressTimeout)
	if by := x.params.Call.AnswerBy; !by.IsZero() {
		return earlier(by, progress)
	}
	return progress
}

// readGateHeaders reads the headers that a gate adds to its answers.
func (x *exchange) readGateHeaders(answer *Answer) error {
	header := answer.Header
	if header.Get(HeaderAttempt) != x.attempt {
		x.client.mismatches.Add(1)
		return eris.Errorf("got an answer to attempt %q instead of %s", header.Get(HeaderAttempt), x.attempt)
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
		answer.ReachedServer = header.Get(HeaderArrived) != ""
		answer.Message = header.Get(HeaderMessage)
	}
	return nil
}

// States of the body of a streamed upload.
const (
	// bodyUnread means that the upload hasn't started to read the body.
	bodyUnread = iota
	// bodyReading means that the upload has started to read the body.
	bodyReading
	// bodyAbandoned means that the exchange ended before the upload started; the upload
	// won't read the body.
	bodyAbandoned
)

var errUploadCancelled = eris.New("the exchange ended before its request body was read")

// Claimer is implemented by streamed bodies that must know whether a part of them may have
// been read.
type Claimer interface {
	// Claim is called when an exchange ends although its upload has started, so that no
	// later attempt can send the body.
	Claim()
}

// endUpload prevents an upload that hasn't started from reading the body, so that another
// attempt can send it. If the upload has started, endUpload claims the body, since with two
// readers each would send only a part of it.
func (x *exchange) endUpload() {
	if x.uploadDone == nil || x.bodyState.CompareAndSwap(bodyUnread, bodyAbandoned) {
		return
	}
	if body, ok := x.params.Call.Body.(Claimer); ok {
		body.Claim()
	}
}

// startUpload sends the streamed body while the answer is being read.
func (x *exchange) startUpload() {
	call := x.params.Call
	if !call.Streams() || x.uploadDone != nil {
		return
	}
	uploadDone := make(chan error, 1)
	x.uploadDone = uploadDone
	w := &progressWriter{conn: x.conn, timeout: x.client.options.ProgressTimeout}
	x.upload = w
	go func() {
		if !x.bodyState.CompareAndSwap(bodyUnread, bodyReading) {
			uploadDone <- errUploadCancelled
			return
		}
		err := writeBody(w, call)
		if err != nil && w.connError() == nil {
			// The body ended early, so the peer must not take it for complete. After a
			// failed write, in contrast, there may still be an answer to read.
			x.conn.abort()
		}
		uploadDone <- err
	}()
}

// connEnd returns io.EOF if the connection, whose end a read has reported, was ended by the
// peer's close, and otherwise what has broken it.
func (x *exchange) connEnd() error {
	if x.upload == nil {
		return io.EOF
	}
	x.conn.abort() // ends a write in progress
	if err := x.upload.brokenConn(); err != nil {
		return eris.Wrap(err, "the connection broke during the upload")
	}
	return io.EOF
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

package entry

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/pipeline"
	"github.com/egretfield/egretfield/internal/quarantine"
	"github.com/egretfield/egretfield/internal/wire"
)

const (
	// maxKeyBytes limits the length of an idempotency key.
	maxKeyBytes = 255
	// bodyIdleTimeout ends a request whose body makes no progress for this time.
	bodyIdleTimeout = 10 * time.Second
	// minUploadBytesPerSecond is the lowest expected rate of a streamed body. A route's
	// default deadline is extended by the time that the body takes at this rate.
	minUploadBytesPerSecond = 256 << 10
)

// prepare validates the request and builds the call. It returns a refusal if the
// request can't be sent.
func (x *exchange) prepare() *wire.Answer {
	x.startTime = pipeline.ArrivedAt(x.r)
	x.expectsContinue = len(x.r.Header["Expect"]) > 0
	if err := x.setRequestID(); err != nil {
		return errorAnswer(err)
	}
	x.waitUntilStarted()
	routes := x.handler.routes.Load()
	if routes == nil {
		return noConfiguration()
	}
	found, ok := routes.find(x.r)
	if !ok {
		return noRoute()
	}
	x.service, x.route = found.service, found.route
	if refusal := x.authenticate(routes); refusal != nil {
		return refusal
	}
	x.service.state.budget.RecordRequest()
	x.service.state.hedging.RecordRequest()
	if refusal := x.buildCall(routes, found.uri); refusal != nil {
		return refusal
	}
	if !x.call.Idempotent {
		if err := pipeline.AwaitTurn(x.r); err != nil {
			return wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_CANCELLED, err.Error())
		}
	}
	x.sanitizeHeader()
	if err := x.prepareBody(); err != nil {
		return errorAnswer(err)
	}
	// A body that is held has been read, so that requests behind it can be answered.
	if stop := x.handler.stop.Load(); stop != nil && x.mayOutlastStop && time.Now().After(stop.late) {
		return wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_DRAINING, "the node is stopping and may not wait for the answer")
	}
	return x.setFingerprint()
}

func noConfiguration() *wire.Answer {
	return wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_NOT_READY, "the node has no configuration yet")
}

func noRoute() *wire.Answer {
	return wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_UNKNOWN_SERVICE, "no route or service matches the host and path")
}

// buildCall builds and checks the call of a request whose service, route and organisation
// are known. It returns a refusal if the request can't be sent.
func (x *exchange) buildCall(routes *Routes, uri string) *wire.Answer {
	x.maxBodyBytes = routes.limits.bodyLimit(x.route)
	x.call = wire.Call{
		Meta: wire.Meta{
			RequestID:  x.requestID,
			Service:    x.service.name,
			Route:      x.route.name,
			Caller:     x.handler.options.Service,
			Idempotent: x.route.isIdempotent(x.r.Method),
		},
		Method:    x.r.Method,
		URI:       uri,
		Host:      x.r.Host,
		Header:    x.r.Header,
		BodyBytes: x.r.ContentLength,
	}
	x.setOrganisation()
	if err := x.validate(routes); err != nil {
		return errorAnswer(err)
	}
	x.regionsAtArrival = routes.regions
	return x.refuseWithoutRegion()
}

// maxStartWait limits the wait of a request that arrives while the node starts: a
// node that joins a fleet knows its servers within a few hundred milliseconds.
const maxStartWait = 300 * time.Millisecond

// waitUntilStarted waits until the node can serve, for at most maxStartWait. Without
// it, calls of a backend server would fail while the node next to it restarts.
func (x *exchange) waitUntilStarted() {
	started := x.handler.options.Started
	if started == nil {
		return
	}
	select {
	case <-started:
		return
	default:
	}
	timer := time.NewTimer(maxStartWait)
	defer timer.Stop()
	select {
	case <-started:
	case <-timer.C:
	case <-x.r.Context().Done():
	}
}

// errorAnswer converts an error into an answer.
func errorAnswer(err error) *wire.Answer {
	var typed *errkind.Error
	if !errors.As(err, &typed) {
		return wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_INTERNAL, "internal error")
	}
	message := typed.Error()
	if _, text, ok := strings.Cut(message, ": "); ok {
		message = text
	}
	return wire.ErrorAnswer(typed.Kind, message)
}

// setRequestID sets the id to the caller's, or to a new one if the caller sent none.
func (x *exchange) setRequestID() error {
	name := x.handler.options.Headers.RequestID
	id := firstValue(x.r.Header[name])
	if wire.ValidRequestID(id) {
		x.requestID = id
		return nil
	}
	x.requestID = x.handler.ids.Request()
	if id == "" {
		return nil
	}
	return errkind.New(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "%s has %d bytes, expected at most %d printable ASCII characters without spaces", name, len(id), wire.MaxRequestIDBytes)
}

func firstValue(values []string) string {
	if len(values) == 0 {
		return ""
	}
	return values[0]
}

// validate checks the request line and the header, and sets the deadline.
func (x *exchange) validate(routes *Routes) error {
	if size := headerSize(x.r); size > routes.limits.headerBytes {
		return errkind.New(pb.ErrorKind_ERROR_KIND_HEADERS_TOO_LARGE, "the request header has %d bytes, the limit is %d", size, routes.limits.headerBytes)
	}
	if err := pipeline.CheckFraming(x.r); err != nil {
		return err
	}
	if x.r.Method == http.MethodConnect {
		return errkind.New(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "the CONNECT method is not supported")
	}
	if hasDotSegment(x.r.URL.Path) {
		return errkind.New(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "the path contains dot segments")
	}
	if err := x.validateDepth(routes.maxDepth); err != nil {
		return err
	}
	if x.r.ContentLength > x.maxBodyBytes {
		return errkind.New(pb.ErrorKind_ERROR_KIND_BODY_TOO_LARGE, "the request body has %d bytes, the limit is %d", x.r.ContentLength, x.maxBodyBytes)
	}
	if err := x.validateKey(); err != nil {
		return err
	}
	return x.setDeadline()
}

// headerSize returns the approximate size of the request line and header as sent.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

func hasDotSegment(path string) bool {
	if !strings.Contains(path, "/.") {
		return false
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

func (x *exchange) validateDepth(maxDepth int) error {
	name := x.handler.options.Headers.Depth
	text := firstValue(x.r.Header[name])
	if text == "" {
		return nil
	}
	depth, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return errkind.New(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "%s %q is not a call depth: expected an integer from 0 to 65535", name, text)
	}
	x.call.Depth = int(depth)
	if x.call.Depth >= maxDepth {
		return errkind.New(pb.ErrorKind_ERROR_KIND_TOO_DEEP, "the call chain has %d calls, the limit is %d", x.call.Depth+1, maxDepth)
	}
	return nil
}

func (x *exchange) validateKey() error {
	keys := x.r.Header[wire.HeaderIdempotencyKey]
	x.key = firstValue(keys)
	x.firstSend = firstValue(x.r.Header[wire.HeaderFirstSend]) == "true"
	switch {
	case len(keys) > 1 || len(x.key) > maxKeyBytes:
		return errkind.New(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "more than one %s header, or one longer than %d bytes", wire.HeaderIdempotencyKey, maxKeyBytes)
	case x.key == "" && x.route.requireKey && !x.call.Idempotent:
		return errkind.New(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "the route requires an %s header", wire.HeaderIdempotencyKey)
	}
	return nil
}

func (x *exchange) setDeadline() error {
	timeout := x.route.deadline
	if values := x.r.Header[x.handler.options.Headers.Timeout]; len(values) > 0 {
		var err error
		timeout, err = wire.ParseTimeout(values[0])
		if err != nil {
			return err
		}
	} else if x.needsStreaming() {
		timeout += x.uploadTime()
	}
	if x.route.timeout > 0 {
		timeout = min(timeout, x.route.timeout)
	}
	x.call.Deadline = x.startTime.Add(timeout)
	if stop := x.handler.stop.Load(); stop != nil && stop.by.Before(x.call.Deadline) {
		x.call.Deadline, x.mayOutlastStop = stop.by, true
	}
	if x.route.timeout > 0 {
		x.call.AnswerBy = x.call.Deadline
	}
	x.call.Target = x.call.Deadline
	if x.route.target > 0 {
		x.call.Target = x.startTime.Add(min(timeout, x.route.target))
	}
	return nil
}

// needsStreaming reports whether the body is of unknown length or too large to buffer.
func (x *exchange) needsStreaming() bool {
	return x.r.ContentLength < 0 || x.r.ContentLength > wire.MaxHeldBodyBytes
}

// uploadTime returns the time that the body takes at minUploadBytesPerSecond.
func (x *exchange) uploadTime() time.Duration {
	bytes := x.r.ContentLength
	if bytes < 0 {
		bytes = min(x.maxBodyBytes, DefaultMaxBodyBytes)
	}
	return time.Duration(bytes/minUploadBytesPerSecond) * time.Second
}

// sanitizeHeader removes hop-by-hop and internal headers and appends the caller's
// address to X-Forwarded-For.
func (x *exchange) sanitizeHeader() {
	header := x.r.Header
	wire.StripHopByHop(header)
	wire.StripInternal(header)
	x.handler.options.Headers.Strip(header)
	delete(header, "Content-Length")
	caller, _, err := net.SplitHostPort(x.r.RemoteAddr)
	if err != nil {
		return
	}
	if forwardedFor := header["X-Forwarded-For"]; len(forwardedFor) > 0 {
		caller = strings.Join(forwardedFor, ", ") + ", " + caller
	}
	header["X-Forwarded-For"] = []string{caller}
}

// prepareBody reads a small body into memory if MaxHeldBytes allows it and sets up
// streaming for any other.
func (x *exchange) prepareBody() error {
	length := x.r.ContentLength
	if length == 0 {
		return nil
	}
	if x.needsStreaming() || !x.reserveMemory(length) {
		x.streamedBody = newCallerBody(x)
		_ = x.streamedBody.control.EnableFullDuplex() // ResponseWriters in tests may not support it
		x.call.Body = x.streamedBody
		return nil
	}
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(time.Now().Add(bodyIdleTimeout)) // ResponseWriters in tests may not support it
	held := make([]byte, length)
	if _, err := io.ReadFull(x.r.Body, held); err != nil {
		return bodyError(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	x.call.HeldBody = held
	return nil
}

func bodyError(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return errkind.Wrap(pb.ErrorKind_ERROR_KIND_SLOW_SENDER, err, "no part of the request body arrived for %s", bodyIdleTimeout)
	}
	return errkind.Wrap(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, err, "the request body ended before its declared length")
}

// reserveMemory reserves length bytes of MaxHeldBytes. It returns false if too little
// is left.
func (x *exchange) reserveMemory(length int64) bool {
	if x.handler.heldBytes.Add(length) > x.handler.options.MaxHeldBytes {
		x.handler.heldBytes.Add(-length)
		return false
	}
	x.reservedBytes = length
	return true
}

// setFingerprint sets the fingerprint, which equal requests share, and refuses a
// request that is quarantined. Of a streamed body it reads the beginning if requests like
// this one may have crashed a backend server.
func (x *exchange) setFingerprint() *wire.Answer {
	x.call.Fingerprint = fingerprint(&x.call)
	suspect := x.call.Fingerprint
	if x.streamedBody != nil && x.handler.options.Quarantine.InspectsBody(suspect) {
		prefix, err := x.streamedBody.peek(quarantine.PrefixBytes)
		if err == errBodyTooLarge {
			return wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_BODY_TOO_LARGE, err.Error())
		}
		if err != nil {
			return errorAnswer(bodyError(err))
		}
		suspect = quarantine.BodyFingerprint(suspect, prefix)
	}
	if x.handler.options.Quarantine.Refuses(suspect) {
		return wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_QUARANTINED, "equal requests crashed backend servers")
	}
	return nil
}

// fingerprint hashes service, method, URI and body. Of a streamed body it hashes the
// length and content type instead. It is never 0.
func fingerprint(call *wire.Call) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range [...]string{call.Service, call.Method, call.URI} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(call.HeldBody)
	if call.Streams() {
		_, _ = digest.WriteString(strconv.FormatInt(call.BodyBytes, 10))
		_, _ = digest.WriteString(firstValue(call.Header["Content-Type"]))
	}
	return max(digest.Sum64(), 1)
}

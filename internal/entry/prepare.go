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
	"github.com/egretfield/egretfield/internal/wire"
)

const (
	// maxHeader bounds a caller's header, bytes.
	maxHeader = 32 << 10
	// maxKey bounds an idempotency key, bytes.
	maxKey = 255
	// senderLimit ends a body that doesn't move for so long.
	senderLimit = 10 * time.Second
	// minUploadRate is the least rate of a streamed body, bytes a second; the
	// default deadline of a route grows by the time it takes.
	minUploadRate = 256 << 10
)

// prepare checks the request and makes the call of it. It returns the refusal
// of a request that can't be sent.
func (x *exchange) prepare() *wire.Answer {
	x.begun = time.Now()
	x.expects = len(x.r.Header["Expect"]) > 0
	x.takeRequestID()
	x.awaitStart()
	routes := x.handler.routes.Load()
	if routes == nil {
		return wire.Fail(pb.ErrorKind_ERROR_KIND_NOT_READY, "the node has no configuration yet")
	}
	found, ok := routes.find(x.r)
	if !ok {
		return wire.Fail(pb.ErrorKind_ERROR_KIND_UNKNOWN_SERVICE, "neither host nor path names a service")
	}
	x.service, x.route = found.service, found.route
	x.service.state.budget.Request()
	x.maxBody = routes.limits.bodyLimit(x.route)
	x.call = wire.Call{
		Meta: wire.Meta{
			RequestID:  x.requestID,
			Service:    found.service.name,
			Route:      x.route.name,
			Caller:     x.handler.options.Service,
			Class:      x.route.class,
			Idempotent: x.route.isIdempotent(x.r.Method),
		},
		Method:    x.r.Method,
		URI:       found.uri,
		Host:      x.r.Host,
		Header:    x.r.Header,
		BodyBytes: x.r.ContentLength,
	}
	if err := x.check(found.path, routes); err != nil {
		return failure(err)
	}
	x.cleanHeader()
	if err := x.takeBody(); err != nil {
		return failure(err)
	}
	return x.takeFingerprint()
}

// maxStartWait bounds the wait of a request that comes while the node starts: a
// node that joins a fleet knows its servers within some hundred milliseconds.
const maxStartWait = 300 * time.Millisecond

// awaitStart waits until the node can serve. It answers backend servers that go on
// making calls while the node beside them is started again.
func (x *exchange) awaitStart() {
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

// failure turns an error into an answer.
func failure(err error) *wire.Answer {
	var typed *errkind.Error
	if !errors.As(err, &typed) {
		return wire.Fail(pb.ErrorKind_ERROR_KIND_INTERNAL, "internal error")
	}
	message := typed.Error()
	if _, text, ok := strings.Cut(message, ": "); ok {
		message = text
	}
	return wire.Fail(typed.Kind, message)
}

func (x *exchange) takeRequestID() {
	x.requestID = first(x.r.Header[x.handler.options.Headers.RequestID])
	if !wire.ValidRequestID(x.requestID) {
		x.requestID = x.handler.ids.Request()
	}
}

func first(values []string) string {
	if len(values) == 0 {
		return ""
	}
	return values[0]
}

// check judges the header of the request.
func (x *exchange) check(path string, routes *Routes) error {
	if size := headerSize(x.r); size > routes.limits.headerBytes {
		return errkind.New(pb.ErrorKind_ERROR_KIND_HEADERS_TOO_LARGE, "the header has %d bytes, at most %d", size, routes.limits.headerBytes)
	}
	if err := wire.CheckFraming(x.r); err != nil {
		return err
	}
	if x.r.Method == http.MethodConnect {
		return errkind.New(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "tunnels aren't offered")
	}
	if hasDotSegment(path) {
		return errkind.New(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "the path has dot segments")
	}
	if err := x.checkDepth(routes.maxDepth); err != nil {
		return err
	}
	if x.r.ContentLength > x.maxBody {
		return errkind.New(pb.ErrorKind_ERROR_KIND_BODY_TOO_LARGE, "the body has %d bytes, at most %d", x.r.ContentLength, x.maxBody)
	}
	if err := x.checkKey(); err != nil {
		return err
	}
	return x.takeDeadline()
}

// headerSize is the length of the request line and header, about as sent.
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

func (x *exchange) checkDepth(maxDepth int) error {
	name := x.handler.options.Headers.Depth
	text := first(x.r.Header[name])
	if text == "" {
		return nil
	}
	depth, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return errkind.New(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "%s %q is no depth", name, text)
	}
	x.call.Depth = int(depth)
	if x.call.Depth >= maxDepth {
		return errkind.New(pb.ErrorKind_ERROR_KIND_TOO_DEEP, "the chain has %d calls, at most %d", x.call.Depth+1, maxDepth)
	}
	return nil
}

func (x *exchange) checkKey() error {
	keys := x.r.Header[wire.HeaderIdempotencyKey]
	x.key = first(keys)
	x.firstSend = first(x.r.Header[wire.HeaderFirstSend]) == "true"
	switch {
	case len(keys) > 1 || len(x.key) > maxKey:
		return errkind.New(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "more than one %s, or one over %d bytes", wire.HeaderIdempotencyKey, maxKey)
	case x.key == "" && x.route.requireKey && !x.call.Idempotent:
		return errkind.New(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "the route requires an %s", wire.HeaderIdempotencyKey)
	}
	return nil
}

func (x *exchange) takeDeadline() error {
	timeout := x.route.deadline
	if values := x.r.Header[x.handler.options.Headers.Timeout]; len(values) > 0 {
		var err error
		timeout, err = wire.ParseTimeout(values[0])
		if err != nil {
			return err
		}
	} else if x.streams() {
		timeout += x.uploadTime()
	}
	if x.route.timeout > 0 {
		timeout = min(timeout, x.route.timeout)
	}
	x.call.Deadline = x.begun.Add(timeout)
	if by := x.handler.stopBy.Load(); by != nil && by.Before(x.call.Deadline) {
		x.call.Deadline = *by
	}
	x.call.Target = x.call.Deadline
	if x.route.target > 0 {
		x.call.Target = x.begun.Add(min(timeout, x.route.target))
	}
	return nil
}

// streams reports whether the body is too large to hold.
func (x *exchange) streams() bool {
	return x.r.ContentLength < 0 || x.r.ContentLength > wire.MaxHeldBody
}

// uploadTime is the time that the body takes at the least rate.
func (x *exchange) uploadTime() time.Duration {
	bytes := x.r.ContentLength
	if bytes < 0 {
		bytes = x.maxBody
	}
	return time.Duration(bytes/minUploadRate) * time.Second
}

// cleanHeader leaves the end-to-end headers and adds the caller's address.
func (x *exchange) cleanHeader() {
	header := x.r.Header
	wire.StripHopByHop(header)
	wire.StripInternal(header)
	x.handler.options.Headers.Strip(header)
	delete(header, "Content-Length")
	caller, _, err := net.SplitHostPort(x.r.RemoteAddr)
	if err != nil {
		return
	}
	if prior := header["X-Forwarded-For"]; len(prior) > 0 {
		caller = strings.Join(prior, ", ") + ", " + caller
	}
	header["X-Forwarded-For"] = []string{caller}
}

// takeBody holds a small body in memory and makes a stream of any other.
func (x *exchange) takeBody() error {
	length := x.r.ContentLength
	if length == 0 {
		return nil
	}
	if x.streams() || !x.reserve(length) {
		x.stream = newCallerBody(x)
		_ = x.stream.control.EnableFullDuplex() // a test's writer may not know it
		x.call.Body = x.stream
		return nil
	}
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(time.Now().Add(senderLimit)) // a test's writer may have none
	held := make([]byte, length)
	if _, err := io.ReadFull(x.r.Body, held); err != nil {
		return bodyError(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	x.call.Held = held
	return nil
}

func bodyError(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return errkind.Wrap(pb.ErrorKind_ERROR_KIND_SLOW_SENDER, err, "the body didn't move for %s", senderLimit)
	}
	return errkind.Wrap(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, err, "the body ended before its declared length")
}

// reserve takes length bytes of the node's allowance for held bodies.
func (x *exchange) reserve(length int64) bool {
	if x.handler.held.Add(length) > x.handler.options.MaxHeldBytes {
		x.handler.held.Add(-length)
		return false
	}
	x.reserved = length
	return true
}

// takeFingerprint identifies equal requests and refuses quarantined ones.
func (x *exchange) takeFingerprint() *wire.Answer {
	x.call.Fingerprint = fingerprint(&x.call)
	if x.handler.options.Quarantine.Refuses(x.call.Fingerprint) {
		return wire.Fail(pb.ErrorKind_ERROR_KIND_QUARANTINED, "equal requests crashed backend servers")
	}
	return nil
}

// fingerprint hashes service, method, URI and body; of a streamed body its
// length and type. It is never 0.
func fingerprint(call *wire.Call) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range [...]string{call.Service, call.Method, call.URI} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(call.Held)
	if call.Streams() {
		_, _ = digest.WriteString(strconv.FormatInt(call.BodyBytes, 10))
		_, _ = digest.WriteString(first(call.Header["Content-Type"]))
	}
	return max(digest.Sum64(), 1)
}

// Package wire is the part of the request path that entry and gate share: header names,
// attempt ids, deadlines, error answers and the pooled HTTP/1.1 client that sends requests
// to other nodes and to backend servers.
package wire

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Header names of egretfield's own interface, in canonical form.
const (
	// HeaderTimeout is the remaining time for a request: a Go duration or whole
	// milliseconds. Callers may set it; backend servers receive milliseconds.
	HeaderTimeout = "Egret-Timeout"
	// HeaderRequestID identifies a request across all hops.
	HeaderRequestID = "Egret-Request-Id"
	// HeaderFirstSend is true if the caller states that the idempotency key of the
	// request was never sent before, so that more refusals can be certified as not run.
	HeaderFirstSend = "Egret-First-Send"
	// HeaderDepth is the depth of a call in its chain of calls; the first has 0.
	HeaderDepth = "Egret-Depth"
	// HeaderAttempt is the id of an attempt. The gate repeats it on the answer.
	HeaderAttempt = "Egret-Attempt"
	// HeaderCall carries the fields of Meta between nodes.
	HeaderCall = "Egret-Call"
	// HeaderHedged marks a hedged attempt between nodes. It isn't a field of HeaderCall, which
	// nodes of an older build would refuse with one more.
	HeaderHedged = "Egret-Hedged"
	// HeaderPeer is a token by which a node proves to a gate that it belongs to the fleet.
	HeaderPeer = "Egret-Peer"
	// HeaderLoad carries the load report and the server time of an answer between nodes.
	HeaderLoad = "Egret-Load"
	// HeaderError is the error kind of an answer made by the system.
	HeaderError = "Egret-Error"
	// HeaderRun says whether a backend server ran the request.
	HeaderRun = "Egret-Run"
	// HeaderReplayed marks an answer stored under an idempotency key.
	HeaderReplayed = "Egret-Replayed"
	// HeaderMessage carries the error message that belongs to HeaderError between nodes.
	HeaderMessage = "Egret-Message"
	// HeaderCrashed marks the answer of a gate whose backend server crashed while it ran
	// the request.
	HeaderCrashed = "Egret-Crashed"
	// HeaderArrived marks the refusal of a request that had reached the backend
	// server.
	HeaderArrived = "Egret-Arrived"
	// HeaderRetryAfter is the wait in milliseconds that a gate suggests to a caller.
	HeaderRetryAfter = "Egret-Retry-After"
	// HeaderIdempotencyKey names an operation that must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"

	// HeaderOrganisation is the name of the caller's organisation, for backend servers.
	HeaderOrganisation = "Egret-Organisation"
	// HeaderColdTime is the time in milliseconds for which a backend server stays cold, in
	// the answers of its health endpoint.
	HeaderColdTime = "Egret-Cold-Ms"

	internalPrefix = "Egret-"
)

// Headers are the names of the headers that callers and backend servers use, in
// canonical form. A header with an empty name is neither sent nor read. Between nodes,
// the Header constants apply instead.
type Headers struct {
	// RequestID identifies a request across all hops.
	RequestID string
	// Timeout is the remaining time for a request in milliseconds.
	Timeout string
	// Depth is the depth of a call in its chain of calls.
	Depth string
	// Caller is the name of the calling service: that of the backend server next to the
	// node that accepted the request.
	Caller string
	// TargetServer is the identity of the backend server that a request is meant for.
	// Other backend servers refuse the request.
	TargetServer string
	// NotExecuted marks a backend server's answer to a request that it didn't run.
	NotExecuted string
	// Signature marks a backend server's answers to requests that it ran.
	Signature string
	// Load is a backend server's load: the numbers of running and waiting requests, the
	// number of slots (requests that it can run at once) and, optionally, its slowness
	// (how long work takes at the moment, in percent of the time at normal speed),
	// separated by commas.
	Load string
	// RateLimit is the number of requests a second, a decimal number, that a backend server
	// takes from all nodes together for as long as its answers name one.
	RateLimit string
	// Leaving marks the answers of a backend server that takes no new work.
	Leaving string
	// Organisation is the name of the organisation whose API key the caller sent. Only the
	// system sets it.
	Organisation string
	// ColdTime is the time in milliseconds for which a backend server stays cold, in the
	// answers of its health endpoint.
	ColdTime string
	// EchoesRequestID reports whether backend servers repeat RequestID on their answers.
	EchoesRequestID bool
}

// DefaultHeaders returns the header names of egretfield's own interface.
func DefaultHeaders() *Headers {
	return &Headers{
		RequestID: HeaderRequestID, Timeout: HeaderTimeout, Depth: HeaderDepth,
		Organisation: HeaderOrganisation, ColdTime: HeaderColdTime,
	}
}

// Strip removes the headers that the system sets itself from the header of a caller's
// request.
func (h *Headers) Strip(header http.Header) {
	for _, name := range [...]string{h.RequestID, h.Timeout, h.Depth, h.Caller, h.TargetServer, h.Organisation} {
		delete(header, name)
	}
}

// hopByHop lists the headers that apply to one connection only.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// StripHopByHop removes the hop-by-hop headers: the fixed ones and those that the
// Connection header names.
func StripHopByHop(header http.Header) {
	for _, field := range header["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		delete(header, name)
	}
}

// StripInternal removes all headers with the prefix of the system.
func StripInternal(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, internalPrefix) {
			delete(header, name)
		}
	}
}

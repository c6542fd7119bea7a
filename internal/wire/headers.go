// Package wire is what entry and gate share on the request path: header names,
// attempt ids, deadlines, error answers and the pooled HTTP/1.1 client that
// carries requests between nodes and to backend servers.
package wire

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers of the system, in canonical form.
const (
	// HeaderTimeout is the time left for a request: a Go duration or whole
	// milliseconds. Callers may set it; backend servers receive milliseconds.
	HeaderTimeout = "Egret-Timeout"
	// HeaderRequestID names a request through all hops.
	HeaderRequestID = "Egret-Request-Id"
	// HeaderFirstSend: true states that the key of the request was never sent
	// before, so that more refusals can be certified as not run.
	HeaderFirstSend = "Egret-First-Send"
	// HeaderDepth is the depth of a call in its chain; 0 at the first.
	HeaderDepth = "Egret-Depth"
	// HeaderAttempt is the id of one attempt, echoed on its answer.
	HeaderAttempt = "Egret-Attempt"
	// HeaderCall carries the fields of Meta between nodes.
	HeaderCall = "Egret-Call"
	// HeaderPeer shows a gate that the sender is a node of the fleet.
	HeaderPeer = "Egret-Peer"
	// HeaderLoad carries load and server time on an answer between nodes.
	HeaderLoad = "Egret-Load"
	// HeaderError is the error kind of an answer made by the system.
	HeaderError = "Egret-Error"
	// HeaderRun says whether a backend server ran the request.
	HeaderRun = "Egret-Run"
	// HeaderReplayed marks an answer stored under an idempotency key.
	HeaderReplayed = "Egret-Replayed"
	// HeaderMessage explains HeaderError between nodes.
	HeaderMessage = "Egret-Message"
	// HeaderCrashed marks the answer of a gate whose backend server died.
	HeaderCrashed = "Egret-Crashed"
	// HeaderArrived marks the refusal of a request that had reached the backend
	// server.
	HeaderArrived = "Egret-Arrived"
	// HeaderRetryAfter is the wait that a gate suggests to a caller, milliseconds.
	HeaderRetryAfter = "Egret-Retry-After"
	// HeaderIdempotencyKey names an operation that must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"

	internalPrefix = "Egret-"
)

// Headers are the names of the headers that callers and backend servers use, in
// canonical form. An empty name: the header isn't sent or looked for. Nodes use
// the constants among themselves.
type Headers struct {
	// RequestID names a request through all hops.
	RequestID string
	// Timeout is the time left for a request, milliseconds.
	Timeout string
	// Depth is the depth of a call in its chain.
	Depth string
	// Caller is the service beside the node that took the request.
	Caller string
	// Target is the identity of the backend server that a request is meant for;
	// any other refuses it.
	Target string
	// NotExecuted marks a backend server's answer to a request that it didn't run.
	NotExecuted string
	// Signature is a backend server's mark on the answers to requests that it ran.
	Signature string
	// Load is a backend server's load: running, waiting, slots and, optionally,
	// how long work takes now in percent of the usual time, split by commas.
	Load string
	// EchoesRequestID: backend servers repeat RequestID on their answers.
	EchoesRequestID bool
}

// DefaultHeaders are the names of egretfield's own interface.
func DefaultHeaders() *Headers {
	return &Headers{RequestID: HeaderRequestID, Timeout: HeaderTimeout, Depth: HeaderDepth}
}

// Strip removes what the system sets itself from the header of a caller's
// request.
func (h *Headers) Strip(header http.Header) {
	for _, name := range [...]string{h.RequestID, h.Timeout, h.Depth, h.Caller, h.Target} {
		delete(header, name)
	}
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// StripHopByHop removes the headers that concern one connection only, and
// those that the Connection header names.
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

// StripInternal removes every header of the system.
func StripInternal(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, internalPrefix) {
			delete(header, name)
		}
	}
}

// Package wire defines the protocol between the load generator and the stand-in
// backend server: header names, and bodies whose receiver can verify that they are
// complete and belong to the operation.
package wire

import (
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Headers between the load generator and the stand-in backend server. The nodes
// forward them unchanged.
const (
	// HeaderOp names the operation; answers repeat it.
	HeaderOp = "Egretload-Op"
	// HeaderLength and HeaderHash are the length and xxhash (hexadecimal) of the
	// body of a request or answer.
	HeaderLength = "Egretload-Length"
	HeaderHash   = "Egretload-Hash"
	// HeaderServer names the backend server that answered.
	HeaderServer = "Egretload-Server"
	// HeaderAnswerBytes is the length of the answer that the request asks for.
	HeaderAnswerBytes = "Egretload-Answer-Bytes"
	// HeaderChain is the number of nested lookups still to make.
	HeaderChain = "Egretload-Chain"
	// HeaderChainServices lists the services of a chain, comma-separated; the
	// last one applies to all further lookups.
	HeaderChainServices = "Egretload-Chain-Services"
	// HeaderCrash makes the backend server exit while it executes the request.
	HeaderCrash = "Egretload-Crash"
	// HeaderPlace is the origin of the request: a region, or a region and a data
	// centre as "region/data-centre".
	HeaderPlace = "Egretload-Place"
	// HeaderShed marks a refusal by the backend server itself.
	HeaderShed = "Egretload-Shed"
)

// CrashBody at the start of a request body has the effect of HeaderCrash.
const CrashBody = "egretload-crash"

// Headers of the nodes that both the load generator and the stand-in use.
const (
	HeaderTimeout        = "Egret-Timeout"
	HeaderRequestID      = "Egret-Request-Id"
	HeaderDepth          = "Egret-Depth"
	HeaderRun            = "Egret-Run"
	HeaderError          = "Egret-Error"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderFirstSend      = "Egret-First-Send"
	HeaderColdTime       = "Egret-Cold-Ms"
)

// FormatTimeout formats the remaining time for the timeout header: whole
// milliseconds, at least one.
func FormatTimeout(d time.Duration) string {
	return strconv.FormatInt(max(1, d.Milliseconds()), 10)
}

// ParseTimeout parses a timeout header: whole milliseconds, or a duration with its
// unit. It returns zero, no timeout, for an empty header and for 0.
func ParseTimeout(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	if ms, err := strconv.ParseUint(text, 10, 31); err == nil {
		return time.Duration(ms) * time.Millisecond, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, eris.Errorf("%s: want milliseconds or a positive duration with its unit, got %q", HeaderTimeout, text)
	}
	return d, nil
}

// ChainService returns the service of the next lookup, and the list to send with it.
// The last service of a list stays in it.
func ChainService(services string) (next, rest string) {
	next, rest, found := strings.Cut(services, ",")
	if !found {
		rest = services
	}
	return strings.TrimSpace(next), strings.TrimSpace(rest)
}

// LookupOp returns the operation name of the lookup that has remaining further ones
// below it. op is the operation of the chain's first call or of any of its lookups.
func LookupOp(op string, remaining int) string {
	first, _, _ := strings.Cut(op, "/")
	return first + "/" + strconv.Itoa(remaining)
}

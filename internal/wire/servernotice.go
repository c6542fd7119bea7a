package wire

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// NoRateLimit is the rate of a ServerNotice that names none.
var NoRateLimit = math.Inf(1)

// leavingValue is the value of Headers.Leaving.
const leavingValue = "1"

// ServerNotice is what every answer of a backend server tells about the server's state,
// whatever request it belongs to.
type ServerNotice struct {
	// RatePerS is the number of requests a second that the server takes from all nodes
	// together; NoRateLimit if it doesn't limit them.
	RatePerS float64
	// Leaving reports whether the server takes no new work.
	Leaving bool
}

// ParseServerNotice returns the notice in the header of a backend server's answer. It
// returns nil if names has no headers for it, or if the rate is malformed.
func ParseServerNotice(names *Headers, header http.Header) *ServerNotice {
	if names.RateLimit == "" && names.Leaving == "" {
		return nil
	}
	notice := &ServerNotice{RatePerS: NoRateLimit}
	if names.Leaving != "" {
		notice.Leaving = strings.TrimSpace(header.Get(names.Leaving)) == leavingValue
	}
	if names.RateLimit == "" || header.Get(names.RateLimit) == "" {
		return notice
	}
	rate, err := strconv.ParseFloat(strings.TrimSpace(header.Get(names.RateLimit)), 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return nil
	}
	notice.RatePerS = rate
	return notice
}

// maxColdMs bounds the cold time that a header may name: an hour.
const maxColdMs = 3_600_000

// ParseColdTime returns the time for which a backend server stays cold by the header of
// an answer of its health endpoint; zero: it is warm. A server that is warm may leave the
// header out. It returns false if the header is malformed or has no name.
func ParseColdTime(names *Headers, header http.Header) (coldFor time.Duration, ok bool) {
	if names.ColdTime == "" {
		return 0, false
	}
	if len(header[names.ColdTime]) == 0 {
		return 0, true
	}
	ms, err := strconv.ParseFloat(strings.TrimSpace(header.Get(names.ColdTime)), 64)
	if err != nil || !(ms >= 0) {
		return 0, false
	}
	return time.Duration(math.Ceil(min(ms, maxColdMs)*1e3)) * time.Microsecond, true
}

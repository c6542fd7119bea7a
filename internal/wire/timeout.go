package wire

import (
	"strconv"
	"time"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// MaxTimeout is the longest deadline that a caller may ask for.
	MaxTimeout = 24 * time.Hour
	// maxHopMargin is subtracted from the timeout at each hop, so that the inner hop
	// answers before the outer one gives up.
	maxHopMargin = 2 * time.Millisecond
	// hopMarginDivisor limits the margin to one tenth of the remaining time.
	hopMarginDivisor = 10
	maxTimeoutBytes  = 32
)

// ParseTimeout parses the value of HeaderTimeout: a Go duration or whole milliseconds.
// Its errors have the kind bad_deadline.
func ParseTimeout(text string) (time.Duration, error) {
	if len(text) > maxTimeoutBytes {
		return 0, errkind.New(pb.ErrorKind_ERROR_KIND_BAD_DEADLINE, "%s is too long: %d bytes", HeaderTimeout, len(text))
	}
	timeout, err := parseTimeout(text)
	if err != nil {
		return 0, errkind.New(pb.ErrorKind_ERROR_KIND_BAD_DEADLINE, "%s %q is not a duration: expected whole milliseconds or a number with its unit, such as 1.5s", HeaderTimeout, text)
	}
	if timeout <= 0 || timeout > MaxTimeout {
		return 0, errkind.New(pb.ErrorKind_ERROR_KIND_BAD_DEADLINE, "%s %q must be positive and at most %s", HeaderTimeout, text, MaxTimeout)
	}
	return timeout, nil
}

func parseTimeout(text string) (time.Duration, error) {
	millis, err := strconv.ParseUint(text, 10, 32)
	if err == nil {
		return time.Duration(millis) * time.Millisecond, nil
	}
	return time.ParseDuration(text)
}

// NextTimeoutMs returns the timeout in milliseconds to send to the next hop. It is the time
// until deadline less the hop margin and roundTrip, the round-trip time to that hop, of
// which at most half of the remaining time is subtracted. The result is zero or negative
// if too little time is left.
func NextTimeoutMs(now, deadline time.Time, roundTrip time.Duration) int64 {
	remaining := deadline.Sub(now)
	margin := min(maxHopMargin, remaining/hopMarginDivisor) + min(roundTrip, remaining/2)
	return (remaining - margin).Milliseconds()
}

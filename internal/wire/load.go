package wire

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/egretfield/egretfield/internal/pb"
)

const loadFields = 8

// FormatLoad returns the value of HeaderLoad: a load report and the backend server's time
// to the first byte, then the rate limit if there is one. The instance is omitted, since
// the receiver knows it.
func FormatLoad(report *pb.LoadReport, serverTime time.Duration) string {
	buf := make([]byte, 0, 64)
	buf = strconv.AppendUint(buf, report.Incarnation, 16)
	for _, value := range [loadFields - 1]uint32{
		report.InFlight, report.Queued, report.Slots, report.LatencyUs, report.ErrorsPermille, report.SlownessPercent,
		uint32(min(serverTime.Microseconds(), math.MaxUint32)),
	} {
		buf = append(buf, ' ')
		buf = strconv.AppendUint(buf, uint64(value), 10)
	}
	if report.RateLimitPerS != nil {
		buf = append(buf, ' ')
		buf = strconv.AppendFloat(buf, report.GetRateLimitPerS(), 'g', -1, 64)
	}
	return string(buf)
}

// ParseLoad parses the result of FormatLoad. The report is nil if text is malformed.
func ParseLoad(text string) (report *pb.LoadReport, serverTime time.Duration) {
	incarnationText, rest, ok := strings.Cut(text, " ")
	incarnation, err := strconv.ParseUint(incarnationText, 16, 64)
	if !ok || err != nil {
		return nil, 0
	}
	var values [loadFields - 1]uint32
	for i := range values {
		var field string
		field, rest, _ = strings.Cut(rest, " ")
		value, err := strconv.ParseUint(field, 10, 32)
		if err != nil {
			return nil, 0
		}
		values[i] = uint32(value)
	}
	report = &pb.LoadReport{
		Incarnation: incarnation,
		InFlight:    values[0], Queued: values[1], Slots: values[2],
		LatencyUs: values[3], ErrorsPermille: values[4], SlownessPercent: values[5],
	}
	if rate, err := strconv.ParseFloat(rest, 64); err == nil {
		report.RateLimitPerS = &rate
	}
	return report, time.Duration(values[6]) * time.Microsecond
}

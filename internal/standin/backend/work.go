package backend

import (
	"context"
	"io"
	"math/rand/v2"
	"time"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/wire"
)

const hundredPercent = 100

// serviceTime returns a random service time with the options and faults applied.
func (s *Server) serviceTime(faults *pb.ServerFaults) time.Duration {
	mean := float64(s.options.Mean)
	if us := faults.GetMeanUs(); us > 0 {
		mean = float64(us) * float64(time.Microsecond)
	}
	drawn := mean + (2*rand.Float64()-1)*float64(s.options.Jitter)
	if s.options.TailFactor > 0 && rand.Float64()*hundredPercent < s.options.TailPercent {
		drawn *= s.options.TailFactor
	}
	if factor := faults.GetStraggleFactor(); factor > 0 {
		drawn *= factor
	}
	return time.Duration(max(0, drawn*s.coldFactor(time.Now())))
}

// coldFactor returns the factor of the cold start ramp, which falls linearly from the
// configured one to 1.
func (s *Server) coldFactor(now time.Time) float64 {
	left := s.coldLeft(now)
	if left == 0 {
		return 1
	}
	return 1 + (s.options.ColdFactor-1)*float64(left)/float64(s.options.ColdFor)
}

// coldLeft returns the time until the end of the cold start ramp.
func (s *Server) coldLeft(now time.Time) time.Duration {
	return max(0, s.options.ColdFor-now.Sub(*s.warmupStart.Load()))
}

// reportedColdMs returns the milliseconds for which the server reports to stay cold,
// rounded up.
func (s *Server) reportedColdMs() uint32 {
	if !s.options.ReportCold {
		return 0
	}
	return uint32((s.coldLeft(time.Now()) + time.Millisecond - 1) / time.Millisecond)
}

// occurs returns true with a probability in percent.
func occurs(percent uint32) bool {
	return percent > 0 && rand.Uint32N(hundredPercent) < percent
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// prefixReader keeps the first bytes that it reads, as many as wire.CrashBody has.
type prefixReader struct {
	reader io.Reader
	bytes  []byte
}

// Read implements io.Reader.
func (p *prefixReader) Read(b []byte) (int, error) {
	n, err := p.reader.Read(b)
	if missing := len(wire.CrashBody) - len(p.bytes); missing > 0 {
		p.bytes = append(p.bytes, b[:min(n, missing)]...)
	}
	return n, err
}

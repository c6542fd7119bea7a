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
	age := now.Sub(*s.warmupStart.Load())
	if age >= s.options.ColdFor {
		return 1
	}
	remaining := 1 - float64(age)/float64(s.options.ColdFor)
	return 1 + (s.options.ColdFactor-1)*remaining
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

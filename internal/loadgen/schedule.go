package loadgen

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"github.com/egretfield/egretfield/internal/pb"
)

// Limits of a step.
const (
	maxStepDuration = 24 * time.Hour
	// maxRate is in operations per second.
	maxRate = 1_000_000
	// arrivalTolerance is the fraction of an arrival that is treated as zero, so
	// that an arrival at the end of a step becomes the first of the next step.
	arrivalTolerance = 1e-9
)

// Schedule yields the intended times of sending, counted from the start of the
// run. They depend on the steps and the seed only, never on answers.
type Schedule struct {
	steps  []*pb.Step
	random *rand.Rand
	step   int
	// stepStart is the start of the current step, at the time within it.
	stepStart time.Duration
	at        time.Duration
	// accrued is the expected number of arrivals from the last one to the time at.
	accrued float64
	// gap is the expected number of arrivals from the last one to the next one:
	// 1, or random.
	gap float64
}

// NewSchedule returns the schedule of steps, with exponentially distributed
// gaps if random isn't nil.
func NewSchedule(steps []*pb.Step, random *rand.Rand) (*Schedule, error) {
	if len(steps) == 0 {
		return nil, eris.New("no steps")
	}
	for i, step := range steps {
		if field, err := checkStep(step); err != nil {
			return nil, eris.Wrapf(err, "step %d: %s", i+1, field)
		}
	}
	s := &Schedule{steps: steps, random: random}
	s.gap = s.nextGap()
	return s, nil
}

// checkStep returns the name of the invalid field, and why it is invalid.
func checkStep(step *pb.Step) (field string, err error) {
	switch {
	case !(step.GetDurationS() > 0 && step.GetDurationS() <= maxStepDuration.Seconds()):
		return "duration_s", eris.Errorf("want more than 0 and at most %.0f, got %v", maxStepDuration.Seconds(), step.GetDurationS())
	case !(step.GetRate() >= 0 && step.GetRate() <= maxRate):
		return "rate", eris.Errorf("want 0 to %d, got %v", maxRate, step.GetRate())
	case !(step.GetRateTo() >= 0 && step.GetRateTo() <= maxRate):
		return "rate_to", eris.Errorf("want 0 to %d, got %v", maxRate, step.GetRateTo())
	}
	return "", nil
}

// Next returns the next intended time and the index of its step.
func (s *Schedule) Next() (at time.Duration, step int, ok bool) {
	for s.step < len(s.steps) {
		current := s.steps[s.step]
		if wait, within := timeUntil(current, s.at, s.gap-s.accrued); within {
			s.at += wait
			s.accrued, s.gap = 0, s.nextGap()
			return s.stepStart + s.at, s.step, true
		}
		duration := seconds(current.GetDurationS())
		s.accrued += arrivals(current, s.at, duration)
		s.stepStart += duration
		s.at = 0
		s.step++
	}
	return 0, 0, false
}

// Duration returns the total duration of all steps.
func (s *Schedule) Duration() time.Duration {
	total := time.Duration(0)
	for _, step := range s.steps {
		total += seconds(step.GetDurationS())
	}
	return total
}

func (s *Schedule) nextGap() float64 {
	if s.random == nil {
		return 1
	}
	return s.random.ExpFloat64()
}

// slope returns the change of the rate within a step, in operations per second
// squared. It is 0 for a step without rate_to, whose rate is constant.
func slope(step *pb.Step) float64 {
	if step.GetRateTo() == 0 {
		return 0
	}
	return (step.GetRateTo() - step.GetRate()) / step.GetDurationS()
}

// arrivals integrates the rate of step between two times within it.
func arrivals(step *pb.Step, from, to time.Duration) float64 {
	a, b := from.Seconds(), to.Seconds()
	return step.GetRate()*(b-a) + slope(step)*(b*b-a*a)/2
}

// timeUntil returns how long after offset in step the expected number of
// arrivals reaches count, and whether that is before the end of the step.
func timeUntil(step *pb.Step, offset time.Duration, count float64) (time.Duration, bool) {
	if count <= arrivalTolerance {
		return 0, true
	}
	duration := seconds(step.GetDurationS())
	if arrivals(step, offset, duration) < count {
		return 0, false
	}
	rate, growth := step.GetRate()+slope(step)*offset.Seconds(), slope(step)
	wait := 0.0
	if growth == 0 {
		wait = count / rate
	} else {
		wait = 2 * count / (rate + math.Sqrt(max(0, rate*rate+2*growth*count)))
	}
	return seconds(wait), offset+seconds(wait) < duration
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

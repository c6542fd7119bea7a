package loadgen

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
)

// times returns all intended times of a schedule, and how many each step has.
func times(steps []*pb.Step, random *rand.Rand) ([]time.Duration, []int) {
	schedule, err := NewSchedule(steps, random)
	So(err, ShouldBeNil)
	all, counts := []time.Duration{}, make([]int, len(steps))
	for {
		at, step, ok := schedule.Next()
		if !ok {
			return all, counts
		}
		all = append(all, at)
		counts[step]++
	}
}

func TestSchedule(t *testing.T) {
	Convey("A constant rate gives even intervals", t, func() {
		all, _ := times([]*pb.Step{{DurationS: 1.05, Rate: 10}}, nil)
		So(all, ShouldHaveLength, 10)
		for i, at := range all {
			So(at, ShouldAlmostEqual, time.Duration(i+1)*100*time.Millisecond, time.Microsecond)
		}
	})
	Convey("A step continues the interval that the step before left unfinished", t, func() {
		all, counts := times([]*pb.Step{{DurationS: 1, Rate: 1.5}, {DurationS: 1, Rate: 0}, {DurationS: 1, Rate: 1}}, nil)
		So(counts, ShouldResemble, []int{1, 0, 1})
		So(all[1], ShouldAlmostEqual, 2500*time.Millisecond, time.Microsecond)
	})
	Convey("A changing rate gives as many arrivals as its integral, with shrinking or growing gaps", t, func() {
		up, counts := times([]*pb.Step{{DurationS: 10.001, RateTo: 100}}, nil)
		So(counts, ShouldResemble, []int{500})
		So(up[1]-up[0], ShouldBeGreaterThan, up[499]-up[498])
		down, counts := times([]*pb.Step{{DurationS: 10.001, Rate: 100, RateTo: 1}}, nil)
		So(counts, ShouldResemble, []int{505})
		So(down[1]-down[0], ShouldBeLessThan, down[504]-down[503])
	})
	Convey("Random arrivals keep the mean rate, are in ascending order and depend on the seed only", t, func() {
		steps := []*pb.Step{{DurationS: 50, Rate: 100}, {DurationS: 50, Rate: 100, RateTo: 300}}
		first, counts := times(steps, rand.New(rand.NewPCG(1, 2)))
		second, _ := times(steps, rand.New(rand.NewPCG(1, 2)))
		So(second, ShouldResemble, first)
		So(counts[0], ShouldBeBetween, 4700, 5300)
		So(counts[1], ShouldBeBetween, 9600, 10400)
		for i := 1; i < len(first); i++ {
			So(first[i] >= first[i-1], ShouldBeTrue)
		}
	})
}

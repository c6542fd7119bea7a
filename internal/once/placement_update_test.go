package once

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestUpdatedPlacement(t *testing.T) {
	Convey("A placement derived from the last one equals a newly computed one", t, func() {
		random := rand.New(rand.NewPCG(1, 1))
		present := map[int]Member{}
		last := newPlacement(nil, nil)
		for range 150 {
			for range random.IntN(12) {
				node := random.IntN(60)
				if _, found := present[node]; found && random.IntN(2) == 0 {
					delete(present, node)
					continue
				}
				present[node] = Member{
					Instance: fmt.Sprintf("i%02d", node), Region: fmt.Sprintf("r%d", node%2),
					Incarnation: random.Uint64N(3), Draining: random.IntN(5) == 0,
				}
			}
			var live []Member
			for _, member := range present {
				live = append(live, member)
			}
			regions := []string{"r0"}[:random.IntN(2)]
			last = last.updated(live, regions)
			made := newPlacement(live, regions)
			So(last.candidates == made.candidates, ShouldBeTrue)
			So(last.matches(live), ShouldBeTrue)
		}
	})
}

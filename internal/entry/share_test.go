package entry

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
)

// TestShareOfRetries replays a node that takes its configuration before it knows the
// fleet: seeds 3 (old code) and 5 of deploy/days/early-rejections.toml on the small
// Templarik site, where 24 entries each had the slack of all.
func TestShareOfRetries(t *testing.T) {
	const slack, fleet = 60, 24
	config := &pb.Config{
		Services: []*pb.Service{{Name: "s"}},
		Presets: []*pb.Preset{{Name: "p", Policy: &pb.Policy{
			RetryBudgetPercent: 20, RetryWindowMs: 10_000, RetrySlack: slack,
		}}},
	}
	allowed := func(h *Handler) int {
		retries := 0
		for h.states["s"].budget.Take() {
			retries++
		}
		return retries
	}
	Convey("Given an entry that doesn't know the fleet yet", t, func() {
		known := 0
		h := New(Options{Entries: func() int { return known }})
		defer h.Close()
		h.SetRoutes(NewRoutes(config, "p"))

		Convey("it takes nothing of the slack", func() { So(allowed(h), ShouldEqual, 0) })
		Convey("it takes its part once it does, and no more", func() {
			known = fleet
			h.ShareRetries()
			So(allowed(h), ShouldBeBetweenOrEqual, 1, slack/fleet)
		})
	})
	Convey("An entry that learns of others gives their part up", t, func() {
		known := 1
		h := New(Options{Entries: func() int { return known }})
		defer h.Close()
		h.SetRoutes(NewRoutes(config, "p"))
		known = fleet
		h.ShareRetries()
		So(allowed(h), ShouldBeLessThanOrEqualTo, slack/fleet)
	})
}

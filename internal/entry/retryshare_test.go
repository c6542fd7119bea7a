package entry

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
)

// TestShareOfRetries guards against a node that activates its configuration before it
// knows the fleet and then uses the retry slack of the whole fleet. 24 entries did so
// in runs of the users' simulation bench with the faults of
// deploy/days/early-rejections.toml on the small variant of the deployment in
// examples/templarik, with seed 5 and, in an earlier version of the code, with seed 3.
func TestShareOfRetries(t *testing.T) {
	const slack, fleetEntries = 60, 24
	config := &pb.Config{
		Services: []*pb.Service{{Name: "s"}},
		Presets: []*pb.Preset{{Name: "p", Policy: &pb.Policy{
			RetryBudgetPercent: 20, RetryWindowMs: 10_000, RetrySlack: slack,
		}}},
	}
	takeAll := func(h *Handler) int {
		retries := 0
		for h.states["s"].budget.Take() {
			retries++
		}
		return retries
	}
	Convey("Given an entry that doesn't know the size of the fleet yet", t, func() {
		entries := 0
		h := New(Options{Entries: func() int { return entries }})
		defer h.Close()
		h.SetRoutes(NewRoutes(config, "p"))

		Convey("it uses none of the slack", func() { So(takeAll(h), ShouldEqual, 0) })
		Convey("it uses no more than its share once it knows the size", func() {
			entries = fleetEntries
			h.UpdateRetryShares()
			So(takeAll(h), ShouldBeBetweenOrEqual, 1, slack/fleetEntries)
		})
	})
	Convey("An entry that learns of other entries gives up their shares", t, func() {
		entries := 1
		h := New(Options{Entries: func() int { return entries }})
		defer h.Close()
		h.SetRoutes(NewRoutes(config, "p"))
		entries = fleetEntries
		h.UpdateRetryShares()
		So(takeAll(h), ShouldBeLessThanOrEqualTo, slack/fleetEntries)
	})
}

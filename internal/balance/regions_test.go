package balance

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
)

// TestRegionFilter guards against a union where the intersection of both lists applies,
// and against a request that is freed of its restriction when its route is removed.
func TestRegionFilter(t *testing.T) {
	Convey("Given filters of route and organisation", t, func() {
		So(RegionFilter{}.Allows("a"), ShouldBeTrue)
		So(RegionFilter{}.IsRestricted(), ShouldBeFalse)
		both := RegionFilter{Route: []string{"a", "b"}, Organisation: []string{"b", "c"}}
		So(both.Allows("a"), ShouldBeFalse)
		So(both.Allows("b"), ShouldBeTrue)
		So(both.Allows("c"), ShouldBeFalse)
		So(both.IsEmpty(), ShouldBeFalse)
		So(RegionFilter{Route: []string{"a"}, Organisation: []string{"c"}}.IsEmpty(), ShouldBeTrue)
		So(RegionFilter{Route: []string{"a"}}.IsEmpty(), ShouldBeFalse)
		So(RegionFilter{Refused: []string{"a"}}.Allows("a"), ShouldBeFalse)
	})
	Convey("Rules of a configuration", t, func() {
		before := NewRegionRules(&pb.Config{
			RequestRoutes: []*pb.RequestRoute{{Name: "removed", AllowedRegions: []string{"a"}}, {Name: "widened", AllowedRegions: []string{"a"}}},
			Organisations: []*pb.Organisation{{Name: "o", AllowedRegions: []string{"b"}}},
		}, 1)
		after := NewRegionRules(&pb.Config{RequestRoutes: []*pb.RequestRoute{{Name: "widened"}}}, 2)
		So(before.Filter("removed", "o", nil), ShouldResemble, RegionFilter{Route: []string{"a"}, Organisation: []string{"b"}})
		So(before.Filter("", "", nil).IsRestricted(), ShouldBeFalse)
		So(after.Filter("removed", "o", before), ShouldResemble, RegionFilter{Route: []string{"a"}, Organisation: []string{"b"}})
		So(after.Filter("widened", "", before).IsRestricted(), ShouldBeFalse)
	})
}

// TestAllowedRegions guards against selections outside the allowed regions when these are
// full, lost or tried, and against a byte budget that refuses requests without another
// place.
func TestAllowedRegions(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		Convey("Given endpoints in the own region and two others", t, func() {
			all := slices.Concat(makeEndpoints("r", 2), makeEndpoints("far", 2), makeEndpoints("sea", 2))
			onlyFar := PickInfo{Regions: RegionFilter{Route: []string{"far"}}}
			onlyOwn := PickInfo{Regions: RegionFilter{Organisation: []string{"r"}}}
			onlyLost := PickInfo{Regions: RegionFilter{Route: []string{"lost"}}}
			for _, policy := range Names() {
				b := mustNew(policy)
				b.Update(all, &pb.Policy{CrossRegionBytesPerS: assumedRequestBytes})

				Convey(policy+" leaves a region that isn't allowed at once, however small the byte budget is", func() {
					for range 100 {
						e, err := b.Pick(onlyFar)
						So(err, ShouldBeNil)
						So(e.Region, ShouldEqual, "far")
					}
				})
				Convey(policy+" counts these requests against the byte budget, and owes it no more than two seconds", func() {
					for range 100 {
						_, err := b.Pick(onlyFar)
						So(err, ShouldBeNil)
					}
					_, err := b.Pick(PickInfo{Tried: []string{"r0", "r1"}})
					So(errkind.KindOf(err), ShouldEqual, pb.ErrorKind_ERROR_KIND_REGION_BUDGET)
					time.Sleep(3100 * time.Millisecond)
					_, err = b.Pick(PickInfo{Tried: []string{"r0", "r1"}})
					So(err, ShouldBeNil)
				})
				Convey(policy+" doesn't leave the own region if only that is allowed", func() {
					for range 100 {
						b.Done(Result{Endpoint: all[0], Outcome: OutcomeRefused})
					}
					for range 100 {
						e, err := b.Pick(onlyOwn)
						So(err, ShouldBeNil)
						So(e.Region, ShouldEqual, "r")
					}
					_, err := b.Pick(PickInfo{Regions: onlyOwn.Regions, Tried: []string{"r0", "r1"}})
					So(errkind.KindOf(err), ShouldEqual, pb.ErrorKind_ERROR_KIND_NO_SERVER)
				})
				Convey(policy+" has no server where the allowed region is lost, or all of its endpoints were tried", func() {
					_, err := b.Pick(onlyLost)
					So(errkind.KindOf(err), ShouldEqual, pb.ErrorKind_ERROR_KIND_NO_SERVER)
					_, err = b.Pick(PickInfo{Regions: onlyFar.Regions, Tried: []string{"far0", "far1"}})
					So(errkind.KindOf(err), ShouldEqual, pb.ErrorKind_ERROR_KIND_NO_SERVER)
				})
				Convey(policy+" uses an ejected endpoint rather than another region", func() {
					reportFailures(b, all[2], failuresBeforeEjection)
					e, err := b.Pick(PickInfo{Regions: onlyFar.Regions, Tried: []string{"far1"}})
					So(err, ShouldBeNil)
					So(e.Instance, ShouldEqual, "far0")
				})
			}
			Convey("offers are asked for and taken in allowed regions only", func() {
				b := mustNew(EarliestFinish)
				b.Update(all, &pb.Policy{CrossRegionBytesPerS: 1})
				p := b.Placer()
				So(p.Local(onlyFar, 9), ShouldBeEmpty)
				So(len(p.Remote(onlyFar, 9)), ShouldEqual, 2)
				So(len(p.Local(onlyOwn, 9)), ShouldEqual, 2)
				So(p.Remote(onlyOwn, 9), ShouldBeEmpty)
				for range 10 {
					_, err := p.Take(all[2], onlyFar)
					So(err, ShouldBeNil)
				}
				_, err := p.Take(all[4], onlyFar)
				So(errkind.KindOf(err), ShouldEqual, pb.ErrorKind_ERROR_KIND_NO_SERVER)
				_, err = p.Take(all[0], onlyFar)
				So(errkind.KindOf(err), ShouldEqual, pb.ErrorKind_ERROR_KIND_NO_SERVER)
			})
		})
	})
}

// TestAllowedRegionsAlways guards against any history of outcomes, ejections and spillover
// after which a selection leaves the allowed regions, or fails although one of them has an
// untried endpoint.
func TestAllowedRegionsAlways(t *testing.T) {
	regions := []string{"r", "far", "sea"}
	rapid.Check(t, func(t *rapid.T) {
		b, err := New(rapid.SampledFrom(Names()).Draw(t, "policy"), Options{Region: "r"})
		if err != nil {
			t.Fatal(err)
		}
		var all []*Endpoint
		for _, region := range regions {
			all = append(all, makeEndpoints(region, rapid.IntRange(0, 3).Draw(t, region))...)
		}
		b.Update(all, &pb.Policy{CrossRegionBytesPerS: 1 << 30})
		lists := rapid.SliceOfNDistinct(rapid.SampledFrom(append(regions, "lost")), 0, 3, rapid.ID)
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			info := PickInfo{Regions: RegionFilter{Route: lists.Draw(t, "route"), Organisation: lists.Draw(t, "organisation")}}
			possible := 0
			for _, e := range all {
				if !info.Regions.Allows(e.Region) {
					continue
				}
				if rapid.Bool().Draw(t, "tried") {
					info.Tried = append(info.Tried, e.Instance)
				} else {
					possible++
				}
			}
			e, err := b.Pick(info)
			switch {
			case err == nil && !info.Regions.Allows(e.Region):
				t.Fatalf("picked %s of region %s, allowed by %v", e.Instance, e.Region, info.Regions)
			case err == nil && slices.Contains(info.Tried, e.Instance):
				t.Fatalf("picked %s, which was tried", e.Instance)
			case err != nil && possible > 0:
				t.Fatalf("%v, although %d endpoints are allowed and untried", err, possible)
			case err == nil:
				outcome := rapid.SampledFrom([]Outcome{OutcomeSuccess, OutcomeFailure, OutcomeRefused}).Draw(t, "outcome")
				b.Done(Result{Endpoint: e, Outcome: outcome, Latency: time.Millisecond})
			}
		}
	})
}

package balance

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
)

// makeEndpoints returns n endpoints in a region, named after it.
func makeEndpoints(region string, n int) []*Endpoint {
	var list []*Endpoint
	for i := range n {
		list = append(list, &Endpoint{Instance: fmt.Sprint(region, i), Incarnation: 1, Region: region, DataCentre: region, Slots: 10})
	}
	return list
}

// reportFailures reports n failed attempts at one endpoint.
func reportFailures(b Balancer, e *Endpoint, n int) {
	for range n {
		b.Done(Result{Endpoint: e, Outcome: OutcomeFailure})
	}
}

func factsOf(b Balancer, instance string) Facts {
	for _, f := range b.(Explainer).Facts() {
		if f.Endpoint.Instance == instance {
			return f
		}
	}
	return Facts{}
}

func mustNew(policy string) Balancer {
	b, err := New(policy, Options{Region: "r"})
	So(err, ShouldBeNil)
	return b
}

func TestEjection(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		Convey("Given six endpoints", t, func() {
			b := mustNew(Default)
			all := makeEndpoints("r", 6)
			b.Update(all, &pb.Policy{MaxEjectedPercent: 34})

			Convey("consecutive failures eject an endpoint, which warms up when it returns", func() {
				reportFailures(b, all[0], failuresBeforeEjection)
				So(factsOf(b, "r0").Reasons, ShouldResemble, []string{"ejected", "warming up"})
				time.Sleep(baseEjection + time.Millisecond)
				So(factsOf(b, "r0").Reasons, ShouldResemble, []string{"warming up"})
				time.Sleep(defaultWarmup)
				So(factsOf(b, "r0").Reasons, ShouldBeEmpty)
			})
			Convey("until it succeeds, one failure ejects an endpoint again, for twice the time", func() {
				reportFailures(b, all[0], failuresBeforeEjection)
				time.Sleep(baseEjection + time.Millisecond)
				reportFailures(b, all[0], 1)
				So(factsOf(b, "r0").Eligible, ShouldBeFalse)
				time.Sleep(baseEjection + time.Millisecond)
				So(factsOf(b, "r0").Eligible, ShouldBeFalse)
				time.Sleep(baseEjection)
				b.Done(Result{Endpoint: all[0], Outcome: OutcomeSuccess})
				reportFailures(b, all[0], 1)
				So(factsOf(b, "r0").Eligible, ShouldBeTrue)
			})
			Convey("no more endpoints are ejected than the policy allows", func() {
				for _, e := range all {
					reportFailures(b, e, failuresBeforeEjection)
				}
				ejected := 0
				for _, f := range b.(Explainer).Facts() {
					if !f.Eligible {
						ejected++
					}
				}
				So(ejected, ShouldEqual, 2)
			})
			Convey("nothing is ejected when the whole service fails", func() {
				for range 100 {
					for _, e := range all {
						b.Done(Result{Endpoint: e, Outcome: OutcomeFailure})
						b.Done(Result{Endpoint: e, Outcome: OutcomeSuccess})
						b.Done(Result{Endpoint: e, Outcome: OutcomeFailure})
					}
				}
				So(b.(Explainer).Stats().Ejections, ShouldEqual, 0)
			})
			Convey("an ejected endpoint is used when it is the only one left", func() {
				reportFailures(b, all[0], failuresBeforeEjection)
				e, err := b.Pick(PickInfo{Tried: []string{"r1", "r2", "r3", "r4", "r5"}})
				So(err, ShouldBeNil)
				So(e.Instance, ShouldEqual, "r0")
			})
		})
	})
}

func TestRegions(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		Convey("Given two endpoints in the own region and two in another", t, func() {
			b := mustNew(Default)
			all := append(makeEndpoints("r", 2), makeEndpoints("far", 2)...)
			b.Update(all, &pb.Policy{CrossRegionBytesPerS: 10 * assumedRequestBytes})

			Convey("requests without an earlier attempt stay in the own region", func() {
				for range 100 {
					e, err := b.Pick(PickInfo{})
					So(err, ShouldBeNil)
					So(e.Region, ShouldEqual, "r")
				}
			})
			Convey("a request refused by all of the own region leaves it, within the byte budget", func() {
				countLeaving := 0
				for range 1000 {
					_, err := b.Pick(PickInfo{Tried: []string{"r0", "r1"}})
					if err != nil {
						So(errkind.KindOf(err), ShouldEqual, pb.ErrorKind_ERROR_KIND_REGION_BUDGET)
						continue
					}
					countLeaving++
				}
				So(countLeaving, ShouldEqual, 10)
			})
			Convey("while the own region refuses, some requests leave it at once, until other regions refuse or the own region recovers", func() {
				b.Update(all, &pb.Policy{CrossRegionBytesPerS: 1 << 30})
				countLeaving := func() (count int) {
					for range 1000 {
						if e, _ := b.Pick(PickInfo{}); e.Region == "far" {
							count++
						}
					}
					return count
				}
				report := func(to *Endpoint, outcome Outcome, times int) {
					for range times {
						b.Done(Result{Endpoint: to, Outcome: outcome, Latency: time.Millisecond})
					}
				}
				report(all[0], OutcomeRefused, 50)
				So(countLeaving(), ShouldBeBetween, 300, 700)
				report(all[2], OutcomeRefused, 10)
				So(countLeaving(), ShouldEqual, 0)
				report(all[0], OutcomeRefused, 50)
				report(all[0], OutcomeSuccess, 2000)
				So(countLeaving(), ShouldEqual, 0)
			})
			Convey("spillover starts above one share of refusals and ends below a lower one", func() {
				for range 20 {
					b.Done(Result{Endpoint: all[0], Outcome: OutcomeRefused})
				}
				So(b.(Explainer).Stats().SpilloverActive, ShouldBeTrue)
				e, err := b.Pick(PickInfo{Tried: []string{"r0"}})
				So(err, ShouldBeNil)
				So(e.Region, ShouldEqual, "far")
				for range 40 {
					b.Done(Result{Endpoint: all[0], Outcome: OutcomeSuccess, Latency: time.Millisecond})
				}
				So(b.(Explainer).Stats().SpilloverActive, ShouldBeTrue)
				for range 200 {
					b.Done(Result{Endpoint: all[0], Outcome: OutcomeSuccess, Latency: time.Millisecond})
				}
				So(b.(Explainer).Stats().SpilloverActive, ShouldBeFalse)
			})
		})
	})
}

func TestUpdate(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		Convey("An update keeps the state of an incarnation and discards that of an older one", t, func() {
			b := mustNew(Default)
			all := makeEndpoints("r", 2)
			b.Update(all, nil)
			b.Done(Result{Endpoint: all[0], Outcome: OutcomeSuccess, Latency: time.Second})
			time.Sleep(coldJoinAge + time.Millisecond)
			restarted := *all[1]
			restarted.Incarnation = 2
			same := *all[0]
			b.Update([]*Endpoint{&same, &restarted}, nil)
			So(factsOf(b, "r0").Successes, ShouldEqual, 1)
			So(factsOf(b, "r1").Reasons, ShouldResemble, []string{"warming up"})
		})
		Convey("Without endpoints, Pick fails with NO_SERVER", t, func() {
			_, err := mustNew(Default).Pick(PickInfo{})
			So(errkind.KindOf(err), ShouldEqual, pb.ErrorKind_ERROR_KIND_NO_SERVER)
		})
	})
}

func BenchmarkPick(b *testing.B) {
	for _, policy := range Names() {
		b.Run(policy, func(b *testing.B) {
			balancer, err := New(policy, Options{Region: "r"})
			if err != nil {
				b.Fatal(err)
			}
			balancer.Update(makeEndpoints("r", 12), nil)
			report := &pb.LoadReport{Incarnation: 1, InFlight: 3}
			b.ReportAllocs()
			b.RunParallel(func(run *testing.PB) {
				for run.Next() {
					e, _ := balancer.Pick(PickInfo{})
					balancer.Done(Result{Endpoint: e, Latency: time.Millisecond, Report: report})
				}
			})
		})
	}
}

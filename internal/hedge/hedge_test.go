package hedge

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/egretfield/egretfield/internal/balance"
)

var loads = []struct {
	name    string
	options simOptions
}{
	{"a quarter of the servers 4 times slower", simOptions{load: 0.5, slowServers: simServers / 4, slowFactor: 4}},
	{"3 of 100 requests 7 times longer", simOptions{load: 0.5, strayShare: 0.03, strayFactor: 7}},
	{"all servers 3 times slower for 8 s", simOptions{load: 0.3, slowFactor: 3, allSlowFrom: 8 * time.Second, allSlowUntil: 16 * time.Second}},
	{"overload, 1.5 times the capacity", simOptions{load: 1.5}},
}

// simulated holds the results of runSim, which takes seconds under the race detector.
var simulated = map[simOptions]*simResult{}

func simulate(options simOptions) *simResult {
	if simulated[options] == nil {
		simulated[options] = runSim(options)
	}
	return simulated[options]
}

// TestWays logs the figures of the three ways for each load, in the form of the table of
// docs/design/hedging.md.
func TestWays(t *testing.T) {
	names := map[way]string{nothing: "nothing", replace: "take back and place anew", hedged: "second attempt"}
	for _, load := range loads {
		for _, w := range []way{nothing, replace, hedged} {
			options := load.options
			options.way = w
			r := simulate(options)
			t.Logf("| %s | %s | %d | %d | %d | %.2f | %d | %d | %v |", load.name, names[w],
				r.quantile(0.5).Milliseconds(), r.quantile(0.95).Milliseconds(), r.quantile(0.99).Milliseconds(),
				r.addedPercent(), r.won, r.replaced, r.withheld[1:])
		}
	}
}

func pair(options simOptions) (before, after *simResult) {
	options.way = nothing
	before = simulate(options)
	options.way = hedged
	return before, simulate(options)
}

// TestSlowServers guards against hedging that doesn't shorten the slowest answers, or
// exceeds its limit, when some servers are slow for all requests.
func TestSlowServers(t *testing.T) {
	before, after := pair(loads[0].options)
	Convey("The 99th percentile falls by a twentieth, within the limit", t, func() {
		So(after.quantile(0.99), ShouldBeLessThan, before.quantile(0.99)*95/100)
		So(after.won, ShouldBeGreaterThan, 0)
		So(after.addedPercent(), ShouldBeLessThanOrEqualTo, simPercent+0.1)
	})
}

// TestStrayRequests guards against a delay that is too long or too short for rare slow
// requests: the 99th percentile stays, or most hedged attempts are needless.
func TestStrayRequests(t *testing.T) {
	before, after := pair(loads[1].options)
	Convey("The 99th percentile falls to less than six tenths", t, func() {
		So(after.quantile(0.99), ShouldBeLessThan, before.quantile(0.99)*6/10)
	})
	Convey("Few attempts are added, and most of them win", t, func() {
		So(after.addedPercent(), ShouldBeLessThan, 6)
		So(after.won, ShouldBeGreaterThan, after.sent/2)
	})
}

// TestSlowService guards against hedging that adds load when all servers are slow.
func TestSlowService(t *testing.T) {
	_, after := pair(loads[2].options)
	during := 0
	for _, at := range after.sentAt {
		if at >= loads[2].options.allSlowFrom+simRoundTrip && at < loads[2].options.allSlowUntil {
			during++
		}
	}
	Convey("No hedged attempt is sent to a server that is slow", t, func() { So(during, ShouldEqual, 0) })
	Convey("The limit holds", t, func() { So(after.addedPercent(), ShouldBeLessThanOrEqualTo, simPercent+0.1) })
}

// TestSlowServiceWithoutOffers guards against added load beyond the limit when gates offer
// to start at once although their servers are slow.
func TestSlowServiceWithoutOffers(t *testing.T) {
	Convey("Given a service that becomes 3 times slower", t, func() {
		service, sent := &Service{}, 0
		service.SetLimits(simPercent, 0, 1)
		r := rand.New(rand.NewPCG(1, 2))
		now := simEpoch
		requests, hedgedBySecond := 0, make([]int, 40)
		for ; now.Before(simEpoch.Add(40 * time.Second)); now = now.Add(2 * time.Millisecond) {
			latency := time.Duration(float64(simMedian) * (0.8 + 0.4*r.Float64()))
			second := int(now.Sub(simEpoch) / time.Second)
			if second >= 20 {
				latency *= 3
			}
			requests++
			service.RecordRequest()
			estimator := service.Route("")
			plan, ok := service.Plan(now, estimator, Request{UntilTarget: time.Second, UntilDeadline: time.Second})
			if ok && latency > plan.Delay &&
				service.Check(Situation{Now: now, Deadline: now.Add(time.Second), Median: plan.Median}) == None && service.Take() {
				hedgedBySecond[second]++
				sent++
			}
			estimator.Record(now, latency, 0)
		}
		Convey("the limit holds, and the delay follows the slowdown within two generations", func() {
			So(sent, ShouldBeLessThanOrEqualTo, requests*simPercent/100+1)
			So(hedgedBySecond[20], ShouldBeGreaterThan, 0)
			So(hedgedBySecond[20], ShouldBeLessThanOrEqualTo, 500*simPercent/100+minSavedTokens)
			late := 0
			for _, n := range hedgedBySecond[31:] {
				late += n
			}
			So(late, ShouldEqual, 0)
		})
	})
}

// TestOverload guards against hedged attempts of a service that is short of capacity,
// where each of them takes a slot from another request.
func TestOverload(t *testing.T) {
	_, after := pair(loads[3].options)
	sentInOverload := 0
	for _, at := range after.sentAt {
		// The queues are full after the first second.
		if at > 2*time.Second {
			sentInOverload++
		}
	}
	Convey("No hedged attempts are sent in an overload", t, func() {
		So(after.refused, ShouldBeGreaterThan, after.requests/5)
		So(sentInOverload, ShouldEqual, 0)
	})
}

// TestLimitOverFleet guards against hedged attempts beyond the limit in any window of any
// length, summed over all entries.
func TestLimitOverFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 12).Draw(t, "entries")
		percent := rapid.Uint32Range(1, MaxPercent).Draw(t, "percent")
		slack := rapid.Float64Range(0, 60).Draw(t, "slack")
		limiters := make([]*Limiter, entries)
		for i := range limiters {
			limiters[i] = &Limiter{}
			limiters[i].SetLimits(percent, slack, entries)
		}
		// steps has a request (1) or a hedged attempt (-1) for each step of the history.
		var steps []int
		for range rapid.IntRange(1, 60).Draw(t, "bursts") {
			i := rapid.IntRange(0, entries-1).Draw(t, "entry")
			if rapid.IntRange(0, 19).Draw(t, "restart") == 0 {
				limiters[i] = &Limiter{}
				limiters[i].SetLimits(percent, slack, entries)
			}
			for range rapid.IntRange(0, 200).Draw(t, "requests") {
				limiters[i].RecordRequest()
				steps = append(steps, 1)
			}
			for range rapid.IntRange(0, 40).Draw(t, "slow") {
				if limiters[i].Available() && limiters[i].Take() {
					steps = append(steps, -1)
				}
			}
		}
		// The excess of hedged attempts over the share of requests is largest in the
		// window that ends at the step (maximum subarray).
		excess, most := 0.0, 0.0
		for _, step := range steps {
			if step > 0 {
				excess = max(excess-float64(percent)/100, 0)
			} else {
				excess++
			}
			most = max(most, excess)
		}
		if bound := max(slack, float64(minSavedTokens*entries)) + 1e-6; most > bound {
			t.Fatalf("a window has %g hedged attempts beyond %d percent of its requests, expected at most %g", most, percent, bound)
		}
	})
}

// TestLimiter guards against hedged attempts of entries that don't know the fleet's size,
// and after a change of the limit.
func TestLimiter(t *testing.T) {
	Convey("Given a limiter", t, func() {
		l := &Limiter{}
		record := func(n int) {
			for range n {
				l.RecordRequest()
			}
		}
		takeAll := func() (n int) {
			for l.Take() {
				n++
			}
			return n
		}
		Convey("one of ten requests is hedged at 10 percent, at most the saved ones at once", func() {
			l.SetLimits(10, 30, 10)
			record(10)
			So(takeAll(), ShouldEqual, 1)
			record(1000)
			So(takeAll(), ShouldEqual, 3)
		})
		Convey("none is sent before the first requests or while the fleet's size is unknown", func() {
			l.SetLimits(10, 30, 10)
			So(l.Take(), ShouldBeFalse)
			l.SetLimits(10, 30, 0)
			record(1000)
			So(l.Take(), ShouldBeFalse)
		})
		Convey("saved tokens are given up when the limit falls", func() {
			l.SetLimits(10, 30, 10)
			record(1000)
			l.SetLimits(0, 30, 10)
			So(l.Available(), ShouldBeFalse)
			l.SetLimits(10, 0, 10)
			So(l.Available(), ShouldBeFalse)
		})
	})
}

// TestEstimator guards against delays from too few or too old latencies, and delays at
// which ordinary requests are hedged.
func TestEstimator(t *testing.T) {
	Convey("Given an estimator", t, func() {
		e := &Estimator{}
		now := simEpoch
		record := func(n int, latency time.Duration) {
			for range n {
				e.Record(now, latency, 0)
			}
		}
		delayOf := func(percent uint32) (delay, median time.Duration) {
			d, _ := e.distributions(now)
			return d.delay(percent)
		}
		Convey("there is no delay before 30 latencies are known", func() {
			record(minSamples-1, simMedian)
			_, ok := e.distributions(now)
			So(ok, ShouldBeFalse)
			record(1, simMedian)
			_, ok = e.distributions(now)
			So(ok, ShouldBeTrue)
		})
		Convey("it is two medians where latencies hardly differ", func() {
			record(1000, simMedian)
			delay, median := delayOf(5)
			So(median, ShouldBeBetween, simMedian, simMedian*11/10)
			So(delay, ShouldEqual, 2*median)
		})
		Convey("it is the quantile where a larger share is slow", func() {
			record(900, simMedian)
			record(100, 10*simMedian)
			delay, _ := delayOf(5)
			So(delay, ShouldBeBetween, 10*simMedian, 11*simMedian)
			delay, _ = delayOf(20)
			So(delay, ShouldBeBetween, 2*simMedian, 3*simMedian)
		})
		Convey("old latencies are forgotten after two generations with enough newer ones", func() {
			record(1000, 10*simMedian)
			for range 3 {
				now = now.Add(generationTime)
				record(minSamples, simMedian)
			}
			_, median := delayOf(5)
			So(median, ShouldBeLessThan, 2*simMedian)
		})
		Convey("a route with few requests keeps its latencies, but not for longer than a minute", func() {
			record(minSamples-1, simMedian)
			now = now.Add(2 * generationTime)
			record(1, simMedian)
			_, ok := e.distributions(now)
			So(ok, ShouldBeTrue)
			now = now.Add(2 * maxSampleAge)
			_, ok = e.distributions(now)
			So(ok, ShouldBeFalse)
		})
		Convey("latencies outside the range of the histogram are kept at its ends", func() {
			So(bucketOf(0), ShouldEqual, 0)
			So(bucketOf(time.Hour), ShouldEqual, latencyBuckets-1)
		})
	})
}

// TestCheck guards against hedged attempts in each situation in which they do harm.
func TestCheck(t *testing.T) {
	Convey("Given a service within its limit", t, func() {
		s := &Service{}
		s.SetLimits(10, 0, 1)
		for range 10 {
			s.RecordRequest()
		}
		situation := Situation{Now: simEpoch, Deadline: simEpoch.Add(time.Second), Median: simMedian}
		Convey("a hedged attempt is allowed", func() { So(s.Check(situation), ShouldEqual, None) })
		Convey("not while the node stops", func() {
			situation.Stopping = true
			So(s.Check(situation), ShouldEqual, Stopping)
		})
		Convey("not for a suspect", func() {
			situation.Suspect = true
			So(s.Check(situation), ShouldEqual, Suspect)
		})
		Convey("not with less than the usual latency left", func() {
			situation.Deadline = situation.Now.Add(simMedian - 1)
			So(s.Check(situation), ShouldEqual, TimeLeft)
		})
		Convey("not for a while after a refusal because of load", func() {
			s.RecordRefusal(simEpoch)
			So(s.Check(situation), ShouldEqual, Refusals)
			situation.Now = simEpoch.Add(refusalQuietTime)
			situation.Deadline = situation.Now.Add(time.Second)
			So(s.Check(situation), ShouldEqual, None)
		})
		Convey("not beyond the limit", func() {
			So(s.Take(), ShouldBeTrue)
			So(s.Check(situation), ShouldEqual, Limit)
		})
		Convey("routes beyond the limit of estimators share one", func() {
			for i := range maxRoutes {
				s.Route(fmt.Sprint(i))
			}
			So(s.Route("a") == s.Route("b"), ShouldBeTrue)
			So(s.Route("1") == s.Route("2"), ShouldBeFalse)
		})
	})
}

// TestChoose guards against second attempts in another region, at the first attempt's
// server, and at servers that are busy, slow, unreliable or too late.
func TestChoose(t *testing.T) {
	good := func() balance.EndpointOffer {
		return balance.EndpointOffer{
			Endpoint: &balance.Endpoint{Instance: "a", Region: "north"}, AtOnce: true,
			RoundTrip: time.Millisecond, ServiceTime: simMedian,
		}
	}
	choose := func(change func(*balance.EndpointOffer)) *balance.EndpointOffer {
		o := good()
		change(&o)
		return Choose([]balance.EndpointOffer{o}, "north", "first", time.Second)
	}
	Convey("An offer to start at once in the own region is taken, the fastest of several", t, func() {
		So(choose(func(*balance.EndpointOffer) {}), ShouldNotBeNil)
		slower, faster := good(), good()
		faster.ServiceTime, faster.Endpoint.Instance = simMedian/2, "b"
		So(Choose([]balance.EndpointOffer{slower, faster}, "north", "first", time.Second).Endpoint.Instance, ShouldEqual, "b")
	})
	Convey("Others aren't", t, func() {
		So(choose(func(o *balance.EndpointOffer) { o.Refused = true }), ShouldBeNil)
		So(choose(func(o *balance.EndpointOffer) { o.AtOnce = false }), ShouldBeNil)
		So(choose(func(o *balance.EndpointOffer) { o.ErrorRate = 0.5 }), ShouldBeNil)
		So(choose(func(o *balance.EndpointOffer) { o.Endpoint.Region = "south" }), ShouldBeNil)
		So(choose(func(o *balance.EndpointOffer) { o.Endpoint.Instance = "first" }), ShouldBeNil)
		So(choose(func(o *balance.EndpointOffer) { o.ServiceTime = 2 * time.Second }), ShouldBeNil)
	})
}

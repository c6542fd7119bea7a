package balance

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
)

// placerAt returns a balancer of an entry in a data centre of region north.
func placerAt(dataCentre string, endpoints ...*Endpoint) *pool {
	b, err := New(EarliestFinish, Options{Region: "north", DataCentre: dataCentre, Rand: func() uint64 { return 1 }})
	So(err, ShouldBeNil)
	b.Update(endpoints, &pb.Policy{})
	return b.(*pool)
}

func endpointIn(dataCentre, region string) *Endpoint {
	return &Endpoint{Instance: dataCentre + "-1", Incarnation: 1, Region: region, DataCentre: dataCentre, Slots: 10}
}

func offerOf(e *Endpoint, wait, work time.Duration) EndpointOffer {
	return EndpointOffer{Endpoint: e, Wait: wait, ServiceTime: work}
}

func TestOnlyEarliestFinishUsesOffers(t *testing.T) {
	Convey("Only the policy earliest_finish uses offers", t, func() {
		So(mustNew(Default).Placer(), ShouldBeNil)
		So(mustNew(EarliestFinish).Placer(), ShouldNotBeNil)
	})
}

func TestShortlists(t *testing.T) {
	Convey("Given two data centres of the own region and one of another", t, func() {
		a, b, remoteEndpoint := endpointIn("a", "north"), endpointIn("b", "north"), endpointIn("c", "south")
		p := placerAt("b", a, b, remoteEndpoint)

		Convey("the own data centre comes first, and other regions are listed separately", func() {
			So(p.Local(PickInfo{}, 5), ShouldResemble, []*Endpoint{b, a})
			So(p.Local(PickInfo{}, 1), ShouldResemble, []*Endpoint{b})
			So(p.Remote(PickInfo{}, 5), ShouldResemble, []*Endpoint{remoteEndpoint})
		})
		Convey("endpoints already tried are left out", func() {
			So(p.Local(PickInfo{Tried: []string{"b-1"}}, 5), ShouldResemble, []*Endpoint{a})
		})
		Convey("one of the own data centre without a request is asked before one of another", func() {
			joined := endpointIn("b", "north")
			joined.Instance = "b-2"
			p.Update([]*Endpoint{a, b, joined, remoteEndpoint}, &pb.Policy{})
			_, err := p.Take(b, PickInfo{})
			So(err, ShouldBeNil)
			So(p.Local(PickInfo{}, 2), ShouldContain, joined)
		})
		Convey("an endpoint that was removed can't be picked", func() {
			p.Update([]*Endpoint{a}, &pb.Policy{})
			_, err := p.Take(b, PickInfo{})
			So(errkind.KindOf(err), ShouldEqual, pb.ErrorKind_ERROR_KIND_NO_SERVER)
		})
		Convey("the byte budget limits requests to other regions", func() {
			p.Update([]*Endpoint{remoteEndpoint}, &pb.Policy{CrossRegionBytesPerS: 1 << 10})
			_, err := p.Take(remoteEndpoint, PickInfo{BodyBytes: 100})
			So(err, ShouldBeNil)
			_, err = p.Take(remoteEndpoint, PickInfo{BodyBytes: 100})
			So(errkind.KindOf(err), ShouldEqual, pb.ErrorKind_ERROR_KIND_REGION_BUDGET)
		})
	})
}

// TestBestOffer checks the choice in single situations as they occur in a fleet on
// shared machines.
func TestBestOffer(t *testing.T) {
	const work = 100 * time.Millisecond
	Convey("Given three endpoints", t, func() {
		a, b, remoteEndpoint := endpointIn("a", "north"), endpointIn("b", "north"), endpointIn("c", "south")
		p := placerAt("a", a, b, remoteEndpoint)
		best := func(offers ...EndpointOffer) *Endpoint {
			if o := p.Best(offers, time.Second); o != nil {
				return o.Endpoint
			}
			return nil
		}

		Convey("a server that is slow at the moment is not chosen", func() {
			So(best(offerOf(a, 0, 4*work), offerOf(b, 0, work)), ShouldEqual, b)
		})
		Convey("a server with a queue is not chosen", func() {
			So(best(offerOf(a, work, work), offerOf(b, 0, work)), ShouldEqual, b)
		})
		Convey("the own data centre is preferred if the difference is small", func() {
			So(best(offerOf(b, 0, work), offerOf(a, 0, work*105/100)), ShouldEqual, a)
			So(best(offerOf(b, 0, work), offerOf(a, 0, work*120/100)), ShouldEqual, b)
		})
		Convey("the own data centre is preferred if it answers at once and well before the target", func() {
			atOnce := func(e *Endpoint, work time.Duration) EndpointOffer {
				o := offerOf(e, 0, work)
				o.AtOnce = true
				return o
			}
			So(best(atOnce(b, work), atOnce(a, 3*work)), ShouldEqual, a)
			So(best(atOnce(b, work), atOnce(a, 6*work)), ShouldEqual, b)
			So(best(atOnce(b, work), atOnce(a, 4*work)), ShouldEqual, a)
			So(best(atOnce(b, work), offerOf(a, 0, 3*work)), ShouldEqual, b)
			So(best(atOnce(b, work), atOnce(a, 0)), ShouldEqual, a) // unknown: as slow as the slowest
			failing := atOnce(a, 2*work)
			failing.ErrorRate = 0.5
			So(best(atOnce(b, work), failing), ShouldEqual, b)
			failing.ErrorRate, failing.Refused = 0, true
			So(best(atOnce(b, work), failing), ShouldEqual, b)
		})
		Convey("one request in ten goes to any server that answers early, fast or not, so that its speed stays known", func() {
			offers := []EndpointOffer{offerOf(a, 0, work), offerOf(b, 0, 4*work), offerOf(remoteEndpoint, 0, work)}
			for i := range offers {
				offers[i].AtOnce = true
			}
			draws := uint64(0)
			p.options.Rand = func() uint64 { draws++; return draws * 7 / 2 }
			chosen := map[*Endpoint]int{}
			for range 1000 {
				chosen[best(offers...)]++
			}
			So(chosen[a], ShouldBeBetween, 900, 990)
			So(chosen[b], ShouldBeBetween, 10, 100)
			So(chosen[remoteEndpoint], ShouldEqual, 0)
			offers[1].ServiceTime = 8 * work // not early
			clear(chosen)
			for range 1000 {
				chosen[best(offers...)]++
			}
			So(chosen[b], ShouldEqual, 0)
		})
		Convey("the round-trip time counts", func() {
			remote := offerOf(remoteEndpoint, 0, work)
			remote.RoundTrip = 40 * time.Millisecond
			So(best(offerOf(b, 0, 130*time.Millisecond), remote), ShouldEqual, b)
			So(p.RemoteRoundTrip(), ShouldEqual, 40*time.Millisecond)
		})
		Convey("a server that fails quickly is not preferred", func() {
			failing := offerOf(a, 0, time.Millisecond)
			failing.ErrorRate = 0.5
			So(best(failing, offerOf(b, 0, work)), ShouldEqual, b)
		})
		Convey("a server with unknown service time isn't assumed to be the fastest", func() {
			So(best(offerOf(a, work/2, 0), offerOf(b, 0, work)), ShouldEqual, b)
		})
		Convey("refusals are never chosen, and give the time to wait", func() {
			refused := []EndpointOffer{
				{Endpoint: a, Refused: true, Wait: 2 * work}, {Endpoint: b, Refused: true, Wait: work},
				{Endpoint: remoteEndpoint, Refused: true}, // draining, which has nothing to do with load
			}
			So(best(refused...), ShouldBeNil)
			wait, ok := ShortestRefusalWait(refused)
			So(ok, ShouldBeTrue)
			So(wait, ShouldEqual, work)
			_, ok = ShortestRefusalWait(nil)
			So(ok, ShouldBeFalse)
		})
	})
}

func TestOffersOfWarmingServer(t *testing.T) {
	virtualtime.Test(t, func(*testing.T) {
		Convey("A server that has just started is chosen less often until its warm-up ends", t, func() {
			a, b := endpointIn("a", "north"), endpointIn("b", "north")
			p := placerAt("a", a)
			time.Sleep(coldJoinAge + time.Second)
			p.Update([]*Endpoint{a, b}, &pb.Policy{})
			offers := []EndpointOffer{offerOf(a, 100*time.Millisecond, 100*time.Millisecond), offerOf(b, 0, 100*time.Millisecond)}
			So(p.Best(offers, time.Second).Endpoint, ShouldEqual, a)
			time.Sleep(defaultWarmup)
			So(p.Best(offers, time.Second).Endpoint, ShouldEqual, b)
		})
	})
}

// A server that joins gets requests, although idle servers of the own data centre would
// answer as early.
func TestJoinedServerGetsRequests(t *testing.T) {
	const work, askedFirst = 100 * time.Millisecond, 2
	Convey("Given an entry with two idle servers in its data centre", t, func() {
		b, err := New(EarliestFinish, Options{Region: "north", DataCentre: "a", Rand: rand.New(rand.NewPCG(1, 1)).Uint64})
		So(err, ShouldBeNil)
		p := b.(*pool)
		near := []*Endpoint{endpointIn("a", "north"), {Instance: "a-2", Incarnation: 1, Region: "north", DataCentre: "a", Slots: 10}}
		place := func() *Endpoint {
			var offers []EndpointOffer
			for _, endpoint := range p.Local(PickInfo{}, askedFirst) {
				offers = append(offers, EndpointOffer{Endpoint: endpoint, ServiceTime: work, AtOnce: true})
			}
			chosen, err := p.Take(p.Best(offers, time.Second).Endpoint, PickInfo{})
			So(err, ShouldBeNil)
			p.Done(Result{Endpoint: chosen, Outcome: OutcomeSuccess, Latency: work})
			return chosen
		}
		p.Update(near, &pb.Policy{})
		for range 20 {
			place()
		}
		Convey("one that joins in another data centre gets a request within the next 100, and no more than one in ten", func() {
			joined := endpointIn("b", "north")
			p.Update(append(near, joined), &pb.Policy{})
			count := 0
			for range 100 {
				if place() == joined {
					count++
				}
			}
			So(count, ShouldBeBetweenOrEqual, 1, 10)
		})
	})
}

// Guards against entries that look for a request's promise at different gates, and against
// one endpoint that leaves and moves the promises of the others.
func TestHome(t *testing.T) {
	Convey("Given entries that list the same endpoints in another order", t, func() {
		var endpoints, reversed []*Endpoint
		for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
			endpoints = append(endpoints, endpointIn(name, "north"))
		}
		for i := range endpoints {
			reversed = append(reversed, endpoints[len(endpoints)-1-i])
		}
		policy := &pb.Policy{PromisedPercent: 25}
		p, other := placerAt("a"), placerAt("f")
		p.Update(append(endpoints, endpointIn("far", "south")), policy)
		other.Update(reversed, policy)

		Convey("they agree on the home of a request, whatever it has tried, and spread requests", func() {
			requests := map[string]int{}
			for fingerprint := range uint64(600) {
				home := p.Home(PickInfo{}, fingerprint)
				So(other.Home(PickInfo{Tried: []string{home.Instance}}, fingerprint), ShouldEqual, home)
				requests[home.Instance]++
			}
			So(requests, ShouldHaveLength, 6)
			for _, n := range requests {
				So(n, ShouldBeBetween, 60, 150)
			}
		})
		Convey("an endpoint that leaves changes the home of its own requests only", func() {
			other.Update(endpoints[1:], policy)
			for fingerprint := range uint64(100) {
				if home := p.Home(PickInfo{}, fingerprint); home != endpoints[0] {
					So(other.Home(PickInfo{}, fingerprint), ShouldEqual, home)
				}
			}
		})
		Convey("there is none in a region that isn't allowed, or without promises", func() {
			So(p.Home(PickInfo{Regions: RegionFilter{Route: []string{"south"}}}, 1), ShouldBeNil)
			p.Update(endpoints, &pb.Policy{})
			So(p.Home(PickInfo{}, 1), ShouldBeNil)
		})
		Convey("an offer of a promised place goes before others", func() {
			offers := []EndpointOffer{offerOf(endpoints[0], 0, time.Millisecond), offerOf(endpoints[1], 10*time.Millisecond, 10*time.Millisecond)}
			offers[1].Promised = true
			So(p.Best(offers, time.Second), ShouldEqual, &offers[1])
			offers[1].Refused = true
			So(p.Best(offers, time.Second), ShouldEqual, &offers[0])
		})
	})
}

// loadedServer is a server of the test below: slots that are free again at these times, and
// at most as many requests waiting.
type loadedServer []time.Duration

// offer returns when a request would start, and the slot.
func (s loadedServer) offer(now time.Duration) (wait time.Duration, slot int) {
	for i := range s {
		if s[i] < s[slot] {
			slot = i
		}
	}
	return max(s[slot]-now, 0), slot
}

// Guards against a data centre at the peak of its demand whose entries ask none of the
// servers of the next one, which has room: an own data centre with as many servers as are
// asked fills the whole shortlist.
func TestUnevenDataCentres(t *testing.T) {
	const (
		servers, slots = 6, 14
		work           = 400 * time.Millisecond
		target         = 800 * time.Millisecond
		asked, first   = 5, 2
	)
	Convey("At 1.5 times the capacity beside 0.4 of it, nearly all requests meet their target", t, func() {
		random := rand.New(rand.NewPCG(1, 1))
		loads := map[*Endpoint]loadedServer{}
		var endpoints []*Endpoint
		for i := range 2 * servers {
			endpoint := endpointIn([]string{"busy", "calm"}[i%2], "north")
			endpoint.Instance = strconv.Itoa(i)
			endpoints = append(endpoints, endpoint)
			loads[endpoint] = make(loadedServer, slots)
		}
		placers := map[string]*pool{}
		for _, dataCentre := range []string{"busy", "calm"} {
			b, err := New(EarliestFinish, Options{Region: "north", DataCentre: dataCentre, Rand: random.Uint64})
			So(err, ShouldBeNil)
			b.Update(endpoints, &pb.Policy{})
			placers[dataCentre] = b.(*pool)
		}
		capacity := servers * slots / work.Seconds()
		met, all := map[string]int{}, map[string]int{}
		for now := time.Duration(0); now < 20*time.Second; now += time.Duration(random.ExpFloat64() * float64(time.Second) / (1.9 * capacity)) {
			dataCentre := "calm"
			if random.Float64() < 1.5/1.9 {
				dataCentre = "busy"
			}
			p := placers[dataCentre]
			list := p.Local(PickInfo{}, asked)
			var offers []EndpointOffer
			ask := func(list []*Endpoint) *EndpointOffer {
				for _, endpoint := range list {
					wait, _ := loads[endpoint].offer(now)
					offers = append(offers, EndpointOffer{Endpoint: endpoint, Wait: wait, ServiceTime: work, AtOnce: wait == 0})
				}
				return p.Best(offers, target)
			}
			best := ask(list[:first])
			if !best.IsSufficient() {
				best = ask(list[first:])
			}
			if _, err := p.Take(best.Endpoint, PickInfo{}); err != nil {
				t.Fatal(err)
			}
			p.Done(Result{Endpoint: best.Endpoint, Outcome: OutcomeSuccess, Latency: work})
			wait, slot := loads[best.Endpoint].offer(now)
			loads[best.Endpoint][slot] = now + wait + work
			all[dataCentre]++
			if wait+work <= target {
				met[dataCentre]++
			}
		}
		for _, dataCentre := range []string{"busy", "calm"} {
			share := float64(met[dataCentre]) / float64(all[dataCentre])
			t.Logf("%s: %.3f of %d met the target", dataCentre, share, all[dataCentre])
			So(share, ShouldBeGreaterThan, 0.95)
		}
	})
}

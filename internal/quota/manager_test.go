package quota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
)

// testFleet is a fleet of managers that exchange datagrams in memory.
type testFleet struct {
	managers []*Manager
	members  []Member
	messages atomic.Int64
	// lose reports whether a datagram is lost; nil: none is.
	lose func() bool
	// silent is the address of a node that receives nothing.
	silent string
	stop   context.CancelFunc
	done   sync.WaitGroup
}

// newTestFleet starts a fleet with equal caps in a bubble of virtual time.
func newTestFleet(nodes, regions int, organisations ...*pb.Organisation) *testFleet {
	f := &testFleet{}
	for i := range nodes {
		f.members = append(f.members, Member{
			Instance: fmt.Sprint("node-", i), Region: fmt.Sprint("region-", i%regions),
			Address: fmt.Sprint("address-", i), Started: time.Now(),
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = func() { cancel(); f.done.Wait() }
	for i, self := range f.members {
		m := NewManager(Options{
			Self:   self,
			Limits: NewLimits(DefaultWindow, DefaultOvershoot, DefaultSlack),
			View:   func() View { return View{Version: 1, Joined: true, Members: f.members} },
			Rand:   rand.New(rand.NewPCG(1, uint64(i))),
			Slots:  8,
		})
		m.options.Send = func(to string, number uint64, request *pb.QuotaRequest) bool {
			f.send(m, to, number, request)
			return true
		}
		m.SetCaps(organisations)
		f.managers = append(f.managers, m)
	}
	for _, m := range f.managers {
		f.done.Go(func() { m.Run(ctx) })
	}
	return f
}

func (f *testFleet) send(from *Manager, to string, number uint64, request *pb.QuotaRequest) {
	f.messages.Add(1)
	if to == f.silent || f.lose != nil && f.lose() {
		return
	}
	for i, m := range f.members {
		if m.Address != to {
			continue
		}
		time.AfterFunc(time.Millisecond, func() {
			reply := f.managers[i].HandleRequest(from.options.Self.Address, number, request)
			if f.lose == nil || !f.lose() {
				time.AfterFunc(time.Millisecond, func() { from.HandleGrant(number, reply) })
			}
		})
	}
}

// asker returns a node that doesn't own its region's part of the organisation.
func (f *testFleet) asker(organisation string) int {
	for i, m := range f.managers {
		if p := m.placement.Load(); p.owner(p.slot(organisation), 0) != p.ownAddress {
			return i
		}
	}
	return -1
}

// acquire takes a token for a request at a node.
func (f *testFleet) acquire(node int, organisation string) (time.Duration, bool) {
	claim := f.managers[node].Begin(organisation)
	if claim == nil {
		return 0, true
	}
	return claim.Wait(context.Background(), time.Now().Add(10*time.Second))
}

// TestManager checks the connection of the state machines with locks, timers and
// datagrams.
func TestManager(t *testing.T) {
	capped := &pb.Organisation{Name: "o", RatePerS: 30, Burst: 30}
	inFleet := func(text string, nodes, regions int, body func(f *testFleet)) {
		virtualtime.Test(t, func(t *testing.T) {
			Convey(text, t, func() {
				f := newTestFleet(nodes, regions, capped, &pb.Organisation{Name: "free"})
				defer f.stop()
				body(f)
			})
		})
	}
	inFleet("Organisations without a rate and requests without an organisation cost nothing", 3, 1, func(f *testFleet) {
		time.Sleep(3 * time.Second)
		for _, organisation := range []string{"", "free", "unknown"} {
			So(f.managers[0].Begin(organisation), ShouldBeNil)
		}
		So(f.messages.Load(), ShouldEqual, 0)
		So(f.managers[0].Use(), ShouldBeEmpty)
	})
	// Guards against refusals while the fleet starts and no node is sure yet that it is
	// an owner.
	inFleet("Requests wait for the owners of a fleet that starts", 6, 3, func(f *testFleet) {
		for node := range f.managers {
			_, ok := f.acquire(node, "o")
			So(ok, ShouldBeTrue)
		}
		So(f.managers[0].placement.Load().starting, ShouldBeFalse)
	})
	// Guards against a node that asks the owner of another slot for as long as it runs,
	// because the organisation was used before the node had a view.
	Convey("An organisation has the same slot before and after the first view", t, func() {
		m := NewManager(Options{Slots: 64, Limits: NewLimits(DefaultWindow, DefaultOvershoot, DefaultSlack)})
		m.SetCaps([]*pb.Organisation{capped})
		m.Begin("o")
		view := View{Joined: true, Members: []Member{{Instance: "a"}}}
		m.options.View = func() View { return view }
		m.tick()
		So(m.shardOf("o").holders["o"].slot, ShouldEqual, m.placement.Load().slot("o"))
		So(m.placement.Load().slot("o"), ShouldBeGreaterThan, 0)
	})
	// Guards against a cap that is exceeded, or not used up, by concurrent requests.
	inFleet("Concurrent requests get the cap and no more", 6, 3, func(f *testFleet) {
		time.Sleep(30 * time.Second) // the buckets fill
		var granted, refused atomic.Int64
		var group sync.WaitGroup
		for i := range 600 {
			group.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				if retryAfter, ok := f.acquire(i%6, "o"); ok {
					granted.Add(1)
				} else if refused.Add(1); retryAfter <= 0 || retryAfter > maxRetryAfter {
					t.Errorf("Retry-After %s", retryAfter)
				}
			})
		}
		group.Wait()
		// 6 s: the rate, the burst and the extra burst.
		So(granted.Load(), ShouldBeBetween, 0.97*(6*30+30), 6.25*30+30+8+1)
		So(granted.Load()+refused.Load(), ShouldEqual, 600)
	})
	// Guards against refused callers that cost a message each.
	inFleet("An empty part is remembered", 6, 3, func(f *testFleet) {
		time.Sleep(30 * time.Second)
		for range 100 {
			f.acquire(0, "o")
		}
		before := f.messages.Load()
		for range 1000 {
			f.acquire(0, "o")
		}
		So(f.messages.Load()-before, ShouldBeLessThan, 10)
	})
	// Guards against a token that is lost with a request that wasn't sent.
	inFleet("A returned token serves the next request without a message", 6, 3, func(f *testFleet) {
		time.Sleep(30 * time.Second)
		node := f.asker("o")
		claim := f.managers[node].Begin("o")
		_, ok := claim.Wait(context.Background(), time.Now().Add(time.Second))
		So(ok, ShouldBeTrue)
		So(f.messages.Load(), ShouldEqual, 1)
		claim.Return()
		claim.Return() // has no further effect
		_, ok = f.acquire(node, "o")
		So(ok, ShouldBeTrue)
		So(f.messages.Load(), ShouldEqual, 1)
		_, ok = f.acquire(node, "o")
		So(ok, ShouldBeTrue)
		So(f.messages.Load(), ShouldEqual, 2)
	})
	// Guards against a token that is spent after its lifetime, which the bound doesn't
	// allow for.
	inFleet("A token that expired while gates were asked is acquired again", 6, 3, func(f *testFleet) {
		time.Sleep(30 * time.Second)
		claim := f.managers[0].Begin("o")
		time.Sleep(2 * time.Second)
		_, ok := claim.Wait(context.Background(), time.Now().Add(time.Second))
		So(ok, ShouldBeTrue)
		So(claim.token.expires.After(time.Now()), ShouldBeTrue)
	})
	// Guards against a request that waits beyond its deadline or its caller.
	inFleet("A wait ends with its context and its deadline", 3, 1, func(f *testFleet) {
		f.lose = func() bool { return true }
		for _, m := range f.managers {
			m.placement.Store(NewFleet(m.options.Self, 8).Placement())
		}
		start := time.Now()
		claim := f.managers[0].Begin("o")
		_, ok := claim.Wait(context.Background(), start.Add(500*time.Millisecond))
		So(ok, ShouldBeFalse)
		So(time.Since(start), ShouldBeLessThanOrEqualTo, 500*time.Millisecond)
	})
	// Guards against requests that fail because a datagram was lost.
	inFleet("Lost datagrams are sent again", 6, 3, func(f *testFleet) {
		time.Sleep(30 * time.Second)
		r := rand.New(rand.NewPCG(1, 1))
		var mu sync.Mutex
		f.lose = func() bool { mu.Lock(); defer mu.Unlock(); return r.IntN(20) == 0 }
		for i := range 300 {
			_, ok := f.acquire(i%6, "o")
			So(ok, ShouldBeTrue)
			time.Sleep(70 * time.Millisecond)
		}
	})
	// Guards against a lowered cap that isn't binding at once.
	inFleet("A changed cap is in force at once", 6, 3, func(f *testFleet) {
		time.Sleep(30 * time.Second)
		for node := range f.managers {
			_, ok := f.acquire(node, "o")
			So(ok, ShouldBeTrue)
		}
		for _, m := range f.managers {
			m.SetCaps([]*pb.Organisation{{Name: "o", RatePerS: 1, Burst: 1}})
		}
		granted := 0
		for i := range 200 {
			if _, ok := f.acquire(i%6, "o"); ok {
				granted++
			}
			time.Sleep(25 * time.Millisecond)
		}
		So(granted, ShouldBeBetween, 4, 16)
		So(f.managers[0].Use()[0].GetRatePerS(), ShouldEqual, 1)
	})
	// Guards against a configuration that reaches an owner later than a holder.
	inFleet("Requests wait for owners that don't know the organisation yet", 6, 3, func(f *testFleet) {
		time.Sleep(30 * time.Second)
		added := []*pb.Organisation{{Name: "new", RatePerS: 5, Burst: 5}}
		node := f.asker("new")
		f.managers[node].SetCaps(added)
		time.AfterFunc(time.Second, func() {
			for _, m := range f.managers {
				m.SetCaps(added)
			}
		})
		_, ok := f.acquire(node, "new")
		So(ok, ShouldBeTrue)
	})
	// Guards against requests that each wait for an owner that has died.
	inFleet("A silent owner is skipped", 6, 3, func(f *testFleet) {
		time.Sleep(30 * time.Second)
		node := f.asker("o")
		p := f.managers[node].placement.Load()
		f.silent = p.owner(p.slot("o"), 0)
		start := time.Now()
		_, ok := f.acquire(node, "o")
		So(ok, ShouldBeTrue)
		So(time.Since(start), ShouldBeGreaterThanOrEqualTo, askTimeout)
		for range 10 {
			start = time.Now()
			_, ok = f.acquire(node, "o")
			So(ok, ShouldBeTrue)
			So(time.Since(start), ShouldBeLessThan, askTimeout)
		}
	})
	// Guards against memory that grows with every organisation that was ever used.
	inFleet("Unused organisations are released", 2, 1, func(f *testFleet) {
		time.Sleep(5 * time.Second)
		f.acquire(0, "o")
		time.Sleep(2 * idleTime)
		for _, m := range f.managers {
			for i := range m.shards {
				s := &m.shards[i]
				s.mu.Lock()
				kept := len(s.holders) + len(s.asking) + len(s.waiting)
				s.mu.Unlock()
				So(kept, ShouldEqual, 0)
			}
		}
	})
}

// TestLabels guards against metrics with a label for each of 10,000 organisations.
func TestLabels(t *testing.T) {
	Convey("The 20 largest organisations have labels; the others share one", t, func() {
		m := NewManager(Options{Slots: 1})
		var organisations []*pb.Organisation
		for i := range 100 {
			organisations = append(organisations, &pb.Organisation{Name: fmt.Sprint("o", i), RatePerS: float64(i)})
		}
		m.SetCaps(organisations)
		caps := m.caps.Load()
		So(len(caps.all), ShouldEqual, maxLabels+1)
		So(caps.counters("o99").label, ShouldEqual, "o99")
		So(caps.counters("o50").label, ShouldEqual, otherLabel)
		caps.counters("o99").granted.Add(5)
		m.SetCaps(organisations)
		So(m.caps.Load().counters("o99").granted.Load(), ShouldEqual, 5)
	})
}

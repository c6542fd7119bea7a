package quota

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"github.com/egretfield/egretfield/internal/pb"
)

// largeFleet returns the members of a fleet in three regions.
func largeFleet(nodes int) []Member {
	var members []Member
	for i := range nodes {
		members = append(members, Member{Instance: fmt.Sprint("instance-", i), Region: fmt.Sprint("region-", i%3), Address: fmt.Sprint("10.0.0.1:", i), Started: simEpoch})
	}
	return members
}

// largeManager returns the manager of one of 660 nodes that owns parts and has 10,000
// caps.
func largeManager(send Sender) *Manager {
	members := largeFleet(660)
	m := NewManager(Options{
		Self: members[0], Limits: NewLimits(DefaultWindow, DefaultOvershoot, DefaultSlack), Send: send,
		View: func() View { return View{Version: 1, Joined: true, Members: members} },
	})
	var organisations []*pb.Organisation
	for i := range 10_000 {
		organisations = append(organisations, &pb.Organisation{Name: fmt.Sprint("organisation-", i), RatePerS: 1e6, Burst: 1e6})
	}
	m.SetCaps(organisations)
	m.tick()
	return m
}

// BenchmarkView measures a change of the view of 660 members.
func BenchmarkView(b *testing.B) {
	view := View{Joined: true, Members: largeFleet(660)}
	f := NewFleet(view.Members[0], DefaultSlots)
	now := simEpoch
	for b.Loop() {
		now = now.Add(tickInterval)
		f.Update(now, view)
	}
}

// BenchmarkTick measures a tick without a change.
func BenchmarkTick(b *testing.B) {
	m := largeManager(nil)
	for b.Loop() {
		m.tick()
	}
}

// BenchmarkGrant measures a request for tokens at an owner.
func BenchmarkGrant(b *testing.B) {
	m := largeManager(nil)
	request := &pb.QuotaRequest{Organisation: "organisation-7", Region: "region-0", Wanted: 1}
	number := uint64(0)
	for b.Loop() {
		number++
		m.HandleRequest("10.0.0.1:9", number, request)
	}
}

// BenchmarkClaim measures a request whose token has to be asked for.
func BenchmarkClaim(b *testing.B) {
	var m *Manager
	m = largeManager(func(_ string, number uint64, request *pb.QuotaRequest) bool {
		m.HandleGrant(number, &pb.QuotaGrant{Tokens: request.GetWanted(), Owner: true})
		return true
	})
	ctx, deadline := context.Background(), time.Now().Add(time.Hour)
	i := 0
	for b.Loop() {
		i++
		if _, ok := m.Begin(fmt.Sprint("organisation-", i%10_000)).Wait(ctx, deadline); !ok {
			b.Fatal("refused")
		}
	}
}

// BenchmarkRefused measures a request beyond the cap while the parts are known to be empty,
// and the messages for it.
func BenchmarkRefused(b *testing.B) {
	var m *Manager
	messages := 0
	m = largeManager(func(_ string, number uint64, request *pb.QuotaRequest) bool {
		messages++
		m.HandleGrant(number, &pb.QuotaGrant{RetryAfterUs: 2e6, Owner: true, RefusedPerS: 1e5})
		return true
	})
	m.SetCaps([]*pb.Organisation{{Name: "o", RatePerS: 1, Burst: 1}})
	p := *m.placement.Load()
	p.starting = false
	m.placement.Store(&p)
	ctx, deadline := context.Background(), time.Now().Add(time.Hour)
	for b.Loop() {
		m.Begin("o").Wait(ctx, deadline)
	}
	b.ReportMetric(float64(messages)/float64(b.N), "messages/op")
}

// BenchmarkNoCap measures a request of an organisation without a cap.
func BenchmarkNoCap(b *testing.B) {
	m := largeManager(nil)
	for b.Loop() {
		if m.Begin("another") != nil {
			b.Fatal("claim")
		}
	}
}

// BenchmarkMemory reports the heap of a manager with 10,000 organisations, all of them
// in use.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		var m *Manager
		m = largeManager(func(_ string, number uint64, request *pb.QuotaRequest) bool {
			m.HandleGrant(number, &pb.QuotaGrant{Tokens: request.GetWanted(), Owner: true})
			return true
		})
		for i := range 10_000 {
			m.Begin(fmt.Sprint("organisation-", i)).Return()
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		runtime.KeepAlive(m)
	}
}

// BenchmarkMessages reports the datagrams that a node sends and receives each second for
// tokens, with 16.7 requests a second and node of organisations whose caps follow Zipf's
// law, at half of the caps: as on deployment A. Organisations don't affect each other, so a
// sample of them is simulated one by one.
func BenchmarkMessages(b *testing.B) {
	for _, size := range []struct{ nodes, organisations int }{{60, 72}, {300, 1000}, {660, 72}, {660, 10_000}} {
		b.Run(fmt.Sprintf("%d_nodes_%d_organisations", size.nodes, size.organisations), func(b *testing.B) {
			total := 0.0
			for i := range size.organisations {
				total += math.Pow(float64(i+1), -1.2)
			}
			for b.Loop() {
				messages := 0.0
				for rank := 1; rank <= size.organisations; {
					step := max(rank/3, 1)
					demand := 16.7 * float64(size.nodes) / total * math.Pow(float64(rank), -1.2)
					s := newSim(uint64(rank), simOptions{nodes: size.nodes, regions: 3, cap: Cap{2 * demand, 2 * demand}, otherRegion: 20 * time.Millisecond, settled: true})
					s.demand(demand, func() int { return s.rand.IntN(size.nodes) })
					const span = 5
					s.runFor(span * time.Second)
					messages += float64(s.messages) / span * float64(min(step, size.organisations-rank+1))
					rank += step
				}
				// Each datagram is sent by one node and received by another.
				b.ReportMetric(2*messages/float64(size.nodes), "messages/s/node")
			}
		})
	}
}

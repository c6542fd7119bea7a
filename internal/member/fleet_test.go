package member

import (
	"flag"
	"testing"
	"time"

	"github.com/egretfield/egretfield/internal/standin/virtualtime"
)

// fleetSize is the size of TestFleet's fleet. The target is 660.
var fleetSize = flag.Int("fleet", 45, "members of TestFleet's fleet")

// TestFleet measures under virtual time, with 2% of messages lost once the fleet is
// steady, how long changes take to reach every view and how much traffic gossip
// causes per node. The time limits hold at any size.
func TestFleet(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.close()
		nodes := c.startMany(*fleetSize)
		formed := await(2*time.Minute, func() bool { return converged(nodes) })
		if formed < 0 {
			t.Fatal("the fleet did not converge")
		}
		t.Log("formed after", formed)
		time.Sleep(10 * time.Second)
		logGossipTraffic(t, nodes, "steady", func() { time.Sleep(20 * time.Second) })
		c.setLoss(0.02)
		logGossipTraffic(t, nodes, "newcomer", func() {
			newcomer := c.start("b", "b:1", "region1", "a03:1")
			took := await(boundJoin, func() bool { return allSeeStatus(nodes, "b", alive) })
			checkInTime(t, "new node in every view", took)
			took = await(30*time.Second, func() bool { return newcomer.list.Health().Ready })
			checkInTime(t, "new node ready", took)
			nodes = append(nodes, newcomer)
		})
		logGossipTraffic(t, nodes, "drain", func() {
			nodes[4].list.SetDraining(true)
			checkInTime(t, "drain in every view", await(boundLeave, func() bool { return allSeeStatus(nodes, "a04", draining) }))
		})
		logGossipTraffic(t, nodes, "kill", func() {
			victim := nodes[7]
			self := victim.list.Self()
			c.crash(victim)
			nodes = append(nodes[:7:7], nodes[8:]...)
			nodes[0].list.Report(self.Instance, self.Incarnation, false)
			checkInTime(t, "killed node dead in every view", await(boundDead, func() bool { return allSeeStatus(nodes, "a07", dead) }))
		})
		logGossipTraffic(t, nodes, "a seventh of the fleet killed", func() {
			lost := len(nodes) / 7
			var names []string
			for _, n := range nodes[10 : 10+lost] {
				names = append(names, n.instance)
				c.crash(n)
			}
			nodes = append(nodes[:10:10], nodes[10+lost:]...)
			checkInTime(t, "all of them dead in every view", await(time.Minute, func() bool {
				for _, name := range names {
					if !allSeeStatus(nodes, name, dead) {
						return false
					}
				}
				return true
			}))
		})
	})
}

// checkInTime fails the test if took is negative, which stands for a timeout, and
// logs it otherwise.
func checkInTime(t *testing.T, what string, took time.Duration) {
	if took < 0 {
		t.Errorf("%s: not within the time limit", what)
		return
	}
	t.Log(what, "after", took)
}

// logGossipTraffic logs the average and the maximum rate of gossip that a node sends
// during f.
func logGossipTraffic(t *testing.T, nodes []*node, what string, f func()) {
	type traffic struct{ messages, bytes uint64 }
	before := map[*node]traffic{}
	for _, n := range nodes {
		m, b := gossipTraffic(n)
		before[n] = traffic{m, b}
	}
	start := time.Now()
	f()
	seconds := max(time.Since(start).Seconds(), 1)
	var total, most traffic
	for n, old := range before {
		m, b := gossipTraffic(n)
		total.messages += m - old.messages
		total.bytes += b - old.bytes
		most.messages = max(most.messages, m-old.messages)
		most.bytes = max(most.bytes, b-old.bytes)
	}
	count := float64(len(before)) * seconds
	t.Logf("%s: %.0f bytes/s and %.1f messages/s sent by a node, at most %.0f and %.1f", what,
		float64(total.bytes)/count, float64(total.messages)/count, float64(most.bytes)/seconds, float64(most.messages)/seconds)
}

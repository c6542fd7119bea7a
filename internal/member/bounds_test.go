package member

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/standin/virtualtime"
)

// Time limits that the fleet guarantees for a change to be in every node's view, and
// the limit for a test cluster to form.
const (
	boundJoin          = 5 * time.Second
	boundLeave         = 3 * time.Second
	boundDead          = 2 * time.Second
	clusterFormTimeout = 15 * time.Second
)

// inCluster runs f under virtual time with a converged cluster of n nodes.
func inCluster(t *testing.T, n int, f func(c *cluster, nodes []*node)) {
	virtualtime.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.close()
		nodes := c.startMany(n)
		if await(clusterFormTimeout, func() bool { return converged(nodes) }) < 0 {
			t.Fatal("the cluster did not converge")
		}
		f(c, nodes)
	})
}

func TestNewcomerBound(t *testing.T) {
	inCluster(t, 20, func(c *cluster, nodes []*node) {
		Convey("A new node is in every view in time, even with message loss and without the log", t, func() {
			c.setLoss(0.05)
			c.log.setDown(true)
			newcomer := c.start("b", "b:1", "region1", "a03:1")
			all := append(nodes, newcomer)
			took := await(boundJoin, func() bool { return allSeeStatus(all, "b", alive) && converged(all) })
			So(took, ShouldBeBetween, -1, boundJoin+1)
			So(len(newcomer.list.View().Service("catalogue")), ShouldEqual, 21)
			t.Log("new node in every view after", took)
		})
	})
}

func TestLeaveBound(t *testing.T) {
	inCluster(t, 20, func(c *cluster, nodes []*node) {
		Convey("Draining and leaving show in every view in time", t, func() {
			c.setLoss(0.05)
			nodes[4].list.SetDraining(true)
			took := await(boundLeave, func() bool { return allSeeStatus(nodes, "a04", draining) })
			So(took, ShouldBeBetween, -1, boundLeave+1)
			t.Log("drain in every view after", took)
			go nodes[5].list.Leave(context.Background())
			took = await(boundLeave, func() bool { return allSeeStatus(nodes, "a05", left) })
			So(took, ShouldBeBetween, -1, boundLeave+1)
			t.Log("leave in every view after", took)
			So(nodes[5].list.Health().Ready, ShouldBeFalse)
		})
	})
}

func TestDeathBound(t *testing.T) {
	inCluster(t, 20, func(c *cluster, nodes []*node) {
		Convey("A killed node is dead in every view in time after the first report", t, func() {
			c.setLoss(0.05)
			victim := nodes[7].list.Self()
			c.crash(nodes[7])
			rest := append(append([]*node{}, nodes[:7]...), nodes[8:]...)
			nodes[0].list.Report(victim.Instance, victim.Incarnation, false)
			took := await(boundDead, func() bool { return allSeeStatus(rest, "a07", dead) })
			So(took, ShouldBeBetween, -1, boundDead+1)
			t.Log("killed node dead in every view after", took)
		})
		Convey("So is a node that is cut off and neither accepts nor refuses connections", t, func() {
			c.setPartition(func(a, b *node) bool { return a == nodes[8] || b == nodes[8] })
			victim := nodes[8].list.Self()
			nodes[0].list.Report(victim.Instance, victim.Incarnation, false)
			rest := append(append([]*node{}, nodes[:7]...), nodes[9:]...)
			took := await(boundDead, func() bool { return allSeeStatus(rest, "a08", dead) })
			So(took, ShouldBeBetween, -1, boundDead+1)
			t.Log("cut-off node dead in every view after", took)
		})
	})
}

func TestUnfoundedReport(t *testing.T) {
	inCluster(t, 10, func(c *cluster, nodes []*node) {
		Convey("Reporting a healthy node as unreachable changes no view", t, func() {
			target := nodes[3].list.Self()
			for range 20 {
				nodes[0].list.Report(target.Instance, target.Incarnation, false)
				time.Sleep(50 * time.Millisecond)
				So(allSeeStatus(nodes, "a03", alive), ShouldBeTrue)
			}
		})
		Convey("Nor does it when only the path between the two nodes is broken", t, func() {
			c.setPartition(func(a, b *node) bool {
				return a == nodes[0] && b == nodes[3] || a == nodes[3] && b == nodes[0]
			})
			target := nodes[3].list.Self()
			nodes[0].list.Report(target.Instance, target.Incarnation, false)
			for range 60 {
				time.Sleep(50 * time.Millisecond)
				So(allSeeStatus(nodes, "a03", alive), ShouldBeTrue)
			}
		})
	})
}

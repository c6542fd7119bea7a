package member

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/budget"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
)

// ownRecord returns a copy of a node's record of itself.
func ownRecord(n *node) *pb.MemberRecord {
	n.list.mu.Lock()
	defer n.list.mu.Unlock()
	return proto.CloneOf(n.list.own())
}

// sendRecords delivers records to a node as if another node had sent them.
func sendRecords(n *node, records ...*pb.MemberRecord) {
	n.serve(methodExchange, &pb.MemberExchange{Records: records})
}

func TestStaleRecords(t *testing.T) {
	inCluster(t, 5, func(c *cluster, nodes []*node) {
		Convey("An old record of a dead member never makes it alive again, even after more than an hour", t, func() {
			nodes[2].list.SetDraining(true)
			nodes[2].list.SetDraining(false)
			old := ownRecord(nodes[2])
			old.Member.Revision += 5
			c.crash(nodes[2])
			rest := append(append([]*node{}, nodes[:2]...), nodes[3:]...)
			So(await(10*time.Second, func() bool { return allSeeStatus(rest, "a02", dead) }), ShouldBeGreaterThan, 0)
			for range 4 {
				sendRecords(nodes[4], old)
				time.Sleep(18 * time.Minute)
				So(allSeeStatus(rest, "a02", dead), ShouldBeTrue)
			}
		})
		Convey("Accusations of an earlier incarnation don't affect a restarted member", t, func() {
			restarted := c.start("a02", "a02:1", "region2", "a00:1")
			all := append(append([]*node{}, nodes[:2]...), append(nodes[3:], restarted)...)
			So(await(boundJoin, func() bool { return converged(all) }), ShouldBeGreaterThan, 0)
			accusation := ownRecord(restarted)
			accusation.Member.Incarnation--
			accusation.Liveness, accusation.Refutations = dead, 9
			for range 20 {
				sendRecords(nodes[4], accusation)
				nodes[4].list.Report("a02", accusation.Member.Incarnation, false)
				time.Sleep(100 * time.Millisecond)
				So(allSeeStatus(all, "a02", alive), ShouldBeTrue)
			}
			So(restarted.list.Stats().Refutations, ShouldEqual, 0)
		})
	})
}

func TestReplacementAtSameAddress(t *testing.T) {
	inCluster(t, 8, func(c *cluster, nodes []*node) {
		Convey("An instance is dead once another one runs at its address", t, func() {
			c.crash(nodes[3])
			other := c.start("b", "a03:1", "region0", "a00:1")
			rest := append(append([]*node{}, nodes[:3]...), append(nodes[4:], other)...)
			took := await(boundJoin, func() bool {
				return allSeeStatus(rest, "a03", dead) && allSeeStatus(rest, "b", alive)
			})
			So(took, ShouldBeGreaterThan, 0)
			So(await(boundJoin, func() bool { return converged(rest) }), ShouldBeGreaterThanOrEqualTo, 0)
		})
	})
}

func TestHourLongPartition(t *testing.T) {
	inCluster(t, 5, func(c *cluster, nodes []*node) {
		Convey("The two sides of an hour-long network partition converge again without the log", t, func() {
			c.log.setDown(true)
			c.setPartition(func(a, b *node) bool { return (a.region == "region0") != (b.region == "region0") })
			time.Sleep(time.Hour)
			So(nodes[0].status("a01"), ShouldEqual, dead)
			So(nodes[0].list.Health().Ready, ShouldBeTrue)
			c.setPartition(nil)
			took := await(30*time.Second, func() bool { return converged(nodes) })
			So(took, ShouldBeGreaterThan, 0)
			t.Log("converged after", took)
		})
	})
}

func TestPause(t *testing.T) {
	inCluster(t, 8, func(c *cluster, nodes []*node) {
		Convey("A node that resumes after a pause isn't ready until it has refreshed its view", t, func() {
			n := nodes[3]
			n.pause()
			time.Sleep(5 * time.Second)
			So(nodes[0].status("a03"), ShouldEqual, dead)
			c.crash(nodes[5])
			time.Sleep(5 * time.Second)
			So(n.list.Health().Reason, ShouldNotEqual, ReasonReady)
			n.resume()
			So(n.list.Health().Reason, ShouldNotEqual, ReasonReady)
			readyAt := await(10*time.Second, func() bool { return n.list.Health().Ready })
			So(readyAt, ShouldBeGreaterThan, 0)
			So(n.status("a05"), ShouldEqual, dead)
			So(n.list.Stats().Pauses, ShouldEqual, 1)
			rest := append(append([]*node{}, nodes[:5]...), nodes[6:]...)
			So(await(5*time.Second, func() bool { return converged(rest) }), ShouldBeGreaterThanOrEqualTo, 0)
		})
	})
}

func TestIsolation(t *testing.T) {
	inCluster(t, 8, func(c *cluster, nodes []*node) {
		Convey("A node cut off from all others and the log reports that it is isolated and accuses nobody", t, func() {
			c.log.setDown(true)
			c.setPartition(func(a, b *node) bool { return a == nodes[3] || b == nodes[3] })
			So(await(5*time.Second, func() bool { return !nodes[3].list.Health().Ready }), ShouldBeGreaterThan, 0)
			So(nodes[3].list.Health().Reason, ShouldEqual, ReasonIsolated)
			time.Sleep(time.Minute)
			So(nodes[3].status("a00"), ShouldEqual, alive)
			So(nodes[0].status("a03"), ShouldEqual, dead)
			c.setPartition(nil)
			So(await(30*time.Second, func() bool { return converged(nodes) }), ShouldBeGreaterThan, 0)
		})
	})
}

func TestStartWithoutPeers(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.close()
		Convey("A first node becomes ready when the log shows no other node, but not while the log is down", t, func() {
			c.log.setDown(true)
			first := c.start("a", "a:1", "region0", "b:1")
			time.Sleep(time.Minute)
			So(first.list.Health().Reason, ShouldEqual, ReasonJoining)
			c.log.setDown(false)
			So(await(10*time.Second, func() bool { return first.list.Health().Ready }), ShouldBeGreaterThanOrEqualTo, 0)
			time.Sleep(time.Minute)
			So(first.list.Health().Ready, ShouldBeTrue)
			Convey("A second node finds it through the log alone", func() {
				time.Sleep(DefaultJoinSpread)
				second := c.start("c", "c:1", "region0")
				So(await(boundJoin, func() bool { return converged([]*node{first, second}) }), ShouldBeGreaterThan, 0)
			})
		})
	})
	virtualtime.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.close()
		Convey("A fleet restarted as a whole at new addresses forms again through the log", t, func() {
			old := c.start("z", "z:1", "region0")
			time.Sleep(10 * time.Second)
			c.crash(old)
			var nodes []*node
			for _, name := range []string{"a", "b", "d"} {
				nodes = append(nodes, c.start(name, name+":1", "region0"))
			}
			So(await(2*time.Minute, func() bool { return converged(nodes) }), ShouldBeGreaterThan, 0)
		})
	})
}

// TestJoinRecords guards against a node that takes a side of a partition for the whole
// fleet, and against one that counts instances that were removed long ago.
func TestJoinRecords(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.close()
		Convey("Recent join records name the fleet as soon as the log could be read", t, func() {
			c.startMany(3)
			time.Sleep(2 * DefaultJoinSpread)
			c.crash(c.nodes["a02:1"])
			time.Sleep(recordedFor - 10*time.Minute)
			c.crash(c.nodes["a01:1"])
			c.log.setDown(true)
			n := c.start("z", "z:1", "region0")
			time.Sleep(time.Second)
			_, read := n.list.JoinRecords()
			So(read, ShouldBeFalse)
			c.log.mu.Lock()
			for i := range c.log.records {
				c.log.records[i].Time = time.Now() // as of a log that doesn't keep the time
			}
			c.log.mu.Unlock()
			c.log.setDown(false)
			time.Sleep(2 * firstReadRetryInterval)
			recorded, read := n.list.JoinRecords()
			So(read, ShouldBeTrue)
			So(recorded, ShouldHaveLength, 4)
			time.Sleep(20 * time.Minute)
			recorded, _ = n.list.JoinRecords()
			So(recorded, ShouldHaveLength, 3)
			So(recorded, ShouldNotContain, "a02")
		})
		// Guards against a fleet that waits after a loss of power for instances that were
		// stopped as planned.
		Convey("An instance that has left isn't counted by nodes that start later", t, func() {
			left := c.start("left", "left:1", "region0", "z:1")
			time.Sleep(2 * DefaultJoinSpread)
			left.list.Leave(t.Context())
			left.list.RecordLeave(t.Context())
			c.crash(left)
			n := c.start("later", "later:1", "region0")
			time.Sleep(time.Second)
			recorded, read := n.list.JoinRecords()
			So(read, ShouldBeTrue)
			So(recorded, ShouldContain, "z")
			So(recorded, ShouldNotContain, "left")
		})
	})
}

func TestNamesake(t *testing.T) {
	inCluster(t, 5, func(c *cluster, nodes []*node) {
		Convey("Of two processes that run as one instance, the one started earlier is superseded", t, func() {
			later := c.start("a03", "x:1", "region0", "a00:1")
			So(await(10*time.Second, func() bool { return nodes[3].list.Health().Reason == ReasonSuperseded }), ShouldBeGreaterThan, 0)
			So(await(boundJoin, func() bool { return later.list.Health().Ready }), ShouldBeGreaterThanOrEqualTo, 0)
			So(nodes[0].list.View().Get("a03").ControlAddress, ShouldEqual, "x:1")
		})
	})
}

func TestEqualIncarnation(t *testing.T) {
	inCluster(t, 5, func(c *cluster, nodes []*node) {
		Convey("A restart with the same incarnation as the earlier start still replaces it", t, func() {
			nodes[3].list.SetDraining(true)
			So(await(boundLeave, func() bool { return allSeeStatus(nodes, "a03", draining) }), ShouldBeGreaterThanOrEqualTo, 0)
			incarnation := nodes[3].list.Self().Incarnation
			c.crash(nodes[3])
			restarted := c.startAt(incarnation, "a03", "x:1", "region0", "a00:1")
			all := append(append([]*node{}, nodes[:3]...), nodes[4], restarted)
			So(await(2*boundJoin, func() bool { return converged(all) }), ShouldBeGreaterThan, 0)
		})
	})
}

func TestBroadcast(t *testing.T) {
	inCluster(t, 16, func(c *cluster, nodes []*node) {
		Convey("A payload reaches each node's subscribers exactly once, even with message loss", t, func() {
			c.setLoss(0.05)
			got := make(chan string, 100)
			for _, n := range nodes {
				n.list.Subscribe("quarantine", func(payload []byte) { got <- n.instance + string(payload) })
			}
			nodes[5].list.Broadcast("quarantine", []byte("x"))
			nodes[5].list.Broadcast("quarantine", make([]byte, MaxPayloadBytes+1))
			time.Sleep(2 * time.Second)
			So(len(got), ShouldEqual, len(nodes))
			time.Sleep(2 * maxRumorTTL)
			So(len(got), ShouldEqual, len(nodes))
			So(nodes[5].list.Stats().RumorsDropped, ShouldEqual, 1)
		})
	})
}

func TestDigests(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.close()
		Convey("Digests are exchanged in both directions of a round", t, func() {
			received := make(chan string, 1000)
			a, b := c.start("a", "a:1", "region0"), c.start("b", "b:1", "region0", "a:1")
			for _, n := range []*node{a, b} {
				n.list.AddDigest("config", func() []byte { return []byte(n.instance) }, func(addr string, digest []byte, _ time.Time) {
					received <- n.instance + " " + addr + " " + string(digest)
				})
			}
			time.Sleep(5 * time.Second)
			distinct := map[string]bool{}
			for len(received) > 0 {
				distinct[<-received] = true
			}
			So(distinct, ShouldResemble, map[string]bool{"a b:1 b": true, "b a:1 a": true})
		})
	})
}

func TestGossipStaysInItsShare(t *testing.T) {
	const minutes = 2
	inCluster(t, 8, func(c *cluster, nodes []*node) {
		time.Sleep(10 * time.Second) // until the start credit has expired
		before, _ := gossipTraffic(nodes[0])
		_, bytesBefore := gossipTraffic(nodes[0])
		// Every 10 ms, a rumor of the maximum size and a change of a member.
		for i := range minutes * 6000 {
			nodes[i%8].list.Broadcast("flood", make([]byte, MaxPayloadBytes))
			nodes[i%8].list.SetDraining(i%16 < 8)
			time.Sleep(10 * time.Millisecond)
		}
		Convey("A flood of rumors and changes doesn't exceed the gossip limits", t, func() {
			messages, bytes := gossipTraffic(nodes[0])
			So(float64(messages-before), ShouldBeLessThanOrEqualTo, (minutes*60+1)*DefaultGossipLimits.Messages)
			So(float64(bytes-bytesBefore), ShouldBeLessThanOrEqualTo, (minutes*60+1)*DefaultGossipLimits.Bytes)
			So(nodes[0].list.Stats().Skipped, ShouldBeGreaterThan, 0)
		})
		Convey("Afterwards the views converge again", t, func() {
			for _, n := range nodes {
				n.list.SetDraining(false)
			}
			So(await(30*time.Second, func() bool { return converged(nodes) }), ShouldBeGreaterThanOrEqualTo, 0)
		})
	})
}

// gossipTraffic returns the messages and bytes that a node's gossip has sent.
func gossipTraffic(n *node) (messages, bytes uint64) {
	for class := budget.ClassProbe; class <= budget.ClassLeave; class++ {
		m, b := n.list.GossipLimiter().Allowed(class)
		messages += m
		bytes += b
	}
	return messages, bytes
}

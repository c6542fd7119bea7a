package member

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
)

// startSyncs starts a node's syncs as a change does.
func startSyncs(n *node) {
	n.list.mu.Lock()
	defer n.list.mu.Unlock()
	n.list.startSync()
}

func isSyncing(n *node) bool {
	n.list.mu.Lock()
	defer n.list.mu.Unlock()
	return n.list.syncing
}

// withPair runs f with two nodes that know each other, the second one in region.
func withPair(t *testing.T, region string, f func(c *cluster, x, y *node)) {
	virtualtime.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.close()
		x, y := c.start("x", "x:1", "region0"), c.start("y", "y:1", region, "x:1")
		formed := await(20*time.Second, func() bool { return converged([]*node{x, y}) && !isSyncing(x) && !isSyncing(y) })
		Convey("The nodes know each other", t, func() { So(formed, ShouldBeGreaterThanOrEqualTo, 0) })
		f(c, x, y)
	})
}

// Guards against a lost message that stops a node's syncs for syncTimeout. After a common
// start with losses, a node that lost several in a row knew all members last.
func TestSyncAfterLostMessage(t *testing.T) {
	withPair(t, "region0", func(c *cluster, x, _ *node) {
		startSyncs(x)
		c.setLoss(1)
		time.Sleep(flushDelay + sameRegionDelay + time.Millisecond) // the first sync's message is lost
		c.setLoss(0)
		took := await(time.Second, func() bool { return !isSyncing(x) })
		Convey("The node has found equal tables before the lost call ends", t, func() {
			So(took, ShouldBeBetweenOrEqual, 0, syncTimeout)
		})
	})
}

// changeQuietly gives a node's own record a new revision that isn't pushed, and returns it.
func changeQuietly(n *node) uint64 {
	n.list.mu.Lock()
	defer n.list.mu.Unlock()
	own := proto.CloneOf(n.list.own().Member)
	own.Revision++
	n.list.table.set(n.list.table.entries[n.instance], &pb.MemberRecord{Member: own, Liveness: alive}, time.Now())
	return own.Revision
}

// Guards against syncs that end by a comparison with an older state of this node's table:
// a change that arrived meanwhile reached the other nodes only by their rounds.
func TestSyncAfterChangeDuringSync(t *testing.T) {
	for after := time.Duration(0); after < 200*time.Millisecond; after += 10 * time.Millisecond {
		withPair(t, "region1", func(_ *cluster, x, y *node) {
			startSyncs(x)
			time.Sleep(after)
			if !isSyncing(x) {
				return
			}
			revision := changeQuietly(x)
			ended := await(10*time.Second, func() bool { return !isSyncing(x) })
			Convey("When the syncs end, the other node knows the change made after "+after.String(), t, func() {
				So(ended, ShouldBeGreaterThanOrEqualTo, 0)
				So(y.list.View().Get("x").Revision, ShouldEqual, revision)
			})
		})
	}
}

// Guards against a node that a change hasn't reached when its syncs end and that learns of
// it only by a round, up to 240 ms later or more if that is lost.
func TestSyncConfirmed(t *testing.T) {
	for wait := time.Duration(0); wait < 200*time.Millisecond; wait += 20 * time.Millisecond {
		withPair(t, "region0", func(_ *cluster, x, y *node) {
			time.Sleep(wait)
			startSyncs(x)
			await(time.Second, func() bool { return !isSyncing(x) })
			revision := changeQuietly(y)
			took := await(time.Second, func() bool { return x.list.View().Get("y").Revision == revision })
			Convey("A change after the last sync is found soon, syncs started after "+wait.String(), t, func() {
				So(took, ShouldBeBetweenOrEqual, 0, confirmDelay+20*time.Millisecond)
			})
		})
	}
}

// Guards against syncs that follow each other without end while members don't answer, and
// take the budget of the checks that find them dead.
func TestSyncConfirmationFails(t *testing.T) {
	withPair(t, "region0", func(c *cluster, x, y *node) {
		startSyncs(x)
		await(time.Second, func() bool { return !isSyncing(x) })
		c.setPartition(func(a, b *node) bool { return a != b })
		again := await(time.Second, func() bool { return isSyncing(x) })
		Convey("A confirmation that gets no answer starts no syncs, but a check", t, func() {
			So(again, ShouldBeLessThan, 0)
			So(x.list.View().Get("y").Status, ShouldNotEqual, alive)
		})
	})
}

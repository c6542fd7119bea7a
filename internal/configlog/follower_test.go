package configlog

import (
	"context"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
	"github.com/egretfield/egretfield/internal/standin/memlog"
)

// inForceWithin is the documented time within which a change is in force on every node.
const inForceWithin = 8 * time.Second

func TestFollowerStarts(t *testing.T) {
	conveyFleet(t, "A node that reaches neither the log nor a peer isn't ready and gives the reason", memlog.Options{}, func(f *fleet) {
		f.log.SetFaults(&pb.LogFaults{Down: true})
		n := f.start("n0")
		time.Sleep(time.Minute)
		So(n.follower.Current(), ShouldBeNil)
		So(errkind.KindOf(n.follower.Ready()), ShouldEqual, pb.ErrorKind_ERROR_KIND_NOT_READY)
		So(n.follower.Ready().Error(), ShouldContainSubstring, "log is down")
	})
	conveyFleet(t, "A node on an empty stream reports that no configuration is published", memlog.Options{}, func(f *fleet) {
		n := f.start("n0")
		time.Sleep(time.Second)
		So(n.follower.Ready().Error(), ShouldContainSubstring, "no configuration is published yet")
	})
	conveyFleet(t, "A starting node doesn't act on versions that were replaced before it started", memlog.Options{}, func(f *fleet) {
		publisher := f.start("n0")
		version := int64(0)
		for depth := range uint32(3 * readBatch) {
			entry, err := f.submit(publisher, publishOf(version, testConfig(depth+1)))
			So(err, ShouldBeNil)
			version = entry.GetOffset()
		}
		n := f.start("n1")
		time.Sleep(5 * time.Second)
		So(n.versionsInForce(), ShouldResemble, []int64{version})
	})
	conveyFleet(t, "A node that starts during an outage of the log gets the state from its peers", memlog.Options{}, func(f *fleet) {
		nodes := f.startAll(3)
		entry, err := f.submit(nodes[0], publishOf(0, testConfig(1)))
		So(err, ShouldBeNil)
		_, ok := f.awaitAll(entry.GetOffset(), inForceWithin)
		So(ok, ShouldBeTrue)
		f.log.SetFaults(&pb.LogFaults{Down: true})
		n := f.start("n3")
		_, ok = f.awaitAll(entry.GetOffset(), inForceWithin)
		So(ok, ShouldBeTrue)
		So(n.follower.Status().GetSource(), ShouldEqual, sourcePeer)
		So(n.follower.Status().GetLogHealthy(), ShouldBeFalse)
	})
}

func TestFollowerSurvives(t *testing.T) {
	conveyFleet(t, "During an outage of the log no node goes back to an older version, and all catch up after it", memlog.Options{}, func(f *fleet) {
		nodes := f.startAll(3)
		first, err := f.submit(nodes[0], publishOf(0, testConfig(1)))
		So(err, ShouldBeNil)
		f.log.SetFaults(&pb.LogFaults{Down: true})
		time.Sleep(time.Hour)
		for _, n := range nodes {
			So(n.follower.Ready(), ShouldBeNil)
			So(n.follower.Current().GetVersion(), ShouldEqual, first.GetOffset())
		}
		f.log.SetFaults(&pb.LogFaults{})
		second, err := f.submit(nodes[1], publishOf(first.GetOffset(), testConfig(2)))
		So(err, ShouldBeNil)
		_, ok := f.awaitAll(second.GetOffset(), inForceWithin)
		So(ok, ShouldBeTrue)
		for _, n := range nodes {
			So(n.versionsInForce(), ShouldResemble, []int64{first.GetOffset(), second.GetOffset()})
		}
	})
	conveyFleet(t, "A node that can't reach the log follows its peers", memlog.Options{}, func(f *fleet) {
		f.log.SetFaults(&pb.LogFaults{DownFor: []string{"n1"}})
		nodes := f.startAll(3)
		for depth := range uint32(10) {
			base := nodes[0].follower.State().Version()
			entry, err := f.submit(nodes[0], publishOf(base, testConfig(depth+1)))
			So(err, ShouldBeNil)
			_, ok := f.awaitAll(entry.GetOffset(), inForceWithin)
			So(ok, ShouldBeTrue)
		}
		So(slices.IsSorted(nodes[1].versionsInForce()), ShouldBeTrue)
	})
	conveyFleet(t, "A node whose next record is trimmed restarts from a snapshot", memlog.Options{}, func(f *fleet) {
		nodes := f.startAll(2)
		first, err := f.submit(nodes[0], publishOf(0, testConfig(1)))
		So(err, ShouldBeNil)
		_, ok := f.awaitAll(first.GetOffset(), inForceWithin)
		So(ok, ShouldBeTrue)
		cutOff := func(from, to string) bool { return from == "n1" || to == "n1" }
		f.net.SetPartition(cutOff)
		f.log.SetFaults(&pb.LogFaults{DownFor: []string{"n1"}})
		second, err := f.submit(nodes[0], publishOf(first.GetOffset(), testConfig(2)))
		So(err, ShouldBeNil)
		NewSnapshotter("n0", f.log, nodes[0].follower, time.Hour).write(f.ctx)
		f.log.Trim(platformlog.ConfigStream, second.GetOffset()+1)
		So(nodes[1].follower.Current().GetVersion(), ShouldEqual, first.GetOffset())
		f.log.SetFaults(&pb.LogFaults{})
		_, ok = f.awaitAll(second.GetOffset(), inForceWithin)
		So(ok, ShouldBeTrue)
		So(statesEqual(nodes[1].follower.State(), nodes[0].follower.State()), ShouldBeTrue)
	})
	conveyFleet(t, "A node that is no reader gets changes from its peers within the limit", memlog.Options{}, func(f *fleet) {
		reader := f.start("n0")
		notReader := func(o *Options) { o.IsReader = func() bool { return false } }
		f.start("n1", notReader)
		f.start("n2", notReader)
		entry, err := f.submit(reader, publishOf(0, testConfig(1)))
		So(err, ShouldBeNil)
		_, ok := f.awaitAll(entry.GetOffset(), inForceWithin)
		So(ok, ShouldBeTrue)
	})
	conveyFleet(t, "SinceConfirmed grows while a node reaches neither the log nor a peer", memlog.Options{}, func(f *fleet) {
		n := f.start("n0")
		_, err := f.submit(n, publishOf(0, testConfig(1)))
		So(err, ShouldBeNil)
		f.log.SetFaults(&pb.LogFaults{Down: true})
		time.Sleep(time.Minute)
		So(n.follower.SinceConfirmed(), ShouldBeBetween, 55*time.Second, 65*time.Second)
	})
}

// staticPeer is a peer that answers pulls with a fixed reply.
type staticPeer struct{ reply *pb.ConfigPullReply }

// Pull implements the control call Config.Pull.
func (p *staticPeer) Pull(_ *pb.ConfigPull, reply *pb.ConfigPullReply) error {
	proto.Merge(reply, p.reply)
	return nil
}

func TestFollowerDistrusts(t *testing.T) {
	state := foldAll(publishOf(0, testConfig(1)))
	next := at(2, presetOf(1, "peak"))
	folded, _ := Fold(state, next)
	ahead := &pb.ConfigDigest{Version: 9, FoldedThrough: 9, Chain: 1}
	gap := at(4, presetOf(1, "peak"))
	for name, reply := range map[string]*pb.ConfigPullReply{
		"records with a gap":                     {Records: []*pb.StreamRecord{toStreamRecord(gap)}, Chain: folded.Chain, Digest: ahead},
		"records of another stream":              {Records: []*pb.StreamRecord{toStreamRecord(next)}, Chain: folded.Chain + 1, Digest: ahead},
		"an older snapshot":                      {Snapshot: Empty().Snapshot(), Digest: ahead},
		"an inconsistent snapshot":               {Snapshot: &pb.ConfigSnapshot{State: folded.Config, FoldedThrough: 1}, Digest: ahead},
		"a snapshot of the same offset":          {Snapshot: foldAll(publishOf(0, testConfig(9))).Snapshot(), Digest: ahead},
		"an empty reply of a peer that is ahead": {Digest: ahead},
	} {
		conveyFleet(t, "A follower ignores "+name, memlog.Options{}, func(f *fleet) {
			n := f.start("n0")
			n.follower.apply([]platformlog.Record{at(1, publishOf(0, testConfig(1)))}, sourceLog)
			before := n.follower.State()
			_ = f.net.At("liar").RegisterName(RPCName, &staticPeer{reply})
			n.follower.OnDigest("liar", ahead)
			time.Sleep(10 * time.Second)
			So(statesEqual(n.follower.State(), before), ShouldBeTrue)
		})
	}
	Convey("Digests with a different chain are counted as divergences", t, func() {
		f := NewFollower(Options{Name: "n0", Log: memlog.New(memlog.Options{})})
		f.apply([]platformlog.Record{at(1, publishOf(0, testConfig(1)))}, sourceLog)
		f.OnDigest("n1", f.Digest())
		So(f.Status().GetDivergences(), ShouldEqual, 0)
		f.OnDigest("n1", &pb.ConfigDigest{Version: 1, FoldedThrough: 1, Chain: 7})
		So(f.Status().GetDivergences(), ShouldEqual, 1)
	})
}

func TestSubscribe(t *testing.T) {
	Convey("A handler may call the follower and isn't called after it is cancelled", t, func() {
		f := NewFollower(Options{Name: "n0", Log: memlog.New(memlog.Options{})})
		var notified []int64
		cancel := f.Subscribe(func(state *pb.ConfigState) {
			notified = append(notified, f.Digest().GetVersion())
			_ = f.Ready()
		})
		f.startServing()
		f.apply([]platformlog.Record{at(1, publishOf(0, testConfig(1)))}, sourceLog)
		f.apply([]platformlog.Record{at(2, presetOf(0, "peak"))}, sourceLog)
		f.apply([]platformlog.Record{at(3, drainOf(1, "a", true))}, sourceLog)
		cancel()
		f.apply([]platformlog.Record{at(4, presetOf(1, "peak"))}, sourceLog)
		So(notified, ShouldResemble, []int64{1, 1})
		f.Subscribe(func(state *pb.ConfigState) { notified = append(notified, state.GetVersion()) })
		So(notified, ShouldResemble, []int64{1, 1, 4})
	})
}

func TestIsReader(t *testing.T) {
	Convey("All instances compute the same readers", t, func() {
		names := []string{"a", "b", "c", "d", "e"}
		count := 0
		for _, name := range names {
			if IsReader(name, names, 2) {
				count++
			}
		}
		So(count, ShouldEqual, 2)
		So(IsReader("z", nil, 1), ShouldBeTrue)
	})
}

func TestPublisher(t *testing.T) {
	conveyFleet(t, "A lost reply to an append is resolved by reading back, without a second record", memlog.Options{}, func(f *fleet) {
		n := f.start("n0")
		f.log.SetFaults(&pb.LogFaults{LoseAnswers: 1})
		entry, err := f.submit(n, publishOf(0, testConfig(1)))
		So(err, ShouldBeNil)
		So(entry.GetOffset(), ShouldEqual, 1)
		So(n.follower.State().FoldedThrough, ShouldEqual, 1)
	})
	conveyFleet(t, "A record stored twice is accepted once", memlog.Options{}, func(f *fleet) {
		n := f.start("n0")
		f.log.SetFaults(&pb.LogFaults{Duplicate: 1, LoseAnswers: 1})
		entry, err := f.submit(n, publishOf(0, testConfig(1)))
		So(err, ShouldBeNil)
		time.Sleep(time.Second)
		So(n.follower.State().FoldedThrough, ShouldEqual, 2)
		So(n.follower.Current().GetVersion(), ShouldEqual, entry.GetOffset())
	})
	conveyFleet(t, "Submitting again returns the first outcome, accepted or refused", memlog.Options{}, func(f *fleet) {
		n := f.start("n0")
		record, loser := publishOf(0, testConfig(1)), publishOf(0, testConfig(2))
		first, err := f.submit(n, record)
		So(err, ShouldBeNil)
		again, err := f.submit(n, record)
		So(err, ShouldBeNil)
		So(again.GetOffset(), ShouldEqual, first.GetOffset())
		for range 2 {
			entry, err := f.submit(n, loser)
			So(IsConflict(err), ShouldBeTrue)
			So(entry.GetWinner(), ShouldEqual, first.GetOffset())
		}
		So(n.follower.State().FoldedThrough, ShouldEqual, 2)
	})
	conveyFleet(t, "Of two concurrent changes exactly one is accepted, and the refusal names it as the winner", memlog.Options{}, func(f *fleet) {
		nodes := f.startAll(2)
		entries := make(chan *pb.AuditEntry, 2)
		for i, n := range nodes {
			go func() {
				entry, _ := f.submit(n, publishOf(0, testConfig(uint32(i)+1)))
				entries <- entry
			}()
		}
		one, other := <-entries, <-entries
		So(one.GetAccepted(), ShouldNotEqual, other.GetAccepted())
		So(one.GetWinner()+other.GetWinner(), ShouldEqual, 1)
	})
	conveyFleet(t, "During an outage a change is certainly not appended; if the append times out, its outcome is unknown", memlog.Options{}, func(f *fleet) {
		n := f.start("n0")
		f.log.SetFaults(&pb.LogFaults{Down: true})
		_, err := f.submit(n, publishOf(0, testConfig(1)))
		So(errkind.KindOf(err), ShouldEqual, kindLogUnavailable)
		f.log.SetFaults(&pb.LogFaults{SlowMs: 10_000})
		ctx, cancel := context.WithTimeout(f.ctx, 8*time.Second)
		defer cancel()
		record := publishOf(0, testConfig(1))
		_, err = n.publisher.Submit(ctx, record)
		So(errkind.KindOf(err), ShouldEqual, kindOutcomeUnknown)
		So(err.Error(), ShouldContainSubstring, record.GetId())
		f.log.SetFaults(&pb.LogFaults{})
		entry, err := f.submit(n, record)
		So(err, ShouldBeNil)
		So(entry.GetOffset(), ShouldEqual, 1)
	})
	conveyFleet(t, "An invalid change isn't appended at all", memlog.Options{}, func(f *fleet) {
		n := f.start("n0")
		_, err := f.submit(n, publishOf(0, &pb.Config{}))
		So(errkind.KindOf(err), ShouldEqual, invalid)
		bounds, _ := f.log.Bounds(f.ctx, platformlog.ConfigStream)
		So(bounds.Next, ShouldEqual, 1)
	})
}

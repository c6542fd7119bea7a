package configlog

import (
	"context"
	"fmt"
	"os"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/delay"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
	"github.com/egretfield/egretfield/internal/standin/memlog"
)

// One-way network delays within a region and between regions.
const (
	sameRegionDelay  = time.Millisecond
	crossRegionDelay = 20 * time.Millisecond
)

// remoteLog adds the network delay of a node to the reads of a log.
type remoteLog struct {
	platformlog.Log
	delay time.Duration
}

// Read implements platformlog.Log.
func (l remoteLog) Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) ([]platformlog.Record, error) {
	delay.Sleep(ctx, l.delay)
	defer delay.Sleep(ctx, l.delay)
	return l.Log.Read(ctx, stream, from, max, wait)
}

func regionOf(name string) string {
	return []string{"north", "central", "south"}[int(name[len(name)-1])%3]
}

func delayBetween(from, to string) time.Duration {
	if regionOf(from) == regionOf(to) {
		return sameRegionDelay
	}
	return crossRegionDelay
}

// measurePropagation starts count nodes, sets the faults of the log and returns, for
// each of several changes, the time from its submission until it is in force on the
// last node.
func measurePropagation(f *fleet, count int, faults func(names []string) *pb.LogFaults) (times []time.Duration, ok bool) {
	f.net.Delay = delayBetween
	var names []string
	for i := range count {
		name := fmt.Sprintf("n%d", i)
		names = append(names, name)
		f.start(name, func(o *Options) { o.Log = remoteLog{o.Log, delayBetween(name, "n0")} })
	}
	entry, err := f.submit(f.nodes["n0"], publishOf(0, testConfig(1)))
	if err != nil {
		return nil, false
	}
	f.awaitAll(entry.GetOffset(), time.Minute)
	f.log.SetFaults(faults(names))
	time.Sleep(10 * time.Second)
	for depth := range uint32(5) {
		started := time.Now()
		version := f.nodes["n0"].follower.State().Version()
		entry, err := f.submit(f.nodes["n0"], publishOf(version, testConfig(depth+2)))
		if err != nil {
			return nil, false
		}
		if _, ok := f.awaitAll(entry.GetOffset(), time.Minute); !ok {
			return times, false
		}
		times = append(times, time.Since(started).Round(10*time.Millisecond))
		time.Sleep(7 * time.Second)
	}
	return times, true
}

// TestPropagation checks that changes are in force on every node within
// inForceWithin. It prints the times with -v; EGRETFIELD_NODES sets the number of
// nodes.
func TestPropagation(t *testing.T) {
	count := 30
	if text := os.Getenv("EGRETFIELD_NODES"); text != "" {
		_, _ = fmt.Sscan(text, &count)
	}
	for _, test := range []struct {
		name   string
		faults func([]string) *pb.LogFaults
	}{
		{"healthy", func([]string) *pb.LogFaults { return &pb.LogFaults{} }},
		{"slowed by 1 s", func([]string) *pb.LogFaults { return &pb.LogFaults{SlowMs: 1000} }},
		{"down for the far half", func(names []string) *pb.LogFaults {
			return &pb.LogFaults{DownFor: names[len(names)/2:]}
		}},
		{"down for all but two", func(names []string) *pb.LogFaults {
			return &pb.LogFaults{DownFor: names[2:]}
		}},
	} {
		conveyFleet(t, "A change is in force on every node within the limit with the log "+test.name, memlog.Options{}, func(f *fleet) {
			times, ok := measurePropagation(f, count, test.faults)
			So(ok, ShouldBeTrue)
			t.Logf("%d nodes, log %s: times until in force on the last node %v", count, test.name, times)
			for _, took := range times {
				So(took, ShouldBeLessThanOrEqualTo, inForceWithin)
			}
		})
	}
}

// changesPerDay is the documented number of changes per day.
const changesPerDay = 1800

// appendsPerSecond is the rate of appends to the log that the configuration may use.
const appendsPerSecond = 10

func TestDay(t *testing.T) {
	options := memlog.Options{KeepFor: time.Hour}
	conveyFleet(t, "The changes and snapshots of a day stay below the append rate of the log, and the state outlives its retention", options, func(f *fleet) {
		f.gossipDisabled = true
		nodes := f.startAll(3)
		for _, n := range nodes {
			snapshotter := NewSnapshotter(n.name, f.log, n.follower, options.KeepFor)
			f.wg.Add(1)
			go func() {
				defer f.wg.Done()
				_ = snapshotter.Run(f.ctx)
			}()
		}
		version := int64(0)
		for change := range changesPerDay {
			entry, err := f.submit(nodes[change%3], publishOf(version, testConfig(uint32(change%60)+1)))
			So(err, ShouldBeNil)
			version = entry.GetOffset()
			time.Sleep(24 * time.Hour / changesPerDay)
		}
		bounds, err := f.log.Bounds(f.ctx, platformlog.ConfigStream)
		So(err, ShouldBeNil)
		snapshots := bounds.Next - 1 - changesPerDay
		t.Logf("%d appends in a day, %d of them snapshots; records kept: %d", bounds.Next-1, snapshots, bounds.Next-bounds.First)
		So(bounds.Next-1, ShouldBeLessThan, appendsPerSecond*86400)
		So(snapshots, ShouldBeBetween, 24, 24*snapshotsPerRetention*3)
		time.Sleep(6 * time.Hour)
		for _, n := range nodes {
			f.kill(n)
		}
		fresh := f.start("n9")
		time.Sleep(5 * time.Second)
		So(fresh.versionsInForce(), ShouldResemble, []int64{version})
	})
	Convey("Few of 660 nodes write the same snapshot", t, func() {
		for offset := range int64(20) {
			var delays []time.Duration
			first := time.Hour
			for i := range 660 {
				s := NewSnapshotter(fmt.Sprintf("instance-%d", i), nil, nil, time.Hour)
				delays = append(delays, s.delay(offset))
				first = min(first, s.delay(offset))
			}
			writers := 0
			for _, delay := range delays {
				if delay < first+2*time.Second {
					writers++
				}
			}
			So(writers, ShouldBeLessThanOrEqualTo, 5)
		}
	})
}

func TestStartOver(t *testing.T) {
	conveyFleet(t, "A stream starts over only if its first records are trimmed and no snapshot is kept", memlog.Options{}, func(f *fleet) {
		n := f.start("n0")
		first, err := f.submit(n, publishOf(0, testConfig(1)))
		So(err, ShouldBeNil)
		_, err = n.publisher.StartOver(f.ctx, publishOf(0, testConfig(2)))
		So(IsConflict(err), ShouldBeTrue)
		f.kill(n)
		f.log.Trim(platformlog.ConfigStream, first.GetOffset()+1)
		n = f.start("n0")
		time.Sleep(10 * time.Second)
		So(n.follower.Ready().Error(), ShouldContainSubstring, "no snapshot is kept")
		entry, err := n.publisher.StartOver(f.ctx, publishOf(0, testConfig(2)))
		So(err, ShouldBeNil)
		So(n.follower.Current().GetVersion(), ShouldEqual, entry.GetOffset())
		_, err = f.submit(n, presetOf(entry.GetOffset(), "peak"))
		So(err, ShouldBeNil)
	})
}

// dataCentres is the number of data centres in the tests with readers.
const dataCentres = 7

// twoReadersPerDataCentre makes a node a reader if it is one of two in its data centre,
// computed over the nodes of the fleet that run.
func twoReadersPerDataCentre(f *fleet, name string) func(*Options) {
	return func(o *Options) {
		o.IsReader = func() bool {
			var others []string
			for _, other := range f.others(name) {
				if dataCentreOf(other) == dataCentreOf(name) {
					others = append(others, other)
				}
			}
			return IsReader(name, others, 2)
		}
	}
}

func dataCentreOf(name string) int {
	number := 0
	_, _ = fmt.Sscanf(name, "n%d", &number)
	return number % dataCentres
}

// readers returns the names of the readers.
func readers(f *fleet) map[string]bool {
	names := map[string]bool{}
	for name, n := range f.nodes {
		if n.follower.isReader() {
			names[name] = true
		}
	}
	return names
}

// firstReader returns the first reader, or the first node if no reader is left.
func firstReader(f *fleet, readers map[string]bool, count int) *node {
	var first *node
	for i := range count {
		n := f.nodes[fmt.Sprintf("n%d", i)]
		if n != nil && readers[n.name] {
			return n
		}
		if first == nil {
			first = n
		}
	}
	return first
}

// measureChanges submits count changes through entry and returns the longest time from
// a submission until the change is in force on the last node. ok reports whether all
// of them came into force.
func measureChanges(f *fleet, entry *node, count int) (worst time.Duration, ok bool) {
	for depth := range uint32(count) {
		started := time.Now()
		done, err := f.submit(entry, publishOf(entry.follower.State().Version(), testConfig(depth+2)))
		if err != nil {
			return 0, false
		}
		if _, ok := f.awaitAll(done.GetOffset(), time.Minute); !ok {
			return time.Minute, false
		}
		worst = max(worst, time.Since(started))
		time.Sleep(3 * time.Second)
	}
	return worst, true
}

// TestPropagationByReaders checks the same limit when only two nodes of each data
// centre read the log, including when all of these are killed or cut off from the
// other nodes.
func TestPropagationByReaders(t *testing.T) {
	count := 30
	if text := os.Getenv("EGRETFIELD_NODES"); text != "" {
		_, _ = fmt.Sscan(text, &count)
	}
	for name, fault := range map[string]func(f *fleet, readers map[string]bool){
		"healthy":       func(*fleet, map[string]bool) {},
		"slowed by 1 s": func(f *fleet, _ map[string]bool) { f.log.SetFaults(&pb.LogFaults{SlowMs: 1000}) },
		"healthy and every reader killed": func(f *fleet, readers map[string]bool) {
			for name := range readers {
				f.kill(f.nodes[name])
			}
		},
		"healthy and every reader cut off from the other nodes without their noticing": func(f *fleet, readers map[string]bool) {
			f.net.SetPartition(func(from, to string) bool { return readers[from] || readers[to] })
		},
		"down for the far half": func(f *fleet, _ map[string]bool) {
			var far []string
			for i := count / 2; i < count; i++ {
				far = append(far, fmt.Sprintf("n%d", i))
			}
			f.log.SetFaults(&pb.LogFaults{DownFor: far})
		},
	} {
		conveyFleet(t, "With two readers per data centre, changes are in force on every node within the limit with the log "+name, memlog.Options{}, func(f *fleet) {
			for i := range count {
				name := fmt.Sprintf("n%d", i)
				f.start(name, twoReadersPerDataCentre(f, name))
			}
			_, ok := measureChanges(f, f.nodes["n0"], 1)
			So(ok, ShouldBeTrue)
			time.Sleep(10 * time.Second)
			before := readers(f)
			So(len(before), ShouldEqual, 2*dataCentres)
			fault(f, before)
			entry := firstReader(f, before, count)
			worst, ok := measureChanges(f, entry, 5)
			So(ok, ShouldBeTrue)
			t.Logf("%d nodes, log %s: longest time %v", count, name, worst)
			So(worst, ShouldBeLessThanOrEqualTo, inForceWithin)
		})
	}
}

func TestFewReadTheLog(t *testing.T) {
	conveyFleet(t, "Only the readers read the log while nothing changes", memlog.Options{}, func(f *fleet) {
		const count, length = 60, time.Minute
		var reads atomic.Int64
		for i := range count {
			name := fmt.Sprintf("n%d", i)
			f.start(name, twoReadersPerDataCentre(f, name), func(o *Options) { o.Log = countingLog{o.Log, &reads} })
		}
		_, ok := measureChanges(f, f.nodes["n0"], 1)
		So(ok, ShouldBeTrue)
		time.Sleep(10 * time.Second)
		before := reads.Load()
		time.Sleep(length)
		readCount := reads.Load() - before
		t.Logf("%d nodes: %.1f reads/s", count, float64(readCount)/length.Seconds())
		So(readCount, ShouldBeLessThanOrEqualTo, 2*dataCentres*(int64(length/defaultReadWait)+1))
	})
}

// countingLog counts the reads of a log.
type countingLog struct {
	platformlog.Log
	reads *atomic.Int64
}

// Read implements platformlog.Log.
func (l countingLog) Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) ([]platformlog.Record, error) {
	l.reads.Add(1)
	return l.Log.Read(ctx, stream, from, max, wait)
}

func TestAtEnd(t *testing.T) {
	Convey("A digest confirms the end of the log as of the request, and only if it fits the folded state", t, func() {
		f := NewFollower(Options{Name: "n0", Log: memlog.New(memlog.Options{})})
		f.apply([]platformlog.Record{at(1, publishOf(0, testConfig(1)))}, sourceLog)
		digest := f.Digest()
		So(digest.GetAtEndAgeMs(), ShouldEqual, 0)
		digest.AtEndAgeMs = 1000
		f.OnDigestReply(digest, time.Now().Add(-2*time.Second))
		So(f.staleness(), ShouldBeBetween, 2900*time.Millisecond, 10*time.Second)
		for _, other := range []*pb.ConfigDigest{
			{FoldedThrough: 2, AtEndAgeMs: 1},
			{FoldedThrough: 1, Chain: digest.GetChain() + 1, AtEndAgeMs: 1},
			{FoldedThrough: 1, Chain: digest.GetChain()},
		} {
			f.OnDigestReply(other, time.Now())
			So(f.staleness(), ShouldBeGreaterThan, 2900*time.Millisecond)
		}
	})
}

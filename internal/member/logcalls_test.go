package member

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
)

// keyedLog is a fakeLog that returns the newest record of each instance in one call. It
// counts the calls.
type keyedLog struct {
	*fakeLog
	newest, appends atomic.Int64
}

// Append implements platformlog.Log.
func (k *keyedLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	k.appends.Add(1)
	return k.fakeLog.Append(ctx, stream, data)
}

// Newest implements platformlog.KeyedLog.
func (k *keyedLog) Newest(context.Context, string) ([]platformlog.Record, platformlog.Bounds, error) {
	k.newest.Add(1)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		return nil, platformlog.Bounds{}, platformlog.ErrUnavailable
	}
	byKey := map[string]platformlog.Record{}
	for _, record := range k.records {
		byKey[joinedInstance(record)] = record
	}
	var newest []platformlog.Record
	for _, record := range k.records {
		if byKey[joinedInstance(record)].Offset == record.Offset {
			newest = append(newest, record)
		}
	}
	return newest, platformlog.Bounds{First: platformlog.FirstOffset, Next: platformlog.FirstOffset + int64(len(k.records))}, nil
}

// TestLogCalls counts the calls to a keyed log that a fleet makes while it starts as a
// whole, and again after all nodes were killed.
func TestLogCalls(t *testing.T) {
	const count = 60
	virtualtime.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.close()
		log := &keyedLog{fakeLog: c.log}
		c.keyed = log
		for _, start := range []string{"first start", "start after all nodes were killed"} {
			before := [2]int64{log.newest.Load(), log.appends.Load()}
			begun := time.Now()
			var nodes []*node
			for i := range count {
				name := fmt.Sprintf("a%02d", i)
				nodes = append(nodes, c.start(name, name+":1", fmt.Sprintf("region%d", i%3)))
				time.Sleep(5 * time.Millisecond)
			}
			took := await(20*time.Second, func() bool { return converged(nodes) })
			time.Sleep(time.Until(begun.Add(30 * time.Second)))
			reads, appends := log.newest.Load()-before[0], log.appends.Load()-before[1]
			t.Logf("%s: %d reads, %d appends, converged after %v", start, reads, appends, took)
			Convey("The "+start+" of a fleet takes few calls a node to the log", t, func() {
				So(took, ShouldBeBetween, 0, 6*time.Second)
				So(float64(reads+appends)/count, ShouldBeLessThanOrEqualTo, maxLogCallsPerStart)
			})
			for _, n := range nodes {
				c.crash(n)
			}
			time.Sleep(2 * time.Second)
		}
	})
}

// maxLogCallsPerStart is the number of calls to the member stream that a node may make in
// its first half minute: one record written, one read, and half a read for retries.
const maxLogCallsPerStart = 2.5

// joinedInstance returns the instance of a join record.
func joinedInstance(record platformlog.Record) string {
	join := &pb.JoinRecord{}
	if err := proto.Unmarshal(record.Data, join); err != nil {
		return ""
	}
	return join.GetMember().GetInstance()
}

// A node that starts after the log lost the join records of a running fleet must find it.
func TestJoinAfterLogLoss(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.close()
		log := &keyedLog{fakeLog: c.log}
		c.keyed = log
		var nodes []*node
		for i := range 6 {
			name := fmt.Sprintf("a%d", i)
			nodes = append(nodes, c.start(name, name+":1", "region"))
		}
		joined := await(20*time.Second, func() bool { return converged(nodes) })
		time.Sleep(5 * time.Second)
		log.mu.Lock()
		log.records = nil
		log.mu.Unlock()
		for _, n := range nodes {
			n.list.AppendJoin()
		}
		time.Sleep(DefaultJoinSpread + 2*logPollInterval)
		appends := log.appends.Load()
		fleet := append(nodes, c.start("b", "b:1", "region"))
		found := await(5*time.Second, func() bool { return converged(fleet) })
		time.Sleep(10 * time.Second)
		Convey("Every node appends its join record once, and the new one finds the fleet", t, func() {
			So(joined, ShouldBeGreaterThanOrEqualTo, 0)
			So(appends, ShouldEqual, 2*len(nodes))
			So(found, ShouldBeBetween, 0, 5*time.Second)
			So(log.appends.Load(), ShouldEqual, 2*len(nodes)+1)
		})
	})
}

// Guards against a node that has forgotten after a restart which backend servers
// deregistered with it (DRAIN).
func TestDeparturesInJoinRecord(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c := newCluster()
		defer c.close()
		c.keyed = &keyedLog{fakeLog: c.log}
		departures := []*pb.Departure{{ServerId: "s-1", StartedUnixMs: 5, DepartedUnixMs: 9}}
		Convey("The next start of a node gets the departures, and keeps them in its own join record", t, func() {
			first := c.start("a00", "a00:1", "region0")
			other := c.start("a01", "a01:1", "region1")
			So(first.list.RecordDepartures(context.Background(), departures), ShouldBeNil)
			for range 3 {
				time.Sleep(time.Minute)
				c.crash(first)
				restored := make(chan []*pb.Departure, 10)
				c.onDepartures = func(instance string, d []*pb.Departure) {
					if instance == "a00" {
						restored <- d
					}
				}
				first = c.start("a00", "a00:1", "region0")
				time.Sleep(10 * time.Second)
				So(restored, ShouldNotBeEmpty)
				So((<-restored)[0].GetServerId(), ShouldEqual, "s-1")
			}
			c.crash(other)
		})
		Convey("A departure that comes before the log was read doesn't replace those of the earlier start", t, func() {
			n := c.start("a03", "a03:1", "region0")
			So(n.list.RecordDepartures(context.Background(), departures), ShouldBeNil)
			time.Sleep(time.Minute)
			c.crash(n)
			n = c.start("a03", "a03:1", "region0")
			second := []*pb.Departure{{ServerId: "s-2", StartedUnixMs: 7, DepartedUnixMs: 11}}
			So(n.list.RecordDepartures(context.Background(), second), ShouldBeNil)
			c.crash(n)
			restored := make(chan []*pb.Departure, 10)
			c.onDepartures = func(_ string, d []*pb.Departure) { restored <- d }
			c.start("a03", "a03:1", "region0")
			time.Sleep(10 * time.Second)
			So(restored, ShouldNotBeEmpty)
			list := <-restored
			So(list, ShouldHaveLength, 2)
			So(list[0].GetServerId(), ShouldEqual, "s-1")
			So(list[1].GetServerId(), ShouldEqual, "s-2")
		})
		Convey("A failed append is reported", t, func() {
			n := c.start("a02", "a02:1", "region0")
			c.log.setDown(true)
			So(n.list.RecordDepartures(context.Background(), departures), ShouldNotBeNil)
		})
	})
}

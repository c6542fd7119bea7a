package once

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/once/keeper"
	"github.com/egretfield/egretfield/internal/once/shard"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
)

const fleetNodes = 660

// BenchmarkBeginFinish measures Begin and Finish when the entry's own node is
// the keeper.
func BenchmarkBeginFinish(b *testing.B) {
	c := newCluster(Options{}, noRetention)
	p := c.start("n0")
	defer c.stopAll()
	for p.m.Status().Shards < shard.Count {
		time.Sleep(10 * time.Millisecond)
	}
	ctx := context.Background()
	answer := yes("the answer of a small order")
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		key := keyAt("orders", time.Now(), uint64(i))
		decision, err := p.m.Begin(ctx, key, 1)
		if err != nil {
			b.Fatal(err)
		}
		if err := p.m.Finish(ctx, key, decision.Grant, answer); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkKeyMemory reports the heap use of a stored key with a small answer.
func BenchmarkKeyMemory(b *testing.B) {
	const keys = 20_000
	var perKey float64
	for b.Loop() {
		limits := &keeper.Limits{}
		limits.Keys.Store(keys)
		limits.Bytes.Store(1 << 30)
		now := time.Now()
		table := keeper.NewTable(0, shard.Interval{End: 1 << 60}, 0, limits)
		before := heapInUse()
		for i := range uint64(keys) {
			key, _ := shard.ParseKey("orders", keyValue(now, i))
			grant := keeper.GrantID{byte(i), byte(i >> 8), byte(i >> 16)}
			table.Begin(context.Background(), keeper.Request{Key: key, Grant: grant})
			answer := &pb.StoredAnswer{Status: 201, Body: make([]byte, 200)}
			table.Finish(key, grant, pb.RunState_RUN_STATE_YES, answer)
		}
		perKey = float64(heapInUse()-before) / keys
		b.ReportMetric(float64(table.Stats().Bytes)/keys, "counted-B/key")
	}
	b.ReportMetric(perKey, "heap-B/key")
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// fleetState returns a state in which the given number of nodes keep all
// shards.
func fleetState(nodes int) *shard.State {
	state := shard.NewState(platformlog.FirstOffset)
	for node := range nodes {
		takeover := &pb.KeeperTakeover{
			Session: &pb.KeeperSession{Id: uint64(node + 1), Instance: fmt.Sprintf("instance-%03d", node)},
			EndMs:   1000,
		}
		for id := node; id < shard.Count; id += nodes {
			takeover.Claims = append(takeover.Claims, &pb.KeeperClaim{Shard: uint32(id), BeginMs: 1})
		}
		state.Apply(recordOf(state.Folded()+1, &pb.KeeperRecord{Change: &pb.KeeperRecord_Takeover{Takeover: takeover}}))
	}
	return state
}

func recordOf(offset int64, record *pb.KeeperRecord) platformlog.Record {
	data, _ := proto.Marshal(record)
	return platformlog.Record{Offset: offset, Time: time.UnixMilli(offset), Data: data}
}

func renewalOf(node int, end uint64) *pb.KeeperRecord {
	return &pb.KeeperRecord{Change: &pb.KeeperRecord_Renewal{Renewal: &pb.KeeperRenewal{Session: uint64(node%fleetNodes + 1), EndMs: end}}}
}

// BenchmarkFoldRenewal measures applying one renewal in a fleet of 660 nodes.
func BenchmarkFoldRenewal(b *testing.B) {
	state := fleetState(fleetNodes)
	b.ReportAllocs()
	wire := 0
	for i := 0; b.Loop(); i++ {
		rec := recordOf(state.Folded()+1, renewalOf(i, uint64(2000+i)))
		state.Apply(rec)
		if wire == 0 {
			rec.Time = time.Now()
			encoded, _ := json.Marshal(rec)
			wire = len(encoded)
		}
	}
	b.ReportMetric(float64(wire), "json-B")
}

// BenchmarkSnapshot measures the time and size of a snapshot at 660 nodes.
func BenchmarkSnapshot(b *testing.B) {
	state := fleetState(fleetNodes)
	size := 0
	for b.Loop() {
		size = proto.Size(state.Snapshot())
	}
	b.ReportMetric(float64(size), "B")
}

// BenchmarkPlacement measures computing a new placement of 660 nodes.
func BenchmarkPlacement(b *testing.B) {
	var live []Member
	for node := range fleetNodes {
		live = append(live, Member{Instance: fmt.Sprintf("instance-%03d", node)})
	}
	for b.Loop() {
		newPlacement(live, nil)
	}
}

// BenchmarkPlacementChange measures updating the placement of 660 nodes when
// one member or a rack of 40 is lost or started.
func BenchmarkPlacementChange(b *testing.B) {
	all := newPlacement(members(fleetNodes), nil)
	for _, changed := range []int{1, 40} {
		fewer := newPlacement(members(fleetNodes-changed), nil)
		b.Run(fmt.Sprintf("lost-%d", changed), func(b *testing.B) {
			for b.Loop() {
				all.updated(members(fleetNodes-changed), nil)
			}
		})
		b.Run(fmt.Sprintf("started-%d", changed), func(b *testing.B) {
			for b.Loop() {
				fewer.updated(members(fleetNodes), nil)
			}
		})
	}
}

func members(count int) []Member {
	var live []Member
	for node := range count {
		live = append(live, Member{Instance: fmt.Sprintf("instance-%03d", node)})
	}
	return live
}

// BenchmarkIdleTick measures one scan of all shards.
func BenchmarkIdleTick(b *testing.B) {
	c := newCluster(Options{}, noRetention)
	p := &process{c: c, self: Member{Instance: "instance-000"}}
	m, err := NewManager(Options{Log: p, ControlClient: p, Members: p})
	if err != nil {
		b.Fatal(err)
	}
	var live []Member
	for node := range fleetNodes {
		live = append(live, Member{Instance: fmt.Sprintf("instance-%03d", node)})
	}
	m.placement.Store(newPlacement(live, nil))
	state := fleetState(fleetNodes)
	now := time.UnixMilli(500)
	vacant := make([]vacancy, shard.Count)
	for b.Loop() {
		scan := shardScan{vacant: vacant, live: m.liveSessions(state), now: now}
		for id := range uint32(shard.Count) {
			m.isClaimDue(state, id, scan)
		}
	}
}

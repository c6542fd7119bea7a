package once

import (
	"context"
	"testing"
	"time"

	"github.com/egretfield/egretfield/internal/once/shard"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
)

// A keeper that is frozen without notice is fenced. The timestamps that it may
// grant when it resumes end before those of its successor.
func TestFencedKeeperGrantsNoTimestampOfItsSuccessor(t *testing.T) {
	long := func() time.Duration { return 10 * time.Minute }
	runInCluster(t, 4, Options{Lease: long}, func(t *testing.T, c *cluster) {
		old := keyKeptBy(c, "n1")
		paused := c.get("n1")
		paused.pauser.freeze()
		time.Sleep(silenceLimit + rankDelay + 2*time.Second)
		parsed, _ := shard.ParseKey(old.Service, old.Value)
		fresh := newKeyInShard(parsed.Shard())
		if _, err := c.get("n0").m.Begin(context.Background(), fresh, 1); err != nil {
			t.Fatalf("the successor refused a key before the end of the old lease: %v", err)
		}
		// The paused keeper decides on the state that it had before it reads
		// on.
		id, _ := shard.ParseKey(fresh.Service, fresh.Value)
		args := &pb.KeyBegin{Service: fresh.Service, Key: id.ID[:], Grant: make([]byte, 16)}
		reply := &pb.KeyBeginReply{}
		paused.m.begin(context.Background(), args, reply)
		if reply.Verdict == pb.KeyVerdict_KEY_VERDICT_GRANTED {
			t.Fatal("the paused keeper granted a timestamp of its successor")
		}
		paused.pauser.resume()
		if _, err := paused.m.Begin(context.Background(), old, 1); err != nil {
			t.Fatalf("the keeper refused a timestamp of its own interval: %v", err)
		}
	})
}

// Only keys created within grantLead and one extension interval after a kill
// are lost with the keeper.
func TestKilledKeeperIsReplacedBeforeItsLeaseEnds(t *testing.T) {
	long := func() time.Duration { return 10 * time.Minute }
	runInCluster(t, 4, Options{Lease: long}, func(t *testing.T, c *cluster) {
		parsed, _ := shard.ParseKey("orders", keyKeptBy(c, "n1").Value)
		lost := parsed.Shard()
		c.kill("n1")
		killed := time.Now()
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			key := newKeyInShard(lost)
			if time.Since(killed) <= grantLead+extendInterval {
				continue
			}
			if _, err := c.get("n0").m.Begin(context.Background(), key, 1); err != nil {
				t.Fatalf("key created %v after the kill: %v", time.Since(killed), err)
			}
		}
	})
}

// Losing a witness delays requests to its sessions briefly but refuses none.
func TestKilledWitnessIsReplaced(t *testing.T) {
	runInCluster(t, 4, Options{}, func(t *testing.T, c *cluster) {
		keeper := c.get("n0")
		c.kill(keeper.m.bindings.last().to.Instance)
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			key := keyKeptBy(c, "n0")
			if _, err := keeper.m.Begin(context.Background(), key, 1); err != nil {
				t.Fatal(err)
			}
		}
		if now := keeper.m.bindings.last().to.Instance; c.get(now) == nil {
			t.Errorf("the witness is still %s, which was killed", now)
		}
	})
}

// As intervals may shrink, view must not pass on a state older than one passed
// on before.
func TestReplicaShowsNoOlderState(t *testing.T) {
	r := newReplica(nil)
	r.onApply = func() {}
	r.state = shard.NewState(1)
	r.apply([]platformlog.Record{{Offset: 1, Time: time.Now()}, {Offset: 2, Time: time.Now()}})
	if !r.view(func(*shard.State) {}) {
		t.Fatal("view doesn't show the state")
	}
	r.state = shard.NewState(1)
	r.apply([]platformlog.Record{{Offset: 1, Time: time.Now()}})
	if r.view(func(*shard.State) {}) {
		t.Error("view shows an older state")
	}
	r.apply([]platformlog.Record{{Offset: 2, Time: time.Now()}})
	if !r.view(func(*shard.State) {}) {
		t.Error("view doesn't show the state after it caught up")
	}
}

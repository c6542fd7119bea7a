package once

import (
	"context"
	"net/rpc"
	"testing"
	"time"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/once/shard"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
	"github.com/egretfield/egretfield/internal/standin/memlog"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
)

const testLease = 10 * time.Second

// noRetention keeps every record.
var noRetention = memlog.Options{}

// runInCluster runs fn with n nodes after all shards have been assigned.
func runInCluster(t *testing.T, n int, opts Options, fn func(t *testing.T, c *cluster)) {
	t.Helper()
	virtualtime.Test(t, func(t *testing.T) {
		if opts.Lease == nil {
			opts.Lease = func() time.Duration { return testLease }
		}
		c := newCluster(opts, memlog.Options{})
		defer c.end()
		defer c.heal()
		c.startAll(n)
		time.Sleep(30 * time.Second)
		fn(t, c)
	})
}

func yes(body string) Outcome {
	return Outcome{State: pb.RunState_RUN_STATE_YES, Answer: &pb.StoredAnswer{Status: 200, Body: []byte(body)}}
}

func wantKind(t *testing.T, err error, want pb.ErrorKind) {
	t.Helper()
	if err == nil || errkind.KindOf(err) != want {
		t.Fatalf("error %v, want kind %v", err, want)
	}
}

// keyKeptBy returns a new key whose keeper is the named instance.
func keyKeptBy(c *cluster, instance string) Key {
	for unique := uint64(1); ; unique++ {
		key := keyAt("orders", time.Now(), unique)
		if c.get(c.names()[0]).keeperOf(key) == instance {
			return key
		}
	}
}

func TestResendThroughAnotherNodeIsReplayed(t *testing.T) {
	runInCluster(t, 3, Options{}, func(t *testing.T, c *cluster) {
		ctx := context.Background()
		for unique := range uint64(20) {
			key := keyAt("orders", time.Now(), unique)
			first, err := c.get("n0").m.Begin(ctx, key, 7)
			if err != nil || first.Verdict != VerdictGranted {
				t.Fatalf("first send: %v %v", first, err)
			}
			if err := c.get("n0").m.Finish(ctx, key, first.Grant, yes("a")); err != nil {
				t.Fatal(err)
			}
			again, err := c.get("n2").m.Begin(ctx, key, 7)
			if err != nil || again.Verdict != VerdictReplay || string(again.Answer.Body) != "a" {
				t.Fatalf("resend: %v %v", again, err)
			}
			_, err = c.get("n1").m.Begin(ctx, key, 8)
			wantKind(t, err, pb.ErrorKind_ERROR_KIND_KEY_REUSED)
		}
	})
}

func TestReceiverFitsNetRPC(t *testing.T) {
	if err := rpc.NewServer().RegisterName(rpcName, &RPC{}); err != nil {
		t.Fatal(err)
	}
}

func TestResendWaitsForTheRunningOperation(t *testing.T) {
	runInCluster(t, 3, Options{}, func(t *testing.T, c *cluster) {
		ctx := context.Background()
		key := keyKeptBy(c, "n1")
		first, err := c.get("n0").m.Begin(ctx, key, 1)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			time.Sleep(4 * time.Second)
			_ = c.get("n0").m.Finish(ctx, key, first.Grant, yes("late"))
		}()
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err = c.get("n2").m.Begin(short, key, 1)
		wantKind(t, err, pb.ErrorKind_ERROR_KIND_KEY_IN_PROGRESS)
		again, err := c.get("n2").m.Begin(ctx, key, 1)
		if err != nil || string(again.Answer.GetBody()) != "late" {
			t.Fatalf("resend: %v %v", again, err)
		}
	})
}

func TestManyResendsWaitWithFewCalls(t *testing.T) {
	runInCluster(t, 3, Options{}, func(t *testing.T, c *cluster) {
		ctx := context.Background()
		key := keyKeptBy(c, "n1")
		first, err := c.get("n0").m.Begin(ctx, key, 1)
		if err != nil {
			t.Fatal(err)
		}
		replays := make(chan error, 100)
		for range cap(replays) {
			go func() {
				_, err := c.get("n2").m.Begin(ctx, key, 1)
				replays <- err
			}()
		}
		time.Sleep(time.Second)
		if waiting := c.get("n2").m.waiting.Load(); waiting > maxWaiting {
			t.Errorf("%d calls are waiting at the keeper, want at most %d", waiting, maxWaiting)
		}
		_ = c.get("n0").m.Finish(ctx, key, first.Grant, yes("once"))
		for range cap(replays) {
			if err := <-replays; err != nil {
				t.Errorf("a resend got %v", err)
			}
		}
	})
}

func TestGrantNeverFinishedIsUnknown(t *testing.T) {
	runInCluster(t, 3, Options{}, func(t *testing.T, c *cluster) {
		key := keyKeptBy(c, "n1")
		short, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if _, err := c.get("n0").m.Begin(short, key, 1); err != nil {
			t.Fatal(err)
		}
		time.Sleep(holdGrace + time.Second)
		_, err := c.get("n2").m.Begin(context.Background(), key, 1)
		wantKind(t, err, pb.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN)
	})
}

func TestKeeperPausedPastItsLeaseGrantsOnlyItsOwnTimestamps(t *testing.T) {
	runInCluster(t, 3, Options{}, func(t *testing.T, c *cluster) {
		old := keyKeptBy(c, "n1")
		paused := c.get("n1")
		paused.pauser.freeze()
		time.Sleep(4 * testLease)
		parsed, _ := shard.ParseKey(old.Service, old.Value)
		fresh := newKeyInShard(parsed.Shard())
		if _, err := c.get("n0").m.Begin(context.Background(), fresh, 1); err != nil {
			t.Fatalf("the successor refused: %v", err)
		}
		// The paused keeper decides on the state that it had before it reads
		// on.
		id, _ := shard.ParseKey(fresh.Service, fresh.Value)
		if table := paused.m.tables.find(id.Shard(), id.Timestamp()); table != nil {
			t.Fatal("the paused keeper would grant a timestamp of its successor")
		}
		paused.pauser.resume()
		if _, err := paused.m.Begin(context.Background(), old, 1); err != nil {
			t.Fatalf("the keeper refused a timestamp of its own interval: %v", err)
		}
	})
}

func newKeyInShard(id uint32) Key {
	for unique := uint64(1 << 20); ; unique++ {
		key := keyAt("orders", time.Now(), unique)
		parsed, _ := shard.ParseKey(key.Service, key.Value)
		if parsed.Shard() == id {
			return key
		}
	}
}

func TestKeyCreatedTooFarAheadIsCertifiedAsNotRun(t *testing.T) {
	runInCluster(t, 3, Options{}, func(t *testing.T, c *cluster) {
		key := keyAt("orders", time.Now().Add(time.Hour), 1)
		_, err := c.get("n0").m.Begin(context.Background(), key, 1)
		wantKind(t, err, pb.ErrorKind_ERROR_KIND_KEEPER_UNAVAILABLE)
		c.log.SetFaults(&pb.LogFaults{Down: true})
		_, err = c.get("n0").m.Begin(context.Background(), key, 1)
		wantKind(t, err, pb.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN)
	})
}

func TestRenewalsStayWithinTheLogsRate(t *testing.T) {
	runInCluster(t, 6, Options{}, func(t *testing.T, c *cluster) {
		before, _ := c.log.Bounds(context.Background(), platformlog.KeeperStream)
		time.Sleep(10 * testLease)
		after, _ := c.log.Bounds(context.Background(), platformlog.KeeperStream)
		appends := after.Next - before.Next
		// Each node renews three times per lease; 6 more allow for ticks and
		// one snapshot.
		if most := int64(6*renewalsPerLease*10 + 6); appends > most {
			t.Errorf("%d appends in ten leases of 6 nodes, want at most %d", appends, most)
		}
	})
}

func TestRenewPeriodAtTheTarget(t *testing.T) {
	m := &Manager{opts: Options{Lease: func() time.Duration { return testLease }}}
	live := make(map[string]Member)
	for i := range fleetNodes {
		live[nodeName(i)] = Member{}
	}
	m.placement.Store(&placement{live: live})
	if rate := fleetNodes / m.renewalPeriod().Seconds(); rate > maxRenewalsPerSecond {
		t.Errorf("%v renewals a second, want at most %v", rate, maxRenewalsPerSecond)
	}
	now := time.Now()
	if got := time.UnixMilli(int64(m.leaseEnd(now))).Sub(now); got < m.renewalPeriod() {
		t.Errorf("lease %v is shorter than its renewal period %v", got, m.renewalPeriod())
	}
}

// Guards against an answer that a keeper of an older build, which doesn't tell
// organisations apart, replays to another organisation.
func TestAnswersOfAKeeperOfAnOlderBuild(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c := newCluster(Options{Lease: func() time.Duration { return testLease }}, memlog.Options{})
		defer c.end()
		c.older["n1"] = true
		c.startAll(3)
		time.Sleep(30 * time.Second)
		ctx := context.Background()
		key := keyKeptBy(c, "n1")
		key.Scoped, key.Organisation = true, "a"
		first, err := c.get("n0").m.Begin(ctx, key, 7)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.get("n0").m.Finish(ctx, key, first.Grant, yes("a")); err != nil {
			t.Fatal(err)
		}
		again, err := c.get("n2").m.Begin(ctx, key, 7)
		if err != nil || string(again.Answer.GetBody()) != "a" {
			t.Errorf("resend: %v %v", again, err)
		}
		_, err = c.get("n2").m.Begin(ctx, key, 8)
		wantKind(t, err, pb.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN)
		for _, other := range []Key{{Scoped: true, Organisation: "b"}, {Scoped: true}, {}} {
			other.Service, other.Value = key.Service, key.Value
			_, err := c.get("n2").m.Begin(ctx, other, 7)
			wantKind(t, err, pb.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN)
		}
	})
}

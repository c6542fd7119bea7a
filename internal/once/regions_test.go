package once

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/egretfield/egretfield/internal/once/shard"
	"github.com/egretfield/egretfield/internal/standin/memlog"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
)

// keepersOf returns the sorted instances that keep shards according to the
// node's state.
func keepersOf(p *process) []string {
	var keepers []string
	p.m.replica.view(func(state *shard.State) {
		for id := range uint32(shard.Count) {
			owner, _ := state.Session(state.Current(id).Owner)
			keepers = append(keepers, owner.Instance)
		}
	})
	slices.Sort(keepers)
	return slices.Compact(keepers)
}

func wantKeepers(t *testing.T, p *process, want ...string) {
	t.Helper()
	if got := keepersOf(p); !slices.Equal(got, want) {
		t.Errorf("the keepers are %v, want %v", got, want)
	}
}

// The keepers stay in the configured regions while an instance is live there,
// and return to them afterwards.
func TestKeepersStayInTheRegionsNamed(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		opts := Options{Regions: []string{"north"}, Lease: func() time.Duration { return testLease }}
		c := newCluster(opts, memlog.Options{})
		c.regions = map[string]string{"n0": "north", "n1": "north", "n2": "south", "n3": "south"}
		defer c.end()
		c.startAll(4)
		time.Sleep(30 * time.Second)
		far := c.get("n2")
		wantKeepers(t, far, "n0", "n1")

		c.kill("n1")
		time.Sleep(2 * testLease)
		wantKeepers(t, far, "n0")

		c.kill("n0")
		time.Sleep(2 * testLease)
		wantKeepers(t, far, "n2", "n3")
		if _, err := far.m.Begin(context.Background(), keyAt("orders", time.Now(), 1), 1); err != nil {
			t.Errorf("with no instance live in the region: %v", err)
		}

		back := sendOrders(c, false, 30*time.Second, func() { c.start("n0") })
		if back.servedPercent() < 100 {
			t.Errorf("while the shards returned to the region: %v", back)
		}
		wantKeepers(t, far, "n0")
	})
}

package once

import (
	"sync"
	"testing"
	"time"

	"github.com/egretfield/egretfield/internal/standin/memlog"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
)

// A new fleet serves every order once its nodes have read the log: orders wait
// for the first keepers and for shards that are handed over.
func TestNewFleetServesFromItsStart(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		const nodes, length, orderInterval = 4, 20 * time.Second, 20 * time.Millisecond
		c := newCluster(Options{Lease: func() time.Duration { return testLease }}, memlog.Options{})
		defer c.end()
		c.startAll(nodes)
		for !c.get(nodeName(0)).m.Status().Known {
			time.Sleep(time.Millisecond)
		}
		s := &results{}
		startedAt := time.Now()
		var sending sync.WaitGroup
		for i := 0; time.Since(startedAt) < length; i++ {
			key := keyAt("orders", time.Now(), uint64(i))
			sending.Go(func() { s.sendOrder(c.runningNode(i), key, startedAt) })
			time.Sleep(orderInterval)
		}
		sending.Wait()
		if s.notRun+s.unknown > 0 {
			t.Error(s)
		}
	})
}

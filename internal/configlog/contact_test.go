package configlog

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/platformlog"
	"github.com/egretfield/egretfield/internal/standin/memlog"
)

// countedLog counts the reads of a log.
type countedLog struct {
	platformlog.Log
	reads *atomic.Int64
}

// Read implements platformlog.Log.
func (l countedLog) Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) ([]platformlog.Record, error) {
	l.reads.Add(1)
	return l.Log.Read(ctx, stream, from, max, wait)
}

// Guards against a node that acts by an older version because its path to the other nodes
// is cut, although the log is in its reach (CONFIG). EGRETFIELD_SCHEDULES sets the number of
// random schedules.
func TestNodesCutOffFollowTheLog(t *testing.T) {
	const (
		nodes = 40
		// limit is the shortest time in which the platform's pages want a change in force.
		limit = 2500 * time.Millisecond
		wait  = 25 * time.Second // as on the platform
	)
	schedules := uint64(4)
	if text := os.Getenv("EGRETFIELD_SCHEDULES"); text != "" {
		_, _ = fmt.Sscan(text, &schedules)
	}
	for seed := range schedules {
		conveyFleet(t, fmt.Sprintf("Nodes that no peer reaches have each change in force in time, cuts of seed %d", seed), memlog.Options{}, func(f *fleet) {
			random := rand.New(rand.NewPCG(seed, 1))
			var reads atomic.Int64
			var all []*node
			for i := range nodes {
				name := fmt.Sprintf("n%d", i)
				all = append(all, f.start(name, twoReadersPerDataCentre(f, name), func(o *Options) {
					o.Log, o.ReadWait, o.StaleAfter = countedLog{o.Log, &reads}, wait, wait
				}))
			}
			first, err := f.submit(all[0], publishOf(0, testConfig(1)))
			So(err, ShouldBeNil)
			_, ok := f.awaitAll(first.GetOffset(), time.Minute)
			So(ok, ShouldBeTrue)
			time.Sleep(5 * time.Second)
			calm := reads.Load()
			time.Sleep(10 * time.Second)
			calm = reads.Load() - calm

			isCut := map[string]bool{}
			for len(isCut) < nodes/3 {
				isCut[fmt.Sprintf("n%d", random.IntN(nodes-1)+1)] = true
			}
			f.net.SetPartition(func(from, to string) bool { return isCut[from] || isCut[to] })
			before, version, slowest := reads.Load(), first.GetOffset(), time.Duration(0)
			for change := range uint32(5) {
				time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
				entry, err := f.submit(all[0], publishOf(version, testConfig(change+2)))
				So(err, ShouldBeNil)
				version = entry.GetOffset()
				took, ok := f.awaitAll(version, limit)
				So(ok, ShouldBeTrue)
				slowest = max(slowest, took)
			}
			// Each change ends the waiting reads, and each is read once more without a wait.
			So(reads.Load()-before, ShouldBeLessThan, 5*3*nodes)
			t.Logf("slowest %v, %d reads in 10 calm seconds, %d with 5 changes and %d of %d nodes cut off", slowest, calm, reads.Load()-before, len(isCut), nodes)
		})
	}
}

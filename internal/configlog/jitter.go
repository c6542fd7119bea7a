package configlog

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// jitter randomizes waits, so that nodes don't act in step. Safe for concurrent use.
type jitter struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newJitter(name string) *jitter {
	seed := uint64(time.Now().UnixNano())
	return &jitter{random: rand.New(rand.NewPCG(xxhash.Sum64String(name), seed))}
}

// spread returns a random wait of at least half of d and less than d.
func (j *jitter) spread(d time.Duration) time.Duration {
	return d/2 + time.Duration(j.intN(int(d/2)))
}

// intN returns a random number in [0, n). n must be positive.
func (j *jitter) intN(n int) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.random.IntN(n)
}

package configlog

import (
	"context"
	"math"
	"time"

	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// staleAfter is the age of the last news of the log's end past which a node
	// that leaves the log to peers reads it itself.
	staleAfter = 4 * time.Second
	// staleSpread spreads the reads of nodes that lost their readers together.
	staleSpread = 500 * time.Millisecond
	// waitProof is how long ago the connection of a read that waits was alive for
	// sure: clients of the log probe it within that time.
	waitProof = 3 * time.Second
	// turnCheck is how often such a node looks whether it became a reader.
	turnCheck = time.Second
)

// awaitTurn returns when this node should read the log: at once when it reads
// directly or the last read failed, otherwise when no peer has known the end of
// the log for a while. It returns false when ctx ends.
func (f *Follower) awaitTurn(ctx context.Context) bool {
	limit := f.staleAfter() + f.jitter.of(staleSpread)
	for ctx.Err() == nil {
		left := limit - f.staleness()
		if f.direct() || !f.logHealthy() || left <= 0 {
			return true
		}
		timer := time.NewTimer(min(left, turnCheck))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-f.hurry:
			timer.Stop()
			return true
		}
		timer.Stop()
	}
	return false
}

// staleAfter is the age of the last news of the log's end past which this node
// reads the log itself.
func (f *Follower) staleAfter() time.Duration {
	return max(staleAfter, f.options.StaleAfter)
}

// readSoon makes a node that leaves the log to peers read it now.
func (f *Follower) readSoon() {
	select {
	case f.hurry <- struct{}{}:
	default:
	}
}

// staleness is the time since the folded state was known to be the log's end.
func (f *Follower) staleness() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.atEnd)
}

// endSeen returns the time at which a read that was sent at started surely had
// the log's last record: a log that waited in vain still had nothing newer after
// the wait.
func endSeen(started time.Time, records int, wait time.Duration) time.Time {
	waited := started.Add(wait)
	if records == 0 && !time.Now().Before(waited) {
		return waited
	}
	return started
}

// noteAtEnd remembers that the folded state was the log's end at that time.
func (f *Follower) noteAtEnd(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.atEnd) {
		f.atEnd = at
	}
}

// atEndAgeMs is the age that goes into a digest. While a read waits for a record
// the log has none, as far as the connection is known to be alive. The caller holds
// mu.
func (f *Follower) atEndAgeMs(now time.Time) uint32 {
	if f.atEnd.IsZero() {
		return 0
	}
	elapsed := now.Sub(f.atEnd)
	if f.waiting {
		elapsed = min(elapsed, waitProof)
	}
	age := elapsed.Milliseconds() + 1
	return uint32(min(max(age, 1), math.MaxUint32))
}

// OnAnswer takes a peer's news of the log's end. The digest was made after asked,
// so its age is counted from there; a digest that came unasked may have lain in a
// buffer for any time and proves nothing.
func (f *Follower) OnAnswer(digest *pb.ConfigDigest, asked time.Time) {
	if digest.GetAtEndAgeMs() == 0 {
		return
	}
	own := f.State()
	behind := digest.GetFoldedThrough() > own.FoldedThrough
	differs := digest.GetFoldedThrough() == own.FoldedThrough && digest.GetChain() != own.Chain
	if behind || differs {
		return
	}
	f.noteAtEnd(asked.Add(-time.Duration(digest.GetAtEndAgeMs()) * time.Millisecond))
}

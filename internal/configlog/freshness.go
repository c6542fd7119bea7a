package configlog

import (
	"context"
	"math"
	"time"

	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// minStaleAfter is the minimum of Options.StaleAfter.
	minStaleAfter = 4 * time.Second
	// staleJitter spreads the reads of nodes that lost their readers at the same
	// time.
	staleJitter = 500 * time.Millisecond
	// maxWaitingReadAge is the greatest time since the connection of a waiting read
	// was known to be alive: clients of the log probe it within that time.
	maxWaitingReadAge = 3 * time.Second
	// readerCheckInterval is how often a node that is no reader checks whether it
	// has become one.
	readerCheckInterval = time.Second
	// contactTimeout is the time without an answer of any peer after which a node that is
	// no reader reads the log as one: its readers may know a change that it can't learn.
	// It leaves most of the time in which a change must be in force to the read.
	contactTimeout = time.Second
	// contactJitter spreads the reads of nodes that lose their peers at the same time.
	contactJitter = 200 * time.Millisecond
	// confirmLead is how long before a read of its own a node that is no reader starts
	// to ask peers how recently they knew the end of the log, and confirmInterval the
	// time between two such questions.
	confirmLead     = time.Second
	confirmInterval = 250 * time.Millisecond
)

// followsLog reports whether this node reads the log as soon as it changes: it is a reader,
// or no peer can tell it of a change.
func (f *Follower) followsLog() bool { return f.isReader() || f.contactLeft() <= 0 }

// contactLeft returns the time until this node follows the log unless a peer answers. A
// node that no peer has answered yet isn't concerned: it reads the log as it starts.
func (f *Follower) contactLeft() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastContact.IsZero() {
		return math.MaxInt64
	}
	return contactTimeout + f.contactSpread - time.Since(f.lastContact)
}

// recordContact records that a peer answered a question asked at that time.
func (f *Follower) recordContact(asked time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if asked.After(f.lastContact) {
		if time.Since(f.lastContact) > contactTimeout {
			f.contactSpread = f.jitter.spread(contactJitter)
		}
		f.lastContact = asked
	}
}

// awaitReadDue waits until this node should read the log: at once if it follows the log or
// the last read failed, otherwise when a read is requested or no peer has confirmed
// the end of the log for staleAfter. It returns false when ctx ends.
func (f *Follower) awaitReadDue(ctx context.Context) bool {
	limit := f.staleAfter() + f.jitter.spread(staleJitter)
	for ctx.Err() == nil {
		left := limit - f.staleness()
		if f.followsLog() || !f.logHealthy() || left <= 0 {
			return true
		}
		wait := min(left, readerCheckInterval, f.contactLeft())
		if left <= confirmLead {
			f.askPeer(ctx)
			wait = min(left, confirmInterval)
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-f.readRequested:
			timer.Stop()
			return true
		}
		timer.Stop()
	}
	return false
}

// askPeer asks a random peer for its digest. Digests come with gossip as well, but by
// chance none may confirm the end of the log for some time.
func (f *Follower) askPeer(ctx context.Context) {
	if f.options.ControlClient == nil {
		return
	}
	addr := f.randomPeer()
	if addr == "" {
		return
	}
	asked := time.Now()
	reply, err := f.callPull(ctx, addr, f.State())
	if err != nil {
		f.metrics.pullFailed()
		return
	}
	f.OnDigest(addr, reply.GetDigest())
	f.OnDigestReply(reply.GetDigest(), asked)
}

// staleAfter returns the staleness from which a node that is no reader reads the log
// itself.
func (f *Follower) staleAfter() time.Duration {
	return max(minStaleAfter, f.options.StaleAfter)
}

// requestRead makes a node that is no reader read the log now.
func (f *Follower) requestRead() {
	select {
	case f.readRequested <- struct{}{}:
	default:
	}
}

// staleness returns the time since the folded state was last known to reach the end
// of the log.
func (f *Follower) staleness() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.lastAtEnd)
}

// endKnownAt returns the latest time at which a read that was sent at started is known
// to have reached the end of the log: the start of the read, or the end of its wait
// if the log had nothing newer by then.
func endKnownAt(started time.Time, records int, wait time.Duration) time.Time {
	waited := started.Add(wait)
	if records == 0 && !time.Now().Before(waited) {
		return waited
	}
	return started
}

// recordAtEnd records that the folded state reached the end of the log at that time.
func (f *Follower) recordAtEnd(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.lastAtEnd) {
		f.lastAtEnd = at
	}
}

// atEndAgeMs returns the time since the folded state was known to reach the end of the
// log, for a digest; 0 if it never was. While a read waits for a record, the log has
// none as long as the connection is alive, so the age is at most maxWaitingReadAge.
// The caller holds f.mu.
func (f *Follower) atEndAgeMs(now time.Time) uint32 {
	if f.lastAtEnd.IsZero() {
		return 0
	}
	elapsed := now.Sub(f.lastAtEnd)
	if f.readWaiting {
		elapsed = min(elapsed, maxWaitingReadAge)
	}
	age := elapsed.Milliseconds() + 1
	return uint32(min(max(age, 1), math.MaxUint32))
}

// OnDigestReply handles a digest that a peer sent in reply to a request made at
// requestedAt: if it fits the folded state, its age of the end of the log is adopted.
// The digest was made after the request, so its age counts from requestedAt. A digest
// that was not requested must not be passed: it may have been in a buffer for any time
// and proves nothing.
func (f *Follower) OnDigestReply(digest *pb.ConfigDigest, requestedAt time.Time) {
	f.recordContact(requestedAt)
	if digest.GetAtEndAgeMs() == 0 {
		return
	}
	if own := f.State(); isAhead(digest, own) || divergesFrom(digest, own) {
		return
	}
	f.recordAtEnd(requestedAt.Add(-time.Duration(digest.GetAtEndAgeMs()) * time.Millisecond))
}

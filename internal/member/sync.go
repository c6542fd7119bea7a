package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/egretfield/egretfield/internal/budget"
	"github.com/egretfield/egretfield/internal/pb"
)

// bulkDetector detects that many members change at the same time, as after a common
// start. It isn't safe for concurrent use.
type bulkDetector struct {
	// recent holds the times of the latest changes, the oldest at next.
	recent [bulkChanges]time.Time
	next   int
}

// add records a change and reports whether more than bulkChanges changed within
// bulkWindow.
func (d *bulkDetector) add(now time.Time) bool {
	oldest := d.recent[d.next]
	d.recent[d.next] = now
	d.next = (d.next + 1) % bulkChanges
	return now.Sub(oldest) < bulkWindow
}

// spreadsBySync reports whether the change of instance is left to syncs: while many
// members change, and on a node that hasn't joined and so may lack most members. This node's own
// changes, and accusations, refutations, drains and departures, are always pushed. The
// caller holds mu.
func (l *List) spreadsBySync(instance string, now time.Time) bool {
	r := l.table.entries[instance].record
	if instance == l.opts.Member.Instance || r.Liveness != alive || r.Refutations > 0 || r.Member.Status != alive {
		return false
	}
	return l.bulk.add(now) || !l.health.joined
}

// startSync schedules syncs with other nodes unless they are running. The caller holds
// mu.
func (l *List) startSync() {
	if l.syncing || !l.started {
		return
	}
	l.syncing = true
	l.after(flushDelay, l.syncUntilEqual)
}

// syncUntilEqual syncs with one random member after the other until equalSyncs tables in
// succession were equal to this node's, which hasn't changed since. While syncs transfer
// few records, the pauses between them grow. After nextSyncDelay without a result the next
// member is asked meanwhile: one lost message would otherwise stop this node's syncs for
// syncTimeout.
func (l *List) syncUntilEqual() {
	results := make(chan syncResult, maxRunningSyncs)
	equal, failed, running := 0, 0, 0
	var equalHash uint64
	interval := syncInterval
	for {
		partner := l.nextSyncPartner(equal, equalHash, failed)
		if partner == nil {
			return
		}
		l.spawn(func() { results <- l.sync(partner) })
		running++
		result, ok := l.awaitSync(results, running)
		if !ok {
			continue
		}
		running--
		switch {
		case result.refused:
			interval = roundInterval
		case result.failed:
			failed++
		case result.differed:
			equal, failed = 0, 0
		case result.hash != equalHash:
			equal, failed, equalHash = 1, 0, result.hash
		default:
			equal++
			failed = 0
		}
		switch {
		case result.transferred > fewRecords:
			interval = syncInterval
		case !result.failed:
			interval = min(2*interval, maxSyncInterval)
		}
		l.mu.Lock()
		wait := l.jitter(interval)
		l.mu.Unlock()
		if !l.sleep(wait) {
			return
		}
	}
}

// nextSyncPartner returns the member to sync with next, or nil if the syncs have ended:
// equalSyncs tables were equal to this node's, which still has the hash that it had then,
// or failedSyncs members in succession didn't answer, or no member is reachable.
func (l *List) nextSyncPartner(equal int, equalHash uint64, failed int) *pb.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	if (equal < equalSyncs || equalHash != l.table.hash) && failed < failedSyncs {
		if partner := l.partners.pickForSync(l.rand); partner != nil {
			return partner
		}
	}
	l.syncing = false
	if !l.confirmScheduled {
		l.confirmScheduled = true
		l.after(confirmDelay, l.confirmEqual)
	}
	return nil
}

// confirmEqual compares the table with another node's once more after the syncs have ended,
// and syncs again if they differ. The last few nodes that a change hasn't reached may end
// their syncs by comparing with each other, when those that know it have ended theirs. It
// replaces a round, so that it costs no message more.
func (l *List) confirmEqual() {
	l.mu.Lock()
	l.confirmScheduled = false
	partner := l.partners.pickForSync(l.rand)
	if partner == nil || l.syncing {
		l.mu.Unlock()
		return
	}
	l.mu.Unlock()
	result := l.sync(partner)
	switch {
	case result.refused:
		return
	case result.failed:
		// The next round isn't replaced, and no syncs follow: while several members don't
		// answer, they would follow each other and take the budget of the checks.
		l.Report(partner.Instance, partner.Incarnation, false)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.skipRound = true
	if result.differed {
		l.startSync()
	}
}

// awaitSync waits for a result of the running syncs. It reports false if there is none
// within nextSyncDelay and another sync may run.
func (l *List) awaitSync(results <-chan syncResult, running int) (result syncResult, ok bool) {
	timer := time.NewTimer(nextSyncDelay)
	defer timer.Stop()
	late := timer.C
	if running >= maxRunningSyncs {
		late = nil
	}
	select {
	case result = <-results:
		return result, true
	case <-late:
		return result, false
	case <-l.ctx.Done():
		return syncResult{failed: true}, true
	}
}

// syncResult is the result of a sync.
type syncResult struct {
	// refused reports whether the budget refused the first message, and failed whether
	// the node didn't answer.
	refused, failed bool
	// differed reports whether the tables differed, and transferred is the number of
	// records sent and received.
	differed    bool
	transferred int
	// hash is that of this node's table when the sync began.
	hash uint64
}

// sync exchanges all differences with a member. A small table's keys are sent at once,
// so that the reply has what this node lacks; of a larger one, only those of buckets
// that differ. A last call sends what the member lacks.
func (l *List) sync(partner *pb.Member) syncResult {
	request, stage := l.newSyncRequest()
	if !l.allow(budget.ClassGossip, request) {
		l.stats.skipped.Add(1)
		return syncResult{refused: true}
	}
	return l.runSync(partner.ControlAddress, partner, request, stage)
}

// runSync sends a request that the budget has allowed and continues the sync from that
// stage.
func (l *List) runSync(addr string, expected *pb.Member, request *pb.MemberExchange, stage int) (result syncResult) {
	result.hash = request.TableHash
	for {
		reply, ok := l.callSync(addr, request)
		if !ok {
			result.failed = true
			return result
		}
		result.transferred += len(request.Records) + len(reply.Records)
		// A reply that the budget has cut names its table's hash but not those of the buckets.
		result.differed = result.differed || request.TableHash != 0 && reply.TableHash != request.TableHash
		next, done := l.handleReply(reply, expected, stage == syncKeys, bucketsOfNext(stage), maxSyncRecords)
		if done || stage == syncRecords {
			return result
		}
		if !l.allowReduced(next) {
			l.stats.skipped.Add(1)
			return result
		}
		request, stage = next, stage+1
	}
}

// callSync sends one request of a sync. It reports whether the node answered.
func (l *List) callSync(addr string, request *pb.MemberExchange) (reply *pb.MemberExchange, ok bool) {
	asked := time.Now()
	reply, err := l.callExchange(addr, request, syncTimeout)
	if err != nil {
		l.stats.failed.Add(1)
		return nil, false
	}
	l.handleDigests(addr, reply.Digests, asked)
	return reply, true
}

// join makes this node known to the node at addr and exchanges the differences. Of the
// nodes that this one joins through concurrently, only one sends its whole table: once
// it has, syncs with random members follow. It reports whether a node answered.
func (l *List) join(addr string) bool {
	request := l.newJoinRequest()
	if !l.allow(budget.ClassGossip, request) {
		l.stats.skipped.Add(1)
		return true
	}
	reply, ok := l.callSync(addr, request)
	if !ok {
		return false
	}
	select {
	case l.joinToken <- struct{}{}:
	case <-l.ctx.Done():
		return true
	}
	defer func() { <-l.joinToken }()
	next, done := l.handleReply(reply, nil, false, bucketsOfNext(syncHashes), maxSyncRecords)
	l.mu.Lock()
	syncing := l.syncing
	l.mu.Unlock()
	if done || syncing {
		return true
	}
	if !l.allowReduced(next) {
		l.stats.skipped.Add(1)
		return true
	}
	l.runSync(addr, nil, next, syncKeys)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startSync()
	return true
}

// newJoinRequest returns a request that compares hashes and has this node's own record.
func (l *List) newJoinRequest() *pb.MemberExchange {
	l.mu.Lock()
	defer l.mu.Unlock()
	request := l.newExchangeLocked(true)
	own := l.own()
	if !slices.Contains(request.Records, own) {
		request.Records = append(request.Records, own)
	}
	return request
}

// Stages of a sync: the calls that compare hashes and keys, and the one that sends
// records.
const (
	syncHashes = iota
	syncKeys
	syncRecords
)

// bucketsOfNext returns the number of buckets that the request after a stage compares.
func bucketsOfNext(stage int) int {
	if stage == syncHashes {
		return bucketCount
	}
	return 0
}

// newSyncRequest returns the first request of a sync and its stage.
func (l *List) newSyncRequest() (request *pb.MemberExchange, stage int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request = l.newExchangeLocked(true)
	if len(l.table.entries) > maxSyncDigest {
		return request, syncHashes
	}
	all := make([]int, bucketCount)
	for i := range all {
		all[i] = i
	}
	request.Buckets = l.table.digest(all)
	return request, syncKeys
}

// allowReduced is allow for a message of class gossip that may be sent with fewer
// records, if only that fits in the budget.
func (l *List) allowReduced(m *pb.MemberExchange) bool {
	for {
		if l.allow(budget.ClassGossip, m) {
			return true
		}
		if len(m.Records) <= maxRoundRecords {
			return false
		}
		m.Records = m.Records[:len(m.Records)/4]
	}
}

// pickForSync returns a random reachable member, mostly one of this node's region, or
// nil if there is none.
func (p *partners) pickForSync(random *rand.Rand) *pb.Member {
	if len(p.sameRegion) > 0 && random.IntN(100) < syncRegionPercent {
		return p.sameRegion[random.IntN(len(p.sameRegion))]
	}
	return p.pickAny(random)
}

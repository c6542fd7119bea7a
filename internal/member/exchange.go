package member

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/budget"
	"github.com/egretfield/egretfield/internal/pb"
)

// Methods of the RPC service that each List registers.
const (
	rpcName        = "Member"
	methodExchange = rpcName + ".Exchange"
	methodPing     = rpcName + ".Ping"
	methodPingVia  = rpcName + ".PingVia"
)

// maxRepairs bounds the calls of one exchange that repair differences between two
// tables.
const maxRepairs = 2 * bucketCount / bucketsPerExchange

// allow reports whether both the gossip limits and the node's budget permit sending
// a message.
func (l *List) allow(class budget.Class, m proto.Message) bool {
	size := proto.Size(m) + messageOverheadBytes
	if !l.gossipLimiter.Allow(class, size) {
		return false
	}
	return l.opts.Budget == nil || l.opts.Budget.Allow(class, size)
}

// round exchanges changes with one partner and reports it unreachable if it doesn't
// answer. Without a partner, or without an answer while the view needs a refresh, it
// looks for a node to join through.
func (l *List) round() {
	l.mu.Lock()
	if l.skipRound {
		l.skipRound = false
		l.mu.Unlock()
		return
	}
	partner := l.partners.pick(l.rand)
	refreshing := !l.health.joined || l.health.refreshNeeded
	l.mu.Unlock()
	if partner == nil {
		for range roundJoins {
			l.spawn(l.joinRound)
		}
		return
	}
	reached := l.exchange(partner.ControlAddress, partner)
	if reached {
		return
	}
	l.Report(partner.Instance, partner.Incarnation, false)
	if refreshing {
		l.joinRound()
	}
}

// exchange gossips with the node at addr and repairs differences between the
// tables. The expected member is the one believed to be at addr; nil if unknown.
// It reports whether the node answered; a round dropped by the budget counts as
// answered.
func (l *List) exchange(addr string, expected *pb.Member) bool {
	request := l.newExchange(true)
	if !l.allow(budget.ClassGossip, request) {
		l.stats.skipped.Add(1)
		return true
	}
	for i := 0; ; i++ {
		asked := time.Now()
		reply, err := l.callExchange(addr, request, exchangeTimeout)
		if err != nil {
			l.stats.failed.Add(1)
			return false
		}
		l.handleDigests(addr, reply.Digests, asked)
		next, done := l.handleReply(reply, expected, i > 0, l.roundBuckets(), maxSentRecords)
		if done || i >= maxRepairs || !l.allow(budget.ClassGossip, next) {
			return true
		}
		request = next
	}
}

// roundBuckets returns the number of buckets that one call of a round compares: none
// while syncs run, which repair the same differences in fewer calls.
func (l *List) roundBuckets() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.syncing {
		return 0
	}
	return bucketsPerExchange
}

func (l *List) callExchange(addr string, request *pb.MemberExchange, timeout time.Duration) (*pb.MemberExchange, error) {
	ctx, cancel := context.WithTimeout(l.ctx, timeout)
	defer cancel()
	reply := &pb.MemberExchange{}
	l.stats.exchanges.Add(1)
	err := l.opts.ControlClient.Call(ctx, addr, methodExchange, request, reply)
	return reply, err
}

// newExchange builds a message from this node. With compare it includes recent
// changes, the table's hash, rumors and digests.
func (l *List) newExchange(compare bool) *pb.MemberExchange {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newExchangeLocked(compare)
}

func (l *List) newExchangeLocked(compare bool) *pb.MemberExchange {
	now := time.Now()
	own := l.own().Member
	m := &pb.MemberExchange{From: refOf(own)}
	if compare {
		m.Records = l.changeQueue.takeForRound(l.table, maxRoundRecords, now)
		m.TableHash = l.table.hash
		m.Rumors = l.rumors.takeForRound(now)
		m.Digests = l.ownDigests()
	}
	return m
}

// refOf returns the reference that identifies a member's process.
func refOf(m *pb.Member) *pb.NodeRef {
	return &pb.NodeRef{Instance: m.Instance, Incarnation: m.Incarnation, ControlAddress: m.ControlAddress}
}

// handleReply merges a reply and builds the request that repairs the remaining
// differences, with up to maxBuckets buckets and maxRecords records; done reports that
// there is nothing to send. On replies to a repair, repaired is set.
func (l *List) handleReply(reply *pb.MemberExchange, expected *pb.Member, repaired bool, maxBuckets, maxRecords int) (next *pb.MemberExchange, done bool) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteMemberReply(now)
	l.checkAddressHolder(expected, reply.From)
	toSend := l.mergeAll(reply.Records, now)
	toSend = append(toSend, l.table.entriesByKey(reply.Wanted)...)
	l.handleRumors(reply.Rumors, now)
	next = l.newExchangeLocked(false)
	next.Records = toWire(toSend, maxRecords, now)
	differingBuckets := l.table.differingBuckets(reply.BucketHashes)
	if len(differingBuckets) > 0 && maxBuckets > 0 {
		next.TableHash = l.table.hash
		next.Buckets = l.table.digest(l.sampleBuckets(differingBuckets, maxBuckets))
	}
	equal := reply.TableHash != 0 && reply.TableHash == l.table.hash
	if equal || repaired && len(differingBuckets) == 0 && len(reply.BucketHashes) > 0 {
		l.noteRefreshed(now)
	}
	return next, len(next.Records) == 0 && len(next.Buckets) == 0
}

// sampleBuckets returns up to max of the buckets at random. The caller holds mu.
func (l *List) sampleBuckets(buckets []int, max int) []int {
	l.rand.Shuffle(len(buckets), func(i, j int) { buckets[i], buckets[j] = buckets[j], buckets[i] })
	return buckets[:min(len(buckets), max)]
}

// toWire returns the records of entries to send, at most max.
func toWire(entries []*entry, max int, now time.Time) []*pb.MemberRecord {
	var out []*pb.MemberRecord
	for _, e := range entries[:min(len(entries), max)] {
		out = append(out, e.toWire(now))
	}
	return out
}

// mergeAll merges received records and returns the entries of which the sender has
// outdated state. The caller holds mu.
func (l *List) mergeAll(records []*pb.MemberRecord, now time.Time) (senderOutdated []*entry) {
	changed := false
	for _, r := range records[:min(len(records), maxReceivedRecords)] {
		if !valid(r) {
			continue
		}
		instance := r.Member.Instance
		if instance == l.opts.Member.Instance {
			if l.mergeOwn(r) {
				senderOutdated = append(senderOutdated, l.table.entries[instance])
			}
			continue
		}
		result := l.table.merge(r, now)
		if result.senderOutdated {
			senderOutdated = append(senderOutdated, result.entry)
		}
		if result.changed {
			changed = true
			l.handleChange(result)
		}
	}
	if changed {
		l.publish()
	}
	return senderOutdated
}

// handleChange disseminates and logs a change of a member, starts the timeout of a
// suspect and claims this node's address. The caller holds mu.
func (l *List) handleChange(result mergeResult) {
	r := result.entry.record
	l.disseminate(r.Member.Instance)
	l.logChange(result.before, r)
	if r.Liveness == suspect && !isTombstone(r) {
		l.awaitRefutation(r)
	}
	l.claimOwnAddress(r)
}

// disseminate queues a change for the next rounds and schedules its push. While many
// members change, it leaves the change to syncs. The caller holds mu.
func (l *List) disseminate(instance string) {
	if l.spreadsBySync(instance, time.Now()) {
		l.startSync()
		return
	}
	l.changeQueue.add(instance, l.table)
	if l.flushScheduled || !l.started {
		return
	}
	l.flushScheduled = true
	l.after(flushDelay, l.flush)
}

// flush pushes the collected changes and rumors to a few nodes.
func (l *List) flush() {
	now := time.Now()
	l.mu.Lock()
	l.flushScheduled = false
	records, more := l.changeQueue.takeUnpushed(l.table, maxSentRecords, now)
	rumors := l.rumors.takeUnpushed(now)
	targets := l.partners.sample(pushFanout, "", l.rand)
	if more {
		l.flushScheduled = true
		l.after(flushDelay, l.flush)
	}
	message := l.newExchangeLocked(false)
	l.mu.Unlock()
	if len(records) == 0 && len(rumors) == 0 {
		return
	}
	message.Records, message.Rumors = records, rumors
	for _, target := range targets {
		l.spawn(func() { l.push(target, message) })
	}
}

// push sends changes to a node and merges the newer records in its reply.
func (l *List) push(target *pb.Member, message *pb.MemberExchange) {
	if !l.allow(pushClass(message), message) {
		l.stats.skipped.Add(1)
		return
	}
	reply, err := l.callExchange(target.ControlAddress, message, exchangeTimeout)
	if err != nil {
		return
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteMemberReply(now)
	l.checkAddressHolder(target, reply.From)
	l.mergeAll(reply.Records, now)
}

// pushClass returns the budget class of a push: that of its most important record,
// or ClassRumor if it has no records.
func pushClass(message *pb.MemberExchange) budget.Class {
	if len(message.Records) == 0 {
		return budget.ClassRumor
	}
	class := budget.ClassGossip
	for _, r := range message.Records {
		switch {
		case r.Member.Status == draining || r.Member.Status == left:
			return budget.ClassLeave
		case r.Liveness != alive || r.Refutations > 0:
			class = budget.ClassLiveness
		}
	}
	return class
}

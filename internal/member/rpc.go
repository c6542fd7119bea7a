package member

import (
	"context"
	"slices"
	"time"

	"github.com/egretfield/egretfield/internal/budget"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/peer"
)

// rpcReceiver serves the control calls of other nodes' lists. It is a receiver for
// net/rpc.
type rpcReceiver struct {
	l *List
}

// Register registers the list's receiver for control calls.
func (l *List) Register(r peer.Registrar) error {
	return r.RegisterName(rpcName, &rpcReceiver{l})
}

// Exchange merges the received records and rumors. It replies with the records that
// the sender lacks and, when tables are compared, with recent changes and hashes.
func (s *rpcReceiver) Exchange(args, reply *pb.MemberExchange) error {
	l := s.l
	l.handleDigests(args.From.GetControlAddress(), args.Digests, time.Time{})
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return errkind.New(pb.ErrorKind_ERROR_KIND_NOT_READY, "closed")
	}
	compare := args.TableHash != 0
	reply.From = refOf(l.own().Member)
	toSend := l.mergeAll(args.Records, now)
	toSend = append(toSend, l.accusedSender(args.From)...)
	toSend = append(toSend, l.table.entriesByKey(args.Wanted)...)
	l.handleRumors(args.Rumors, now)
	maxRecords := maxSentRecords
	if len(args.Buckets) > bucketsPerExchange {
		maxRecords = maxSyncRecords
	}
	if compare {
		reply.TableHash = l.table.hash
		differing, wanted := l.table.compare(args.Buckets)
		toSend = append(toSend, differing...)
		reply.Wanted = wanted[:min(len(wanted), maxRecords)]
		reply.Records = toWire(toSend, maxRecords, now)
		l.addRoundData(args, reply, now)
	} else {
		reply.Records = toWire(toSend, maxRecords, now)
	}
	if !l.allowReduced(reply) {
		l.stats.skipped.Add(1)
		reply.Records, reply.Rumors, reply.Wanted, reply.BucketHashes = nil, nil, nil, nil
	}
	return nil
}

// addRoundData adds recent changes, rumors and digests to the reply to the first
// request of a round, and bucket hashes if the tables differ. The caller holds mu.
func (l *List) addRoundData(args, reply *pb.MemberExchange, now time.Time) {
	if len(args.Buckets) == 0 {
		reply.Records = append(reply.Records, l.changeQueue.takeForRound(l.table, maxRoundRecords, now)...)
		reply.Rumors = l.rumors.takeForRound(now)
		reply.Digests = l.ownDigests()
	}
	if args.TableHash != l.table.hash {
		reply.BucketHashes = slices.Clone(l.table.buckets[:])
	}
}

// accusedSender returns the sender's entry if the table has it as suspect or dead,
// so that the sender, which must be alive to call, can refute. The caller holds mu.
func (l *List) accusedSender(from *pb.NodeRef) []*entry {
	e := l.table.entries[from.GetInstance()]
	if e == nil || e.record.Member.Incarnation != from.GetIncarnation() || e.record.Liveness == alive {
		return nil
	}
	return []*entry{e}
}

// Ping replies with this node's own record. It first merges the sender's record of
// this node, so that the reply refutes an accusation.
func (s *rpcReceiver) Ping(args *pb.MemberPing, reply *pb.MemberPong) error {
	l := s.l
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return errkind.New(pb.ErrorKind_ERROR_KIND_NOT_READY, "closed")
	}
	if args.Known != nil {
		l.mergeAll([]*pb.MemberRecord{args.Known}, time.Now())
	}
	reply.Own = l.own()
	l.allow(budget.ClassLiveness, reply)
	return nil
}

// PingVia pings another node on behalf of the sender.
func (s *rpcReceiver) PingVia(args *pb.MemberPing, reply *pb.MemberPong) error {
	l := s.l
	select {
	case l.delegatedChecks <- struct{}{}:
	default:
		return errkind.New(pb.ErrorKind_ERROR_KIND_OVERLOADED, "too many checks for other nodes")
	}
	defer func() { <-l.delegatedChecks }()
	if !valid(args.Known) {
		return errkind.New(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "ping target missing or malformed")
	}
	ctx, cancel := context.WithTimeout(l.ctx, directTimeout)
	defer cancel()
	pong, err := l.ping(ctx, args.Known.Member, args.Known)
	if err != nil {
		return errkind.Wrap(pb.ErrorKind_ERROR_KIND_NO_SERVER, err, "ping %s", args.Known.Member.Instance)
	}
	reply.Own = pong.GetOwn()
	return nil
}

package member

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
)

const (
	// DefaultJoinSpread is the maximum random delay before a node's first append to
	// the member stream.
	DefaultJoinSpread = 2 * time.Second
	// appendInterval is the time between a node's appends to the member stream.
	appendInterval = 30 * time.Minute
	// appendRetryInterval is the time until a failed append is tried again.
	appendRetryInterval = 15 * time.Second
	// readInterval is the time between reads of the member stream, and
	// joinReadInterval that between reads of a node that reaches no member.
	readInterval     = time.Minute
	joinReadInterval = time.Second
	// joinFanout is the number of addresses tried at once after a read. Of nodes that
	// start together, those that are reached needn't read the stream again.
	joinFanout = 8
	// logProbeInterval is the time without an answer from a member or the log after
	// which the log is read early.
	logProbeInterval = time.Second
	// firstReadRetryInterval is the time until a node reads the stream again that couldn't
	// read it since it started, for firstReadPeriod. Until then it doesn't know the size of
	// the fleet from the log, and afterwards nothing depends on that.
	firstReadRetryInterval = 4 * time.Second
	firstReadPeriod        = 20 * time.Second
	// recordedFor is the age up to which the join record of another instance is taken as a
	// sign that it belongs to the fleet: two intervals between appends.
	recordedFor = 2 * appendInterval
	// logTimeout bounds one append, or one read to the end of the stream.
	logTimeout = 2 * time.Second
	// initialReadRecords is how many of the newest records are read at the start,
	// and readBatchRecords the maximum number returned by one read.
	initialReadRecords = 4096
	readBatchRecords   = 512
	// firstNodeWait is how long a node tries the known addresses before it assumes
	// that it is the first node of the fleet.
	firstNodeWait = 3 * time.Second
	// logPollInterval is the time between checks whether a read or an append is due.
	logPollInterval = 500 * time.Millisecond
)

// logFollower reads the member stream and appends to it for one list.
type logFollower struct {
	l          *List
	nextOffset int64
	// nextRead is when the stream is read next, and nextReadAlone when by a node that
	// reaches no member.
	nextRead, nextReadAlone time.Time
	nextAppend              time.Time
}

// followLog reads the member stream and appends to it until the list is closed.
func (l *List) followLog() {
	now := time.Now()
	f := &logFollower{l: l, nextRead: now, nextReadAlone: now, nextAppend: now.Add(l.joinDelay())}
	for {
		now = time.Now()
		if l.joinLost.Swap(false) {
			f.nextAppend = now.Add(l.joinDelay())
		}
		if f.isReadDue(now) || l.needsLogProbe(now) {
			f.read()
		}
		if !now.Before(f.nextAppend) {
			f.appendOwn()
		}
		if !l.sleep(logPollInterval) {
			return
		}
	}
}

// joinDelay returns the random delay before an append that all nodes make at the same
// time.
func (l *List) joinDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.rand.Int64N(int64(l.opts.JoinSpread)))
}

// AppendJoin makes the node append its join record again within the join spread: the log
// came back from an older copy, which may lack it. Nodes that start would otherwise not
// find this one in the log.
func (l *List) AppendJoin() { l.joinLost.Store(true) }

// needsLogProbe reports whether the log should be read early because neither a
// member nor the log has answered for logProbeInterval.
func (l *List) needsLogProbe(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.noReachableMember() && l.health.sinceLastReply(now) >= logProbeInterval
}

// isReadDue reports whether the stream should be read: once in readInterval, or sooner
// while no member is reachable that would tell of the others.
func (f *logFollower) isReadDue(now time.Time) bool {
	f.l.mu.Lock()
	defer f.l.mu.Unlock()
	if f.l.noReachableMember() {
		return !now.Before(f.nextReadAlone)
	}
	return !now.Before(f.nextRead)
}

// read handles the records appended since the last read and schedules the next one.
func (f *logFollower) read() {
	l := f.l
	err := f.readAll()
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	f.nextRead = now.Add(l.jitter(readInterval))
	f.nextReadAlone = now.Add(l.jitter(joinReadInterval))
	if err == nil && l.noReachableMember() && len(l.unreachedAddresses()) == 0 && now.Before(f.nextAppend) {
		// Nobody else has joined either. Whoever joins later finds this node's record.
		f.nextReadAlone = f.nextAppend.Add(l.jitter(joinReadInterval))
	}
	if err != nil {
		l.stats.logFailed.Add(1)
		if !l.departuresRead && now.Sub(l.health.startedAt) < firstReadPeriod {
			f.nextRead = now.Add(l.jitter(firstReadRetryInterval))
		}
		return
	}
	l.health.lastLog = now
	l.departuresRead = true
	l.knownAddresses.expire(now)
	l.recorded = l.knownAddresses.recorded(now.Add(-recordedFor), l.opts.Member.Instance)
	l.recordsRead = true
	if l.noReachableMember() {
		for range min(joinFanout, len(l.unreachedAddresses())) {
			l.goLocked(l.joinRound)
		}
	}
	if l.isOnlyNode(now) {
		l.noteRefreshed(now)
	}
}

// JoinRecords returns the instances that had a recent join record in the log when it was
// last read, including this one, and reports whether it has been read. The caller must not
// modify them. Without a log there are none.
func (l *List) JoinRecords() (instances []string, read bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recorded, l.recordsRead || l.opts.Log == nil
}

// isOnlyNode reports whether, as far as this node can tell, no other node is
// running: no member is believed reachable, and there is no other address to try
// or, after firstNodeWait, all were tried. It is called when the log has answered.
// The caller holds mu.
func (l *List) isOnlyNode(now time.Time) bool {
	if !l.noReachableMember() {
		return false
	}
	addresses := l.unreachedAddresses()
	waitedLong := now.Sub(l.health.startedAt) >= firstNodeWait
	return len(addresses) == 0 || waitedLong && len(l.untriedAddresses(addresses)) == 0
}

// readAll reads to the end of the stream.
func (f *logFollower) readAll() error {
	ctx, cancel := context.WithTimeout(f.l.ctx, logTimeout)
	defer cancel()
	if keyed, ok := f.l.opts.Log.(platformlog.KeyedLog); ok {
		return f.readNewest(ctx, keyed)
	}
	if f.nextOffset == 0 {
		if err := f.seek(ctx); err != nil {
			return err
		}
	}
	for {
		records, err := f.l.opts.Log.Read(ctx, platformlog.MemberStream, f.nextOffset, readBatchRecords, 0)
		if errors.Is(err, platformlog.ErrTrimmed) {
			err = f.seek(ctx)
			if err == nil {
				continue
			}
		}
		if err != nil {
			return err
		}
		for _, record := range records {
			f.handleRecord(record)
			f.nextOffset = record.Offset + 1
		}
		if len(records) < readBatchRecords {
			return nil
		}
	}
}

// readNewest handles the newest record of every instance.
func (f *logFollower) readNewest(ctx context.Context, log platformlog.KeyedLog) error {
	records, _, err := log.Newest(ctx, platformlog.MemberStream)
	for _, record := range records {
		f.handleRecord(record)
	}
	return err
}

// seek sets the next offset to the first of the newest initialReadRecords records.
func (f *logFollower) seek(ctx context.Context) error {
	bounds, err := f.l.opts.Log.Bounds(ctx, platformlog.MemberStream)
	if err != nil {
		return err
	}
	f.nextOffset = max(bounds.First, bounds.Next-initialReadRecords, platformlog.FirstOffset)
	return nil
}

// handleRecord stores the address from a join record. A join record is no evidence
// of liveness.
func (f *logFollower) handleRecord(record platformlog.Record) {
	join := &pb.JoinRecord{}
	if err := proto.Unmarshal(record.Data, join); err != nil {
		f.l.stats.badRecords.Add(1)
		return
	}
	m := join.GetMember()
	if !valid(&pb.MemberRecord{Member: m, Liveness: alive}) {
		f.l.stats.badRecords.Add(1)
		return
	}
	l := f.l
	if l.restoreDepartures(join) {
		l.opts.OnDepartures(join.GetDepartures())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.Instance != l.opts.Member.Instance {
		appendedAt := record.Time
		if ms := join.GetAppendedUnixMs(); ms != 0 {
			appendedAt = time.UnixMilli(ms)
		}
		if m.Status == left {
			l.knownAddresses.remove(m.Instance)
		} else {
			l.knownAddresses.add(m, appendedAt)
		}
		return
	}
	if m.Incarnation > l.own().Member.Incarnation {
		l.handleDuplicate(&pb.MemberRecord{Member: m, Liveness: alive})
	}
}

// restoreDepartures takes over the departures of this instance's join record of an earlier
// start of the node. It reports whether there are any and the node wants to know them.
func (l *List) restoreDepartures(join *pb.JoinRecord) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := l.own().Member
	if len(join.GetDepartures()) == 0 || join.Member.Instance != own.Instance || join.Member.Incarnation == own.Incarnation {
		return false
	}
	l.departures = mergeDepartures(join.GetDepartures(), l.departures)
	return l.opts.OnDepartures != nil
}

// RecordDepartures appends this node's join record with departures of its backend servers,
// in addition to those of earlier starts of the node. It returns when that is done, or when
// ctx ends.
func (l *List) RecordDepartures(ctx context.Context, departures []*pb.Departure) error {
	if l.opts.Log == nil {
		return nil
	}
	if err := l.readDepartures(ctx); err != nil {
		return err
	}
	l.mu.Lock()
	l.departures = mergeDepartures(l.departures, departures)
	own, merged := l.own().Member, l.departures
	l.mu.Unlock()
	return l.appendJoin(ctx, own, merged)
}

// readDepartures reads the departures of an earlier start of the node from a keyed log,
// unless the log has been read already: an append would replace them.
func (l *List) readDepartures(ctx context.Context) error {
	keyed, ok := l.opts.Log.(platformlog.KeyedLog)
	l.mu.Lock()
	wasRead := l.departuresRead
	l.mu.Unlock()
	if !ok || wasRead {
		return nil
	}
	f := &logFollower{l: l}
	if err := f.readNewest(ctx, keyed); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.departuresRead = true
	return nil
}

// maxDepartures is the number of departures in a join record.
const maxDepartures = 16

// mergeDepartures returns the latest departures of two lists, those of the second one last.
func mergeDepartures(earlier, later []*pb.Departure) []*pb.Departure {
	var merged []*pb.Departure
	for _, d := range earlier {
		isRepeated := slices.ContainsFunc(later, func(other *pb.Departure) bool {
			return other.GetServerId() == d.GetServerId() && other.GetStartedUnixMs() == d.GetStartedUnixMs()
		})
		if !isRepeated {
			merged = append(merged, d)
		}
	}
	merged = append(merged, later...)
	return merged[max(0, len(merged)-maxDepartures):]
}

// appendJoin appends a join record.
func (l *List) appendJoin(ctx context.Context, own *pb.Member, departures []*pb.Departure) error {
	data, err := proto.Marshal(&pb.JoinRecord{Member: own, Departures: departures, AppendedUnixMs: time.Now().UnixMilli()})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	l.stats.appends.Add(1)
	if _, err := l.opts.Log.Append(ctx, platformlog.MemberStream, data); err != nil {
		l.stats.logFailed.Add(1)
		return err
	}
	return nil
}

// RecordLeave replaces this instance's join record by one that says that it has left, so
// that nodes which start later don't count it as a member of the fleet. It is meant to be
// called after Leave.
func (l *List) RecordLeave(ctx context.Context) {
	l.mu.Lock()
	own, departures := l.own().Member, l.departures
	l.mu.Unlock()
	if l.opts.Log == nil || own.Status != left {
		return
	}
	if err := l.appendJoin(ctx, own, departures); err != nil {
		l.logger.Info("the log doesn't say that this instance has left", zap.Error(err))
	}
}

// appendOwn appends this node's join record.
func (f *logFollower) appendOwn() {
	l := f.l
	l.mu.Lock()
	own, departures := l.own().Member, l.departures
	skip := own.Status == left || l.health.superseded
	wait := l.jitter(appendInterval)
	retry := l.jitter(appendRetryInterval)
	l.mu.Unlock()
	f.nextAppend = time.Now().Add(wait)
	if skip {
		return
	}
	if err := l.appendJoin(l.ctx, own, departures); err != nil {
		l.logger.Debug("join record not appended", zap.Error(err))
		f.nextAppend = time.Now().Add(retry)
	}
}

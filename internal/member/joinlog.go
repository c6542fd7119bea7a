package member

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
)

const (
	// DefaultJoinSpread is the time over which the first append of a node to the
	// member stream is spread at random.
	DefaultJoinSpread = 2 * time.Second
	// appendInterval is the time between a node's appends to the member stream.
	appendInterval = 30 * time.Minute
	// appendRetry is the time between attempts of an append that failed.
	appendRetry = 15 * time.Second
	// readInterval is the time between reads of the member stream, and
	// joinReadInterval that while the node has not joined.
	readInterval     = time.Minute
	joinReadInterval = time.Second
	// probeInterval is the time between reads while no member answers.
	probeInterval = time.Second
	// logTimeout bounds one operation on the log.
	logTimeout = 2 * time.Second
	// readBack is the number of records read at the start, and readBatch that of
	// one read.
	readBack  = 4096
	readBatch = 512
	// aloneTime is how long a node that the log names contacts to tries them
	// before it takes itself for the first.
	aloneTime = 3 * time.Second
	// logPoll is the time in which the follower looks for something due.
	logPoll = 500 * time.Millisecond
)

// logFollower reads and appends the member stream for one list.
type logFollower struct {
	l        *List
	next     int64
	nextRead time.Time
	append   time.Time
}

// followLog follows the member stream until the list is closed.
func (l *List) followLog() {
	now := time.Now()
	l.mu.Lock()
	spread := time.Duration(l.rand.Int64N(int64(l.opts.JoinSpread)))
	l.mu.Unlock()
	f := &logFollower{l: l, nextRead: now, append: now.Add(spread)}
	for {
		now = time.Now()
		if !now.Before(f.nextRead) || l.needsProbe(now) {
			f.read()
		}
		if !now.Before(f.append) {
			f.appendOwn()
		}
		if !l.sleep(logPoll) {
			return
		}
	}
}

// needsProbe says whether the log should be asked because no member answers.
func (l *List) needsProbe(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.health.silence(now) >= probeInterval
}

// read takes the records appended since the last read.
func (f *logFollower) read() {
	l := f.l
	err := f.readAll()
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	interval := joinReadInterval
	if l.health.joined {
		interval = readInterval
	}
	f.nextRead = now.Add(l.jitter(interval))
	if err != nil {
		l.stats.logFailed.Add(1)
		return
	}
	l.health.lastLog = now
	l.contacts.forget(now)
	if l.firstOrLast(now) {
		l.refreshed(now)
	}
}

// firstOrLast says whether nobody else runs as far as can be known: the log
// answers, no member is believed reachable, and no other address has answered.
// The caller holds mu.
func (l *List) firstOrLast(now time.Time) bool {
	if !l.alone() {
		return false
	}
	addresses := l.unreached()
	waited := now.Sub(l.health.startedAt) >= aloneTime
	return len(addresses) == 0 || waited && len(l.untried(addresses)) == 0
}

// readAll reads to the end of the stream.
func (f *logFollower) readAll() error {
	ctx, cancel := context.WithTimeout(f.l.ctx, logTimeout)
	defer cancel()
	if keyed, ok := f.l.opts.Log.(platformlog.Keyed); ok {
		return f.readNewest(ctx, keyed)
	}
	if f.next == 0 {
		if err := f.seek(ctx); err != nil {
			return err
		}
	}
	for {
		records, err := f.l.opts.Log.Read(ctx, platformlog.MemberStream, f.next, readBatch, 0)
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
			f.take(record)
			f.next = record.Offset + 1
		}
		if len(records) < readBatch {
			return nil
		}
	}
}

// readNewest takes the newest record of every instance.
func (f *logFollower) readNewest(ctx context.Context, log platformlog.Keyed) error {
	records, _, err := log.Newest(ctx, platformlog.MemberStream)
	for _, record := range records {
		f.take(record)
	}
	return err
}

// seek moves to the oldest record worth reading.
func (f *logFollower) seek(ctx context.Context) error {
	bounds, err := f.l.opts.Log.Bounds(ctx, platformlog.MemberStream)
	if err != nil {
		return err
	}
	f.next = max(bounds.First, bounds.Next-readBack, platformlog.FirstOffset)
	return nil
}

// take remembers the address of a join record. A record isn't news of liveness.
func (f *logFollower) take(record platformlog.Record) {
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
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.Instance != l.opts.Member.Instance {
		l.contacts.add(m, record.Time)
		return
	}
	if m.Incarnation > l.own().Member.Incarnation {
		l.meetNamesake(&pb.MemberRecord{Member: m, Liveness: alive})
	}
}

// appendOwn appends this node's join record.
func (f *logFollower) appendOwn() {
	l := f.l
	l.mu.Lock()
	own := l.own().Member
	skip := own.Status == left || l.health.superseded
	wait := l.jitter(appendInterval)
	retry := l.jitter(appendRetry)
	l.mu.Unlock()
	f.append = time.Now().Add(wait)
	if skip {
		return
	}
	data, err := proto.Marshal(&pb.JoinRecord{Member: own})
	if err != nil {
		l.log.Error("encode join record", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(l.ctx, logTimeout)
	defer cancel()
	l.stats.appends.Add(1)
	if _, err := l.opts.Log.Append(ctx, platformlog.MemberStream, data); err != nil {
		l.stats.logFailed.Add(1)
		f.append = time.Now().Add(retry)
	}
}

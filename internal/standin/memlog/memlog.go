// Package memlog implements an in-memory stand-in for the platform's log, with faults
// that can be set while it runs. Its delays use package time, so that tests can run it
// under testing/synctest.
package memlog

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/delay"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
)

// maxAppendWait is the longest time that an append waits for the rate limit; an
// append that would wait longer is rejected.
const maxAppendWait = time.Second

// Options sets the limits of a Log. The zero value sets none.
type Options struct {
	// KeepRecords is the number of records retained in each stream. Zero: no limit.
	KeepRecords int
	// KeepFor is the time for which a record is retained. Zero: no limit.
	KeepFor time.Duration
	// AppendsPerSecond limits the appends to all streams together. Zero: no limit.
	AppendsPerSecond float64
}

// Client identifies who performs an operation; faults can be limited to some clients.
type Client struct {
	Name       string
	DataCentre string
}

// Log is the in-memory log. It implements platformlog.Log for an anonymous
// client; ForClient returns the log for a named one. It is safe for concurrent use.
type Log struct {
	options Options
	limiter *rate.Limiter

	mu      sync.Mutex
	streams map[string]*stream
	faults  *pb.LogFaults
	// faultsChanged is closed and replaced when the faults change.
	faultsChanged chan struct{}
}

var (
	_ platformlog.Log = (*Log)(nil)
	_ platformlog.Log = (*View)(nil)
)

// New returns an empty log without faults.
func New(options Options) *Log {
	l := &Log{
		options:       options,
		streams:       map[string]*stream{},
		faults:        &pb.LogFaults{},
		faultsChanged: make(chan struct{}),
	}
	if options.AppendsPerSecond > 0 {
		burst := max(1, int(options.AppendsPerSecond/10))
		l.limiter = rate.NewLimiter(rate.Limit(options.AppendsPerSecond), burst)
	}
	return l
}

// SetFaults replaces the faults and performs the trims that they contain.
func (l *Log) SetFaults(faults *pb.LogFaults) {
	faults = proto.CloneOf(faults)
	trims := faults.GetTrim()
	faults.Trim = nil
	l.mu.Lock()
	l.faults = faults
	close(l.faultsChanged)
	l.faultsChanged = make(chan struct{})
	l.mu.Unlock()
	for _, trim := range trims {
		l.Trim(trim.GetStream(), trim.GetBefore())
	}
}

// Faults returns the current faults, with counts of those that have yet to occur.
func (l *Log) Faults() *pb.LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return proto.CloneOf(l.faults)
}

// Trim deletes the records of a stream before an offset.
func (l *Log) Trim(stream string, before int64) {
	l.stream(stream).trim(before)
}

// ForClient returns the log for operations of client.
func (l *Log) ForClient(client Client) *View {
	return &View{log: l, client: client}
}

// Append implements platformlog.Log.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	return l.ForClient(Client{}).Append(ctx, stream, data)
}

// Read implements platformlog.Log.
func (l *Log) Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) ([]platformlog.Record, error) {
	return l.ForClient(Client{}).Read(ctx, stream, from, max, wait)
}

// Bounds implements platformlog.Log.
func (l *Log) Bounds(ctx context.Context, stream string) (platformlog.Bounds, error) {
	return l.ForClient(Client{}).Bounds(ctx, stream)
}

func (l *Log) stream(name string) *stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.streams[name]
	if s == nil {
		s = newStream(l.options)
		l.streams[name] = s
	}
	return s
}

// admit returns an error if the log is down for client. Otherwise it returns the time
// that each operation takes and a channel that is closed when the faults change.
func (l *Log) admit(client Client) (time.Duration, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.GetDown() || isListed(l.faults.GetDownFor(), client) {
		return 0, nil, eris.Wrap(platformlog.ErrUnavailable, "log is down")
	}
	return time.Duration(l.faults.GetSlowMs()) * time.Millisecond, l.faultsChanged, nil
}

// isListed reports whether names contains the client's name or its data centre.
func isListed(names []string, client Client) bool {
	return client.Name != "" && slices.Contains(names, client.Name) ||
		client.DataCentre != "" && slices.Contains(names, client.DataCentre)
}

// consumeAppendFaults decrements the counts of lost answers and duplicates, and reports
// which of the two apply to this append.
func (l *Log) consumeAppendFaults() (loseAnswer, duplicate bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.GetLoseAnswers() > 0 {
		l.faults.LoseAnswers--
		loseAnswer = true
	}
	if l.faults.GetDuplicate() > 0 {
		l.faults.Duplicate--
		duplicate = true
	}
	return loseAnswer, duplicate
}

// waitRateLimit waits until the rate limit allows an append.
func (l *Log) waitRateLimit(ctx context.Context) error {
	if l.limiter == nil {
		return nil
	}
	reservation := l.limiter.Reserve()
	wait := reservation.Delay()
	if wait > maxAppendWait {
		reservation.Cancel()
		return eris.Wrap(platformlog.ErrUnavailable, "append rate limit exceeded")
	}
	if !delay.Sleep(ctx, wait) {
		reservation.Cancel()
		return eris.Wrap(platformlog.ErrUnavailable, "cancelled while waiting for the append rate limit")
	}
	return nil
}

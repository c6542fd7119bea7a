// Package quarantine prevents requests that crash backend servers, known as queries
// of death, from running again anywhere in the fleet. It knows requests by their
// fingerprints, hashes that are the same for equal requests.
//
// A gate whose backend server crashes broadcasts the fingerprints of the requests
// in flight. After a first crash they are suspects, which still run. A second crash
// that has fingerprints in common with an earlier one puts the common ones in
// quarantine and clears the others. A suspect whose request completes is cleared.
package quarantine

import (
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/peer"
)

const (
	// Topic is the gossip topic for crash news.
	Topic = "quarantine"
	// MaxSuspects bounds the fingerprints reported for one crash, so that the
	// message fits a gossip payload.
	MaxSuspects = 100
	// maxStreamed bounds the streamed requests reported for one crash, and maxInspected
	// those that are looked at with their body.
	maxStreamed  = 8
	maxInspected = 256
	// maxCrashes bounds the crashes kept.
	maxCrashes = 64
	// maxSeenIDs bounds the message ids kept to recognise duplicates.
	maxSeenIDs = 1 << 10
	// suspicionPeriod is how long a crash is kept for comparison with later ones.
	suspicionPeriod = 10 * time.Minute
	// singleSuspectTerm is the length of the quarantine when two crashes have a
	// single fingerprint in common.
	singleSuspectTerm = 10 * time.Minute
	// multipleSuspectsTerm is the length of the quarantine when two crashes have
	// several fingerprints in common: some of them may be harmless.
	multipleSuspectsTerm = 10 * time.Second
)

// crash is one crash of a backend server.
type crash struct {
	at time.Time
	// suspects are the sorted fingerprints of the requests that may have caused it.
	suspects []uint64
}

// snapshot is the immutable state that requests are checked against.
type snapshot struct {
	quarantinedUntil map[uint64]time.Time // fingerprint to end of its quarantine
	suspects         map[uint64]bool
	inspected        map[uint64]bool
}

// Table holds the suspects and the quarantined fingerprints. A nil Table refuses
// nothing. Safe for concurrent use.
type Table struct {
	broadcaster   peer.Broadcaster
	logger        *zap.Logger
	snapshot      atomic.Pointer[snapshot] // nil: no crash news yet
	decodeFailing atomic.Bool              // the last message could not be decoded

	mu               sync.Mutex
	crashes          []crash
	quarantinedUntil map[uint64]time.Time
	// inspectedUntil has the fingerprints without the body of streamed requests.
	inspectedUntil map[uint64]time.Time
	seenIDs        map[string]bool
	seenOrder      []string // oldest first
}

// New returns an empty table that shares crash news through broadcaster, which may
// be nil. logger may be nil; nothing is logged then.
func New(broadcaster peer.Broadcaster, logger *zap.Logger) *Table {
	if logger == nil {
		logger = zap.NewNop()
	}
	t := &Table{broadcaster: broadcaster, logger: logger, quarantinedUntil: make(map[uint64]time.Time),
		inspectedUntil: make(map[uint64]time.Time), seenIDs: make(map[string]bool)}
	if broadcaster != nil {
		broadcaster.Subscribe(Topic, t.receive)
	}
	return t
}

// Refuses reports whether fingerprint is in quarantine. Fingerprint 0 never is.
func (t *Table) Refuses(fingerprint uint64) bool {
	if t == nil {
		return false
	}
	snapshot := t.snapshot.Load()
	if snapshot == nil {
		return false
	}
	end, ok := snapshot.quarantinedUntil[fingerprint]
	return ok && time.Now().Before(end)
}

// Suspects reports whether requests with the fingerprint may have crashed a backend
// server.
func (t *Table) Suspects(fingerprint uint64) bool {
	if t == nil {
		return false
	}
	snapshot := t.snapshot.Load()
	return snapshot != nil && snapshot.suspects[fingerprint]
}

// InspectsBody reports whether a streamed request must be looked at with the beginning of
// its body (BodyFingerprint): one with the same fingerprint without its body was in flight
// when a backend server crashed.
func (t *Table) InspectsBody(base uint64) bool {
	if t == nil {
		return false
	}
	snapshot := t.snapshot.Load()
	return snapshot != nil && snapshot.inspected[base]
}

// ReportCrash reports to the fleet that a backend server crashed with the given
// fingerprints in flight. At most MaxSuspects of them are used. streamed are the
// fingerprints without the body of those whose body was streamed.
func (t *Table) ReportCrash(inFlight []uint64, streamed ...uint64) {
	if t == nil {
		return
	}
	bases := distinctNonZero(streamed)
	news := &pb.CrashNews{InFlight: distinctNonZero(inFlight), Streamed: bases[:min(len(bases), maxStreamed)]}
	if len(news.InFlight)+len(news.Streamed) == 0 {
		return
	}
	t.broadcast(news)
}

// ReportSuccess records that a request with the fingerprint completed. If it is a
// suspect, the fleet is told to clear it.
func (t *Table) ReportSuccess(fingerprint uint64) {
	if t == nil {
		return
	}
	snapshot := t.snapshot.Load()
	if snapshot == nil || !snapshot.suspects[fingerprint] {
		return
	}
	t.broadcast(&pb.CrashNews{Cleared: []uint64{fingerprint}})
}

// Quarantined returns the fingerprints in quarantine, sorted.
func (t *Table) Quarantined() []uint64 {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []uint64
	for fingerprint, end := range t.quarantinedUntil {
		if time.Now().Before(end) {
			list = append(list, fingerprint)
		}
	}
	slices.Sort(list)
	return list
}

// QuarantinedUntil returns the end of a fingerprint's quarantine, and false if it isn't
// in quarantine.
func (t *Table) QuarantinedUntil(fingerprint uint64) (time.Time, bool) {
	if !t.Refuses(fingerprint) {
		return time.Time{}, false
	}
	return t.snapshot.Load().quarantinedUntil[fingerprint], true
}

func distinctNonZero(fingerprints []uint64) []uint64 {
	list := slices.Clone(fingerprints)
	slices.Sort(list)
	list = slices.Compact(list)
	list = slices.DeleteFunc(list, func(f uint64) bool { return f == 0 })
	return list[:min(len(list), MaxSuspects)]
}

// broadcast applies crash news to this table and sends it to the other nodes.
func (t *Table) broadcast(news *pb.CrashNews) {
	news.Id = uuid.NewString()
	t.apply(news)
	if t.broadcaster == nil {
		return
	}
	payload, err := proto.Marshal(news)
	if err != nil {
		t.logger.Error("crash news not encoded", zap.Error(err))
		return
	}
	// The broadcaster also delivers the message to this node; apply ignores it by its id.
	t.broadcaster.Broadcast(Topic, payload)
}

func (t *Table) receive(payload []byte) {
	news := &pb.CrashNews{}
	if err := proto.Unmarshal(payload, news); err != nil {
		if !t.decodeFailing.Swap(true) {
			t.logger.Warn("crash news not decoded", zap.Error(err))
		}
		return
	}
	t.decodeFailing.Store(false)
	t.apply(news)
}

func (t *Table) apply(news *pb.CrashNews) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.seenIDs[news.Id] {
		return
	}
	t.markSeenLocked(news.Id)
	now := time.Now()
	t.expireLocked(now)
	if suspects := distinctNonZero(news.InFlight); len(suspects) > 0 {
		t.addCrashLocked(crash{at: now, suspects: suspects})
	}
	for _, base := range news.Streamed {
		if _, known := t.inspectedUntil[base]; known || len(t.inspectedUntil) < maxInspected {
			// As long as a quarantine that begins with the next crash may last.
			t.inspectedUntil[base] = now.Add(suspicionPeriod + singleSuspectTerm)
		}
	}
	for _, fingerprint := range news.Cleared {
		t.clearLocked(fingerprint)
	}
	t.publishSnapshotLocked()
}

// markSeenLocked records a message id, so that the message is applied only once.
func (t *Table) markSeenLocked(id string) {
	if len(t.seenOrder) == maxSeenIDs {
		delete(t.seenIDs, t.seenOrder[0])
		t.seenOrder = t.seenOrder[1:]
	}
	t.seenIDs[id] = true
	t.seenOrder = append(t.seenOrder, id)
}

func (t *Table) expireLocked(now time.Time) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c crash) bool {
		return now.Sub(c.at) > suspicionPeriod || len(c.suspects) == 0
	})
	for _, ends := range []map[uint64]time.Time{t.quarantinedUntil, t.inspectedUntil} {
		for fingerprint, end := range ends {
			if now.After(end) {
				delete(ends, fingerprint)
			}
		}
	}
}

// addCrashLocked adds a crash, and quarantines the fingerprints that it has in
// common with an earlier one. The other fingerprints are no longer suspects of
// either crash.
func (t *Table) addCrashLocked(latest crash) {
	for i := range t.crashes {
		common := intersection(t.crashes[i].suspects, latest.suspects)
		if len(common) == 0 {
			continue
		}
		t.crashes[i].suspects = common
		latest.suspects = common
		t.quarantineLocked(common, latest.at)
	}
	if len(t.crashes) == maxCrashes {
		t.crashes = t.crashes[1:]
	}
	t.crashes = append(t.crashes, latest)
}

func (t *Table) quarantineLocked(common []uint64, now time.Time) {
	term := singleSuspectTerm
	if len(common) > 1 {
		term = multipleSuspectsTerm
	}
	for _, fingerprint := range common {
		t.quarantinedUntil[fingerprint] = now.Add(term)
		t.logger.Warn("request quarantined", zap.String("fingerprint", strconv.FormatUint(fingerprint, 16)), zap.Duration("term", term))
	}
}

func (t *Table) clearLocked(fingerprint uint64) {
	if _, ok := t.quarantinedUntil[fingerprint]; ok {
		t.logger.Info("request released from quarantine", zap.String("fingerprint", strconv.FormatUint(fingerprint, 16)))
	}
	delete(t.quarantinedUntil, fingerprint)
	for i := range t.crashes {
		t.crashes[i].suspects = slices.DeleteFunc(t.crashes[i].suspects, func(f uint64) bool { return f == fingerprint })
	}
}

func (t *Table) publishSnapshotLocked() {
	next := &snapshot{quarantinedUntil: make(map[uint64]time.Time), suspects: make(map[uint64]bool), inspected: make(map[uint64]bool)}
	for base := range t.inspectedUntil {
		next.inspected[base] = true
	}
	for fingerprint, end := range t.quarantinedUntil {
		next.quarantinedUntil[fingerprint] = end
	}
	for _, c := range t.crashes {
		for _, fingerprint := range c.suspects {
			next.suspects[fingerprint] = true
		}
	}
	t.snapshot.Store(next)
}

// intersection returns the elements that two sorted lists have in common.
func intersection(a, b []uint64) []uint64 {
	var common []uint64
	for _, fingerprint := range a {
		if _, ok := slices.BinarySearch(b, fingerprint); ok {
			common = append(common, fingerprint)
		}
	}
	return common
}

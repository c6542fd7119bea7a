package entry

import (
	"bytes"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

const (
	// maxSuccessBytes and maxFailureBytes bound the memory of requests: 2 MiB of the 32 MB
	// that a node's control may use. Failures have their own so that successes don't
	// displace them.
	maxSuccessBytes = 5 << 18
	maxFailureBytes = 3 << 18
	// recordOverheadBytes is counted for each record besides its encoded form.
	recordOverheadBytes = 24
	// maxRememberedText bounds each text of a record in bytes. Requests with a longer id
	// aren't remembered.
	maxRememberedText = 128
	// maxRememberedAttempts bounds the attempts in a record.
	maxRememberedAttempts = 8
	// maxFoundRecords bounds the records with one id that are returned; callers may use an
	// id again.
	maxFoundRecords = 16
)

// requestMemory holds the most recent requests that were logged. It is safe for concurrent
// use; the rate limits of the log bound the use of its lock.
type requestMemory struct {
	mu                  sync.Mutex
	successes, failures records
}

// records is a queue of encoded WhereRecords, which hold no pointers that the garbage
// collector has to follow.
type records struct {
	encoded [][]byte
	bytes   int
}

// add appends a record and removes the oldest ones beyond the limit in bytes.
func (r *records) add(record []byte, limit int) {
	r.encoded = append(r.encoded, record)
	r.bytes += len(record) + recordOverheadBytes
	for r.bytes > limit {
		r.bytes -= len(r.encoded[0]) + recordOverheadBytes
		r.encoded[0] = nil
		r.encoded = r.encoded[1:]
	}
}

// add remembers a request and its answer.
func (m *requestMemory) add(x *exchange, answer *wire.Answer) {
	if len(x.requestID) > maxRememberedText {
		return
	}
	encoded, err := proto.Marshal(x.record(answer))
	if err != nil {
		return // a text that isn't UTF-8
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if answer.Kind == 0 && answer.Status < 400 {
		m.successes.add(encoded, maxSuccessBytes)
		return
	}
	m.failures.add(encoded, maxFailureBytes)
}

// record describes what was decided about the request.
func (x *exchange) record(answer *wire.Answer) *pb.WhereRecord {
	record := &pb.WhereRecord{
		RequestId: x.requestID, TimeUnixMs: x.startTime.UnixMilli(),
		Method: boundedText(x.r.Method), Host: boundedText(x.r.Host), Path: boundedText(x.r.URL.EscapedPath()),
		Class: x.call.Class, Organisation: x.call.Organisation,
		Kind: answer.Kind, Status: uint32(answer.Status), Message: boundedText(answer.Message),
		TookUs: uint64(max(time.Since(x.startTime).Microseconds(), 0)),
	}
	if answer.Kind != 0 {
		record.Status = uint32(errkind.Of(answer.Kind).Status)
		record.RetryAfterMs = uint32(answer.SuggestedWait().Milliseconds())
	}
	if x.service != nil {
		record.Service, record.Route = x.service.name, x.route.name
	}
	if !x.call.Deadline.IsZero() {
		record.LeftUs = time.Until(x.call.Deadline).Microseconds()
	}
	if x.authenticatedBy != nil {
		record.ConfigVersion = x.authenticatedBy.regions.Version()
	}
	for _, a := range x.attemptLog[:min(len(x.attemptLog), maxRememberedAttempts)] {
		attempt := &pb.WhereAttempt{Instance: a.instance, Region: a.region, Outcome: a.outcome, LatencyUs: uint64(max(a.latency.Microseconds(), 0))}
		if a.offer != nil {
			attempt.Offer = &pb.WhereOffer{
				WaitUs: microseconds(a.offer.Wait), ServiceUs: microseconds(a.offer.ServiceTime),
				RoundTripUs: microseconds(a.offer.RoundTrip), AtOnce: a.offer.AtOnce,
			}
		}
		record.Attempts = append(record.Attempts, attempt)
	}
	return record
}

// boundedText returns the first bytes of a text, without those that aren't UTF-8.
func boundedText(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxRememberedText)], "")
}

// Remembered returns what the entry remembers of the requests with an id, newest first.
func (h *Handler) Remembered(id string) *pb.WhereMemory {
	m := &h.memory
	m.mu.Lock()
	all := slices.Concat(m.successes.encoded, m.failures.encoded)
	successes := len(m.successes.encoded)
	m.mu.Unlock()
	memory := &pb.WhereMemory{Remembered: uint32(len(all))}
	for i, encoded := range all {
		isOldest := i == 0 || i == successes
		if !isOldest && !bytes.Contains(encoded, []byte(id)) {
			continue
		}
		record := &pb.WhereRecord{}
		if err := proto.Unmarshal(encoded, record); err != nil {
			continue // can't happen: add encoded it
		}
		if isOldest && (memory.OldestUnixMs == 0 || record.GetTimeUnixMs() < memory.GetOldestUnixMs()) {
			memory.OldestUnixMs = record.GetTimeUnixMs()
		}
		if record.GetRequestId() == id {
			memory.Records = append(memory.Records, record)
		}
	}
	slices.SortStableFunc(memory.Records, func(a, b *pb.WhereRecord) int { return int(b.GetTimeUnixMs() - a.GetTimeUnixMs()) })
	memory.Records = memory.Records[:min(len(memory.Records), maxFoundRecords)]
	return memory
}

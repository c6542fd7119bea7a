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
	// maxSuccessBytes and maxFailureBytes bound the recent requests: 2 MiB of the 32 MB
	// that a node's control may use. Failures have their own so that successes don't
	// displace them.
	maxSuccessBytes = 5 << 18
	maxFailureBytes = 3 << 18
	// recordOverheadBytes is counted for each record besides its encoded form.
	recordOverheadBytes = 24
	// maxRecordedText bounds each text of a record in bytes. Requests with a longer id
	// aren't recorded.
	maxRecordedText = 128
	// maxRecordedAttempts bounds the attempts in a record.
	maxRecordedAttempts = 8
	// maxFoundRecords bounds the records with one id that are returned; callers may use an
	// id again.
	maxFoundRecords = 16
)

// recentRequests holds the most recent requests that were logged. It is safe for concurrent
// use; the rate limits of the log bound the use of its lock.
type recentRequests struct {
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

// add records a request and its answer.
func (r *recentRequests) add(x *exchange, answer *wire.Answer) {
	if len(x.requestID) > maxRecordedText {
		return
	}
	encoded, err := proto.Marshal(x.record(answer))
	if err != nil {
		return // a text that isn't UTF-8
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if answer.Kind == 0 && answer.Status < 400 {
		r.successes.add(encoded, maxSuccessBytes)
		return
	}
	r.failures.add(encoded, maxFailureBytes)
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
	for _, a := range x.attemptLog[:min(len(x.attemptLog), maxRecordedAttempts)] {
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
	return strings.ToValidUTF8(text[:min(len(text), maxRecordedText)], "")
}

// RecentRequests returns the recent requests with an id, newest first.
func (h *Handler) RecentRequests(id string) *pb.WhereRecentRequests {
	r := &h.recent
	r.mu.Lock()
	// The copies of the slices share the records, which don't change.
	successes, failures := slices.Clone(r.successes.encoded), slices.Clone(r.failures.encoded)
	r.mu.Unlock()
	recent := &pb.WhereRecentRequests{
		Count:               uint32(len(successes) + len(failures)),
		OldestSuccessUnixMs: oldestTime(successes),
		OldestFailureUnixMs: oldestTime(failures),
	}
	for _, encoded := range slices.Concat(successes, failures) {
		if !bytes.Contains(encoded, []byte(id)) {
			continue
		}
		if record := decodeRecord(encoded); record.GetRequestId() == id {
			recent.Records = append(recent.Records, record)
		}
	}
	slices.SortStableFunc(recent.Records, func(a, b *pb.WhereRecord) int { return int(b.GetTimeUnixMs() - a.GetTimeUnixMs()) })
	recent.Records = recent.Records[:min(len(recent.Records), maxFoundRecords)]
	return recent
}

// oldestTime returns the time of the first record in Unix milliseconds, or zero without any.
func oldestTime(encoded [][]byte) int64 {
	if len(encoded) == 0 {
		return 0
	}
	return decodeRecord(encoded[0]).GetTimeUnixMs()
}

func decodeRecord(encoded []byte) *pb.WhereRecord {
	record := &pb.WhereRecord{}
	if err := proto.Unmarshal(encoded, record); err != nil {
		return nil // can't happen: add encoded it
	}
	return record
}

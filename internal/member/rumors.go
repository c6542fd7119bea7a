package member

import (
	"math/bits"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// MaxPayloadBytes is the maximum size of a rumor's payload.
	MaxPayloadBytes = 1024
	maxTopicBytes   = 64
	// maxRumorTTL is how long a rumor is forwarded.
	maxRumorTTL = 10 * time.Second
	// maxRumors bounds the active rumors and the queued deliveries to subscribers.
	maxRumors = 256
	// maxSeenIDs bounds the rumor IDs remembered for deduplication.
	maxSeenIDs = 8192
	// seenIDRetention is how long a rumor ID is remembered. It is longer than
	// maxRumorTTL.
	seenIDRetention = time.Minute
	// maxRoundRumors bounds the rumors sent in the message of a round.
	maxRoundRumors  = 4
	maxRumorIDBytes = 64
)

// rumorRoundsFactor times the binary logarithm of the fleet's size is the number of
// rounds in which a rumor is sent. Unlike a member record, a lost rumor isn't
// repaired by comparing tables.
const rumorRoundsFactor = 3

// activeRumor is a rumor that is still being forwarded.
type activeRumor struct {
	rumor     *pb.Rumor
	expires   time.Time
	sendsLeft int
	pushed    bool
}

// rumors holds the active rumors, the IDs already seen and the subscribers. It
// isn't safe for concurrent use.
type rumors struct {
	active   []*activeRumor
	seen     map[string]time.Time
	handlers map[string][]func([]byte)
}

func (r *rumors) init() {
	r.seen = map[string]time.Time{}
	r.handlers = map[string][]func([]byte){}
}

// Broadcast implements peer.Broadcaster. A payload longer than MaxPayloadBytes or a topic
// longer than maxTopicBytes is dropped and counted.
func (l *List) Broadcast(topic string, payload []byte) {
	if len(payload) > MaxPayloadBytes || len(topic) > maxTopicBytes {
		l.stats.rumorsDropped.Add(1)
		return
	}
	rumor := &pb.Rumor{
		Topic:   topic,
		Id:      uuid.Must(uuid.NewV7()).String(),
		Payload: payload,
		TtlMs:   uint32(maxRumorTTL.Milliseconds()),
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handleRumors([]*pb.Rumor{rumor}, time.Now())
}

// Subscribe implements peer.Broadcaster. All handlers run sequentially on one
// separate goroutine; a handler that blocks delays the others, and payloads are
// dropped once the delivery queue is full.
func (l *List) Subscribe(topic string, handler func(payload []byte)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rumors.handlers[topic] = append(l.rumors.handlers[topic], handler)
}

// handleRumors delivers the rumors that haven't been seen before to the subscribers
// and forwards them. The caller holds mu.
func (l *List) handleRumors(arrived []*pb.Rumor, now time.Time) {
	for _, rumor := range arrived {
		if len(rumor.Payload) > MaxPayloadBytes || len(rumor.Topic) > maxTopicBytes || len(rumor.Id) > maxRumorIDBytes {
			continue
		}
		if _, ok := l.rumors.seen[rumor.Id]; ok || rumor.TtlMs == 0 {
			continue
		}
		if len(l.rumors.seen) >= maxSeenIDs || len(l.rumors.active) >= maxRumors {
			l.rumors.expire(now)
		}
		if len(l.rumors.seen) >= maxSeenIDs {
			l.stats.rumorsDropped.Add(1)
			continue
		}
		l.rumors.seen[rumor.Id] = now.Add(seenIDRetention)
		l.deliver(rumor)
		l.addRumor(rumor, now)
	}
}

// deliver hands a rumor to its subscribers. The caller holds mu.
func (l *List) deliver(rumor *pb.Rumor) {
	for _, handler := range l.rumors.handlers[rumor.Topic] {
		select {
		case l.deliveries <- func() { handler(rumor.Payload) }:
		default:
			l.stats.rumorsDropped.Add(1)
		}
	}
}

// runDeliveries calls the rumor subscribers until the list is closed.
func (l *List) runDeliveries() {
	for {
		select {
		case deliver := <-l.deliveries:
			deliver()
		case <-l.ctx.Done():
			return
		}
	}
}

// addRumor starts forwarding a rumor. The caller holds mu.
func (l *List) addRumor(rumor *pb.Rumor, now time.Time) {
	if len(l.rumors.active) >= maxRumors {
		l.stats.rumorsDropped.Add(1)
		return
	}
	ttl := min(time.Duration(rumor.TtlMs)*time.Millisecond, maxRumorTTL)
	l.rumors.active = append(l.rumors.active, &activeRumor{
		rumor:     rumor,
		expires:   now.Add(ttl),
		sendsLeft: rumorRoundsFactor * bits.Len(uint(len(l.table.entries))),
	})
	if l.started && !l.flushScheduled {
		l.flushScheduled = true
		l.after(flushDelay, l.flush)
	}
}

// expire removes the rumors that need no more sending and the IDs past their
// retention.
func (r *rumors) expire(now time.Time) {
	kept := r.active[:0]
	for _, a := range r.active {
		if a.sendsLeft > 0 && now.Before(a.expires) {
			kept = append(kept, a)
		}
	}
	clear(r.active[len(kept):])
	r.active = kept
	for id, until := range r.seen {
		if now.After(until) {
			delete(r.seen, id)
		}
	}
}

// takeForRound returns the rumors to send in a round and counts them as sent once
// more.
func (r *rumors) takeForRound(now time.Time) []*pb.Rumor {
	var out []*pb.Rumor
	for _, a := range r.active {
		if len(out) >= maxRoundRumors {
			break
		}
		if a.sendsLeft > 0 && now.Before(a.expires) {
			a.sendsLeft--
			out = append(out, a.toWire(now))
		}
	}
	return out
}

// takeUnpushed returns the rumors that haven't been pushed yet and marks them as
// pushed.
func (r *rumors) takeUnpushed(now time.Time) []*pb.Rumor {
	var out []*pb.Rumor
	for _, a := range r.active {
		if !a.pushed && now.Before(a.expires) {
			a.pushed = true
			out = append(out, a.toWire(now))
		}
	}
	return out
}

// toWire returns the rumor to send, with its remaining time to live.
func (a *activeRumor) toWire(now time.Time) *pb.Rumor {
	rumor := proto.CloneOf(a.rumor)
	rumor.TtlMs = uint32(a.expires.Sub(now).Milliseconds())
	return rumor
}

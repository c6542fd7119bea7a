// Package offer asks gates how soon they would answer a request before it is sent.
// Questions and offers are datagrams: one that is lost or late is missing from the
// choice, and nothing waits for it for long.
package offer

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/budget"
	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// maxDatagram bounds a datagram, bytes: names of a route and a service and a
	// few numbers.
	maxDatagram = 1200
	// macSize is the length of the truncated HMAC that begins a datagram, bytes.
	macSize = 8
	// maxAnswering bounds the questions answered at once; more are dropped, and
	// their entries choose among other gates.
	maxAnswering = 256
	// readPause follows an error of reading, so that a lasting one costs no processor.
	readPause = time.Millisecond
	// answerTime bounds the making of an offer, which may ask the backend server.
	answerTime = 20 * time.Millisecond
)

// Answerer makes the offers of this node's gate.
type Answerer func(ctx context.Context, question *pb.OfferQuestion) *pb.Offer

// Allowance says whether a datagram of that size fits the budget of measuring load.
// Questions give way to offers: an unanswered question holds up its entry.
type Allowance func(class budget.Class, bytes int) bool

// Patience is how long an entry waits for offers.
type Patience struct {
	// Some is the wait after which the offers that came suffice.
	Some time.Duration
	// Any is the wait for a first offer.
	Any time.Duration
}

// Reply is what came of a question.
type Reply struct {
	// Offer is nil when none came in time.
	Offer *pb.Offer
	// Trip is the time from the question to the offer.
	Trip time.Duration
}

// Stats are counts since the start.
type Stats struct {
	Questions, Offers, Dropped, Malformed atomic.Int64
}

// Exchange sends questions, collects offers and answers the questions of others on
// one socket. Safe for concurrent use.
type Exchange struct {
	conn   net.PacketConn
	own    string
	key    []byte
	answer Answerer
	allow  Allowance
	logger *zap.Logger
	stats  Stats

	answering chan struct{}

	mu      sync.Mutex
	number  uint64
	waiting map[uint64]chan<- arrival
}

// arrival is an offer that came.
type arrival struct {
	number uint64
	offer  *pb.Offer
	at     time.Time
}

// New returns an exchange on conn, which it closes with Close. Every datagram is
// signed with key; those that allow refuses aren't sent.
func New(conn net.PacketConn, key []byte, answer Answerer, allow Allowance, logger *zap.Logger) *Exchange {
	return &Exchange{
		conn:      conn,
		own:       conn.LocalAddr().String(),
		key:       key,
		answer:    answer,
		allow:     allow,
		logger:    logger,
		answering: make(chan struct{}, maxAnswering),
		waiting:   make(map[uint64]chan<- arrival),
	}
}

// Stats returns the counters.
func (e *Exchange) Stats() *Stats { return &e.stats }

// Close ends Serve.
func (e *Exchange) Close() error { return eris.Wrap(e.conn.Close(), "close the socket of offers") }

// Serve reads datagrams until the exchange is closed.
func (e *Exchange) Serve() error {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := e.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Mostly an earlier datagram that its receiver's machine refused.
			e.logger.Debug("datagram not read", zap.Error(err))
			time.Sleep(readPause)
			continue
		}
		message, ok := e.open(buffer[:n])
		if !ok {
			e.stats.Malformed.Add(1)
			continue
		}
		switch content := message.Content.(type) {
		case *pb.OfferMessage_Offer:
			e.arrived(message.Number, content.Offer)
		case *pb.OfferMessage_Question:
			e.respond(from, message.Number, content.Question)
		}
	}
}

func (e *Exchange) arrived(number uint64, offer *pb.Offer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if waiting := e.waiting[number]; waiting != nil {
		delete(e.waiting, number)
		waiting <- arrival{number: number, offer: offer, at: time.Now()} // has room for all
	}
}

// respond answers a question without holding up the next ones.
func (e *Exchange) respond(to net.Addr, number uint64, question *pb.OfferQuestion) {
	select {
	case e.answering <- struct{}{}:
	default:
		e.stats.Dropped.Add(1)
		return
	}
	go func() {
		defer func() { <-e.answering }()
		ctx, cancel := context.WithTimeout(context.Background(), answerTime)
		defer cancel()
		offer := e.answer(ctx, question)
		message := &pb.OfferMessage{Number: number, Content: &pb.OfferMessage_Offer{Offer: offer}}
		if e.send(to, budget.ClassReport, message) {
			e.stats.Offers.Add(1)
		}
	}()
}

// Ask puts a question to gates by their addresses and returns their replies in the
// same order.
func (e *Exchange) Ask(ctx context.Context, addresses []string, question *pb.OfferQuestion, patience Patience) []Reply {
	replies := make([]Reply, len(addresses))
	arrivals := make(chan arrival, len(addresses))
	first := e.expect(arrivals, len(addresses))
	defer e.forget(first, len(addresses))
	begun := time.Now()
	asked := 0
	for i, address := range addresses {
		if e.question(ctx, address, first+uint64(i), question) {
			asked++
		}
	}
	some, any := time.NewTimer(patience.Some), time.NewTimer(patience.Any)
	defer some.Stop()
	defer any.Stop()
	for came, late := 0, false; came < asked && (came == 0 || !late); {
		select {
		case a := <-arrivals:
			replies[a.number-first] = Reply{Offer: a.offer, Trip: a.at.Sub(begun)}
			came++
		case <-some.C:
			late = true
		case <-any.C:
			return replies
		case <-ctx.Done():
			return replies
		}
	}
	return replies
}

// expect takes count numbers whose offers go to arrivals, and returns the first.
func (e *Exchange) expect(arrivals chan<- arrival, count int) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	first := e.number
	e.number += uint64(count)
	for number := first; number < e.number; number++ {
		e.waiting[number] = arrivals
	}
	return first
}

func (e *Exchange) forget(first uint64, count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for number := first; number < first+uint64(count); number++ {
		delete(e.waiting, number)
	}
}

// question sends one question and reports whether it did. This node's own gate is
// asked directly.
func (e *Exchange) question(ctx context.Context, address string, number uint64, question *pb.OfferQuestion) bool {
	if address == e.own {
		go func() { e.arrived(number, e.answer(ctx, question)) }()
		return true
	}
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		e.logger.Warn("address of a gate is malformed", zap.String("address", address), zap.Error(err))
		return false
	}
	message := &pb.OfferMessage{Number: number, Content: &pb.OfferMessage_Question{Question: question}}
	if !e.send(net.UDPAddrFromAddrPort(to), budget.ClassProbe, message) {
		return false
	}
	e.stats.Questions.Add(1)
	return true
}

// send sends a datagram if it fits the budget, and reports whether it did.
func (e *Exchange) send(to net.Addr, class budget.Class, message *pb.OfferMessage) bool {
	body, err := proto.Marshal(message)
	if err != nil {
		e.logger.Error("offer not encoded", zap.Error(err))
		return false
	}
	if !e.allow(class, macSize+len(body)) {
		e.stats.Dropped.Add(1)
		return false
	}
	if _, err := e.conn.WriteTo(append(e.mac(body), body...), to); err != nil {
		e.stats.Dropped.Add(1)
		e.logger.Debug("datagram not sent", zap.Stringer("to", to), zap.Error(err))
		return false
	}
	return true
}

// open checks the signature of a datagram and decodes it.
func (e *Exchange) open(datagram []byte) (*pb.OfferMessage, bool) {
	if len(datagram) < macSize || !hmac.Equal(datagram[:macSize], e.mac(datagram[macSize:])) {
		return nil, false
	}
	message := &pb.OfferMessage{}
	if err := proto.Unmarshal(datagram[macSize:], message); err != nil {
		return nil, false
	}
	return message, true
}

func (e *Exchange) mac(body []byte) []byte {
	mac := hmac.New(sha256.New, e.key)
	mac.Write([]byte("egretfield offer"))
	mac.Write(body)
	return mac.Sum(nil)[:macSize]
}

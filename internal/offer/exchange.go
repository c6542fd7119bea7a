// Package offer lets an entry ask gates, before it sends a request, how soon they
// would answer it. Questions and offers are UDP datagrams. A gate whose offer is
// lost or late isn't considered, and the wait for offers is bounded.
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
	// maxDatagram bounds the size of a datagram in bytes. It holds the names of a
	// route and a service and a few numbers.
	maxDatagram = 1200
	// macSize is the length in bytes of the truncated HMAC at the start of a
	// datagram.
	macSize = 8
	// maxConcurrentAnswers bounds the questions answered at once. Questions over
	// the limit are dropped, and the entries that sent them choose among other
	// gates.
	maxConcurrentAnswers = 256
	// readErrorPause is the pause after a read error, so that a persistent error
	// doesn't use up a CPU.
	readErrorPause = time.Millisecond
	// answerTimeout bounds the time to make an offer, which may include a probe of
	// the backend server.
	answerTimeout = 20 * time.Millisecond
)

// Answerer makes the offers of this node's gate.
type Answerer func(ctx context.Context, question *pb.OfferQuestion) *pb.Offer

// Allowance reports whether a datagram of that size fits the budget for load
// measurement. Offers have priority over questions: an entry waits for the answer
// to a question it has sent.
type Allowance func(class budget.Class, bytes int) bool

// WaitLimits bounds how long an entry waits for offers.
type WaitLimits struct {
	// SettleAfter is the time after which the entry stops waiting if it has at least one
	// offer.
	SettleAfter time.Duration
	// GiveUpAfter is the time after which the entry stops waiting even without an offer.
	GiveUpAfter time.Duration
}

// classOf returns the class of a question, or of its offer if the question is an ordinary
// one of that class. Offers for extra questions are extra, too: else they would displace
// the questions of the gate's own node.
func classOf(question *pb.OfferQuestion, ordinary budget.Class) budget.Class {
	if question.GetExtra() {
		return budget.ClassExtra
	}
	return ordinary
}

// Reply is the result of a question.
type Reply struct {
	// Offer is nil when none arrived in time.
	Offer *pb.Offer
	// RoundTrip is the time from sending the question to receiving the offer.
	RoundTrip time.Duration
}

// Quota receives the datagrams about usage caps. Its methods must not block.
type Quota interface {
	// HandleRequest returns the reply to a request for tokens.
	HandleRequest(from string, number uint64, request *pb.QuotaRequest) *pb.QuotaGrant
	// HandleGrant receives the reply to the request with that number.
	HandleGrant(number uint64, grant *pb.QuotaGrant)
}

// Stats are counts since the start: questions, offers, requests for tokens and grants
// sent, messages dropped (those not sent, and questions received over the limit), and
// datagrams received that are malformed or signed with another key.
type Stats struct {
	Questions, Offers, QuotaRequests, QuotaGrants, Dropped, Malformed atomic.Int64
}

// Exchange sends questions, collects offers and answers the questions of other
// nodes on one socket. Safe for concurrent use.
type Exchange struct {
	conn       net.PacketConn
	ownAddress string
	key        []byte
	answer     Answerer
	allow      Allowance
	logger     *zap.Logger
	stats      Stats

	quota       Quota
	answerSlots chan struct{}

	mu      sync.Mutex
	number  uint64
	waiting map[uint64]chan<- receivedOffer
}

// receivedOffer is an offer with the number of its question and its time of
// arrival.
type receivedOffer struct {
	number uint64
	offer  *pb.Offer
	at     time.Time
}

// New returns an exchange on conn. Close closes conn. Every datagram is signed with
// key. Datagrams that allow rejects aren't sent.
func New(conn net.PacketConn, key []byte, answer Answerer, allow Allowance, logger *zap.Logger) *Exchange {
	return &Exchange{
		conn:        conn,
		ownAddress:  conn.LocalAddr().String(),
		key:         key,
		answer:      answer,
		allow:       allow,
		logger:      logger,
		answerSlots: make(chan struct{}, maxConcurrentAnswers),
		waiting:     make(map[uint64]chan<- receivedOffer),
	}
}

// SetQuota sets the receiver of datagrams about usage caps. It must be called before
// Serve; without it they are ignored.
func (e *Exchange) SetQuota(quota Quota) { e.quota = quota }

// Stats returns the counters.
func (e *Exchange) Stats() *Stats { return &e.stats }

// Close closes the socket and ends Serve.
func (e *Exchange) Close() error { return eris.Wrap(e.conn.Close(), "close the offer socket") }

// Serve reads datagrams until the exchange is closed.
func (e *Exchange) Serve() error {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := e.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Usually an earlier datagram was refused by the machine it was sent to.
			e.logger.Debug("reading a datagram failed", zap.Error(err))
			time.Sleep(readErrorPause)
			continue
		}
		e.receive(from, buffer[:n])
	}
}

// receive handles a datagram.
func (e *Exchange) receive(from net.Addr, datagram []byte) {
	message, ok := e.decode(datagram)
	if !ok {
		e.stats.Malformed.Add(1)
		return
	}
	switch content := message.Content.(type) {
	case *pb.OfferMessage_Offer:
		e.deliver(message.Number, content.Offer)
	case *pb.OfferMessage_Question:
		e.respond(from, message.Number, content.Question)
	case *pb.OfferMessage_QuotaRequest:
		e.grant(from, message.Number, content.QuotaRequest)
	case *pb.OfferMessage_QuotaGrant:
		if e.quota != nil {
			e.quota.HandleGrant(message.Number, content.QuotaGrant)
		}
	}
}

func (e *Exchange) deliver(number uint64, offer *pb.Offer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if waiting := e.waiting[number]; waiting != nil {
		delete(e.waiting, number)
		waiting <- receivedOffer{number: number, offer: offer, at: time.Now()} // buffered for all offers
	}
}

// respond answers a question in a goroutine of its own, so that it doesn't delay
// the next datagrams.
func (e *Exchange) respond(to net.Addr, number uint64, question *pb.OfferQuestion) {
	select {
	case e.answerSlots <- struct{}{}:
	default:
		e.stats.Dropped.Add(1)
		return
	}
	go func() {
		defer func() { <-e.answerSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
		defer cancel()
		offer := e.answer(ctx, question)
		message := &pb.OfferMessage{Number: number, Content: &pb.OfferMessage_Offer{Offer: offer}}
		if e.send(to, classOf(question, budget.ClassReport), message) {
			e.stats.Offers.Add(1)
		}
	}()
}

// grant replies to a request for tokens.
func (e *Exchange) grant(to net.Addr, number uint64, request *pb.QuotaRequest) {
	if e.quota == nil {
		return
	}
	reply := e.quota.HandleRequest(to.String(), number, request)
	message := &pb.OfferMessage{Number: number, Content: &pb.OfferMessage_QuotaGrant{QuotaGrant: reply}}
	if e.send(to, budget.ClassQuota, message) {
		e.stats.QuotaGrants.Add(1)
	}
}

// SendQuotaRequest sends a request for tokens to the node at an address and reports
// whether it was sent.
func (e *Exchange) SendQuotaRequest(address string, number uint64, request *pb.QuotaRequest) bool {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		e.logger.Warn("malformed address of a quota owner", zap.String("address", address), zap.Error(err))
		return false
	}
	message := &pb.OfferMessage{Number: number, Content: &pb.OfferMessage_QuotaRequest{QuotaRequest: request}}
	if !e.send(net.UDPAddrFromAddrPort(to), budget.ClassQuota, message) {
		return false
	}
	e.stats.QuotaRequests.Add(1)
	return true
}

// Ask sends a question to the gates at the addresses and returns their replies in
// the same order.
func (e *Exchange) Ask(ctx context.Context, addresses []string, question *pb.OfferQuestion, limits WaitLimits) []Reply {
	replies := make([]Reply, len(addresses))
	arrivals := make(chan receivedOffer, len(addresses))
	first := e.register(arrivals, len(addresses))
	defer e.unregister(first, len(addresses))
	startedAt := time.Now()
	sent := 0
	for i, address := range addresses {
		if e.question(ctx, address, first+uint64(i), question) {
			sent++
		}
	}
	settle, giveUp := time.NewTimer(limits.SettleAfter), time.NewTimer(limits.GiveUpAfter)
	defer settle.Stop()
	defer giveUp.Stop()
	for received, settled := 0, false; received < sent && (received == 0 || !settled); {
		select {
		case a := <-arrivals:
			replies[a.number-first] = Reply{Offer: a.offer, RoundTrip: a.at.Sub(startedAt)}
			received++
		case <-settle.C:
			settled = true
		case <-giveUp.C:
			return replies
		case <-ctx.Done():
			return replies
		}
	}
	return replies
}

// register reserves count question numbers whose offers are delivered to receiver,
// and returns the first number.
func (e *Exchange) register(receiver chan<- receivedOffer, count int) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	first := e.number
	e.number += uint64(count)
	for number := first; number < e.number; number++ {
		e.waiting[number] = receiver
	}
	return first
}

func (e *Exchange) unregister(first uint64, count int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for number := first; number < first+uint64(count); number++ {
		delete(e.waiting, number)
	}
}

// question sends one question and reports whether it was sent. This node's own gate
// is asked directly.
func (e *Exchange) question(ctx context.Context, address string, number uint64, question *pb.OfferQuestion) bool {
	if address == e.ownAddress {
		go func() { e.deliver(number, e.answer(ctx, question)) }()
		return true
	}
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		e.logger.Warn("malformed gate address", zap.String("address", address), zap.Error(err))
		return false
	}
	message := &pb.OfferMessage{Number: number, Content: &pb.OfferMessage_Question{Question: question}}
	if !e.send(net.UDPAddrFromAddrPort(to), classOf(question, budget.ClassProbe), message) {
		return false
	}
	e.stats.Questions.Add(1)
	return true
}

// send sends a datagram if it fits the budget, and reports whether it was sent.
func (e *Exchange) send(to net.Addr, class budget.Class, message *pb.OfferMessage) bool {
	body, err := proto.Marshal(message)
	if err != nil {
		e.logger.Error("encoding an offer message failed", zap.Error(err))
		return false
	}
	if !e.allow(class, macSize+len(body)) {
		e.stats.Dropped.Add(1)
		return false
	}
	if _, err := e.conn.WriteTo(append(e.mac(body), body...), to); err != nil {
		e.stats.Dropped.Add(1)
		e.logger.Debug("sending a datagram failed", zap.Stringer("to", to), zap.Error(err))
		return false
	}
	return true
}

// decode verifies the HMAC of a datagram and decodes its message.
func (e *Exchange) decode(datagram []byte) (*pb.OfferMessage, bool) {
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

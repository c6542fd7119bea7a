package offer

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/egretfield/egretfield/internal/budget"
	"github.com/egretfield/egretfield/internal/pb"
)

var testWaitLimits = WaitLimits{SettleAfter: 50 * time.Millisecond, GiveUpAfter: 300 * time.Millisecond}

// startExchange returns an exchange that serves on a local socket until the test
// ends.
func startExchange(t *testing.T, key string, answer Answerer) *Exchange {
	e := newExchange(t, key, answer)
	serveExchange(t, e)
	return e
}

// newExchange returns an exchange on a local socket that doesn't serve yet.
func newExchange(t *testing.T, key string, answer Answerer) *Exchange {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return New(conn, []byte(key), answer, allowAll, zap.NewNop())
}

// serveExchange lets the exchange serve until the test ends.
func serveExchange(t *testing.T, e *Exchange) {
	served := make(chan error, 1)
	go func() { served <- e.Serve() }()
	t.Cleanup(func() {
		e.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
}

func allowAll(budget.Class, int) bool { return true }

// answerWithWait returns an answerer whose offers have the given wait.
func answerWithWait(us uint32) Answerer {
	return func(_ context.Context, question *pb.OfferQuestion) *pb.Offer {
		return &pb.Offer{WaitUs: us, WorkUs: question.GetTargetUs()}
	}
}

// unansweredAddress returns the address of a socket that nobody reads.
func unansweredAddress(t *testing.T) string {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn.LocalAddr().String()
}

func TestAsk(t *testing.T) {
	const key = "a key of sixteen"
	entry := startExchange(t, key, answerWithWait(1))
	a, b := startExchange(t, key, answerWithWait(2)), startExchange(t, key, answerWithWait(3))
	otherKeyGate := startExchange(t, "a key of another", answerWithWait(4))
	unanswered := unansweredAddress(t)
	question := &pb.OfferQuestion{Service: "s", TargetUs: 7}
	ask := func(addresses ...string) []Reply {
		return entry.Ask(context.Background(), addresses, question, testWaitLimits)
	}

	Convey("Replies have the order of the addresses, including this node's own", t, func() {
		replies := ask(b.ownAddress, entry.ownAddress, a.ownAddress)
		So(replies[0].Offer.GetWaitUs(), ShouldEqual, 3)
		So(replies[1].Offer.GetWaitUs(), ShouldEqual, 1)
		So(replies[2].Offer.GetWaitUs(), ShouldEqual, 2)
		So(replies[2].Offer.GetWorkUs(), ShouldEqual, 7)
		So(replies[2].RoundTrip, ShouldBeGreaterThan, 0)
	})
	Convey("A gate that doesn't answer delays the other offers for a bounded time", t, func() {
		begun := time.Now()
		replies := ask(unanswered, a.ownAddress)
		So(time.Since(begun), ShouldBeBetween, testWaitLimits.SettleAfter, testWaitLimits.GiveUpAfter)
		So(replies[0].Offer, ShouldBeNil)
		So(replies[1].Offer, ShouldNotBeNil)
	})
	Convey("The wait also ends without any offer", t, func() {
		begun := time.Now()
		So(ask(unanswered)[0].Offer, ShouldBeNil)
		So(time.Since(begun), ShouldBeGreaterThanOrEqualTo, testWaitLimits.GiveUpAfter)
		So(ask("not an address")[0].Offer, ShouldBeNil)
	})
	Convey("Questions signed with another key aren't answered", t, func() {
		So(ask(otherKeyGate.ownAddress)[0].Offer, ShouldBeNil)
		So(otherKeyGate.Stats().Malformed.Load(), ShouldEqual, 1)
	})
	Convey("A question that doesn't fit the budget isn't sent, and isn't waited for", t, func() {
		entry.allow = func(budget.Class, int) bool { return false }
		defer func() { entry.allow = allowAll }()
		begun := time.Now()
		So(ask(a.ownAddress)[0].Offer, ShouldBeNil)
		So(time.Since(begun), ShouldBeLessThan, testWaitLimits.SettleAfter)
	})
	Convey("Questions for requests that are placed already are dropped before others, and so are offers for them", t, func() {
		extra := &pb.OfferQuestion{Service: "s", Extra: true}
		busy := newExchange(t, key, answerWithWait(1))
		busy.allow = func(class budget.Class, _ int) bool { return class > budget.ClassExtra }
		serveExchange(t, busy)
		offer := func(from, to *Exchange, q *pb.OfferQuestion) *pb.Offer {
			return from.Ask(context.Background(), []string{to.ownAddress}, q, testWaitLimits)[0].Offer
		}
		So(offer(busy, a, extra), ShouldBeNil)
		So(offer(busy, a, question), ShouldNotBeNil)
		So(offer(a, busy, extra), ShouldBeNil)
		So(offer(a, busy, question), ShouldNotBeNil)
	})
	Convey("An offer that arrives after the wait is dropped", t, func() {
		slow := startExchange(t, key, func(context.Context, *pb.OfferQuestion) *pb.Offer {
			time.Sleep(2 * testWaitLimits.SettleAfter)
			return &pb.Offer{}
		})
		So(ask(slow.ownAddress, a.ownAddress)[0].Offer, ShouldBeNil)
		time.Sleep(2 * testWaitLimits.SettleAfter)
		entry.mu.Lock()
		defer entry.mu.Unlock()
		So(entry.waiting, ShouldBeEmpty)
	})
}

// BenchmarkAsk measures one question and its offer, with both ends on this machine.
func BenchmarkAsk(b *testing.B) {
	serve := func() *Exchange {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		e := New(conn, []byte("a key of sixteen"), answerWithWait(1), allowAll, zap.NewNop())
		go e.Serve()
		b.Cleanup(func() { e.Close() })
		return e
	}
	entry, gate := serve(), serve()
	question := &pb.OfferQuestion{Service: "catalogue", Route: "catalogue-read", Class: pb.Class_CLASS_NORMAL, TargetUs: 500_000, DeadlineUs: 1_200_000}
	for b.Loop() {
		entry.Ask(context.Background(), []string{gate.ownAddress}, question, testWaitLimits)
	}
}

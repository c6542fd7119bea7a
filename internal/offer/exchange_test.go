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

var testPatience = Patience{Some: 50 * time.Millisecond, Any: 300 * time.Millisecond}

// node serves offers of one wait under a key.
func node(t *testing.T, key string, answer Answerer) *Exchange {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := New(conn, []byte(key), answer, allowAll, zap.NewNop())
	served := make(chan error, 1)
	go func() { served <- e.Serve() }()
	t.Cleanup(func() {
		e.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return e
}

func allowAll(budget.Class, int) bool { return true }

// waits offers one wait.
func waits(us uint32) Answerer {
	return func(_ context.Context, question *pb.OfferQuestion) *pb.Offer {
		return &pb.Offer{WaitUs: us, WorkUs: question.GetTargetUs()}
	}
}

// silentAddress is one at which nobody answers.
func silentAddress(t *testing.T) string {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn.LocalAddr().String()
}

func TestAsk(t *testing.T) {
	const key = "a key of sixteen"
	entry := node(t, key, waits(1))
	a, b := node(t, key, waits(2)), node(t, key, waits(3))
	stranger := node(t, "a key of another", waits(4))
	silent := silentAddress(t)
	question := &pb.OfferQuestion{Service: "s", TargetUs: 7}
	ask := func(addresses ...string) []Reply {
		return entry.Ask(context.Background(), addresses, question, testPatience)
	}

	Convey("Offers come in the order of the addresses, this node's own among them", t, func() {
		replies := ask(b.own, entry.own, a.own)
		So(replies[0].Offer.GetWaitUs(), ShouldEqual, 3)
		So(replies[1].Offer.GetWaitUs(), ShouldEqual, 1)
		So(replies[2].Offer.GetWaitUs(), ShouldEqual, 2)
		So(replies[2].Offer.GetWorkUs(), ShouldEqual, 7)
		So(replies[2].Trip, ShouldBeGreaterThan, 0)
	})
	Convey("A gate that doesn't answer holds up the others' offers for a bounded time", t, func() {
		begun := time.Now()
		replies := ask(silent, a.own)
		So(time.Since(begun), ShouldBeBetween, testPatience.Some, testPatience.Any)
		So(replies[0].Offer, ShouldBeNil)
		So(replies[1].Offer, ShouldNotBeNil)
	})
	Convey("Without any offer the wait ends too", t, func() {
		begun := time.Now()
		So(ask(silent)[0].Offer, ShouldBeNil)
		So(time.Since(begun), ShouldBeGreaterThanOrEqualTo, testPatience.Any)
		So(ask("not an address")[0].Offer, ShouldBeNil)
	})
	Convey("Nobody answers questions signed with another key, or counts their offers", t, func() {
		So(ask(stranger.own)[0].Offer, ShouldBeNil)
		So(stranger.Stats().Malformed.Load(), ShouldEqual, 1)
	})
	Convey("What doesn't fit the budget isn't asked, and nobody waits for it", t, func() {
		entry.allow = func(budget.Class, int) bool { return false }
		defer func() { entry.allow = allowAll }()
		begun := time.Now()
		So(ask(a.own)[0].Offer, ShouldBeNil)
		So(time.Since(begun), ShouldBeLessThan, testPatience.Some)
	})
	Convey("An offer that comes after the wait is dropped", t, func() {
		slow := node(t, key, func(context.Context, *pb.OfferQuestion) *pb.Offer {
			time.Sleep(2 * testPatience.Some)
			return &pb.Offer{}
		})
		So(ask(slow.own, a.own)[0].Offer, ShouldBeNil)
		time.Sleep(2 * testPatience.Some)
		entry.mu.Lock()
		defer entry.mu.Unlock()
		So(entry.waiting, ShouldBeEmpty)
	})
}

// BenchmarkAsk measures one question and its offer, both ends on this machine.
func BenchmarkAsk(b *testing.B) {
	serve := func() *Exchange {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		e := New(conn, []byte("a key of sixteen"), waits(1), allowAll, zap.NewNop())
		go e.Serve()
		b.Cleanup(func() { e.Close() })
		return e
	}
	entry, gate := serve(), serve()
	question := &pb.OfferQuestion{Service: "catalogue", Route: "catalogue-read", Class: pb.Class_CLASS_NORMAL, TargetUs: 500_000, DeadlineUs: 1_200_000}
	for b.Loop() {
		entry.Ask(context.Background(), []string{gate.own}, question, testPatience)
	}
}

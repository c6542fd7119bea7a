package entry_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/entry"
	"github.com/egretfield/egretfield/internal/gate"
	"github.com/egretfield/egretfield/internal/offer"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
	"github.com/egretfield/egretfield/internal/wire"
)

// bookingOffers refuses every request. The reply to a question with book is that in booked.
type bookingOffers struct {
	refusal, booked *pb.Offer
	questions       []*pb.OfferQuestion
	addresses       [][]string
}

func (o *bookingOffers) Ask(_ context.Context, addresses []string, question *pb.OfferQuestion, _ offer.WaitLimits) []offer.Reply {
	o.questions, o.addresses = append(o.questions, question), append(o.addresses, addresses)
	replies := make([]offer.Reply, len(addresses))
	for i := range replies {
		replies[i].Offer = o.refusal
		if question.GetBook() {
			replies[i].Offer = o.booked
		}
	}
	return replies
}

// retryAfterOf sends a request to an entry with eight gates and returns the Retry-After of
// its refusal.
func retryAfterOf(offers *bookingOffers, policy *pb.Policy) float64 {
	b, err := balance.New(balance.EarliestFinish, balance.Options{Region: "north"})
	So(err, ShouldBeNil)
	var endpoints []*balance.Endpoint
	for i := range 8 {
		endpoints = append(endpoints, northEndpoint("gate-"+strconv.Itoa(i)))
	}
	b.Update(endpoints, policy)
	h := entry.New(entry.Options{Instance: "own", Region: "north", BalancerFor: func(string) balance.Balancer { return b }, Offers: offers})
	defer h.Close()
	h.SetRoutes(entry.NewRoutes(testConfig, ""))
	answer := httptest.NewRecorder()
	h.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/svc/orders/x", nil))
	So(answer.Code, ShouldEqual, http.StatusServiceUnavailable)
	wait, err := strconv.ParseFloat(answer.Header().Get("Retry-After"), 64)
	So(err, ShouldBeNil)
	return wait
}

// Guards against an entry that tells all callers the shortest wait among the gates, books
// at several of them or without need, and asks more than today where nothing is promised.
func TestRefusalNamesPromisedTime(t *testing.T) {
	policy := &pb.Policy{PromisedPercent: 25}
	refusal := &pb.Offer{Incarnation: 1, Refused: true, WaitUs: 100_000}
	Convey("A refused request is booked at its home gate only, which the refusal's time comes from", t, func() {
		for range 20 { // the other gates are chosen at random
			offers := &bookingOffers{refusal: refusal, booked: &pb.Offer{Incarnation: 1, Refused: true, ReturnAfterUs: 321_000}}
			retryAfterOf(offers, policy)
			So(append(offers.addresses[0], offers.addresses[1]...), ShouldContain, offers.addresses[2][0])
		}
		offers := &bookingOffers{refusal: refusal, booked: &pb.Offer{Incarnation: 1, Refused: true, ReturnAfterUs: 321_000}}
		So(retryAfterOf(offers, policy), ShouldEqual, 0.321)
		So(offers.questions, ShouldHaveLength, 3)
		So(len(offers.addresses[0])+len(offers.addresses[1]), ShouldEqual, 5)
		So(offers.questions[1].GetBook(), ShouldBeFalse)
		So(offers.questions[2].GetBook(), ShouldBeTrue)
		So(offers.questions[2].GetFingerprint(), ShouldNotEqual, 0)
		So(offers.addresses[2], ShouldHaveLength, 1)
	})
	Convey("Nothing is booked at a home gate that has said that it can promise nothing in time", t, func() {
		offers := &bookingOffers{refusal: &pb.Offer{Incarnation: 1, Refused: true, WaitUs: 100_000, ReturnAfterUs: 900_000}}
		So(retryAfterOf(offers, policy), ShouldEqual, 0.9)
		So(offers.questions, ShouldHaveLength, 2)
	})
	Convey("Without a reply, the wait is that of the refusals", t, func() {
		offers := &bookingOffers{refusal: refusal}
		So(retryAfterOf(offers, policy), ShouldBeBetween, 0.049, 0.151)
	})
	Convey("Without promises, nothing is booked and the questions are as before", t, func() {
		offers := &bookingOffers{refusal: refusal}
		So(retryAfterOf(offers, &pb.Policy{}), ShouldBeBetween, 0.049, 0.151)
		So(offers.questions, ShouldHaveLength, 2)
		So(offers.questions[0].GetFingerprint(), ShouldEqual, 0)
	})
}

// Guards against a return that is sent elsewhere than to the gate that promised.
func TestReturnGoesToPromisingGate(t *testing.T) {
	Convey("A request goes to the gate that has promised it capacity, though another would be faster", t, func() {
		sent := sendWithOffers(map[string]*pb.Offer{
			"own":   {Incarnation: 1, WaitUs: 20_000, WorkUs: 1000, Promised: true},
			"other": {Incarnation: 1, WaitUs: 10_000, WorkUs: 1000},
		}, northEndpoint("own"), northEndpoint("other"))
		So(sent.instance, ShouldEqual, "own")
		So(sent.asked, ShouldHaveLength, 2) // they are asked again after an attempt at the other, which fails
	})
}

// gateOffers asks gates directly.
type gateOffers map[string]*gate.Gate

func (o gateOffers) Ask(ctx context.Context, addresses []string, question *pb.OfferQuestion, _ offer.WaitLimits) []offer.Reply {
	replies := make([]offer.Reply, len(addresses))
	for i, address := range addresses {
		replies[i] = offer.Reply{Offer: o[address].Offer(ctx, question), RoundTrip: time.Millisecond}
	}
	return replies
}

// returnCounts counts requests that return, after a refusal, at the time they were told, and
// those of them that are served.
type returnCounts struct {
	served, returns, returnsServed int
}

// sendTwiceCapacity sends twice the capacity of four gates for two seconds. Refused callers
// return once if they are told at most a third of the time that they have left.
func sendTwiceCapacity(t *testing.T, promisedPercent uint32) returnCounts {
	const gates, slots, timeout = 4, 4, 450 * time.Millisecond
	offers := gateOffers{}
	dials := map[string]wire.DialFunc{}
	var endpoints []*balance.Endpoint
	for i := range gates {
		name := "gate-" + strconv.Itoa(i)
		g := gate.New(gate.Options{Instance: name, Incarnation: 1, ClientOptions: wire.ClientOptions{
			Dial: servePipes(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(serviceTime) })),
		}})
		g.SetServer(&gate.Server{Service: "orders", Address: "server", Slots: slots, Connections: 10})
		g.SetPromisedPercent(promisedPercent)
		offers[name], dials[name] = g, servePipes(t, g)
		endpoint := northEndpoint(name)
		endpoint.GateAddress = name
		endpoints = append(endpoints, endpoint)
	}
	b, err := balance.New(balance.EarliestFinish, balance.Options{Region: "north"})
	if err != nil {
		t.Fatal(err)
	}
	b.Update(endpoints, &pb.Policy{PromisedPercent: promisedPercent})
	h := entry.New(entry.Options{
		Instance: "own", Region: "north", Offers: offers,
		BalancerFor: func(string) balance.Balancer { return b },
		ClientOptions: wire.ClientOptions{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return dials[addr](ctx, network, addr)
		}},
	})
	h.SetRoutes(entry.NewRoutes(testConfig, ""))
	send := func(path string, left time.Duration) *httptest.ResponseRecorder {
		w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, path, nil)
		r.Header.Set("Egret-Timeout", left.String())
		h.ServeHTTP(w, r)
		return w
	}
	var counts returnCounts
	var mu sync.Mutex
	var wg sync.WaitGroup
	const perSecond = 2 * gates * slots * int(time.Second/serviceTime)
	for i := range 2 * perSecond {
		wg.Go(func() {
			path := "/svc/orders/" + strconv.Itoa(i)
			answer := send(path, timeout)
			seconds, _ := strconv.ParseFloat(answer.Header().Get("Retry-After"), 64)
			wait := time.Duration(seconds * float64(time.Second))
			returns := answer.Code == http.StatusServiceUnavailable && wait <= timeout/3
			if returns {
				time.Sleep(wait)
				answer = send(path, timeout-wait)
			}
			mu.Lock()
			defer mu.Unlock()
			if answer.Code == http.StatusOK {
				counts.served++
			}
			if returns {
				counts.returns++
				if answer.Code == http.StatusOK {
					counts.returnsServed++
				}
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wg.Wait()
	h.Close()
	return counts
}

// Guards against a promise that one of entry, question, gate and queue doesn't carry.
func TestReturnsThroughEntryAndGates(t *testing.T) {
	counts := map[uint32]returnCounts{}
	for _, percent := range []uint32{0, 25} {
		virtualtime.Test(t, func(t *testing.T) { counts[percent] = sendTwiceCapacity(t, percent) })
		t.Logf("promised %d%%: %+v", percent, counts[percent])
	}
	Convey("At twice the capacity, requests that return as told are served, and goodput stays", t, func() {
		So(counts[25].returns, ShouldBeGreaterThan, 100)
		So(counts[25].returnsServed*100, ShouldBeGreaterThan, counts[25].returns*90)
		So(counts[25].served*100, ShouldBeGreaterThan, counts[0].served*95)
	})
}

package entry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/entry"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

// fakeQuota gives every request, also without an organisation, the same claim.
type fakeQuota struct {
	claim *fakeClaim
	begun int
}

func (q *fakeQuota) Begin(string) entry.QuotaClaim {
	q.begun++
	return q.claim
}

// fakeClaim is a claim with a fixed outcome that counts calls.
type fakeClaim struct {
	refusedAtOnce, refusedLater bool
	waits, returns              int
}

const fakeRetryAfter = 1234 * time.Millisecond

func (c *fakeClaim) Refused() (time.Duration, bool) { return fakeRetryAfter, c.refusedAtOnce }
func (c *fakeClaim) Return()                        { c.returns++ }
func (c *fakeClaim) Wait(context.Context, time.Time) (time.Duration, bool) {
	c.waits++
	return fakeRetryAfter, !c.refusedLater
}

// answeringGate is a LocalGate that answers with its answers in order, the last again.
type answeringGate struct {
	answers []*wire.Answer
	calls   int
}

func (g *answeringGate) Do(context.Context, *wire.Call) *wire.Answer {
	answer := g.answers[min(g.calls, len(g.answers)-1)]
	g.calls++
	return answer
}

// TestQuota guards against requests that run without a token, take several, or keep one
// though they didn't run.
func TestQuota(t *testing.T) {
	ran := &wire.Answer{Status: http.StatusOK, Header: http.Header{}}
	refused := wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_NOT_READY, "refused")
	failed := wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_SERVER_FAILED, "failed")
	sawServer := wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_OVERLOADED, "refused by the server")
	sawServer.ReachedServer = true
	send := func(claim *fakeClaim, endpoints int, answers ...*wire.Answer) (*httptest.ResponseRecorder, *answeringGate, *fixedOffers) {
		b, err := balance.New(balance.EarliestFinish, balance.Options{Region: "north"})
		So(err, ShouldBeNil)
		var all []*balance.Endpoint
		for range endpoints {
			all = append(all, northEndpoint("own"))
		}
		b.Update(all, &pb.Policy{})
		g, offers := &answeringGate{answers: answers}, &fixedOffers{}
		h := entry.New(entry.Options{
			Instance: "own", Region: "north", Local: g, Offers: offers, Quota: &fakeQuota{claim: claim},
			BalancerFor: func(string) balance.Balancer { return b },
		})
		defer h.Close()
		h.SetRoutes(entry.NewRoutes(testConfig, ""))
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/svc/orders/x", nil))
		return w, g, offers
	}
	Convey("A request with a token runs and keeps it", t, func() {
		claim := &fakeClaim{}
		w, g, _ := send(claim, 1, ran)
		So(w.Code, ShouldEqual, http.StatusOK)
		So(g.calls, ShouldEqual, 1)
		So(claim.waits, ShouldEqual, 1)
		So(claim.returns, ShouldEqual, 0)
	})
	Convey("A request that is refused at once asks no gate and doesn't run", t, func() {
		w, g, offers := send(&fakeClaim{refusedAtOnce: true}, 1, ran)
		So(w.Code, ShouldEqual, http.StatusTooManyRequests)
		So(w.Header().Get(wire.HeaderError), ShouldEqual, "over_quota")
		So(w.Header().Get(wire.HeaderRun), ShouldEqual, "no")
		So(w.Header().Get("Retry-After"), ShouldEqual, "1.234")
		So(g.calls, ShouldEqual, 0)
		So(offers.asked, ShouldBeEmpty)
	})
	Convey("A request that is refused later doesn't run", t, func() {
		w, g, _ := send(&fakeClaim{refusedLater: true}, 1, ran)
		So(w.Code, ShouldEqual, http.StatusTooManyRequests)
		So(w.Header().Get("Retry-After"), ShouldEqual, "1.234")
		So(g.calls, ShouldEqual, 0)
	})
	Convey("A request that every gate refuses returns its token", t, func() {
		claim := &fakeClaim{}
		w, _, _ := send(claim, 1, refused)
		So(w.Code, ShouldEqual, http.StatusServiceUnavailable)
		So(claim.returns, ShouldEqual, 1)
	})
	Convey("A request without a backend server returns its token", t, func() {
		claim := &fakeClaim{}
		_, g, _ := send(claim, 0, ran)
		So(g.calls, ShouldEqual, 0)
		So(claim.returns, ShouldEqual, 1)
	})
	Convey("A request that reached a backend server keeps its token", t, func() {
		claim := &fakeClaim{}
		send(claim, 1, sawServer)
		So(claim.returns, ShouldEqual, 0)
	})
	Convey("Retries take no further token", t, func() {
		claim := &fakeClaim{}
		g := &answeringGate{answers: []*wire.Answer{failed, ran}}
		only := &orderedBalancer{endpoints: []*balance.Endpoint{northEndpoint("own")}}
		h := entry.New(entry.Options{
			Instance: "own", Local: g, Quota: &fakeQuota{claim: claim},
			BalancerFor: func(string) balance.Balancer { return only },
		})
		defer h.Close()
		h.SetRoutes(entry.NewRoutes(testConfig, ""))
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/svc/orders/x", nil))
		So(w.Code, ShouldEqual, http.StatusOK)
		So(g.calls, ShouldEqual, 2)
		So(claim.waits, ShouldEqual, 1)
		So(claim.returns, ShouldEqual, 0)
	})
}

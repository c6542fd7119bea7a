package entry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/entry"
	"github.com/egretfield/egretfield/internal/once"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

// hookedGuard calls during in each Begin and remembers the last key.
type hookedGuard struct {
	*mapGuard
	during func()
	key    once.Key
}

func (g *hookedGuard) Begin(ctx context.Context, key once.Key, fingerprint uint64) (once.Decision, error) {
	g.key = key
	g.during()
	return g.mapGuard.Begin(ctx, key, fingerprint)
}

// Guards against a stored answer that reaches another organisation or a withdrawn API key,
// and against outcomes recorded under the key of an organisation that didn't send the
// request.
func TestIdempotencyKeysOfOrganisations(t *testing.T) {
	Convey("Given an entry with organisations and a guard", t, func() {
		guard := &hookedGuard{mapGuard: newMapGuard(), during: func() {}}
		e := newOrganisationsEntry(func(o *entry.Options) { o.Guard = guard })
		e.SetRoutes(routesAt(1, organisationsConfig()))
		answer := func(call *wire.Call) *wire.Answer {
			return &wire.Answer{Status: http.StatusOK, Header: http.Header{"X-Seen": {call.Organisation}}}
		}
		e.gate.answer = answer
		order := func(apiKey string) string {
			r := httptest.NewRequest(http.MethodPost, "/openorder/1", nil)
			if apiKey != "" {
				r.URL.Path, r.RequestURI = "/order/1", "/order/1"
				r.Header.Set("Authorization", "Bearer "+apiKey)
			}
			r.Host = "h"
			r.Header.Set("Idempotency-Key", "k")
			w := httptest.NewRecorder()
			e.ServeHTTP(w, r)
			if w.Code != http.StatusOK {
				return w.Result().Header.Get("Egret-Error")
			}
			return w.Result().Header.Get("Egret-Replayed") + "/" + w.Result().Header.Get("X-Seen")
		}
		setOrganisations := func(organisations ...*pb.Organisation) func() {
			return sync.OnceFunc(func() { e.SetRoutes(routesAt(2, withOrganisations(organisations...))) })
		}
		withdraw := setOrganisations(&pb.Organisation{Name: "b", ApiKeys: []string{"kb2"}})
		move := setOrganisations(&pb.Organisation{Name: "a", ApiKeys: []string{"ka", "kb"}}, &pb.Organisation{Name: "b", ApiKeys: []string{"kb2"}})

		Convey("each organisation, and callers without one, have their own key and answer", func() {
			for _, test := range []struct{ apiKey, organisation string }{{"ka", "a"}, {"kb", "b"}, {"", ""}} {
				So(order(test.apiKey), ShouldEqual, "/"+test.organisation)
			}
			So(order("kb2"), ShouldEqual, "true/b")
			So(order("ka"), ShouldEqual, "true/a")
			So(order(""), ShouldEqual, "true/")
			So(e.gate.calls, ShouldHaveLength, 3)
			So(guard.key.Scoped, ShouldBeTrue)
			e.SetRoutes(routesAt(2, withOrganisations()))
			order("ka")
			So(guard.key.Scoped || guard.key.Organisation != "", ShouldBeFalse)
		})
		Convey("a resend with a withdrawn API key is refused; the organisation's other key gets the answer", func() {
			So(order("kb"), ShouldEqual, "/b")
			withdraw()
			So(order("kb"), ShouldEqual, "unauthenticated")
			So(order("kb2"), ShouldEqual, "true/b")
		})
		Convey("a resend with a moved API key is an operation of the new organisation", func() {
			So(order("kb"), ShouldEqual, "/b")
			move()
			So(order("kb"), ShouldEqual, "/a")
			So(order("kb2"), ShouldEqual, "true/b")
		})
		Convey("while a resend waits for the stored answer", func() {
			So(order("kb"), ShouldEqual, "/b")
			Convey("it gets nothing when its API key is withdrawn", func() {
				guard.during = withdraw
				So(order("kb"), ShouldEqual, "unauthenticated")
			})
			Convey("it doesn't get the former organisation's answer when its API key is moved", func() {
				guard.during = move
				So(order("kb"), ShouldEqual, "/a")
			})
		})
		Convey("while a request waits for its server", func() {
			Convey("it isn't sent and its key is freed when its API key is withdrawn", func() {
				e.balancer.onPick = withdraw
				So(order("kb"), ShouldEqual, "unauthenticated")
				So((<-guard.finished).State, ShouldEqual, pb.RunState_RUN_STATE_NO)
				So(e.gate.calls, ShouldBeEmpty)
				So(order("kb2"), ShouldEqual, "/b")
			})
			Convey("it runs once under the new organisation's key when its API key is moved", func() {
				e.balancer.onPick = move
				So(order("kb"), ShouldEqual, "/a")
				So((<-guard.finished).State, ShouldEqual, pb.RunState_RUN_STATE_NO)
				So(order("ka"), ShouldEqual, "true/a")
				So(e.gate.calls, ShouldHaveLength, 1)
			})
		})
		Convey("a request that runs when its API key is moved is answered and stays the former organisation's", func() {
			e.gate.answer = func(call *wire.Call) *wire.Answer {
				move()
				return answer(call)
			}
			So(order("kb"), ShouldEqual, "/b")
			So(order("kb2"), ShouldEqual, "true/b")
			So(order("ka"), ShouldEqual, "/a")
		})
	})
}

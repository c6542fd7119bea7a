package entry_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/entry"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/once"
	"github.com/egretfield/egretfield/internal/pb"
)

// mapGuard is a once.Guard that keeps keys in memory.
type mapGuard struct {
	mu         sync.Mutex
	inProgress map[once.Key]bool
	outcomes   map[once.Key]once.Outcome
	finished   chan once.Outcome
	beginErr   error
}

func newMapGuard() *mapGuard {
	return &mapGuard{inProgress: map[once.Key]bool{}, outcomes: map[once.Key]once.Outcome{}, finished: make(chan once.Outcome, 10)}
}

func (g *mapGuard) Begin(_ context.Context, key once.Key, _ uint64) (once.Decision, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.beginErr != nil {
		return once.Decision{}, g.beginErr
	}
	if outcome, ok := g.outcomes[key]; ok {
		if outcome.State == pb.RunState_RUN_STATE_YES {
			return once.Decision{Verdict: once.VerdictReplay, Answer: outcome.Answer}, nil
		}
		return once.Decision{}, errkind.New(pb.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, "unknown")
	}
	if g.inProgress[key] {
		return once.Decision{}, errkind.New(pb.ErrorKind_ERROR_KIND_KEY_IN_PROGRESS, "running")
	}
	g.inProgress[key] = true
	return once.Decision{Grant: "g"}, nil
}

func (g *mapGuard) Finish(ctx context.Context, key once.Key, _ string, outcome once.Outcome) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if outcome.State == pb.RunState_RUN_STATE_NO {
		delete(g.inProgress, key)
	} else {
		g.outcomes[key] = outcome
	}
	g.finished <- outcome
	return ctx.Err()
}

func TestKeys(t *testing.T) {
	Convey("Given a guard and two backend servers", t, func() {
		guard := newMapGuard()
		a, b := &countingServer{answer: echo}, &countingServer{answer: echo}
		c := newCluster(func(o *entry.Options) { o.Guard = guard }, a, b)
		defer c.close()
		order := func() (*http.Response, string) {
			return c.do("POST", "/svc/orders/o", "order", "Idempotency-Key", "k")
		}

		Convey("a resend gets the stored answer", func() {
			_, body := order()
			resp, again := order()
			So(again, ShouldEqual, body)
			So(resp.Header.Get("Egret-Replayed"), ShouldEqual, "true")
			So(resp.Header.Get("X-Depth"), ShouldEqual, "1")
			So(a.runs.Load(), ShouldEqual, 1)
		})
		Convey("a refused request is retried on another server under the same grant", func() {
			c.gates[0].SetDraining(true)
			resp, _ := order()
			So(resp.StatusCode, ShouldEqual, 200)
			So((<-guard.finished).State, ShouldEqual, pb.RunState_RUN_STATE_YES)
		})
		Convey("a request refused by all servers frees its key", func() {
			c.gates[0].SetDraining(true)
			c.gates[1].SetDraining(true)
			resp, _ := order()
			So(resp.Header.Get("Egret-Run"), ShouldEqual, "no")
			So((<-guard.finished).State, ShouldEqual, pb.RunState_RUN_STATE_NO)
		})
		Convey("a server that aborts leaves the outcome of the key unknown", func() {
			a.answer = abort
			resp, _ := order()
			So(resp.Header.Get("Egret-Run"), ShouldEqual, "unknown")
			So((<-guard.finished).State, ShouldEqual, pb.RunState_RUN_STATE_UNKNOWN)
			resp, _ = order()
			So(resp.Header.Get("Egret-Error"), ShouldEqual, "outcome_unknown")
			So(a.runs.Load()+b.runs.Load(), ShouldEqual, 1)
		})
		Convey("an answer too large to store is reported without its content", func() {
			large := strings.Repeat("x", 80<<10)
			a.answer = func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(large)) }
			_, body := order()
			So(body, ShouldEqual, large)
			outcome := <-guard.finished
			So(outcome.State, ShouldEqual, pb.RunState_RUN_STATE_YES)
			So(outcome.Answer, ShouldBeNil)
		})
		Convey("a truncated large answer leaves the outcome of the key unknown", func() {
			a.answer = func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(make([]byte, 80<<10))
				panic(http.ErrAbortHandler)
			}
			order()
			So((<-guard.finished).State, ShouldEqual, pb.RunState_RUN_STATE_UNKNOWN)
		})
		Convey("the outcome is stored although the caller has disconnected", func() {
			running, leave := make(chan struct{}), make(chan struct{})
			a.answer = func(w http.ResponseWriter, r *http.Request) {
				close(running)
				<-leave
				echo(w, r)
			}
			ctx, cancel := context.WithCancel(context.Background())
			go func() {
				<-running
				cancel()
			}()
			req, _ := http.NewRequestWithContext(ctx, "POST", c.url+"/svc/orders/o", strings.NewReader("order"))
			req.Header.Set("Idempotency-Key", "k")
			_, err := http.DefaultClient.Do(req)
			So(err, ShouldNotBeNil)
			close(leave)
			So((<-guard.finished).State, ShouldEqual, pb.RunState_RUN_STATE_YES)
			resp, body := order()
			So(body, ShouldEqual, "POST /o order")
			So(resp.Header.Get("Egret-Replayed"), ShouldEqual, "true")
		})
		Convey("a failing keeper leaves the outcome unknown, since an earlier send may have run", func() {
			guard.beginErr = context.DeadlineExceeded
			resp, _ := order()
			So(resp.Header.Get("Egret-Error"), ShouldEqual, "outcome_unknown")
			So(resp.Header.Get("Egret-Run"), ShouldEqual, "unknown")
			So(a.runs.Load(), ShouldEqual, 0)
		})
		Convey("with a failing keeper, a first send is refused and certified not run", func() {
			guard.beginErr = context.DeadlineExceeded
			resp, _ := c.do("POST", "/svc/orders/o", "order", "Idempotency-Key", "k", "Egret-First-Send", "true")
			So(resp.Header.Get("Egret-Error"), ShouldEqual, "keeper_unavailable")
			So(resp.Header.Get("Egret-Run"), ShouldEqual, "no")
			So(a.runs.Load(), ShouldEqual, 0)
		})
		Convey("idempotent requests bypass the guard", func() {
			guard.beginErr = context.DeadlineExceeded
			resp, _ := c.do("GET", "/svc/orders/o", "", "Idempotency-Key", "k")
			So(resp.StatusCode, ShouldEqual, 200)
		})
		Convey("a route may require a key", func() {
			resp, _ := c.do("POST", "/svc/orders/keyed", "x")
			So(resp.Header.Get("Egret-Error"), ShouldEqual, "bad_request")
		})
	})
}

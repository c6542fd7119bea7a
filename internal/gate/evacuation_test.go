package gate

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

// Guards against requests that start in an evacuated data centre: new ones, waiting ones,
// ones that were about to wait, and against running ones that are cut off.
func TestEvacuatedGate(t *testing.T) {
	Convey("Given a gate whose two slots are taken and at which a request waits", t, func() {
		ctx := context.Background()
		hold := make(chan struct{})
		entered := make(chan struct{}, 10)
		g, server := newTestGate(nil, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			entered <- struct{}{}
			<-hold
			_, _ = io.WriteString(w, "ok")
		}))
		defer server.Close()
		release := sync.OnceFunc(func() { close(hold) })
		defer release()
		running := make(chan *wire.Answer, 2)
		for range 2 {
			go func() { running <- g.Do(ctx, newTestCall("/")) }()
			<-entered
		}
		waiting := make(chan *wire.Answer, 1)
		go func() { waiting <- g.Do(ctx, newTestCall("/")) }()
		for g.Report().GetQueued() == 0 {
			time.Sleep(time.Millisecond)
		}
		g.SetEvacuated(true)
		receive := func(answers chan *wire.Answer) *wire.Answer {
			select {
			case answer := <-answers:
				return answer
			case <-time.After(5 * time.Second):
				return &wire.Answer{}
			}
		}
		do := func() *wire.Answer {
			answers := make(chan *wire.Answer, 1)
			go func() { answers <- g.Do(ctx, newTestCall("/")) }()
			return receive(answers)
		}
		Convey("the waiting request and new ones are refused as not run, and running ones finish", func() {
			So(receive(waiting).Kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_DRAINING)
			So(do().Kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_DRAINING)
			So(g.Offer(ctx, &pb.OfferQuestion{Service: "s", DeadlineUs: 1e6}).GetRefused(), ShouldBeTrue)
			release()
			for range 2 {
				body, err := io.ReadAll((<-running).Body)
				So(err, ShouldBeNil)
				So(string(body), ShouldEqual, "ok")
			}
			So(entered, ShouldBeEmpty)
			g.SetEvacuated(false)
			So(g.Do(ctx, newTestCall("/")).Kind, ShouldEqual, 0)
		})
		Convey("a request that joined the queue while the evacuation began isn't started", func() {
			So(receive(waiting).Kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_DRAINING)
			g.evacuated.Store(false) // the request passes the first check
			late := make(chan *wire.Answer, 1)
			go func() { late <- g.Do(ctx, newTestCall("/")) }()
			for g.Report().GetQueued() == 0 {
				time.Sleep(time.Millisecond)
			}
			g.evacuated.Store(true) // without RefuseWaiting, which it missed
			release()
			for range 2 {
				_, err := io.ReadAll((<-running).Body)
				So(err, ShouldBeNil)
			}
			So((<-late).Kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_DRAINING)
			So(entered, ShouldBeEmpty)
		})
	})
}

// TestNoRepeat guards against the repetition of a request, seconds after it was sent first,
// at a server that is leaving or in an evacuated data centre by then.
func TestNoRepeat(t *testing.T) {
	for name, change := range map[string]func(*Gate){
		"while the data centre is evacuated": func(g *Gate) { g.SetEvacuated(true) },
		"while the instance drains":          func(g *Gate) { g.SetDraining(true) },
	} {
		Convey("A request on a silent connection isn't sent again "+name, t, func() {
			var runs atomic.Int64
			g, server := newTestGate(nil, nil)
			server.Close()
			server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if runs.Add(1) == 2 {
					change(g)
					<-r.Context().Done()
					return
				}
				_, _ = io.WriteString(w, "ok")
			}))
			defer server.Close()
			g.SetServer(&Server{Service: "s", Address: server.Listener.Addr().String(), Slots: 2, Connections: 3})
			g.minSilence = 20 * time.Millisecond
			for range 2 {
				answer := g.Do(context.Background(), newTestCall("/"))
				if answer.Body != nil {
					_, _ = io.ReadAll(answer.Body)
				}
			}
			So(runs.Load(), ShouldEqual, 2)
		})
	}
}

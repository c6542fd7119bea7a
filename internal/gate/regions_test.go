package gate

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

// TestAllowedRegions guards against a request outside its allowed regions that waits for a
// slot before it is refused, and against a slot that such a refusal keeps.
func TestAllowedRegions(t *testing.T) {
	Convey("Given a busy gate that doesn't allow a route in its region", t, func() {
		ctx := context.Background()
		hold, entered := make(chan struct{}), make(chan struct{}, 10)
		g, server := newTestGate(nil, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			entered <- struct{}{}
			<-hold
		}))
		defer server.Close()
		g.options.Region = "north"
		rules := func(version int64, regions ...string) *balance.RegionRules {
			return balance.NewRegionRules(&pb.Config{
				RequestRoutes: []*pb.RequestRoute{{Name: "r", AllowedRegions: regions}},
				Organisations: []*pb.Organisation{{Name: "o", AllowedRegions: []string{"south"}}},
			}, version)
		}
		g.SetRegionRules(rules(3, "south"))
		do := func(route, organisation string, version int64) chan *wire.Answer {
			answers := make(chan *wire.Answer, 1)
			call := newTestCall("/")
			call.Route, call.Organisation, call.ConfigVersion = route, organisation, version
			go func() { answers <- g.Do(ctx, call) }()
			return answers
		}
		for range 2 {
			do("", "", 0)
			<-entered
		}

		Convey("it refuses the route and the organisation without waiting, unless the entry knows better", func() {
			So((<-do("r", "", 3)).Kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_REGION_NOT_ALLOWED)
			So((<-do("", "o", 3)).Kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_REGION_NOT_ALLOWED)
			So(g.Report().Queued, ShouldEqual, 0)
			waiting := do("r", "", 4)
			for g.Report().Queued == 0 {
				time.Sleep(time.Millisecond)
			}
			close(hold)
			So((<-waiting).Kind, ShouldEqual, 0)
		})
		Convey("a waiting request is refused when its region is no longer allowed, and its slot is free again", func() {
			g.SetRegionRules(rules(3, "north"))
			waiting := do("r", "", 3)
			for g.Report().Queued == 0 {
				time.Sleep(time.Millisecond)
			}
			g.SetRegionRules(rules(4, "south"))
			close(hold)
			So((<-waiting).Kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_REGION_NOT_ALLOWED)
			So(g.WaitIdle(ctx), ShouldBeNil)
		})
	})
}

// TestNoRepeatOutsideAllowedRegions guards against a request that is sent to the backend
// server once more, after a silent connection, when its region is no longer allowed.
func TestNoRepeatOutsideAllowedRegions(t *testing.T) {
	Convey("A request on a silent connection isn't repeated once its region isn't allowed", t, func() {
		var g *Gate
		var runs atomic.Int64
		restricted := balance.NewRegionRules(&pb.Config{RequestRoutes: []*pb.RequestRoute{{Name: "r", AllowedRegions: []string{"south"}}}}, 1)
		g, server := newTestGate(nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if runs.Add(1) == 2 {
				g.SetRegionRules(restricted)
				<-r.Context().Done()
				return
			}
			_, _ = io.WriteString(w, "ok")
		}))
		defer server.Close()
		g.options.Region, g.minSilence = "north", 20*time.Millisecond
		do := func() *wire.Answer {
			call := newTestCall("/")
			call.Route = "r"
			return g.Do(context.Background(), call)
		}
		first := do()
		So(first.Kind, ShouldEqual, 0)
		_, _ = io.ReadAll(first.Body)
		So(do().Kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_SERVER_FAILED)
		So(runs.Load(), ShouldEqual, 2)
	})
}

package entry_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/entry"
	"github.com/egretfield/egretfield/internal/gate"
	"github.com/egretfield/egretfield/internal/pb"
)

// withdrawalClient sends the control calls for withdrawals to the gates of a fleet.
type withdrawalClient struct {
	fleet *hedgeFleet
	// isOlder makes the gates fail the call as an older build does.
	isOlder bool
	// afterwards is called after a withdrawal; nil: nothing is.
	afterwards func()
}

func (c *withdrawalClient) Call(_ context.Context, address, method string, query, reply proto.Message) error {
	if c.isOlder || method != gate.MethodWithdraw {
		return errors.New("can't find method")
	}
	if c.afterwards != nil {
		defer c.afterwards()
	}
	return gate.RPC{Gate: c.fleet.gates[address[1]-'0']}.Withdraw(query.(*pb.AttemptQuery), reply.(*pb.AttemptReply))
}

// TestWithdrawal guards against requests that wait at a gate although another would start
// them at once, and against ones that run twice or are refused because they were withdrawn.
func TestWithdrawal(t *testing.T) {
	const workTime = time.Second
	run := func(enabled, isOlder, drains bool, slots int) hedgeOutcome {
		client := &withdrawalClient{isOlder: isOlder}
		return hedgeCase(t, 0, func(o *entry.Options) { o.ControlClient = client }, func(f *hedgeFleet) hedgeAnswer {
			client.fleet = f
			if drains {
				client.afterwards = func() { f.gates[1].SetDraining(true) }
			}
			f.config.Presets[0].Policy.WithdrawWaiting = enabled
			f.entry.SetRoutes(entry.NewRoutes(f.config, "p"))
			f.gates[0].SetServer(&gate.Server{Service: "orders", Address: "server", Slots: slots})
			f.servers[0].answers(answerAfter(workTime, "first"))
			f.servers[1].answers(answerAfter(hedgeUsual, "second"))
			post := func() hedgeAnswer { return f.do(httptest.NewRequest(http.MethodPost, "/svc/orders/x", nil)) }
			start := time.Now()
			f.offers.change = func(address string, o *pb.Offer) { // s1 is busy for the first 10 ms
				if o.AtOnce = address == "s1" && time.Since(start) > 10*time.Millisecond; !o.AtOnce {
					o.WaitUs = 500_000
				}
			}
			var blocking sync.WaitGroup
			blocking.Go(func() { post() })
			time.Sleep(time.Millisecond)
			answer := post()
			blocking.Wait()
			return answer
		})
	}
	withdrawn := run(true, false, false, 1)
	Convey("A waiting request, even one that mustn't run twice, moves to the gate that would start it at once", t, func() {
		So(withdrawn.code, ShouldEqual, http.StatusOK)
		So(withdrawn.body, ShouldEqual, "second")
		So(withdrawn.took, ShouldBeLessThan, workTime/2)
		So(withdrawn.runs, ShouldResemble, [2]int64{1, 1})
		expectNothingLeft(withdrawn)
	})
	returned := run(true, false, true, 1)
	Convey("If that gate refuses it after all, it goes back to the first", t, func() {
		So(returned.code, ShouldEqual, http.StatusOK)
		So(returned.body, ShouldEqual, "first")
		So(returned.runs, ShouldResemble, [2]int64{2, 0})
		expectNothingLeft(returned)
	})
	for name, out := range map[string]hedgeOutcome{
		"one that has started":      run(true, false, false, 2),
		"one at an older build":     run(true, true, false, 1),
		"any unless it's turned on": run(false, false, false, 1),
	} {
		Convey("Not withdrawn is "+name, t, func() {
			So(out.body, ShouldEqual, "first")
			So(out.runs, ShouldResemble, [2]int64{2, 0})
			expectNothingLeft(out)
		})
	}
}

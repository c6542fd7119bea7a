package loadgen

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/wire"
)

// servePairs answers each pair of requests of a connection at once, in order or swapped.
func servePairs(swapped bool) Target {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	Reset(func() { listener.Close() })
	go func() {
		for {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				reader := bufio.NewReader(nc)
				for {
					ids := make([]string, 2)
					for i := range ids {
						request, err := http.ReadRequest(reader)
						if err != nil {
							return
						}
						ids[i] = request.Header.Get(wire.HeaderOp)
					}
					if swapped {
						ids[0], ids[1] = ids[1], ids[0]
					}
					for _, id := range ids {
						_, _ = nc.Write([]byte(rawAnswer(id, "op-1", 4, "")))
					}
				}
			}()
		}
	}()
	return Target{Address: listener.Addr().String()}
}

func TestPipelinedCaller(t *testing.T) {
	for _, swapped := range []bool{false, true} {
		Convey(map[bool]string{false: "Answers in order pass", true: "Answers out of order are counted as wrong"}[swapped], t, func() {
			target := servePairs(swapped)
			caller := NewCaller(testTimeout, 2)
			defer caller.Close()
			// The server answers no request alone, so the first connection must be there.
			s := caller.sharingOf(target.Address)
			connection, _, _, err := s.get(t.Context())
			So(err, ShouldBeNil)
			s.put(connection, false)
			results := make(chan Result, 2)
			for _, id := range []string{"op-1", "op-2"} {
				go func() {
					o := newBrowse()
					o.ID = id
					results <- caller.Do(t.Context(), target, o)
				}()
			}
			for range 2 {
				// Both answers have op-1's body, so only the order decides on the first.
				result := <-results
				if swapped {
					So(result.Outcome, ShouldEqual, OutcomeWrong)
				}
			}
			So(caller.pipelined.Load(), ShouldEqual, 1)
			So(caller.outOfOrder.Load() > 0, ShouldEqual, swapped)
			So(caller.dialled.Load(), ShouldEqual, 1)
		})
	}
	Convey("A run with pipelining against a server that answers one request at a time passes", t, func() {
		unchanged := func(next http.Handler) http.Handler { return next }
		target, server := startBackend(t, "s1", unchanged)
		run, err := Run(t.Context(), &pb.Experiment{
			Targets: []*pb.LoadTarget{target}, Servers: []*pb.LoadServer{server}, Pipeline: 8,
			Mix:   []*pb.Traffic{{Kind: "browse", Service: "s", Weight: 4}, {Kind: "order", Service: "s"}},
			Steps: []*pb.Step{{DurationS: 0.2001, Rate: 2000}},
		})
		So(err, ShouldBeNil)
		So(Failed(run.GetVerdict()), ShouldBeFalse)
		So(run.GetVerdict().GetOperations(), ShouldEqual, 400)
		So(run.GetGenerator().GetPipelined(), ShouldBeGreaterThan, 0)
		So(run.GetGenerator().GetOutOfOrder(), ShouldEqual, 0)
	})
	Convey("A request behind an answer that closes the connection is sent again", t, func() {
		requests := &atomic.Int64{}
		target := serveRaw(t, requests, rawAnswer("op-1", "op-1", 4, "Connection: close\r\n"))
		caller := NewCaller(testTimeout, 4)
		defer caller.Close()
		results := make(chan Result, 3)
		for range 3 {
			go func() { results <- caller.Do(t.Context(), target, newBrowse()) }()
		}
		for range 3 {
			So((<-results).Outcome, ShouldEqual, OutcomeAnswered)
		}
	})
}

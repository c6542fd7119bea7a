package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/entry"
)

// Guards against an answer without an end that outlasts its route's timeout, and against a
// caller that is held without a byte by a small answer that stopped midway (CONFIG).
func TestAnswersWithoutEnd(t *testing.T) {
	trickle := func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			_, _ = io.WriteString(w, "x")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(10 * time.Millisecond)
		}
	}
	stop := func(length string) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", length)
			_, _ = io.WriteString(w, "x")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}
	}
	for _, isLocal := range []bool{false, true} {
		for name, answer := range map[string]http.HandlerFunc{
			"trickles": trickle, "is small and stops": stop("1000"), "is large and stops": stop("1000000"),
		} {
			Convey(fmt.Sprintf("An answer that %s ends at the route's timeout, visibly cut (backend server beside the entry: %v)", name, isLocal), t, func() {
				server := &countingServer{answer: answer}
				c := newCluster(nil, server)
				defer c.close()
				handler := c.entry
				if isLocal {
					handler = entry.New(entry.Options{
						Instance: "s0", Local: c.gates[0], ControlClient: c.inProcessPeer,
						BalancerFor: func(string) balance.Balancer { return c.balancer },
					})
					addr, closer := serveOn(handler)
					c.url = "http://" + addr
					c.closers = append(c.closers, closer)
				}
				handler.SetRoutes(entry.NewRoutes(routesConfig(), "p"))
				req, _ := http.NewRequest(http.MethodGet, c.url+"/x/y/1", nil)
				req.Host = "a.example"
				begin := time.Now()
				resp, err := http.DefaultClient.Do(req)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
				So(time.Since(begin), ShouldBeBetween, 250*time.Millisecond, 800*time.Millisecond)
				if err == nil {
					So(resp.StatusCode, ShouldEqual, http.StatusGatewayTimeout)
				}
			})
		}
	}
	Convey("Without a timeout of its route, an answer may go on after the deadline of its first byte", t, func() {
		server := &countingServer{answer: func(w http.ResponseWriter, _ *http.Request) {
			for range 30 {
				_, _ = io.WriteString(w, "x")
				_ = http.NewResponseController(w).Flush()
				time.Sleep(10 * time.Millisecond)
			}
		}}
		c := newCluster(nil, server)
		defer c.close()
		resp, body := c.do(http.MethodGet, "/svc/orders/x", "", "Egret-Timeout", "100ms")
		So(resp.StatusCode, ShouldEqual, http.StatusOK)
		So(body, ShouldHaveLength, 30)
	})
}

package entry_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/entry"
	"github.com/egretfield/egretfield/internal/pb"
)

// routed returns a configuration with routes by host and prefix.
func routed() *pb.Config {
	parts := func(names ...string) (list []*pb.WeightedService) {
		for _, name := range names {
			list = append(list, &pb.WeightedService{Service: name, Weight: 1})
		}
		return list
	}
	return &pb.Config{
		Services: []*pb.Service{{Name: "orders"}, {Name: "stock"}},
		RequestRoutes: []*pb.RequestRoute{
			{Name: "all", Host: "a.example", PathPrefix: "/x/", Services: parts("stock"), Idempotent: true, TimeoutMs: 300},
			{Name: "deep", Host: "a.example", PathPrefix: "/x/y/", Services: parts("orders"), Idempotent: true, TimeoutMs: 300},
		},
		CallerLimits: &pb.CallerLimits{MaxBodyBytes: 10},
		Presets:      []*pb.Preset{{Name: "p", Policy: &pb.Policy{}}}, DefaultPreset: "p",
	}
}

// ask sends a GET for host and path and returns the status.
func ask(c *cluster, host, path string) int {
	req, _ := http.NewRequest(http.MethodGet, c.url+path, nil)
	req.Host = host
	resp, err := http.DefaultClient.Do(req)
	So(err, ShouldBeNil)
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode
}

func TestRequestRoutes(t *testing.T) {
	Convey("Given a backend server of orders and routes by host and prefix", t, func() {
		server := &counting{answer: status(http.StatusOK)}
		c := newCluster(nil, server)
		defer c.close()
		c.entry.SetRoutes(entry.NewRoutes(routed(), "p"))
		Convey("the longest prefix of the host decides", func() {
			So(ask(c, "a.example", "/x/y/1"), ShouldEqual, http.StatusOK)
			So(ask(c, "A.example:80", "/x/y/1"), ShouldEqual, http.StatusOK)
			So(ask(c, "a.example", "/x/1"), ShouldEqual, http.StatusServiceUnavailable)
			So(server.runs.Load(), ShouldEqual, 2)
		})
		Convey("another host or path has no route", func() {
			So(ask(c, "b.example", "/x/y/1"), ShouldEqual, http.StatusNotFound)
			So(ask(c, "a.example", "/xy/1"), ShouldEqual, http.StatusNotFound)
		})
		Convey("a caller waits no longer than the route's timeout", func() {
			server.answer = func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
			begun := time.Now()
			So(ask(c, "a.example", "/x/y/1"), ShouldEqual, http.StatusGatewayTimeout)
			So(time.Since(begun), ShouldBeBetween, 250*time.Millisecond, 800*time.Millisecond)
		})
		Convey("a node that stops answers those who still come before it is gone", func() {
			server.answer = func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
			c.entry.SetStopping(time.Now().Add(100 * time.Millisecond))
			begun := time.Now()
			So(ask(c, "a.example", "/x/y/1"), ShouldEqual, http.StatusGatewayTimeout)
			So(time.Since(begun), ShouldBeLessThan, 250*time.Millisecond)
		})
		Convey("a failure just before the deadline isn't repeated in vain", func() {
			second := &counting{answer: status(http.StatusOK)}
			c.addGate(1, second)
			server.answer = func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(270 * time.Millisecond)
				w.WriteHeader(http.StatusGatewayTimeout)
			}
			So(ask(c, "a.example", "/x/y/1"), ShouldEqual, http.StatusGatewayTimeout)
			So(second.runs.Load(), ShouldEqual, 0)
		})
	})
}

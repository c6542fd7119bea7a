package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/entry"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

// routesConfig returns a configuration with request routes by host and prefix.
func routesConfig() *pb.Config {
	weighted := func(names ...string) (list []*pb.WeightedService) {
		for _, name := range names {
			list = append(list, &pb.WeightedService{Service: name, Weight: 1})
		}
		return list
	}
	return &pb.Config{
		Services: []*pb.Service{{Name: "orders"}, {Name: "stock"}},
		RequestRoutes: []*pb.RequestRoute{
			{Name: "all", Host: "a.example", PathPrefix: "/x/", Services: weighted("stock"), Idempotent: true, TimeoutMs: 300},
			{Name: "deep", Host: "a.example", PathPrefix: "/x/y/", Services: weighted("orders"), Idempotent: true, TimeoutMs: 300},
		},
		CallerLimits: &pb.CallerLimits{MaxBodyBytes: 10},
		Presets:      []*pb.Preset{{Name: "p", Policy: &pb.Policy{}}}, DefaultPreset: "p",
	}
}

// getStatus sends a GET for host and path and returns the status.
func getStatus(c *cluster, host, path string) int {
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
		server := &countingServer{answer: respondStatus(http.StatusOK)}
		c := newCluster(nil, server)
		defer c.close()
		c.entry.SetRoutes(entry.NewRoutes(routesConfig(), "p"))
		Convey("the host's longest matching prefix decides", func() {
			So(getStatus(c, "a.example", "/x/y/1"), ShouldEqual, http.StatusOK)
			So(getStatus(c, "A.example:80", "/x/y/1"), ShouldEqual, http.StatusOK)
			So(getStatus(c, "a.example", "/x/1"), ShouldEqual, http.StatusServiceUnavailable)
			So(server.runs.Load(), ShouldEqual, 2)
		})
		Convey("another host or path has no route", func() {
			So(getStatus(c, "b.example", "/x/y/1"), ShouldEqual, http.StatusNotFound)
			So(getStatus(c, "a.example", "/xy/1"), ShouldEqual, http.StatusNotFound)
		})
		Convey("a request is answered within the route's timeout", func() {
			server.answer = func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
			start := time.Now()
			So(getStatus(c, "a.example", "/x/y/1"), ShouldEqual, http.StatusGatewayTimeout)
			So(time.Since(start), ShouldBeBetween, 250*time.Millisecond, 800*time.Millisecond)
		})
		Convey("a stopping node answers late requests before its stop deadline", func() {
			server.answer = func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
			by := time.Now().Add(100 * time.Millisecond)
			c.entry.SetStopping(by, by)
			start := time.Now()
			So(getStatus(c, "a.example", "/x/y/1"), ShouldEqual, http.StatusGatewayTimeout)
			So(time.Since(start), ShouldBeLessThan, 250*time.Millisecond)
		})
		Convey("a failure just before the deadline isn't retried", func() {
			second := &countingServer{answer: respondStatus(http.StatusOK)}
			c.addGate(1, second)
			server.answer = func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(270 * time.Millisecond)
				w.WriteHeader(http.StatusGatewayTimeout)
			}
			So(getStatus(c, "a.example", "/x/y/1"), ShouldEqual, http.StatusGatewayTimeout)
			So(second.runs.Load(), ShouldEqual, 0)
		})
	})
}

// Guards against requests that reach servers under ids that no caller sent (UNASKED).
func TestRequestIDs(t *testing.T) {
	Convey("Given a backend server", t, func() {
		received := make(chan string, 1)
		server := &countingServer{answer: func(_ http.ResponseWriter, r *http.Request) { received <- r.Header.Get(wire.HeaderRequestID) }}
		c := newCluster(nil, server)
		defer c.close()
		for _, length := range []int{1, 129, 1024} {
			Convey(fmt.Sprintf("an id of %d bytes is sent on as it came, and comes back", length), func() {
				id := strings.Repeat("i", length)
				resp, _ := c.do(http.MethodPost, "/svc/orders/x", "", wire.HeaderRequestID, id)
				So(resp.StatusCode, ShouldEqual, http.StatusOK)
				So(<-received, ShouldEqual, id)
				So(resp.Header.Get(wire.HeaderRequestID), ShouldEqual, id)
			})
		}
		for _, id := range []string{strings.Repeat("i", 1025), "a b", "\u00e9"} {
			Convey(fmt.Sprintf("an id of %d bytes that can't be used is refused and not run: %.5q", len(id), id), func() {
				resp, body := c.do(http.MethodPost, "/svc/orders/x", "", wire.HeaderRequestID, id)
				So(resp.StatusCode, ShouldEqual, http.StatusBadRequest)
				So(body, ShouldContainSubstring, "expected at most 1024 printable ASCII characters without spaces")
				So(server.runs.Load(), ShouldEqual, 0)
			})
		}
	})
}

// Guards against orders of a removed route that ran, and ran twice after a lost answer, at
// the service whose name was the route's host (TWICE).
func TestRemovedRouteSelectsNoService(t *testing.T) {
	Convey("Given a configuration whose request routes are the only ones, without a route for orders", t, func() {
		first, second := &countingServer{answer: abort}, &countingServer{answer: abort}
		c := newCluster(nil, first, second)
		defer c.close()
		config := routesConfig()
		config.RequestRoutesOnly = true
		config.Services[0].Hosts = []string{"shop.example"}
		config.RequestRoutes = config.RequestRoutes[:1]
		c.entry.SetRoutes(entry.NewRoutes(config, "p"))
		for _, target := range []struct{ name, host, path string }{
			{"the service's name as the host", "orders", "/17"},
			{"a host of the service", "shop.example", "/17"},
			{"a path that names the service", "b.example", "/svc/orders/17"},
			{"a path that names the service on a host with routes", "a.example", "/svc/orders/17"},
		} {
			Convey(target.name+" gets 404 and the request doesn't run", func() {
				for _, method := range []string{http.MethodPut, http.MethodDelete, http.MethodPost, http.MethodGet} {
					req, _ := http.NewRequest(method, c.url+target.path, nil)
					req.Host = target.host
					resp, err := http.DefaultClient.Do(req)
					So(err, ShouldBeNil)
					resp.Body.Close()
					So(resp.StatusCode, ShouldEqual, http.StatusNotFound)
				}
				So(first.runs.Load()+second.runs.Load(), ShouldEqual, 0)
			})
		}
	})
}

package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/logserver"
	"github.com/egretfield/egretfield/internal/standin/memlog"
)

// Guards against a version that raises the limit of callers' headers and never comes into
// force, and against HTTP servers on the request path that keep a lower limit (CONFIG).
func TestRaisedHeaderLimit(t *testing.T) {
	Convey("Given a node in front of a backend server", t, func() {
		log := memlog.New(memlog.Options{})
		logHTTP := httptest.NewServer(logserver.New(log))
		defer logHTTP.Close()
		backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			fmt.Fprint(w, len(r.Header.Get("X-Large")))
		}))
		defer backend.Close()
		n, _, stop := startNode(t, logHTTP.URL)
		defer stop()
		waitUntil(t, "readable log", func() bool { return n.follower.Status().GetLogHealthy() })
		publish := func(maxHeaderBytes uint32, prefixes ...string) {
			config := &pb.Config{
				Services: []*pb.Service{{Name: "orders"}}, DefaultPreset: "ordinary", Presets: []*pb.Preset{{Name: "ordinary"}},
				CallerLimits: &pb.CallerLimits{MaxHeaderBytes: maxHeaderBytes},
			}
			for _, prefix := range prefixes {
				config.RequestRoutes = append(config.RequestRoutes, &pb.RequestRoute{
					Name: "route-" + strings.Trim(prefix, "/"), Host: "a.example", PathPrefix: prefix,
					Services: []*pb.WeightedService{{Service: "orders", Weight: 1}},
				})
			}
			applyChange(t, n, log, &pb.ConfigRecord{Change: &pb.ConfigRecord_Publish{Publish: &pb.Publish{Config: config}}})
		}
		get := func(path string, headerBytes int) (status int, body string) {
			request, _ := http.NewRequest(http.MethodGet, "http://"+n.Addresses().Caller+path, nil)
			request.Host = "a.example"
			request.Header.Set("X-Large", strings.Repeat("x", headerBytes))
			response, err := http.DefaultClient.Do(request)
			So(err, ShouldBeNil)
			defer response.Body.Close()
			text := make([]byte, 100)
			read, _ := response.Body.Read(text)
			return response.StatusCode, string(text[:read])
		}
		publish(16<<10, "/old/")
		response, err := http.Post("http://"+n.Addresses().Announce+"/announce", "application/json",
			strings.NewReader(fmt.Sprintf(`{"service":"orders","address":%q,"slots":4}`, backend.Listener.Addr())))
		So(err, ShouldBeNil)
		So(response.Body.Close(), ShouldBeNil)
		waitUntil(t, "backend server", func() bool { status, _ := get("/old/", 1); return status == http.StatusOK })
		refused := func(headerBytes int) {
			status, body := get("/old/", headerBytes)
			So(status, ShouldEqual, http.StatusRequestHeaderFieldsTooLarge)
			So(body, ShouldContainSubstring, "headers_too_large")
		}
		refused(20 << 10)
		refused(500 << 10)
		Convey("a version that raises the limit brings its routes, and headers up to the limit pass", func() {
			for _, limit := range []int{128 << 10, 1 << 20} {
				publish(uint32(limit), "/old/", fmt.Sprintf("/new-%d/", limit))
				for _, size := range []int{1, 60 << 10, limit - 1<<10} {
					for _, path := range []string{"/old/", fmt.Sprintf("/new-%d/", limit)} {
						status, body := get(path, size)
						So(status, ShouldEqual, http.StatusOK)
						So(body, ShouldEqual, fmt.Sprint(size))
					}
				}
				refused(limit + 1<<10)
				refused(2 * limit)
			}
		})
	})
}

package node

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/logserver"
	"github.com/egretfield/egretfield/internal/standin/memlog"
	"github.com/egretfield/egretfield/internal/wire"
)

// TestAllowedRegions guards against a node whose entry or gate doesn't get the allowed
// regions of a configuration, its version, or its own region.
func TestAllowedRegions(t *testing.T) {
	Convey("Given a node in region north with a backend server", t, func() {
		log := memlog.New(memlog.Options{})
		logHTTP := httptest.NewServer(logserver.New(log))
		defer logHTTP.Close()
		var runs atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
		defer server.Close()
		n, _, stop := startNode(t, logHTTP.URL)
		defer stop()
		allow := func(regions ...string) {
			applyChange(t, n, log, &pb.ConfigRecord{Change: &pb.ConfigRecord_Publish{Publish: &pb.Publish{Config: &pb.Config{
				Services: []*pb.Service{{Name: "orders"}},
				RequestRoutes: []*pb.RequestRoute{{
					Name: "r", Host: "a.example", PathPrefix: "/",
					Services: []*pb.WeightedService{{Service: "orders", Weight: 1}}, AllowedRegions: regions,
				}},
				Presets: []*pb.Preset{{Name: "p"}}, DefaultPreset: "p",
			}}}})
		}
		send := func() (status int, kind string) {
			request, err := http.NewRequest(http.MethodGet, "http://"+n.Addresses().Caller+"/x", nil)
			So(err, ShouldBeNil)
			request.Host = "a.example"
			response, err := http.DefaultClient.Do(request)
			So(err, ShouldBeNil)
			_, err = io.Copy(io.Discard, response.Body)
			So(err, ShouldBeNil)
			So(response.Body.Close(), ShouldBeNil)
			return response.StatusCode, response.Header.Get(wire.HeaderError)
		}
		waitUntil(t, "readable log", func() bool { return n.follower.Status().GetLogHealthy() })
		allow("north", "south")
		body := fmt.Sprintf(`{"service":"orders","address":%q,"slots":4}`, strings.TrimPrefix(server.URL, "http://"))
		response, err := http.Post("http://"+n.Addresses().Announce+"/announce", "application/json", strings.NewReader(body))
		So(err, ShouldBeNil)
		So(response.Body.Close(), ShouldBeNil)
		waitUntil(t, "server", func() bool { status, _ := send(); return status == http.StatusOK })

		allow("south")
		// The configuration is in force at the entry and the gate some time after the log has
		// accepted it.
		waitUntil(t, "refusal", func() bool { _, kind := send(); return kind == "region_not_allowed" })
		before := runs.Load()
		status, kind := send()
		So(status, ShouldEqual, http.StatusServiceUnavailable)
		So(kind, ShouldEqual, "region_not_allowed")
		call := &wire.Call{Meta: wire.Meta{
			Attempt: wire.AttemptID{Origin: 1, Number: 1, Incarnation: n.members.Self().GetIncarnation()},
			Service: "orders", Route: "r", Deadline: time.Now().Add(time.Minute), ConfigVersion: n.follower.Current().GetVersion(),
		}, Method: http.MethodGet, URI: "/x", Host: "a.example", Header: http.Header{}}
		So(n.gate.Do(t.Context(), call).Kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_REGION_NOT_ALLOWED)
		So(runs.Load(), ShouldEqual, before)

		allow("north")
		waitUntil(t, "answer", func() bool { status, _ := send(); return status == http.StatusOK })
		So(runs.Load(), ShouldEqual, before+1)
		// The entry states its version: a gate that lags doesn't judge its choice.
		n.gate.SetRegionRules(balance.NewRegionRules(&pb.Config{
			RequestRoutes: []*pb.RequestRoute{{Name: "r", AllowedRegions: []string{"south"}}},
		}, n.follower.Current().GetVersion()-1))
		status, _ = send()
		So(status, ShouldEqual, http.StatusOK)
	})
}

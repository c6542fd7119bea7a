package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/logserver"
	"github.com/egretfield/egretfield/internal/standin/memlog"
)

// Guards against a node that hears from its server that it is cold again, and doesn't tell
// the gate since nothing else in the announcement changed.
func TestServerBecomesColdAgain(t *testing.T) {
	Convey("The gate hears each remaining cold time that the server announces", t, func() {
		log := memlog.New(memlog.Options{})
		server := httptest.NewServer(logserver.New(log))
		defer server.Close()
		n, lines, stop := startNode(t, server.URL)
		waitUntil(t, "readable log", func() bool { return n.follower.Status().GetLogHealthy() })
		applyChange(t, n, log, &pb.ConfigRecord{Change: &pb.ConfigRecord_Publish{Publish: &pb.Publish{Config: &pb.Config{
			Services:      []*pb.Service{{Name: "orders", ColdMs: 3000, ColdRequestsPerS: 15}},
			DefaultPreset: "ordinary", Presets: []*pb.Preset{{Name: "ordinary"}},
		}}}})
		for _, left := range []string{"0", "3000", "3000"} {
			body := strings.NewReader(`{"service":"orders","address":"127.0.0.1:1","slots":4,"warmup_left_ms":` + left + `}`)
			response, err := http.Post("http://"+n.Addresses().Announce+"/announce", "application/json", body)
			So(err, ShouldBeNil)
			So(response.Body.Close(), ShouldBeNil)
		}
		stop()
		var states []bool
		for text := range strings.Lines(lines.String()) {
			if line, _ := parseLine(text); line.Msg == "backend server's cold state changed" {
				states = append(states, strings.Contains(text, `"cold":true`))
			}
		}
		So(states, ShouldResemble, []bool{true, false, true}) // until heard from, by each heartbeat
	})
}

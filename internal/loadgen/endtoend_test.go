package loadgen

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/backend"
)

// startBackend serves a stand-in backend server behind a middleware.
func startBackend(t *testing.T, name string, wrap func(http.Handler) http.Handler) (*pb.LoadTarget, *pb.LoadServer) {
	server, err := backend.New(backend.Options{Name: name, Queue: -1})
	So(err, ShouldBeNil)
	front := httptest.NewServer(wrap(server.Handler()))
	admin := httptest.NewServer(server.Admin())
	t.Cleanup(func() { front.Close(); admin.Close(); server.Close() })
	return &pb.LoadTarget{Address: front.Listener.Addr().String()}, &pb.LoadServer{Name: name, Admin: admin.URL}
}

func TestRun(t *testing.T) {
	unchanged := func(next http.Handler) http.Handler { return next }
	twice := func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			for _, answer := range []http.ResponseWriter{httptest.NewRecorder(), w} {
				r.Body = io.NopCloser(bytes.NewReader(body))
				next.ServeHTTP(answer, r)
			}
		})
	}
	experiment := func(wrap func(http.Handler) http.Handler) *pb.Experiment {
		first, firstServer := startBackend(t, "s1", wrap)
		second, secondServer := startBackend(t, "s2", wrap)
		return &pb.Experiment{
			Targets: []*pb.LoadTarget{first, second},
			Servers: []*pb.LoadServer{firstServer, secondServer},
			Mix: []*pb.Traffic{
				{Kind: "browse", Service: "s", Weight: 2},
				{Kind: "order", Service: "s"},
				{Kind: "upload", Service: "s", BodyBytes: 300_000},
			},
			Steps: []*pb.Step{{DurationS: 0.1001, Rate: 1000}},
		}
	}
	Convey("A run against correct servers passes, and every operation is found in the journals", t, func() {
		run, err := Run(t.Context(), experiment(unchanged))
		So(err, ShouldBeNil)
		So(Failed(run.GetVerdict()), ShouldBeFalse)
		So(run.GetVerdict().GetJournalsComplete(), ShouldBeTrue)
		So(run.GetVerdict().GetOperations(), ShouldEqual, 100)
		So(run.GetVerdict().GetExecutions(), ShouldEqual, 100)
		So(run.GetServers()[0].GetExecutions()+run.GetServers()[1].GetExecutions(), ShouldEqual, 100)
	})
	Convey("A system that runs requests twice is detected", t, func() {
		e := experiment(twice)
		run, err := Run(t.Context(), e)
		So(err, ShouldBeNil)
		So(run.GetVerdict().GetDoubled(), ShouldBeGreaterThan, 0)
		So(run.GetVerdict().GetDoubled()+run.GetVerdict().GetRepeated(), ShouldEqual, 100)
		So(Failed(run.GetVerdict()), ShouldBeTrue)
	})
	Convey("Faults of a step reach the servers, and error answers don't fail the verdict", t, func() {
		e := experiment(unchanged)
		e.Steps[0].ServerFaults = []*pb.ServerFaultChange{{Server: "all", Faults: &pb.ServerFaults{FailFastPercent: 100}}}
		run, err := Run(t.Context(), e)
		So(err, ShouldBeNil)
		So(Failed(run.GetVerdict()), ShouldBeFalse)
		So(run.GetVerdict().GetExecutions(), ShouldEqual, 0)
		So(run.GetRefusals()["status 500"], ShouldEqual, 100)
	})
	Convey("A server that can't be reached is an error before any load is sent", t, func() {
		e := experiment(unchanged)
		e.Servers = append(e.Servers, &pb.LoadServer{Name: "s3", Admin: "127.0.0.1:1"})
		_, err := Run(t.Context(), e)
		So(err, ShouldNotBeNil)
	})
}

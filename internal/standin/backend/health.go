package backend

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/wire"
)

// loadSnapshot is the load that the load and health endpoints report. The load lag
// fault sets how old it may get.
type loadSnapshot struct {
	mu       sync.Mutex
	takenAt  time.Time
	report   *pb.LoadReport
	draining bool
}

// currentLoad returns the load and reports whether the server is draining. Both come
// from a snapshot that is renewed once it is older than the load lag fault; the load
// lie fault falsifies the load.
func (s *Server) currentLoad() (*pb.LoadReport, bool) {
	faults := s.faults.Load()
	lag := time.Duration(faults.GetLoadLagMs()) * time.Millisecond
	s.load.mu.Lock()
	defer s.load.mu.Unlock()
	if now := time.Now(); s.load.report == nil || now.Sub(s.load.takenAt) >= lag {
		s.load.takenAt = now
		s.load.draining = faults.GetDraining() || s.draining.Load()
		s.load.report = &pb.LoadReport{
			Instance: s.options.Name,
			InFlight: uint32(s.slots.inUse()),
			Queued:   uint32(max(0, s.slots.waiting.Load())),
			Slots:    uint32(s.options.Slots),
		}
	}
	return falsify(s.load.report, faults.GetLoadLie()), s.load.draining
}

// falsify returns a copy of report with the false values that lie asks for.
func falsify(report *pb.LoadReport, lie pb.LoadLie) *pb.LoadReport {
	reported := &pb.LoadReport{Instance: report.GetInstance(), InFlight: report.GetInFlight(), Queued: report.GetQueued(), Slots: report.GetSlots()}
	switch lie {
	case pb.LoadLie_LOAD_LIE_IDLE:
		reported.InFlight, reported.Queued = 0, 0
	case pb.LoadLie_LOAD_LIE_FULL:
		reported.InFlight = reported.GetSlots()
	}
	return reported
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	report, _ := s.currentLoad()
	text, err := protojson.Marshal(report)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, draining := s.currentLoad()
	if s.options.ReportCold {
		w.Header().Set(wire.HeaderColdTime, strconv.FormatUint(uint64(s.reportedColdMs()), 10))
	}
	switch s.faults.Load().GetLoadLie() {
	case pb.LoadLie_LOAD_LIE_HEALTHY:
		draining = false
	case pb.LoadLie_LOAD_LIE_UNHEALTHY:
		draining = true
	}
	if draining {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

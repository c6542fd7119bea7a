// Package logserver serves the in-memory log over HTTP, with the interface that
// package httplog describes. GET and PUT /faults read and replace the log's faults
// (pb.LogFaults in JSON).
package logserver

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
	"github.com/egretfield/egretfield/internal/platformlog/httplog"
	"github.com/egretfield/egretfield/internal/standin/memlog"
)

const (
	defaultReadCount = 1000
	maxReadCount     = 10000
	maxReadWait      = time.Minute
	// maxFaultsBytes limits the body of PUT /faults.
	maxFaultsBytes = 1 << 20
)

// Server is the HTTP handler of the stand-in log. It is safe for concurrent use.
type Server struct {
	log *memlog.Log
	mux *http.ServeMux
}

// New returns a server over log.
func New(log *memlog.Log) *Server {
	s := &Server{log: log, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /streams/{stream}/records", s.append)
	s.mux.HandleFunc("GET /streams/{stream}/records", s.read)
	s.mux.HandleFunc("GET /streams/{stream}/bounds", s.bounds)
	s.mux.HandleFunc("GET /faults", s.faults)
	s.mux.HandleFunc("PUT /faults", s.setFaults)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

func (s *Server) view(r *http.Request) *memlog.View {
	return s.log.ForClient(memlog.Client{
		Name:       r.Header.Get(httplog.HeaderClient),
		DataCentre: r.Header.Get(httplog.HeaderDataCentre),
	})
}

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platformlog.MaxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	offset, err := s.view(r).Append(r.Context(), r.PathValue("stream"), data)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusCreated, httplog.AppendReply{Offset: offset})
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	from, err := intParameter(r, "from", platformlog.FirstOffset)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	count, err := intParameter(r, "max", defaultReadCount)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	waitMs, err := intParameter(r, "wait_ms", 0)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(waitMs)*time.Millisecond, maxReadWait)
	records, err := s.view(r).Read(r.Context(), r.PathValue("stream"), from, int(min(count, maxReadCount)), wait)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, httplog.ReadReply{Records: records})
}

func (s *Server) bounds(w http.ResponseWriter, r *http.Request) {
	bounds, err := s.view(r).Bounds(r.Context(), r.PathValue("stream"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, bounds)
}

func (s *Server) faults(w http.ResponseWriter, _ *http.Request) {
	text, err := protojson.Marshal(s.log.Faults())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxFaultsBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	faults := &pb.LogFaults{}
	if err := protojson.Unmarshal(body, faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.log.SetFaults(faults)
	s.faults(w, r)
}

// intParameter returns an integer query parameter, or defaultValue if it is empty.
func intParameter(r *http.Request, name string, defaultValue int64) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return defaultValue, nil
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, eris.Errorf("%s: want an integer, got %q", name, text)
	}
	return value, nil
}

func writeError(w http.ResponseWriter, err error) {
	switch {
	case eris.Is(err, platformlog.ErrUnavailable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case eris.Is(err, platformlog.ErrTrimmed):
		http.Error(w, err.Error(), http.StatusGone)
	default:
		// The append took effect and its answer is lost: close the connection without
		// an answer.
		panic(http.ErrAbortHandler)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

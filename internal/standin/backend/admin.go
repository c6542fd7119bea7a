package backend

import (
	"io"
	"net/http"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
)

// ContentTypeProtobuf is the media type of a journal in protobuf encoding, as an
// Accept or Content-Type header names it.
const ContentTypeProtobuf = "application/x-protobuf"

// maxFaultsBytes limits the body of PUT /faults.
const maxFaultsBytes = 64 << 10

// serveJournal writes the journal as JSON, or as protobuf if the client accepts it.
func (s *Server) serveJournal(w http.ResponseWriter, r *http.Request) {
	journal := s.journal.snapshot()
	if strings.Contains(r.Header.Get("Accept"), ContentTypeProtobuf) {
		writeEncoded(w, ContentTypeProtobuf, proto.Marshal, journal)
		return
	}
	writeEncoded(w, "application/json", protojson.Marshal, journal)
}

func (s *Server) serveFaults(w http.ResponseWriter, _ *http.Request) {
	writeEncoded(w, "application/json", protojson.Marshal, s.faults.Load())
}

func (s *Server) changeFaults(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxFaultsBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	faults := &pb.ServerFaults{}
	if err := protojson.Unmarshal(body, faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	s.serveFaults(w, r)
}

func writeEncoded(w http.ResponseWriter, contentType string, encode func(proto.Message) ([]byte, error), message proto.Message) {
	data, err := encode(message)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(data)
}

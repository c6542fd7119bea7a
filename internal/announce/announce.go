// Package announce lets the backend server of an instance make itself known to
// the node beside it. The backend server repeats its announcement; one that is
// not repeated lapses.
package announce

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// Lapse is how long an announcement holds without being repeated.
	Lapse = 5 * time.Second
	// checkInterval is how often lapses are looked for.
	checkInterval = 500 * time.Millisecond
	// maxBody is the greatest announcement, bytes.
	maxBody = 4 << 10
	// maxSlots bounds what a backend server may claim.
	maxSlots = 100_000
)

// Change tells what the backend server said last.
type Change struct {
	// Server is nil when the announcement lapsed.
	Server *pb.Announcement
	// Leaving is set when the backend server asked for no new work.
	Leaving bool
}

// Receiver takes announcements. Safe for concurrent use.
type Receiver struct {
	onChange func(Change)

	mu      sync.Mutex
	current Change
	heard   time.Time
	// position is that of the newest statement, for backend servers that number
	// theirs.
	position position
}

// NewReceiver returns a receiver that calls onChange for each change, one call
// at a time. A repetition is no change.
func NewReceiver(onChange func(Change)) *Receiver {
	return &Receiver{onChange: onChange}
}

// Handler serves POST /announce (a JSON Announcement) and DELETE /announce (the
// backend server is leaving).
func (r *Receiver) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /announce", r.announce)
	mux.HandleFunc("DELETE /announce", r.leave)
	return mux
}

// Run looks for lapses until ctx ends.
func (r *Receiver) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.lapse(time.Now())
		}
	}
}

func (r *Receiver) announce(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBody))
	if err != nil {
		http.Error(w, "announcement too large", http.StatusRequestEntityTooLarge)
		return
	}
	server := &pb.Announcement{}
	if err := protojson.Unmarshal(body, server); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if problem := check(server); problem != "" {
		http.Error(w, "announcement: "+problem, http.StatusBadRequest)
		return
	}
	r.set(time.Now(), Change{Server: server})
	w.WriteHeader(http.StatusNoContent)
}

// check returns what is wrong with an announcement, or nothing.
func check(server *pb.Announcement) string {
	if server.GetService() == "" {
		return "service is empty"
	}
	host, _, err := net.SplitHostPort(server.GetAddress())
	if err != nil {
		return "address: " + err.Error()
	}
	if net.ParseIP(host) == nil {
		return "address: want an IP number and a port"
	}
	if server.GetSlots() == 0 || server.GetSlots() > maxSlots {
		return "slots: want 1 to 100000"
	}
	return ""
}

func (r *Receiver) leave(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current.Server != nil && !r.current.Leaving {
		r.current.Leaving = true
		r.onChange(r.current)
	}
	w.WriteHeader(http.StatusNoContent)
}

// set takes a new announcement.
func (r *Receiver) set(now time.Time, next Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard = now
	if !r.current.Leaving && proto.Equal(r.current.Server, next.Server) {
		return
	}
	r.current = next
	r.onChange(next)
}

// lapse drops an announcement that was not repeated in time.
func (r *Receiver) lapse(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current.Server == nil || now.Sub(r.heard) < Lapse {
		return
	}
	r.current = Change{}
	r.onChange(r.current)
}

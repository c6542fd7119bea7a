// Package announce implements service registration: it receives the announcements by
// which the backend server of an instance registers with the instance's node, through
// its own HTTP handler or as numbered statements from another one. The backend server
// repeats its announcement regularly, as a heartbeat; one that isn't repeated expires.
package announce

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// Lifetime is how long an announcement is valid without being repeated.
	Lifetime = 5 * time.Second
	// expiryCheckInterval is the time between checks for an expired announcement.
	expiryCheckInterval = 500 * time.Millisecond
	// maxBodyBytes is the maximum size of an announcement's request body.
	maxBodyBytes = 4 << 10
	// maxSlots is the maximum number of slots that a backend server may announce.
	maxSlots = 100_000
	// maxWarmupMs is the longest warm-up that a backend server may announce.
	maxWarmupMs = 3_600_000
	// maxIDBytes is the maximum length of a backend server's ID.
	maxIDBytes = 128
)

// Change is the state of the backend server after its latest announcement, request
// to leave or expiry.
type Change struct {
	// Server is the current announcement; nil if it has expired or was forgotten.
	Server *pb.Announcement
	// Leaving is set if the backend server has asked for no new work or has reported
	// that it is gone.
	Leaving bool
}

// Receiver receives announcements. It is safe for concurrent use.
type Receiver struct {
	onChange func(Change)
	// onDeparture records departures outside of the process; may be nil.
	onDeparture func([]*pb.Departure)
	// onHeartbeat is called with each announcement in force, repeated ones included; may
	// be nil.
	onHeartbeat func(*pb.Announcement)
	// departureMu keeps the calls of onDeparture in the order of the deregistrations.
	departureMu sync.Mutex

	mu        sync.Mutex
	current   Change
	lastHeard time.Time
	// position is that of the latest statement, for backend servers that number
	// their statements.
	position position
	// ended are the servers that have deregistered.
	ended endedStarts
	// leaving are the servers that have said that they are leaving.
	leaving leavingStarts
}

// NewReceiver returns a receiver that calls onChange for each change, one call at a
// time. Repeating an announcement is not a change.
func NewReceiver(onChange func(Change)) *Receiver {
	return &Receiver{onChange: onChange}
}

// OnDeparture sets the function that records the latest departures, oldest first, where a
// later start of the node finds them. The function must keep those of earlier starts. It
// is called before a deregistration that isn't recorded yet is acknowledged. Call
// OnDeparture before the receiver is used.
func (r *Receiver) OnDeparture(record func([]*pb.Departure)) { r.onDeparture = record }

// OnHeartbeat sets a function that is called with each announcement that is in force,
// repeated ones included, after the call for a change that it makes, one call at a time.
// Call OnHeartbeat before the receiver is used.
func (r *Receiver) OnHeartbeat(f func(*pb.Announcement)) { r.onHeartbeat = f }

// Handler serves POST /announce (a JSON Announcement) and DELETE /announce (the
// backend server is leaving).
func (r *Receiver) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /announce", r.announce)
	mux.HandleFunc("DELETE /announce", r.leave)
	return mux
}

// Run checks for an expired announcement until ctx is done.
func (r *Receiver) Run(ctx context.Context) {
	ticker := time.NewTicker(expiryCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.expire(time.Now())
		}
	}
}

func (r *Receiver) announce(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "announcement too large", http.StatusRequestEntityTooLarge)
		return
	}
	server := &pb.Announcement{}
	if err := protojson.Unmarshal(body, server); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if problem := validate(server); problem != "" {
		http.Error(w, "announcement: "+problem, http.StatusBadRequest)
		return
	}
	r.set(time.Now(), Change{Server: server})
	w.WriteHeader(http.StatusNoContent)
}

// validate describes the problem with an invalid announcement. It returns "" for a
// valid one.
func validate(server *pb.Announcement) string {
	if server.GetService() == "" {
		return "service is empty"
	}
	address, err := netip.ParseAddrPort(server.GetAddress())
	if err != nil || address.Port() == 0 {
		return fmt.Sprintf("address: got %q, expected an IP address and a port from 1 to 65535", server.GetAddress())
	}
	if server.GetSlots() == 0 || server.GetSlots() > maxSlots {
		return fmt.Sprintf("slots: got %d, expected 1 to %d", server.GetSlots(), maxSlots)
	}
	if server.GetWarmupLeftMs() > maxWarmupMs {
		return fmt.Sprintf("warm-up left: got %d ms, expected at most %d ms", server.GetWarmupLeftMs(), maxWarmupMs)
	}
	if id := server.GetServerId(); !isToken(id) {
		return idProblem(id)
	}
	return ""
}

func idProblem(id string) string {
	return fmt.Sprintf("server id: got %.40q with %d bytes, expected up to %d printable ASCII characters without spaces", id, len(id), maxIDBytes)
}

// isToken reports whether an id can be sent in a header.
func isToken(id string) bool {
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return len(id) <= maxIDBytes
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

// set stores an announcement and reports it if it is a change.
func (r *Receiver) set(now time.Time, next Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastHeard = now
	r.setCurrent(next)
}

// expire removes an announcement that wasn't repeated within Lifetime.
func (r *Receiver) expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current.Server == nil || now.Sub(r.lastHeard) < Lifetime {
		return
	}
	r.current = Change{}
	r.onChange(r.current)
}

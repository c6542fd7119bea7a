package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/wire"
)

const (
	// bufferSize is the size in bytes of the buffers that bodies are read into.
	bufferSize = 32 << 10
	// maxTimeout limits the time that a request may take, and is the timeout of a
	// request that sets none.
	maxTimeout = 10 * time.Minute
	// exitCodeCrash is the exit code of a server that crashes on request.
	exitCodeCrash = 70
)

// Server is the backend server. Its handlers are safe for concurrent use.
type Server struct {
	options Options
	slots   *slots
	journal *journal
	faults  atomic.Pointer[pb.ServerFaults]
	// warmupStart is when the latest cold start ramp began.
	warmupStart  atomic.Pointer[time.Time]
	lookupClient *http.Client
	links        map[string]*link
	load         loadSnapshot
	// draining is set when the process is about to stop.
	draining atomic.Bool
	listener atomic.Pointer[limitedListener]
	// running is the number of requests between their arrival and the end of their
	// answer.
	running atomic.Int64
	buffers sync.Pool
	mux     *http.ServeMux
	admin   *http.ServeMux
}

// New returns a server that isn't listening yet.
func New(options Options) (*Server, error) {
	options = options.withDefaults()
	journal, err := newJournal(options.Name, options.JournalSize, options.JournalFile)
	if err != nil {
		return nil, err
	}
	s := &Server{
		options:      options,
		slots:        newSlots(options.Slots, options.Queue),
		journal:      journal,
		lookupClient: newLookupClient(options.Slots),
		links:        newLinks(options),
		mux:          http.NewServeMux(),
		admin:        http.NewServeMux(),
	}
	s.buffers.New = func() any { return new([bufferSize]byte) }
	s.faults.Store(&pb.ServerFaults{})
	s.restartWarmup()
	s.mux.HandleFunc("/", s.serve)
	s.mux.HandleFunc("GET /health", s.serveHealth)
	s.mux.HandleFunc("GET /load", s.serveLoad)
	s.admin.HandleFunc("GET /journal", s.serveJournal)
	s.admin.HandleFunc("GET /faults", s.serveFaults)
	s.admin.HandleFunc("PUT /faults", s.changeFaults)
	return s, nil
}

// Handler returns the handler of requests, GET /health and GET /load.
func (s *Server) Handler() http.Handler { return s.mux }

// Admin returns the handler of GET /journal and of GET and PUT /faults (JSON).
func (s *Server) Admin() http.Handler { return s.admin }

// Listener wraps inner with the limit and the delay of connections that the options
// set. A server has one listener; connection faults apply to the latest.
func (s *Server) Listener(inner net.Listener) net.Listener {
	listener := newLimitedListener(inner, s.options.Connections, s.options.ConnectDelay)
	s.listener.Store(listener)
	return listener
}

// Drain makes the health endpoint report that the server is draining.
func (s *Server) Drain() { s.draining.Store(true) }

// Running returns the number of requests in flight.
func (s *Server) Running() int64 { return s.running.Load() }

// Close closes the journal file and idle connections.
func (s *Server) Close() {
	s.lookupClient.CloseIdleConnections()
	s.journal.close()
}

// SetFaults replaces the faults and performs those that take effect once, when they
// are set.
func (s *Server) SetFaults(faults *pb.ServerFaults) {
	faults = proto.CloneOf(faults)
	if faults.GetChill() {
		s.restartWarmup()
		faults.Chill = false
	}
	if listener := s.listener.Load(); faults.GetSilence() && listener != nil {
		listener.silence()
	}
	faults.Silence = false
	s.faults.Store(faults)
}

// restartWarmup starts the cold start ramp anew.
func (s *Server) restartWarmup() {
	now := time.Now()
	s.warmupStart.Store(&now)
}

// serve handles a request from its arrival to its answer.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	ctx, cancel, err := withDeadline(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	defer cancel()
	faults := s.faults.Load()
	if s.injectRefusal(w, r, faults) {
		return
	}
	from := s.linkFrom(r.Header.Get(wire.HeaderPlace))
	if sleep(ctx, from.delay) != nil || faults.GetStall() && waitDone(ctx) {
		writeDeadlineError(w, ctx)
		return
	}
	if !s.checkUpload(ctx, w, r, from) {
		return
	}
	if err := s.slots.acquire(ctx); err != nil {
		writeSlotError(w, ctx, err)
		return
	}
	answer, ok := s.runInSlot(ctx, w, r, faults)
	if !ok || sleep(ctx, from.delay) != nil {
		return
	}
	s.writeAnswer(w, &throttledWriter{ctx: ctx, writer: w, throttle: &from.down}, answer, faults)
}

// runInSlot executes the request and releases its slot, also when the handler is
// aborted because the caller has disconnected.
func (s *Server) runInSlot(ctx context.Context, w http.ResponseWriter, r *http.Request, faults *pb.ServerFaults) (wire.Body, bool) {
	defer s.slots.release()
	return s.run(ctx, w, r, faults)
}

// run executes the request. It returns false if it has already written an answer.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, r *http.Request, faults *pb.ServerFaults) (wire.Body, bool) {
	op := r.Header.Get(wire.HeaderOp)
	if err := s.journal.record(op, r.Header.Get(wire.HeaderRequestID)); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return wire.Body{}, false
	}
	if r.Header.Get(wire.HeaderCrash) != "" {
		s.options.Exit(exitCodeCrash)
	}
	if err := sleep(ctx, s.serviceTime(faults)); err != nil {
		writeDeadlineError(w, ctx)
		return wire.Body{}, false
	}
	if err := s.callNext(ctx, r); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return wire.Body{}, false
	}
	size := s.options.AnswerBytes
	if requested, err := strconv.ParseInt(r.Header.Get(wire.HeaderAnswerBytes), 10, 64); err == nil && requested >= 0 {
		size = requested
	}
	return wire.Body{Op: op, Size: size}, true
}

// injectRefusal answers the request with an error at the rates that the faults set,
// and reports whether it did so. The request isn't executed then.
func (s *Server) injectRefusal(w http.ResponseWriter, r *http.Request, faults *pb.ServerFaults) bool {
	switch {
	case occurs(faults.GetFailFastPercent()):
		http.Error(w, "failing fast", http.StatusInternalServerError)
	case occurs(faults.GetShedPercent()):
		w.Header().Set(wire.HeaderShed, "1")
		http.Error(w, "shedding load", http.StatusServiceUnavailable)
	default:
		return false
	}
	return true
}

// checkUpload reads the request's body and verifies it against the headers that
// describe it, if any. If the body is truncated or altered, it writes an error and
// returns false. A body that starts with wire.CrashBody sets the request's crash header.
func (s *Server) checkUpload(ctx context.Context, w http.ResponseWriter, r *http.Request, from *link) bool {
	if r.Body == nil || r.Body == http.NoBody {
		return true
	}
	buffer := s.buffers.Get().(*[bufferSize]byte)
	defer s.buffers.Put(buffer)
	body := &prefixReader{reader: &throttledReader{ctx: ctx, reader: r.Body, throttle: &from.up}}
	err := readUpload(r.Header, body, buffer[:])
	if string(body.bytes) == wire.CrashBody {
		r.Header.Set(wire.HeaderCrash, "body")
	}
	if err != nil {
		http.Error(w, "upload: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func readUpload(header http.Header, body io.Reader, buffer []byte) error {
	if header.Get(wire.HeaderHash) == "" {
		_, err := io.CopyBuffer(io.Discard, body, buffer)
		return err
	}
	_, err := wire.Check(header, body, buffer)
	return err
}

// writeAnswer writes the answer to body, truncated at the rate that the faults set.
func (s *Server) writeAnswer(w http.ResponseWriter, body io.Writer, answer wire.Body, faults *pb.ServerFaults) {
	header := w.Header()
	header.Set(wire.HeaderOp, answer.Op)
	header.Set(wire.HeaderServer, s.options.Name)
	header.Set("Content-Type", "application/octet-stream")
	header.Set("Content-Length", strconv.FormatInt(answer.Size, 10))
	answer.SetHeaders(header)
	if occurs(faults.GetCutPercent()) {
		answer.Size /= 2
		_, _ = answer.WriteTo(body)
		panic(http.ErrAbortHandler)
	}
	_, _ = answer.WriteTo(body)
}

// withDeadline returns the request's context with the timeout of its header.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc, error) {
	timeout, err := wire.ParseTimeout(r.Header.Get(wire.HeaderTimeout))
	if err != nil {
		return nil, nil, err
	}
	if timeout == 0 || timeout > maxTimeout {
		timeout = maxTimeout
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	return ctx, cancel, nil
}

// writeSlotError answers a request that got no slot.
func writeSlotError(w http.ResponseWriter, ctx context.Context, err error) {
	if !errors.Is(err, errShed) {
		writeDeadlineError(w, ctx)
		return
	}
	w.Header().Set(wire.HeaderShed, "1")
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

// writeDeadlineError answers a request whose deadline has passed. If the caller has
// disconnected instead, it aborts the handler.
func writeDeadlineError(w http.ResponseWriter, ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		http.Error(w, "deadline exceeded", http.StatusGatewayTimeout)
		return
	}
	panic(http.ErrAbortHandler)
}

// waitDone waits until ctx ends. It always returns true, so that it can stand in a
// condition.
func waitDone(ctx context.Context) bool {
	<-ctx.Done()
	return true
}

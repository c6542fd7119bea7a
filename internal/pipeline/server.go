// Package pipeline serves callers over HTTP/1.1. It puts a layer between a caller's
// connection and net/http that finds the ends of requests, so that net/http has one
// request at a time and the connection is still watched while that is served. Requests
// of safe methods that arrive behind it are served at the same time; their answers are
// written in the order of the requests.
package pipeline

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/egretfield/egretfield/internal/delay"
	"github.com/egretfield/egretfield/internal/wire"
)

// Defaults of Options.
const (
	// DefaultDepth is low enough that a caller can't take a large share of a service by
	// pipelining.
	DefaultDepth = 8
	// DefaultConcurrent times DefaultAnswerBytes limits the memory of answers that wait.
	DefaultConcurrent  = 256
	DefaultUnreadBytes = 64 << 10
	DefaultAnswerBytes = 64 << 10
	// DefaultHeaderBytes is the default of Limits.HeaderBytes.
	DefaultHeaderBytes = 32 << 10
)

const (
	// newConnTimeout is how long a stopping server waits for the first request on a
	// connection that was just accepted.
	newConnTimeout = time.Second
	// stopPoll is the interval at which a stopping server looks at its connections.
	stopPoll = 10 * time.Millisecond
	// After quietPolls looks without a new connection, the listener's queue is taken to be
	// empty; maxAcceptPolls limits the wait for that.
	quietPolls     = 5
	maxAcceptPolls = 50
)

// Options are the limits of a Server. Zero means the default.
type Options struct {
	// Depth is the number of requests of a connection that are served ahead of their
	// turn; negative means none.
	Depth int
	// Concurrent limits the requests of all connections that are served ahead.
	Concurrent int
	// UnreadBytes limits the bytes of later requests that are kept for a connection.
	UnreadBytes int
	// AnswerBytes is the size up to which an answer waits for its turn in memory. A
	// longer one waits at its server.
	AnswerBytes int
	// Limits returns the limits in force. It is called for each request and must not block;
	// nil: the defaults.
	Limits func() Limits
	// Logger receives panics of the handler; nil disables logging.
	Logger *zap.Logger
	// Meter creates the metrics; nil disables them.
	Meter metric.Meter
}

// Limits bound what callers may send.
type Limits struct {
	// HeaderBytes limits the size of a request's header, at most wire.MaxHeaderBytes; zero:
	// DefaultHeaderBytes. The handler refuses headers that exceed it by less than
	// wire.HeaderSlackBytes, the Server larger ones.
	HeaderBytes int
	// HeaderTimeout limits the time from the first to the last byte of a header; zero:
	// wire.ReadHeaderTimeout.
	HeaderTimeout time.Duration
	// IdleTimeout is the time without a request after which a connection is closed; zero:
	// wire.ServerIdleTimeout.
	IdleTimeout time.Duration
}

func (o *Options) setDefaults() {
	for _, option := range []struct {
		value        *int
		defaultValue int
	}{
		{&o.Depth, DefaultDepth},
		{&o.Concurrent, DefaultConcurrent},
		{&o.UnreadBytes, DefaultUnreadBytes},
		{&o.AnswerBytes, DefaultAnswerBytes},
	} {
		if *option.value == 0 {
			*option.value = option.defaultValue
		}
	}
	if o.Limits == nil {
		o.Limits = func() Limits { return Limits{} }
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
}

// Server is an HTTP server for callers.
type Server struct {
	http    *http.Server
	handler http.Handler
	options Options
	// slots holds an element for each request that is served ahead.
	slots       chan struct{}
	servedAhead atomic.Int64
	panics      atomic.Int64
	accepted    atomic.Int64 // connections

	mu    sync.Mutex
	conns map[*conn]struct{}
	// listeners are the listeners in use; nil once the server is stopping.
	listeners []*listener
	stopping  bool
}

// NewServer returns a server with the limits of the request path.
func NewServer(handler http.Handler, options Options) *Server {
	options.setDefaults()
	s := &Server{handler: handler, options: options, slots: make(chan struct{}, options.Concurrent), conns: map[*conn]struct{}{}}
	s.http = wire.NewServer(http.HandlerFunc(s.serveSequential))
	s.http.ReadHeaderTimeout, s.http.IdleTimeout = 0, 0 // the connections apply those in force
	s.http.ErrorLog = zap.NewStdLog(options.Logger.WithOptions(zap.IncreaseLevel(zap.ErrorLevel)))
	s.http.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if c, ok := nc.(*conn); ok {
			return context.WithValue(ctx, placeKey{}, place(c))
		}
		return ctx
	}
	s.http.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*conn); ok && state == http.StateIdle {
			c.answered()
		}
	}
	s.registerMetrics(options.Meter)
	return s
}

// Serve accepts connections until the server is shut down or closed. It then returns
// http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	wrapped := &listener{Listener: l, server: s}
	s.mu.Lock()
	s.listeners = append(s.listeners, wrapped)
	s.mu.Unlock()
	err := s.http.Serve(wrapped)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return http.ErrServerClosed
	}
	return err
}

// listener wraps accepted connections.
type listener struct {
	net.Listener
	server   *Server
	once     sync.Once
	closeErr error
}

// Close implements net.Listener. Both Server and http.Server close a listener; only the
// first call has an effect.
func (l *listener) Close() error {
	l.once.Do(func() { l.closeErr = l.Listener.Close() })
	return l.closeErr
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := newConn(nc, l.server)
	l.server.accepted.Add(1)
	l.server.mu.Lock()
	l.server.conns[c] = struct{}{}
	l.server.mu.Unlock()
	return c, nil
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// serveSequential serves a request that net/http has read.
func (s *Server) serveSequential(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(placeKey{}).(*conn)
	if !ok {
		s.handler.ServeHTTP(w, r)
		return
	}
	c.mu.Lock()
	c.handled = true
	closed := c.closed
	c.mu.Unlock()
	if closed {
		panic(http.ErrAbortHandler) // nobody could get the answer
	}
	if s.runHandler(w, r) != nil {
		c.mu.Lock()
		c.aborted = true
		c.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
}

// errPanicked is returned by runHandler for a panic of the handler.
var errPanicked = eris.New("the handler panicked")

// runHandler serves a request. It fails if the answer is not complete: with
// http.ErrAbortHandler if the handler broke it off, with errPanicked after any other panic.
func (s *Server) runHandler(w http.ResponseWriter, r *http.Request) (err error) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		err = http.ErrAbortHandler
		if cause != http.ErrAbortHandler {
			err = errPanicked
			s.panics.Add(1)
			s.options.Logger.Error("panic while serving a request", zap.Any("panic", cause), zap.ByteString("stack", debug.Stack()))
		}
	}()
	s.handler.ServeHTTP(w, r)
	return nil
}

// newFramer returns a framer for the next request under the limits in force.
func (s *Server) newFramer() framer {
	return newFramer(cmp.Or(s.options.Limits().HeaderBytes, DefaultHeaderBytes) + wire.HeaderSlackBytes)
}

// waitLimits returns the times for which a connection waits for a request and for the rest
// of a head under the limits in force.
func (s *Server) waitLimits() (idle, header time.Duration) {
	limits := s.options.Limits()
	return cmp.Or(limits.IdleTimeout, wire.ServerIdleTimeout), cmp.Or(limits.HeaderTimeout, wire.ReadHeaderTimeout)
}

// acquire takes a slot for a request that is served ahead.
func (s *Server) acquire() bool {
	select {
	case s.slots <- struct{}{}:
		s.servedAhead.Add(1)
		return true
	default:
		return false
	}
}

func (s *Server) release() { <-s.slots }

// Shutdown stops the server without breaking off a request: it accepts what waits at
// the listener, closes connections when they have no request, and returns once all are
// closed. The handler's answers must announce the end of their connection by then
// (CloseIfLast). The connections that are left when ctx ends are closed by Close.
func (s *Server) Shutdown(ctx context.Context) error {
	s.awaitQuietListener(ctx)
	s.mu.Lock()
	s.stopping = true
	listeners := s.listeners
	s.listeners = nil
	s.mu.Unlock()
	for _, l := range listeners {
		if err := l.Close(); err != nil {
			s.options.Logger.Warn("callers' listener not closed", zap.Error(err))
		}
	}
	// http.Server.Shutdown drops requests that are read meanwhile, so it comes last.
	for s.closeIdle() > 0 {
		if !delay.Sleep(ctx, stopPoll) {
			break
		}
	}
	return s.http.Shutdown(ctx)
}

// awaitQuietListener waits until the connections that wait at the listener are accepted.
func (s *Server) awaitQuietListener(ctx context.Context) {
	accepted, quiet := s.accepted.Load(), 0
	for polls := 0; quiet < quietPolls && polls < maxAcceptPolls && delay.Sleep(ctx, stopPoll); polls++ {
		quiet++
		if now := s.accepted.Load(); now != accepted {
			accepted, quiet = now, 0
		}
	}
}

// closeIdle closes the connections without a request and returns the number of the
// others. A connection that was used a moment ago may carry a request on its way.
func (s *Server) closeIdle() int {
	s.mu.Lock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.closeIfIdle(time.Now().Add(-newConnTimeout))
	}
	return len(conns)
}

// Close closes the server and its connections at once.
func (s *Server) Close() error {
	return s.http.Close()
}

// registerMetrics creates the server's counters.
func (s *Server) registerMetrics(meter metric.Meter) {
	if meter == nil {
		return
	}
	ahead, _ := meter.Int64ObservableCounter("egretfield.callers.pipelined", metric.WithDescription("Requests served while a request before them on their connection was."))
	panics, _ := meter.Int64ObservableCounter("egretfield.callers.panics", metric.WithDescription("Requests that ended with a panic of the handler."))
	connections, _ := meter.Int64ObservableGauge("egretfield.callers.connections", metric.WithDescription("Open connections of callers."))
	_, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		s.mu.Lock()
		open := len(s.conns)
		s.mu.Unlock()
		o.ObserveInt64(ahead, s.servedAhead.Load())
		o.ObserveInt64(panics, s.panics.Load())
		o.ObserveInt64(connections, int64(open))
		return nil
	}, ahead, panics, connections)
	if err != nil {
		s.options.Logger.Error("registering metrics of callers' connections failed", zap.Error(err))
	}
}

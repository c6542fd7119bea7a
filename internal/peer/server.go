package peer

import (
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

// Server serves control calls and implements Registrar. Register services before
// calling Serve. All methods are safe for concurrent use.
type Server struct {
	key            []byte
	opts           Options
	rpc            *rpc.Server
	stats          *Stats
	handshakeSlots chan struct{}

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	conns     map[net.Conn]struct{}
	closed    bool
	done      sync.WaitGroup
}

// NewServer returns a server that accepts calls signed with key, which has at
// least MinKeyBytes bytes.
func NewServer(key []byte, opts Options) (*Server, error) {
	if len(key) < MinKeyBytes {
		return nil, eris.Errorf("shared key has %d bytes, need at least %d", len(key), MinKeyBytes)
	}
	opts = opts.withDefaults(DefaultServerIdleTimeout)
	return &Server{
		key:            key,
		opts:           opts,
		rpc:            rpc.NewServer(),
		stats:          newStats(),
		handshakeSlots: make(chan struct{}, opts.MaxHandshakes),
		listeners:      map[net.Listener]struct{}{},
		conns:          map[net.Conn]struct{}{},
	}, nil
}

// RegisterName registers the methods of receiver as "name.Method".
func (s *Server) RegisterName(name string, receiver any) error {
	return s.rpc.RegisterName(name, receiver)
}

// Stats returns the server's counters.
func (s *Server) Stats() *Stats { return s.stats }

// acceptRetryInterval is the pause after a failed accept, for example while the process
// has no free file descriptor.
const acceptRetryInterval = 50 * time.Millisecond

// Serve accepts connections from listener until Close is called or listener is
// closed, and then returns nil. After any other error it tries again. Serve closes
// listener.
func (s *Server) Serve(listener net.Listener) error {
	defer listener.Close()
	if !s.addListener(listener) {
		return nil
	}
	failing := false
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			failing = false
			if !s.addConn(conn) {
				s.stats.refused.Add(1)
				conn.Close()
			}
		case s.isClosed() || errors.Is(err, net.ErrClosed):
			return nil
		default:
			if !failing {
				s.opts.Logger.Error("control connection not accepted", zap.Error(err))
			}
			failing = true
			time.Sleep(acceptRetryInterval)
		}
	}
}

// Close ends Serve, closes all connections and waits for running calls to end.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	for listener := range s.listeners {
		listener.Close()
	}
	for conn := range s.conns {
		conn.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
	return nil
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// addListener registers listener for Close. It returns false if the server is
// closed.
func (s *Server) addListener(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.listeners[listener] = struct{}{}
	return true
}

// addConn starts serving conn. It returns false if the server is closed or a limit
// is reached.
func (s *Server) addConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= s.opts.MaxConns {
		return false
	}
	select {
	case s.handshakeSlots <- struct{}{}:
	default:
		return false
	}
	s.conns[conn] = struct{}{}
	s.done.Add(1)
	go s.serveConn(conn)
	return true
}

// serveConn authenticates conn and serves its calls until it is closed.
func (s *Server) serveConn(conn net.Conn) {
	defer s.done.Done()
	defer s.dropConn(conn)
	framed, err := s.authenticate(conn)
	<-s.handshakeSlots
	if err != nil {
		s.stats.rejected.Add(1)
		return
	}
	s.serveCalls(&serverConn{
		framed:    framed,
		opts:      &s.opts,
		stats:     s.stats,
		callSlots: make(chan struct{}, s.opts.MaxConnCalls),
	})
}

// serveCalls serves the calls of a connection until nothing more can be read from it, and
// waits for those that run.
func (s *Server) serveCalls(c *serverConn) {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		call, err := c.readCall()
		if err != nil {
			return
		}
		running.Go(func() { s.serveCall(c, call) })
	}
}

// serveCall serves one call. A panic of the called method ends that call alone.
func (s *Server) serveCall(c *serverConn, call *pb.PeerCall) {
	codec := &serverCodec{conn: c, call: call}
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		s.stats.panics.Add(1)
		s.opts.Logger.Error("panic while serving a control call", zap.String("method", call.Method),
			zap.Any("panic", cause), zap.ByteString("stack", debug.Stack()))
		if codec.answered {
			c.framed.conn.Close()
			return
		}
		failure := errkind.New(pb.ErrorKind_ERROR_KIND_INTERNAL, "the call ended unexpectedly")
		_ = codec.WriteResponse(&rpc.Response{ServiceMethod: call.Method, Seq: call.Sequence, Error: failure.Error()}, nil) // closes the connection if it fails
	}()
	_ = s.rpc.ServeRequest(codec) // the peer gets the error as the call's reply
}

func (s *Server) dropConn(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// authenticate performs the TLS and key handshakes of an accepted connection.
func (s *Server) authenticate(conn net.Conn) (*framedConn, error) {
	if err := conn.SetDeadline(time.Now().Add(s.opts.HandshakeTimeout)); err != nil {
		return nil, err
	}
	if s.opts.TLS != nil {
		conn = tls.Server(conn, s.opts.TLS)
	}
	framed, err := serverHandshake(conn, s.key, s.opts.MaxMessageBytes)
	if err != nil {
		return nil, err
	}
	return framed, conn.SetDeadline(time.Time{})
}

// serverConn is an accepted connection.
type serverConn struct {
	framed *framedConn
	opts   *Options
	stats  *Stats
	// callSlots holds a token for each running call.
	callSlots chan struct{}
	// writeMu is held while a reply is written.
	writeMu sync.Mutex
}

// readCall receives a call and waits while MaxConnCalls are running.
func (c *serverConn) readCall() (*pb.PeerCall, error) {
	if err := c.framed.conn.SetReadDeadline(time.Now().Add(c.opts.IdleTimeout)); err != nil {
		return nil, err
	}
	call := &pb.PeerCall{}
	n, err := c.framed.read(call)
	if err != nil {
		return nil, err
	}
	c.stats.countIn(call.Method, n)
	c.callSlots <- struct{}{}
	return call, nil
}

// serverCodec is the rpc.ServerCodec of one call.
type serverCodec struct {
	conn *serverConn
	call *pb.PeerCall
	// answered reports whether WriteResponse was called.
	answered bool
}

// ReadRequestHeader returns the header of the call.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	r.ServiceMethod, r.Seq = c.call.Method, c.call.Sequence
	return nil
}

// ReadRequestBody decodes the arguments of the call.
func (c *serverCodec) ReadRequestBody(body any) error {
	args, ok := body.(proto.Message)
	if !ok {
		return nil
	}
	if err := proto.Unmarshal(c.call.Body, args); err != nil {
		return errkind.Wrap(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, err, "decode arguments")
	}
	return nil
}

// WriteResponse sends the reply and frees the call's slot.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	conn := c.conn
	c.answered = true
	<-conn.callSlots
	call := &pb.PeerCall{Sequence: r.Seq, Method: r.ServiceMethod, Error: r.Error}
	if reply, ok := body.(proto.Message); ok && r.Error == "" {
		encoded, err := proto.Marshal(reply)
		if err != nil {
			call.Error = err.Error()
		}
		call.Body = encoded
	}
	if err := conn.framed.checkSize(call); err != nil {
		call.Body, call.Error = nil, err.Error()
	}
	conn.writeMu.Lock()
	defer conn.writeMu.Unlock()
	n, err := conn.framed.write(call, conn.opts.WriteTimeout)
	if err != nil {
		conn.framed.conn.Close()
		return err
	}
	conn.stats.countOut(call.Method, n)
	return nil
}

// Close does nothing: the connection outlasts the call.
func (c *serverCodec) Close() error { return nil }

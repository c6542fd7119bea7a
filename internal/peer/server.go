package peer

import (
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"
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

// Serve accepts connections from listener until Close is called or listener is
// closed, and then returns nil. Any other error of listener is returned. Serve
// closes listener.
func (s *Server) Serve(listener net.Listener) error {
	defer listener.Close()
	if !s.addListener(listener) {
		return nil
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			if s.isClosed() || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return eris.Wrap(err, "accept control connection")
		}
		if !s.addConn(conn) {
			s.stats.refused.Add(1)
			conn.Close()
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
	s.rpc.ServeCodec(&serverCodec{
		framed:    framed,
		opts:      &s.opts,
		stats:     s.stats,
		callSlots: make(chan struct{}, s.opts.MaxConnCalls),
	})
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

// serverCodec is the rpc.ServerCodec of one connection.
type serverCodec struct {
	framed *framedConn
	opts   *Options
	stats  *Stats
	// callSlots holds a token for each running call.
	callSlots chan struct{}
	body      []byte
}

// ReadRequestHeader receives a call and waits while MaxConnCalls are running.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.framed.conn.SetReadDeadline(time.Now().Add(c.opts.IdleTimeout)); err != nil {
		return err
	}
	call := &pb.PeerCall{}
	n, err := c.framed.read(call)
	if err != nil {
		return err
	}
	c.stats.countIn(call.Method, n)
	c.callSlots <- struct{}{}
	r.ServiceMethod, r.Seq, c.body = call.Method, call.Sequence, call.Body
	return nil
}

// ReadRequestBody decodes the arguments of the call just received.
func (c *serverCodec) ReadRequestBody(body any) error {
	args, ok := body.(proto.Message)
	if !ok {
		return nil
	}
	if err := proto.Unmarshal(c.body, args); err != nil {
		return errkind.Wrap(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, err, "decode arguments")
	}
	return nil
}

// WriteResponse sends a reply and frees the call's slot.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	<-c.callSlots
	call := &pb.PeerCall{Sequence: r.Seq, Method: r.ServiceMethod, Error: r.Error}
	if reply, ok := body.(proto.Message); ok && r.Error == "" {
		encoded, err := proto.Marshal(reply)
		if err != nil {
			call.Error = err.Error()
		}
		call.Body = encoded
	}
	if err := c.framed.checkSize(call); err != nil {
		call.Body, call.Error = nil, err.Error()
	}
	n, err := c.framed.write(call, c.opts.WriteTimeout)
	if err != nil {
		c.framed.conn.Close()
		return err
	}
	c.stats.countOut(call.Method, n)
	return nil
}

// Close closes the connection.
func (c *serverCodec) Close() error {
	return c.framed.conn.Close()
}

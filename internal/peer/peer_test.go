package peer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
)

var testKey = []byte("0123456789abcdef")

// echoService is the RPC receiver used by the tests.
type echoService struct {
	calls atomic.Int64
	block chan struct{}
}

func (e *echoService) Say(args *pb.Rumor, reply *pb.Rumor) error {
	e.calls.Add(1)
	reply.Payload = args.Payload
	return nil
}

func (e *echoService) Conflict(args *pb.Rumor, reply *pb.Rumor) error {
	return eris.Wrap(errkind.New(pb.ErrorKind_ERROR_KIND_CONFLICT, "version 7 won"), "publish")
}

// Panic fails as a method does that trusts a field which is missing.
func (e *echoService) Panic(args *pb.Rumor, _ *pb.Rumor) error {
	var missing *pb.Member
	missing.Instance = string(args.Payload)
	return nil
}

func (e *echoService) Wait(args *pb.Rumor, reply *pb.Rumor) error {
	<-e.block
	return nil
}

// pipeNet is an in-memory network and its only listener. Its connections can be made
// to discard or corrupt what the client writes.
type pipeNet struct {
	conns     chan net.Conn
	closeOnce sync.Once

	mu          sync.Mutex
	clientConns []*pipeConn
}

// pipeConn is the client's end of a connection.
type pipeConn struct {
	net.Conn
	discardWrites atomic.Bool
	// corruptNextWrite flips a bit in the last byte of the next write.
	corruptNextWrite atomic.Bool
}

func (c *pipeConn) Write(p []byte) (int, error) {
	if c.discardWrites.Load() {
		return len(p), nil
	}
	if c.corruptNextWrite.CompareAndSwap(true, false) {
		p = bytes.Clone(p)
		p[len(p)-1] ^= 1
	}
	return c.Conn.Write(p)
}

func (n *pipeNet) dial(ctx context.Context, addr string) (net.Conn, error) {
	client, server := net.Pipe()
	conn := &pipeConn{Conn: client}
	select {
	case n.conns <- server:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.clientConns = append(n.clientConns, conn)
	return conn, nil
}

func (n *pipeNet) forEachConn(f func(*pipeConn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.clientConns {
		f(c)
	}
}

// Accept, Close and Addr make pipeNet a net.Listener.
func (n *pipeNet) Accept() (net.Conn, error) {
	conn, ok := <-n.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (n *pipeNet) Close() error {
	n.closeOnce.Do(func() { close(n.conns) })
	return nil
}

func (n *pipeNet) Addr() net.Addr { return &net.TCPAddr{} }

// fixture is a server and a client connected through a pipeNet.
type fixture struct {
	net         *pipeNet
	server      *Server
	client      *TCPClient
	echoService *echoService
}

func newFixture(clientKey []byte, server, client Options) *fixture {
	f := &fixture{net: &pipeNet{conns: make(chan net.Conn)}, echoService: &echoService{block: make(chan struct{})}}
	f.server, _ = NewServer(testKey, server)
	f.server.RegisterName("Echo", f.echoService)
	client.Dial = f.net.dial
	f.client, _ = NewClient(clientKey, client)
	go f.server.Serve(f.net)
	return f
}

func (f *fixture) close() {
	f.client.Close()
	f.server.Close()
	f.net.Close()
	synctest.Wait()
}

func (f *fixture) call(method string, payload []byte, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	reply := &pb.Rumor{}
	err := f.client.Call(ctx, "server", method, &pb.Rumor{Payload: payload}, reply)
	return reply.Payload, err
}

// withFixture runs f under virtual time with a fixture.
func withFixture(t *testing.T, clientKey []byte, server, client Options, f func(*fixture)) {
	virtualtime.Test(t, func(t *testing.T) {
		fix := newFixture(clientKey, server, client)
		defer fix.close()
		f(fix)
	})
}

func TestCall(t *testing.T) {
	withFixture(t, testKey, Options{}, Options{}, func(f *fixture) {
		Convey("Calls share a connection and carry arguments and replies", t, func() {
			for range 20 {
				reply, err := f.call("Echo.Say", []byte("hello"), time.Second)
				So(err, ShouldBeNil)
				So(string(reply), ShouldEqual, "hello")
			}
			So(f.client.Stats().Dials(), ShouldEqual, 1)
			synctest.Wait()
			out, in := f.client.Stats().Classes()["Echo"], f.server.Stats().Classes()["Echo"]
			So(out.MessagesOut, ShouldEqual, 20)
			So(out.BytesOut, ShouldBeGreaterThan, 20*len("hello"))
			So(in.MessagesIn, ShouldEqual, 20)
			So(in.MessagesOut, ShouldEqual, 20)
		})
		Convey("A receiver's error keeps its kind, even when wrapped", t, func() {
			_, err := f.call("Echo.Conflict", nil, time.Second)
			So(errkind.KindOf(err), ShouldEqual, pb.ErrorKind_ERROR_KIND_CONFLICT)
			So(err.Error(), ShouldContainSubstring, "version 7 won")
			_, err = f.call("Echo.Missing", nil, time.Second)
			So(errkind.KindOf(err), ShouldEqual, pb.ErrorKind_ERROR_KIND_NOT_FOUND)
		})
		Convey("An idle connection is closed and the next call opens another", t, func() {
			time.Sleep(DefaultClientIdleTimeout + time.Second)
			_, err := f.call("Echo.Say", nil, time.Second)
			So(err, ShouldBeNil)
			So(f.client.Stats().Dials(), ShouldEqual, 2)
		})
	})
}

func TestPanic(t *testing.T) {
	core, logs := observer.New(zap.ErrorLevel)
	withFixture(t, testKey, Options{MaxConnCalls: 2, Logger: zap.New(core)}, Options{}, func(f *fixture) {
		Convey("A panic of a called method ends that call alone, is counted and logged", t, func() {
			for range 5 {
				_, err := f.call("Echo.Panic", []byte("x"), time.Second)
				So(errkind.KindOf(err), ShouldEqual, pb.ErrorKind_ERROR_KIND_INTERNAL)
				reply, err := f.call("Echo.Say", []byte("hello"), time.Second)
				So(err, ShouldBeNil)
				So(string(reply), ShouldEqual, "hello")
			}
			So(f.client.Stats().Dials(), ShouldEqual, 1)
			So(f.server.Stats().Panics(), ShouldEqual, 5)
			So(logs.Len(), ShouldEqual, 5)
			So(logs.All()[0].ContextMap()["method"], ShouldEqual, "Echo.Panic")
		})
	})
}

// failingListener fails the first accepts, as a process does that has no free file
// descriptor.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

func TestAcceptErrors(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		Convey("A server whose listener fails for a while serves calls afterwards", t, func() {
			f := &fixture{net: &pipeNet{conns: make(chan net.Conn)}, echoService: &echoService{block: make(chan struct{})}}
			f.server, _ = NewServer(testKey, Options{})
			So(f.server.RegisterName("Echo", f.echoService), ShouldBeNil)
			f.client, _ = NewClient(testKey, Options{Dial: f.net.dial, DialTimeout: 10 * time.Second})
			served := make(chan error, 1)
			go func() { served <- f.server.Serve(&failingListener{f.net, 20}) }()
			reply, err := f.call("Echo.Say", []byte("hello"), 10*time.Second)
			So(err, ShouldBeNil)
			So(string(reply), ShouldEqual, "hello")
			f.close()
			So(<-served, ShouldBeNil)
		})
	})
}

func TestSilentConnection(t *testing.T) {
	withFixture(t, testKey, Options{}, Options{}, func(f *fixture) {
		Convey("Given a connection whose peer no longer responds", t, func() {
			_, err := f.call("Echo.Say", nil, time.Second)
			So(err, ShouldBeNil)
			f.net.forEachConn(func(c *pipeConn) { c.discardWrites.Store(true) })
			_, err = f.call("Echo.Say", nil, 300*time.Millisecond)
			So(errkind.KindOf(err), ShouldEqual, pb.ErrorKind_ERROR_KIND_TIMEOUT)
			So(f.client.Stats().Retired(), ShouldEqual, 1)
			Convey("the next call succeeds on a new one", func() {
				_, err = f.call("Echo.Say", nil, 300*time.Millisecond)
				So(err, ShouldBeNil)
			})
		})
	})
}

func TestDeadlines(t *testing.T) {
	withFixture(t, testKey, Options{}, Options{MaxConnCalls: 3}, func(f *fixture) {
		Convey("A call ends with its context, and abandoned calls count towards the limit", t, func() {
			start := time.Now()
			_, err := f.call("Echo.Wait", nil, 50*time.Millisecond)
			So(errkind.KindOf(err), ShouldEqual, pb.ErrorKind_ERROR_KIND_TIMEOUT)
			So(time.Since(start), ShouldEqual, 50*time.Millisecond)
			for range 2 {
				f.call("Echo.Wait", nil, 10*time.Millisecond)
			}
			_, err = f.call("Echo.Say", nil, time.Second)
			So(errkind.KindOf(err), ShouldEqual, pb.ErrorKind_ERROR_KIND_OVERLOADED)
			close(f.echoService.block)
			synctest.Wait()
			_, err = f.call("Echo.Say", nil, time.Second)
			So(err, ShouldBeNil)
		})
	})
}

func TestAuthentication(t *testing.T) {
	withFixture(t, []byte("another key of 16+"), Options{}, Options{}, func(f *fixture) {
		Convey("Calls of a client with another key don't run, and its connection is counted as rejected", t, func() {
			_, err := f.call("Echo.Say", nil, time.Second)
			So(errkind.KindOf(err), ShouldEqual, pb.ErrorKind_ERROR_KIND_UNAUTHENTICATED)
			So(errors.Is(err, ErrUnreachable), ShouldBeTrue)
			synctest.Wait()
			So(f.echoService.calls.Load(), ShouldEqual, 0)
			So(f.server.Stats().Rejected(), ShouldEqual, 1)
		})
	})
	withFixture(t, testKey, Options{}, Options{}, func(f *fixture) {
		Convey("The connection of a client that sends a wrong proof is rejected", t, func() {
			conn, err := f.net.dial(context.Background(), "server")
			So(err, ShouldBeNil)
			conn.SetDeadline(time.Now().Add(time.Second))
			writeMessage(conn, &pb.PeerHello{Nonce: newNonce()})
			_, err = readHello(bufio.NewReader(conn))
			So(err, ShouldBeNil)
			writeMessage(conn, &pb.PeerHello{Proof: make([]byte, 32)})
			synctest.Wait()
			So(f.server.Stats().Rejected(), ShouldEqual, 1)
		})
	})
	withFixture(t, testKey, Options{MaxHandshakes: 2}, Options{}, func(f *fixture) {
		Convey("Connections that never authenticate are limited in number and closed after the handshake timeout", t, func() {
			for range 5 {
				conn, err := f.net.dial(context.Background(), "server")
				So(err, ShouldBeNil)
				defer conn.Close()
			}
			synctest.Wait()
			So(f.server.Stats().Refused(), ShouldEqual, 3)
			time.Sleep(DefaultHandshakeTimeout)
			synctest.Wait()
			So(f.server.Stats().Rejected(), ShouldEqual, 2)
			_, err := f.call("Echo.Say", nil, time.Second)
			So(err, ShouldBeNil)
		})
	})
	withFixture(t, testKey, Options{}, Options{}, func(f *fixture) {
		Convey("A call whose message was corrupted in transit doesn't run, and its connection is closed", t, func() {
			_, err := f.call("Echo.Say", nil, time.Second)
			So(err, ShouldBeNil)
			f.net.forEachConn(func(c *pipeConn) { c.corruptNextWrite.Store(true) })
			_, err = f.call("Echo.Say", []byte("x"), time.Second)
			So(errors.Is(err, ErrLost), ShouldBeTrue)
			So(f.echoService.calls.Load(), ShouldEqual, 1)
		})
	})
}

func TestSizeLimits(t *testing.T) {
	withFixture(t, testKey, Options{MaxMessageBytes: 1000}, Options{MaxMessageBytes: 4000}, func(f *fixture) {
		Convey("Messages above the limit are refused by the client and by the server", t, func() {
			_, err := f.call("Echo.Say", make([]byte, 5000), time.Second)
			So(errkind.KindOf(err), ShouldEqual, pb.ErrorKind_ERROR_KIND_BODY_TOO_LARGE)
			_, err = f.call("Echo.Say", make([]byte, 3000), time.Second)
			So(errors.Is(err, ErrLost), ShouldBeTrue)
			So(f.echoService.calls.Load(), ShouldEqual, 0)
			_, err = f.call("Echo.Say", make([]byte, 500), time.Second)
			So(err, ShouldBeNil)
		})
	})
}

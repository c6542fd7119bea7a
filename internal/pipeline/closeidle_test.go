package pipeline

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// hookedListener accepts connections that call hook after each read of the socket, before
// the reader gets the bytes.
type hookedListener struct {
	net.Listener
	hook func()
}

type hookedConn struct {
	net.Conn
	hook func()
}

func (l *hookedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	return &hookedConn{Conn: nc, hook: l.hook}, err
}

func (c *hookedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.hook()
	return n, err
}

// Guards against a request that is passed on although a stop closes its connection while it
// is being read: its answer can't be delivered (LOST).
func TestStopClosesConnectionDuringRead(t *testing.T) {
	Convey("A request whose connection is closed while it is read isn't passed on", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		var ran atomic.Int64
		s := NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			ran.Add(1)
			_, _ = io.WriteString(w, "whole")
		}), Options{})
		defer s.Close()
		var stopping atomic.Bool
		go func() {
			_ = s.Serve(&hookedListener{Listener: l, hook: func() {
				if stopping.Load() {
					s.closeIdle()
				}
			}})
		}()
		nc := dial(l.Addr().String())
		defer nc.Close()
		reader := bufio.NewReader(nc)
		const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
		_, _ = io.WriteString(nc, request)
		resp, err := http.ReadResponse(reader, nil)
		So(err, ShouldBeNil)
		_, _ = io.Copy(io.Discard, resp.Body)
		time.Sleep(newConnTimeout + 100*time.Millisecond)
		stopping.Store(true)
		_, _ = io.WriteString(nc, request)
		_, err = http.ReadResponse(reader, nil)
		So(err, ShouldNotBeNil)
		time.Sleep(50 * time.Millisecond)
		So(ran.Load(), ShouldEqual, 1)
	})
}

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

// Guards against limits of callers' time that aren't those in force: a connection is
// closed while its caller may still use it, or stays open without a request (CONFIG).
func TestTimeoutsInForce(t *testing.T) {
	const short, long = 300 * time.Millisecond, time.Minute
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	Convey("Given a server whose limits a configuration changes", t, func() {
		var limits atomic.Pointer[Limits]
		limits.Store(&Limits{HeaderTimeout: short, IdleTimeout: short})
		s, addr := serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "whole")
		}), Options{Limits: func() Limits { return *limits.Load() }})
		defer s.Close()
		get := func(nc net.Conn, reader *bufio.Reader) error {
			if _, err := io.WriteString(nc, request); err != nil {
				return err
			}
			resp, err := http.ReadResponse(reader, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			return err
		}
		closedAfter := func(nc net.Conn) time.Duration {
			began := time.Now()
			_, _ = io.Copy(io.Discard, nc)
			return time.Since(began)
		}
		Convey("a connection without a request is closed after the idle time, used or not", func() {
			fresh, used := dial(addr), dial(addr)
			defer fresh.Close()
			defer used.Close()
			So(closedAfter(fresh), ShouldBeBetween, short-50*time.Millisecond, 3*short)
			reader := bufio.NewReader(used)
			_ = get(used, reader) // it may be over already
			So(closedAfter(used), ShouldBeLessThan, 3*short)
		})
		Convey("a header must be complete within its time, however its bytes trickle", func() {
			limits.Store(&Limits{HeaderTimeout: short, IdleTimeout: long})
			nc := dial(addr)
			defer nc.Close()
			So(get(nc, bufio.NewReader(nc)), ShouldBeNil)
			time.Sleep(2 * short)
			go func() {
				for i := range len(request) - 1 {
					if _, err := io.WriteString(nc, request[i:i+1]); err != nil {
						return
					}
					time.Sleep(short / 5)
				}
			}()
			So(closedAfter(nc), ShouldBeBetween, short-50*time.Millisecond, 4*short)
		})
		Convey("a connection that waits gets the longer times of a later configuration", func() {
			idle, partial := dial(addr), dial(addr)
			defer idle.Close()
			defer partial.Close()
			idleReader := bufio.NewReader(idle)
			So(get(idle, idleReader), ShouldBeNil)
			_, _ = io.WriteString(partial, request[:10])
			limits.Store(&Limits{HeaderTimeout: long, IdleTimeout: long})
			time.Sleep(2 * short)
			So(get(idle, idleReader), ShouldBeNil)
			_, _ = io.WriteString(partial, request[10:])
			resp, err := http.ReadResponse(bufio.NewReader(partial), nil)
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, http.StatusOK)
		})
		Convey("a request that arrives behind a long one has its own time for its header", func() {
			slow := make(chan struct{})
			s, addr := serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost {
					<-slow
				}
				_, _ = io.WriteString(w, "whole")
			}), Options{Limits: func() Limits { return *limits.Load() }})
			defer s.Close()
			nc := dial(addr)
			defer nc.Close()
			_, _ = io.WriteString(nc, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"+request[:10])
			time.Sleep(2 * short)
			close(slow)
			reader := bufio.NewReader(nc)
			resp, err := http.ReadResponse(reader, nil)
			So(err, ShouldBeNil)
			_, _ = io.Copy(io.Discard, resp.Body)
			_, _ = io.WriteString(nc, request[10:])
			_, err = http.ReadResponse(reader, nil)
			So(err, ShouldBeNil)
		})
	})
}

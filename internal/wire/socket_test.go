package wire

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// socketPair returns both ends of a loopback connection as sockets.
func socketPair() (a, b net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	defer l.Close()
	a, err = net.Dial("tcp", l.Addr().String())
	So(err, ShouldBeNil)
	b, err = l.Accept()
	So(err, ShouldBeNil)
	return newSocket(a), newSocket(b)
}

func TestSocket(t *testing.T) {
	Convey("Given two sockets", t, func() {
		a, b := socketPair()
		defer a.Close()
		defer b.Close()

		Convey("more data than the kernel's buffers hold arrives completely, in both directions at once", func() {
			sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<19)
			complete := make(chan bool, 2)
			for _, pair := range [][2]net.Conn{{a, b}, {b, a}} {
				go func() { _, _ = pair[0].Write(sent) }()
				go func() {
					got := make([]byte, len(sent))
					_, err := io.ReadFull(pair[1], got)
					complete <- err == nil && bytes.Equal(got, sent)
				}()
			}
			So(<-complete, ShouldBeTrue)
			So(<-complete, ShouldBeTrue)
		})
		Convey("a deadline ends a waiting read and a waiting write with a timeout error", func() {
			So(a.SetDeadline(time.Now().Add(time.Millisecond)), ShouldBeNil)
			_, err := a.Read(make([]byte, 1))
			So(IsTimeout(err), ShouldBeTrue)
			_, err = a.Write(make([]byte, 64<<20))
			So(IsTimeout(err), ShouldBeTrue)
			So(a.SetDeadline(time.Time{}), ShouldBeNil)
			_, _ = io.WriteString(b, "x")
			n, err := a.Read(make([]byte, 2))
			So(n, ShouldEqual, 1)
			So(err, ShouldBeNil)
		})
		Convey("end of input, a reset and a closed socket give different errors", func() {
			So(b.(interface{ CloseWrite() error }).CloseWrite(), ShouldBeNil)
			_, err := a.Read(make([]byte, 1))
			So(err, ShouldEqual, io.EOF)
			So(a.(interface{ SetLinger(int) error }).SetLinger(0), ShouldBeNil)
			a.Close()
			_, err = b.Read(make([]byte, 1))
			So(errors.Is(err, syscall.ECONNRESET), ShouldBeTrue)
			_, err = a.Read(make([]byte, 1))
			So(errors.Is(err, net.ErrClosed), ShouldBeTrue)
		})
	})
}

package pipeline

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a broken answer that looks complete to a caller of HTTP/1.0, for which the
// end of the connection is the end of the answer: over TLS, an orderly end (MIXED).
func TestBrokenAnswerToOldVersion(t *testing.T) {
	certified := httptest.NewTLSServer(nil)
	defer certified.Close()
	for _, secure := range []bool{false, true} {
		for _, breaks := range []bool{false, true} {
			Convey(fmt.Sprintf("A caller of HTTP/1.0 sees whether its answer is whole (TLS %v, broken %v)", secure, breaks), t, func() {
				server := NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					_, _ = io.WriteString(w, strings.Repeat("a part", 1000))
					_ = http.NewResponseController(w).Flush()
					time.Sleep(50 * time.Millisecond) // the caller gets it
					if breaks {
						panic(http.ErrAbortHandler)
					}
				}), Options{})
				l, err := net.Listen("tcp", "127.0.0.1:0")
				So(err, ShouldBeNil)
				address := l.Addr().String()
				if secure {
					l = tls.NewListener(l, &tls.Config{Certificates: certified.TLS.Certificates})
				}
				go func() { _ = server.Serve(l) }()
				defer server.Close()
				nc, err := net.Dial("tcp", address)
				So(err, ShouldBeNil)
				defer nc.Close()
				if secure {
					nc = tls.Client(nc, &tls.Config{InsecureSkipVerify: true})
				}
				_, err = io.WriteString(nc, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
				So(err, ShouldBeNil)
				_ = nc.SetReadDeadline(time.Now().Add(5 * time.Second))
				_, err = io.ReadAll(nc)
				So(err != nil, ShouldEqual, breaks)
			})
		}
	}
}

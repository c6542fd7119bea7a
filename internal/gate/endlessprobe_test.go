package gate

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// countingConn counts the bytes that are read.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// Guards against an answer of a health endpoint without an end that fills the memory of the
// node, so that the process ends with the requests of all its callers (LOST).
func TestHealthAnswerWithoutEnd(t *testing.T) {
	for name, parts := range map[string][2]string{
		"a header line":   {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"header lines":    {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"a status line":   {"HTTP/1.1 200 ", "x"},
		"interim answers": {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		"a body":          {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"a chunk line":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x"},
	} {
		Convey("A probe ends early after "+name+" without end", t, func() {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				nc, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				defer nc.Close()
				_, err = nc.Write([]byte(parts[0]))
				block := []byte(strings.Repeat(parts[1], 1+4096/len(parts[1])))
				for err == nil {
					_, err = nc.Write(block)
				}
			}))
			defer server.Close()
			var read atomic.Int64
			prober := newHealthProber(server.Listener.Addr().String(), nil, func(ctx context.Context, network, address string) (net.Conn, error) {
				nc, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return &countingConn{Conn: nc, read: &read}, err
			})
			defer prober.close()
			began := time.Now()
			_, err := prober.get(context.Background(), prober.client, "/", 5*time.Second)
			So(time.Since(began), ShouldBeLessThan, 2*time.Second)
			So(err != nil, ShouldEqual, name != "a body")
			So(read.Load(), ShouldBeLessThan, 128<<10)
		})
	}
}

package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/entry"
)

// Guards against a 200 with an empty or short body, framed as whole, for an answer whose
// server stopped in the middle of its head and closed (MIXED, ORDER).
func TestCutHeads(t *testing.T) {
	for name, whole := range map[string]string{
		"a length":             "HTTP/1.1 200 OK\r\nX-Other: a\r\nContent-Length: 12\r\n\r\nhello, world",
		"no length":            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello, world",
		"chunks and a trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\nX-Sum: 1\r\n\r\n",
	} {
		for _, isLocal := range []bool{false, true} {
			Convey(fmt.Sprintf("An answer with %s that is cut at any byte isn't a complete success (backend server beside the entry: %v)", name, isLocal), t, func() {
				headEnd := strings.Index(whole, "\r\n\r\n") + len("\r\n\r\n")
				cut := 0
				server := &countingServer{answer: func(w http.ResponseWriter, _ *http.Request) {
					nc, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						panic(err)
					}
					_, _ = io.WriteString(nc, whole[:cut])
					nc.Close()
				}}
				c := newCluster(nil, server)
				defer c.close()
				if isLocal {
					options := entry.Options{Instance: "s0", Local: c.gates[0], BalancerFor: func(string) balance.Balancer { return c.balancer }, ControlClient: c.inProcessPeer}
					local := entry.New(options)
					local.SetRoutes(entry.NewRoutes(testConfig, ""))
					addr, closer := serveOn(local)
					c.url = "http://" + addr
					c.closers = append(c.closers, closer)
				}
				last := len(whole)
				if name == "no length" {
					last = headEnd // behind its head such an answer may end anywhere
				}
				for ; cut < last; cut++ {
					resp, err := http.Post(c.url+"/svc/orders/x", "text/plain", nil)
					if err != nil {
						continue // the caller sees that the answer is cut
					}
					body, err := io.ReadAll(resp.Body)
					resp.Body.Close()
					if err == nil && resp.StatusCode != http.StatusBadGateway {
						So(fmt.Sprintf("%d of %d bytes: status %d, body %q", cut, len(whole), resp.StatusCode, body), ShouldBeEmpty)
					}
				}
				So(server.runs.Load(), ShouldEqual, last)
			})
		}
	}
}

package wire

import (
	"context"
	"fmt"
	"io"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against an answer that looks whole although its server stopped in the middle of
// its head, chunk lines or trailer and closed (MIXED, ORDER).
func TestCutHeads(t *testing.T) {
	heads := map[string]string{
		"a length":             "HTTP/1.1 200 OK\r\nX-Other: a\r\nEgret-Attempt: 0-0-0\r\nContent-Length: 12\r\n\r\nhello, world",
		"no length":            "HTTP/1.1 200 OK\r\nConnection: close\r\nEgret-Attempt: 0-0-0\r\n\r\n",
		"chunks and a trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\nEgret-Attempt: 0-0-0\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\nX-Sum: 1\r\n\r\n",
		"no body":              "HTTP/1.1 204 No Content\r\nEgret-Attempt: 0-0-0\r\n\r\n",
		"an interim answer":    "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\nEgret-Attempt: 0-0-0\r\n\r\n",
		"bare line feeds":      "HTTP/1.1 200 OK\nContent-Length: 2\nEgret-Attempt: 0-0-0\n\nok",
		"HTTP/1.0":             "HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\nEgret-Attempt: 0-0-0\r\n\r\n",
	}
	for name, whole := range heads {
		for _, betweenNodes := range []bool{false, true} {
			Convey(fmt.Sprintf("An answer with %s is an error if it is cut at any byte (between nodes: %v)", name, betweenNodes), t, func() {
				for cut := range len(whole) + 1 {
					addr, closeListener := rawPeer(whole[:cut])
					client := NewClient(ClientOptions{BetweenNodes: betweenNodes})
					answer, err := client.Do(context.Background(), SendParams{Addr: addr, Call: testCall()})
					if err == nil && answer.Body != nil {
						_, err = io.Copy(io.Discard, answer.Body)
					}
					closeListener()
					client.Close()
					if isWhole := err == nil; isWhole != (cut == len(whole)) {
						So(fmt.Sprintf("%d of %d bytes of %q: %v", cut, len(whole), whole, err), ShouldBeEmpty)
					}
				}
				So(whole, ShouldNotBeEmpty)
			})
		}
	}
}

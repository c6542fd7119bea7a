package wire

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a peer that restarted without closing its connections, as after a loss of
// power, and fails as many requests as there are idle connections to it.
func TestRestartedPeer(t *testing.T) {
	const connections = 8
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var restarted atomic.Bool
	var arrived sync.WaitGroup
	arrived.Add(connections)
	serve := func(conn net.Conn) {
		defer conn.Close()
		isOld := !restarted.Load()
		for r := bufio.NewReader(conn); ; {
			request, err := http.ReadRequest(r)
			if err != nil || isOld && restarted.Load() {
				return // a connection of the former start is reset at the first byte
			}
			if isOld { // the requests take a connection each
				arrived.Done()
				arrived.Wait()
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", HeaderAttempt, request.Header.Get(HeaderAttempt))
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	client := NewClient(ClientOptions{BetweenNodes: true})
	do := func() error {
		call := testCall()
		call.Deadline = time.Now().Add(10 * time.Second)
		answer, err := client.Do(t.Context(), SendParams{Addr: l.Addr().String(), Call: call, Check: func(context.Context, time.Duration, bool) Verdict { return VerdictWait }})
		if err == nil {
			_, err = io.ReadAll(answer.Body)
		}
		return err
	}
	var first sync.WaitGroup
	for range connections {
		first.Go(func() { _ = do() })
	}
	first.Wait()
	restarted.Store(true)
	failed := 0
	for range connections {
		if do() != nil {
			failed++
		}
	}
	Convey("One request finds that the peer restarted; the others take new connections", t, func() {
		So(failed, ShouldBeLessThanOrEqualTo, 1)
	})
}

package wire

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// refusingServer is a backend server that refuses the first request on each connection and
// runs the others. Before it answers one that it ran, it writes its refusal once more.
type refusingServer struct {
	net.Listener
	headers *Headers
	conns   int
}

func newRefusingServer(headers *Headers) *refusingServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &refusingServer{Listener: l, headers: headers}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			s.conns++
			go s.serve(nc, s.conns == 1)
		}
	}()
	return s
}

func (s *refusingServer) serve(nc net.Conn, refuses bool) {
	defer nc.Close()
	reader := bufio.NewReader(nc)
	refusal := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get(s.headers.RequestID)
		if refuses && refusal == "" {
			refusal = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", s.headers.RequestID, id, s.headers.NotExecuted)
			_, _ = io.WriteString(nc, refusal)
			continue
		}
		_, _ = io.WriteString(nc, refusal)
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 3\r\n\r\nran", s.headers.RequestID, id)
	}
}

// Guards against 'not run' for a request that a server runs: the server writes an earlier
// refusal of the same request once more on a kept connection (REFUSED, TWICE).
func TestRefusalWrittenAgain(t *testing.T) {
	headers := DefaultHeaders()
	headers.NotExecuted = "Not-Executed"
	for _, echoes := range []bool{true, false} {
		headers.EchoesRequestID = echoes
		for _, between := range []int{0, 1, 2 * maxEarlierIDs} {
			Convey(fmt.Sprintf("Given a server that refuses a request (ids required: %v) and %d others between", echoes, between), t, func() {
				server := newRefusingServer(headers)
				defer server.Close()
				client := NewClient(ClientOptions{Headers: headers})
				defer client.Close()
				send := func(id string) *Answer {
					call := testCall()
					call.RequestID = id
					answer, err := client.Do(context.Background(), SendParams{Addr: server.Addr().String(), Call: call})
					So(err, ShouldBeNil)
					if answer.Body != nil {
						_, err = io.Copy(io.Discard, answer.Body)
						So(err, ShouldBeNil)
						_ = answer.Body.Close()
					}
					return answer
				}
				So(send("r1").NotExecuted, ShouldBeTrue)
				for i := range between {
					So(send(fmt.Sprint("other", i)).Status, ShouldEqual, http.StatusOK)
				}
				Convey("the answer to the request when it is sent again is its own", func() {
					again := send("r1")
					So(again.NotExecuted, ShouldBeFalse)
					So(again.Status, ShouldEqual, http.StatusOK)
				})
			})
		}
	}
	Convey("A connection isn't kept when too many requests on it may be sent again", t, func() {
		c := &conn{}
		deadline := time.Now().Add(time.Minute)
		for i := range maxResendableIDs {
			So(c.rememberResendable(fmt.Sprint(i), deadline), ShouldBeTrue)
		}
		So(c.rememberResendable("last", deadline), ShouldBeFalse)
	})
	Convey("An id counts until the deadline of its request", t, func() {
		c := &conn{}
		So(c.rememberResendable("past", time.Now().Add(-time.Second)), ShouldBeTrue)
		So(c.rememberResendable("now", time.Now().Add(time.Minute)), ShouldBeTrue)
		So(c.mayAnswerAgain("now"), ShouldBeTrue)
		So(c.mayAnswerAgain("past"), ShouldBeFalse)
		So(c.mayAnswerAgain("other"), ShouldBeFalse)
	})
}

package gate

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/standin/rawanswer"
	"github.com/egretfield/egretfield/internal/wire"
)

// slowBody is a long body whose parts come slowly.
type slowBody struct{}

func (slowBody) Read(p []byte) (int, error) {
	time.Sleep(5 * time.Millisecond)
	return min(len(p), 1024), nil
}

// Guards against an early answer to an upload whose end the gate holds back while it waits for
// the sender to stop: on a route with a timeout it would be cut.
func TestEarlyAnswerEndsAtOnce(t *testing.T) {
	for _, c := range rawanswer.Cases() {
		if c.Broken || c.Status == http.StatusNoContent || c.Status == http.StatusNotModified {
			continue
		}
		Convey("The end of an early answer with "+c.Name+" isn't held back", t, func() {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer l.Close()
			go func() {
				if nc, err := l.Accept(); err == nil {
					rawanswer.Serve(nc, func(*http.Request) rawanswer.Case { return c })
				}
			}()
			g := New(Options{Instance: "i", Incarnation: 1})
			g.SetServer(&Server{Service: "s", Address: l.Addr().String(), Slots: 10, Connections: 10})
			server := httptest.NewServer(g)
			defer server.Close()
			client := wire.NewClient(wire.ClientOptions{BetweenNodes: true})
			defer client.Close()
			call := newTestCall("/")
			call.Attempt = wire.NewIDs().Attempt(1)
			call.Target = call.Deadline
			call.Method, call.Body, call.BodyBytes = http.MethodPost, slowBody{}, 1<<30
			began := time.Now()
			answer, err := client.Do(context.Background(), wire.SendParams{Addr: server.Listener.Addr().String(), Call: call})
			So(err, ShouldBeNil)
			body, err := io.ReadAll(answer.Body)
			So(err, ShouldBeNil)
			So(answer.Status, ShouldEqual, c.Status)
			So(string(body), ShouldEqual, c.Body)
			So(time.Since(began), ShouldBeLessThan, wire.LingerTime)
		})
	}
}

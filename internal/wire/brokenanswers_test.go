package wire

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/standin/rawanswer"
)

// finalStatusLine matches the status lines of answers that aren't interim ones.
var finalStatusLine = regexp.MustCompile(`(?m)^HTTP/\S+ [^1\n][^\n]*\n`)

// Guards against a broken answer of another node that is taken for a sound one. Between nodes
// every answer repeats the attempt's id.
func TestBrokenAnswersOfNodes(t *testing.T) {
	cases := rawanswer.Cases()
	for i := range cases {
		cases[i].Raw = finalStatusLine.ReplaceAllString(cases[i].Raw, "${0}"+HeaderAttempt+": 0-0-0\r\n")
	}
	plain := cases[0]
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go rawanswer.Serve(nc, func(r *http.Request) rawanswer.Case {
				number, err := strconv.Atoi(strings.TrimPrefix(r.URL.Path, "/case/"))
				if err != nil {
					return plain
				}
				return cases[number]
			})
		}
	}()
	for _, kept := range []bool{false, true} {
		for number, c := range cases {
			Convey(fmt.Sprintf("An answer with %s, kept=%v", c.Name, kept), t, func() {
				client := NewClient(ClientOptions{BetweenNodes: true})
				defer client.Close()
				get := func(uri string) (*Answer, string, error) {
					call := testCall()
					call.URI, call.Deadline = uri, time.Now().Add(5*time.Second)
					answer, err := client.Do(context.Background(), SendParams{Addr: l.Addr().String(), Call: call})
					if err != nil || answer.Body == nil {
						return answer, "", err
					}
					body, err := io.ReadAll(answer.Body)
					return answer, string(body), err
				}
				if kept {
					_, body, err := get("/plain")
					So(err, ShouldBeNil)
					So(body, ShouldEqual, plain.Body)
				}
				answer, body, err := get(fmt.Sprint("/case/", number))
				So(err != nil, ShouldEqual, c.Broken)
				if !c.Broken {
					So(answer.Status, ShouldEqual, c.Status)
					So(body, ShouldEqual, c.Body)
					So(*answer.Trailer, ShouldResemble, c.Trailer)
				}
			})
		}
	}
}

package gate

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/standin/rawanswer"
)

// Guards against a broken answer of a health endpoint that decides about its server: the
// server would count as warm, as fast or as leaving by what is no answer.
func TestBrokenHealthAnswers(t *testing.T) {
	for _, c := range rawanswer.Cases() {
		if c.Broken && len(c.Raw) > 2*maxHealthBytes {
			continue // what breaks it lies behind the part of the body that is read
		}
		Convey(fmt.Sprintf("A health answer with %s is read: %v", c.Name, !c.Broken), t, func() {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer l.Close()
			var asked atomic.Int64
			go func() {
				for {
					nc, err := l.Accept()
					if err != nil {
						return
					}
					go rawanswer.Serve(nc, func(*http.Request) rawanswer.Case {
						if asked.Add(1) == 1 {
							return rawanswer.Plain
						}
						return c
					})
				}
			}()
			prober := newHealthProber(l.Addr().String(), nil, nil)
			defer prober.close()
			get := func() error {
				_, err := prober.get(context.Background(), prober.client, "/health", time.Second)
				return err
			}
			So(get(), ShouldBeNil)
			kept := get()
			So(kept != nil, ShouldEqual, c.Broken)
			prober.client.Retire(l.Addr().String())
			So(get() != nil, ShouldEqual, c.Broken)
		})
	}
}

// Guards against a configured path that adds lines to the request.
func TestMalformedHealthPath(t *testing.T) {
	Convey("A malformed path isn't asked for", t, func() {
		prober := newHealthProber("127.0.0.1:1", nil, nil)
		defer prober.close()
		for _, path := range []string{"", "health", "/a\r\nX: b", "/%zz"} {
			_, err := prober.get(context.Background(), prober.client, path, time.Second)
			So(errors.As(err, new(*url.Error)), ShouldBeTrue)
		}
	})
}

package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/entry"
)

// Guards against a limit of callers' bodies above the default of routes that isn't applied,
// so that proper uploads get 413 (DENIED).
func TestRaisedBodyLimit(t *testing.T) {
	Convey("Given a limit of 1 GiB for callers' bodies and a server that answers before it reads them", t, func() {
		server := &countingServer{answer: respondStatus(http.StatusOK)}
		c := newCluster(nil, server)
		defer c.close()
		config := routesConfig()
		config.CallerLimits.MaxBodyBytes = 1 << 30
		c.entry.SetRoutes(entry.NewRoutes(config, "p"))
		status := func(length int64) int {
			nc, err := net.Dial("tcp", strings.TrimPrefix(c.url, "http://"))
			So(err, ShouldBeNil)
			defer nc.Close()
			So(nc.SetDeadline(time.Now().Add(10*time.Second)), ShouldBeNil)
			fmt.Fprintf(nc, "POST /x/y/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", 100))
			resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
			So(err, ShouldBeNil)
			return resp.StatusCode
		}
		Convey("a body of 300 MiB is passed on, one of 2 GiB is not", func() {
			So(status(300<<20), ShouldEqual, http.StatusOK)
			So(status(2<<30), ShouldEqual, http.StatusRequestEntityTooLarge)
		})
	})
}

package entry_test

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/entry"
	"github.com/egretfield/egretfield/internal/quarantine"
)

// Guards against a streamed upload that crashes servers and is taken for all uploads to its
// path: sound ones are denied (DENIED), or clear it, so that it is never held back (BUDGET).
func TestStreamedUploadCrashesServers(t *testing.T) {
	const marker = "boom"
	for _, length := range []int{200, 90_000} {
		Convey("Given servers that a streamed upload crashes, and sound uploads to its path", t, func() {
			table := quarantine.New(nil, nil)
			c := newCluster(func(o *entry.Options) { o.Quarantine = table })
			defer c.close()
			var crashes atomic.Int64
			for i := range 3 {
				c.addGateWith(i, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					body, _ := io.ReadAll(r.Body)
					if !bytes.HasPrefix(body, []byte(marker)) {
						_, _ = w.Write(body[len(body)-1:])
						return
					}
					crashes.Add(1)
					c.servers[i].Listener.Close()
					c.servers[i].CloseClientConnections()
				}), table)
			}
			all := c.balancer.endpoints
			upload := func(server int, beginning string) (kind, body string) {
				c.balancer.endpoints = all[server : server+1]
				content := beginning + strings.Repeat("x", length) + "$"
				req, _ := http.NewRequest(http.MethodPost, c.url+"/svc/orders/upload", io.NopCloser(strings.NewReader(content))) // in chunks
				resp, err := http.DefaultClient.Do(req)
				So(err, ShouldBeNil)
				defer resp.Body.Close()
				data, _ := io.ReadAll(resp.Body)
				return resp.Header.Get("Egret-Error"), string(data)
			}
			for i := range 2 {
				_, body := upload(2, "sound")
				So(body, ShouldEqual, "$")
				kind, _ := upload(i, marker)
				So(kind, ShouldEqual, "server_failed")
			}
			Convey("it is held back after the second crash, however many sound ones ended between, and these go on", func() {
				for range 3 {
					kind, _ := upload(2, marker)
					So(kind, ShouldEqual, "quarantined")
					_, body := upload(2, "sound")
					So(body, ShouldEqual, "$")
				}
				So(crashes.Load(), ShouldEqual, 2)
			})
		})
	}
}

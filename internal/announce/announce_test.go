package announce

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
)

const validAnnouncement = `{"service":"orders","address":"127.0.0.1:80","slots":10}`

func sendRequest(r *Receiver, method, body string) int {
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, httptest.NewRequest(method, "/announce", strings.NewReader(body)))
	return w.Code
}

func TestReceiver(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		Convey("Given a receiver", t, func() {
			changes := make(chan Change, 10)
			r := NewReceiver(func(c Change) { changes <- c })
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go r.Run(ctx)

			So(sendRequest(r, http.MethodPost, validAnnouncement), ShouldEqual, http.StatusNoContent)
			So((<-changes).Server.GetService(), ShouldEqual, "orders")

			Convey("a repeated announcement is not a change and doesn't expire", func() {
				for range 10 {
					time.Sleep(Lifetime / 2)
					sendRequest(r, http.MethodPost, validAnnouncement)
				}
				So(len(changes), ShouldEqual, 0)
			})
			Convey("another remaining warm-up time is not a change, but reaches the function for heartbeats", func() {
				var left []uint32
				r.OnHeartbeat(func(server *pb.Announcement) { left = append(left, server.GetWarmupLeftMs()) })
				for _, ms := range []string{"3000", "1500", "1500", "0"} {
					sendRequest(r, http.MethodPost, strings.Replace(validAnnouncement, "}", `,"warmup_left_ms":`+ms+"}", 1))
				}
				So(len(changes), ShouldEqual, 0)
				So(left, ShouldResemble, []uint32{3000, 1500, 1500, 0})
			})
			Convey("an announcement that isn't repeated expires, with a single change", func() {
				time.Sleep(3 * Lifetime)
				synctest.Wait()
				So(len(changes), ShouldEqual, 1)
				So((<-changes).Server, ShouldBeNil)
			})
			Convey("leaving is reported, and a later announcement ends it", func() {
				sendRequest(r, http.MethodDelete, "")
				So((<-changes).Leaving, ShouldBeTrue)
				sendRequest(r, http.MethodPost, validAnnouncement)
				So((<-changes).Leaving, ShouldBeFalse)
			})
		})
	})
}

func TestBadAnnouncements(t *testing.T) {
	Convey("Invalid announcements are refused and change nothing", t, func() {
		r := NewReceiver(func(Change) { t.Error("changed") })
		for _, body := range []string{
			`{`, `{"service":"","address":"127.0.0.1:80","slots":1}`,
			`{"service":"a","address":"host:80","slots":1}`, `{"service":"a","address":"127.0.0.1:80"}`,
			`{"service":"a","address":"127.0.0.1:99999","slots":1}`, `{"service":"a","address":"127.0.0.1:0","slots":1}`,
			`{"service":"a","address":"127.0.0.1:http","slots":1}`, `{"service":"a","address":"127.0.0.1:-1","slots":1}`,
			`{"service":"a","address":"127.0.0.1:80","slots":1,"warmup_left_ms":4294967295}`,
			`{"service":"a","address":"127.0.0.1:80","slots":4000000000}`, strings.Repeat(" ", maxBodyBytes+1),
		} {
			So(sendRequest(r, http.MethodPost, body), ShouldBeBetween, 399, 500)
		}
	})
}

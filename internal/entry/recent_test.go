package entry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

// loggedExchange returns an exchange of usual size whose request has an API key.
func loggedExchange(id string) *exchange {
	r := httptest.NewRequest(http.MethodGet, "/pages/1?token=secret", nil)
	r.Host = "shop.example"
	r.Header.Set("Authorization", "Bearer secret")
	offer := &balance.EndpointOffer{Wait: time.Millisecond, ServiceTime: 30 * time.Millisecond, RoundTrip: time.Millisecond}
	return &exchange{
		r: r, requestID: id, startTime: time.Now(), key: "secret",
		service: &service{name: "catalogue"}, route: &route{name: "pages"},
		call:       wire.Call{Meta: wire.Meta{Deadline: time.Now().Add(time.Second), Organisation: "acme", Class: pb.Class_CLASS_NORMAL}},
		attemptLog: []attemptRecord{{instance: "catalogue-taipei-1", region: "north", outcome: "answered", latency: 35 * time.Millisecond, offer: offer}},
	}
}

// TestRecentRequests guards against a record of recent requests that grows without bound, loses
// recent requests, or holds a key.
func TestRecentRequests(t *testing.T) {
	Convey("Given an entry that logged more requests than it keeps", t, func() {
		h := &Handler{}
		const requests = 20_000
		for i := range requests {
			h.recent.add(loggedExchange(fmt.Sprintf("request-%d.", i)), &wire.Answer{Status: http.StatusOK})
		}
		refusal := wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_OVERLOADED, "no slot")
		refusal.RetryAfter = 200 * time.Millisecond
		h.recent.add(loggedExchange("refused"), refusal)
		h.recent.add(loggedExchange("\xffbroken"), refusal)
		h.recent.add(loggedExchange(strings.Repeat("x", maxRecordedText+1)), refusal)
		Convey("it keeps the latest, within the bound", func() {
			recent := h.RecentRequests(fmt.Sprintf("request-%d.", requests-1))
			t.Logf("%d successes kept, %d bytes each", len(h.recent.successes.encoded), maxSuccessBytes/len(h.recent.successes.encoded))
			So(recent.GetCount(), ShouldBeBetween, 5000, 10_000)
			So(len(recent.GetRecords()), ShouldEqual, 1)
			So(recent.GetOldestSuccessUnixMs(), ShouldBeGreaterThan, 0)
			So(h.RecentRequests("request-0.").GetRecords(), ShouldBeEmpty)
			So(h.recent.successes.bytes, ShouldBeBetween, maxSuccessBytes-1000, maxSuccessBytes+1)
			sum := 0
			for _, encoded := range h.recent.successes.encoded {
				sum += len(encoded) + recordOverheadBytes
			}
			So(sum, ShouldEqual, h.recent.successes.bytes)
		})
		Convey("a record has what was decided, and no key", func() {
			record := h.RecentRequests("refused").GetRecords()[0]
			So(record.GetKind(), ShouldEqual, pb.ErrorKind_ERROR_KIND_OVERLOADED)
			So(record.GetStatus(), ShouldEqual, http.StatusServiceUnavailable)
			So(record.GetRetryAfterMs(), ShouldEqual, 200)
			So(record.GetPath(), ShouldEqual, "/pages/1")
			So(record.GetAttempts()[0].GetOffer().GetWaitUs(), ShouldEqual, 1000)
			So(record.String(), ShouldNotContainSubstring, "secret")
		})
		Convey("a record has the path as the caller escaped it", func() {
			x := loggedExchange("escaped")
			x.r = httptest.NewRequest(http.MethodGet, "/a%0Aentry%20of%20other%1b%5B2J/%2F", nil)
			h.recent.add(x, refusal)
			So(h.RecentRequests("escaped").GetRecords()[0].GetPath(), ShouldEqual, "/a%0Aentry%20of%20other%1b%5B2J/%2F")
		})
		Convey("the times of a request that took hours are whole", func() {
			x := loggedExchange("long")
			x.startTime = time.Now().Add(-2 * time.Hour)
			x.attemptLog[0].latency = 2 * time.Hour
			h.recent.add(x, refusal)
			record := h.RecentRequests("long").GetRecords()[0]
			So(record.GetTookUs(), ShouldBeBetween, uint64(2*time.Hour.Microseconds())-1, uint64(2*time.Hour.Microseconds())+60e6)
			So(record.GetAttempts()[0].GetLatencyUs(), ShouldEqual, 2*time.Hour.Microseconds())
		})
		Convey("the oldest success and the oldest failure are told separately", func() {
			recent := h.RecentRequests("none")
			So(recent.GetOldestSuccessUnixMs(), ShouldBeGreaterThan, 0)
			So(recent.GetOldestFailureUnixMs(), ShouldBeGreaterThanOrEqualTo, recent.GetOldestSuccessUnixMs())
			x := loggedExchange("older")
			x.startTime = time.UnixMilli(1000)
			other := &Handler{}
			other.recent.add(x, refusal)
			other.recent.add(loggedExchange("newer"), &wire.Answer{Status: http.StatusOK})
			recent = other.RecentRequests("none")
			So(recent.GetOldestFailureUnixMs(), ShouldEqual, 1000)
			So(recent.GetOldestSuccessUnixMs(), ShouldBeGreaterThan, 1000)
			So((&Handler{}).RecentRequests("none").GetOldestSuccessUnixMs(), ShouldEqual, 0)
		})
		Convey("an id that was used again has all its records, newest first, up to a limit", func() {
			for i := range 2 * maxFoundRecords {
				x := loggedExchange("again")
				x.startTime = time.UnixMilli(int64(i))
				h.recent.add(x, refusal)
			}
			found := h.RecentRequests("again").GetRecords()
			So(len(found), ShouldEqual, maxFoundRecords)
			So(found[0].GetTimeUnixMs(), ShouldEqual, 2*maxFoundRecords-1)
		})
	})
}

func BenchmarkRecentRequests(b *testing.B) {
	h, x := &Handler{}, loggedExchange("request")
	b.ReportAllocs()
	for b.Loop() {
		h.recent.add(x, &wire.Answer{Status: http.StatusOK})
	}
}

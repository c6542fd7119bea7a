package wire

import (
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/apikey"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

func TestCodecs(t *testing.T) {
	now := time.Unix(1000, 0)
	Convey("Attempt ids, metadata and load reports are the same after encoding and parsing", t, func() {
		ids := NewIDs()
		id := ids.Attempt(77)
		parsedID, ok := ParseAttemptID(id.String())
		So(ok, ShouldBeTrue)
		So(parsedID, ShouldResemble, id)
		meta := Meta{
			Attempt: id, RequestID: "r", Service: "s", Class: pb.Class_CLASS_CRITICAL, Idempotent: true,
			Depth: 3, Deadline: now.Add(1500 * time.Millisecond), Fingerprint: 1 << 63,
			Target: now.Add(400 * time.Millisecond), Route: "r-1", Caller: "web",
			Organisation: "acme", ConfigVersion: 1<<40 + 7, Hedged: true,
			KeyUse: apikey.Use{Key: apikey.IDOf("k"), Version: apikey.Version{Operator: 3, Offset: 1 << 60}},
		}
		header := http.Header{
			HeaderAttempt: {id.String()}, HeaderRequestID: {"r"}, HeaderHedged: {"1"}, HeaderCall: {string(appendMeta(nil, &meta, 1500, 400))},
		}
		parsed, err := ParseMeta(header, now)
		So(err, ShouldBeNil)
		So(parsed, ShouldResemble, meta)
		report := &pb.LoadReport{Incarnation: 1 << 60, InFlight: 1, Queued: 2, Slots: 3, LatencyUs: 4, ErrorsPermille: 5, SlownessPercent: 250}
		got, serverTime := ParseLoad(FormatLoad(report, 6*time.Microsecond))
		So(got.String(), ShouldEqual, report.String())
		So(serverTime, ShouldEqual, 6*time.Microsecond)
		report.RateLimitPerS = proto.Float64(3.2)
		got, serverTime = ParseLoad(FormatLoad(report, 6*time.Microsecond))
		So(got.String(), ShouldEqual, report.String())
		So(serverTime, ShouldEqual, 6*time.Microsecond)
	})
	Convey("Generated request ids differ, and malformed ids are rejected", t, func() {
		ids := NewIDs()
		So(ids.Request(), ShouldNotEqual, ids.Request())
		So(ValidRequestID(ids.Request()), ShouldBeTrue)
		for _, bad := range []string{"", "a b", "a\n", strings.Repeat("x", MaxRequestIDBytes+1)} {
			So(ValidRequestID(bad), ShouldBeFalse)
		}
	})
	Convey("The timeout of the next hop is the remaining time less a margin and the round trip", t, func() {
		nextTimeoutMs := func(left, roundTrip time.Duration) int64 { return NextTimeoutMs(now, now.Add(left), roundTrip) }
		So(nextTimeoutMs(time.Second, 0), ShouldEqual, 998)
		So(nextTimeoutMs(time.Second, 40*time.Millisecond), ShouldEqual, 958)
		So(nextTimeoutMs(10*time.Millisecond, 0), ShouldEqual, 9)
		So(nextTimeoutMs(50*time.Millisecond, 40*time.Millisecond), ShouldEqual, 23)
		So(nextTimeoutMs(0, 0), ShouldEqual, 0)
	})
}

func FuzzInternalHeaders(f *testing.F) {
	f.Add("1-1-1", "orders 100 2 true 0 ff", "1 2 3 4 5 6 7", "3s")
	f.Add("--", "      ", "1 2", "-1")
	f.Add("ffffffffffffffffff-1-1", "s 99999999999 9 x -1 g", "z", "9223372036854775807ns")
	f.Fuzz(func(t *testing.T, attempt, call, load, timeout string) {
		if id, ok := ParseAttemptID(attempt); ok {
			if parsedID, ok := ParseAttemptID(id.String()); !ok || parsedID != id {
				t.Fatalf("attempt id %q is parsed back as %v", attempt, parsedID)
			}
		}
		meta, err := ParseMeta(http.Header{HeaderAttempt: {attempt}, HeaderCall: {call}}, time.Now())
		if err == nil && (meta.Service == "" || meta.Depth < 0) {
			t.Fatalf("call header %q is parsed as %+v", call, meta)
		}
		ParseLoad(load)
		d, err := ParseTimeout(timeout)
		if err == nil && (d <= 0 || d > MaxTimeout) {
			t.Fatalf("timeout %q is parsed as %s", timeout, d)
		}
		if err != nil && errkind.KindOf(err) != pb.ErrorKind_ERROR_KIND_BAD_DEADLINE {
			t.Fatalf("timeout %q gives an error of another kind than bad_deadline: %v", timeout, err)
		}
	})
}

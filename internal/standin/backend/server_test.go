package backend

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
	"github.com/egretfield/egretfield/internal/standin/wire"
)

func newServer(options Options) *Server {
	s, err := New(options)
	So(err, ShouldBeNil)
	return s
}

// call passes a request to the server's handler without a network. A handler that
// aborts gives the status 0.
func call(ctx context.Context, s *Server, op string, body io.Reader, headers ...string) (recorder *httptest.ResponseRecorder) {
	method := http.MethodGet
	if body != nil {
		method = http.MethodPost
	}
	request := httptest.NewRequestWithContext(ctx, method, "/x", body)
	request.Header.Set(wire.HeaderOp, op)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	recorder = httptest.NewRecorder()
	defer func() {
		if recover() == http.ErrAbortHandler {
			recorder.Code = 0
		}
	}()
	s.Handler().ServeHTTP(recorder, request)
	return recorder
}

func executed(s *Server) []string {
	ops := []string{}
	for _, execution := range s.journal.snapshot().GetExecutions() {
		ops = append(ops, execution.GetOperation())
	}
	return ops
}

func checkAnswer(recorder *httptest.ResponseRecorder, op string, size int64) {
	So(recorder.Code, ShouldEqual, http.StatusOK)
	So(recorder.Header().Get(wire.HeaderOp), ShouldEqual, op)
	length, err := wire.Check(recorder.Header(), recorder.Body, make([]byte, 100))
	So(err, ShouldBeNil)
	So(length, ShouldEqual, size)
}

func TestAnswers(t *testing.T) {
	Convey("Given a server", t, func() {
		ctx := t.Context()
		s := newServer(Options{Name: "s1"})
		Convey("its answers match their headers and its journal records the request ID", func() {
			checkAnswer(call(ctx, s, "op-1", nil, wire.HeaderRequestID, "r-1"), "op-1", defaultAnswerBytes)
			checkAnswer(call(ctx, s, "op-2", nil, wire.HeaderAnswerBytes, "100000"), "op-2", 100000)
			checkAnswer(call(ctx, s, "op-3", nil, wire.HeaderAnswerBytes, "0"), "op-3", 0)
			So(executed(s), ShouldResemble, []string{"op-1", "op-2", "op-3"})
			So(s.journal.snapshot().GetExecutions()[0].GetRequestId(), ShouldEqual, "r-1")
		})
		Convey("an upload is executed only if its body is complete and matches its hash", func() {
			header := http.Header{}
			wire.Body{Op: "op", Size: 70000}.SetHeaders(header)
			headers := []string{wire.HeaderLength, header.Get(wire.HeaderLength), wire.HeaderHash, header.Get(wire.HeaderHash)}
			checkAnswer(call(ctx, s, "whole", wire.Body{Op: "op", Size: 70000}.Reader(), headers...), "whole", defaultAnswerBytes)
			So(call(ctx, s, "cut", wire.Body{Op: "op", Size: 69999}.Reader(), headers...).Code, ShouldEqual, http.StatusBadRequest)
			So(call(ctx, s, "other", wire.Body{Op: "po", Size: 70000}.Reader(), headers...).Code, ShouldEqual, http.StatusBadRequest)
			broken := io.MultiReader(strings.NewReader("a"), brokenReader{})
			So(call(ctx, s, "broken", broken).Code, ShouldEqual, http.StatusBadRequest)
			So(executed(s), ShouldResemble, []string{"whole"})
		})
		Convey("a malformed timeout is rejected", func() {
			So(call(ctx, s, "op", nil, wire.HeaderTimeout, "soon").Code, ShouldEqual, http.StatusBadRequest)
			So(executed(s), ShouldBeEmpty)
		})
	})
}

// brokenReader fails as if its connection had broken.
type brokenReader struct{}

// Read implements io.Reader.
func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func TestSlots(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		Convey("One request runs, one waits, further ones are shed, and a caller that disconnects frees its slot", t, func() {
			s := newServer(Options{Slots: 1, Queue: 1, Mean: time.Second})
			ctx, disconnect := context.WithCancel(t.Context())
			codes := make(chan int, 2)
			go func() { codes <- call(ctx, s, "first", nil).Code }()
			synctest.Wait()
			go func() { codes <- call(t.Context(), s, "second", nil).Code }()
			synctest.Wait()
			shed := call(t.Context(), s, "third", nil)
			So(shed.Code, ShouldEqual, http.StatusServiceUnavailable)
			So(shed.Header().Get(wire.HeaderShed), ShouldEqual, "1")
			begin := time.Now()
			disconnect()
			So(<-codes, ShouldEqual, 0)
			So(<-codes, ShouldEqual, http.StatusOK)
			So(time.Since(begin), ShouldEqual, time.Second)
			So(executed(s), ShouldResemble, []string{"first", "second"})
			So(s.slots.inUse(), ShouldEqual, 0)
			So(s.Running(), ShouldEqual, 0)
		})
		Convey("A deadline ends a running request, and a waiting one without executing it", t, func() {
			s := newServer(Options{Slots: 1, Queue: 1, Mean: time.Second})
			go call(t.Context(), s, "first", nil)
			synctest.Wait()
			begin := time.Now()
			So(call(t.Context(), s, "waits", nil, wire.HeaderTimeout, "300").Code, ShouldEqual, http.StatusGatewayTimeout)
			So(time.Since(begin), ShouldEqual, 300*time.Millisecond)
			time.Sleep(time.Second)
			So(call(t.Context(), s, "runs", nil, wire.HeaderTimeout, "400").Code, ShouldEqual, http.StatusGatewayTimeout)
			So(executed(s), ShouldResemble, []string{"first", "runs"})
		})
	})
}

func TestServiceTimes(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		timeOf := func(s *Server, headers ...string) time.Duration {
			begin := time.Now()
			So(call(t.Context(), s, "op", nil, headers...).Code, ShouldEqual, http.StatusOK)
			return time.Since(begin)
		}
		Convey("A cold server is slow until it has warmed up, and the ramp can be restarted", t, func() {
			s := newServer(Options{Mean: 10 * time.Millisecond, ColdFor: 10 * time.Second, ColdFactor: 5})
			So(timeOf(s), ShouldEqual, 50*time.Millisecond)
			time.Sleep(5*time.Second - 50*time.Millisecond)
			So(timeOf(s), ShouldEqual, 30*time.Millisecond)
			time.Sleep(5 * time.Second)
			So(timeOf(s), ShouldEqual, 10*time.Millisecond)
			s.SetFaults(&pb.ServerFaults{Chill: true})
			So(timeOf(s), ShouldEqual, 50*time.Millisecond)
		})
		Convey("A cold server tells its health endpoint's callers how long it stays cold, if it reports that", t, func() {
			coldMs := func(s *Server) string {
				w := httptest.NewRecorder()
				s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/health", nil))
				return w.Header().Get(wire.HeaderColdTime)
			}
			s := newServer(Options{ColdFor: 3 * time.Second, ReportCold: true})
			So(coldMs(s), ShouldEqual, "3000")
			time.Sleep(time.Second + time.Microsecond)
			So(coldMs(s), ShouldEqual, "2000")
			time.Sleep(2 * time.Second)
			So(coldMs(s), ShouldEqual, "0")
			s.SetFaults(&pb.ServerFaults{Chill: true})
			So(coldMs(s), ShouldEqual, "3000")
			So(coldMs(newServer(Options{ColdFor: 3 * time.Second})), ShouldEqual, "")
		})
		Convey("Straggling, a changed mean and the delay from the caller's place apply to the service time", t, func() {
			s := newServer(Options{Mean: 10 * time.Millisecond, Links: map[string]time.Duration{"south": 20 * time.Millisecond, "dc-b": time.Millisecond}})
			So(timeOf(s, wire.HeaderPlace, "south"), ShouldEqual, 50*time.Millisecond)
			So(timeOf(s, wire.HeaderPlace, "south/dc-s"), ShouldEqual, 50*time.Millisecond)
			So(timeOf(s, wire.HeaderPlace, "north/dc-b"), ShouldEqual, 12*time.Millisecond)
			So(timeOf(s, wire.HeaderPlace, "north"), ShouldEqual, 10*time.Millisecond)
			s.SetFaults(&pb.ServerFaults{StraggleFactor: 10, MeanUs: 2000})
			So(timeOf(s), ShouldEqual, 20*time.Millisecond)
		})
		Convey("A link limits the bandwidth, which all requests from its place share", t, func() {
			const rate = 100_000
			s := newServer(Options{Mean: 10 * time.Millisecond, AnswerBytes: rate / 10, LinkRates: map[string]int64{"south": rate}})
			So(timeOf(s, wire.HeaderPlace, "north"), ShouldEqual, 10*time.Millisecond)
			So(timeOf(s, wire.HeaderPlace, "south"), ShouldEqual, 110*time.Millisecond)
			down := &s.linkFrom("south/dc-s").down
			first, second := down.reserve(rate), down.reserve(rate)
			So(time.Until(first), ShouldEqual, time.Second)
			So(time.Until(second), ShouldEqual, 2*time.Second)
		})
		Convey("Jitter stays within its limit and the tail takes longer by its factor", t, func() {
			s := newServer(Options{Mean: 10 * time.Millisecond, Jitter: 2 * time.Millisecond, TailPercent: 100, TailFactor: 3})
			for range 50 {
				So(timeOf(s), ShouldBeBetween, 23*time.Millisecond, 37*time.Millisecond)
			}
		})
	})
}

package memlog

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
)

const testStream = "s"

// conveyInVirtualTime runs a Convey scope in virtual time.
func conveyInVirtualTime(t *testing.T, name string, check func(ctx context.Context)) {
	virtualtime.Test(t, func(t *testing.T) {
		Convey(name, t, func() { check(t.Context()) })
	})
}

func mustAppend(ctx context.Context, log platformlog.Log, text string) int64 {
	offset, err := log.Append(ctx, testStream, []byte(text))
	So(err, ShouldBeNil)
	return offset
}

func texts(records []platformlog.Record) []string {
	found := []string{}
	for _, record := range records {
		found = append(found, string(record.Data))
	}
	return found
}

func TestRetention(t *testing.T) {
	conveyInVirtualTime(t, "Records expire by count and by age", func(ctx context.Context) {
		log := New(Options{KeepRecords: 2, KeepFor: time.Minute})
		for _, text := range []string{"a", "b", "c"} {
			mustAppend(ctx, log, text)
			time.Sleep(20 * time.Second)
		}
		_, err := log.Read(ctx, testStream, 1, 10, 0)
		So(err, ShouldWrap, platformlog.ErrTrimmed)
		records, err := log.Read(ctx, testStream, 2, 10, 0)
		So(err, ShouldBeNil)
		So(texts(records), ShouldResemble, []string{"b", "c"})
		time.Sleep(21 * time.Second)
		bounds, err := log.Bounds(ctx, testStream)
		So(err, ShouldBeNil)
		So(bounds, ShouldResemble, platformlog.Bounds{First: 3, Next: 4})
		time.Sleep(time.Hour)
		bounds, err = log.Bounds(ctx, testStream)
		So(err, ShouldBeNil)
		So(bounds, ShouldResemble, platformlog.Bounds{First: 4, Next: 4})
		So(mustAppend(ctx, log, "d"), ShouldEqual, 4)
	})
}

func TestLongPoll(t *testing.T) {
	conveyInVirtualTime(t, "A waiting read ends at an append, after its wait, or when the log goes down", func(ctx context.Context) {
		log := New(Options{})
		begin := time.Now()
		time.AfterFunc(3*time.Second, func() { _, _ = log.Append(ctx, testStream, []byte("a")) })
		records, err := log.Read(ctx, testStream, 1, 10, time.Minute)
		So(err, ShouldBeNil)
		So(texts(records), ShouldResemble, []string{"a"})
		So(time.Since(begin), ShouldEqual, 3*time.Second)

		records, err = log.Read(ctx, testStream, 2, 10, time.Minute)
		So(err, ShouldBeNil)
		So(records, ShouldBeEmpty)
		So(time.Since(begin), ShouldEqual, 63*time.Second)

		time.AfterFunc(time.Second, func() { log.SetFaults(&pb.LogFaults{Down: true}) })
		_, err = log.Read(ctx, testStream, 2, 10, time.Minute)
		So(err, ShouldWrap, platformlog.ErrUnavailable)
		So(time.Since(begin), ShouldEqual, 64*time.Second)
	})
}

func TestAppendFaults(t *testing.T) {
	conveyInVirtualTime(t, "Lost answers and duplicates affect as many appends as were set", func(ctx context.Context) {
		log := New(Options{})
		log.SetFaults(&pb.LogFaults{LoseAnswers: 1, Duplicate: 1})
		_, err := log.Append(ctx, testStream, []byte("a"))
		So(err, ShouldWrap, platformlog.ErrUnknownOutcome)
		So(mustAppend(ctx, log, "b"), ShouldEqual, 3)
		records, err := log.Read(ctx, testStream, 1, 10, 0)
		So(err, ShouldBeNil)
		So(texts(records), ShouldResemble, []string{"a", "a", "b"})
		So(log.Faults().GetLoseAnswers(), ShouldEqual, 0)
	})
	conveyInVirtualTime(t, "A slow append cancelled in its second half has an unknown outcome", func(ctx context.Context) {
		log := New(Options{})
		log.SetFaults(&pb.LogFaults{SlowMs: 1000})
		early, cancelEarly := context.WithTimeout(ctx, 400*time.Millisecond)
		defer cancelEarly()
		_, err := log.Append(early, testStream, []byte("a"))
		So(err, ShouldWrap, platformlog.ErrUnavailable)
		late, cancelLate := context.WithTimeout(ctx, 600*time.Millisecond)
		defer cancelLate()
		_, err = log.Append(late, testStream, []byte("b"))
		So(err, ShouldWrap, platformlog.ErrUnknownOutcome)
		log.SetFaults(&pb.LogFaults{})
		records, err := log.Read(ctx, testStream, 1, 10, 0)
		So(err, ShouldBeNil)
		So(texts(records), ShouldResemble, []string{"b"})
	})
}

func TestDownForSome(t *testing.T) {
	conveyInVirtualTime(t, "The log is down only for the clients and data centres listed", func(ctx context.Context) {
		log := New(Options{})
		log.SetFaults(&pb.LogFaults{DownFor: []string{"node-1", "dc-b"}})
		_, err := log.ForClient(Client{Name: "node-1", DataCentre: "dc-a"}).Bounds(ctx, testStream)
		So(err, ShouldWrap, platformlog.ErrUnavailable)
		_, err = log.ForClient(Client{Name: "node-2", DataCentre: "dc-b"}).Append(ctx, testStream, nil)
		So(err, ShouldWrap, platformlog.ErrUnavailable)
		So(mustAppend(ctx, log.ForClient(Client{Name: "node-2", DataCentre: "dc-a"}), "a"), ShouldEqual, 1)
		So(mustAppend(ctx, log, "b"), ShouldEqual, 2)
	})
}

func TestAppendRate(t *testing.T) {
	conveyInVirtualTime(t, "Appends wait for the rate limit, and are rejected if the wait would be too long", func(ctx context.Context) {
		log := New(Options{AppendsPerSecond: 10})
		begin := time.Now()
		for range 6 {
			mustAppend(ctx, log, "a")
		}
		So(time.Since(begin), ShouldEqual, 500*time.Millisecond)
		rejected := 0
		results := make(chan error)
		for range 20 {
			go func() {
				_, err := log.Append(ctx, testStream, []byte("b"))
				results <- err
			}()
		}
		for range 20 {
			if err := <-results; err != nil {
				So(err, ShouldWrap, platformlog.ErrUnavailable)
				rejected++
			}
		}
		So(rejected, ShouldEqual, 10)
		bounds, err := log.Bounds(ctx, testStream)
		So(err, ShouldBeNil)
		So(bounds.Next, ShouldEqual, 17)
	})
}

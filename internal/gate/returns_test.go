package gate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/metricdata"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
	"github.com/egretfield/egretfield/internal/wire"
)

// Guards against a gate that books a place for a question alone, that doesn't recognise a
// return, or that promises capacity although none is to be promised.
func TestPromisesToReturns(t *testing.T) {
	Convey("A full gate promises a time to a refused request, and the request goes first then", t, func() {
		var off, asked, booked, early, due, other *pb.Offer
		var admitted errkind.Kind
		var counts [2]uint64
		virtualtime.Test(t, func(*testing.T) {
			g := New(Options{Instance: "i", Incarnation: 1})
			g.SetServer(&Server{Service: "s", Address: "127.0.0.1:1", Slots: 2, Connections: 3})
			g.limiter.release(runResult{class: normal, route: "r", holdTime: 100 * time.Millisecond, slowdownFactor: 1, completed: true})
			acquire := func(fingerprint uint64) chan errkind.Kind {
				result := make(chan errkind.Kind, 1)
				call := &wire.Call{Meta: wire.Meta{Class: normal, Route: "r", Fingerprint: fingerprint, Deadline: time.Now().Add(1500 * time.Millisecond)}}
				go func() {
					_, kind := g.limiter.acquire(context.Background(), slotRequestOf(call))
					result <- kind
				}()
				synctest.Wait()
				return result
			}
			offer := func(fingerprint uint64, book bool) *pb.Offer {
				return g.Offer(context.Background(), &pb.OfferQuestion{
					Service: "s", Route: "r", Class: normal, TargetUs: 400_000, DeadlineUs: 1_500_000, Fingerprint: fingerprint, Book: book,
				})
			}
			for i := range uint64(10) {
				acquire(100 + i)
			}
			off = offer(1, true)
			g.SetPromisedPercent(25)
			asked = offer(1, false)
			counts[0] = g.limiter.placeCounts().Promised
			booked = offer(1, true)
			early = offer(1, false)
			time.Sleep(time.Duration(booked.GetReturnAfterUs()) * time.Microsecond)
			due, other = offer(1, false), offer(2, false)
			returned := acquire(1)
			g.limiter.release(runResult{class: normal})
			admitted = <-returned
			counts[1] = g.limiter.placeCounts().Kept
			time.Sleep(2 * time.Second) // the requests that still wait give up
		})
		So(off.GetRefused(), ShouldBeTrue)
		So(off.GetReturnAfterUs(), ShouldEqual, 0)
		So(asked.GetRefused(), ShouldBeTrue)
		So(counts[0], ShouldEqual, 0)
		So(booked.GetReturnAfterUs(), ShouldBeBetween, 49_000, 500_000)
		So(early.GetPromised(), ShouldBeFalse)
		So(due.GetPromised(), ShouldBeTrue)
		So(due.GetRefused(), ShouldBeFalse)
		So(other.GetRefused(), ShouldBeTrue)
		So(admitted, ShouldEqual, errkind.Kind(0))
		So(counts[1], ShouldEqual, 1)
	})
	Convey("A gate whose server names a rate or may be cold promises nothing", t, func() {
		l := newLimiter()
		l.setPromisedPercent(25)
		l.configure(2, false)
		l.release(runResult{holdTime: 100 * time.Millisecond, slowdownFactor: 1, completed: true})
		request := slotRequest{class: normal, fingerprint: 1, deadline: time.Now().Add(time.Second)}
		_, ok := l.book(request)
		So(ok, ShouldBeTrue)
		l.recordAnswer(time.Now(), &wire.ServerNotice{RatePerS: 10})
		_, ok = l.book(request)
		So(ok, ShouldBeFalse)
		l.resetRate(false)
		l.setColdBounds(testColdBounds)
		_, ok = l.book(request)
		So(ok, ShouldBeFalse)
	})
}

// Guards against promises that operators can't see.
func TestPromiseMetric(t *testing.T) {
	Convey("The metric of promises is absent without any, then has made, kept and missed ones", t, func() {
		reader := metric.NewManualReader()
		g := New(Options{Instance: "i", Incarnation: 1, Meter: metric.NewMeterProvider(metric.WithReader(reader)).Meter("t")})
		promises := func() map[string]int64 {
			counts := map[string]int64{}
			var all metricdata.ResourceMetrics
			So(reader.Collect(context.Background(), &all), ShouldBeNil)
			for _, m := range all.ScopeMetrics[0].Metrics {
				if m.Name == "egretfield.gate.promises" {
					for _, point := range m.Data.(metricdata.Sum[int64]).DataPoints {
						result, _ := point.Attributes.Value("result")
						counts[result.AsString()] = point.Value
					}
				}
			}
			return counts
		}
		So(promises(), ShouldBeEmpty)
		g.SetPromisedPercent(25)
		g.limiter.configure(2, false)
		g.limiter.release(runResult{holdTime: 100 * time.Millisecond, slowdownFactor: 1, completed: true})
		_, ok := g.limiter.book(slotRequest{class: normal, fingerprint: 1, deadline: time.Now().Add(time.Second)})
		So(ok, ShouldBeTrue)
		So(promises(), ShouldResemble, map[string]int64{"made": 1, "kept": 0, "missed": 0})
	})
}

package entry

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/wire"
)

// Bounds of the lines about requests, a second. Failures have their own, so that a
// flood of successes doesn't hide them.
const (
	successLines = 50
	failureLines = 200
)

// tracer writes a line for each request and counts those left out. Safe for
// concurrent use.
type tracer struct {
	log       *zap.Logger
	successes *rate.Limiter
	failures  *rate.Limiter
}

func newTracer(log *zap.Logger) tracer {
	return tracer{
		log:       log,
		successes: rate.NewLimiter(successLines, successLines),
		failures:  rate.NewLimiter(failureLines, failureLines),
	}
}

// tried is one attempt as it is shown in a line.
type tried struct {
	instance string
	region   string
	outcome  string
	took     time.Duration
	// offered is the offer that led there; nil: none.
	offered *balance.Offered
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (t tried) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddString("instance", t.instance)
	encoder.AddString("region", t.region)
	encoder.AddString("outcome", t.outcome)
	encoder.AddFloat64("ms", float64(t.took.Microseconds())/1000)
	if t.offered != nil {
		encoder.AddFloat64("offered_wait_ms", float64(t.offered.Wait.Microseconds())/1000)
		encoder.AddFloat64("offered_work_ms", float64(t.offered.Work.Microseconds())/1000)
		encoder.AddFloat64("offer_trip_ms", float64(t.offered.Trip.Microseconds())/1000)
	}
	return nil
}

// triedList are the attempts of a request.
type triedList []tried

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (l triedList) MarshalLogArray(encoder zapcore.ArrayEncoder) error {
	for _, one := range l {
		if err := encoder.AppendObject(one); err != nil {
			return err
		}
	}
	return nil
}

// noteAttempt keeps an attempt for the line of its request.
func (x *exchange) noteAttempt(endpoint *balance.Endpoint, answer *wire.Answer) {
	x.trace = append(x.trace, tried{
		instance: endpoint.Instance,
		region:   endpoint.Region,
		outcome:  outcomeName(answer),
		took:     x.open.Latency,
		offered:  x.offered,
	})
	x.offered = nil
}

// outcomeName is the error kind of an answer, or "answered".
func outcomeName(answer *wire.Answer) string {
	if answer.Kind == 0 {
		return "answered"
	}
	return errkind.Of(answer.Kind).Name
}

// traceRequest writes the line of a request.
func (x *exchange) traceRequest(answer *wire.Answer) {
	t := &x.handler.tracer
	limiter := t.failures
	if answer.Kind == 0 && answer.Status < 400 {
		limiter = t.successes
	}
	if !limiter.Allow() {
		x.handler.metrics.untraced.Add(1)
		return
	}
	fields := []zap.Field{
		zap.String("request", x.requestID),
		zap.String("outcome", outcomeName(answer)),
		zap.Int("status", answer.Status),
		zap.String("reason", answer.Message),
		zap.Array("attempts", triedList(x.trace)),
		zap.Duration("took", time.Since(x.begun)),
	}
	if x.service != nil {
		fields = append(fields, zap.String("service", x.service.name), zap.String("route", x.route.name),
			zap.Duration("left", time.Until(x.call.Deadline)))
	}
	t.log.Info("request", fields...)
}

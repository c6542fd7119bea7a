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

// Rate limits of the request log. Failures have a limit of their own so that many
// successful requests don't crowd them out.
const (
	maxSuccessLinesPerSecond = 50
	maxFailureLinesPerSecond = 200
)

// requestLogger writes a log line for each request within the rate limits. It is safe
// for concurrent use.
type requestLogger struct {
	log       *zap.Logger
	successes *rate.Limiter
	failures  *rate.Limiter
}

func newRequestLogger(log *zap.Logger) requestLogger {
	return requestLogger{
		log:       log,
		successes: rate.NewLimiter(maxSuccessLinesPerSecond, maxSuccessLinesPerSecond),
		failures:  rate.NewLimiter(maxFailureLinesPerSecond, maxFailureLinesPerSecond),
	}
}

// attemptRecord is one attempt as shown in the request's log line.
type attemptRecord struct {
	instance string
	region   string
	outcome  string
	latency  time.Duration
	// offer is the offer that selected the endpoint; nil if none did.
	offer *balance.EndpointOffer
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (a attemptRecord) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddString("instance", a.instance)
	encoder.AddString("region", a.region)
	encoder.AddString("outcome", a.outcome)
	encoder.AddFloat64("ms", float64(a.latency.Microseconds())/1000)
	if a.offer != nil {
		encoder.AddFloat64("offered_wait_ms", float64(a.offer.Wait.Microseconds())/1000)
		encoder.AddFloat64("offered_work_ms", float64(a.offer.ServiceTime.Microseconds())/1000)
		encoder.AddFloat64("offer_trip_ms", float64(a.offer.RoundTrip.Microseconds())/1000)
	}
	return nil
}

// attemptRecords is the list of a request's attempts.
type attemptRecords []attemptRecord

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (l attemptRecords) MarshalLogArray(encoder zapcore.ArrayEncoder) error {
	for _, attempt := range l {
		if err := encoder.AppendObject(attempt); err != nil {
			return err
		}
	}
	return nil
}

// recordAttempt records an attempt for the request's log line.
func (x *exchange) recordAttempt(endpoint *balance.Endpoint, answer *wire.Answer) {
	x.attemptLog = append(x.attemptLog, attemptRecord{
		instance: endpoint.Instance,
		region:   endpoint.Region,
		outcome:  outcomeName(answer),
		latency:  x.pending.Latency,
		offer:    x.offer,
	})
	x.offer = nil
}

// outcomeName returns the error kind's name, or "answered" if there is none.
func outcomeName(answer *wire.Answer) string {
	if answer.Kind == 0 {
		return "answered"
	}
	return errkind.Of(answer.Kind).Name
}

// logRequest writes the request's log line unless the rate limit is reached.
func (x *exchange) logRequest(answer *wire.Answer) {
	logger := &x.handler.requestLogger
	limiter := logger.failures
	if answer.Kind == 0 && answer.Status < 400 {
		limiter = logger.successes
	}
	if !limiter.Allow() {
		x.handler.metrics.droppedLogLines.Add(1)
		return
	}
	x.handler.recent.add(x, answer)
	fields := []zap.Field{
		zap.String("request", x.requestID),
		zap.String("outcome", outcomeName(answer)),
		zap.Int("status", answer.Status),
		zap.String("reason", answer.Message),
		zap.Array("attempts", attemptRecords(x.attemptLog)),
		zap.Duration("took", time.Since(x.startTime)),
	}
	if x.service != nil {
		fields = append(fields, zap.String("service", x.service.name), zap.String("route", x.route.name),
			zap.Duration("left", time.Until(x.call.Deadline)))
	}
	logger.log.Info("request", fields...)
}

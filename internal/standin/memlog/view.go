package memlog

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/egretfield/egretfield/internal/delay"
	"github.com/egretfield/egretfield/internal/platformlog"
)

// View performs operations on the log for one client. It is safe for concurrent use.
type View struct {
	log    *Log
	client Client
}

// Append implements platformlog.Log.
func (v *View) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if len(data) > platformlog.MaxRecordBytes {
		return 0, eris.Wrapf(platformlog.ErrUnavailable, "record of %d bytes is over the limit of %d", len(data), platformlog.MaxRecordBytes)
	}
	latency, _, err := v.log.admit(v.client)
	if err != nil {
		return 0, err
	}
	if err := v.log.waitRateLimit(ctx); err != nil {
		return 0, err
	}
	if !delay.Sleep(ctx, latency/2) {
		return 0, eris.Wrap(platformlog.ErrUnavailable, "cancelled before the append")
	}
	loseAnswer, duplicate := v.log.consumeAppendFaults()
	s := v.log.stream(stream)
	offset := s.append(data)
	if duplicate {
		s.append(data)
	}
	if !delay.Sleep(ctx, latency-latency/2) {
		return 0, eris.Wrap(platformlog.ErrUnknownOutcome, "cancelled before the answer")
	}
	if loseAnswer {
		return 0, eris.Wrap(platformlog.ErrUnknownOutcome, "answer lost")
	}
	return offset, nil
}

// Read implements platformlog.Log. A waiting read fails when the log goes down for
// the client.
func (v *View) Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) ([]platformlog.Record, error) {
	latency, _, err := v.log.admit(v.client)
	if err != nil {
		return nil, err
	}
	if !delay.Sleep(ctx, latency) {
		return nil, eris.Wrap(platformlog.ErrUnavailable, "cancelled")
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	s := v.log.stream(stream)
	for {
		_, faultsChanged, err := v.log.admit(v.client)
		if err != nil {
			return nil, err
		}
		records, appended, err := s.read(from, max)
		if err != nil || len(records) > 0 || wait <= 0 {
			return records, err
		}
		select {
		case <-appended:
		case <-faultsChanged:
		case <-timeout.C:
			return nil, nil
		case <-ctx.Done():
			return nil, eris.Wrap(platformlog.ErrUnavailable, "cancelled")
		}
	}
}

// Bounds implements platformlog.Log.
func (v *View) Bounds(ctx context.Context, stream string) (platformlog.Bounds, error) {
	latency, _, err := v.log.admit(v.client)
	if err != nil {
		return platformlog.Bounds{}, err
	}
	if !delay.Sleep(ctx, latency) {
		return platformlog.Bounds{}, eris.Wrap(platformlog.ErrUnavailable, "cancelled")
	}
	return v.log.stream(stream).bounds(), nil
}

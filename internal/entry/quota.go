package entry

import (
	"context"
	"time"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

// Quota enforces the usage caps of organisations.
type Quota interface {
	// Begin starts to acquire the token of a request. It returns nil if the organisation
	// has no cap.
	Begin(organisation string) QuotaClaim
}

// QuotaClaim is the token of one request, or the wait for it.
type QuotaClaim interface {
	// Refused reports, without waiting, whether the request is refused already.
	Refused() (retryAfter time.Duration, refused bool)
	// Wait returns once the request may be sent, or is refused.
	Wait(ctx context.Context, deadline time.Time) (retryAfter time.Duration, ok bool)
	// Return gives the token up because the request wasn't sent to a backend server.
	Return()
}

// quotaState is the state of a request's token.
type quotaState struct {
	// claim is nil if no token is needed.
	claim QuotaClaim
	// held reports whether the request has its token.
	held bool
	// used reports whether an attempt may have reached a backend server.
	used bool
}

// runWithinQuota makes attempts like runAttempts, if the organisation's usage cap
// allows. The token is acquired while gates are asked for offers.
func (x *exchange) runWithinQuota(ctx context.Context) *wire.Answer {
	if x.handler.options.Quota == nil {
		return x.runAttempts(ctx)
	}
	x.quota.claim = x.handler.options.Quota.Begin(x.call.Organisation)
	if x.quota.claim == nil {
		return x.runAttempts(ctx)
	}
	defer func() {
		if !x.quota.used {
			x.quota.claim.Return()
		}
	}()
	if retryAfter, refused := x.quota.claim.Refused(); refused {
		return overQuota(retryAfter)
	}
	return x.runAttempts(ctx)
}

// awaitQuota waits for the request's token before its first attempt. It returns a
// refusal if there is none.
func (x *exchange) awaitQuota(ctx context.Context) *wire.Answer {
	if x.quota.claim == nil || x.quota.held {
		return nil
	}
	retryAfter, ok := x.quota.claim.Wait(ctx, x.call.Deadline)
	switch {
	case ok:
		x.quota.held = true
		return nil
	case ctx.Err() != nil || !time.Now().Before(x.call.Deadline):
		return wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_DEADLINE_BEFORE_RUN, "the request ended before it was sent")
	}
	return overQuota(retryAfter)
}

// overQuota returns the refusal of a request beyond its organisation's cap.
func overQuota(retryAfter time.Duration) *wire.Answer {
	refusal := wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_OVER_QUOTA, "the organisation has reached its usage cap")
	refusal.RetryAfter = max(retryAfter, time.Millisecond)
	return refusal
}

// noteQuotaUse records whether an attempt may have reached a backend server, so that the
// token is spent.
func (x *exchange) noteQuotaUse(answer *wire.Answer) {
	x.quota.used = x.quota.used || answer.ReachedServer || mayHaveRun(answer)
}

package entry

import (
	"context"
	"slices"
	"time"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/delay"
	"github.com/egretfield/egretfield/internal/gate"
	"github.com/egretfield/egretfield/internal/hedge"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

const (
	// firstWithdrawalCheck is the time after which other gates are asked for a request that
	// waits. The time to the next check doubles each time.
	firstWithdrawalCheck = 50 * time.Millisecond
	// maxWithdrawalChecks limits the checks for one attempt, the last after 0.75 s. Each
	// costs questions to maxWithdrawalGates gates.
	maxWithdrawalChecks = 4
	maxWithdrawalGates  = 2
	// maxWithdrawals limits how often a request is placed anew.
	maxWithdrawals = 3
)

// waitWatch looks for another gate while an attempt may wait in the queue of its gate.
type waitWatch struct {
	cancel context.CancelFunc
	done   chan struct{}
	// instance is that of the gate at which the attempt waits.
	instance string
	// found is the offer of the gate that the request goes to after its withdrawal; nil if it
	// wasn't withdrawn. It is valid once done is closed.
	found *balance.EndpointOffer
}

// watchWait watches the attempt about to be sent if its gate didn't offer to start it at
// once. It returns nil if the attempt isn't to be withdrawn. Until stop returns, the exchange
// must not change.
func (x *exchange) watchWait(ctx context.Context, endpoint *balance.Endpoint, attempt wire.AttemptID) *waitWatch {
	placer := x.balancer.Placer()
	if !x.service.withdrawsWaiting || x.offer == nil || x.offer.AtOnce || x.withdrawals >= maxWithdrawals ||
		x.call.Streams() || placer == nil || x.handler.options.ControlClient == nil {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	w := &waitWatch{cancel: cancel, done: make(chan struct{}), instance: endpoint.Instance}
	go func() {
		defer close(w.done)
		w.found = x.withdrawWaiting(ctx, placer, endpoint, attempt)
	}()
	return w
}

// stop ends the watch. It reports whether the attempt was withdrawn.
func (w *waitWatch) stop() bool {
	if w == nil {
		return false
	}
	w.cancel()
	<-w.done
	return w.found != nil
}

// withdrawWaiting withdraws the attempt when another gate of the own region would start it at
// once, and returns that gate's offer. It returns nil if the attempt has started.
func (x *exchange) withdrawWaiting(ctx context.Context, placer balance.Placer, endpoint *balance.Endpoint, attempt wire.AttemptID) *balance.EndpointOffer {
	for check := range maxWithdrawalChecks {
		if !delay.Sleep(ctx, firstWithdrawalCheck<<check) {
			return nil
		}
		offers := x.askExtra(ctx, placer.Local(x.pickInfo(), maxWithdrawalGates))
		chosen := hedge.Choose(offers, x.handler.options.Region, endpoint.Instance, time.Until(x.call.Deadline))
		if chosen == nil {
			continue
		}
		query, reply := &pb.AttemptQuery{AttemptId: attempt.String()}, &pb.AttemptReply{}
		err := x.handler.options.ControlClient.Call(ctx, endpoint.ControlAddress, gate.MethodWithdraw, query, reply)
		if err != nil && ctx.Err() != nil {
			// The answer to the attempt came first. If it says that the request wasn't run, it may
			// be that of the withdrawal.
			return chosen
		}
		if err != nil || reply.State != pb.AttemptState_ATTEMPT_STATE_NOT_RUN {
			return nil // it has started, or its node doesn't reply or has an older build
		}
		return chosen
	}
	return nil
}

// noteWithdrawal continues after the answer to an attempt that was withdrawn. The attempt
// cost no work, so it doesn't count as one.
func (x *exchange) noteWithdrawal(w *waitWatch, answer *wire.Answer) {
	if !w.stop() || !isRetryableRefusal(answer) {
		return
	}
	x.attempts--
	// The gate hasn't refused the request, which may come back to it.
	x.tried = slices.DeleteFunc(x.tried, func(instance string) bool { return instance == w.instance })
	x.withdrawals++
	x.withdrawnTo = w.found
	x.pending.Outcome = balance.OutcomeCancelled
	x.handler.metrics.withdrawals.Add(1)
}

// takeWithdrawnTo takes the endpoint to which the request was withdrawn, or returns nil.
func (x *exchange) takeWithdrawnTo(placer balance.Placer, info balance.PickInfo) *balance.Endpoint {
	offer := x.withdrawnTo
	x.withdrawnTo = nil
	if offer == nil {
		return nil
	}
	endpoint, err := placer.Take(offer.Endpoint, info)
	if err != nil {
		return nil // it was removed in the meantime, or its region is no longer allowed
	}
	x.offer, x.placedByOffer = offer, true
	return endpoint
}

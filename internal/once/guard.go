package once

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/egretfield/egretfield/internal/delay"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/once/keeper"
	"github.com/egretfield/egretfield/internal/once/shard"
	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// callTimeout bounds a call to a keeper, in addition to the wait that the
	// call asks for.
	callTimeout = time.Second
	// Begin gives up after maxUnansweredCalls consecutive calls without an
	// answer, but not before minGiveUpTime: by then, a keeper that has just
	// left is replaced in the member view.
	maxUnansweredCalls = 2
	minGiveUpTime      = 400 * time.Millisecond
	// beginTimeout bounds Begin when its context has no deadline.
	beginTimeout = 10 * time.Second
	// finishTimeout bounds Finish when its context has no deadline.
	finishTimeout = 10 * time.Second
	// maxPollWait is the longest wait that one call asks of a keeper.
	maxPollWait = 2 * time.Second
	// maxWaiting bounds the calls of a node that wait at keepers for running
	// operations.
	maxWaiting       = 16
	askAgainInterval = 200 * time.Millisecond
	// searchTimeout bounds the search for the keeper of a timestamp: the time
	// to fence and replace an absent one. The search takes at most searchShare
	// of the request's remaining time.
	searchTimeout  = 4 * time.Second
	searchShare    = 0.8
	searchInterval = 50 * time.Millisecond
	// holdGrace is the time past the request's deadline after which an
	// unfinished grant counts as unknown.
	holdGrace = 5 * time.Second
	// certifyTimeout bounds the log read needed to certify that a key was not
	// run.
	certifyTimeout = time.Second
	// cancelAttempts and cancelInterval bound the attempts to cancel an
	// unanswered Begin.
	cancelAttempts = 3
	cancelInterval = time.Second
	// maxCancelling bounds the Begin calls being cancelled at the same time.
	maxCancelling = 1024
)

// Begin implements Guard.
func (m *Manager) Begin(ctx context.Context, key Key, fingerprint uint64) (Decision, error) {
	parsed, err := key.parse()
	if err != nil {
		m.metrics.refused(pb.ErrorKind_ERROR_KIND_KEY_INVALID)
		return Decision{}, errkind.Wrap(pb.ErrorKind_ERROR_KIND_KEY_INVALID, err, "key %.40q", key.Value)
	}
	ctx, cancel := withDefaultTimeout(ctx, beginTimeout)
	defer cancel()
	c := newBeginCall(m, parsed, key.FirstSend, fingerprint)
	c.setSearchEnd(ctx)
	decision, err := c.run(ctx)
	if err != nil {
		err = c.onRefused(err)
		m.metrics.refused(errkind.KindOf(err))
		return Decision{}, err
	}
	if decision.Verdict == VerdictReplay {
		m.metrics.begun("replay")
	} else {
		m.metrics.begun("granted")
	}
	return decision, nil
}

func withDefaultTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, timeout)
}

// beginCall is one call of Begin on the node that received the request.
type beginCall struct {
	m           *Manager
	key         shard.Key
	firstSend   bool
	fingerprint uint64
	grant       uuid.UUID
	// unanswered counts the calls to keepers without an answer. Each may have
	// made a grant.
	unanswered int
	// unansweredInRow counts those since the last answer.
	unansweredInRow int
	// running is set once a keeper has answered that the operation is running.
	running   bool
	movedTo   string
	startedAt time.Time
	// searchEnd is the time at which the search for a keeper ends.
	searchEnd time.Time
}

func newBeginCall(m *Manager, key shard.Key, firstSend bool, fingerprint uint64) *beginCall {
	return &beginCall{
		m:           m,
		key:         key,
		firstSend:   firstSend,
		fingerprint: fingerprint,
		grant:       uuid.New(),
		startedAt:   time.Now(),
	}
}

// setSearchEnd leaves part of the request's time for running it.
func (c *beginCall) setSearchEnd(ctx context.Context) {
	deadline, _ := ctx.Deadline()
	share := time.Duration(float64(deadline.Sub(c.startedAt)) * searchShare)
	c.searchEnd = c.startedAt.Add(min(searchTimeout, share))
}

// message returns a new message for each call, as a call that timed out may
// still be sending its own.
func (c *beginCall) message(wait, hold time.Duration) *pb.KeyBegin {
	return &pb.KeyBegin{
		Service:      c.key.Service,
		Key:          c.key.ID[:],
		Fingerprint:  c.fingerprint,
		Grant:        c.grant[:],
		WaitMs:       uint32(wait.Milliseconds()),
		HoldMs:       uint32(hold.Milliseconds()),
		Organisation: c.key.Scope.Field(),
	}
}

func (c *beginCall) run(ctx context.Context) (Decision, error) {
	for {
		if ctx.Err() != nil {
			return c.giveUp("the deadline passed while asking the key's keeper")
		}
		to, ok := c.m.route(c.key, c.movedTo)
		if !ok {
			if err := c.awaitKeeper(ctx); err != nil {
				return Decision{}, err
			}
			continue
		}
		reply, err := c.call(ctx, to)
		if err != nil {
			c.unanswered++
			c.unansweredInRow++
			c.movedTo = ""
			if c.unansweredInRow >= maxUnansweredCalls && time.Since(c.startedAt) >= minGiveUpTime && !c.mayBeReplaced() {
				return c.giveUp("the key's keeper doesn't answer")
			}
			delay.Sleep(ctx, searchInterval)
			continue
		}
		c.unansweredInRow = 0
		decision, err, done := c.handleReply(ctx, reply)
		if done {
			return decision, err
		}
	}
}

// handleReply turns a keeper's reply into the result of Begin. The last result
// is false if a further call is needed.
func (c *beginCall) handleReply(ctx context.Context, reply *pb.KeyBeginReply) (Decision, error, bool) {
	switch reply.Verdict {
	case pb.KeyVerdict_KEY_VERDICT_GRANTED:
		return Decision{Verdict: VerdictGranted, Grant: c.grant.String()}, nil, true
	case pb.KeyVerdict_KEY_VERDICT_REPLAY:
		if shard.ScopeOf(reply.Answer.Organisation) != c.key.Scope {
			// A keeper of an older build doesn't tell organisations apart.
			return Decision{}, errkind.New(pb.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, "the key's stored answer isn't known to belong to the caller's organisation"), true
		}
		return Decision{Verdict: VerdictReplay, Answer: reply.Answer}, nil, true
	case pb.KeyVerdict_KEY_VERDICT_MOVED:
		if time.Now().After(c.searchEnd) {
			decision, err := c.giveUp("the key's keeper has handed the key to an unreachable instance")
			return decision, err, true
		}
		c.movedTo = reply.MovedTo
		delay.Sleep(ctx, searchInterval)
		return Decision{}, nil, false
	case pb.KeyVerdict_KEY_VERDICT_REFUSED:
		if reply.Kind == pb.ErrorKind_ERROR_KIND_KEY_IN_PROGRESS && c.remaining(ctx) > 0 {
			c.running = true
			return Decision{}, nil, false
		}
		if reply.Kind == pb.ErrorKind_ERROR_KIND_KEY_REUSED && c.key.Scope.Known && !reply.Scopes {
			// The other request may be of another organisation, and this one may have run.
			return Decision{}, errkind.New(pb.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, "the key was used with another request, maybe of another organisation"), true
		}
		return Decision{}, errkind.New(reply.Kind, "%s", reply.Message), true
	default:
		c.movedTo = ""
		err := c.awaitKeeper(ctx)
		return Decision{}, err, err != nil
	}
}

// remaining is the time left to wait for a running operation, in whole
// milliseconds as sent in calls.
func (c *beginCall) remaining(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return max(0, time.Until(deadline)-searchInterval).Truncate(time.Millisecond)
}

func (c *beginCall) call(ctx context.Context, to target) (*pb.KeyBeginReply, error) {
	remaining := c.remaining(ctx)
	wait, done := c.keeperWait(ctx)
	defer done()
	args := c.message(wait, remaining+holdGrace)
	reply := &pb.KeyBeginReply{}
	if to.self {
		c.m.begin(ctx, args, reply)
		return reply, nil
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	err := c.m.opts.ControlClient.Call(callCtx, to.address, methodBegin, args, reply)
	return reply, err
}

// keeperWait returns the wait to ask of the keeper, and a function to call
// after the call. Only a call known to wait for a running operation waits at
// the keeper, and only a limited number at a time, as each occupies a call of
// the connection. The others pause here and ask again.
func (c *beginCall) keeperWait(ctx context.Context) (time.Duration, func()) {
	if !c.running || c.unansweredInRow > 0 {
		return 0, func() {}
	}
	if c.m.waiting.Add(1) > maxWaiting {
		c.m.waiting.Add(-1)
		delay.Sleep(ctx, min(askAgainInterval, c.remaining(ctx)))
		return 0, func() {}
	}
	return min(c.remaining(ctx), maxPollWait), func() { c.m.waiting.Add(-1) }
}

// awaitKeeper pauses before the next attempt to find a keeper of the timestamp.
// It returns an error when none can be expected: certified as not run if the
// log shows that no interval ever contained the timestamp.
func (c *beginCall) awaitKeeper(ctx context.Context) error {
	if time.Now().Before(c.searchEnd) && c.mayFindKeeper() {
		delay.Sleep(ctx, searchInterval)
		return nil
	}
	if c.unanswered == 0 && c.m.certifyUnheld(ctx, c.key) {
		return errkind.New(pb.ErrorKind_ERROR_KIND_KEEPER_UNAVAILABLE, "no keeper's lease covers the key's creation time")
	}
	_, err := c.giveUp("no keeper of the key is known")
	return err
}

// mayFindKeeper reports whether a keeper's interval may soon contain the
// timestamp.
func (c *beginCall) mayFindKeeper() bool {
	horizon := time.Now().Add(minLeasePeriods * c.m.lease())
	if c.m.replica.isLogDown() || c.key.Timestamp() > shard.Timestamp(horizon.UnixMilli()) {
		return false
	}
	lost := false
	c.m.replica.view(func(state *shard.State) { lost = state.IsLost(c.key.Shard(), c.key.Timestamp()) })
	return !lost
}

// mayBeReplaced reports whether a keeper that doesn't answer may soon be
// fenced, so that another one takes over the timestamp.
func (c *beginCall) mayBeReplaced() bool {
	if time.Now().After(c.searchEnd) || c.m.replica.mayLogBeDown() {
		return false
	}
	id, timestamp := c.key.Shard(), c.key.Timestamp()
	possible := false
	c.m.replica.view(func(state *shard.State) {
		owner := state.Current(id).Owner
		possible = !state.IsLost(id, timestamp) && (owner == 0 || state.Witnessing(owner).Witness != 0)
	})
	return possible
}

// giveUp ends the call without a keeper's answer. This call sent nothing past a
// gate; whether an earlier send ran is known to the caller only.
func (c *beginCall) giveUp(reason string) (Decision, error) {
	if c.firstSend {
		return Decision{}, errkind.New(pb.ErrorKind_ERROR_KIND_KEEPER_UNAVAILABLE, "%s", reason)
	}
	return Decision{}, errkind.New(pb.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, "%s", reason)
}

// onRefused cleans up after a refusal: it cancels a grant that may have been
// made without an answer, and certifies a first send as not run when the keeper
// refuses its key as too old.
func (c *beginCall) onRefused(err error) error {
	if c.unanswered > 0 {
		c.m.cancelLater(c.key, keeper.GrantID(c.grant))
	}
	if c.firstSend && errkind.KindOf(err) == pb.ErrorKind_ERROR_KIND_KEY_TOO_OLD {
		return errkind.Wrap(pb.ErrorKind_ERROR_KIND_KEEPER_UNAVAILABLE, err, "first send of the key, certainly not run")
	}
	return err
}

// certifyUnheld reads the log and reports whether no session can have granted
// the key.
func (m *Manager) certifyUnheld(ctx context.Context, key shard.Key) bool {
	ctx, cancel := context.WithTimeout(ctx, certifyTimeout)
	defer cancel()
	if m.replica.barrier(ctx) != nil {
		return false
	}
	unheld := false
	m.replica.view(func(state *shard.State) {
		unheld = key.Timestamp() >= state.Current(key.Shard()).End
	})
	return unheld
}

// cancelLater cancels the grant of an abandoned Begin, so that the keeper
// doesn't hold the key for it.
func (m *Manager) cancelLater(key shard.Key, grant keeper.GrantID) {
	ctx := m.context()
	if ctx == nil || m.cancelling.Add(1) > maxCancelling {
		m.cancelling.Add(-1)
		return
	}
	m.background.Go(func() {
		defer m.cancelling.Add(-1)
		for range cancelAttempts {
			delay.Sleep(ctx, cancelInterval)
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			err := m.reportOutcome(callCtx, key, grant, Outcome{State: pb.RunState_RUN_STATE_NO})
			cancel()
			if err == nil {
				return
			}
		}
	})
}

// NewKey returns a key for a new operation whose keeper is in this node's
// region if there is one. Its first send then needs no call to another region.
func (m *Manager) NewKey(service string) (string, error) {
	const tries = 64
	p := m.placement.Load()
	for try := 0; ; try++ {
		id, err := uuid.NewV7()
		if err != nil {
			return "", errkind.Wrap(pb.ErrorKind_ERROR_KIND_INTERNAL, err, "cannot read random numbers")
		}
		key := shard.Key{Service: service, ID: id}
		first, ok := p.first(key.Shard())
		if try == tries || (ok && first.Region == m.self.Region) {
			return id.String(), nil
		}
	}
}

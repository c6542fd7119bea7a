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
	// callTimeout bounds a call to a keeper past the wait asked of it.
	callTimeout = time.Second
	// Begin gives up after maxLostCalls calls without an answer, but not before
	// lostCallTime: a keeper that just left is replaced in the view by then.
	maxLostCalls = 2
	lostCallTime = 400 * time.Millisecond
	// beginTimeout bounds Begin when its context has no deadline.
	beginTimeout = 10 * time.Second
	// finishTimeout bounds Finish when its context has no deadline.
	finishTimeout = 10 * time.Second
	// pollWait is the longest wait asked of a keeper in one call.
	pollWait = 2 * time.Second
	// maxWaiting bounds the calls of a node that wait at keepers.
	maxWaiting    = 16
	askAgainPause = 200 * time.Millisecond
	// searchTimeout bounds the search for the keeper of a label: the time to
	// fence and replace one that is gone. It takes at most searchShare of the
	// time left to the request.
	searchTimeout = 4 * time.Second
	searchShare   = 0.8
	searchPause   = 50 * time.Millisecond
	// holdGrace is the time past the request's deadline after which an
	// unfinished grant counts as unknown.
	holdGrace = 5 * time.Second
	// certifyTimeout bounds the question to the log behind a certificate.
	certifyTimeout = time.Second
	// cancelTries and cancelPause bound the cancelling of a lost Begin.
	cancelTries = 3
	cancelPause = time.Second
	// maxCancelling bounds the Begins being cancelled at a time.
	maxCancelling = 1024
)

// Begin implements Guard.
func (m *Manager) Begin(ctx context.Context, key Key, fingerprint uint64) (Decision, error) {
	parsed, err := shard.ParseKey(key.Service, key.Value)
	if err != nil {
		m.metrics.refused(pb.ErrorKind_ERROR_KIND_KEY_INVALID)
		return Decision{}, errkind.Wrap(pb.ErrorKind_ERROR_KIND_KEY_INVALID, err, "key %.40q", key.Value)
	}
	ctx, cancel := withDefaultTimeout(ctx, beginTimeout)
	defer cancel()
	q := newQuestion(m, parsed, key.FirstSend, fingerprint)
	q.limitSearch(ctx)
	decision, err := q.ask(ctx)
	if err != nil {
		err = q.refusal(err)
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

// question is one Begin at the node that took the request.
type question struct {
	m         *Manager
	key       shard.Key
	firstSend bool
	// fingerprint identifies the request.
	fingerprint uint64
	grant       uuid.UUID
	// lost counts the calls without an answer; a grant may stand behind each.
	lost int
	// silent counts those since the last answer.
	silent int
	// running is set once a keeper said that the operation is running.
	running bool
	movedTo string
	began   time.Time
	// searchEnd is when the search for a keeper ends.
	searchEnd time.Time
}

func newQuestion(m *Manager, key shard.Key, firstSend bool, fingerprint uint64) *question {
	return &question{
		m:           m,
		key:         key,
		firstSend:   firstSend,
		fingerprint: fingerprint,
		grant:       uuid.New(),
		began:       time.Now(),
	}
}

// limitSearch leaves part of the request's time for its run.
func (q *question) limitSearch(ctx context.Context) {
	deadline, _ := ctx.Deadline()
	share := time.Duration(float64(deadline.Sub(q.began)) * searchShare)
	q.searchEnd = q.began.Add(min(searchTimeout, share))
}

// message returns a new message for each call: one whose call timed out may
// still be on its way.
func (q *question) message(wait, hold time.Duration) *pb.KeyBegin {
	return &pb.KeyBegin{
		Service:     q.key.Service,
		Key:         q.key.ID[:],
		Fingerprint: q.fingerprint,
		Grant:       q.grant[:],
		WaitMs:      uint32(wait.Milliseconds()),
		HoldMs:      uint32(hold.Milliseconds()),
	}
}

func (q *question) ask(ctx context.Context) (Decision, error) {
	for {
		if ctx.Err() != nil {
			return q.giveUp("the deadline passed while asking the key's keeper")
		}
		to, ok := q.m.route(q.key, q.movedTo)
		if !ok {
			if err := q.search(ctx); err != nil {
				return Decision{}, err
			}
			continue
		}
		reply, err := q.call(ctx, to)
		if err != nil {
			q.lost++
			q.silent++
			q.movedTo = ""
			if q.silent >= maxLostCalls && time.Since(q.began) >= lostCallTime && !q.mayBeReplaced() {
				return q.giveUp("the key's keeper doesn't answer")
			}
			delay.Sleep(ctx, searchPause)
			continue
		}
		q.silent = 0
		decision, err, done := q.judge(ctx, reply)
		if done {
			return decision, err
		}
	}
}

// judge turns a keeper's reply into the result of Begin, unless there is more
// to ask.
func (q *question) judge(ctx context.Context, reply *pb.KeyBeginReply) (Decision, error, bool) {
	switch reply.Verdict {
	case pb.KeyVerdict_KEY_VERDICT_GRANTED:
		return Decision{Verdict: VerdictGranted, Grant: q.grant.String()}, nil, true
	case pb.KeyVerdict_KEY_VERDICT_REPLAY:
		return Decision{Verdict: VerdictReplay, Answer: reply.Answer}, nil, true
	case pb.KeyVerdict_KEY_VERDICT_MOVED:
		if time.Now().After(q.searchEnd) {
			decision, err := q.giveUp("the key's keeper has handed it to an instance out of reach")
			return decision, err, true
		}
		q.movedTo = reply.MovedTo
		delay.Sleep(ctx, searchPause)
		return Decision{}, nil, false
	case pb.KeyVerdict_KEY_VERDICT_REFUSED:
		if reply.Kind == pb.ErrorKind_ERROR_KIND_KEY_IN_PROGRESS && q.remaining(ctx) > 0 {
			q.running = true
			return Decision{}, nil, false
		}
		return Decision{}, errkind.New(reply.Kind, "%s", reply.Message), true
	default:
		q.movedTo = ""
		err := q.search(ctx)
		return Decision{}, err, err != nil
	}
}

// remaining is the time left to wait for a running operation, in whole
// milliseconds as calls carry it.
func (q *question) remaining(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return max(0, time.Until(deadline)-searchPause).Truncate(time.Millisecond)
}

func (q *question) call(ctx context.Context, to target) (*pb.KeyBeginReply, error) {
	remaining := q.remaining(ctx)
	wait, done := q.waitAtKeeper(ctx)
	defer done()
	args := q.message(wait, remaining+holdGrace)
	reply := &pb.KeyBeginReply{}
	if to.self {
		q.m.begin(ctx, args, reply)
		return reply, nil
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	err := q.m.opts.Client.Call(callCtx, to.address, methodBegin, args, reply)
	return reply, err
}

// waitAtKeeper returns the wait to ask of the keeper, and a function to call
// after the call. Only a question known to wait for a running operation waits
// there, and only some at a time: each holds a call of the connection. The
// others pause here and ask again.
func (q *question) waitAtKeeper(ctx context.Context) (time.Duration, func()) {
	if !q.running || q.silent > 0 {
		return 0, func() {}
	}
	if q.m.waiting.Add(1) > maxWaiting {
		q.m.waiting.Add(-1)
		delay.Sleep(ctx, min(askAgainPause, q.remaining(ctx)))
		return 0, func() {}
	}
	return min(q.remaining(ctx), pollWait), func() { q.m.waiting.Add(-1) }
}

// search waits a little for a keeper of the label to show up. It returns an
// error when there is no more hope: certified as not run if the log shows that
// no interval ever held the label.
func (q *question) search(ctx context.Context) error {
	if time.Now().Before(q.searchEnd) && q.mayShowUp() {
		delay.Sleep(ctx, searchPause)
		return nil
	}
	if q.lost == 0 && q.m.certifyUnheld(ctx, q.key) {
		return errkind.New(pb.ErrorKind_ERROR_KIND_KEEPER_UNAVAILABLE, "no keeper's lease reaches the key's birth time")
	}
	_, err := q.giveUp("no keeper of the key is known")
	return err
}

// mayShowUp reports whether a keeper's interval may soon hold the label.
func (q *question) mayShowUp() bool {
	horizon := time.Now().Add(minLeasePeriods * q.m.lease())
	if q.m.ledger.isLogDown() || q.key.Timestamp() > shard.Timestamp(horizon.UnixMilli()) {
		return false
	}
	lost := false
	q.m.ledger.view(func(state *shard.State) { lost = state.IsLost(q.key.Shard(), q.key.Timestamp()) })
	return !lost
}

// mayBeReplaced reports whether a keeper that doesn't answer may soon be
// fenced, and the label fall to another one.
func (q *question) mayBeReplaced() bool {
	if time.Now().After(q.searchEnd) || q.m.ledger.isSilent() {
		return false
	}
	id, timestamp := q.key.Shard(), q.key.Timestamp()
	hope := false
	q.m.ledger.view(func(state *shard.State) {
		owner := state.Current(id).Owner
		hope = !state.IsLost(id, timestamp) && (owner == 0 || state.Witnessing(owner).Witness != 0)
	})
	return hope
}

// giveUp ends the question without a keeper's word. Nothing was sent past a
// gate by this call; whether an earlier send ran is known to the caller only.
func (q *question) giveUp(why string) (Decision, error) {
	if q.firstSend {
		return Decision{}, errkind.New(pb.ErrorKind_ERROR_KIND_KEEPER_UNAVAILABLE, "%s", why)
	}
	return Decision{}, errkind.New(pb.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, "%s", why)
}

// refusal settles what may stand behind a refused question: a grant that
// nobody holds, and a first send that the keeper can't place.
func (q *question) refusal(err error) error {
	if q.lost > 0 {
		q.m.cancelLater(q.key, keeper.GrantID(q.grant))
	}
	if q.firstSend && errkind.KindOf(err) == pb.ErrorKind_ERROR_KIND_KEY_TOO_OLD {
		return errkind.Wrap(pb.ErrorKind_ERROR_KIND_KEEPER_UNAVAILABLE, err, "first send")
	}
	return err
}

// certifyUnheld asks the log whether any session could have granted the key,
// and reports true if surely none could.
func (m *Manager) certifyUnheld(ctx context.Context, key shard.Key) bool {
	ctx, cancel := context.WithTimeout(ctx, certifyTimeout)
	defer cancel()
	if m.ledger.barrier(ctx) != nil {
		return false
	}
	unheld := false
	m.ledger.view(func(state *shard.State) {
		unheld = key.Timestamp() >= state.Current(key.Shard()).End
	})
	return unheld
}

// cancelLater keeps the keeper from holding the key for a Begin that nobody
// waits for.
func (m *Manager) cancelLater(key shard.Key, grant keeper.GrantID) {
	ctx := m.context()
	if ctx == nil || m.cancelling.Add(1) > maxCancelling {
		m.cancelling.Add(-1)
		return
	}
	m.background.Go(func() {
		defer m.cancelling.Add(-1)
		for range cancelTries {
			delay.Sleep(ctx, cancelPause)
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			err := m.tellOutcome(callCtx, key, grant, Outcome{State: pb.RunState_RUN_STATE_NO})
			cancel()
			if err == nil {
				return
			}
		}
	})
}

// NewKey returns a key for a new operation whose keeper is in this node's
// region if there is one. Its first send costs no call to another region.
func (m *Manager) NewKey(service string) (string, error) {
	const tries = 64
	place := m.placement.Load()
	for try := 0; ; try++ {
		id, err := uuid.NewV7()
		if err != nil {
			return "", errkind.Wrap(pb.ErrorKind_ERROR_KIND_INTERNAL, err, "no random numbers")
		}
		key := shard.Key{Service: service, ID: id}
		first, ok := place.first(key.Shard())
		if try == tries || (ok && first.Region == m.self.Region) {
			return id.String(), nil
		}
	}
}

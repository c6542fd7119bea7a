package member

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/budget"
	"github.com/egretfield/egretfield/internal/pb"
)

// List is one node's participant in the membership protocol. All methods are safe
// for concurrent use.
type List struct {
	opts          Options
	gossipLimiter *budget.Limiter
	logger        *zap.Logger

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	view  atomic.Pointer[View]
	stats counters
	// joinLost is set if the log may lack this node's join record.
	joinLost atomic.Bool

	mu             sync.Mutex
	rand           *rand.Rand
	table          *table
	version        uint64
	changeQueue    changeQueue
	partners       partners
	rumors         rumors
	digests        []digestSource
	watchers       map[int]chan struct{}
	nextID         int
	health         health
	knownAddresses knownAddresses
	checking       map[string]bool
	// departures are those of this node's join record. departuresRead reports whether the
	// log has been read, so that those of an earlier start are among them.
	departures     []*pb.Departure
	departuresRead bool
	flushScheduled bool
	bulk           bulkDetector
	// syncing reports whether syncUntilEqual runs or is scheduled.
	syncing bool
	// confirmScheduled reports whether confirmEqual is scheduled.
	confirmScheduled bool
	// skipRound reports whether confirmEqual has replaced the next round.
	skipRound bool
	started   bool
	closed    bool

	// joinToken is held by the one of several concurrent joins that compares tables.
	joinToken chan struct{}
	// delegatedChecks holds a token for each check running on behalf of another node.
	delegatedChecks chan struct{}
	// timerHook, when set by a test, is called when a timer fires and delays it
	// while it blocks.
	timerHook func()
	// deliveries queues the calls to rumor subscribers.
	deliveries chan func()
}

// New returns a List that knows only its own member. Call Register and then
// Start.
func New(opts Options) (*List, error) {
	opts, err := opts.withDefaults()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &List{
		opts:            opts,
		gossipLimiter:   budget.NewWithCredit(opts.GossipLimits, opts.StartCredit),
		logger:          opts.Logger,
		ctx:             ctx,
		cancel:          cancel,
		rand:            newRand(opts.Seed),
		table:           newTable(),
		watchers:        map[int]chan struct{}{},
		checking:        map[string]bool{},
		joinToken:       make(chan struct{}, 1),
		delegatedChecks: make(chan struct{}, maxDelegatedChecks),

		deliveries: make(chan func(), maxRumors),
	}
	l.rumors.init()
	l.knownAddresses.init(opts.Seeds)
	own := proto.CloneOf(opts.Member)
	own.Incarnation, own.Revision, own.Status = opts.Incarnation, 1, alive
	l.table.merge(&pb.MemberRecord{Member: own, Liveness: alive}, time.Now())
	l.changeQueue.add(own.Instance, l.table)
	l.publish()
	return l, nil
}

func newRand(seed uint64) *rand.Rand {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return rand.New(rand.NewPCG(seed, seed))
}

// Start joins the fleet and starts gossiping. Without a log and seeds there is nobody
// to join, and the list is ready at once.
func (l *List) Start() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.started || l.closed {
		return
	}
	l.started = true
	now := time.Now()
	l.health.start(now)
	l.goLocked(l.run)
	l.goLocked(l.runDeliveries)
	if l.opts.Log == nil && len(l.opts.Seeds) == 0 {
		l.noteRefreshed(now)
	}
	if l.opts.Log != nil {
		l.goLocked(l.followLog)
	}
}

// Close stops the list without announcing it, as a crash would. Call Leave first
// for a planned stop.
func (l *List) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.cancel()
	l.done.Wait()
}

// goLocked runs f in a goroutine unless the list is closed. The caller holds mu.
func (l *List) goLocked(f func()) {
	if l.closed {
		return
	}
	l.done.Add(1)
	go func() {
		defer l.done.Done()
		f()
	}()
}

// spawn runs f in a goroutine unless the list is closed. Unlike goLocked, it is
// called without mu held.
func (l *List) spawn(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.goLocked(f)
}

// after runs f after d unless the list is closed by then. The caller holds mu.
func (l *List) after(d time.Duration, f func()) {
	l.goLocked(func() {
		if l.sleep(d) {
			f()
		}
	})
}

// sleep waits for d. It returns false if the list is closed meanwhile.
func (l *List) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		if l.timerHook != nil {
			l.timerHook()
		}
		return l.ctx.Err() == nil
	case <-l.ctx.Done():
		return false
	}
}

// View returns the current view.
func (l *List) View() *View {
	return l.view.Load()
}

// Watch returns a channel that receives a value after the view changes, and a
// function that ends the subscription. Several changes may be coalesced into one
// value.
func (l *List) Watch() (changed <-chan struct{}, cancel func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := l.nextID
	l.nextID++
	c := make(chan struct{}, 1)
	l.watchers[id] = c
	return c, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.watchers, id)
	}
}

// publish builds a new view from the table, updates the gossip partners and
// notifies the watchers. The caller holds mu.
func (l *List) publish() {
	l.version++
	l.view.Store(newView(l.version, l.table.entries))
	l.partners.rebuild(l.own(), l.table, l.rand)
	for _, c := range l.watchers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// jitter returns d randomly changed by up to 20% in either direction. The caller
// holds mu.
func (l *List) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*l.rand.Float64()))
}

// run starts the gossip rounds and the periodic maintenance until the list is
// closed.
func (l *List) run() {
	var lastHeal, lastRotate, lastExpire time.Time
	for {
		l.mu.Lock()
		wait := l.jitter(roundInterval)
		l.mu.Unlock()
		if !l.sleep(wait) {
			return
		}
		now := time.Now()
		l.tick(now)
		l.spawn(l.round)
		if now.Sub(lastHeal) >= healInterval {
			lastHeal = now
			l.spawn(l.heal)
		}
		if now.Sub(lastRotate) >= rotateInterval {
			lastRotate = now
			l.rotate()
		}
		if now.Sub(lastExpire) >= expireInterval {
			lastExpire = now
			l.removeExpired(now)
		}
	}
}

// rotate replaces one neighbour.
func (l *List) rotate() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partners.rotate(l.rand)
}

// removeExpired removes expired tombstones and rumors.
func (l *List) removeExpired(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rumors.expire(now)
	if l.table.removeExpired(now) {
		l.publish()
	}
}

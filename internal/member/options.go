package member

import (
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/egretfield/egretfield/internal/budget"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/peer"
	"github.com/egretfield/egretfield/internal/platformlog"
)

// Intervals and timeouts of the protocol.
const (
	// roundInterval is the time between two rounds of gossip.
	roundInterval = 200 * time.Millisecond
	// exchangeTimeout bounds one gossip call.
	exchangeTimeout = 600 * time.Millisecond
	// flushDelay is how long changes are collected before they are pushed.
	flushDelay = 10 * time.Millisecond
	// bulkWindow is the time within which bulkChanges changes count as a common start.
	bulkWindow = time.Second
	// syncInterval is the time between two syncs of a node that transfer many records,
	// and maxSyncInterval that between syncs that transfer few.
	syncInterval    = 20 * time.Millisecond
	maxSyncInterval = 60 * time.Millisecond
	// syncTimeout bounds one call of a sync. It is several times the round trip between
	// regions.
	syncTimeout = 200 * time.Millisecond
	// nextSyncDelay is how long a node waits for the result of a sync before it asks another
	// member as well. It is longer than the round trip between regions.
	nextSyncDelay = 60 * time.Millisecond
	// confirmDelay is how long after its syncs a node compares its table once more. The
	// members whose syncs began together have ended theirs by then.
	confirmDelay = 100 * time.Millisecond
	// directTimeout and indirectTimeout bound the direct and the indirect step of a
	// check.
	directTimeout   = 300 * time.Millisecond
	indirectTimeout = 500 * time.Millisecond
	// suspectTimeout is how long a suspect member may refute before it is declared
	// dead.
	suspectTimeout = 600 * time.Millisecond
	// isolationTime is the time without an answer from a member or the log after
	// which a node isn't ready.
	isolationTime = 3 * time.Second
	// accusationHoldoff is how long a node accuses nobody after a pause or an
	// isolation, unless it has refreshed its view earlier.
	accusationHoldoff = 3 * time.Second
	// minLogLead is how long after the last answer of a member the log must have
	// answered to show that the missing answers aren't caused by this node's network.
	minLogLead = 500 * time.Millisecond
	// pauseThreshold is the gap between two rounds that counts as a pause.
	pauseThreshold = 2 * time.Second
	// healInterval is the time between attempts to reach an address at which no
	// member is believed reachable.
	healInterval = 2 * time.Second
	// rotateInterval is the time between replacements of a neighbour.
	rotateInterval = 5 * time.Second
	// expireInterval is the time between removals of expired tombstones and rumors.
	expireInterval = 30 * time.Second
	// leaveLinger is how long Leave waits for the change to spread before it returns.
	leaveLinger = time.Second
)

// Counts and sizes of the protocol.
const (
	// pushFanout is the number of nodes to which each node that learns of a change
	// pushes it.
	pushFanout = 3
	// indirectHelpers is the number of nodes asked to check a member that doesn't
	// answer.
	indirectHelpers = 3
	// neighbourCount is the number of neighbours, to which most rounds go.
	neighbourCount = 8
	// remoteNeighbours is the number of neighbours in other regions.
	remoteNeighbours = 2
	// neighbourPercent is the percentage of rounds that go to neighbours; the others
	// go to any reachable member.
	neighbourPercent = 75
	// bucketsPerExchange is the number of differing buckets repaired by one call.
	bucketsPerExchange = 4
	// maxReceivedRecords bounds the records merged from one message.
	maxReceivedRecords = 128
	// maxSentRecords bounds the records in a sent message, so that it fits in the
	// budget.
	maxSentRecords = 32
	// maxRoundRecords bounds the recent changes sent in the message of a round.
	maxRoundRecords = 8
	// bulkChanges is the number of new or changed members within bulkWindow beyond which
	// changes spread by comparing tables instead of being pushed by each node. It is
	// above what single changes cause in a calm fleet.
	bulkChanges = 8
	// maxSyncRecords bounds the records in a message of a sync. Receivers accept
	// maxReceivedRecords.
	maxSyncRecords = maxReceivedRecords
	// maxSyncDigest is the size of the largest table of which a sync sends all keys at
	// once. Larger tables are compared by bucket first, which takes one call more.
	maxSyncDigest = 128
	// roundJoins is the number of addresses that a node without a reachable member tries
	// in a round. After a common start, many of them may not be up yet.
	roundJoins = 3
	// fewRecords is the number of records up to which a sync transfers few.
	fewRecords = 8
	// equalSyncs is the number of successive syncs without a difference that ends a
	// node's syncs, and failedSyncs that without an answer.
	equalSyncs  = 2
	failedSyncs = 5
	// maxRunningSyncs bounds the syncs that a node runs at the same time, so that three lost
	// messages in a row don't stop them all.
	maxRunningSyncs = 3
	// syncRegionPercent is the percentage of syncs with members of the own region.
	syncRegionPercent = 67
	// maxChecks bounds the checks that run concurrently.
	maxChecks = 16
	// maxDelegatedChecks bounds the checks that run concurrently on behalf of other
	// nodes.
	maxDelegatedChecks = 16
	// messageOverheadBytes is the size of a message beyond its payload: frame,
	// signature and packet headers.
	messageOverheadBytes = 140
)

// DefaultGossipLimits are the rate limits of gossip, per second, within the node's
// measuring budget.
var DefaultGossipLimits = budget.Limits{Bytes: 12_500, Messages: 100, CPUTime: 5 * time.Millisecond}

// Budget decides whether a message may be sent. *budget.Limiter is one.
type Budget interface {
	// Allow reports whether a message of that size may be sent, and charges it to the
	// budget if so.
	Allow(class budget.Class, bytes int) bool
}

// Options configure a List. Member and ControlClient are required.
type Options struct {
	// Member is this node's identity: instance, region, data centre and
	// addresses. The backend server's fields are set by SetServer.
	Member        *pb.Member
	ControlClient peer.Client
	// Log holds the member stream; nil: other nodes are found through Seeds only.
	Log platformlog.Log
	// Seeds are the control addresses of nodes through which to join.
	Seeds []string
	// Budget is the node's measuring budget; nil: only GossipLimits apply.
	Budget Budget
	// GossipLimits are the limits of gossip alone; zero: DefaultGossipLimits.
	GossipLimits budget.Limits
	// StartCredit is the one-time credit of gossip beyond GossipLimits; zero:
	// budget.DefaultStartCredit.
	StartCredit budget.Credit
	// Logger receives a message for each change of state; nil: none is logged.
	Logger *zap.Logger
	// Incarnation is that of this start; zero: the wall clock in microseconds.
	Incarnation uint64
	// Seed makes the random choices reproducible; zero: a random seed.
	Seed uint64
	// JoinSpread is the maximum random delay before the first append to the member
	// stream; zero: DefaultJoinSpread.
	JoinSpread time.Duration
	// OnDepartures is called with the departures in this instance's join record of an
	// earlier start of the node; may be nil.
	OnDepartures func([]*pb.Departure)
}

// withDefaults validates the options and sets defaults for those left at zero.
func (o Options) withDefaults() (Options, error) {
	if o.Member.GetInstance() == "" || o.Member.GetControlAddress() == "" {
		return o, eris.New("member: instance and control address are required")
	}
	if o.ControlClient == nil {
		return o, eris.New("member: a client is required")
	}
	if o.GossipLimits == (budget.Limits{}) {
		o.GossipLimits = DefaultGossipLimits
	}
	if o.StartCredit == (budget.Credit{}) {
		o.StartCredit = budget.DefaultStartCredit
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Incarnation == 0 {
		o.Incarnation = uint64(time.Now().UnixMicro())
	}
	if o.JoinSpread == 0 {
		o.JoinSpread = DefaultJoinSpread
	}
	return o, nil
}

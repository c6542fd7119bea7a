package configlog

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/egretfield/egretfield/internal/delay"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
)

// Parameters of pulling from peers.
const (
	pullMethod   = "Config.Pull"
	pullTimeout  = 2 * time.Second
	pullInterval = time.Second
	// logHeadStart is how long a node with a healthy log waits for records from the
	// log itself before it pulls them from a peer that is ahead.
	logHeadStart = 500 * time.Millisecond
	// maxPullRounds is the greatest number of calls to catch up with one peer.
	maxPullRounds = 64
	// minStartPeers is how many peers must have answered before a node acts on a
	// state that the log didn't confirm. If it knows fewer, all must have.
	minStartPeers = 3
)

var errDiverged = eris.New("records of the peer diverge from the stream")

// pullState is the state of the loop that pulls from peers. Safe for concurrent
// use.
type pullState struct {
	signal chan struct{}

	mu          sync.Mutex
	ahead       string          // address of a peer that is ahead; empty if none
	hasAnswered map[string]bool // addresses of the peers that answered a pull
}

func newPullState() *pullState {
	return &pullState{
		signal:      make(chan struct{}, 1),
		hasAnswered: map[string]bool{},
	}
}

// wake makes the loop run at once.
func (p *pullState) wake() {
	select {
	case p.signal <- struct{}{}:
	default:
	}
}

func (p *pullState) setAhead(addr string) {
	p.mu.Lock()
	p.ahead = addr
	p.mu.Unlock()
	p.wake()
}

func (p *pullState) takeAhead() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	addr := p.ahead
	p.ahead = ""
	return addr
}

// OnDigest handles the digest of the node at addr: it schedules a pull if that node is
// ahead, and reports a divergence if that node's chain differs at the same offset. It
// doesn't block.
func (f *Follower) OnDigest(addr string, digest *pb.ConfigDigest) {
	own := f.State()
	switch {
	case isAhead(digest, own), hasOtherEvacuations(digest, own):
		f.pullState.setAhead(addr)
	case divergesFrom(digest, own):
		f.reportDivergence(addr)
	}
}

// isAhead reports whether the digest's node has a later position or configuration.
func isAhead(digest *pb.ConfigDigest, own State) bool {
	return digest.GetFoldedThrough() > own.FoldedThrough || digest.GetOperatorVersion() > own.OperatorVersion()
}

// hasOtherEvacuations reports whether the digest's node has other evacuations at the same
// position. After the log came back from an older copy, a node that starts doesn't know
// those that the copy lost.
func hasOtherEvacuations(digest *pb.ConfigDigest, own State) bool {
	return digest.GetFoldedThrough() == own.FoldedThrough && digest.GetEvacuations() != evacuationsHash(own.Config)
}

// divergesFrom reports whether the digest's node folded other records up to the same
// position. A node with an older configuration there has yet to get the later one.
func divergesFrom(digest *pb.ConfigDigest, own State) bool {
	return digest.GetFoldedThrough() == own.FoldedThrough && digest.GetOperatorVersion() == own.OperatorVersion() &&
		digest.GetChain() != own.Chain
}

// followPeers pulls from peers that are ahead, and from random peers while the log
// can't be read, until ctx ends.
func (f *Follower) followPeers(ctx context.Context) error {
	ticker := time.NewTicker(pullInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.pullState.signal:
		case <-ticker.C:
		}
		f.pullOnce(ctx)
	}
}

// pullOnce pulls from a peer that is ahead, or from a random one if the log can't be
// read. Otherwise it does nothing.
func (f *Follower) pullOnce(ctx context.Context) {
	addr := f.pullState.takeAhead()
	healthy := f.logHealthy()
	if addr != "" && healthy && f.isReader() {
		through := f.State().FoldedThrough
		delay.Sleep(ctx, logHeadStart)
		if f.State().FoldedThrough > through {
			return
		}
	}
	if addr == "" && !healthy {
		addr = f.randomPeer()
	}
	if addr == "" {
		return
	}
	if err := f.pullFrom(ctx, addr); err != nil {
		f.metrics.pullFailed()
		return
	}
	f.confirm(addr)
}

// randomPeer returns the address of a random peer, or "" if there is none. Until a
// state is in force it prefers peers that have not answered yet.
func (f *Follower) randomPeer() string {
	addresses := f.addresses()
	if len(addresses) == 0 {
		return ""
	}
	if f.inForce.Load() == nil {
		addresses = f.pullState.notAnswered(addresses)
	}
	return addresses[f.jitter.intN(len(addresses))]
}

func (f *Follower) addresses() []string {
	if f.options.Addresses == nil {
		return nil
	}
	return f.options.Addresses()
}

// notAnswered returns the addresses of peers that have not answered, or all
// addresses if every one has.
func (p *pullState) notAnswered(addresses []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var fresh []string
	for _, addr := range addresses {
		if !p.hasAnswered[addr] {
			fresh = append(fresh, addr)
		}
	}
	if len(fresh) == 0 {
		return addresses
	}
	return fresh
}

// confirm records that the peer at addr answered. Once enough peers have answered
// while the log can't be read, it puts the state in force.
func (f *Follower) confirm(addr string) {
	if f.inForce.Load() != nil || f.logHealthy() {
		return
	}
	f.pullState.mu.Lock()
	f.pullState.hasAnswered[addr] = true
	answered := len(f.pullState.hasAnswered)
	f.pullState.mu.Unlock()
	if answered >= min(minStartPeers, len(f.addresses())) {
		f.startServing()
	}
}

// pullFrom pulls from the peer at addr until the state has caught up with it.
func (f *Follower) pullFrom(ctx context.Context, addr string) error {
	for range maxPullRounds {
		own := f.State()
		from := own.FoldedThrough + 1
		reply, err := f.callPull(ctx, addr, own)
		if err != nil {
			return err
		}
		if err := f.applyReply(reply); err != nil {
			f.reportDivergence(addr)
			return err
		}
		through := f.State().FoldedThrough
		if through >= reply.GetDigest().GetFoldedThrough() {
			f.recordConfirmed()
			return nil
		}
		if through < from {
			return nil
		}
	}
	return nil
}

// recordConfirmed records that the log or a peer had nothing newer just now.
func (f *Follower) recordConfirmed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmedAt = time.Now()
}

func (f *Follower) callPull(ctx context.Context, addr string, own State) (*pb.ConfigPullReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply := &pb.ConfigPullReply{}
	err := f.options.ControlClient.Call(ctx, addr, pullMethod, &pb.ConfigPull{
		From:            own.FoldedThrough + 1,
		OperatorVersion: own.OperatorVersion(),
		Evacuations:     evacuationsHash(own.Config),
		AcceptsGzip:     true,
	}, reply)
	if err != nil {
		return nil, err
	}
	return decompressReply(reply)
}

// applyReply checks a peer's reply to a pull and applies it.
func (f *Follower) applyReply(reply *pb.ConfigPullReply) error {
	if snapshot := reply.GetSnapshot(); snapshot != nil {
		state, err := StateFromSnapshot(snapshot)
		if err != nil {
			return err
		}
		f.adopt(state, sourcePeer)
		return nil
	}
	records := fromStreamRecords(reply.GetRecords())
	if len(records) == 0 {
		return nil
	}
	if !f.isContinuation(records, reply.GetChain()) {
		return errDiverged
	}
	f.apply(records, sourcePeer)
	return nil
}

// isContinuation reports whether records follow the state without a gap and lead to
// the peer's chain. Records that were folded from another source in the meantime are
// skipped.
func (f *Follower) isContinuation(records []platformlog.Record, chain uint64) bool {
	state := f.State()
	for _, record := range records {
		if record.Offset <= state.FoldedThrough {
			continue
		}
		next, _ := Fold(state, record)
		if next.FoldedThrough != record.Offset {
			return false
		}
		state = next
	}
	return state.FoldedThrough > records[len(records)-1].Offset || state.Chain == chain
}

func fromStreamRecords(stream []*pb.StreamRecord) []platformlog.Record {
	records := make([]platformlog.Record, 0, len(stream))
	for _, record := range stream {
		records = append(records, platformlog.Record{
			Offset: record.GetOffset(),
			Time:   time.UnixMilli(record.GetTimeUnixMs()),
			Data:   record.GetData(),
		})
	}
	return records
}

// reportDivergence counts a divergence from the peer at addr and logs it if it is the
// first one counted, those of snapshots included.
func (f *Follower) reportDivergence(addr string) {
	f.metrics.diverged()
	if f.divergences.Add(1) == 1 {
		f.logger.Error("configuration diverges from that of a peer", zap.String("peer", addr))
	}
}

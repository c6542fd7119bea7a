package configlog

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/delay"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
	"github.com/egretfield/egretfield/internal/standin/fakepeer"
	"github.com/egretfield/egretfield/internal/standin/memlog"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
)

// TestMain fixes the seed of the rapid state machines; EGRETFIELD_SEED overrides it.
func TestMain(m *testing.M) {
	seed := os.Getenv("EGRETFIELD_SEED")
	if seed == "" {
		seed = "1"
	}
	_ = flag.Set("rapid.seed", seed)
	os.Exit(m.Run())
}

// gossipInterval is how often a node of the test fleet sends one peer its digest.
const gossipInterval = 500 * time.Millisecond

// testConfig returns a valid configuration. depth distinguishes versions.
func testConfig(depth uint32, presets ...string) *pb.Config {
	if len(presets) == 0 {
		presets = []string{"ordinary", "peak"}
	}
	config := &pb.Config{
		Services:      []*pb.Service{{Name: "orders"}},
		DefaultPreset: presets[0],
		MaxCallDepth:  depth,
	}
	for _, name := range presets {
		config.Presets = append(config.Presets, &pb.Preset{Name: name})
	}
	return config
}

func publishOf(base int64, config *pb.Config) *pb.ConfigRecord {
	return &pb.ConfigRecord{
		Id: NewID(), BaseVersion: base, Operator: "ann", TimeUnixMs: NowUnixMs(),
		Change: &pb.ConfigRecord_Publish{Publish: &pb.Publish{Config: config}},
	}
}

func presetOf(base int64, name string) *pb.ConfigRecord {
	return &pb.ConfigRecord{
		Id: NewID(), BaseVersion: base, Operator: "bob", TimeUnixMs: NowUnixMs(),
		Change: &pb.ConfigRecord_UsePreset{UsePreset: &pb.UsePreset{Preset: name}},
	}
}

func drainOf(base int64, instance string, drain bool) *pb.ConfigRecord {
	return &pb.ConfigRecord{
		Id: NewID(), BaseVersion: base, Operator: "cas", TimeUnixMs: NowUnixMs(),
		Change: &pb.ConfigRecord_Drain{Drain: &pb.Drain{Instance: instance, Drain: drain}},
	}
}

func snapshotRecord(snapshot *pb.ConfigSnapshot) *pb.ConfigRecord {
	return &pb.ConfigRecord{Id: NewID(), Change: &pb.ConfigRecord_Snapshot{Snapshot: snapshot}}
}

func at(offset int64, record *pb.ConfigRecord) platformlog.Record {
	data, _ := proto.Marshal(record)
	return platformlog.Record{Offset: offset, Time: time.UnixMilli(offset * 1000), Data: data}
}

// foldAll folds records at the offsets from 1 on.
func foldAll(records ...*pb.ConfigRecord) State {
	state := Empty()
	for i, record := range records {
		state, _ = Fold(state, at(int64(i)+1, record))
	}
	return state
}

// fleet is a set of nodes that share a log and a network in a synctest bubble.
type fleet struct {
	log    *memlog.Log
	net    *fakepeer.Network
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// gossipDisabled stops nodes started later from gossiping.
	gossipDisabled bool
	// retention is that of the log. If it is zero, nodes write no snapshots.
	retention time.Duration

	mu    sync.Mutex
	nodes map[string]*node
}

// node is one run of an instance; a restart creates another node with the same name.
type node struct {
	name      string
	follower  *Follower
	publisher *Publisher
	stop      context.CancelFunc
	done      chan struct{}

	mu       sync.Mutex
	versions []int64 // in force, in order
}

func newFleet(options memlog.Options) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	return &fleet{log: memlog.New(options), net: fakepeer.New(), ctx: ctx, cancel: cancel, nodes: map[string]*node{},
		retention: options.KeepFor}
}

func (f *fleet) close() {
	f.cancel()
	f.wg.Wait()
}

// start runs a node. edit can change its options.
func (f *fleet) start(name string, edit ...func(*Options)) *node {
	options := Options{
		Name:          name,
		Log:           f.log.ForClient(memlog.Client{Name: name}),
		ControlClient: f.net.At(name),
		Addresses:     func() []string { return f.others(name) },
	}
	for _, change := range edit {
		change(&options)
	}
	n := &node{name: name, follower: NewFollower(options), done: make(chan struct{})}
	n.publisher = NewPublisher(options.Log, n.follower)
	n.follower.Subscribe(func(state *pb.ConfigState) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.versions = append(n.versions, state.GetVersion())
	})
	_ = f.net.At(name).RegisterName(RPCName, NewRPC(n.follower, n.publisher))
	ctx, cancel := context.WithCancel(f.ctx)
	n.stop = cancel
	f.mu.Lock()
	f.nodes[name] = n
	f.mu.Unlock()
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		defer close(n.done)
		_ = n.follower.Run(ctx)
	}()
	if f.retention > 0 {
		snapshots := NewSnapshotter(name, options.Log, n.follower, f.retention)
		f.wg.Go(func() { _ = snapshots.Run(ctx) })
	}
	if f.gossipDisabled {
		return n
	}
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		f.gossip(ctx, n)
	}()
	return n
}

// startAll runs count nodes named n0, n1 and so on.
func (f *fleet) startAll(count int, edit ...func(*Options)) []*node {
	var all []*node
	for i := range count {
		all = append(all, f.start(fmt.Sprintf("n%d", i), edit...))
	}
	return all
}

// kill stops a node and removes it from the fleet; its state is lost.
func (f *fleet) kill(n *node) {
	n.stop()
	<-n.done
	f.net.Remove(n.name)
	f.mu.Lock()
	delete(f.nodes, n.name)
	f.mu.Unlock()
}

func (f *fleet) others(name string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	names := make([]string, 0, len(f.nodes))
	for other := range f.nodes {
		if other != name {
			names = append(names, other)
		}
	}
	slices.Sort(names)
	return names
}

// digestReceiver exchanges digests in place of the member layer.
type digestReceiver struct{ follower *Follower }

// Tell handles the digest of the node whose address is the id of the rumor and replies
// with the digest of this node.
func (d *digestReceiver) Tell(args, reply *pb.Rumor) error {
	digest := &pb.ConfigDigest{}
	if err := proto.Unmarshal(args.GetPayload(), digest); err != nil {
		return err
	}
	d.follower.OnDigest(args.GetId(), digest)
	payload, err := proto.Marshal(d.follower.Digest())
	reply.Payload = payload
	return err
}

// gossip exchanges digests with a random node every gossipInterval until ctx ends.
func (f *fleet) gossip(ctx context.Context, n *node) {
	endpoint := f.net.At(n.name)
	_ = endpoint.RegisterName("Gossip", &digestReceiver{n.follower})
	random := rand.New(rand.NewPCG(1, uint64(len(n.name))+uint64(n.name[len(n.name)-1])))
	for {
		delay.Sleep(ctx, gossipInterval)
		if ctx.Err() != nil {
			return
		}
		others := f.others(n.name)
		if len(others) == 0 {
			continue
		}
		payload, _ := proto.Marshal(n.follower.Digest())
		callCtx, cancel := context.WithTimeout(ctx, gossipInterval)
		peer, reply, requestedAt := others[random.IntN(len(others))], &pb.Rumor{}, time.Now()
		err := endpoint.Call(callCtx, peer, "Gossip.Tell", &pb.Rumor{Id: n.name, Payload: payload}, reply)
		cancel()
		digest := &pb.ConfigDigest{}
		if err == nil && proto.Unmarshal(reply.GetPayload(), digest) == nil {
			n.follower.OnDigest(peer, digest)
			n.follower.OnDigestReply(digest, requestedAt)
		}
	}
}

// submit submits a record through a node, with a timeout of one minute.
func (f *fleet) submit(n *node, record *pb.ConfigRecord) (*pb.AuditEntry, error) {
	ctx, cancel := context.WithTimeout(f.ctx, time.Minute)
	defer cancel()
	return n.publisher.Submit(ctx, record)
}

// awaitAll waits until every node has version in force. It returns the time taken and
// whether that was within limit.
func (f *fleet) awaitAll(version int64, limit time.Duration) (time.Duration, bool) {
	started := time.Now()
	for time.Since(started) <= limit {
		if f.behind(version) == 0 {
			return time.Since(started), true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(started), false
}

// behind returns the number of nodes that don't have version in force yet.
func (f *fleet) behind(version int64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, n := range f.nodes {
		if n.follower.Current().GetVersion() < version {
			count++
		}
	}
	return count
}

// versionsInForce returns the versions that were in force, in order.
func (n *node) versionsInForce() []int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]int64(nil), n.versions...)
}

// conveyFleet runs body with a fleet under virtual time as one Convey block.
func conveyFleet(t *testing.T, name string, options memlog.Options, body func(f *fleet)) {
	t.Helper()
	virtualtime.Test(t, func(t *testing.T) {
		Convey(name, t, func() {
			f := newFleet(options)
			defer f.close()
			body(f)
		})
	})
}

// statesEqual reports whether two states are equal in every field.
func statesEqual(a, b State) bool {
	return proto.Equal(a.Snapshot(), b.Snapshot())
}

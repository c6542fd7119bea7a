package member

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/peer"
	"github.com/egretfield/egretfield/internal/platformlog"
)

const (
	sameRegionDelay  = time.Millisecond
	crossRegionDelay = 20 * time.Millisecond
	maxLateness      = 10 * time.Second
)

// cluster is several Lists on an in-memory network with an in-memory log.
type cluster struct {
	mu          sync.Mutex
	nodes       map[string]*node // by control address
	log         *fakeLog
	keyed       *keyedLog // replaces log where a test needs a keyed log
	lossRate    float64
	lateRate    float64 // share of requests that arrive up to maxLateness late
	partitioned func(a, b *node) bool
	rand        *rand.Rand
	// incarnations is the incarnation given to the latest start.
	incarnations uint64
	// onDepartures gets the departures that a node finds when it starts; nil: none does.
	onDepartures func(instance string, departures []*pb.Departure)
}

// node is one List of a cluster and the client that it calls others with.
type node struct {
	c        *cluster
	list     *List
	instance string
	address  string
	region   string
	resumed  chan struct{} // nil: not paused
	crashed  bool
}

func newCluster() *cluster {
	return &cluster{
		nodes:        map[string]*node{},
		log:          &fakeLog{},
		rand:         rand.New(rand.NewPCG(7, 7)),
		incarnations: 1000,
	}
}

// start starts a node that joins through the seeds and the log.
func (c *cluster) start(instance, address, region string, seeds ...string) *node {
	c.incarnations++
	return c.startAt(c.incarnations, instance, address, region, seeds...)
}

// startAt is like start with the given incarnation.
func (c *cluster) startAt(incarnation uint64, instance, address, region string, seeds ...string) *node {
	n := &node{c: c, instance: instance, address: address, region: region}
	var log platformlog.Log = c.log
	if c.keyed != nil {
		log = c.keyed
	}
	list, err := New(Options{
		Member: &pb.Member{
			Instance: instance, Region: region, DataCentre: region + "-a",
			ControlAddress: address, GateAddress: address + "0",
		},
		ControlClient: n,
		Log:           log,
		Seeds:         seeds,
		Incarnation:   incarnation,
		Seed:          incarnation,
		OnDepartures: func(departures []*pb.Departure) {
			if c.onDepartures != nil {
				c.onDepartures(instance, departures)
			}
		},
	})
	if err != nil {
		panic(err)
	}
	list.timerHook = n.waitResumed
	list.SetServer(&pb.Announcement{Service: "catalogue", Slots: 10})
	n.list = list
	c.mu.Lock()
	c.nodes[address] = n
	c.mu.Unlock()
	list.Start()
	return n
}

// startMany starts n nodes in three regions, named a00, a01 and so on.
func (c *cluster) startMany(n int) []*node {
	var out []*node
	for i := range n {
		name := fmt.Sprintf("a%02d", i)
		out = append(out, c.start(name, name+":1", fmt.Sprintf("region%d", i%3), "a00:1"))
	}
	return out
}

// crash stops a node without announcing it.
func (c *cluster) crash(n *node) {
	n.resume()
	c.mu.Lock()
	n.crashed = true
	if c.nodes[n.address] == n {
		delete(c.nodes, n.address)
	}
	c.mu.Unlock()
	n.list.Close()
}

func (c *cluster) close() {
	c.mu.Lock()
	var all []*node
	for _, n := range c.nodes {
		all = append(all, n)
	}
	c.mu.Unlock()
	for _, n := range all {
		c.crash(n)
	}
	time.Sleep(maxLateness + time.Second) // until the messages in transit have arrived
}

func (n *node) pause() {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	if n.resumed == nil {
		n.resumed = make(chan struct{})
	}
}

func (n *node) resume() {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	if n.resumed != nil {
		close(n.resumed)
		n.resumed = nil
	}
}

// waitResumed blocks while the node is paused.
func (n *node) waitResumed() {
	n.c.mu.Lock()
	resumed := n.resumed
	n.c.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

func (c *cluster) setLoss(rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lossRate = rate
}

// lateness returns the extra delay of the next request.
func (c *cluster) lateness() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lateRate == 0 || c.rand.Float64() >= c.lateRate {
		return 0
	}
	return time.Duration(c.rand.Int64N(int64(maxLateness)))
}

// setPartition sets which pairs of nodes can't reach each other; nil: none.
func (c *cluster) setPartition(partitioned func(a, b *node) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned = partitioned
}

// isLost reports whether a message from a to b is lost.
func (c *cluster) isLost(a, b *node) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.partitioned != nil && c.partitioned(a, b) {
		return true
	}
	return c.lossRate > 0 && c.rand.Float64() < c.lossRate
}

func delay(a, b *node) {
	if a.region == b.region {
		time.Sleep(sameRegionDelay)
	} else {
		time.Sleep(crossRegionDelay)
	}
}

// Call implements peer.Client for the node.
func (n *node) Call(ctx context.Context, addr, method string, args, reply proto.Message) error {
	n.waitResumed()
	defer n.waitResumed()
	n.c.mu.Lock()
	target := n.c.nodes[addr]
	n.c.mu.Unlock()
	if target == nil {
		time.Sleep(crossRegionDelay)
		return errkind.Wrap(pb.ErrorKind_ERROR_KIND_NO_SERVER, peer.ErrUnreachable, "dial")
	}
	type result struct {
		reply proto.Message
		err   error
	}
	done := make(chan result, 1)
	request := proto.Clone(args)
	go func() {
		if got, err, ok := n.transmit(target, method, request); ok {
			done <- result{got, err}
		}
	}()
	select {
	case got := <-done:
		if got.err != nil {
			return errkind.New(errkind.KindOf(got.err), "%s", got.err.Error())
		}
		proto.Merge(reply, got.reply)
		return nil
	case <-ctx.Done():
		return errkind.Wrap(pb.ErrorKind_ERROR_KIND_TIMEOUT, ctx.Err(), "call")
	}
}

// transmit delivers a request to target and returns the reply, delayed while the
// target is paused. It returns false if either is lost or the target has crashed.
func (n *node) transmit(target *node, method string, request proto.Message) (proto.Message, error, bool) {
	delay(n, target)
	if n.c.isLost(n, target) {
		return nil, nil, false
	}
	time.Sleep(n.c.lateness())
	target.waitResumed()
	n.c.mu.Lock()
	stopped := target.crashed
	n.c.mu.Unlock()
	if stopped {
		return nil, nil, false
	}
	reply, err := target.serve(method, request)
	delay(target, n)
	if n.c.isLost(target, n) {
		return nil, nil, false
	}
	return reply, err, true
}

func (n *node) serve(method string, request proto.Message) (proto.Message, error) {
	s := &rpcReceiver{n.list}
	switch method {
	case methodExchange:
		reply := &pb.MemberExchange{}
		err := s.Exchange(request.(*pb.MemberExchange), reply)
		return proto.Clone(reply), err
	case methodPing:
		reply := &pb.MemberPong{}
		err := s.Ping(request.(*pb.MemberPing), reply)
		return proto.Clone(reply), err
	default:
		reply := &pb.MemberPong{}
		err := s.PingVia(request.(*pb.MemberPing), reply)
		return proto.Clone(reply), err
	}
}

// status returns an instance's status in n's view.
func (n *node) status(instance string) pb.MemberStatus {
	m := n.list.View().Get(instance)
	if m == nil {
		return pb.MemberStatus_MEMBER_STATUS_UNSPECIFIED
	}
	return m.Status
}

// await waits until ok returns true and returns the time that took, or -1 after
// limit.
func await(limit time.Duration, ok func() bool) time.Duration {
	const step = 5 * time.Millisecond
	start := time.Now()
	for time.Since(start) <= limit {
		if ok() {
			return time.Since(start)
		}
		time.Sleep(step)
	}
	return -1
}

// allSeeStatus reports whether an instance has the status in the view of every
// other node.
func allSeeStatus(nodes []*node, instance string, status pb.MemberStatus) bool {
	for _, n := range nodes {
		if n.instance != instance && n.status(instance) != status {
			return false
		}
	}
	return true
}

// converged reports whether all nodes are ready and exactly these nodes are alive in
// every view.
func converged(nodes []*node) bool {
	for _, n := range nodes {
		reachable := 0
		for _, m := range n.list.View().Members {
			if m.Status == alive {
				reachable++
			}
		}
		if reachable != len(nodes) || !n.list.Health().Ready {
			return false
		}
		for _, other := range nodes {
			m := n.list.View().Get(other.instance)
			if m == nil || m.Status != alive || m.Incarnation != other.list.Self().Incarnation {
				return false
			}
		}
	}
	return true
}

// fakeLog is an in-memory platformlog.Log with one stream.
type fakeLog struct {
	mu      sync.Mutex
	down    bool
	first   int64
	records []platformlog.Record
}

func (f *fakeLog) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// Append implements platformlog.Log.
func (f *fakeLog) Append(_ context.Context, _ string, data []byte) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, platformlog.ErrUnavailable
	}
	offset := platformlog.FirstOffset + int64(len(f.records))
	f.records = append(f.records, platformlog.Record{Offset: offset, Time: time.Now(), Data: data})
	return offset, nil
}

// Read implements platformlog.Log.
func (f *fakeLog) Read(_ context.Context, _ string, from int64, max int, _ time.Duration) ([]platformlog.Record, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, platformlog.ErrUnavailable
	}
	if from < f.first {
		return nil, platformlog.ErrTrimmed
	}
	start := min(from-platformlog.FirstOffset, int64(len(f.records)))
	end := min(start+int64(max), int64(len(f.records)))
	return f.records[start:end], nil
}

// Bounds implements platformlog.Log.
func (f *fakeLog) Bounds(context.Context, string) (platformlog.Bounds, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return platformlog.Bounds{}, platformlog.ErrUnavailable
	}
	next := platformlog.FirstOffset + int64(len(f.records))
	return platformlog.Bounds{First: max(f.first, platformlog.FirstOffset), Next: next}, nil
}

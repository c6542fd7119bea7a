package once

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/once/shard"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
	"github.com/egretfield/egretfield/internal/standin/memlog"
)

var errLost = errors.New("call lost")

// pauser controls a process at its boundaries: what it sends, receives and
// reads back is held while it is frozen and fails once it is killed.
type pauser struct {
	mu     sync.Mutex
	frozen chan struct{}
	killed chan struct{}
}

func newPauser() *pauser { return &pauser{killed: make(chan struct{})} }

func (p *pauser) freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen == nil {
		p.frozen = make(chan struct{})
	}
}

func (p *pauser) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozen != nil {
		close(p.frozen)
		p.frozen = nil
	}
}

func (p *pauser) await() error {
	p.mu.Lock()
	frozen := p.frozen
	p.mu.Unlock()
	if frozen != nil {
		select {
		case <-frozen:
		case <-p.killed:
		}
	}
	select {
	case <-p.killed:
		return errLost
	default:
		return nil
	}
}

// process is one start of a node. It implements its own Log, Client and
// Members.
type process struct {
	c      *cluster
	self   Member
	pauser *pauser
	m      *Manager
	log    platformlog.Log
	stop   context.CancelFunc
	done   chan struct{}
	// changed is the callback that the manager subscribed. Guarded by c.mu.
	changed func()
}

// cluster runs managers over fakes in one synctest bubble.
type cluster struct {
	opts Options
	log  *memlog.Log
	// regions maps nodes to their regions. Nil: all in one.
	regions map[string]string

	mu        sync.Mutex
	processes map[string]*process
	starts    uint64
	// absent[{a, b}]: a considers b absent. cut[{a, b}]: a can't call b.
	absent, cut  map[[2]string]bool
	staleMembers []Member
	loseRequests int
	loseReplies  int
	// older are nodes of a build that doesn't tell organisations apart. Set before start.
	older map[string]bool

	appended [][]byte
}

func newCluster(opts Options, retention memlog.Options) *cluster {
	return &cluster{
		opts:      opts,
		log:       memlog.New(retention),
		processes: make(map[string]*process),
		absent:    make(map[[2]string]bool),
		cut:       make(map[[2]string]bool),
		older:     make(map[string]bool),
	}
}

func nodeName(i int) string { return fmt.Sprintf("n%d", i) }

// start starts the node, unless it is running.
func (c *cluster) start(name string) *process {
	c.mu.Lock()
	if p := c.processes[name]; p != nil {
		c.mu.Unlock()
		return p
	}
	c.starts++
	p := &process{
		c:      c,
		self:   Member{Instance: name, Incarnation: c.starts, Region: c.regions[name], Address: name},
		pauser: newPauser(),
		log:    c.log.ForClient(memlog.Client{Name: name}),
		done:   make(chan struct{}),
	}
	c.processes[name] = p
	c.mu.Unlock()
	opts := c.opts
	opts.Log, opts.ControlClient, opts.Members = p, p, p
	p.m, _ = NewManager(opts)
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	go func() {
		p.m.Run(ctx)
		close(p.done)
	}()
	c.notify()
	return p
}

func (c *cluster) startAll(n int) {
	for i := range n {
		c.start(nodeName(i))
	}
}

// kill ends the process immediately.
func (c *cluster) kill(name string) {
	c.mu.Lock()
	p := c.processes[name]
	delete(c.processes, name)
	c.mu.Unlock()
	if p == nil {
		return
	}
	close(p.pauser.killed)
	p.stop()
	<-p.done
	c.notify()
}

func (c *cluster) stopAll() {
	for _, name := range c.names() {
		c.kill(name)
	}
}

// end stops all processes and waits in virtual time for calls in progress.
func (c *cluster) end() {
	c.stopAll()
	time.Sleep(10 * time.Second)
}

func (c *cluster) names() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.processes))
}

func (c *cluster) get(name string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

func (c *cluster) set(relation map[[2]string]bool, from, to string, on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	relation[[2]string{from, to}] = on
}

// heal clears all faults of the network, the member views and the log.
func (c *cluster) heal() {
	c.log.SetFaults(&pb.LogFaults{})
	c.mu.Lock()
	clear(c.absent)
	clear(c.cut)
	c.loseRequests, c.loseReplies, c.staleMembers = 0, 0, nil
	c.mu.Unlock()
	for _, name := range c.names() {
		c.get(name).pauser.resume()
	}
}

// Self implements Members.
func (p *process) Self() Member { return p.self }

// Subscribe implements Members.
func (p *process) Subscribe(changed func()) {
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	p.changed = changed
}

// notify calls the subscribers of all processes.
func (c *cluster) notify() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.processes {
		if p.changed != nil {
			p.changed()
		}
	}
}

// Live implements Members.
func (p *process) Live() []Member {
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	live := slices.Clone(p.c.staleMembers)
	for name, other := range p.c.processes {
		if !p.c.absent[[2]string{p.self.Instance, name}] {
			live = append(live, other.self)
		}
	}
	return live
}

// Call implements peer.Client.
func (p *process) Call(ctx context.Context, addr, method string, args, reply proto.Message) error {
	sent := proto.CloneOf(args)
	if p.c.older[addr] {
		dropOrganisations(sent)
	}
	result := make(chan proto.Message, 1)
	failed := make(chan error, 1)
	go func() {
		received, err := p.deliver(addr, method, sent, reply)
		if err == nil {
			err = p.pauser.await()
		}
		if err != nil {
			failed <- err
			return
		}
		result <- received
	}()
	select {
	case received := <-result:
		proto.Merge(reply, received)
		return nil
	case err := <-failed:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// dropOrganisations removes the fields that a node of an older build doesn't read. It keeps
// those of answers, which it stores as they are.
func dropOrganisations(message proto.Message) {
	switch message := message.(type) {
	case *pb.KeyBegin:
		message.Organisation = nil
	case *pb.KeyFinish:
		message.Organisation = nil
	case *pb.KeyBeginReply:
		message.Scopes = false
	case *pb.KeeperTransfer:
		for _, table := range message.Tables {
			for _, entry := range table.Entries {
				entry.Organisation, entry.ByOrganisation = nil, nil
				entry.Fingerprint = max(entry.Fingerprint, 1)
			}
		}
	}
}

// deliver passes a call to the process that runs at addr at this moment.
func (p *process) deliver(addr, method string, args, reply proto.Message) (proto.Message, error) {
	if err := p.pauser.await(); err != nil {
		return nil, err
	}
	time.Sleep(time.Millisecond)
	loseReply, to := p.c.route(p.self.Instance, addr)
	if to == nil {
		return nil, errLost
	}
	if err := to.pauser.await(); err != nil {
		return nil, err
	}
	received, err := to.m.serve(method, args, reply)
	if err == nil && p.c.older[addr] {
		dropOrganisations(received)
	}
	if err == nil && loseReply {
		err = errLost
	}
	if err == nil {
		err = to.pauser.await()
	}
	return received, err
}

func (c *cluster) route(from, addr string) (bool, *process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	to := c.processes[addr]
	if to == nil || c.cut[[2]string{from, addr}] {
		return false, nil
	}
	if c.loseRequests > 0 {
		c.loseRequests--
		return false, nil
	}
	if c.loseReplies > 0 {
		c.loseReplies--
		return true, to
	}
	return false, to
}

// serve calls the receiver's method.
func (m *Manager) serve(method string, args, reply proto.Message) (proto.Message, error) {
	r := &RPC{m: m}
	out := reply.ProtoReflect().New().Interface()
	var err error
	switch a := args.(type) {
	case *pb.KeyBegin:
		err = r.Begin(a, out.(*pb.KeyBeginReply))
	case *pb.KeyFinish:
		err = r.Finish(a, out.(*pb.KeyFinishReply))
	case *pb.Empty:
		err = r.Session(a, out.(*pb.KeeperSession))
	case *pb.KeeperExtend:
		err = r.Extend(a, out.(*pb.KeeperExtendReply))
	case *pb.KeeperTransfer:
		err = r.Transfer(a, out.(*pb.KeeperTransferReply))
	case *pb.KeeperStateQuery:
		err = r.State(a, out.(*pb.KeeperStateReply))
	default:
		err = fmt.Errorf("no method %s", method)
	}
	return proto.CloneOf(out), err
}

// Append implements platformlog.Log. An append by a frozen process takes effect
// when the process is resumed, even if its caller has been given an error.
func (p *process) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	type result struct {
		offset int64
		err    error
	}
	done := make(chan result, 1)
	go func() {
		if p.pauser.await() != nil {
			return
		}
		offset, err := p.log.Append(context.Background(), stream, data)
		if err == nil {
			p.c.recordAppend(data)
		}
		if p.pauser.await() == nil {
			done <- result{offset, err}
		}
	}()
	select {
	case r := <-done:
		return r.offset, r.err
	case <-ctx.Done():
		return 0, platformlog.ErrUnknownOutcome
	}
}

func (c *cluster) recordAppend(data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appended = append(c.appended, data)
}

// appendAgain appends a copy of an earlier record.
func (c *cluster) appendAgain(back int) {
	c.mu.Lock()
	var data []byte
	if n := len(c.appended); n > 0 {
		data = c.appended[max(0, n-1-back)]
	}
	c.mu.Unlock()
	if data != nil {
		_, _ = c.log.Append(context.Background(), platformlog.KeeperStream, data)
	}
}

// Read implements platformlog.Log. Records read by a frozen process reach it
// when it is resumed.
func (p *process) Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) ([]platformlog.Record, error) {
	if err := p.pauser.await(); err != nil {
		return nil, platformlog.ErrUnavailable
	}
	records, err := p.log.Read(ctx, stream, from, max, wait)
	if p.pauser.await() != nil {
		return nil, platformlog.ErrUnavailable
	}
	return records, err
}

// Bounds implements platformlog.Log.
func (p *process) Bounds(ctx context.Context, stream string) (platformlog.Bounds, error) {
	if p.pauser.await() != nil {
		return platformlog.Bounds{}, platformlog.ErrUnavailable
	}
	bounds, err := p.log.Bounds(ctx, stream)
	if p.pauser.await() != nil {
		return platformlog.Bounds{}, platformlog.ErrUnavailable
	}
	return bounds, err
}

// keyAt returns a key with the given creation time.
func keyAt(service string, created time.Time, unique uint64) Key {
	return Key{Service: service, Value: keyValue(created, unique)}
}

func keyValue(created time.Time, unique uint64) string {
	ms := uint64(created.UnixMilli())
	return fmt.Sprintf("%08x-%04x-7%03x-8%03x-%012x", ms>>16, ms&0xffff, unique>>60, unique>>48&0xfff, unique&0xffffffffffff)
}

// keeperOf returns the keeper of the key according to the process's state.
func (p *process) keeperOf(key Key) string {
	parsed, _ := shard.ParseKey(key.Service, key.Value)
	owner, _ := p.m.ownerOf(parsed)
	return owner.Instance
}

package once

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/once/shard"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
	"github.com/egretfield/egretfield/internal/standin/memlog"
)

const (
	// boundShard is the shard kept by the session under test, from timestamp
	// 1000.
	boundShard = 5
	boundEnd   = 9000
)

// boundManager returns a manager that isn't running. It keeps boundShard up to
// boundEnd and is limited to timestamps below 2000 by the witness with session
// 7.
func boundManager(t *testing.T) *Manager {
	c := newCluster(Options{}, noRetention)
	p := &process{c: c, self: Member{Instance: "n0", Incarnation: 1}, pauser: newPauser()}
	p.log = c.log.ForClient(memlog.Client{Name: "n0"})
	m, err := NewManager(Options{Log: p, ControlClient: p, Members: p})
	if err != nil {
		t.Fatal(err)
	}
	m.replica.state = shard.NewState(1)
	fold(m, &pb.KeeperRecord{Change: &pb.KeeperRecord_Takeover{Takeover: &pb.KeeperTakeover{
		Session: shard.SessionMessage(m.session),
		Claims:  []*pb.KeeperClaim{{Shard: boundShard, BeginMs: 1000}},
		EndMs:   boundEnd,
	}}})
	m.bindings.add(bindingOf(7, 1))
	m.tables.limits.Grant.Set(2000)
	fold(m, witnessRecord(m, 7, 1))
	return m
}

func bindingOf(session, epoch uint64) *binding {
	return &binding{session: &pb.KeeperSession{Id: session}, epoch: epoch}
}

func witnessRecord(m *Manager, by, epoch uint64) *pb.KeeperRecord {
	return &pb.KeeperRecord{Change: &pb.KeeperRecord_Witness{Witness: &pb.KeeperWitness{
		Session: m.session.ID, Epoch: epoch, Witness: &pb.KeeperSession{Id: by}, MadeMs: uint64(time.Now().UnixMilli()),
	}}}
}

func fenceRecord(m *Manager, epoch uint64) *pb.KeeperRecord {
	return &pb.KeeperRecord{Change: &pb.KeeperRecord_Fence{Fence: &pb.KeeperFence{
		Session: m.session.ID, Epoch: epoch, EndMs: 2000,
	}}}
}

func fold(m *Manager, record *pb.KeeperRecord) {
	data, _ := proto.Marshal(record)
	offset := m.replica.state.Folded() + 1
	m.replica.apply([]platformlog.Record{{Offset: offset, Time: time.Now(), Data: data}})
}

func TestFenceEndsTheTablesBeforeTheLimitIsLifted(t *testing.T) {
	m := boundManager(t)
	if m.tables.find(boundShard, 2000) == nil {
		t.Fatal("the table doesn't extend to the interval's end")
	}
	fold(m, fenceRecord(m, 1))
	if m.tables.find(boundShard, 2000) != nil {
		t.Error("the table covers timestamps past the fence")
	}
	if _, limited := m.tables.limits.Grant.End(); limited {
		t.Error("the session is still limited, though no witness may fence it")
	}
}

func TestLimitHoldsWhileAWitnessMayBeNamed(t *testing.T) {
	m := boundManager(t)
	m.bindings.add(bindingOf(8, 2))
	fold(m, fenceRecord(m, 1))
	if _, limited := m.tables.limits.Grant.End(); !limited {
		t.Error("the limit was lifted, but witness 8 may still appear in the log")
	}
	fold(m, witnessRecord(m, 8, 2))
	if last := m.bindings.last(); last == nil || last.session.Id != 8 {
		t.Errorf("binding %+v, want the witness in the log", last)
	}
	m.bindings.add(bindingOf(9, 2))
	fold(m, &pb.KeeperRecord{})
	if last := m.bindings.last(); last.session.Id != 8 {
		t.Errorf("binding to witness %d, but the log has another witness with that epoch", last.session.Id)
	}
}

func TestTablesPastTheLimitAreNotAccepted(t *testing.T) {
	m := boundManager(t)
	sealed := &pb.KeeperTable{
		Interval: &pb.KeeperInterval{Shard: boundShard + 1, BeginMs: 1000, EndMs: 8000},
		FloorMs:  3000,
	}
	args := &pb.KeeperTransfer{From: 3, To: m.session.ID, Transfer: 4, Tables: []*pb.KeeperTable{sealed}}
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	if accepted, err := m.accept(ctx, args); accepted || err == nil {
		t.Fatalf("accepted %v, error %v: a fence would free timestamps below 3000", accepted, err)
	}
	m.tables.limits.Grant.Raise(3000)
	if accepted, err := m.accept(ctx, args); !accepted || err != nil {
		t.Fatalf("accepted %v, error %v", accepted, err)
	}
}

func TestSealedRegistrationAgreesToNothingMore(t *testing.T) {
	r := registrations{byID: make(map[registrationID]*registration)}
	id := registrationID{session: 1, epoch: 1}
	if !r.extend(id, 2000) {
		t.Fatal("a new registration was refused")
	}
	soon := time.Now().Add(absentSilenceLimit / 2)
	if _, sealed := r.seal(id, true, soon); sealed {
		t.Error("sealed a session that extended its limit recently")
	}
	late := time.Now().Add(2 * absentSilenceLimit)
	if _, sealed := r.seal(id, false, late); sealed {
		t.Error("sealed a session whose process is live")
	}
	if end, sealed := r.seal(id, true, late); !sealed || end != 2000 {
		t.Errorf("sealed %v at %d, want true at 2000", sealed, end)
	}
	if r.extend(id, 3000) {
		t.Error("a sealed registration agreed to a higher limit")
	}
}

// A keeper that was paused while it was fenced asks with the epoch that it knows.
func TestFencedSessionGetsNoNewRegistration(t *testing.T) {
	m := boundManager(t)
	ctx := context.Background()
	m.runContext.Store(&ctx)
	const paused, pausedShard = 9, boundShard + 1
	fold(m, &pb.KeeperRecord{Change: &pb.KeeperRecord_Takeover{Takeover: &pb.KeeperTakeover{
		Session: &pb.KeeperSession{Id: paused},
		Claims:  []*pb.KeeperClaim{{Shard: pausedShard, BeginMs: 1000}},
		EndMs:   boundEnd,
	}}})
	fold(m, &pb.KeeperRecord{Change: &pb.KeeperRecord_Witness{Witness: &pb.KeeperWitness{
		Session: paused, Epoch: 1, Witness: shard.SessionMessage(m.session), MadeMs: uint64(time.Now().UnixMilli()),
	}}})
	extend := func(end shard.Timestamp) bool {
		reply := &pb.KeeperExtendReply{}
		if err := (&RPC{m: m}).Extend(&pb.KeeperExtend{Session: paused, Epoch: 1, To: m.session.ID, EndMs: end}, reply); err != nil {
			t.Fatal(err)
		}
		return reply.Accepted
	}
	if !extend(2000) {
		t.Fatal("the witness refused the session that the log names")
	}
	fold(m, &pb.KeeperRecord{Change: &pb.KeeperRecord_Fence{Fence: &pb.KeeperFence{Session: paused, Epoch: 1, EndMs: 2000}}})
	m.replica.view(func(state *shard.State) { m.registrations.prune(state, m.session.ID) })
	if extend(3000) {
		t.Error("the witness agreed to a higher limit after the log showed the fence")
	}
}

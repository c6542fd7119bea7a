package configlog

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
	"github.com/egretfield/egretfield/internal/standin/memlog"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
)

const machineNodes = 4

// machineRetention is the retention of the log: longer than any step, so that the
// oracle reads every record, and shorter than healTime.
const machineRetention = 45 * time.Second

// healTime is the time within which the nodes must agree after all faults have ended.
const healTime = time.Minute

// oracle is the reference model: it computes the versions from the whole stream in the
// simplest way.
type oracle struct {
	next           int64
	version        int64
	preset         string
	depth          uint32
	presets        []string
	accepted       map[string]int64
	seen           map[string]bool
	acceptedByBase map[int64]int
	state          map[int64]string // preset and depth by version
	drains         map[string]int64 // offset of the last drain or undrain by instance
	drained        map[string]bool  // instances drained now
	draining       map[int64]string // instances drained by offset of the last change
}

// read applies the records appended since the last call.
func (o *oracle) read(log platformlog.Log) error {
	for {
		records, err := log.Read(context.Background(), platformlog.ConfigStream, o.next, 100, 0)
		if errors.Is(err, platformlog.ErrTrimmed) {
			bounds, err := log.Bounds(context.Background(), platformlog.ConfigStream)
			if err != nil {
				return err
			}
			o.next = bounds.First
			continue
		}
		if err != nil || len(records) == 0 {
			return err
		}
		for _, record := range records {
			o.apply(record)
			o.next = record.Offset + 1
		}
	}
}

// apply applies one record unless it is malformed, a repetition or refused.
func (o *oracle) apply(record platformlog.Record) {
	message := &pb.ConfigRecord{}
	if proto.Unmarshal(record.Data, message) != nil || o.seen[message.GetId()] {
		return
	}
	o.seen[message.GetId()] = true
	if drain := message.GetDrain(); drain != nil {
		o.drain(record.Offset, message)
		return
	}
	if message.GetBaseVersion() != o.version {
		return
	}
	preset, depth, presets := o.preset, o.depth, o.presets
	if publish := message.GetPublish(); publish != nil {
		depth, presets = publish.GetConfig().GetMaxCallDepth(), nil
		for _, known := range publish.GetConfig().GetPresets() {
			presets = append(presets, known.GetName())
		}
		if o.version == 0 {
			preset = publish.GetConfig().GetDefaultPreset()
		}
	} else if use := message.GetUsePreset(); use != nil {
		preset = use.GetPreset()
	} else {
		return
	}
	if !slices.Contains(presets, preset) {
		return
	}
	o.acceptedByBase[message.GetBaseVersion()]++
	o.version, o.preset, o.depth, o.presets = record.Offset, preset, depth, presets
	o.accepted[message.GetId()] = record.Offset
	o.state[record.Offset] = fmt.Sprint(preset, depth)
	o.draining[record.Offset] = fmt.Sprint(o.drained)
}

// drain applies a drain or undrain unless it conflicts with one of the same instance
// after its base.
func (o *oracle) drain(offset int64, message *pb.ConfigRecord) {
	instance := message.GetDrain().GetInstance()
	if o.version == 0 || o.drains[instance] > message.GetBaseVersion() {
		return
	}
	o.drains[instance] = offset
	delete(o.drained, instance)
	if message.GetDrain().GetDrain() {
		o.drained[instance] = true
	}
	o.accepted[message.GetId()] = offset
	o.draining[offset] = fmt.Sprint(o.drained)
}

// machine is a rapid state machine that runs a fleet under faults and compares it with
// the oracle.
type machine struct {
	fleet   *fleet
	oracle  *oracle
	pending []*pb.ConfigRecord
	cut     map[string]bool
	faults  *pb.LogFaults
}

func newMachine() *machine {
	m := &machine{
		fleet: newFleet(memlog.Options{KeepFor: machineRetention}),
		oracle: &oracle{next: 1, accepted: map[string]int64{}, seen: map[string]bool{},
			acceptedByBase: map[int64]int{}, state: map[int64]string{},
			drains: map[string]int64{}, drained: map[string]bool{}, draining: map[int64]string{}},
		cut:    map[string]bool{},
		faults: &pb.LogFaults{},
	}
	m.fleet.startAll(machineNodes)
	return m
}

func (m *machine) node(t *rapid.T) *node {
	name := fmt.Sprintf("n%d", rapid.IntRange(0, machineNodes-1).Draw(t, "node"))
	return m.fleet.nodes[name]
}

// change submits one to three records concurrently through random nodes, often on the
// same base.
func (m *machine) change(t *rapid.T) {
	racers := rapid.IntRange(1, 3).Draw(t, "racers")
	done := make(chan struct{}, racers)
	for range racers {
		n := m.node(t)
		base := max(0, n.follower.State().Version()-int64(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "behind")))
		record := publishOf(base, testConfig(rapid.Uint32Range(1, 64).Draw(t, "depth")))
		if rapid.Bool().Draw(t, "switch") {
			record = presetOf(base, rapid.SampledFrom([]string{"ordinary", "peak", "night"}).Draw(t, "preset"))
		}
		m.pending = append(m.pending, record)
		go func() {
			m.submit(t, n, record)
			done <- struct{}{}
		}()
	}
	for range racers {
		<-done
	}
}

func (m *machine) submit(t *rapid.T, n *node, record *pb.ConfigRecord) {
	ctx, cancel := context.WithTimeout(m.fleet.ctx, 10*time.Second)
	defer cancel()
	entry, err := n.publisher.Submit(ctx, record)
	if err == nil && !entry.GetAccepted() || entry.GetAccepted() && err != nil {
		t.Errorf("entry %v with error %v", entry, err)
	}
	if errkind.KindOf(err) == kindLogUnavailable && m.onLog(record) {
		t.Errorf("record %s is on the log, but its error says that it was not appended", record.GetId())
	}
}

// onLog reports whether the log holds record.
func (m *machine) onLog(record *pb.ConfigRecord) bool {
	records, _ := m.fleet.log.Read(context.Background(), platformlog.ConfigStream, m.oracle.next, 1000, 0)
	data, _ := proto.Marshal(record)
	return slices.ContainsFunc(records, func(r platformlog.Record) bool { return slices.Equal(r.Data, data) })
}

// drain drains or undrains an instance, sometimes on an old base.
func (m *machine) drain(t *rapid.T) {
	n := m.node(t)
	behind := rapid.SampledFrom([]int64{0, 0, 5}).Draw(t, "behind")
	base := max(0, n.follower.State().FoldedThrough-behind)
	record := drainOf(base, m.node(t).name, rapid.Bool().Draw(t, "drain"))
	m.pending = append(m.pending, record)
	m.submit(t, n, record)
}

// repeat submits a record again that was submitted before.
func (m *machine) repeat(t *rapid.T) {
	if len(m.pending) == 0 {
		t.Skip("nothing to repeat")
	}
	m.submit(t, m.node(t), rapid.SampledFrom(m.pending).Draw(t, "record"))
}

// appendInvalid appends a malformed record or an inconsistent snapshot, which no
// publisher writes.
func (m *machine) appendInvalid(t *rapid.T) {
	invalidSnapshot := proto.CloneOf(m.node(t).follower.State().Snapshot())
	invalidSnapshot.FoldedThrough += rapid.Int64Range(-3, 3).Draw(t, "shift")
	invalidSnapshot.State.Preset = rapid.SampledFrom([]string{"ordinary", "night"}).Draw(t, "preset")
	invalidSnapshot.State.Version = 0
	data, _ := proto.Marshal(snapshotRecord(invalidSnapshot))
	if rapid.Bool().Draw(t, "malformed") {
		data = []byte{0xff, 1, 2}
	}
	_, _ = m.fleet.log.Append(context.Background(), platformlog.ConfigStream, data)
}

func (m *machine) setFaults(t *rapid.T) {
	m.faults = &pb.LogFaults{
		SlowMs:      rapid.SampledFrom([]uint32{0, 0, 200, 3000}).Draw(t, "slow"),
		LoseAnswers: rapid.Uint32Range(0, 2).Draw(t, "lose"),
		Duplicate:   rapid.Uint32Range(0, 2).Draw(t, "duplicate"),
	}
	for i := range machineNodes {
		if rapid.SampledFrom([]int{0, 0, 1}).Draw(t, "down") == 1 {
			m.faults.DownFor = append(m.faults.DownFor, fmt.Sprintf("n%d", i))
		}
	}
	m.fleet.log.SetFaults(m.faults)
}

func (m *machine) setCut(t *rapid.T) {
	cut := map[string]bool{}
	for i := range machineNodes {
		cut[fmt.Sprintf("n%d", i)] = rapid.SampledFrom([]int{0, 0, 1}).Draw(t, "cut") == 1
	}
	m.fleet.net.SetPartition(func(from, to string) bool { return cut[from] != cut[to] })
}

// snapshotAndTrim appends a snapshot of the state of a node and trims the records that
// it covers.
func (m *machine) snapshotAndTrim(t *rapid.T) {
	n := m.node(t)
	state := n.follower.State()
	data, _ := proto.Marshal(snapshotRecord(state.Snapshot()))
	if state.Version() == 0 {
		t.Skip("nothing to snapshot")
	}
	_, err := m.fleet.log.Append(context.Background(), platformlog.ConfigStream, data)
	if err != nil && !errors.Is(err, platformlog.ErrUnknownOutcome) {
		t.Fatal(err)
	}
	m.check(t)
	m.fleet.log.Trim(platformlog.ConfigStream, state.FoldedThrough+1)
}

// restart restarts a node. If it can reach the log, the first version it has in force
// must not be older than the last one accepted before the restart.
func (m *machine) restart(t *rapid.T) {
	n := m.node(t)
	m.fleet.kill(n)
	m.check(t)
	atLeast := m.oracle.version
	reachable := !slices.Contains(m.faults.GetDownFor(), n.name)
	again := m.fleet.start(n.name)
	time.Sleep(20 * time.Second)
	if versions := again.versionsInForce(); reachable && len(versions) > 0 && versions[0] < atLeast {
		t.Fatalf("%s restarted with version %d, accepted before: %d", n.name, versions[0], atLeast)
	}
}

func (m *machine) wait(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
}

// check compares the state in force on every node with the oracle. Versions must not go
// back, and at most one change may be accepted on each.
func (m *machine) check(t *rapid.T) {
	if err := m.oracle.read(m.fleet.log); err != nil && !errors.Is(err, platformlog.ErrTrimmed) {
		t.Fatal(err)
	}
	for base, count := range m.oracle.acceptedByBase {
		if count > 1 {
			t.Fatalf("%d changes accepted on version %d", count, base)
		}
	}
	for name, n := range m.fleet.nodes {
		if versions := n.versionsInForce(); !slices.IsSorted(versions) {
			t.Fatalf("%s went back to an older version: %v", name, versions)
		}
		if state := n.follower.Current(); state != nil {
			got := fmt.Sprint(state.GetPreset(), state.GetConfig().GetMaxCallDepth())
			if want := m.oracle.state[state.GetVersion()]; got != want {
				t.Fatalf("%s has %q at version %d, expected %q", name, got, state.GetVersion(), want)
			}
			drained := map[string]bool{}
			for _, instance := range state.GetDraining() {
				drained[instance] = true
			}
			if got, want := fmt.Sprint(drained), m.oracle.draining[state.GetApplied()]; got != want {
				t.Fatalf("%s drains %s at offset %d, expected %s", name, got, state.GetApplied(), want)
			}
		}
	}
}

// heal ends all faults and checks that every node then has the state of the oracle.
func (m *machine) heal(t *rapid.T) {
	m.fleet.log.SetFaults(&pb.LogFaults{})
	m.fleet.net.SetPartition(nil)
	time.Sleep(healTime)
	m.check(t)
	first := m.fleet.nodes["n0"].follower.State()
	for name, n := range m.fleet.nodes {
		if !statesEqual(first, n.follower.State()) {
			t.Fatalf("%s differs from n0: %v, %v", name, n.follower.Digest(), first.Digest())
		}
		if n.follower.Current().GetVersion() != m.oracle.version {
			t.Fatalf("%s has version %d in force, expected %d", name, n.follower.Current().GetVersion(), m.oracle.version)
		}
	}
	for _, record := range m.pending {
		entry := first.Find(record.GetId())
		if entry.GetAccepted() && m.oracle.accepted[record.GetId()] != entry.GetOffset() {
			t.Fatalf("%v accepted, expected %d", entry, m.oracle.accepted[record.GetId()])
		}
	}
	m.checkLateNode(t)
}

// checkLateNode starts a node that has only the log to read, from which every change is
// trimmed by now. The node must get the version in force from the snapshots.
func (m *machine) checkLateNode(t *rapid.T) {
	late := m.fleet.start("late", func(o *Options) { o.ControlClient, o.Addresses = nil, nil })
	time.Sleep(time.Second)
	if got := late.follower.Current().GetVersion(); got != m.oracle.version {
		t.Fatalf("a late node has version %d in force, expected %d", got, m.oracle.version)
	}
	m.check(t)
}

func TestMachine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		virtualtime.Test(t, func(*testing.T) {
			m := newMachine()
			defer m.fleet.close()
			rt.Repeat(map[string]func(*rapid.T){
				"change":  m.change,
				"change2": m.change,
				"repeat":  m.repeat,
				"garbage": m.appendInvalid,
				"faults":  m.setFaults,
				"drain":   m.drain,
				"cut":     m.setCut,
				"trim":    m.snapshotAndTrim,
				"restart": m.restart,
				"wait":    m.wait,
				"":        m.check,
			})
			m.heal(rt)
		})
	})
}

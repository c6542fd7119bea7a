package member

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sort"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
)

// agreementTimeout is how long the fleet may take to agree after the last fault.
const agreementTimeout = 3 * time.Minute

// TestMain sets a fixed seed for rapid; EGRETFIELD_RAPID_SEED or rapid's flags
// override it for longer runs.
func TestMain(m *testing.M) {
	seed := os.Getenv("EGRETFIELD_RAPID_SEED")
	if seed == "" {
		seed = "1"
	}
	flag.Set("rapid.seed", seed)
	flag.Set("rapid.checks", "150")
	flag.Set("rapid.steps", "50")
	flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// claim is what an instance has published about its own liveness.
type claim struct {
	incarnation uint64
	refutations uint32
}

// belief is the liveness of an instance in a node's table.
type belief struct {
	claim
	rank int
}

// machine runs random actions on a fleet and checks every node's table.
type machine struct {
	c        *cluster
	running  []*node
	stopped  []*node
	claim    map[string]claim            // highest by instance
	belief   map[*node]map[string]belief // last seen, by instance
	nextName int
}

func newMachine() *machine {
	m := &machine{c: newCluster(), claim: map[string]claim{}, belief: map[*node]map[string]belief{}}
	m.c.lossRate, m.c.lateRate = 0.02, 0.03
	for range 4 {
		m.join(m.nextName % 2)
	}
	return m
}

// join starts a new instance.
func (m *machine) join(region int) {
	name := fmt.Sprintf("n%02d", m.nextName)
	m.nextName++
	m.add(m.c.start(name, name+":1", fmt.Sprintf("region%d", region), m.seeds()...))
}

// seeds returns the addresses of the running nodes.
func (m *machine) seeds() []string {
	var out []string
	for _, n := range m.running {
		out = append(out, n.address)
	}
	return out
}

func (m *machine) add(n *node) {
	m.running = append(m.running, n)
	m.belief[n] = map[string]belief{}
}

// remove moves a node from the running to the stopped nodes.
func (m *machine) remove(n *node) {
	for i, other := range m.running {
		if other == n {
			m.running = append(m.running[:i:i], m.running[i+1:]...)
		}
	}
	m.stopped = append(m.stopped, n)
	delete(m.belief, n)
}

// noteClaim updates the highest claim of a node's instance.
func (m *machine) noteClaim(n *node) {
	n.list.mu.Lock()
	defer n.list.mu.Unlock()
	own := n.list.own()
	now := claim{own.Member.Incarnation, own.Refutations}
	if before := m.claim[n.instance]; before.less(now) {
		m.claim[n.instance] = now
	}
}

func (s claim) less(other claim) bool {
	if s.incarnation != other.incarnation {
		return s.incarnation < other.incarnation
	}
	return s.refutations < other.refutations
}

// check requires that no node's belief about an instance goes back to an earlier
// one, exceeds the instance's own highest claim, or disappears.
func (m *machine) check(t *rapid.T) {
	synctest.Wait()
	for _, n := range m.running {
		m.noteClaim(n)
	}
	for _, n := range m.running {
		for instance, now := range n.beliefs() {
			before := m.belief[n][instance]
			if now.claim.less(before.claim) || now.claim == before.claim && now.rank < before.rank {
				t.Fatalf("%s went back to an earlier belief about %s: %+v after %+v", n.instance, instance, now, before)
			}
			if m.claim[instance].less(now.claim) {
				t.Fatalf("%s believes %+v of %s, which claimed only %+v", n.instance, now, instance, m.claim[instance])
			}
			m.belief[n][instance] = now
		}
		for instance := range m.belief[n] {
			if n.list.View().Get(instance) == nil {
				t.Fatalf("%s forgot %s", n.instance, instance)
			}
		}
	}
}

// beliefs returns the beliefs in a node's table about the other instances.
func (n *node) beliefs() map[string]belief {
	n.list.mu.Lock()
	defer n.list.mu.Unlock()
	out := map[string]belief{}
	for instance, e := range n.list.table.entries {
		r := e.record
		if instance != n.instance {
			out[instance] = belief{claim{r.Member.Incarnation, r.Refutations}, accusationRank(r.Liveness)}
		}
	}
	return out
}

// disagreement describes the first difference between the views and the state of
// the fleet, or returns "" if there is none.
func (m *machine) disagreement() string {
	for _, n := range m.running {
		if h := n.list.Health(); !h.Ready {
			return n.instance + " isn't ready: " + h.Reason
		}
		v := n.list.View()
		for _, other := range m.running {
			self, got := other.list.Self(), v.Get(other.instance)
			if got == nil || got.Incarnation != self.Incarnation || got.Status != self.Status {
				return fmt.Sprintf("%s believes %v of the running %v", n.instance, got, self)
			}
		}
		for _, other := range m.stopped {
			got := v.Get(other.instance)
			if got != nil && got.Status != dead && got.Status != left && !m.isRunning(other.instance) {
				return fmt.Sprintf("%s believes %v, which isn't running", n.instance, got)
			}
		}
	}
	return ""
}

func (m *machine) isRunning(instance string) bool {
	for _, n := range m.running {
		if n.instance == instance {
			return true
		}
	}
	return false
}

// actions returns the actions of the state machine; "" is run after each of them.
func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": m.check,
		"wait": func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(50, 8000).Draw(t, "ms")) * time.Millisecond)
		},
		"join": func(t *rapid.T) {
			if len(m.running) >= 8 {
				t.Skip("enough nodes")
			}
			m.join(rapid.IntRange(0, 1).Draw(t, "region"))
		},
		"crash":   func(t *rapid.T) { m.crash(m.pick(t)) },
		"leave":   m.leave,
		"restart": m.restart,
		"replace": m.replace,
		"drain": func(t *rapid.T) {
			m.pick(t).list.SetDraining(rapid.Bool().Draw(t, "drain"))
		},
		"pause": func(t *rapid.T) {
			n := m.pick(t)
			n.pause()
			time.Sleep(time.Duration(rapid.IntRange(100, 9000).Draw(t, "ms")) * time.Millisecond)
			n.resume()
		},
		"cut": func(*rapid.T) {
			m.c.setPartition(func(a, b *node) bool { return a.region != b.region })
		},
		"heal": func(*rapid.T) { m.c.setPartition(nil) },
		"log":  func(t *rapid.T) { m.c.log.setDown(rapid.Bool().Draw(t, "down")) },
		"report": func(t *rapid.T) {
			target := m.pick(t).list.Self()
			m.pick(t).list.Report(target.Instance, target.Incarnation, false)
		},
	}
}

// pick draws a running node.
func (m *machine) pick(t *rapid.T) *node {
	return m.running[rapid.IntRange(0, len(m.running)-1).Draw(t, "node")]
}

func (m *machine) crash(n *node) {
	m.remove(n)
	m.c.crash(n)
	m.noteClaim(n)
	if len(m.running) == 0 {
		m.join(0)
	}
}

func (m *machine) leave(t *rapid.T) {
	n := m.pick(t)
	n.list.Leave(context.Background())
	m.crash(n)
}

// restart restarts a stopped instance, at its own or another address and with an
// incarnation above or below that of its last start.
func (m *machine) restart(t *rapid.T) {
	n := m.pickStopped(t)
	if n == nil || m.isRunning(n.instance) {
		t.Skip("nothing to restart")
	}
	m.c.incarnations++
	incarnation, address := m.c.incarnations, n.address
	if rapid.Bool().Draw(t, "clock behind") {
		incarnation = m.claim[n.instance].incarnation - 1
	}
	if m.addressInUse(address) || rapid.Bool().Draw(t, "elsewhere") {
		m.nextName++
		address = fmt.Sprintf("x%02d:1", m.nextName)
	}
	m.add(m.c.startAt(incarnation, n.instance, address, n.region, m.seeds()...))
}

// replace starts a new instance at the address of a stopped one.
func (m *machine) replace(t *rapid.T) {
	n := m.pickStopped(t)
	if n == nil || m.addressInUse(n.address) {
		t.Skip("nothing to replace")
	}
	name := fmt.Sprintf("n%02d", m.nextName)
	m.nextName++
	m.add(m.c.start(name, n.address, n.region, m.seeds()...))
}

// pickStopped draws a stopped node; nil if there is none.
func (m *machine) pickStopped(t *rapid.T) *node {
	if len(m.stopped) == 0 {
		return nil
	}
	return m.stopped[rapid.IntRange(0, len(m.stopped)-1).Draw(t, "down")]
}

func (m *machine) addressInUse(address string) bool {
	m.c.mu.Lock()
	defer m.c.mu.Unlock()
	return m.c.nodes[address] != nil
}

// settle ends all faults and requires that the views come to agree.
func (m *machine) settle(t *rapid.T) {
	m.c.setPartition(nil)
	m.c.log.setDown(false)
	m.c.mu.Lock()
	m.c.lossRate, m.c.lateRate = 0, 0
	m.c.mu.Unlock()
	if await(agreementTimeout, func() bool { return m.disagreement() == "" }) < 0 {
		t.Fatalf("no agreement: %s\n%s", m.disagreement(), m.describe())
	}
	m.check(t)
}

// describe returns the beliefs of all running nodes for a failure message.
func (m *machine) describe() string {
	out := ""
	for _, n := range m.running {
		out += fmt.Sprintf("%s at %s, %s\n", n.instance, n.address, n.list.Health().Reason)
		var lines []string
		for instance, b := range n.beliefs() {
			r := n.list.View().Get(instance)
			lines = append(lines, fmt.Sprintf("    %s at %s %+v %v\n", instance, r.ControlAddress, b, r.Status))
		}
		sort.Strings(lines)
		for _, line := range lines {
			out += line
		}
	}
	return out
}

func TestMachine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		virtualtime.Test(t, func(*testing.T) {
			m := newMachine()
			defer m.c.close()
			rt.Repeat(m.actions())
			m.settle(rt)
		})
	})
}

func TestJoinIsSemilattice(t *testing.T) {
	record := rapid.Custom(func(t *rapid.T) *pb.MemberRecord {
		return &pb.MemberRecord{
			Member: &pb.Member{
				Instance:    "a",
				Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
				Revision:    rapid.Uint64Range(1, 3).Draw(t, "revision"),
				Status:      alive,
			},
			Refutations: rapid.Uint32Range(0, 2).Draw(t, "refutations"),
			Liveness:    rapid.SampledFrom([]pb.MemberStatus{alive, suspect, dead}).Draw(t, "liveness"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := record.Draw(t, "a"), record.Draw(t, "b"), record.Draw(t, "c")
		switch {
		case !sameState(join(a, b), join(b, a)):
			t.Fatalf("not commutative")
		case !sameState(join(join(a, b), c), join(a, join(b, c))):
			t.Fatalf("not associative")
		case !sameState(join(a, a), a):
			t.Fatalf("not idempotent")
		}
	})
}

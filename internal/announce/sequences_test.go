package announce

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/egretfield/egretfield/internal/pb"
)

var sequenceLength = flag.Int("sequence-length", 4, "length of the sequences of TestSequences")

// Starts of the backend server of one node. The second one has replaced the first when a
// sequence begins, but either may not have been heard yet.
const (
	firstStart = iota
	secondStart
	startCount
)

// sequenceModel plays a sequence of events to a receiver and checks what it believes against
// docs/design/server-statements.md.
type sequenceModel struct {
	// sameID: both starts have one id. bornInDelete: deregistrations name the start time.
	sameID, bornInDelete bool
	// disable undoes one rule of the receiver after each event; nil: none.
	disable func(*sequenceModel)

	now       time.Time
	receiver  *Receiver
	current   Change
	recorded  []*pb.Departure // the log's
	restoring bool            // the node has started and not read the log yet
	// deleted and drained are what the node has acknowledged of each start, drained only by
	// this start of the node.
	deleted, drained [startCount]bool
	deletedAt        [startCount]time.Time
	// latest is the start that was heard last and is later than all others heard in the
	// last Lifetime; -1: none.
	latest      int
	latestHeard time.Time
	foreignAt   time.Time
}

var sequencesBegin = time.Unix(100_000, 0)

func (m *sequenceModel) reset() {
	*m = sequenceModel{sameID: m.sameID, bornInDelete: m.bornInDelete, disable: m.disable, now: sequencesBegin, latest: -1}
	m.startNode()
}

// startNode starts the node, which knows nothing until it has read the log.
func (m *sequenceModel) startNode() {
	m.receiver = NewReceiver(func(c Change) { m.current = c })
	m.receiver.OnDeparture(func(departures []*pb.Departure) { m.recorded = append(m.recorded, departures...) })
	m.current, m.restoring = Change{}, true
	m.drained, m.latest = [startCount]bool{}, -1
}

func (m *sequenceModel) id(start int) string {
	if m.sameID {
		return "s"
	}
	return fmt.Sprint("s", start)
}

func (m *sequenceModel) bornMs(start int) int64 {
	return sequencesBegin.Add(time.Duration(start-startCount) * 10 * time.Second).UnixMilli()
}

func (m *sequenceModel) statement(start int, sequence uint64) Statement {
	s := newStatement(m.id(start), m.bornMs(start), sequence)
	s.Server.Slots = uint32(1 + start) // tells the starts apart in a Change
	return s
}

func (m *sequenceModel) ready(start int, sequence uint64) {
	if m.receiver.HandleStatement(m.now, m.statement(start, sequence)) == VerdictAccepted {
		m.noteHeard(start)
	}
}

// drain delivers the third statement of a start, which says that it drains.
func (m *sequenceModel) drain(start int) {
	s := m.statement(start, 3)
	s.Leaving = true
	if m.receiver.HandleStatement(m.now, s) == VerdictAccepted {
		m.drained[start] = true
		m.noteHeard(start)
	}
}

func (m *sequenceModel) noteHeard(start int) { m.latest, m.latestHeard = start, m.now }

func (m *sequenceModel) deregister(start int) {
	s := Statement{ID: m.id(start), Gone: true}
	if m.bornInDelete {
		s.StartedUnixMs = m.bornMs(start)
	}
	m.receiver.HandleStatement(m.now, s)
	m.deleted[start], m.deletedAt[start] = true, m.now
	if m.sameID && !m.bornInDelete {
		// It may be any start of the id that was made before.
		m.deleted, m.deletedAt = [startCount]bool{true, true}, [startCount]time.Time{m.now, m.now}
	}
}

// foreign delivers a statement of another writer: one without a start time, or one with the
// id of no server and a later start time.
func (m *sequenceModel) foreign(startedMs int64) {
	s := newStatement("foreign", startedMs, 9)
	before := m.current
	if m.receiver.HandleStatement(m.now, s) == VerdictAccepted {
		m.latest, m.foreignAt = -1, m.now
	} else if m.current != before {
		panic("a statement that wasn't accepted changed the state")
	}
}

// event is one step of a sequence.
type event struct {
	name string
	do   func(m *sequenceModel)
}

var sequenceEvents = []event{
	{"A1", func(m *sequenceModel) { m.ready(firstStart, 1) }},
	{"A2", func(m *sequenceModel) { m.ready(firstStart, 2) }},
	{"A drains", func(m *sequenceModel) { m.drain(firstStart) }},
	{"A deregisters", func(m *sequenceModel) { m.deregister(firstStart) }},
	{"B1", func(m *sequenceModel) { m.ready(secondStart, 1) }},
	{"B2", func(m *sequenceModel) { m.ready(secondStart, 2) }},
	{"B drains", func(m *sequenceModel) { m.drain(secondStart) }},
	{"B deregisters", func(m *sequenceModel) { m.deregister(secondStart) }},
	{"foreign without start", func(m *sequenceModel) { m.foreign(0) }},
	{"foreign", func(m *sequenceModel) { m.foreign(m.now.UnixMilli()) }},
	{"found dead", func(m *sequenceModel) { m.receiver.Forget() }},
	{"restart", func(m *sequenceModel) { m.startNode() }},
	{"2 s", func(m *sequenceModel) { m.wait(2 * time.Second) }},
	{"6 s", func(m *sequenceModel) { m.wait(6 * time.Second) }},
}

func (m *sequenceModel) wait(d time.Duration) {
	m.now = m.now.Add(d)
	m.receiver.expire(m.now)
}

// step plays an event. The record of the log arrives after the first event of a start.
func (m *sequenceModel) step(e event) {
	wasRestoring := m.restoring
	e.do(m)
	if wasRestoring && m.restoring && e.name != "restart" {
		m.receiver.Restore(m.now, m.recorded)
		m.restoring = false
	}
	if m.disable != nil {
		m.disable(m)
	}
}

// isReady reports whether the node sends requests to a start.
func (m *sequenceModel) isReady(start int) bool {
	return m.current.Server != nil && !m.current.Leaving && m.current.Server.GetServerId() == m.id(start) &&
		m.current.Server.GetSlots() == uint32(1+start)
}

// check returns the rule that doesn't hold; "" if all do.
func (m *sequenceModel) check() string {
	for start := range startCount {
		if !m.isReady(start) || m.restoring {
			continue
		}
		if m.deleted[start] && m.now.Sub(m.deletedAt[start]) < maxLateness {
			return "1: a server is in use after its deregistration"
		}
		if m.drained[start] && m.latest == start {
			return "2: a server is in use after it said that it drains, by a late statement"
		}
	}
	if m.isReady(firstStart) && m.latest == secondStart && m.now.Sub(m.latestHeard) < Lifetime {
		return "3: a statement of the earlier start replaced the later one"
	}
	if m.current.Server.GetServerId() == "foreign" && m.now.Sub(m.foreignAt) >= Lifetime {
		return "4: a foreign server is believed although it isn't heard"
	}
	return ""
}

// checkRecovers lets the second start go on with statements every 2 s and returns the rule
// that doesn't hold.
func (m *sequenceModel) checkRecovers() string {
	if m.deleted[secondStart] && !m.sameID || m.drained[secondStart] {
		return "" // nobody goes on
	}
	bound := Lifetime + 2*time.Second
	if m.deleted[secondStart] {
		if m.bornInDelete {
			return ""
		}
		bound = maxLateness + 2*time.Second // the first start's deregistration named no start time
	}
	begin := m.now
	for sequence := uint64(4); m.now.Sub(begin) <= bound; sequence++ {
		m.wait(2 * time.Second)
		m.step(event{do: func(m *sequenceModel) { m.ready(secondStart, sequence) }})
	}
	if !m.isReady(secondStart) && !m.isExactlyDeleted(secondStart) {
		return "5: a server that goes on isn't in use"
	}
	return ""
}

// isExactlyDeleted reports whether a deregistration without a start time came while the start
// was the latest one, which it then means.
func (m *sequenceModel) isExactlyDeleted(start int) bool {
	return m.receiver.ended.has(m.id(start), m.bornMs(start))
}

// playAll plays all sequences of a length and returns the number of sequences and states,
// and the first sequence that breaks a rule.
func (m *sequenceModel) playAll(length int) (sequences int, broken string) {
	indices := make([]int, length)
	for {
		m.reset()
		sequences++
		for i, index := range indices {
			m.step(sequenceEvents[index])
			if rule := m.check(); rule != "" {
				return sequences, describe(indices[:i+1]) + ": " + rule
			}
		}
		if rule := m.checkRecovers(); rule != "" {
			return sequences, describe(indices) + ": " + rule
		}
		position := length - 1
		for ; position >= 0; position-- {
			indices[position]++
			if indices[position] < len(sequenceEvents) {
				break
			}
			indices[position] = 0
		}
		if position < 0 {
			return sequences, ""
		}
	}
}

func describe(indices []int) string {
	var names []string
	for _, index := range indices {
		names = append(names, sequenceEvents[index].name)
	}
	return strings.Join(names, ", ")
}

// TestSequences plays all sequences of late, repeated and lost statements of two starts of a
// server and of another writer, with restarts of the node anywhere.
func TestSequences(t *testing.T) {
	total, begin := 0, time.Now()
	for _, sameID := range []bool{false, true} {
		for _, bornInDelete := range []bool{false, true} {
			m := &sequenceModel{sameID: sameID, bornInDelete: bornInDelete}
			sequences, broken := m.playAll(*sequenceLength)
			total += sequences
			if broken != "" {
				t.Errorf("same id %v, deregistrations with a start time %v: %s", sameID, bornInDelete, broken)
			}
		}
	}
	t.Logf("%d sequences of %d events in %s", total, *sequenceLength, time.Since(begin).Round(time.Millisecond))
}

// TestSequencesFindFaults switches off one rule of the receiver at a time.
func TestSequencesFindFaults(t *testing.T) {
	for name, disable := range map[string]func(*sequenceModel){
		"deregistered starts are remembered": func(m *sequenceModel) { m.receiver.ended.starts = nil },
		"departures are recorded":            func(m *sequenceModel) { m.recorded = nil },
		"statements are ordered":             func(m *sequenceModel) { m.receiver.position = position{} },
		"a silent server loses its place":    func(m *sequenceModel) { m.receiver.lastHeard = m.now },
		"a drain outlasts a silence":         func(m *sequenceModel) { m.receiver.leaving.starts = nil },
		"an announcement expires": func(m *sequenceModel) {
			if m.current.Server == nil && m.receiver.position.id == "foreign" {
				m.current = Change{Server: &pb.Announcement{ServerId: "foreign"}}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := &sequenceModel{disable: disable}
			sequences, broken := m.playAll(4)
			if broken == "" {
				t.Fatalf("no rule broken in %d sequences", sequences)
			}
			t.Logf("after %d sequences: %s", sequences, broken)
		})
	}
}

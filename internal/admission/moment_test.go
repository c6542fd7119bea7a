package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestMoments(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	Convey("Without a report a server is taken to work as usual", t, func() {
		m := &Moments{}
		m.Note(start, 0)
		So(m.Now(start), ShouldResemble, usualMoment)
		So(m.Varies(start), ShouldBeFalse)
	})
	Convey("A slow moment is expected to last as long as those before", t, func() {
		m := &Moments{}
		m.Note(at(0), 100)
		m.Note(at(10), 400)
		So(m.Now(at(10)), ShouldResemble, Moment{Stretch: 4, Relief: firstMoment})
		m.Note(at(90), 400)
		m.Note(at(110), 100)
		So(m.Now(at(110)), ShouldResemble, usualMoment)
		m.Note(at(200), 400)
		So(m.Now(at(200)).Relief, ShouldEqual, 100*time.Millisecond)
	})
	Convey("One that outlasts the others is expected to last as long again", t, func() {
		m := &Moments{length: 50 * time.Millisecond}
		for ms := 0; ms <= 1000; ms += 50 {
			m.Note(at(ms), 400)
		}
		So(m.Now(at(1000)).Relief, ShouldEqual, time.Second)
	})
	Convey("An old report says nothing", t, func() {
		m := &Moments{}
		m.Note(at(0), 400)
		So(m.Now(start.Add(momentAge+1)), ShouldResemble, usualMoment)
	})
	Convey("A speed that stays the same isn't worth asking for", t, func() {
		m := &Moments{}
		m.Note(at(0), 400)
		m.Note(at(10), 400)
		So(m.Varies(at(10)), ShouldBeFalse)
		m.Note(at(20), 100)
		So(m.Varies(at(30)), ShouldBeTrue)
		So(m.Varies(at(20).Add(calmTime)), ShouldBeFalse)
	})
}

func TestBeginInSlowMoment(t *testing.T) {
	slow := Moment{Stretch: 4, Relief: 200 * time.Millisecond}
	Convey("A long request waits for the end of a slow moment, a short one doesn't", t, func() {
		q := &Queue{}
		q.SetLimits(2, 10)
		q.SetMoment(slow)
		verdict, long, _ := q.Arrive(start, request(low, 300*time.Millisecond, time.Second, 2*time.Second))
		So(verdict, ShouldEqual, Queued)
		So(q.Next(start), ShouldBeNil)
		So(q.Held(), ShouldEqual, 1)
		verdict, short, _ := q.Arrive(start, request(low, 30*time.Millisecond, time.Second, 2*time.Second))
		So(verdict, ShouldEqual, Queued)
		So(q.Next(start), ShouldEqual, short)
		q.SetMoment(usualMoment)
		So(q.Next(start), ShouldEqual, long)
	})
	Convey("A request that would miss its deadline by waiting begins at once", t, func() {
		q := &Queue{}
		q.SetLimits(2, 10)
		q.SetMoment(slow)
		verdict, _, _ := q.Arrive(start, request(low, 300*time.Millisecond, time.Second, 450*time.Millisecond))
		So(verdict, ShouldEqual, Granted)
	})
}

// sharedMachine is a server on a machine whose neighbours make the requests that
// begin in a slow moment take several times as long.
type sharedMachine struct {
	random *rand.Rand
	queue  Queue
	now    time.Time
	slow   bool
	ends   []time.Time
	onTime int
	asked  int
}

const (
	sharedStep   = 5 * time.Millisecond
	sharedWork   = 230 * time.Millisecond
	sharedTarget = time.Second
	sharedBudget = 3 * time.Second
	sharedSlots  = 9
)

// step lets one step of time pass with that many requests arriving a second.
func (s *sharedMachine) step(perSecond float64, told bool) {
	s.now = s.now.Add(sharedStep)
	if s.random.Float64() < float64(sharedStep)/float64(300*time.Millisecond) {
		s.slow = s.random.Float64() < 0.35
	}
	s.queue.SetMoment(usualMoment)
	if told && s.slow {
		s.queue.SetMoment(Moment{Stretch: 4, Relief: 300 * time.Millisecond})
	}
	kept := s.ends[:0]
	for _, end := range s.ends {
		if end.After(s.now) {
			kept = append(kept, end)
			continue
		}
		s.queue.Release()
	}
	s.ends = kept
	s.queue.Expired(s.now)
	for t := s.queue.Next(s.now); t != nil; t = s.queue.Next(s.now) {
		s.begin(&t.Request)
	}
	if s.random.Float64() >= perSecond*sharedStep.Seconds() {
		return
	}
	s.asked++
	r := Request{Class: low, Work: sharedWork, Target: s.now.Add(sharedTarget), Deadline: s.now.Add(sharedBudget)}
	if verdict, _, _ := s.queue.Arrive(s.now, r); verdict == Granted {
		s.begin(&r)
	}
}

func (s *sharedMachine) begin(r *Request) {
	end := s.now.Add(r.Work)
	if s.slow {
		end = s.now.Add(4 * r.Work)
	}
	s.ends = append(s.ends, end)
	if !end.After(r.Target) {
		s.onTime++
	}
}

// TestSharedMachineUnderLoad replays a server of nine slots whose machine is four
// times slower for a third of the time, under three quarters of the load that it
// could take without that.
func TestSharedMachineUnderLoad(t *testing.T) {
	share := func(told bool) float64 {
		s := &sharedMachine{random: rand.New(rand.NewPCG(1, 2)), now: start}
		s.queue.SetLimits(sharedSlots, 12)
		s.queue.SetHold(sharedWork)
		for range 60 * int(time.Second/sharedStep) {
			s.step(0.6*sharedSlots/sharedWork.Seconds(), told)
		}
		return float64(s.onTime) / float64(s.asked)
	}
	Convey("Far more requests meet their target when slow moments are known", t, func() {
		unknown, known := share(false), share(true)
		t.Logf("on time: %.2f with slow moments unknown, %.2f known", unknown, known)
		So(known, ShouldBeGreaterThan, unknown+0.1)
		So(known, ShouldBeGreaterThan, 0.8)
	})
}

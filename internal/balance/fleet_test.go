package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/egretfield/egretfield/internal/pb"
)

const (
	fakeSlots            = 10
	fakeMeanServiceTime  = 5 * time.Millisecond
	fakeTailShare        = 0.004
	fakeTailFactor       = 8
	fakeFailureTime      = 100 * time.Microsecond
	fakeMaxAttempts      = 3
	entriesPerDataCentre = 4
)

// layout is the location of the fake endpoints and entries and the delays between them.
type layout struct {
	name                 string
	regions              [][]string // data centres of each region
	interDataCentreDelay time.Duration
	interRegionDelay     time.Duration
	localDelay           time.Duration
}

// association and templarik are deployments of three regions with two data centres each.
var association = layout{
	name:       "association",
	regions:    [][]string{{"taipei", "hsinchu"}, {"taichung", "changhua"}, {"kaohsiung", "tainan"}},
	localDelay: 100 * time.Microsecond, interDataCentreDelay: time.Millisecond, interRegionDelay: 20 * time.Millisecond,
}

var templarik = layout{
	name:       "templarik",
	regions:    [][]string{{"tln-a", "tln-b"}, {"tartu-a", "tartu-b"}, {"hel-a", "hel-b"}},
	localDelay: 100 * time.Microsecond, interDataCentreDelay: 1500 * time.Microsecond, interRegionDelay: 20 * time.Millisecond,
}

// fakeServer is a backend server behind a gate, with slots, a bounded queue, and faults
// that a scenario can enable.
type fakeServer struct {
	endpoint     *Endpoint
	running      int
	queue        []*fakeRequest
	slowdown     float64
	failing      bool
	misreporting bool
	executed     int
}

// fakeEntry is an entry with its own balancer.
type fakeEntry struct {
	region, dataCentre string
	balancer           Balancer
}

// fakeRequest is a request and its latest attempt.
type fakeRequest struct {
	entry         *fakeEntry
	intendedStart time.Time
	attemptStart  time.Time
	tried         []string
	server        *fakeServer
	finish        func(Outcome)
}

// event is a function that runs at a time; seq keeps the order of events with equal
// times.
type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// fleet simulates entries and fake servers in one goroutine, in virtual time.
type fleet struct {
	layout  layout
	rand    *rand.Rand
	events  eventHeap
	seq     int
	servers []*fakeServer
	entries []*fakeEntry
	totals
}

// totals are the counts and latencies of a run.
type totals struct {
	latency     *hdrhistogram.Histogram // microseconds from the intended send time
	failed      int
	refused     int
	crossRegion int
	done        int
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

// add adds the totals of another run.
func (t *totals) add(other *totals) {
	t.latency.Merge(other.latency)
	t.failed += other.failed
	t.refused += other.refused
	t.crossRegion += other.crossRegion
	t.done += other.done
}

// newFleet creates one server and entriesPerDataCentre entries in each data centre.
func newFleet(l layout, policy string, settings *pb.Policy, seed uint64) *fleet {
	f := &fleet{layout: l, rand: rand.New(rand.NewPCG(seed, seed))}
	f.latency = newHistogram()
	for r, dataCentres := range l.regions {
		for _, dataCentre := range dataCentres {
			f.servers = append(f.servers, &fakeServer{slowdown: 1, endpoint: &Endpoint{
				Instance: dataCentre, Incarnation: 1, Region: fmt.Sprint(r), DataCentre: dataCentre, Slots: fakeSlots,
			}})
		}
	}
	endpoints := make([]*Endpoint, 0, len(f.servers))
	for _, s := range f.servers {
		endpoints = append(endpoints, s.endpoint)
	}
	for i := range len(f.servers) * entriesPerDataCentre {
		e := endpoints[i%len(endpoints)]
		b, err := New(policy, Options{Region: e.Region, Rand: f.rand.Uint64})
		if err != nil {
			panic(err)
		}
		b.Update(endpoints, settings)
		f.entries = append(f.entries, &fakeEntry{region: e.Region, dataCentre: e.DataCentre, balancer: b})
	}
	return f
}

// capacity returns the total capacity of the servers in requests per second.
func (f *fleet) capacity() float64 {
	mean := fakeMeanServiceTime.Seconds() * (1 + fakeTailShare*(fakeTailFactor-1))
	return float64(len(f.servers)*fakeSlots) / mean
}

// schedule schedules run after d.
func (f *fleet) schedule(d time.Duration, run func()) {
	f.seq++
	heap.Push(&f.events, event{at: timeNow().Add(d), seq: f.seq, run: run})
}

// sendLoad sends requests through random entries as a Poisson process, at the rate in
// requests per second.
func (f *fleet) sendLoad(rate float64, length time.Duration, entries []*fakeEntry) {
	for t := time.Duration(0); t < length; {
		t += time.Duration(f.rand.ExpFloat64() / rate * float64(time.Second))
		entry := entries[f.rand.IntN(len(entries))]
		at := timeNow().Add(t)
		f.schedule(t, func() { f.send(&fakeRequest{entry: entry, intendedStart: at}) })
	}
}

// run runs events in order of time until none is left.
func (f *fleet) run() {
	for len(f.events) > 0 {
		next := heap.Pop(&f.events).(event)
		if wait := next.at.Sub(timeNow()); wait > 0 {
			time.Sleep(wait)
		}
		next.run()
	}
}

// send starts the next attempt of a request.
func (f *fleet) send(r *fakeRequest) {
	endpoint, err := r.entry.balancer.Pick(PickInfo{Tried: r.tried, BodyBytes: 0})
	if err != nil {
		f.recordEnd(r, false)
		return
	}
	r.attemptStart = timeNow()
	r.server = f.serverOf(endpoint)
	r.tried = append(r.tried, endpoint.Instance)
	delay := f.delay(r.entry, r.server)
	if delay == f.layout.interRegionDelay {
		f.crossRegion++
	}
	f.schedule(delay, func() { f.handleArrival(r, delay) })
}

func (f *fleet) serverOf(endpoint *Endpoint) *fakeServer {
	for _, s := range f.servers {
		if s.endpoint.Instance == endpoint.Instance {
			return s
		}
	}
	panic("unknown endpoint")
}

func (f *fleet) delay(e *fakeEntry, s *fakeServer) time.Duration {
	switch {
	case e.dataCentre == s.endpoint.DataCentre:
		return f.layout.localDelay
	case e.region == s.endpoint.Region:
		return f.layout.interDataCentreDelay
	}
	return f.layout.interRegionDelay
}

// handleArrival handles the arrival of a request at the gate.
func (f *fleet) handleArrival(r *fakeRequest, delay time.Duration) {
	s := r.server
	r.finish = func(o Outcome) { f.sendAnswer(r, o, delay) }
	switch {
	case s.running < fakeSlots:
		f.execute(s, r)
	case len(s.queue) < fakeSlots:
		s.queue = append(s.queue, r)
	default:
		f.refused++
		r.finish(OutcomeRefused)
	}
}

// execute runs a request in a slot.
func (f *fleet) execute(s *fakeServer, r *fakeRequest) {
	s.running++
	s.executed++
	length, outcome := f.serviceTime(s), OutcomeSuccess
	if s.failing {
		length, outcome = fakeFailureTime, OutcomeFailure
	}
	f.schedule(length, func() {
		s.running--
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			f.execute(s, next)
		}
		r.finish(outcome)
	})
}

func (f *fleet) serviceTime(s *fakeServer) time.Duration {
	base := float64(fakeMeanServiceTime) * (0.5 + f.rand.Float64())
	if f.rand.Float64() < fakeTailShare {
		base *= fakeTailFactor
	}
	return time.Duration(base * s.slowdown)
}

// sendAnswer sends the outcome and the current load report back to the entry.
func (f *fleet) sendAnswer(r *fakeRequest, o Outcome, delay time.Duration) {
	s := r.server
	load := &pb.LoadReport{Incarnation: 1, InFlight: uint32(s.running), Queued: uint32(len(s.queue)), Slots: fakeSlots}
	if s.misreporting {
		load.InFlight, load.Queued = 0, 0
	}
	f.schedule(delay, func() {
		r.entry.balancer.Done(Result{
			Endpoint: s.endpoint, Outcome: o, Latency: timeNow().Sub(r.attemptStart), Report: load, Bytes: assumedRequestBytes,
		})
		switch {
		case o == OutcomeSuccess:
			f.recordEnd(r, true)
		case len(r.tried) < fakeMaxAttempts:
			f.send(r)
		default:
			f.recordEnd(r, false)
		}
	})
}

// recordEnd records the end of a request.
func (f *fleet) recordEnd(r *fakeRequest, ok bool) {
	f.done++
	if !ok {
		f.failed++
		return
	}
	elapsed := timeNow().Sub(r.intendedStart)
	if err := f.latency.RecordValue(max(1, int64(elapsed/time.Microsecond))); err != nil {
		panic(err)
	}
}

// summary is the result of one policy in one scenario.
type summary struct {
	p50, p99, p999 float64 // milliseconds
	// The other fields are in percent of the requests: requests without an answer,
	// refused attempts, and attempts sent to another region.
	failed, refusedAttempts, crossRegion float64
}

func (t *totals) summary() summary {
	ms := func(q float64) float64 { return float64(t.latency.ValueAtQuantile(q)) / 1000 }
	share := func(n int) float64 { return math.Round(1e5*float64(n)/float64(t.done)) / 1e3 }
	return summary{ms(50), ms(99), ms(99.9), share(t.failed), share(t.refused), share(t.crossRegion)}
}

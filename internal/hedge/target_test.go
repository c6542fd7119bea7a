package hedge

import (
	"container/heap"
	"flag"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/admission"
	"github.com/egretfield/egretfield/internal/balance"
)

var targetTable = flag.Bool("hedge.table", false, "log the table of rules of docs/design/hedging.md")

// rule decides when a hedged attempt is sent in the simulation with a target.
type rule string

const (
	ruleNone     rule = "none"
	ruleQuantile rule = "quantile, two medians"
	ruleMedian   rule = "target less a median"
	ruleOffer    rule = "twice the offered latency"
	rulePrice    rule = "gain above a price"
)

const (
	targetServers = 24
	targetSlots   = 14
	targetEntries = 24
	targetTime    = 800 * time.Millisecond
	// targetDeadline is the timeout of requests.
	targetDeadline = 3 * time.Second
	targetWarmup   = 10 * time.Second
	workTime       = 260 * time.Millisecond
	callTime       = 74 * time.Millisecond
	// requestSpread and attemptSpread are the standard deviations of the logarithm of the
	// service time: the part that a second attempt has in common, and the part of its own.
	requestSpread = 0.3
	attemptSpread = 0.5
	// meanSlowdown is the mean length of a slowdown, a third of the time.
	meanSlowdown = 275 * time.Millisecond
)

// targetServer is a server behind the queue of its gate.
type targetServer struct {
	queue     admission.Queue
	times     admission.ServiceTimes
	slowdown  admission.Slowdown
	slowSince time.Duration
	speeds    *rand.Rand
	waiting   map[*admission.Ticket]*targetAttempt
	endpoint  *balance.Endpoint
}

type targetAttempt struct {
	request   *targetRequest
	server    *targetServer
	ticket    *admission.Ticket
	expected  time.Duration
	running   bool
	ended     bool
	startedAt time.Duration
	factor    float64
}

type targetRequest struct {
	at       time.Duration
	work     float64 // service time at normal speed, without the attempt's part
	plan     Plan
	service  *Service
	attempts []*targetAttempt
	answered bool
}

type targetSim struct {
	sim
	rule     rule
	duration time.Duration
	rate     float64 // requests a second
	// demand is a source of its own, so that all rules meet the same requests and speeds.
	demand  *rand.Rand
	servers []*targetServer
}

// runTargetSim runs servers on machines that are up to four times slower for 50 to 500 ms, a
// third of the time. Gates know the present speed of their server.
func runTargetSim(r rule, percent uint32, load float64, duration time.Duration) *simResult {
	s := &targetSim{sim: sim{rand: rand.New(rand.NewPCG(3, 5))}, rule: r, duration: duration, demand: rand.New(rand.NewPCG(7, 9))}
	normalSpeed := 2.0/3 + math.Log(4)/9 // mean over the time
	s.rate = load * targetServers * targetSlots * normalSpeed / (workTime.Seconds()*math.Exp((requestSpread*requestSpread+attemptSpread*attemptSpread)/2) + callTime.Seconds()/2)
	for i := range targetServers {
		server := &targetServer{speeds: rand.New(rand.NewPCG(uint64(i), 1)), slowdown: admission.Slowdown{Factor: 1}, waiting: map[*admission.Ticket]*targetAttempt{}, endpoint: &balance.Endpoint{}}
		server.queue.SetLimits(targetSlots, targetSlots)
		s.servers = append(s.servers, server)
		s.after(time.Duration(server.speeds.Float64()*float64(time.Second)), func() { s.changeSpeed(server) })
	}
	for range targetEntries {
		service := &Service{}
		service.SetLimits(percent, 0, targetEntries)
		s.entries = append(s.entries, service)
	}
	s.after(0, s.arrive)
	for len(s.events) > 0 && s.now < duration+targetDeadline {
		event := heap.Pop(&s.events).(simEvent)
		s.now = event.at
		event.do()
	}
	return &s.result
}

func (s *targetSim) changeSpeed(server *targetServer) {
	length := time.Duration(server.speeds.ExpFloat64() * float64(2*meanSlowdown))
	if server.slowdown.Factor > 1 {
		server.slowdown = admission.Slowdown{Factor: 1}
	} else {
		server.slowdown.Factor = 1 + 3*server.speeds.Float64()
		server.slowSince = s.now
		length = 50*time.Millisecond + time.Duration(server.speeds.Float64()*float64(450*time.Millisecond))
	}
	s.after(length, func() { s.changeSpeed(server) })
	s.next(server)
}

// update gives the queue what the gate knows.
func (s *targetSim) update(server *targetServer) {
	if server.slowdown.Factor > 1 {
		server.slowdown.Remaining = max(meanSlowdown, s.now-server.slowSince)
	}
	server.queue.SetMeanHoldTime(server.times.MeanHoldTime())
	server.queue.SetSlowdown(server.slowdown)
}

func (s *targetSim) queueRequest(r *targetRequest, server *targetServer) admission.Request {
	return admission.Request{Target: simEpoch.Add(r.at + targetTime), Deadline: simEpoch.Add(r.at + targetDeadline), ServiceTime: server.times.Estimate("")}
}

// offers asks count random servers.
func (s *targetSim) offers(r *targetRequest, count int) (offers []balance.EndpointOffer, servers map[*balance.Endpoint]*targetServer) {
	servers = map[*balance.Endpoint]*targetServer{}
	for _, i := range s.rand.Perm(targetServers)[:count] {
		server := s.servers[i]
		s.update(server)
		e := server.queue.Estimate(s.clock(), s.queueRequest(r, server))
		offers = append(offers, balance.EndpointOffer{Endpoint: server.endpoint, Refused: e.Refused, Wait: e.Wait, ServiceTime: e.ServiceTime, AtOnce: e.AtOnce, RoundTrip: simRoundTrip})
		servers[server.endpoint] = server
	}
	return offers, servers
}

func (s *targetSim) arrive() {
	if s.now >= s.duration {
		return
	}
	s.after(time.Duration(s.demand.ExpFloat64()/s.rate*float64(time.Second)), s.arrive)
	r := &targetRequest{at: s.now, service: s.entries[s.demand.IntN(targetEntries)], work: float64(workTime) * math.Exp(requestSpread*s.demand.NormFloat64())}
	r.service.RecordRequest()
	s.result.requests++
	offers, servers := s.offers(r, 5)
	if slices.ContainsFunc(offers[:2], func(o balance.EndpointOffer) bool { return o.AtOnce }) {
		offers = offers[:2]
	}
	var best *balance.EndpointOffer
	for i := range offers {
		if o := &offers[i]; !o.Refused && (best == nil || o.ExpectedLatency() < best.ExpectedLatency()) {
			best = o
		}
	}
	if best == nil || !s.send(r, servers[best.Endpoint], best.ExpectedLatency()) {
		r.service.RecordRefusal(s.clock())
		s.result.refused++
		return
	}
	route, now := r.service.Route(""), s.clock()
	request := Request{Expected: best.ExpectedLatency(), UntilTarget: targetTime, UntilDeadline: targetDeadline}
	plan, ok := r.service.Plan(now, route, request)
	d, known := route.distributions(now)
	if !known {
		return
	}
	quantile, median := d.delay(r.service.percent.Load())
	switch s.rule {
	case ruleNone:
		ok = false
	case ruleQuantile:
		ok = true
		plan.Delay = quantile
	case ruleMedian:
		ok = true
		plan.Delay = min(quantile, targetTime-median)
	case ruleOffer:
		ok = true
		plan.Delay = min(quantile, 2*best.ExpectedLatency())
	}
	if ok {
		r.plan = plan
		s.after(plan.Delay, func() { s.late(r) })
	}
}

func (s *targetSim) send(r *targetRequest, server *targetServer, expected time.Duration) bool {
	s.update(server)
	a := &targetAttempt{request: r, server: server, expected: expected}
	verdict, ticket, _ := server.queue.Admit(s.clock(), s.queueRequest(r, server)) // without classes, none is evicted
	if verdict == admission.Refused {
		return false
	}
	r.attempts = append(r.attempts, a)
	if verdict == admission.Granted {
		s.start(a)
	} else {
		a.ticket, server.waiting[ticket] = ticket, a
	}
	return true
}

func (s *targetSim) start(a *targetAttempt) {
	a.running, a.startedAt, a.factor = true, s.now, a.server.slowdown.Factor
	took := a.request.work * math.Exp(attemptSpread*s.rand.NormFloat64()) * a.factor
	if s.rand.IntN(2) == 0 {
		call := float64(callTime) * math.Exp(attemptSpread*s.rand.NormFloat64())
		if s.rand.IntN(3) == 0 {
			call *= 1 + 3*s.rand.Float64()
		}
		took += call
	}
	s.after(time.Duration(took), func() { s.finish(a) })
}

func (s *targetSim) next(server *targetServer) {
	s.update(server)
	for _, t := range server.queue.RemoveExpired(s.clock()) {
		server.waiting[t].ended = true
		delete(server.waiting, t)
		s.result.refused++
	}
	for t := server.queue.Next(s.clock()); t != nil; t = server.queue.Next(s.clock()) {
		a := server.waiting[t]
		delete(server.waiting, t)
		s.start(a)
	}
}

func (s *targetSim) finish(a *targetAttempt) {
	if a.ended {
		return
	}
	s.end(a)
	a.server.times.Add(s.clock(), "", s.now-a.startedAt, a.factor)
	r := a.request
	r.answered = true
	first := r.attempts[0]
	if a == first {
		r.service.Route("").Record(s.clock(), s.now-r.at, a.expected)
	} else {
		s.result.won++
		r.service.Route("").RecordCancelled(s.clock(), s.now-r.at, first.expected)
	}
	for _, other := range r.attempts {
		if !other.ended {
			s.end(other)
		}
	}
	if r.at >= targetWarmup {
		s.result.latencies = append(s.result.latencies, s.now-r.at)
	}
}

func (s *targetSim) end(a *targetAttempt) {
	a.ended = true
	if a.running {
		a.server.queue.Release(0, "")
	} else {
		a.server.queue.Cancel(a.ticket)
		delete(a.server.waiting, a.ticket)
	}
	s.next(a.server)
}

func (s *targetSim) late(r *targetRequest) {
	if r.answered || len(r.attempts) > 1 {
		return
	}
	if reason := r.service.Check(Situation{Now: s.clock(), Deadline: simEpoch.Add(r.at + targetDeadline), Median: r.plan.Median}); reason != None {
		s.result.withheld[reason]++
		return
	}
	offers, servers := s.offers(r, 3)
	offers = slices.DeleteFunc(offers, func(o balance.EndpointOffer) bool { return servers[o.Endpoint] == r.attempts[0].server })
	chosen := Choose(offers, "", "first", targetDeadline)
	switch {
	case chosen == nil:
		r.service.RecordNoOffer()
		s.result.withheld[NoOffer]++
	case !r.service.Take():
		s.result.withheld[Limit]++
	default:
		if s.send(r, servers[chosen.Endpoint], chosen.ExpectedLatency()) {
			s.result.sent++
		}
	}
}

// latePercent returns the share of the requests answered after the target or not at all.
func (r *simResult) latePercent() float64 {
	late := 0
	for _, latency := range r.latencies {
		if latency > targetTime {
			late++
		}
	}
	return 100 * float64(late+r.refused) / float64(len(r.latencies)+r.refused)
}

// TestPlan guards against hedged attempts for requests that will be answered in time anyway,
// too late for the target, or not at all for those that are known to be late.
func TestPlan(t *testing.T) {
	Convey("Given a route of which one request in ten takes three times as long as expected", t, func() {
		s, now := &Service{}, simEpoch
		s.SetLimits(10, 0, 1)
		route, usual := s.Route(""), 300*time.Millisecond
		for i := range 1000 {
			route.Record(now, usual*time.Duration(1+i%10/9*2), usual)
		}
		plan := func(expected, untilTarget time.Duration) (Plan, bool) {
			return s.Plan(now, route, Request{Expected: expected, UntilTarget: untilTarget, UntilDeadline: 2 * time.Second})
		}
		Convey("an attempt is planned when the others are answered and the second can still be in time", func() {
			p, ok := plan(usual, 800*time.Millisecond)
			So(ok, ShouldBeTrue)
			So(p.Delay, ShouldBeBetween, usual, 500*time.Millisecond)
		})
		Convey("it is sent sooner where the offer tells that the first is late", func() {
			p, ok := plan(3*usual, 800*time.Millisecond)
			So(ok, ShouldBeTrue)
			So(p.Delay, ShouldBeLessThan, usual/2)
		})
		Convey("where even late requests meet the target, it is planned after all of them", func() {
			p, ok := plan(usual, 1500*time.Millisecond)
			So(ok, ShouldBeTrue)
			So(p.Delay, ShouldBeBetween, 3*usual, 1500*time.Millisecond-usual)
		})
		Convey("only the requests that gain most are hedged at a high price, and more again when it falls", func() {
			for range 50 {
				s.Take()
			}
			_, ok := plan(usual, 800*time.Millisecond)
			So(ok, ShouldBeFalse)
			_, ok = plan(3*usual, 800*time.Millisecond)
			So(ok, ShouldBeTrue)
			for range 500 {
				s.RecordRequest()
			}
			_, ok = plan(usual, 800*time.Millisecond)
			So(ok, ShouldBeTrue)
		})
	})
	Convey("Attempts cancelled before the target don't lower the share of late ones", t, func() {
		h := &histogram{}
		for i := range 1000 {
			h.add([]time.Duration{300, 300, 300, 300, 300, 300, 300, 300, 500, 900}[i%10]*time.Millisecond, i%10 == 8)
		}
		So(newCensoredSurvival(h, &histogram{}).after(800*time.Millisecond), ShouldAlmostEqual, 0.2, 0.01)
		So(newSurvival(h, &histogram{}).after(800*time.Millisecond), ShouldAlmostEqual, 0.1, 0.01)
	})
}

// TestTarget guards against hedged attempts that help no response, and against harm by them
// where capacity is short.
func TestTarget(t *testing.T) {
	before, after := runTargetSim(ruleNone, 10, 0.4, time.Minute), runTargetSim(rulePrice, 10, 0.4, time.Minute)
	Convey("With room, fewer responses are late and the slowest are faster", t, func() {
		So(after.latePercent(), ShouldBeLessThan, before.latePercent())
		So(after.quantile(0.99), ShouldBeLessThan, before.quantile(0.99)*97/100)
		So(after.sent, ShouldBeLessThanOrEqualTo, before.requests/10+targetEntries*minSavedTokens)
	})
	before, after = runTargetSim(ruleNone, 10, 0.95, time.Minute), runTargetSim(rulePrice, 10, 0.95, time.Minute)
	Convey("Short of capacity, few attempts are added, and no more responses are late", t, func() {
		So(after.latePercent(), ShouldBeLessThan, before.latePercent()*105/100)
		So(after.sent, ShouldBeLessThan, before.requests/20)
	})
}

// TestRules logs the table of rules.
func TestRules(t *testing.T) {
	if !*targetTable {
		t.Skip("only with -hedge.table")
	}
	for _, load := range []float64{0.4, 0.7, 0.95} {
		for _, percent := range []uint32{2, 5, 10} {
			for _, rule := range []rule{ruleNone, ruleQuantile, ruleMedian, ruleOffer, rulePrice} {
				if rule == ruleNone && percent > 2 {
					continue
				}
				t.Run("", func(t *testing.T) {
					t.Parallel()
					r := runTargetSim(rule, percent, load, 400*time.Second)
					t.Logf("| %.2f | %02d | %s | %.2f | %d | %d | %d | %.1f | %d | %d | %v |", load, percent, rule, r.latePercent(), r.quantile(0.5).Milliseconds(),
						r.quantile(0.99).Milliseconds(), r.quantile(0.999).Milliseconds(), 100*float64(r.sent)/float64(r.requests), r.won, r.refused, r.withheld[1:])
				})
			}
		}
	}
}

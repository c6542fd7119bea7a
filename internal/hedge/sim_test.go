package hedge

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/egretfield/egretfield/internal/balance"
)

// way is what the simulated entries do with a slow request.
type way int

const (
	// nothing waits for the answer.
	nothing way = iota
	// replace takes a request back that still waits at a gate, and places it anew.
	replace
	// hedged sends a second attempt as the product does.
	hedged
	// unlimited sends a second attempt after the delay without any of the checks.
	unlimited
)

const (
	simServers  = 24
	simSlots    = 4
	simEntries  = 6
	simDuration = 24 * time.Second
	// simWarmup is the time before which requests aren't measured.
	simWarmup   = 4 * time.Second
	simMedian   = 20 * time.Millisecond
	simDeadline = 2 * time.Second
	simMaxQueue = 8 // a gate refuses beyond it
	simPercent  = 10
	// simRoundTrip is the time of a question for offers.
	simRoundTrip = time.Millisecond
)

// simOptions describe a load.
type simOptions struct {
	way  way
	load float64 // demand as a share of the nominal capacity
	// slowServers is the number of servers that are slowFactor times slower.
	slowServers int
	slowFactor  float64
	// strayShare of the attempts take strayFactor times longer, wherever they run.
	strayShare, strayFactor float64
	// allSlowFrom and allSlowUntil bound a slowdown of all servers by slowFactor.
	allSlowFrom, allSlowUntil time.Duration
	percent                   uint32
}

type simResult struct {
	requests, arrivals, sent, won, replaced, refused int
	latencies                                        []time.Duration
	withheld                                         [ReasonCount]int
	// sentAt are the times of hedged attempts.
	sentAt []time.Duration
}

func (r *simResult) quantile(q float64) time.Duration {
	slices.Sort(r.latencies)
	return r.latencies[int(q*float64(len(r.latencies)-1))]
}

// addedPercent is the number of arrivals at servers beyond one for each request that was
// served, in percent of the requests.
func (r *simResult) addedPercent() float64 {
	return 100 * float64(r.arrivals-(r.requests-r.refused)) / float64(r.requests)
}

type simEvent struct {
	at time.Duration
	do func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type simServer struct {
	slow    bool
	running int
	queue   []*simAttempt
}

type simAttempt struct {
	request *simRequest
	server  *simServer
	started bool
	ended   bool
	hedged  bool
}

type simRequest struct {
	at       time.Duration
	entry    int
	answered bool
	attempts []*simAttempt
}

type sim struct {
	options simOptions
	rand    *rand.Rand
	now     time.Duration
	events  simEvents
	servers []*simServer
	entries []*Service
	result  simResult
}

var simEpoch = time.Unix(1_700_000_000, 0)

func (s *sim) clock() time.Time { return simEpoch.Add(s.now) }

func (s *sim) after(d time.Duration, do func()) {
	heap.Push(&s.events, simEvent{s.now + d, do})
}

// runSim runs a load against servers with FIFO queues. Requests go to the shorter queue of
// two random servers, without knowledge of the servers' speeds.
func runSim(options simOptions) *simResult {
	s := &sim{options: options, rand: rand.New(rand.NewPCG(7, 11))}
	if s.options.percent == 0 {
		s.options.percent = simPercent
	}
	for i := range simServers {
		s.servers = append(s.servers, &simServer{slow: i < options.slowServers})
	}
	for range simEntries {
		service := &Service{}
		service.SetLimits(s.options.percent, 0, simEntries)
		s.entries = append(s.entries, service)
	}
	s.after(0, s.arrive)
	for len(s.events) > 0 {
		event := heap.Pop(&s.events).(simEvent)
		s.now = event.at
		event.do()
	}
	return &s.result
}

func (s *sim) arrive() {
	if s.now >= simDuration {
		return
	}
	perSecond := s.options.load * simServers * simSlots / (simMedian.Seconds() * math.Exp(0.3*0.3/2))
	s.after(time.Duration(s.rand.ExpFloat64()/perSecond*float64(time.Second)), s.arrive)
	request := &simRequest{at: s.now, entry: s.rand.IntN(simEntries)}
	service := s.entries[request.entry]
	service.RecordRequest()
	s.result.requests++
	server := s.shorter(nil)
	if !s.send(request, server, false) {
		service.RecordRefusal(s.clock())
		s.result.refused++
		return
	}
	plan, ok := service.Plan(s.clock(), service.Route(""), Request{UntilTarget: simDeadline, UntilDeadline: simDeadline})
	if ok && s.options.way != nothing {
		s.after(plan.Delay, func() { s.late(request, plan.Median) })
	}
}

// shorter returns the server with the shorter queue of two random ones.
func (s *sim) shorter(except *simServer) *simServer {
	var best *simServer
	for range 2 {
		server := s.servers[s.rand.IntN(simServers)]
		if server == except {
			continue
		}
		if best == nil || server.running+len(server.queue) < best.running+len(best.queue) {
			best = server
		}
	}
	return best
}

func (s *sim) send(request *simRequest, server *simServer, hedged bool) bool {
	if server == nil || len(server.queue) >= simMaxQueue {
		return false
	}
	s.result.arrivals++
	a := &simAttempt{request: request, server: server, hedged: hedged}
	request.attempts = append(request.attempts, a)
	server.queue = append(server.queue, a)
	s.startWaiting(server)
	return true
}

func (s *sim) startWaiting(server *simServer) {
	for server.running < simSlots && len(server.queue) > 0 {
		a := server.queue[0]
		server.queue = server.queue[1:]
		server.running++
		a.started = true
		s.after(s.serviceTime(server), func() { s.finish(a) })
	}
}

func (s *sim) serviceTime(server *simServer) time.Duration {
	factor := math.Exp(0.3 * s.rand.NormFloat64())
	if server.slow || (s.options.allSlowFrom <= s.now && s.now < s.options.allSlowUntil) {
		factor *= s.options.slowFactor
	}
	if s.rand.Float64() < s.options.strayShare {
		factor *= s.options.strayFactor
	}
	return time.Duration(factor * float64(simMedian))
}

func (s *sim) finish(a *simAttempt) {
	if a.ended {
		return
	}
	s.end(a)
	request := a.request
	request.answered = true
	if a.hedged {
		s.result.won++
	}
	service := s.entries[request.entry]
	service.Route("").Record(s.clock(), s.now-request.at, 0)
	for _, other := range request.attempts {
		if !other.ended {
			s.end(other)
		}
	}
	if request.at >= simWarmup {
		s.result.latencies = append(s.result.latencies, s.now-request.at)
	}
}

// end frees what an attempt holds at its server.
func (s *sim) end(a *simAttempt) {
	a.ended = true
	if a.started {
		a.server.running--
	} else {
		a.server.queue = slices.DeleteFunc(a.server.queue, func(waiting *simAttempt) bool { return waiting == a })
	}
	s.startWaiting(a.server)
}

// late handles a request that is unusually slow.
func (s *sim) late(request *simRequest, median time.Duration) {
	if request.answered {
		return
	}
	first := request.attempts[0]
	service := s.entries[request.entry]
	switch s.options.way {
	case replace:
		server := s.shorter(first.server)
		if !first.started && server != nil && server.running < simSlots {
			s.end(first)
			s.result.replaced++
			s.result.arrivals--
			s.send(request, server, false)
		}
	case unlimited:
		if s.send(request, s.shorter(first.server), true) {
			s.result.sent++
		}
	case hedged:
		deadline := simEpoch.Add(request.at + simDeadline)
		if reason := service.Check(Situation{Now: s.clock(), Deadline: deadline, Median: median}); reason != None {
			s.result.withheld[reason]++
			return
		}
		s.after(simRoundTrip, func() { s.hedge(request) })
	}
}

// hedge asks two random servers for offers and sends a hedged attempt.
func (s *sim) hedge(request *simRequest) {
	if request.answered {
		return
	}
	var offers []balance.EndpointOffer
	servers := map[*balance.Endpoint]*simServer{}
	for range 2 {
		server := s.servers[s.rand.IntN(simServers)]
		if server == request.attempts[0].server {
			continue
		}
		endpoint := &balance.Endpoint{Region: "north", Instance: "other"}
		servers[endpoint] = server
		// A gate offers to start at once only at the server's normal speed.
		slow := server.slow || (s.options.allSlowFrom <= s.now && s.now < s.options.allSlowUntil)
		offers = append(offers, balance.EndpointOffer{Endpoint: endpoint, AtOnce: server.running < simSlots && !slow})
	}
	chosen := Choose(offers, "north", "first", simDeadline)
	switch {
	case chosen == nil:
		s.result.withheld[NoOffer]++
	case !s.entries[request.entry].Take():
		s.result.withheld[Limit]++
	default:
		s.send(request, servers[chosen.Endpoint], true)
		s.result.sent++
		s.result.sentAt = append(s.result.sentAt, s.now)
	}
}

package admission

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const (
	organisationCount = 72
	// fairSlots is the number of requests that a server of the test runs at once.
	fairSlots = 7
	// fairServiceTime is their mean service time.
	fairServiceTime = 50 * time.Millisecond
	fairDeadline    = time.Second
	fairTarget      = 300 * time.Millisecond
	// fairDuration is the length of a load, divided by the number of gates.
	fairDuration = 160 * time.Second
)

// zipfDemands returns the shares of the demand of 72 organisations by Zipf's law with
// exponent 1.2, the first surged ones at 7.5 times their usual share.
func zipfDemands(surged int) []float64 {
	demands := make([]float64, organisationCount)
	total := 0.0
	for i := range demands {
		demands[i] = math.Pow(float64(i+1), -1.2)
		if i < surged {
			demands[i] *= 7.5
		}
		total += demands[i]
	}
	for i := range demands {
		demands[i] /= total
	}
	return demands
}

// maxMinLevel returns the largest share that organisations get of a capacity, as the
// demands a share of the whole demand.
func maxMinLevel(demands []float64, capacity float64) float64 {
	sorted := slices.Sorted(slices.Values(demands))
	for i, demand := range sorted {
		level := capacity / float64(len(sorted)-i)
		if demand > level {
			return level
		}
		capacity -= demand
	}
	return math.Inf(1)
}

// event is an arrival or the end of a request.
type event struct {
	at   time.Duration
	gate int
	// ended is the request that ends; nil: one arrives.
	ended *Request
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// fairQueue is a way to share a server.
type fairQueue interface {
	// admit decides on a request that arrives, and reports whether it starts.
	admit(now time.Time, r Request) bool
	// release frees the slot of a request.
	release(r *Request)
	// next returns a waiting request that starts now; nil: none.
	next(now time.Time) *Request
}

// queueByShares is the queue, whose requests have the organisation that label returns.
type queueByShares struct {
	Queue
	label func(organisation string) string
	// original is the organisation of the requests before label.
	original map[*Ticket]string
}

func newQueueByShares(label func(string) string) *queueByShares {
	q := &queueByShares{label: label, original: make(map[*Ticket]string)}
	q.SetLimits(fairSlots, fairSlots*128/100)
	q.SetMeanHoldTime(fairServiceTime)
	return q
}

func (q *queueByShares) admit(now time.Time, r Request) bool {
	original := r.Organisation
	r.Organisation = q.label(original)
	verdict, ticket, evicted := q.Admit(now, r)
	delete(q.original, evicted)
	if verdict == Queued {
		q.original[ticket] = original
	}
	return verdict == Granted
}

func (q *queueByShares) release(r *Request) { q.Release(r.Class, q.label(r.Organisation)) }

func (q *queueByShares) next(now time.Time) *Request {
	for _, t := range q.RemoveExpired(now) {
		delete(q.original, t)
	}
	t := q.Next(now)
	if t == nil {
		return nil
	}
	r := t.Request
	r.Organisation = q.original[t]
	delete(q.original, t)
	return &r
}

// roundRobinQueue has a queue for each organisation, served in turn: deficit round robin
// with requests of equal cost. The longest queue gives a place to a request that arrives.
type roundRobinQueue struct {
	running, waiting int
	order            []string
	queues           map[string][]Request
}

func (q *roundRobinQueue) admit(now time.Time, r Request) bool {
	if q.running < fairSlots && q.waiting == 0 {
		q.running++
		return true
	}
	if q.waiting >= fairSlots*128/100 {
		longest := r.Organisation
		for organisation, queue := range q.queues {
			if len(queue) > len(q.queues[longest])+1 || len(queue) == len(q.queues[longest])+1 && organisation < longest && longest != r.Organisation {
				longest = organisation
			}
		}
		if longest == r.Organisation {
			return false
		}
		q.queues[longest] = q.queues[longest][:len(q.queues[longest])-1]
		q.waiting--
	}
	if len(q.queues[r.Organisation]) == 0 && !slices.Contains(q.order, r.Organisation) {
		q.order = append(q.order, r.Organisation)
	}
	q.queues[r.Organisation] = append(q.queues[r.Organisation], r)
	q.waiting++
	return false
}

func (q *roundRobinQueue) release(*Request) { q.running-- }

func (q *roundRobinQueue) next(now time.Time) *Request {
	for q.running < fairSlots && len(q.order) > 0 {
		organisation := q.order[0]
		q.order = q.order[1:]
		queue := q.queues[organisation]
		if len(queue) == 0 {
			delete(q.queues, organisation)
			continue
		}
		r := queue[0]
		q.queues[organisation] = queue[1:]
		q.waiting--
		q.order = append(q.order, organisation)
		if now.After(r.latestStart()) {
			continue
		}
		q.running++
		return &r
	}
	return nil
}

// fairResult is what the organisations got.
type fairResult struct {
	asked, served []int
	// waits are the waits of the requests of organisations other than the largest.
	waits []time.Duration
}

// playFairShare plays a load on gates with random placement. The capacity is 0.7 of the demand.
func playFairShare(seed uint64, demands []float64, gates []fairQueue) fairResult {
	random := rand.New(rand.NewPCG(seed, 1))
	result := fairResult{asked: make([]int, len(demands)), served: make([]int, len(demands))}
	perSecond := float64(len(gates)*fairSlots) / fairServiceTime.Seconds() / 0.7
	exponential := func(mean float64) time.Duration {
		return time.Duration(random.ExpFloat64() * mean * float64(time.Second))
	}
	queue := &events{{at: exponential(1 / perSecond)}}
	begin := func(e event, r *Request) {
		organisation, _ := strconv.Atoi(r.Organisation)
		result.served[organisation]++
		if organisation > 0 {
			result.waits = append(result.waits, e.at-r.Deadline.Sub(start)+fairDeadline)
		}
		serviceTime := fairServiceTime/2 + exponential(fairServiceTime.Seconds()/2)
		heap.Push(queue, event{at: e.at + serviceTime, gate: e.gate, ended: r})
	}
	for queue.Len() > 0 {
		e := heap.Pop(queue).(event)
		now := start.Add(e.at)
		if e.ended != nil {
			gates[e.gate].release(e.ended)
		} else if e.at < fairDuration/time.Duration(len(gates)) {
			heap.Push(queue, event{at: e.at + exponential(1/perSecond)})
			e.gate = random.IntN(len(gates))
			organisation, at := 0, random.Float64()
			for at -= demands[0]; at > 0 && organisation < len(demands)-1; at -= demands[organisation] {
				organisation++
			}
			result.asked[organisation]++
			r := &Request{
				Class: low, Organisation: strconv.Itoa(organisation), ServiceTime: fairServiceTime,
				Target: now.Add(fairTarget), Deadline: now.Add(fairDeadline),
			}
			if gates[e.gate].admit(now, *r) {
				begin(e, r)
			}
		}
		for r := gates[e.gate].next(now); r != nil; r = gates[e.gate].next(now) {
			begin(e, r)
		}
	}
	return result
}

// judge returns the smallest part of its demand that an organisation below its fair share
// got, the smallest part of all organisations as a multiple of the mean, the use of the
// capacity, and the wait of 99% of the requests of all but the largest organisation.
func (r fairResult) judge(demands []float64) (below, least, use float64, wait time.Duration) {
	level := maxMinLevel(demands, 0.7)
	asked, served := 0, 0
	for i := range r.asked {
		asked, served = asked+r.asked[i], served+r.served[i]
	}
	mean := float64(served) / float64(asked)
	below, least = 1, math.Inf(1)
	for i := range r.asked {
		part := float64(r.served[i]) / float64(max(r.asked[i], 1))
		least = min(least, part/mean)
		if demands[i] < level {
			below = min(below, part)
		}
	}
	slices.Sort(r.waits)
	return below, least, mean / 0.7, r.waits[len(r.waits)*99/100]
}

func sameOrganisation(string) string { return "" }

func ownOrganisation(organisation string) string { return organisation }

// oneOf16 returns the bucket of an organisation, as in stochastic fair queueing.
func oneOf16(organisation string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(organisation))
	return fmt.Sprint(h.Sum32() % 16)
}

// BenchmarkFairShareOptions measures the options of docs/design/fair-share.md.
func BenchmarkFairShareOptions(b *testing.B) {
	options := []struct {
		name  string
		queue func() fairQueue
	}{
		{"none", func() fairQueue { return newQueueByShares(sameOrganisation) }},
		{"concurrency", func() fairQueue { return newQueueByShares(ownOrganisation) }},
		{"stochastic", func() fairQueue { return newQueueByShares(oneOf16) }},
		{"roundrobin", func() fairQueue { return &roundRobinQueue{queues: make(map[string][]Request)} }},
	}
	for _, surged := range []int{1, 3} {
		for _, gateCount := range []int{1, 8} {
			for _, option := range options {
				b.Run(fmt.Sprintf("surged=%d/gates=%d/%s", surged, gateCount, option.name), func(b *testing.B) {
					demands := zipfDemands(surged)
					for range b.N {
						gates := make([]fairQueue, gateCount)
						for i := range gates {
							gates[i] = option.queue()
						}
						below, least, use, wait := playFairShare(1, demands, gates).judge(demands)
						b.ReportMetric(below, "below-share")
						b.ReportMetric(least, "least/mean")
						b.ReportMetric(use, "use")
						b.ReportMetric(float64(wait.Milliseconds()), "p99-wait-ms")
					}
				})
			}
		}
	}
}

// Guards against an organisation that takes the server from the others by asking for a
// multiple of its usual load.
func TestFairShare(t *testing.T) {
	Convey("With one organisation of 72 at 7.5 times its load, all others get what they ask for", t, func() {
		for _, gateCount := range []int{1, 8} {
			for seed := range uint64(3) {
				demands := zipfDemands(1)
				gates := make([]fairQueue, gateCount)
				for i := range gates {
					gates[i] = newQueueByShares(ownOrganisation)
				}
				below, least, use, _ := playFairShare(seed, demands, gates).judge(demands)
				So(below, ShouldBeGreaterThanOrEqualTo, 0.95)
				So(least, ShouldBeGreaterThanOrEqualTo, 0.25)
				So(use, ShouldBeGreaterThanOrEqualTo, 0.98)
			}
		}
	})
}

func organisedRequest(organisation string, class int, target time.Duration) Request {
	r := request(class, 20*time.Millisecond, target, 2*time.Second)
	r.Organisation = organisation
	return r
}

// Guards against an order of start, eviction or refusal that lets one organisation crowd
// out the others.
func TestSharesOfOrganisations(t *testing.T) {
	Convey("Given a server whose slots and queue an organisation has filled", t, func() {
		q := &Queue{}
		q.SetLimits(2, 3)
		q.SetMeanHoldTime(20 * time.Millisecond)
		for range 5 {
			verdict, _, _ := q.Admit(start, organisedRequest("large", low, time.Second))
			So(verdict, ShouldNotEqual, Refused)
		}
		Convey("it gets no further place", func() {
			verdict, _, _ := q.Admit(start, organisedRequest("large", low, 100*time.Millisecond))
			So(verdict, ShouldEqual, Refused)
			So(q.Estimate(start, organisedRequest("large", low, time.Second)).Refused, ShouldBeTrue)
		})
		Convey("a request of another organisation takes the place of its last one, and starts first", func() {
			r := organisedRequest("small", low, 1500*time.Millisecond)
			So(q.Estimate(start, r).Refused, ShouldBeFalse)
			So(q.Estimate(start, r).Wait, ShouldEqual, 10*time.Millisecond)
			verdict, ticket, evicted := q.Admit(start, r)
			So(verdict, ShouldEqual, Queued)
			So(evicted.Organisation, ShouldEqual, "large")
			q.Release(low, "large")
			So(q.Next(start), ShouldEqual, ticket)
			Convey("but its next one waits for its turn", func() {
				_, second, _ := q.Admit(start, organisedRequest("small", low, time.Second))
				q.Release(low, "large")
				So(q.Next(start).Organisation, ShouldEqual, "large")
				q.Release(low, "small")
				So(q.Next(start), ShouldEqual, second)
			})
		})
		Convey("requests without an organisation share as one", func() {
			verdict, ticket, _ := q.Admit(start, organisedRequest("", low, 1500*time.Millisecond))
			So(verdict, ShouldEqual, Queued)
			q.Release(low, "large")
			So(q.Next(start), ShouldEqual, ticket)
		})
		Convey("classes go before organisations", func() {
			_, small, _ := q.Admit(start, organisedRequest("small", low, 1500*time.Millisecond))
			_, important, evicted := q.Admit(start, organisedRequest("large", high, 1500*time.Millisecond))
			So(evicted.Class, ShouldEqual, low)
			q.Release(low, "large")
			So(q.Next(start), ShouldEqual, important)
			q.Release(high, "large")
			So(q.Next(start), ShouldEqual, small)
		})
	})
}

// Guards against offers that don't say what the queue does, against slots that stay free
// while requests wait, against state that grows, and against a change of order while all
// requests have one organisation.
func TestSharesOverRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		organisations := rapid.IntRange(1, 6).Draw(t, "organisations")
		q, unnamed := &Queue{}, &Queue{}
		for _, queue := range []*Queue{q, unnamed} {
			queue.SetLimits(3, 5)
			queue.SetMeanHoldTime(20 * time.Millisecond)
		}
		now := start
		var running []Request
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "pause, ms")) * time.Millisecond)
			if len(running) > 0 && rapid.Bool().Draw(t, "release") {
				at := rapid.IntRange(0, len(running)-1).Draw(t, "released")
				q.Release(running[at].Class, running[at].Organisation)
				unnamed.Release(running[at].Class, "")
				running = append(running[:at], running[at+1:]...)
			} else {
				r := Request{
					Class: rapid.IntRange(1, 3).Draw(t, "class"), Organisation: fmt.Sprint(rapid.IntRange(1, organisations).Draw(t, "organisation")),
					Target: now.Add(time.Duration(rapid.IntRange(10, 300).Draw(t, "target, ms")) * time.Millisecond), ServiceTime: 20 * time.Millisecond,
				}
				r.Deadline = r.Target.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "deadline, ms")) * time.Millisecond)
				estimate := q.Estimate(now, r)
				verdict, _, _ := q.Admit(now, r)
				if estimate.Refused != (verdict == Refused) || estimate.AtOnce != (verdict == Granted) {
					t.Fatalf("got verdict %v, expected it as in the offer %+v", verdict, estimate)
				}
				if verdict == Granted {
					running = append(running, r)
				}
				r.Organisation = ""
				if other, _, _ := unnamed.Admit(now, r); organisations == 1 && other != verdict {
					t.Fatalf("got verdict %v with one organisation, expected %v as without", verdict, other)
				}
			}
			q.RemoveExpired(now)
			unnamed.RemoveExpired(now)
			for ticket := q.Next(now); ticket != nil; ticket = q.Next(now) {
				running = append(running, ticket.Request)
				if other := unnamed.Next(now); organisations == 1 && other.Target != ticket.Target {
					t.Fatalf("got another order with one organisation")
				}
			}
			if q.Running() < q.Limit() && q.Waiting() > 0 {
				t.Fatalf("got %d requests running and %d waiting, expected no free slot", q.Running(), q.Waiting())
			}
			if len(q.shares.byKey) > q.Running()+q.Waiting() {
				t.Fatalf("got %d entries for %d requests", len(q.shares.byKey), q.Running()+q.Waiting())
			}
			for key, held := range q.shares.byKey {
				if held.running < 0 || held.waiting < 0 {
					t.Fatalf("got %+v of %+v, expected no negative count", held, key)
				}
			}
		}
	})
}

// TestCallsShare guards against calls of backend servers that wait behind new work of many
// organisations while their callers hold slots, and against organisations that calls keep
// out of their own service. The load: a server of eight slots with more calls, whose
// targets are near, and more requests of eight organisations than it can run.
func TestCallsShare(t *testing.T) {
	now := time.Now()
	q := &Queue{}
	q.SetLimits(8, 32)
	request := func(organisation string) Request {
		return Request{Organisation: organisation, Target: now.Add(time.Second), Deadline: now.Add(2 * time.Second), ServiceTime: 10 * time.Millisecond}
	}
	for range 8 {
		q.Admit(now, request("blocker"))
	}
	for i := range 8 {
		q.Admit(now, request(string(rune('a'+i))))
	}
	for range 8 {
		call := request("")
		call.Target = now.Add(100 * time.Millisecond)
		q.Admit(now, call)
	}
	calls, others := 0, 0
	for range 8 {
		q.Release(0, "blocker")
		if ticket := q.Next(now); ticket.Organisation == "" {
			calls++
		} else {
			others++
		}
	}
	Convey("Calls get half of the slots before the organisations' requests", t, func() {
		So(calls, ShouldEqual, 4)
		So(others, ShouldEqual, 4)
	})
}

// Guards against offers that count a call with a near target behind one request of each
// organisation, although it goes before them: it was refused while its caller held a slot.
func TestEstimateOfCallBesideOrganisations(t *testing.T) {
	Convey("A call goes before requests of organisations with as many running and later targets", t, func() {
		q := fullQueue(2, 20, 200*time.Millisecond)
		for i := range 8 {
			r := request(low, 200*time.Millisecond, 2*time.Second, 3*time.Second)
			r.Organisation = strconv.Itoa(i)
			verdict, _, _ := q.Admit(start, r)
			So(verdict, ShouldEqual, Queued)
		}
		q.Release(low, "")
		q.Release(low, "")
		q.Next(start)
		q.Next(start)
		call := request(low, 25*time.Millisecond, 100*time.Millisecond, 300*time.Millisecond)
		estimate := q.Estimate(start, call)
		So(estimate.Refused, ShouldBeFalse)
		So(estimate.Wait, ShouldEqual, 100*time.Millisecond)
		verdict, ticket, _ := q.Admit(start, call)
		So(verdict, ShouldEqual, Queued)
		q.Release(low, "0")
		So(q.Next(start), ShouldEqual, ticket)
	})
}

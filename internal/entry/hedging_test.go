package entry_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.opentelemetry.io/otel/sdk/metric"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/entry"
	"github.com/egretfield/egretfield/internal/gate"
	"github.com/egretfield/egretfield/internal/offer"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/quarantine"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
	"github.com/egretfield/egretfield/internal/wire"
)

const (
	// hedgeUsual is the usual latency of the servers. The delay is about twice as long.
	hedgeUsual = 10 * time.Millisecond
	// hedgeWarmup is the number of requests that measure it.
	hedgeWarmup = 60
)

// hedgeServer is a backend server behind a gate of its own.
type hedgeServer struct {
	// answer handles requests after the warm-up.
	answer  atomic.Pointer[http.HandlerFunc]
	runs    atomic.Int64
	running atomic.Int64
}

func (s *hedgeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.runs.Add(1)
	s.running.Add(1)
	defer s.running.Add(-1)
	if answer := s.answer.Load(); answer != nil {
		(*answer)(w, r)
		return
	}
	time.Sleep(hedgeUsual)
}

func (s *hedgeServer) answers(answer http.HandlerFunc) { s.answer.Store(&answer) }

// answerAfter answers with the text after a time, unless the request ends before.
func answerAfter(d time.Duration, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(d):
			_, _ = io.WriteString(w, text)
		case <-r.Context().Done():
		}
	}
}

// abortAfter breaks the connection after a time.
func abortAfter(d time.Duration) http.HandlerFunc {
	return func(http.ResponseWriter, *http.Request) {
		time.Sleep(d)
		panic(http.ErrAbortHandler)
	}
}

// rawAfter writes an answer as it stands after a time, and closes the connection.
func rawAfter(d time.Duration, raw string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(d)
		nc, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer nc.Close()
		_, _ = io.WriteString(nc, raw)
	}
}

// unavailableAfter answers with status 503 after a time.
func unavailableAfter(d time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(d)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// hedgeOffers has every gate offer to start at once, s0 sooner than the others.
type hedgeOffers struct {
	// change changes an offer; nil changes nothing.
	change func(address string, o *pb.Offer)
	// before is called before the offers are returned; nil does nothing.
	before func(ctx context.Context)
}

func (o *hedgeOffers) Ask(ctx context.Context, addresses []string, _ *pb.OfferQuestion, _ offer.WaitLimits) []offer.Reply {
	if o.before != nil {
		o.before(ctx)
	}
	replies := make([]offer.Reply, len(addresses))
	for i, address := range addresses {
		made := &pb.Offer{Incarnation: 1, AtOnce: true, WorkUs: 2000}
		if address == "s0" {
			made.WorkUs = 1000
		}
		if o.change != nil {
			o.change(address, made)
		}
		replies[i] = offer.Reply{Offer: made, RoundTrip: time.Millisecond}
	}
	return replies
}

// reportingBalancer records the results reported to a balancer, and counts those missing.
type reportingBalancer struct {
	balance.Balancer
	mu      sync.Mutex
	results map[string][]balance.Outcome
}

func (b *reportingBalancer) Done(result balance.Result) {
	b.mu.Lock()
	b.results[result.Endpoint.Instance] = append(b.results[result.Endpoint.Instance], result.Outcome)
	b.mu.Unlock()
	b.Balancer.Done(result)
}

// last returns the newest outcome of an instance.
func (b *reportingBalancer) last(instance string) balance.Outcome {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.results[instance]
	return list[len(list)-1]
}

func (b *reportingBalancer) count() (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, list := range b.results {
		n += len(list)
	}
	return n
}

// hedgeFleet is an entry with two servers, s0 and s1, over in-memory pipes. Requests go to
// s0 first.
type hedgeFleet struct {
	entry     *entry.Handler
	servers   []*hedgeServer
	gates     []*gate.Gate
	endpoints []*balance.Endpoint
	balancer  *reportingBalancer
	offers    *hedgeOffers
	reader    *metric.ManualReader
	config    *pb.Config
	table     *quarantine.Table
	// runsHedged is set while the server next to the entry runs a hedged attempt.
	runsHedged atomic.Bool

	mu sync.Mutex
	// calls are the metadata of the requests that arrived at gates.
	calls []wire.Meta
}

func (f *hedgeFleet) lastCall() wire.Meta {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[len(f.calls)-1]
}

func newHedgeFleet(t *testing.T, percent uint32, change func(*entry.Options)) *hedgeFleet {
	f := &hedgeFleet{offers: &hedgeOffers{}, reader: metric.NewManualReader(), table: quarantine.New(nil, nil)}
	dials := map[string]wire.DialFunc{}
	for i := range 2 {
		name, server := fmt.Sprint("s", i), &hedgeServer{}
		g := gate.New(gate.Options{Instance: name, Incarnation: 1, ClientOptions: wire.ClientOptions{Dial: servePipes(t, server)}})
		g.SetServer(&gate.Server{Service: "orders", Address: "server", Slots: 100, Connections: 200})
		dials[name] = servePipes(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if meta, err := wire.ParseMeta(r.Header, time.Now()); err == nil {
				f.mu.Lock()
				f.calls = append(f.calls, meta)
				f.mu.Unlock()
			}
			g.ServeHTTP(w, r)
		}))
		f.servers, f.gates = append(f.servers, server), append(f.gates, g)
		f.endpoints = append(f.endpoints, &balance.Endpoint{
			Instance: name, Incarnation: 1, Region: "north", ControlAddress: name, GateAddress: name, Slots: 100,
		})
	}
	b, err := balance.New(balance.EarliestFinish, balance.Options{Region: "north", Rand: func() uint64 { return 1 }})
	if err != nil {
		t.Fatal(err)
	}
	policy := &pb.Policy{HedgePercent: percent, RetryBudgetPercent: 20, RetrySlack: 50, RetryWindowMs: 10_000}
	b.Update(f.endpoints, policy)
	f.balancer = &reportingBalancer{Balancer: b, results: map[string][]balance.Outcome{}}
	f.config = &pb.Config{Services: testConfig.Services, Presets: []*pb.Preset{{Name: "p", Policy: policy}}}
	options := entry.Options{
		Instance: "entry", Region: "north",
		BalancerFor: func(string) balance.Balancer { return f.balancer },
		Offers:      f.offers,
		RunsHedged:  f.runsHedged.Load,
		Quarantine:  f.table,
		Meter:       metric.NewMeterProvider(metric.WithReader(f.reader)).Meter("test"),
		ClientOptions: wire.ClientOptions{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return dials[addr](ctx, network, addr)
		}},
	}
	if change != nil {
		change(&options)
	}
	f.entry = entry.New(options)
	t.Cleanup(f.entry.Close)
	f.entry.SetRoutes(entry.NewRoutes(f.config, "p"))
	for _, path := range []string{"/x", "/short"} {
		for range hedgeWarmup {
			if got := f.send(path); got.code != http.StatusOK {
				t.Fatalf("a request of the warm-up got status %d", got.code)
			}
		}
	}
	return f
}

// hedgeAnswer is the answer that a caller gets.
type hedgeAnswer struct {
	code     int
	body     string
	header   http.Header
	took     time.Duration
	isBroken bool // the answer was visibly cut
}

func (f *hedgeFleet) send(path string) hedgeAnswer {
	return f.do(httptest.NewRequest(http.MethodGet, "/svc/orders"+path, nil))
}

func (f *hedgeFleet) do(r *http.Request) (got hedgeAnswer) {
	start := time.Now()
	w := httptest.NewRecorder()
	defer func() {
		got = hedgeAnswer{code: w.Code, body: w.Body.String(), header: w.Header(), took: time.Since(start)}
		if failure := recover(); failure != nil {
			if failure != http.ErrAbortHandler {
				panic(failure)
			}
			got.isBroken = true
		}
	}()
	f.entry.ServeHTTP(w, r)
	return got
}

// settle lets work that was cancelled end, and returns the number of requests that servers
// still run and the number of attempts not reported to the balancer.
func (f *hedgeFleet) settle() (running, unreported int64) {
	time.Sleep(5 * time.Millisecond)
	f.mu.Lock()
	calls := len(f.calls)
	f.mu.Unlock()
	return f.servers[0].running.Load() + f.servers[1].running.Load() + f.entry.Running(), int64(calls - f.balancer.count())
}

func (f *hedgeFleet) counter(name string) int64 { return collect(f.reader)["egretfield.entry."+name] }

// hedgeOutcome is what a case of TestHedging observed.
type hedgeOutcome struct {
	hedgeAnswer
	running, unreported  int64
	sent, won, cancelled int64
	withheld             map[string]int64
	runs                 [2]int64 // after the warm-up
	outcomes             [2]balance.Outcome
}

// hedgeCase runs one case under virtual time.
func hedgeCase(t *testing.T, percent uint32, change func(*entry.Options), run func(f *hedgeFleet) hedgeAnswer) (out hedgeOutcome) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newHedgeFleet(t, percent, change)
		before := [2]int64{f.servers[0].runs.Load(), f.servers[1].runs.Load()}
		out.hedgeAnswer = run(f)
		out.running, out.unreported = f.settle()
		out.sent, out.won, out.cancelled = f.counter("hedges_sent"), f.counter("hedges_won"), f.counter("hedges_cancelled")
		out.withheld = map[string]int64{}
		for name, value := range collect(f.reader) {
			if reason, ok := strings.CutPrefix(name, "egretfield.entry.hedges_withheldreason="); ok && value > 0 {
				out.withheld[reason] = value
			}
		}
		for i, s := range f.servers {
			out.runs[i] = s.runs.Load() - before[i]
			if len(f.balancer.results[fmt.Sprint("s", i)]) > 0 {
				out.outcomes[i] = f.balancer.last(fmt.Sprint("s", i))
			}
		}
		time.Sleep(time.Second) // gates check later whether servers have crashed
	})
	return out
}

// expectNothingLeft guards against work that continues, and attempts that are reported to
// the balancer never or twice.
func expectNothingLeft(out hedgeOutcome) {
	So(out.running, ShouldEqual, 0)
	So(out.unreported, ShouldEqual, 0)
}

// TestHedging guards against late answers where another server would answer, answers mixed
// from two servers, work that goes on after the caller has its answer, and refusals that
// say "not run" although an attempt ran.
func TestHedging(t *testing.T) {
	slow := 2 * time.Second
	var attemptIDs [2]wire.AttemptID
	out := hedgeCase(t, 20, nil, func(f *hedgeFleet) hedgeAnswer {
		f.servers[0].answers(answerAfter(slow, "first"))
		f.servers[1].answers(answerAfter(hedgeUsual, "second"))
		answer := f.send("/x")
		attemptIDs = [2]wire.AttemptID{f.calls[len(f.calls)-2].Attempt, f.lastCall().Attempt}
		return answer
	})
	Convey("The second attempt wins when the first is slow, and the first one's work ends", t, func() {
		So(out.code, ShouldEqual, http.StatusOK)
		So(out.body, ShouldEqual, "second")
		So(out.took, ShouldBeLessThan, 5*hedgeUsual)
		So(out.runs, ShouldResemble, [2]int64{1, 1})
		So([]int64{out.sent, out.won, out.cancelled}, ShouldResemble, []int64{1, 1, 1})
		So(out.outcomes, ShouldResemble, [2]balance.Outcome{balance.OutcomeCancelled, balance.OutcomeSuccess})
		So(attemptIDs[0].Number, ShouldNotEqual, attemptIDs[1].Number)
		expectNothingLeft(out)
	})

	out = hedgeCase(t, 20, nil, func(f *hedgeFleet) hedgeAnswer {
		f.servers[0].answers(answerAfter(5*hedgeUsual, "first"))
		f.servers[1].answers(answerAfter(slow, "second"))
		return f.send("/x")
	})
	Convey("The first attempt wins when the second is slower, and the second one's work ends", t, func() {
		So(out.body, ShouldEqual, "first")
		So([]int64{out.sent, out.won, out.cancelled}, ShouldResemble, []int64{1, 0, 1})
		So(out.outcomes, ShouldResemble, [2]balance.Outcome{balance.OutcomeSuccess, balance.OutcomeCancelled})
		expectNothingLeft(out)
	})

	out = hedgeCase(t, 20, nil, func(f *hedgeFleet) hedgeAnswer {
		f.servers[0].answers(abortAfter(5 * hedgeUsual))
		f.servers[1].answers(answerAfter(10*hedgeUsual, "second"))
		return f.send("/x")
	})
	Convey("A failure of the first waits for the second", t, func() {
		So(out.body, ShouldEqual, "second")
		So(out.runs, ShouldResemble, [2]int64{1, 1})
		So(out.outcomes, ShouldResemble, [2]balance.Outcome{balance.OutcomeFailure, balance.OutcomeSuccess})
		expectNothingLeft(out)
	})

	// Guards against a broken answer that wins because it comes first (MIXED).
	for _, raw := range []string{
		"HTTP/1.1 000 What\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst",
		"HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 5\r\n\r\nfirst",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n",
	} {
		out = hedgeCase(t, 20, nil, func(f *hedgeFleet) hedgeAnswer {
			f.servers[0].answers(rawAfter(5*hedgeUsual, raw))
			f.servers[1].answers(answerAfter(10*hedgeUsual, "second"))
			return f.send("/x")
		})
		Convey(fmt.Sprintf("A broken answer of the first waits for the second: %q", raw), t, func() {
			So(out.body, ShouldEqual, "second")
			So(out.runs, ShouldResemble, [2]int64{1, 1})
			So(out.outcomes, ShouldResemble, [2]balance.Outcome{balance.OutcomeFailure, balance.OutcomeSuccess})
			expectNothingLeft(out)
		})
	}

	out = hedgeCase(t, 20, nil, func(f *hedgeFleet) hedgeAnswer {
		f.servers[0].answers(abortAfter(8 * hedgeUsual))
		f.servers[1].answers(abortAfter(hedgeUsual))
		return f.send("/x")
	})
	Convey("When both fail, the caller learns that the request may have run, and it runs no third time", t, func() {
		So(out.code, ShouldEqual, http.StatusBadGateway)
		So(out.header.Get(wire.HeaderRun), ShouldEqual, "unknown")
		So(out.runs, ShouldResemble, [2]int64{1, 1})
		expectNothingLeft(out)
	})

	out = hedgeCase(t, 20, nil, func(f *hedgeFleet) hedgeAnswer {
		f.servers[0].answers(unavailableAfter(8 * hedgeUsual))
		f.servers[1].answers(unavailableAfter(hedgeUsual))
		return f.send("/x")
	})
	Convey("When both servers answer 503, the request isn't retried on top", t, func() {
		So(out.code, ShouldEqual, http.StatusServiceUnavailable)
		So(out.runs, ShouldResemble, [2]int64{1, 1})
		expectNothingLeft(out)
	})

	out = hedgeCase(t, 20, nil, func(f *hedgeFleet) hedgeAnswer {
		f.gates[1].SetDraining(true)
		f.servers[0].answers(answerAfter(8*hedgeUsual, "first"))
		return f.send("/x")
	})
	Convey("A refusal of the second changes nothing for the first", t, func() {
		So(out.body, ShouldEqual, "first")
		So(out.took, ShouldBeBetweenOrEqual, 8*hedgeUsual, 9*hedgeUsual)
		So(out.runs, ShouldResemble, [2]int64{1, 0})
		So([]int64{out.sent, out.won, out.cancelled}, ShouldResemble, []int64{1, 0, 0})
		expectNothingLeft(out)
	})

	out = hedgeCase(t, 20, nil, func(f *hedgeFleet) hedgeAnswer {
		f.gates[1].SetDraining(true)
		f.servers[0].answers(abortAfter(8 * hedgeUsual))
		return f.send("/x")
	})
	Convey("When the first fails after the second was refused, the answer isn't the refusal", t, func() {
		So(out.header.Get(wire.HeaderRun), ShouldEqual, "unknown")
		expectNothingLeft(out)
	})

	refused := wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_NOT_READY, "refused")
	out = hedgeCase(t, 20, func(o *entry.Options) {
		o.Instance, o.Local = "s0", &lateGate{refuseAfter: 8 * hedgeUsual, refusal: refused}
	}, func(f *hedgeFleet) hedgeAnswer {
		f.entry.SetRoutes(entry.NewRoutes(f.config, "p"))
		f.servers[1].answers(abortAfter(hedgeUsual))
		return f.send("/x")
	})
	Convey("When the second failed and the first was refused later, the answer isn't a refusal", t, func() {
		So(out.sent, ShouldEqual, 1)
		So(out.header.Get(wire.HeaderRun), ShouldEqual, "unknown")
		So(out.running, ShouldEqual, 0)
	})

	out = hedgeCase(t, 20, nil, func(f *hedgeFleet) hedgeAnswer {
		f.servers[0].answers(answerAfter(slow, "first"))
		f.servers[1].answers(answerAfter(slow, "second"))
		ctx, cancel := context.WithTimeout(context.Background(), 10*hedgeUsual)
		defer cancel()
		return f.do(httptest.NewRequest(http.MethodGet, "/svc/orders/x", nil).WithContext(ctx))
	})
	Convey("The work of both ends when the caller leaves", t, func() {
		So(out.runs, ShouldResemble, [2]int64{1, 1})
		So(out.took, ShouldBeLessThan, 11*hedgeUsual)
		expectNothingLeft(out)
	})

	out = hedgeCase(t, 20, nil, func(f *hedgeFleet) hedgeAnswer {
		f.servers[0].answers(answerAfter(slow, "first"))
		f.servers[1].answers(answerAfter(slow, "second"))
		return f.send("/short")
	})
	Convey("When the deadline passes, the caller learns that the request may have run", t, func() {
		So(out.code, ShouldEqual, http.StatusGatewayTimeout)
		So(out.header.Get(wire.HeaderRun), ShouldEqual, "unknown")
		So(out.took, ShouldBeBetween, 490*time.Millisecond, 520*time.Millisecond)
		So(out.runs, ShouldResemble, [2]int64{1, 1})
		expectNothingLeft(out)
	})

	cutAfterHead := func(length, part int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(hedgeUsual)
			w.Header().Set("Content-Length", fmt.Sprint(length))
			_, _ = io.WriteString(w, strings.Repeat("s", part))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
	out = hedgeCase(t, 20, nil, func(f *hedgeFleet) hedgeAnswer {
		f.servers[0].answers(answerAfter(10*hedgeUsual, "first"))
		f.servers[1].answers(cutAfterHead(1000, 100))
		return f.send("/x")
	})
	Convey("A short answer that is cut after its head doesn't win", t, func() {
		So(out.body, ShouldEqual, "first")
		So(out.isBroken, ShouldBeFalse)
		expectNothingLeft(out)
	})
	out = hedgeCase(t, 20, nil, func(f *hedgeFleet) hedgeAnswer {
		f.servers[0].answers(answerAfter(10*hedgeUsual, "first"))
		f.servers[1].answers(cutAfterHead(100_000, 50_000))
		return f.send("/x")
	})
	Convey("A long answer that is cut after its head is visibly cut, and all its bytes are of one server", t, func() {
		So(out.isBroken, ShouldBeTrue)
		So(strings.Trim(out.body, "s"), ShouldBeEmpty)
		So(out.running, ShouldEqual, 0)
	})

	var runningDuringDelivery atomic.Int64
	out = hedgeCase(t, 20, nil, func(f *hedgeFleet) hedgeAnswer {
		f.servers[0].answers(answerAfter(slow, "first"))
		f.servers[1].answers(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "second")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(5 * hedgeUsual)
			runningDuringDelivery.Store(f.servers[0].running.Load())
		})
		return f.send("/x")
	})
	Convey("The loser's work ends while the winner's body is still being delivered", t, func() {
		So(out.body, ShouldEqual, "second")
		So(runningDuringDelivery.Load(), ShouldEqual, 0)
		expectNothingLeft(out)
	})

	out = hedgeCase(t, 20, nil, func(f *hedgeFleet) hedgeAnswer {
		f.offers.before = func(ctx context.Context) {
			if f.servers[0].running.Load() > 0 {
				select {
				case <-time.After(10 * hedgeUsual):
				case <-ctx.Done():
				}
			}
		}
		f.servers[0].answers(answerAfter(4*hedgeUsual, "first"))
		return f.send("/x")
	})
	Convey("An answer that arrives while gates are asked isn't delayed, and no attempt is sent", t, func() {
		So(out.body, ShouldEqual, "first")
		So(out.took, ShouldBeLessThan, 5*hedgeUsual)
		So(out.runs, ShouldResemble, [2]int64{1, 0})
		expectNothingLeft(out)
	})
}

// lateGate is a LocalGate that answers requests after hedgeUsual, and refuses after
// refuseAfter once the warm-up is over.
type lateGate struct {
	calls       atomic.Int64
	refuseAfter time.Duration
	refusal     *wire.Answer
}

func (g *lateGate) Do(context.Context, *wire.Call) *wire.Answer {
	if g.calls.Add(1) > 2*hedgeWarmup {
		time.Sleep(g.refuseAfter)
		refusal := *g.refusal
		return &refusal
	}
	time.Sleep(hedgeUsual)
	return &wire.Answer{Status: http.StatusOK, Header: http.Header{}}
}

// TestHedgingWithheld guards against hedged attempts where they do harm: none of these
// requests may reach the second server.
func TestHedgingWithheld(t *testing.T) {
	slowThen := func(send func(f *hedgeFleet) hedgeAnswer) func(f *hedgeFleet) hedgeAnswer {
		return func(f *hedgeFleet) hedgeAnswer {
			f.servers[0].answers(answerAfter(10*hedgeUsual, "first"))
			return send(f)
		}
	}
	get := func(f *hedgeFleet) hedgeAnswer { return f.send("/x") }
	cases := []struct {
		name    string
		reason  string // counted reason; empty if hedging isn't considered
		percent uint32
		send    func(f *hedgeFleet) hedgeAnswer
	}{
		{"while hedging is off", "", 0, get},
		{"for a request that isn't idempotent", "", 20, func(f *hedgeFleet) hedgeAnswer {
			return f.do(httptest.NewRequest(http.MethodPost, "/svc/orders/x", nil))
		}},
		{"where the policy allows one attempt", "", 20, func(f *hedgeFleet) hedgeAnswer {
			policy := proto.CloneOf(f.config.GetPresets()[0].GetPolicy())
			policy.MaxAttempts = 1
			f.entry.SetRoutes(entry.NewRoutes(&pb.Config{Services: f.config.GetServices(), Presets: []*pb.Preset{{Name: "p", Policy: policy}}}, "p"))
			return f.send("/x")
		}},
		{"for a streamed body", "", 20, func(f *hedgeFleet) hedgeAnswer {
			r := httptest.NewRequest(http.MethodPut, "/svc/orders/x", strings.NewReader("body"))
			r.ContentLength = -1
			return f.do(r)
		}},
		{"for a call of the own server while that runs a hedged attempt", "nested", 20, func(f *hedgeFleet) hedgeAnswer {
			f.runsHedged.Store(true)
			return f.do(callFrom("192.0.2.1"))
		}},
		{"for a request of unknown origin meanwhile", "nested", 20, func(f *hedgeFleet) hedgeAnswer {
			f.runsHedged.Store(true)
			return f.send("/x")
		}},
		{"while the node stops", "stopping", 20, func(f *hedgeFleet) hedgeAnswer {
			by := time.Now().Add(time.Second)
			f.entry.SetStopping(by, by)
			return f.send("/x")
		}},
		{"for a suspect", "suspect", 20, func(f *hedgeFleet) hedgeAnswer {
			f.send("/suspect")
			f.table.ReportCrash([]uint64{f.lastCall().Fingerprint})
			return f.send("/suspect")
		}},
		{"while the service refuses", "refusals", 20, func(f *hedgeFleet) hedgeAnswer {
			f.offers.change = func(_ string, o *pb.Offer) { o.Refused, o.AtOnce = true, false }
			f.send("/x")
			f.offers.change = nil
			return f.send("/x")
		}},
		{"when no gate would start it at once", "no_offer", 20, func(f *hedgeFleet) hedgeAnswer {
			f.offers.change = func(address string, o *pb.Offer) { o.AtOnce = address == "s0" }
			return f.send("/x")
		}},
		{"in another region", "no_offer", 20, func(f *hedgeFleet) hedgeAnswer {
			far := *f.endpoints[1]
			far.Region = "south"
			f.balancer.Update([]*balance.Endpoint{f.endpoints[0], &far}, &pb.Policy{})
			return f.send("/x")
		}},
		{"by the rules of an older configuration", "config_changed", 20, func(f *hedgeFleet) hedgeAnswer {
			f.offers.before = func(context.Context) {
				if f.servers[0].running.Load() > 0 {
					f.entry.SetRoutes(entry.NewRoutes(f.config, "p"))
				}
			}
			return f.send("/x")
		}},
	}
	for _, c := range cases {
		out := hedgeCase(t, c.percent, nil, slowThen(c.send))
		Convey("No hedged attempt is sent "+c.name, t, func() {
			So(out.code, ShouldEqual, http.StatusOK)
			So(out.body, ShouldEqual, "first")
			So(out.runs[1], ShouldEqual, out.sent) // the first request of a suspect may be hedged
			if c.reason == "" {
				So(out.withheld, ShouldBeEmpty)
			} else {
				So(out.withheld[c.reason], ShouldEqual, 1)
			}
			if c.reason != "suspect" {
				So(out.sent, ShouldEqual, 0)
			}
			expectNothingLeft(out)
		})
	}
}

// callFrom returns a request that a server with that address sends to an entry at 192.0.2.1.
func callFrom(host string) *http.Request {
	r := httptest.NewRequest(http.MethodGet, "/svc/orders/x", nil)
	r.Header.Set("Egret-Depth", "1")
	r.RemoteAddr = host + ":1234"
	return r.WithContext(context.WithValue(r.Context(), http.LocalAddrContextKey, &net.TCPAddr{IP: net.IPv4(192, 0, 2, 1), Port: 80}))
}

// TestHedgedCalls guards against slow calls of servers that nothing shortens, and against
// gates that don't know of the hedged attempts at their server.
func TestHedgedCalls(t *testing.T) {
	for _, host := range []string{"192.0.2.1", "192.0.2.2"} {
		var during [2]bool
		var after bool
		out := hedgeCase(t, 20, nil, func(f *hedgeFleet) hedgeAnswer {
			f.runsHedged.Store(host != "192.0.2.1")
			f.servers[0].answers(answerAfter(10*hedgeUsual, "first"))
			f.servers[1].answers(func(w http.ResponseWriter, r *http.Request) {
				during = [2]bool{f.gates[0].RunsHedged(), f.gates[1].RunsHedged()}
				answerAfter(hedgeUsual, "second")(w, r)
			})
			answer := f.do(callFrom(host))
			f.settle()
			after = f.gates[1].RunsHedged()
			return answer
		})
		Convey("A call from "+host+" is hedged, and only the gate of the hedged attempt is marked while it runs", t, func() {
			So(out.body, ShouldEqual, "second")
			So(during, ShouldResemble, [2]bool{false, true})
			So(after, ShouldBeFalse)
			expectNothingLeft(out)
		})
	}
}

// TestHedgedFailuresCount guards against a third run of a request after both of its attempts
// failed, where the policy allows more attempts, and against a refusal that takes the place
// of the one retry after a failure.
func TestHedgedFailuresCount(t *testing.T) {
	fail := func(change func(f *hedgeFleet)) hedgeOutcome {
		return hedgeCase(t, 20, nil, func(f *hedgeFleet) hedgeAnswer {
			f.config.Presets[0].Policy.MaxAttempts = 5
			another := *f.endpoints[1] // an endpoint that wasn't tried, at the same server
			another.Instance, another.ControlAddress = "s2", "s2"
			f.balancer.Update(append(f.endpoints, &another), f.config.Presets[0].Policy)
			f.entry.SetRoutes(entry.NewRoutes(f.config, "p"))
			f.servers[0].answers(unavailableAfter(8 * hedgeUsual))
			change(f)
			return f.send("/x")
		})
	}
	first := fail(func(f *hedgeFleet) { f.servers[1].answers(unavailableAfter(20 * hedgeUsual)) })
	second := fail(func(f *hedgeFleet) { f.servers[1].answers(unavailableAfter(hedgeUsual)) })
	Convey("Both failures count, whichever attempt fails first", t, func() {
		for _, out := range []hedgeOutcome{first, second} {
			So(out.code, ShouldEqual, http.StatusServiceUnavailable)
			So(out.sent, ShouldEqual, 1)
			So(out.runs, ShouldResemble, [2]int64{1, 1})
			expectNothingLeft(out)
		}
	})
	refused := fail(func(f *hedgeFleet) {
		f.gates[1].SetDraining(true)
		time.AfterFunc(7*hedgeUsual, func() { f.gates[1].SetDraining(false) })
	})
	Convey("A refused hedged attempt doesn't count: the failure of the first is retried once", t, func() {
		So(refused.sent, ShouldEqual, 1)
		So(refused.code, ShouldEqual, http.StatusOK)
		So(refused.runs, ShouldResemble, [2]int64{1, 1})
		expectNothingLeft(refused)
	})
}

// TestHedgingLimits guards against hedged attempts beyond hedge_percent or the retry budget.
func TestHedgingLimits(t *testing.T) {
	const requests = 500
	send := func(budget uint32) func(f *hedgeFleet) hedgeAnswer {
		return func(f *hedgeFleet) hedgeAnswer {
			f.config.Presets[0].Policy.RetryBudgetPercent = budget
			f.config.Presets[0].Policy.RetrySlack = 5
			f.entry.SetRoutes(entry.NewRoutes(f.config, "p"))
			var n atomic.Int64
			f.servers[0].answers(func(w http.ResponseWriter, r *http.Request) {
				if n.Add(1)%3 == 0 {
					answerAfter(20*hedgeUsual, "first")(w, r)
					return
				}
				answerAfter(hedgeUsual, "first")(w, r)
			})
			for range requests {
				f.send("/x")
			}
			return hedgeAnswer{}
		}
	}
	limited := hedgeCase(t, 5, nil, send(100))
	inBudget := hedgeCase(t, 20, nil, send(5))
	Convey("A third of the requests is slow: at most one of twenty is hedged at 5 percent, besides saved ones", t, func() {
		So(limited.sent, ShouldBeBetweenOrEqual, 1, requests/20+6)
		So(limited.withheld["limit"], ShouldBeGreaterThan, 0)
		expectNothingLeft(limited)
	})
	Convey("Hedged attempts count as retries in the budget", t, func() {
		// The budget allows 0.6 of 5 percent of the requests plus 5 in each of its windows.
		So(inBudget.sent, ShouldBeLessThan, requests/20)
		So(inBudget.withheld["retry_budget"], ShouldBeGreaterThan, 0)
		expectNothingLeft(inBudget)
	})
}

// TestHedgingBeforeTarget guards against hedged attempts that are sent when the target has
// passed already, as after the quantile of the latencies: a fifth is later than the target.
func TestHedgingBeforeTarget(t *testing.T) {
	const target, requests = 10 * hedgeUsual, 200
	inTime := 0
	out := hedgeCase(t, 5, nil, func(f *hedgeFleet) hedgeAnswer {
		f.config.RequestRoutes = []*pb.RequestRoute{{
			Name: "t", Host: "example.com", PathPrefix: "/t/", Services: []*pb.WeightedService{{Service: "orders"}},
			Idempotent: true, TimeoutMs: 1000, TargetLatencyMs: uint32(target.Milliseconds()),
		}}
		f.entry.SetRoutes(entry.NewRoutes(f.config, "p"))
		var n atomic.Int64
		f.servers[0].answers(func(w http.ResponseWriter, r *http.Request) {
			late := time.Duration(n.Add(1) % 5 / 4)
			answerAfter(hedgeUsual+late*2*target, "first")(w, r)
		})
		for range requests {
			if f.do(httptest.NewRequest(http.MethodGet, "/t/x", nil)).took < target {
				inTime++
			}
		}
		return hedgeAnswer{}
	})
	Convey("Nearly all hedged attempts win, and their requests meet the target", t, func() {
		So(out.sent, ShouldBeGreaterThanOrEqualTo, requests/20)
		So(out.won, ShouldBeGreaterThanOrEqualTo, out.sent*9/10)
		So(inTime, ShouldEqual, requests*4/5+int(out.won))
		expectNothingLeft(out)
	})
}

// TestHedgingConcurrently guards against state shared by the two attempts of a request or by
// requests. It is run with the race detector.
func TestHedgingConcurrently(t *testing.T) {
	const requests = 300
	var wrong atomic.Int64
	out := hedgeCase(t, 20, nil, func(f *hedgeFleet) hedgeAnswer {
		for i, s := range f.servers {
			s.answers(func(w http.ResponseWriter, r *http.Request) {
				n := s.runs.Load()
				body, _ := io.ReadAll(r.Body)
				text := fmt.Sprintf("%s %s %d", r.URL, body, i)
				switch {
				case n%7 == 0:
					abortAfter(4*hedgeUsual)(w, r)
				case n%3 == 0:
					answerAfter(4*hedgeUsual, text)(w, r)
				default:
					answerAfter(hedgeUsual, text)(w, r)
				}
			})
		}
		var wg sync.WaitGroup
		for i := range requests {
			wg.Go(func() {
				got := f.do(httptest.NewRequest(http.MethodPut, fmt.Sprint("/svc/orders/x", i), strings.NewReader(fmt.Sprint("body", i))))
				want := fmt.Sprintf("/x%d body%d", i, i)
				if got.code == http.StatusOK && !strings.HasPrefix(got.body, want+" ") {
					wrong.Add(1)
				}
			})
			if i%10 == 0 {
				time.Sleep(5 * time.Millisecond)
			}
		}
		wg.Wait()
		return hedgeAnswer{}
	})
	Convey("Each caller gets the answer to its own request, and nothing is left", t, func() {
		So(wrong.Load(), ShouldEqual, 0)
		So(out.sent, ShouldBeGreaterThan, 10)
		So(out.won, ShouldBeGreaterThan, 0)
		expectNothingLeft(out)
	})
}

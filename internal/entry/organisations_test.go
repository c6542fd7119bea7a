package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.opentelemetry.io/otel/sdk/metric"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/entry"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

// organisationsConfig has the organisations a (key ka, class critical) and b (keys kb and
// kb2), a route that needs a key and the exempt routes /open/ and, for requests that run
// once, /openorder/.
func organisationsConfig() *pb.Config {
	to := []*pb.WeightedService{{Service: "orders", Weight: 1}}
	return &pb.Config{
		Services: []*pb.Service{{Name: "orders"}},
		RequestRoutes: []*pb.RequestRoute{
			{Name: "closed", Host: "h", PathPrefix: "/", Services: to, Idempotent: true, Class: pb.Class_CLASS_BACKGROUND},
			{Name: "order", Host: "h", PathPrefix: "/order/", Services: to},
			{Name: "open", Host: "h", PathPrefix: "/open/", Services: to, Idempotent: true, AuthExempt: true},
			{Name: "openorder", Host: "h", PathPrefix: "/openorder/", Services: to, AuthExempt: true},
		},
		Organisations: []*pb.Organisation{
			{Name: "a", ApiKeys: []string{"ka"}, Class: pb.Class_CLASS_CRITICAL},
			{Name: "b", ApiKeys: []string{"kb", "kb2"}},
		},
	}
}

func withOrganisations(organisations ...*pb.Organisation) *pb.Config {
	config := organisationsConfig()
	config.Organisations = organisations
	return config
}

func routesAt(version int64, config *pb.Config) *entry.Routes {
	return entry.NewRoutesOfState(&pb.ConfigState{Config: config, Version: version})
}

// recordingGate is the own gate of an entry. It records the calls that it gets.
type recordingGate struct {
	mu    sync.Mutex
	calls []wire.Call
	// answer makes the answer; nil: 200.
	answer func(call *wire.Call) *wire.Answer
}

func (g *recordingGate) Do(_ context.Context, call *wire.Call) *wire.Answer {
	g.mu.Lock()
	defer g.mu.Unlock()
	recorded := *call
	recorded.Header = call.Header.Clone()
	g.calls = append(g.calls, recorded)
	if g.answer != nil {
		return g.answer(call)
	}
	return &wire.Answer{Status: http.StatusOK, Header: http.Header{}}
}

// blockingBalancer calls onPick during each choice.
type blockingBalancer struct {
	orderedBalancer
	onPick func()
}

func (b *blockingBalancer) Pick(info balance.PickInfo) (*balance.Endpoint, error) {
	if b.onPick != nil {
		b.onPick()
	}
	return b.orderedBalancer.Pick(info)
}

// organisationsEntry is an entry with a recordingGate.
type organisationsEntry struct {
	*entry.Handler
	gate     *recordingGate
	balancer *blockingBalancer
}

func newOrganisationsEntry(change func(*entry.Options)) *organisationsEntry {
	e := &organisationsEntry{gate: &recordingGate{}, balancer: &blockingBalancer{}}
	for _, name := range []string{"own", "own2"} {
		e.balancer.endpoints = append(e.balancer.endpoints, &balance.Endpoint{Instance: name, Incarnation: 1, Service: "orders"})
	}
	options := entry.Options{Instance: "own", Local: e.gate, BalancerFor: func(string) balance.Balancer { return e.balancer }}
	if change != nil {
		change(&options)
	}
	e.Handler = entry.New(options)
	return e
}

func (e *organisationsEntry) get(path string, authorization ...string) *http.Response {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	r.Host = "h"
	for _, value := range authorization {
		r.Header.Add("Authorization", value)
	}
	r.Header.Set("Egret-Organisation", "forged")
	w := httptest.NewRecorder()
	e.ServeHTTP(w, r)
	return w.Result()
}

// Guards against requests that run without a known key, keys and forged organisations that
// reach backend servers, and a 401 of a node that knows no keys yet.
func TestAuthentication(t *testing.T) {
	Convey("Given an entry with two organisations", t, func() {
		e := newOrganisationsEntry(nil)
		e.SetRoutes(routesAt(1, organisationsConfig()))

		Convey("a known key runs for its organisation and isn't forwarded", func() {
			for _, values := range [][]string{{"Bearer ka"}, {"bearer ka"}, {"BEARER  ka"}, {"Bearer\tka"}, {"Basic eDp5", "Bearer ka"}} {
				e.gate.calls = nil
				So(e.get("/x", values...).StatusCode, ShouldEqual, http.StatusOK)
				So(e.gate.calls, ShouldHaveLength, 1)
				call := e.gate.calls[0]
				So(call.Organisation, ShouldEqual, "a")
				So(call.Header["Authorization"], ShouldBeEmpty)
				So(call.Header["Egret-Organisation"], ShouldBeEmpty)
				So(call.KeyUse.IsZero(), ShouldBeFalse)
			}
		})
		Convey("the organisation's class goes before the route's", func() {
			e.get("/x", "Bearer ka")
			e.get("/x", "Bearer kb2")
			So(e.gate.calls[0].Class, ShouldEqual, pb.Class_CLASS_CRITICAL)
			So(e.gate.calls[1].Class, ShouldEqual, pb.Class_CLASS_BACKGROUND)
		})
		Convey("a missing, unknown, empty or ambiguous key is refused at once", func() {
			for _, values := range [][]string{
				nil, {""}, {"Bearer"}, {"Bearer "}, {"Bearer k"}, {"Bearer KA"}, {"Bearer ka kb"}, {"Bearer ka,kb"}, {"Basic ka"}, {"ka"},
				{"Bearerka"}, {"Bearer:ka"}, {"Bearer ka", "Bearer kb"}, {"Bearer ka, Bearer kb"}, {"Bearer " + strings.Repeat("k", 5000)},
			} {
				resp := e.get("/x", values...)
				So(resp.StatusCode, ShouldEqual, http.StatusUnauthorized)
				So(resp.Header.Get("Www-Authenticate"), ShouldEqual, "Bearer")
				So(resp.Header.Get("Egret-Error"), ShouldEqual, "unauthenticated")
				So(resp.Header.Get("Egret-Run"), ShouldEqual, "no")
			}
			So(e.gate.calls, ShouldBeEmpty)
			So(e.balancer.results, ShouldBeEmpty)
		})
		Convey("an exempt route runs without a key, and removes Bearer credentials only", func() {
			for _, test := range []struct {
				values, forwarded []string
				organisation      string
			}{
				{nil, nil, ""},
				{[]string{"Bearer unknown"}, nil, ""},
				{[]string{"Bearer:kb"}, nil, ""},
				{[]string{"Bearer kb"}, nil, "b"},
				{[]string{"Basic eDp5"}, []string{"Basic eDp5"}, ""},
				{[]string{"Basic eDp5", "bEARER kb"}, []string{"Basic eDp5"}, "b"},
				{[]string{"Basic eDp5, Bearer kb"}, nil, ""},
				{[]string{"Bearer ka", "Bearer kb"}, nil, ""},
			} {
				e.gate.calls = nil
				So(e.get("/open/x", test.values...).StatusCode, ShouldEqual, http.StatusOK)
				call := e.gate.calls[0]
				So(call.Organisation, ShouldEqual, test.organisation)
				So(call.Header["Authorization"], ShouldResemble, test.forwarded)
				So(call.Header["Egret-Organisation"], ShouldBeEmpty)
				So(call.KeyUse.IsZero(), ShouldBeTrue)
			}
		})
		Convey("without organisations the header is forwarded, except a forged organisation", func() {
			e.SetRoutes(routesAt(2, withOrganisations()))
			So(e.get("/x", "Bearer ka").StatusCode, ShouldEqual, http.StatusOK)
			So(e.gate.calls[0].Header["Authorization"], ShouldResemble, []string{"Bearer ka"})
			So(e.gate.calls[0].Header["Egret-Organisation"], ShouldBeEmpty)
			So(e.gate.calls[0].Organisation, ShouldEqual, "")
		})
	})
	Convey("A node without a configuration answers 503, never 401", t, func() {
		resp := newOrganisationsEntry(nil).get("/x", "Bearer ka")
		So(resp.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
		So(resp.Header.Get("Www-Authenticate"), ShouldEqual, "")
	})
	Convey("A platform's own organisation header is removed when forged", t, func() {
		headers := *wire.DefaultHeaders()
		headers.Organisation = "X-Organisation"
		e := newOrganisationsEntry(func(o *entry.Options) { o.Headers = &headers })
		e.SetRoutes(routesAt(1, organisationsConfig()))
		r := httptest.NewRequest(http.MethodGet, "/open/x", nil)
		r.Host = "h"
		r.Header["X-Organisation"] = []string{"a", "b"}
		e.ServeHTTP(httptest.NewRecorder(), r)
		So(e.gate.calls[0].Header["X-Organisation"], ShouldBeEmpty)
	})
}

// Guards against keys that stay valid, or stay with an organisation, after a change.
func TestKeyChanges(t *testing.T) {
	Convey("Given an entry with two organisations", t, func() {
		e := newOrganisationsEntry(nil)
		e.SetRoutes(routesAt(1, organisationsConfig()))
		runsFor := func(key string) string {
			e.gate.calls = nil
			if e.get("/x", "Bearer "+key).StatusCode != http.StatusOK {
				return ""
			}
			return e.gate.calls[0].Organisation
		}
		Convey("a withdrawn key is refused while its organisation remains", func() {
			e.SetRoutes(routesAt(2, withOrganisations(&pb.Organisation{Name: "b", ApiKeys: []string{"kb"}})))
			So(runsFor("kb2"), ShouldEqual, "")
			So(runsFor("kb"), ShouldEqual, "b")
		})
		Convey("an organisation without keys and a removed one have no callers", func() {
			e.SetRoutes(routesAt(2, withOrganisations(&pb.Organisation{Name: "b"})))
			So(runsFor("ka"), ShouldEqual, "")
			So(runsFor("kb"), ShouldEqual, "")
		})
		Convey("a moved key runs for its new organisation", func() {
			e.SetRoutes(routesAt(2, withOrganisations(&pb.Organisation{Name: "a", ApiKeys: []string{"kb"}}, &pb.Organisation{Name: "b", ApiKeys: []string{"ka"}})))
			So(runsFor("ka"), ShouldEqual, "b")
			So(runsFor("kb"), ShouldEqual, "a")
		})
	})
}

// Guards against a request that starts although its key was withdrawn while it waited in
// the entry, and against one attributed to the former organisation of a moved key.
func TestKeyWithdrawnWhileWaiting(t *testing.T) {
	Convey("Given a request that waits for the choice of its server", t, func() {
		e := newOrganisationsEntry(nil)
		e.SetRoutes(routesAt(1, organisationsConfig()))
		changeOnce := func(organisations ...*pb.Organisation) func() {
			return sync.OnceFunc(func() { e.SetRoutes(routesAt(2, withOrganisations(organisations...))) })
		}
		Convey("it isn't started when its key is withdrawn, and the choice is reported", func() {
			e.balancer.onPick = changeOnce(&pb.Organisation{Name: "b", ApiKeys: []string{"kb"}})
			So(e.get("/x", "Bearer kb2").StatusCode, ShouldEqual, http.StatusUnauthorized)
			So(e.gate.calls, ShouldBeEmpty)
			So(e.balancer.unreported, ShouldEqual, 0)
		})
		Convey("it runs for the new organisation when its key is moved, by a second choice", func() {
			e.balancer.onPick = changeOnce(&pb.Organisation{Name: "a", ApiKeys: []string{"kb"}, Class: pb.Class_CLASS_CRITICAL})
			So(e.get("/x", "Bearer kb").StatusCode, ShouldEqual, http.StatusOK)
			So(e.gate.calls[0].Organisation, ShouldEqual, "a")
			So(e.gate.calls[0].Class, ShouldEqual, pb.Class_CLASS_CRITICAL)
			So(e.balancer.outcomes(), ShouldResemble, []balance.Outcome{balance.OutcomeCancelled, balance.OutcomeSuccess})
		})
		Convey("on an exempt route it runs without an organisation when its key is withdrawn", func() {
			e.balancer.onPick = changeOnce(&pb.Organisation{Name: "c", ApiKeys: []string{"kc"}})
			So(e.get("/open/x", "Bearer kb").StatusCode, ShouldEqual, http.StatusOK)
			So(e.gate.calls[0].Organisation, ShouldEqual, "")
		})
		Convey("it needs a key, which isn't forwarded, when the first organisation appears", func() {
			e.SetRoutes(routesAt(2, withOrganisations()))
			e.balancer.onPick = changeOnce(&pb.Organisation{Name: "c", ApiKeys: []string{"kc"}})
			So(e.get("/x", "Bearer ka").StatusCode, ShouldEqual, http.StatusUnauthorized)
			So(e.gate.calls, ShouldBeEmpty)
			e.SetRoutes(routesAt(3, withOrganisations()))
			e.balancer.onPick = changeOnce(&pb.Organisation{Name: "c", ApiKeys: []string{"kc"}})
			So(e.get("/x", "Bearer kc").StatusCode, ShouldEqual, http.StatusOK)
			So(e.gate.calls[0].Organisation, ShouldEqual, "c")
			So(e.gate.calls[0].Header["Authorization"], ShouldBeEmpty)
		})
		Convey("it is not retried when its key is withdrawn after a refusal", func() {
			change := changeOnce(&pb.Organisation{Name: "a", ApiKeys: []string{"ka"}})
			e.gate.answer = func(*wire.Call) *wire.Answer {
				change()
				return wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_DRAINING, "leaving")
			}
			So(e.get("/x", "Bearer kb").StatusCode, ShouldEqual, http.StatusUnauthorized)
			So(e.gate.calls, ShouldHaveLength, 1)
		})
		Convey("a first attempt that may have run isn't answered with 401, which says that it didn't", func() {
			change := changeOnce(&pb.Organisation{Name: "a", ApiKeys: []string{"ka"}})
			e.gate.answer = func(*wire.Call) *wire.Answer {
				change()
				return wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_SERVER_FAILED, "broke")
			}
			// The retry comes out of a budget that successes fill.
			resp := e.get("/x", "Bearer kb")
			So(resp.StatusCode, ShouldEqual, http.StatusBadGateway)
			So(resp.Header.Get("Egret-Run"), ShouldEqual, "unknown")
		})
	})
	Convey("A request that waits for its turn on a connection isn't started when its key is withdrawn", t, func() {
		entered, release := make(chan struct{}, 2), make(chan struct{})
		server := &countingServer{answer: func(w http.ResponseWriter, r *http.Request) {
			entered <- struct{}{}
			<-release
		}}
		c := newCluster(nil, server)
		defer c.close()
		letGo := sync.OnceFunc(func() { close(release) })
		defer letGo()
		c.entry.SetRoutes(routesAt(1, organisationsConfig()))
		p := c.pipelineCaller()
		defer p.Close()
		p.send("GET /x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer ka\r\n\r\n" +
			"POST /order/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer kb\r\nContent-Length: 1\r\n\r\nx")
		<-entered
		c.entry.SetRoutes(routesAt(2, withOrganisations(&pb.Organisation{Name: "a", ApiKeys: []string{"ka"}})))
		letGo()
		So(statusOf(p), ShouldEqual, http.StatusOK)
		So(statusOf(p), ShouldEqual, http.StatusUnauthorized)
		So(server.runs.Load(), ShouldEqual, 1)
	})
}

func statusOf(p *pipelineCaller) int {
	resp, _ := p.answer(http.MethodGet)
	return resp.StatusCode
}

// seenOn returns X-Seen of the next answer, or its status if it isn't 200.
func seenOn(p *pipelineCaller) string {
	resp, _ := p.answer(http.MethodGet)
	if resp.StatusCode != http.StatusOK {
		return fmt.Sprint(resp.StatusCode)
	}
	return resp.Header.Get("X-Seen")
}

// Guards against a connection whose first request authenticates the later ones.
func TestKeysOnOneConnection(t *testing.T) {
	Convey("Each request of a connection is authenticated by itself, pipelined or not", t, func() {
		c := newCluster(nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Seen", r.Header.Get("Egret-Organisation")+"/"+r.Header.Get("Authorization"))
		}))
		defer c.close()
		c.entry.SetRoutes(routesAt(1, organisationsConfig()))
		p := c.pipelineCaller()
		defer p.Close()
		for _, pipelined := range []bool{false, true} {
			requests := []string{"Authorization: Bearer ka\r\n", "", "Authorization: Bearer kb\r\n", "Authorization: Bearer k\r\n", "Egret-Organisation: a\r\n", "Authorization: Bearer ka\r\n"}
			seen := []string{"a/", "401", "b/", "401", "401", "a/"}
			if pipelined {
				for _, header := range requests {
					p.send("GET /x HTTP/1.1\r\nHost: h\r\n" + header + "\r\n")
				}
			}
			for i, header := range requests {
				if !pipelined {
					p.send("GET /x HTTP/1.1\r\nHost: h\r\n" + header + "\r\n")
				}
				So(seenOn(p), ShouldEqual, seen[i])
			}
		}
	})
}

// Guards against a gate that starts a request whose key was withdrawn while it waited in
// its queue, when the entry has the older configuration.
func TestKeyWithdrawnInQueue(t *testing.T) {
	Convey("Given a request in the queue of a gate whose slots are taken", t, func() {
		entered, release := make(chan struct{}, 10), make(chan struct{})
		server := &countingServer{answer: func(w http.ResponseWriter, r *http.Request) {
			entered <- struct{}{}
			<-release
			w.Header().Set("X-Seen", r.Header.Get("Egret-Organisation"))
		}}
		c := newCluster(nil, server)
		defer c.close()
		routes := routesAt(1, organisationsConfig())
		c.entry.SetRoutes(routes)
		c.gates[0].SetKeys(routes.Keys())
		c.gates[0].SetQueuePercent(200)
		get := func(key string) <-chan *http.Response {
			answer := make(chan *http.Response, 1)
			go func() {
				req, _ := http.NewRequest(http.MethodGet, c.url+"/x", nil)
				req.Host = "h"
				req.Header.Set("Authorization", "Bearer "+key)
				resp, err := http.DefaultClient.Do(req)
				if err == nil {
					resp.Body.Close()
				}
				answer <- resp
			}()
			return answer
		}
		var holders []<-chan *http.Response
		running := c.gates[0].Report().GetSlots()
		for range running {
			holders = append(holders, get("ka"))
			<-entered
		}
		waiting := get("kb2")
		for c.gates[0].Report().GetQueued() == 0 {
			time.Sleep(time.Millisecond)
		}
		letGo := sync.OnceFunc(func() { close(release) })
		defer letGo() // a failed assertion leaves the server waiting
		finish := func() *http.Response {
			letGo()
			for _, holder := range holders {
				So((<-holder).StatusCode, ShouldEqual, http.StatusOK)
			}
			return <-waiting
		}
		Convey("it isn't started when the gate learns of the withdrawal, and others keep running", func() {
			c.gates[0].SetKeys(routesAt(2, withOrganisations(&pb.Organisation{Name: "b", ApiKeys: []string{"kb"}})).Keys())
			So(finish().StatusCode, ShouldEqual, http.StatusUnauthorized)
			So(server.runs.Load(), ShouldEqual, running)
			So(c.gates[0].Report().GetInFlight(), ShouldEqual, 0)
		})
		Convey("it is placed again for the new organisation when its key is moved", func() {
			next := routesAt(2, withOrganisations(&pb.Organisation{Name: "c", ApiKeys: []string{"kb2"}}))
			c.balancer.endpoints = append(c.balancer.endpoints, &balance.Endpoint{
				Instance: "again", Incarnation: 1, Service: "orders", GateAddress: c.balancer.endpoints[0].GateAddress, Slots: 4,
			})
			c.gates[0].SetKeys(next.Keys())
			c.entry.SetRoutes(next)
			resp := finish()
			So(resp.StatusCode, ShouldEqual, http.StatusOK)
			So(resp.Header.Get("X-Seen"), ShouldEqual, "c")
		})
		Convey("it starts when the configuration changes and its key stays", func() {
			c.gates[0].SetKeys(routesAt(2, withOrganisations(&pb.Organisation{Name: "b", ApiKeys: []string{"kb2"}})).Keys())
			So(finish().StatusCode, ShouldEqual, http.StatusOK)
		})
	})
}

// Guards against unbounded label values, and against counters that decrease when the set of
// the largest organisations changes.
func TestOrganisationMetrics(t *testing.T) {
	Convey("Answers are counted for the 20 largest organisations and together for the others", t, func() {
		reader := metric.NewManualReader()
		meter := metric.NewMeterProvider(metric.WithReader(reader)).Meter("test")
		e := newOrganisationsEntry(func(o *entry.Options) { o.Meter = meter })
		config := withOrganisations()
		for i := range 25 {
			config.Organisations = append(config.Organisations, &pb.Organisation{Name: fmt.Sprint("o", i), ApiKeys: []string{fmt.Sprint("k", i)}})
		}
		e.SetRoutes(routesAt(1, config))
		send := func(organisation, requests int) {
			for range requests {
				e.get("/x", fmt.Sprint("Bearer k", organisation))
			}
		}
		const name = "egretfield.entry.organisation_answersorganisation="
		series := func() map[string]int64 {
			found := map[string]int64{}
			for key, value := range collect(reader) {
				if rest, ok := strings.CutPrefix(key, name); ok {
					found[rest] = value
				}
			}
			return found
		}
		for i := range 25 {
			send(i, 1+i/5)
		}
		first := series()
		So(first, ShouldHaveLength, 21)
		So(first["o24,result=served"], ShouldEqual, 5)
		So(first["(other),result=served"], ShouldEqual, 5)
		send(0, 10)
		e.SetRoutes(routesAt(2, proto.CloneOf(config)))
		second := series()
		So(second, ShouldHaveLength, 21)
		So(second["o0,result=served"], ShouldEqual, 10)
		So(second["(other),result=served"], ShouldEqual, 5)
		config.Organisations = config.Organisations[:24]
		e.SetRoutes(routesAt(3, config))
		So(series()["(other),result=served"], ShouldBeGreaterThanOrEqualTo, 5)
	})
}

// Guards against keys in log lines and error messages.
func TestNoKeyIsLogged(t *testing.T) {
	Convey("No log line and no answer has a key", t, func() {
		core, logs := observer.New(zap.DebugLevel)
		e := newOrganisationsEntry(func(o *entry.Options) { o.Logger = zap.New(core) })
		config := withOrganisations(&pb.Organisation{Name: "a", ApiKeys: []string{"secret-known"}})
		e.SetRoutes(routesAt(1, config))
		for _, path := range []string{"/x", "/open/x", "/../x"} {
			for _, value := range []string{"Bearer secret-known", "Bearer secret-unknown", "Bearer:secret", "secret"} {
				resp := e.get(path, value)
				body := make([]byte, 4096)
				n, _ := resp.Body.Read(body)
				So(fmt.Sprint(resp.Header, string(body[:n])), ShouldNotContainSubstring, "secret")
			}
		}
		So(logs.Len(), ShouldBeGreaterThan, 0)
		for _, line := range logs.All() {
			So(fmt.Sprint(line.Message, line.ContextMap()), ShouldNotContainSubstring, "secret")
		}
	})
}

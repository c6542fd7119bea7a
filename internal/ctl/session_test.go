package ctl

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/egretfield/egretfield/internal/entry"
	"github.com/egretfield/egretfield/internal/once"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/peer"
	"github.com/egretfield/egretfield/internal/platformlog"
	"github.com/egretfield/egretfield/internal/standin/fakepeer"
	"github.com/egretfield/egretfield/internal/standin/memlog"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
)

var instances = []string{"orders-1", "orders-2", "orders-3"}

// testFleet is a fleet of nodes and the environment in which egretctl runs. It answers
// status for the nodes, and explain with fixed facts and those of the first node's keeper.
type testFleet struct {
	log   *memlog.Log
	net   *fakepeer.Network
	nodes []*testNode
	// text collects what egretctl and the test print, for the golden file.
	text bytes.Buffer
	// files holds the contents of the files that egretctl can read, by name.
	files map[string]string
	ids   int
	// extraMembers are listed in Fleet without a status of their own.
	extraMembers []*pb.Member
	// organisation sends the orders; empty: no organisations are configured.
	organisation string
	// entry decides about requests; nil before the first question about one.
	entry *entry.Handler
	// executions is the number of orders that ran.
	executions int
}

// Node implements NodeStatus.
func (s *testFleet) Node() *pb.NodeStatus {
	status := s.nodes[0].follower.Status()
	ready := s.nodes[0].follower.Ready()
	state := &pb.ReadyState{Ready: ready == nil}
	if ready != nil {
		state.Reasons = []*pb.ReadyReason{{Part: "config", Kind: pb.ErrorKind_ERROR_KIND_NOT_READY, Message: ready.Error()}}
	}
	return &pb.NodeStatus{Member: memberOf(instances[0]), Ready: state, Config: status}
}

// Fleet implements NodeStatus.
func (s *testFleet) Fleet() *pb.FleetStatus {
	fleet := &pb.FleetStatus{}
	for _, n := range s.nodes {
		fleet.Nodes = append(fleet.Nodes, &pb.FleetNode{
			Member: memberOf(n.name), Digest: n.follower.Digest(), Ready: n.follower.Ready() == nil, AgeMs: 200,
		})
	}
	for _, other := range s.extraMembers {
		fleet.Nodes = append(fleet.Nodes, &pb.FleetNode{Member: other})
	}
	return fleet
}

// Explain implements NodeStatus.
func (s *testFleet) Explain(request *pb.ExplainRequest) *pb.ExplainReply {
	reply := &pb.ExplainReply{}
	if request.GetInstance() == instances[2] {
		reply.Endpoints = []*pb.EndpointFacts{{
			Member: memberOf(instances[2]), Reasons: []string{"draining"}, Picks: 12, Successes: 11, Refusals: 1,
			Report: &pb.LoadReport{InFlight: 2, Slots: 10, RateLimitPerS: new(3.2)}, ReportAgeMs: 1500,
		}}
	}
	if keeper := s.nodes[0].keeper; keeper != nil {
		reply.Key = keeper.Explain(once.Key{Service: "orders", Value: request.GetKey()})
	}
	if request.GetOrganisation() == "acme" {
		reply.CapOwners = []*pb.CapOwner{{Region: "north", Instance: instances[1]}, {Region: "south"}}
	}
	if request.GetKey() == "k1" {
		reply.Key = &pb.KeyFacts{Service: "orders", State: pb.RunState_RUN_STATE_UNKNOWN, Keeper: "orders-2",
			Kind: pb.ErrorKind_ERROR_KIND_SERVER_FAILED, Message: "orders-1 broke off", FirstSeenUnixMs: 946684800000}
	}
	if request.GetFingerprint() == "f00d" {
		reply.Quarantines = []*pb.QuarantineFacts{{Fingerprint: "f00d", Service: "orders", Method: "POST", Path: "/group",
			Crashed: instances[:2], SinceUnixMs: 946684800000, UntilUnixMs: 946685100000, Refused: 7}}
	}
	return reply
}

func memberOf(instance string) *pb.Member {
	return &pb.Member{Instance: instance, Region: "north", DataCentre: "taipei", Service: "orders",
		Status: pb.MemberStatus_MEMBER_STATUS_ALIVE}
}

// startNodes starts all nodes. The function returned stops them.
func (s *testFleet) startNodes(ctx context.Context) (stop func()) {
	for index := range instances {
		s.nodes = append(s.nodes, s.startNode(ctx, index))
	}
	return func() {
		for _, n := range s.nodes {
			s.kill(n)
		}
	}
}

func (s *testFleet) env() Env {
	return Env{
		Stdout: &s.text,
		Stderr: &s.text,
		Getenv: func(name string) string {
			return map[string]string{"EGRETFIELD_NODE": instances[0], "EGRETFIELD_OPERATOR": "ann"}[name]
		},
		ReadFile: func(name string) ([]byte, error) {
			if text, ok := s.files[name]; ok {
				return []byte(text), nil
			}
			return nil, os.ErrNotExist
		},
		NewLog:           func(string) (platformlog.Log, error) { return s.log.ForClient(memlog.Client{Name: "ctl"}), nil },
		NewControlClient: func([]byte, *pb.TlsSettings) (peer.Client, error) { return s.net.At("ctl"), nil },
		NewID:            func() string { s.ids++; return fmt.Sprintf("id-%d", s.ids) },
	}
}

// run runs egretctl with a command line and appends its output to text.
func (s *testFleet) run(line string) {
	fmt.Fprintf(&s.text, "$ egretctl %s\n", line)
	code := Main(context.Background(), strings.Fields(line), s.env())
	if code != 0 {
		fmt.Fprintf(&s.text, "exit code %d\n", code)
	}
	time.Sleep(time.Second)
}

// runSession runs steps on a new fleet in virtual time and compares everything printed,
// and the nodes' logs, with a golden file.
func runSession(t *testing.T, name string, steps func(s *testFleet)) {
	t.Helper()
	virtualtime.Test(t, func(t *testing.T) {
		s := &testFleet{log: memlog.New(memlog.Options{}), net: fakepeer.New(), files: map[string]string{}}
		s.files["one.yaml"] = "services: [{name: orders}]\ndefault_preset: ordinary\npresets: [{name: ordinary}, {name: peak, policy: {max_attempts: 2}}]\n"
		s.files["two.yaml"] = s.files["one.yaml"] + "max_call_depth: 13\n"
		s.files["bad.yaml"] = strings.Replace(s.files["one.yaml"], "default_preset: ordinary", "default_preset: night", 1) + "max_call_depth: 99\n"
		ctx, cancel := context.WithCancel(context.Background())
		stop := s.startNodes(ctx)
		time.Sleep(time.Second)
		steps(s)
		cancel()
		stop()
		s.printLogs()
		goldie.New(t).Assert(t, name, s.text.Bytes())
	})
}

func TestSessions(t *testing.T) {
	runSession(t, "publish-race-switch", func(s *testFleet) {
		s.run("status")
		s.run("validate one.yaml bad.yaml none.yaml")
		s.run("publish bad.yaml")
		s.run("publish one.yaml -reason first")
		s.run("preset use peak -operator bob -reason sale")
		s.run("publish two.yaml -base 1 -reason depth")
		s.run("publish two.yaml -reason depth")
		s.run("publish two.yaml -id id-1")
		s.run("preset use night")
		s.run("preset list")
		s.run("status")
		s.run("explain config")
		s.run("audit")
		s.run("audit -n 1 -o json")
		s.run("config show")
	})
	// Guards against API keys in output and logs, and against digests published as keys.
	runSession(t, "api-keys", func(s *testFleet) {
		s.files["keys.yaml"] = s.files["one.yaml"] + "organisations: [{name: acme, api_keys: [secret-1, secret-2]}]\n"
		s.files["moved.yaml"] = s.files["one.yaml"] + "organisations: [{name: acme, api_keys: [secret-1]}, {name: other, api_keys: [secret-2]}]\n"
		s.files["twice.yaml"] = s.files["one.yaml"] + "organisations: [{name: acme, api_keys: [secret-1]}, {name: other, api_keys: [secret-1]}]\n"
		s.files["digests.yaml"] = s.files["one.yaml"] + "organisations: [{name: acme, api_keys: [\"sha256:5b11618c\"]}]\n"
		s.run("validate keys.yaml twice.yaml digests.yaml")
		s.run("publish keys.yaml")
		s.run("publish moved.yaml")
		s.run("publish twice.yaml")
		s.run("audit")
		s.run("status -o json")
		s.run("explain config")
		s.run("explain organisation/other")
		s.run("config show")
		s.run("config show -o json")
		s.files["back.yaml"] = s.files["one.yaml"] + "operator_version: 7\norganisations: [{name: acme, api_keys: [secret-1, secret-2], " +
			"class: CLASS_CRITICAL, rate_per_s: 2.5, burst: 5, allowed_regions: [north]}]\n"
		s.run("publish back.yaml -reason sale")
		for _, name := range []string{"acme", "other", "nobody"} {
			s.run("explain organisation " + name)
		}
		s.run("explain organisation/acme -o json")
		s.run("explain organisation")
		if strings.Contains(s.text.String(), "secret") {
			t.Error("a key was shown")
		}
		s.run("config show -keys")
	})
	runSession(t, "drain-explain", func(s *testFleet) {
		s.run("publish one.yaml")
		s.run("drain orders-9")
		s.run("drain orders-3 -reason disk")
		s.run("drain orders-3 -base 1")
		s.run("explain instance orders-3")
		s.run("explain instance orders-8")
		s.run("explain service nothing")
		s.run("explain key k1")
		s.run("explain key k2")
		s.run("explain quarantine f00d")
		s.run("explain quarantine")
		s.run("undrain orders-3")
		s.run("explain weather")
		s.run("audit -changes=false")
	})
	runSession(t, "evacuate", func(s *testFleet) {
		s.run("evacuate taipei")
		s.run("publish one.yaml")
		s.run("evacuate atlantis")
		s.run("evacuate taipei -reason flood")
		s.run("evacuate -end taipei -base 1")
		s.run("status")
		s.run("status -node= -log http://log -o json")
		s.run("explain instance orders-3")
		s.run("explain config")
		s.run("evacuate -end taipei")
		s.run("audit")
	})
	runSession(t, "outage", func(s *testFleet) {
		s.run("publish one.yaml -log http://log")
		s.log.SetFaults(&pb.LogFaults{LoseAnswers: 1, Duplicate: 1})
		s.run("preset use peak")
		s.log.SetFaults(&pb.LogFaults{DownFor: instances[2:]})
		s.run("preset use ordinary -timeout 5s")
		s.run("explain config")
		s.log.SetFaults(&pb.LogFaults{Down: true})
		s.run("publish two.yaml -timeout 5s")
		s.run("publish two.yaml -timeout 5s -log http://log -o json")
		s.run("status")
		s.log.SetFaults(&pb.LogFaults{})
		time.Sleep(5 * time.Second)
		s.run("publish two.yaml")
	})
	runSession(t, "resend", func(s *testFleet) {
		s.run("publish one.yaml")
		for _, n := range s.nodes {
			s.startKeeper(context.Background(), n)
		}
		time.Sleep(20 * time.Second) // until the keepers' leases have begun
		first, second, third := s.nodes[0], s.nodes[1], s.nodes[2]
		kept, lost := s.newKey(), s.newKey()
		s.order(first, kept, true)
		s.order(third, kept, true)
		s.run("explain key " + kept)
		s.order(first, lost, false)
		s.run("explain key " + lost)
		shared := s.newKey()
		for _, s.organisation = range []string{"acme", "other"} {
			s.order(first, shared, true)
		}
		s.organisation = ""
		s.run("explain key " + shared)
		time.Sleep(20 * time.Second)
		s.run("explain key " + lost)
		s.order(third, lost, true)
		s.log.SetFaults(&pb.LogFaults{Down: true})
		time.Sleep(5 * time.Second)
		s.order(third, kept, true)
		s.order(second, s.newKey(), true)
		s.log.SetFaults(&pb.LogFaults{}) // before a lease ends, as the next claimant is random
		time.Sleep(20 * time.Second)
		s.order(first, kept, true)
		s.order(second, s.newKey(), true)
	})
	// Members of a data centre that is cut off, whose own status isn't known. A command
	// waits only for those that are still listed as alive.
	runSession(t, "cut", func(s *testFleet) {
		s.run("publish one.yaml")
		s.extraMembers = []*pb.Member{
			{Instance: "orders-4", DataCentre: "tainan", Status: pb.MemberStatus_MEMBER_STATUS_DEAD},
			{Instance: "orders-5", DataCentre: "tainan", Status: pb.MemberStatus_MEMBER_STATUS_SUSPECT},
			{Instance: "orders-6", DataCentre: "tainan", Status: pb.MemberStatus_MEMBER_STATUS_LEFT},
		}
		s.run("preset use peak")
		s.extraMembers = []*pb.Member{{Instance: "orders-4", DataCentre: "tainan", Status: pb.MemberStatus_MEMBER_STATUS_ALIVE}}
		s.run("preset use ordinary -timeout 5s")
		s.run("explain config")
	})
	runSession(t, "usage", func(s *testFleet) {
		s.run("-version")
		s.run("help")
		s.run("")
		s.run("fly")
		s.run("publish")
		s.run("publish -h")
		s.run("status -o xml")
		s.run("status -colour")
	})
}

package config

import (
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

const valid = `services:
  - name: orders
    hosts: [orders.example]
    routes:
      - path_prefix: /group
        methods: [POST]
        deadline_ms: 5000
default_preset: ordinary
presets:
  - name: ordinary
    policy: {balancer: p2c}
`

// broken lists edits of the valid file and the errors they must give.
var broken = []struct {
	name, old, updated string
	errors             []string
}{
	{"syntax", "deadline_ms: 5000", "deadline_ms: {5000", []string{"c.yaml:7: did not find expected"}},
	{"unknown key", "deadline_ms", "dead_line", []string{`c.yaml:7:9: unknown field "dead_line", expected one of`}},
	{"repeated key", "default_preset: ordinary", "default_preset: a\ndefault_preset: ordinary",
		[]string{`c.yaml:9:1: key "default_preset" is already set on line 8`}},
	{"wrong type", "5000", "soon", []string{"c.yaml:7:22: invalid integer"}},
	{"negative", "5000", "-1", []string{"c.yaml:7:22: invalid integer"}},
	{"too large", "5000", "600001", []string{"c.yaml:7:22: services[0].routes[0].deadline_ms: got 600001, expected at most 600000 ms"}},
	{"no service", "services:\n  - name: orders\n    hosts: [orders.example]\n    routes:\n      - path_prefix: /group\n        methods: [POST]\n        deadline_ms: 5000\n", "",
		[]string{"c.yaml:1:1: services: expected at least one service"}},
	{"service name in capitals", "name: orders", "name: Orders", []string{
		`c.yaml:2:11: services[0].name: got "Orders", expected a name of lower-case letters`,
	}},
	{"host with port", "orders.example", "orders.example:80", []string{`c.yaml:3:13: services[0].hosts[0]: got "orders.example:80"`}},
	{"prefix", "/group", "group", []string{`c.yaml:5:22: services[0].routes[0].path_prefix: got "group"`}},
	{"method", "[POST]", "[post, GET, GET]", []string{
		`c.yaml:6:19: services[0].routes[0].methods[0]: got "post", expected an HTTP method in capitals`,
		`c.yaml:6:30: services[0].routes[0].methods[2]: "GET" is already used at services[0].routes[0].methods[1]`,
	}},
	{"shadowed route", "        deadline_ms: 5000\n", "        deadline_ms: 5000\n      - path_prefix: /group/a\n        methods: [POST]\n",
		[]string{"c.yaml:8:9: services[0].routes[1]: never matches: routes[0] takes all its requests"}},
	{"key without effect", "deadline_ms: 5000", "idempotent: true\n        require_key: true",
		[]string{"c.yaml:8:22: services[0].routes[0].require_key: a key has no effect"}},
	{"class", "deadline_ms: 5000", "class: CLASS_URGENT", []string{`c.yaml:7:16: unknown enum value "CLASS_URGENT"`}},
	{"cold time", "hosts: [orders.example]", "cold_ms: 600001", []string{"c.yaml:3:14: services[0].cold_ms: got 600001, expected at most 600000 ms"}},
	{"cold rate", "hosts: [orders.example]", "cold_requests_per_s: -1",
		[]string{"c.yaml:3:26: services[0].cold_requests_per_s: got -1, expected 0 to 10000 requests a second"}},
	{"class number", "deadline_ms: 5000", "class: 9", []string{"c.yaml:7:16: services[0].routes[0].class: got 9"}},
	{"default preset", "default_preset: ordinary", "default_preset: peak",
		[]string{`c.yaml:8:17: default_preset: got "peak", expected the name of a preset (ordinary)`}},
	{"no preset", "presets:\n  - name: ordinary\n    policy: {balancer: p2c}\n", "", []string{
		"presets: expected at least one preset", "default_preset: got \"ordinary\"",
	}},
	{"balancer", "p2c", "fastest", []string{`c.yaml:11:24: presets[0].policy.balancer: got "fastest", expected one of earliest_finish, least_in_flight, p2c, p2c_ewma, probe_pool, random, round_robin`}},
	{"policy of an unknown service", "balancer: p2c}", "balancer: p2c}\n    service_policies: [{service: order, policy: {}}]",
		[]string{`c.yaml:12:34: presets[0].service_policies[0].service: got "order", expected the name of a service`}},
	{"policy without content", "balancer: p2c}", "balancer: p2c}\n    service_policies: [{service: orders}]",
		[]string{"c.yaml:12:24: presets[0].service_policies[0]: expected a policy"}},
	{"budget", "balancer: p2c}", "balancer: p2c}\n    measuring_budget: {bytes_per_s: 25001}",
		[]string{"c.yaml:12:37: presets[0].measuring_budget.bytes_per_s: got 25001, expected at most 25000 bytes/s"}},
	{"probes over budget", "balancer: p2c}", "probes_per_s: 61}\n    measuring_budget: {messages_per_s: 60}",
		[]string{"c.yaml:11:28: presets[0].policy.probes_per_s: got 61, expected at most the preset's 60 messages/s"}},
	{"lease", "balancer: p2c}", "balancer: p2c}\n    keeper_lease_s: 2", []string{"c.yaml:12:21: presets[0].keeper_lease_s: got 2, expected at least 5"}},
	{"percent", "balancer: p2c}", "retry_budget_percent: 101}", []string{"got 101, expected at most 100 percent"}},
	{"hedged attempts", "balancer: p2c}", "hedge_percent: 21}", []string{"presets[0].policy.hedge_percent: got 21, expected at most 20 percent"}},
	{"promised percent", "balancer: p2c}", "promised_percent: 101}", []string{"promised_percent", "got 101, expected at most 100 percent"}},
}

func TestParse(t *testing.T) {
	Convey("A valid file is accepted", t, func() {
		config, err := Parse("c.yaml", []byte(valid))
		So(err, ShouldBeNil)
		So(config.GetServices()[0].GetRoutes()[0].GetDeadlineMs(), ShouldEqual, 5000)
		So(Check(config), ShouldBeNil)
	})
	Convey("Each error names the line and what was expected", t, func() {
		for _, test := range broken {
			Convey(test.name, func() {
				text := strings.Replace(valid, test.old, test.updated, 1)
				So(text, ShouldNotEqual, valid)
				_, err := Parse("c.yaml", []byte(text))
				So(errkind.KindOf(err), ShouldEqual, pb.ErrorKind_ERROR_KIND_INVALID_CONFIG)
				for _, line := range test.errors {
					So(err.Error(), ShouldContainSubstring, line)
				}
			})
		}
	})
	Convey("All errors are reported at once", t, func() {
		text := strings.NewReplacer("5000", "600001", "p2c", "fastest", ": ordinary\npresets", ": none\npresets").Replace(valid)
		_, err := Parse("c.yaml", []byte(text))
		So(strings.Count(err.Error(), "c.yaml:"), ShouldEqual, 3)
	})
	Convey("A configuration too large for a snapshot is refused", t, func() {
		config, err := Parse("c.yaml", []byte(valid))
		So(err, ShouldBeNil)
		config.Services[0].Routes[0].PathPrefix = "/" + strings.Repeat("a", MaxEncodedBytes)
		So(Check(config).Error(), ShouldContainSubstring, "expected at most 1048576 bytes encoded")
	})
	Convey("An empty file and a missing configuration are refused", t, func() {
		So(Check(nil), ShouldNotBeNil)
		_, err := Parse("c.yaml", nil)
		So(err.Error(), ShouldContainSubstring, "c.yaml:1:1: services: expected at least one service")
	})
}

func TestExamples(t *testing.T) {
	Convey("The examples are valid and have three presets", t, func() {
		for _, name := range []string{"association", "templarik"} {
			path := "../../examples/" + name + "/config.yaml"
			data, err := os.ReadFile(path)
			So(err, ShouldBeNil)
			config, err := Parse(path, data)
			So(err, ShouldBeNil)
			for _, preset := range []string{"ordinary", "peak", "maintenance"} {
				So(HasPreset(config, preset), ShouldBeTrue)
			}
		}
	})
}

func TestDefaults(t *testing.T) {
	Convey("The policy of a service is its own, else that of the preset, with defaults filled in", t, func() {
		config, err := Parse("c.yaml", []byte(strings.Replace(valid, "balancer: p2c}",
			"balancer: random, max_attempts: 2}\n    service_policies: [{service: orders, policy: {queue_percent: 10}}]", 1)))
		So(err, ShouldBeNil)
		state := &pb.ConfigState{Config: config, Preset: "ordinary"}
		So(PolicyOf(state, "orders").GetQueuePercent(), ShouldEqual, 10)
		So(PolicyOf(state, "orders").GetBalancer(), ShouldEqual, DefaultBalancer)
		So(PolicyOf(state, "other").GetBalancer(), ShouldEqual, "random")
		So(PolicyOf(state, "other").GetMaxAttempts(), ShouldEqual, 2)
		So(BudgetOf(state).GetBytesPerS(), ShouldEqual, DefaultMeasuringBytesPerS)
		So(KeeperLeaseS(state), ShouldEqual, DefaultKeeperLeaseS)
		So(MaxCallDepth(state), ShouldEqual, DefaultMaxCallDepth)
		So(config.GetPresets()[0].GetPolicy().GetWarmupMs(), ShouldEqual, 0)
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("a: &a [*a]"))
	f.Add([]byte("services: [{name: x, routes: [{}, {}]}]\n? {a: b}\n: c"))
	f.Fuzz(func(t *testing.T, data []byte) {
		config, err := Parse("c.yaml", data)
		if (config == nil) == (err == nil) {
			t.Fatalf("config %v, error %v", config, err)
		}
		if err == nil && Check(proto.CloneOf(config)) != nil {
			t.Fatal("accepted by Parse, refused by Check")
		}
	})
}

package settings

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

const valid = `instance: a-1
region: north
data_centre: taipei
log_url: http://10.0.0.9:7070
shared_key: 0123456789abcdef
`

func TestParse(t *testing.T) {
	Convey("Missing optional settings get their documented defaults", t, func() {
		settings, err := Parse("n.yaml", []byte(valid))
		So(err, ShouldBeNil)
		So(settings.GetControlAddress(), ShouldEqual, DefaultAddress)
		So(settings.GetLogLevel(), ShouldEqual, "info")
		So(settings.GetLogFormat(), ShouldEqual, "json")
		So(settings.GetGcPercent(), ShouldEqual, 100)
		So(settings.GetMemoryLimitMib(), ShouldEqual, 256)
		So(settings.GetMaxProcs(), ShouldEqual, DefaultMaxProcs)
		So(settings.GetLogRetentionS(), ShouldEqual, 7200)
		So(settings.GetPipelining().GetDepth(), ShouldEqual, 8)
		So(settings.GetPipelining().GetConcurrent(), ShouldEqual, 256)
		So(settings.GetPipelining().GetUnreadKib(), ShouldEqual, 64)
		So(settings.GetPipelining().GetAnswerKib(), ShouldEqual, 64)
	})
	Convey("Each error names the line and what was expected", t, func() {
		for text, line := range map[string]string{
			"instant: a":                                 `n.yaml:6:1: unknown field "instant"`,
			"gate_address: here":                         `n.yaml:6:15: gate_address: got "here", expected IP:port`,
			"gate_advertise_address: 0.0.0.0:80":         `n.yaml:6:25: gate_advertise_address: got "0.0.0.0:80", expected IP:port`,
			"announce_address: 10.0.0.1:1":               `n.yaml:6:19: announce_address: got "10.0.0.1:1", expected a loopback IP:port`,
			"seeds: [a:1, b]":                            `n.yaml:6:14: seeds[1]: got "b", expected host:port`,
			"caller_tls: {cert_file: c}":                 "n.yaml:6:13: caller_tls.key_file: expected the file of the private key",
			"log_level: loud":                            `n.yaml:6:12: log_level: got "loud", expected one of debug, info, warn, error`,
			"max_procs: 1000":                            "n.yaml:6:12: max_procs: got 1000, expected 1 to 256",
			"pipelining: {depth: 65}":                    "n.yaml:6:21: pipelining.depth: got 65, expected 1 to 64",
			"pipelining: {unread_kib: 2}":                "n.yaml:6:26: pipelining.unread_kib: got 2, expected 4 to 1024",
			"platform: {cold_servers: {overshoot: 0.9}}": "n.yaml:6:38: platform.cold_servers.overshoot: got 0.9, expected 1 to 10",
			"platform: {cold_servers: {slack: -1}}":      "n.yaml:6:34: platform.cold_servers.slack: got -1, expected 0 to 10000 requests",
			"platform: {hedge_percent: 21}":              "n.yaml:6:27: platform.hedge_percent: got 21, expected 0 to 20",
			"platform: {promised_percent: 101}":          "n.yaml:6:30: platform.promised_percent: got 101, expected at most 100 percent",
			"gc_percent: 5":                              "n.yaml:6:13: gc_percent: got 5, expected 25 to 2000",
			"memory_limit_mib: 1":                        "n.yaml:6:19: memory_limit_mib: got 1, expected at least 32",
			"log_retention_s: 5":                         "n.yaml:6:18: log_retention_s: got 5, expected at least 4200",
			"region: south":                              `n.yaml:6:1: key "region" is already set on line 2`,
			"log_format: [json]":                         "n.yaml:6:13: expected scalar, got sequence",
			"peer_tls: {key_file: k, extra: no}":         `n.yaml:6:25: unknown field "extra"`,
		} {
			_, err := Parse("n.yaml", []byte(valid+text+"\n"))
			So(errkind.KindOf(err), ShouldEqual, pb.ErrorKind_ERROR_KIND_INVALID_CONFIG)
			So(err.Error(), ShouldContainSubstring, line)
		}
	})
	Convey("All missing settings are reported at once, and no message contains the shared key", t, func() {
		_, err := Parse("n.yaml", []byte("shared_key: secret\n"))
		for _, path := range []string{"instance", "region", "data_centre", "log_url", "shared_key"} {
			So(err.Error(), ShouldContainSubstring, "n.yaml:1:")
			So(err.Error(), ShouldContainSubstring, path+": ")
		}
		So(err.Error(), ShouldNotContainSubstring, "secret")
	})
	Convey("The examples are valid", t, func() {
		for _, name := range []string{"association", "templarik"} {
			_, err := Load("../../examples/" + name + "/node.yaml")
			So(err, ShouldBeNil)
		}
	})
	Convey("A missing file is an error of kind not found", t, func() {
		_, err := Load("absent.yaml")
		So(errkind.KindOf(err), ShouldEqual, pb.ErrorKind_ERROR_KIND_NOT_FOUND)
		So(strings.Contains(err.Error(), "absent.yaml"), ShouldBeTrue)
	})
}

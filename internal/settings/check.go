package settings

import (
	"cmp"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/hedge"
	"github.com/egretfield/egretfield/internal/pb"
)

// Limits of settings.
const (
	minSharedKeyBytes = 16
	minGCPercent      = 25
	maxGCPercent      = 2000
	maxMaxProcs       = 256
	minMemoryMiB      = 32
	minRetentionS     = 4200
	maxSeeds          = 64

	maxColdOvershoot = 10
	maxColdSlack     = 10_000

	maxPromisedPercent = 100

	maxPipelineDepth      = 64
	maxPipelineConcurrent = 4096
	// A read of later requests takes up to 4 KiB.
	minPipelineUnreadKiB = 4
	maxPipelineKiB       = 1024
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)
	logLevels   = []string{"debug", "info", "warn", "error"}
	logFormats  = []string{"json", "console"}
)

// problem is one invalid or missing setting.
type problem struct {
	path    string
	message string
}

// checker collects problems.
type checker struct {
	problems []problem
}

func (c *checker) addf(path, format string, args ...any) {
	c.problems = append(c.problems, problem{path: path, message: fmt.Sprintf(format, args...)})
}

// check returns all problems of settings whose defaults are filled in.
func check(settings *pb.NodeSettings) []problem {
	c := &checker{}
	c.name("instance", settings.GetInstance())
	c.name("region", settings.GetRegion())
	c.name("data_centre", settings.GetDataCentre())
	c.listenAddress("caller_address", settings.GetCallerAddress())
	c.listenAddress("gate_address", settings.GetGateAddress())
	c.advertisedAddress("gate_advertise_address", settings.GetGateAdvertiseAddress())
	c.listenAddress("control_address", settings.GetControlAddress())
	c.listenAddress("ops_address", settings.GetOpsAddress())
	if settings.GetPlatform() != nil {
		c.listenAddress("announce_address", settings.GetAnnounceAddress())
		c.platform(settings.GetPlatform())
	} else {
		c.loopbackAddress("announce_address", settings.GetAnnounceAddress())
		c.logURL(settings.GetLogUrl())
	}
	c.duration("drain_notice", settings.GetDrainNotice())
	c.duration("stop_timeout", settings.GetStopTimeout())
	c.duration("caller_notice", settings.GetCallerNotice())
	if !strings.HasPrefix(settings.GetMetricsPath(), "/") {
		c.addf("metrics_path", "got %q, expected a path that starts with /", settings.GetMetricsPath())
	}
	c.seeds(settings.GetSeeds())
	if len(settings.GetSharedKey()) < minSharedKeyBytes {
		c.addf("shared_key", "got %d bytes, expected at least %d", len(settings.GetSharedKey()), minSharedKeyBytes)
	}
	c.tls("caller_tls", settings.GetCallerTls())
	c.tls("peer_tls", settings.GetPeerTls())
	c.oneOf("log_level", settings.GetLogLevel(), logLevels)
	c.oneOf("log_format", settings.GetLogFormat(), logFormats)
	c.between("gc_percent", settings.GetGcPercent(), minGCPercent, maxGCPercent)
	c.between("max_procs", settings.GetMaxProcs(), 1, maxMaxProcs)
	c.between("pipelining.depth", settings.GetPipelining().GetDepth(), 1, maxPipelineDepth)
	c.between("pipelining.concurrent", settings.GetPipelining().GetConcurrent(), 1, maxPipelineConcurrent)
	c.between("pipelining.unread_kib", settings.GetPipelining().GetUnreadKib(), minPipelineUnreadKiB, maxPipelineKiB)
	c.between("pipelining.answer_kib", settings.GetPipelining().GetAnswerKib(), 1, maxPipelineKiB)
	c.atLeast("memory_limit_mib", settings.GetMemoryLimitMib(), minMemoryMiB)
	c.atLeast("log_retention_s", settings.GetLogRetentionS(), minRetentionS)
	return c.problems
}

// platform checks the settings of the platform adapter.
func (c *checker) platform(settings *pb.PlatformSettings) {
	c.advertisedAddress("platform.store_address", cmp.Or(settings.GetStoreAddress(), missing))
	c.listenAddress("platform.ready_address", settings.GetReadyAddress())
	c.advertisedAddress("platform.server_address", cmp.Or(settings.GetServerAddress(), missing))
	if settings.GetService() == "" {
		c.addf("platform.service", "expected the service of the backend server beside the node")
	}
	c.duration("platform.heartbeat", settings.GetHeartbeat())
	c.duration("platform.retry_window", settings.GetRetryWindow())
	if settings.GetBalancer() != "" {
		c.oneOf("platform.balancer", settings.GetBalancer(), balance.Names())
	}
	if quota := settings.GetQuota(); quota != nil {
		if quota.GetWindow() != "" {
			c.duration("platform.quota.window", quota.GetWindow())
		}
		if quota.GetOvershoot() < 0 {
			c.addf("platform.quota.overshoot", "got %g, expected a fraction of at least 0", quota.GetOvershoot())
		}
		if quota.GetSlack() < 0 {
			c.addf("platform.quota.slack", "got %g, expected at least 0", quota.GetSlack())
		}
	}
	if percent := settings.GetPromisedPercent(); percent > maxPromisedPercent {
		c.addf("platform.promised_percent", "got %d, expected at most %d percent", percent, maxPromisedPercent)
	}
	if ratio := settings.GetRetryRatio(); ratio < 0 || ratio > 1 {
		c.addf("platform.retry_ratio", "got %g, expected 0 to 1", ratio)
	}
	if percent := settings.GetHedgePercent(); percent > hedge.MaxPercent {
		c.addf("platform.hedge_percent", "got %d, expected 0 to %d", percent, hedge.MaxPercent)
	}
	cold := settings.GetColdServers()
	if overshoot := cold.GetOvershoot(); overshoot != 0 && !(overshoot >= 1 && overshoot <= maxColdOvershoot) {
		c.addf("platform.cold_servers.overshoot", "got %g, expected 1 to %d", overshoot, maxColdOvershoot)
	}
	if slack := cold.GetSlack(); !(slack >= 0 && slack <= maxColdSlack) {
		c.addf("platform.cold_servers.slack", "got %g, expected 0 to %d requests", slack, maxColdSlack)
	}
}

// missing is checked, and refused, in place of a required address that is empty.
const missing = "missing"

// duration accepts a positive Go duration.
func (c *checker) duration(path, value string) {
	if parsed, err := time.ParseDuration(value); err != nil || parsed <= 0 {
		c.addf(path, "got %q, expected a positive duration, for example 2500ms", value)
	}
}

func (c *checker) name(path, value string) {
	if !namePattern.MatchString(value) {
		c.addf(path, "got %q, expected a name of letters, digits, dots, - and _ that starts with a letter or digit, at most 128 characters", value)
	}
}

// listenAddress accepts "IP:port" with any port, including zero.
func (c *checker) listenAddress(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addf(path, "got %q, expected IP:port, for example 10.0.0.5:7000", value)
	}
}

// advertisedAddress accepts an empty value, or an "IP:port" that others can connect to.
func (c *checker) advertisedAddress(path, value string) {
	if value == "" {
		return
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		c.addf(path, "got %q, expected IP:port that other nodes reach, for example 10.0.0.5:7000", value)
	}
}

func (c *checker) loopbackAddress(path, value string) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || !address.Addr().IsLoopback() {
		c.addf(path, "got %q, expected a loopback IP:port, for example 127.0.0.1:7004", value)
	}
}

func (c *checker) logURL(value string) {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || !slices.Contains([]string{"http", "https"}, parsed.Scheme) {
		c.addf("log_url", "got %q, expected the URL of the platform's log, for example http://10.0.0.9:7070", value)
	}
}

func (c *checker) seeds(seeds []string) {
	if len(seeds) > maxSeeds {
		c.addf("seeds", "got %d, expected at most %d", len(seeds), maxSeeds)
	}
	for i, seed := range seeds {
		host, port, err := net.SplitHostPort(seed)
		number, portErr := strconv.ParseUint(port, 10, 16)
		if err != nil || host == "" || portErr != nil || number == 0 {
			c.addf(fmt.Sprintf("seeds[%d]", i), "got %q, expected host:port of another node's control address", seed)
		}
	}
}

func (c *checker) tls(path string, tls *pb.TlsSettings) {
	if tls == nil {
		return
	}
	if tls.GetCertFile() == "" {
		c.addf(path+".cert_file", "expected the file of the certificate")
	}
	if tls.GetKeyFile() == "" {
		c.addf(path+".key_file", "expected the file of the private key")
	}
}

func (c *checker) oneOf(path, value string, known []string) {
	if !slices.Contains(known, value) {
		c.addf(path, "got %q, expected one of %s", value, strings.Join(known, ", "))
	}
}

func (c *checker) between(path string, value, least, most uint32) {
	if value < least || value > most {
		c.addf(path, "got %d, expected %d to %d", value, least, most)
	}
}

func (c *checker) atLeast(path string, value, least uint32) {
	if value < least {
		c.addf(path, "got %d, expected at least %d", value, least)
	}
}

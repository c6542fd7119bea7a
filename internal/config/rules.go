package config

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/egretfield/egretfield/internal/pb"
)

// Limits of a configuration.
const (
	maxCallDepth             = 64
	maxDeadlineMs            = 600_000    // ten minutes
	maxRequestTimeMs         = 86_400_000 // a day, as callers may ask for
	maxBodyBytes             = 16 << 30   // 16 GiB
	maxAttempts              = 10
	maxPercent               = 100
	maxQueuePercent          = 1000
	maxCrossRegionBytesPerS  = 500_000_000 // a link of 4 Gbit/s
	maxWarmupMs              = 600_000
	maxColdRequestsPerS      = 10_000 // a gate remembers the starts of a second
	maxMeasuringBytesPerS    = 25_000 // per node
	maxMeasuringMessagesPerS = 10_000 // per node
	minKeeperLeaseS          = 5
	maxKeeperLeaseS          = 3600
)

var (
	// serviceNamePattern is the form of the name of a service that is no host name.
	serviceNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

	namePattern   = regexp.MustCompile(`^[a-z][a-z0-9_-]{0,62}$`)
	hostPattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?(\.[a-z0-9]([a-z0-9-]*[a-z0-9])?)*$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,20}$`)
)

// Problems returns all problems of config, in the order of its fields.
func Problems(config *pb.Config) []Problem {
	c := &checker{}
	if config == nil {
		c.addf("", "no configuration")
		return c.problems
	}
	services := c.checkServices(config.GetServices(), config.GetRequestRoutesOnly())
	c.checkRequestRoutes(config.GetRequestRoutes(), services)
	c.checkOrganisations(config.GetOrganisations())
	c.checkRegions(config)
	c.checkCallerLimits(config.GetCallerLimits())
	c.checkPresets(config, services)
	c.checkMax("max_call_depth", uint64(config.GetMaxCallDepth()), maxCallDepth, "calls")
	c.checkMax("", uint64(encodedSize(config)), MaxEncodedBytes, "bytes encoded")
	return c.problems
}

func (c *checker) checkName(path, name string) {
	if !namePattern.MatchString(name) {
		c.addf(path, "got %q, expected a name of lower-case letters, digits, - and _ that starts with a letter", name)
	}
}

// checkServices checks the services and returns the path of each by name. Unless only
// request routes select services, the names are host names, too.
func (c *checker) checkServices(services []*pb.Service, requestRoutesOnly bool) map[string]string {
	names := map[string]string{}
	if len(services) == 0 {
		c.addf("services", "expected at least one service")
	}
	for i, service := range services {
		path := fmt.Sprintf("services[%d]", i)
		if !requestRoutesOnly {
			c.checkName(path+".name", service.GetName())
		} else if !serviceNamePattern.MatchString(service.GetName()) {
			c.addf(path+".name", "got %q, expected a name of letters, digits, ., - and _ that starts with a letter or digit", service.GetName())
		}
		c.checkUnique(path+".name", service.GetName(), names)
	}
	hosts := map[string]string{}
	for i, service := range services {
		path := fmt.Sprintf("services[%d]", i)
		c.checkHosts(path, service, names, hosts)
		c.checkColdServers(path, service)
		c.checkRoutes(path, service.GetRoutes())
	}
	return names
}

func (c *checker) checkHosts(path string, service *pb.Service, names, hosts map[string]string) {
	for i, host := range service.GetHosts() {
		at := fmt.Sprintf("%s.hosts[%d]", path, i)
		if !hostPattern.MatchString(host) {
			c.addf(at, "got %q, expected a lower-case host name without a port", host)
		}
		if other, ok := names[host]; ok && host != service.GetName() {
			c.addf(at, "%q is the name of the service at %s, expected a host of this service only", host, other)
		}
		c.checkUnique(at, host, hosts)
	}
}

func (c *checker) checkColdServers(path string, service *pb.Service) {
	c.checkMax(path+".cold_ms", uint64(service.GetColdMs()), maxWarmupMs, "ms")
	if rate := service.GetColdRequestsPerS(); !(rate >= 0 && rate <= maxColdRequestsPerS) {
		c.addf(path+".cold_requests_per_s", "got %g, expected 0 to %d requests a second", rate, maxColdRequestsPerS)
	}
}

func (c *checker) checkRoutes(path string, routes []*pb.Route) {
	for i, route := range routes {
		at := fmt.Sprintf("%s.routes[%d]", path, i)
		c.checkRoute(at, route)
		for j, earlier := range routes[:i] {
			if covers(earlier, route) {
				c.addf(at, "never matches: routes[%d] takes all its requests, expected the narrower route first", j)
				break
			}
		}
	}
}

func (c *checker) checkRoute(path string, route *pb.Route) {
	if prefix := route.GetPathPrefix(); prefix != "" && !strings.HasPrefix(prefix, "/") {
		c.addf(path+".path_prefix", "got %q, expected a path that starts with /", prefix)
	}
	methods := map[string]string{}
	for i, method := range route.GetMethods() {
		at := fmt.Sprintf("%s.methods[%d]", path, i)
		if !methodPattern.MatchString(method) {
			c.addf(at, "got %q, expected an HTTP method in capitals", method)
		}
		c.checkUnique(at, method, methods)
	}
	if _, ok := pb.Class_name[int32(route.GetClass())]; !ok {
		c.addf(path+".class", "got %d, expected CLASS_BACKGROUND, CLASS_NORMAL or CLASS_CRITICAL", route.GetClass())
	}
	if route.GetRequireKey() && route.Idempotent != nil && route.GetIdempotent() {
		c.addf(path+".require_key", "a key has no effect on an idempotent route, expected idempotent: false or no require_key")
	}
	c.checkMax(path+".deadline_ms", uint64(route.GetDeadlineMs()), maxDeadlineMs, "ms")
	c.checkMax(path+".max_body_bytes", route.GetMaxBodyBytes(), maxBodyBytes, "bytes")
}

// covers reports whether every request that matches later also matches earlier.
func covers(earlier, later *pb.Route) bool {
	if !strings.HasPrefix(later.GetPathPrefix(), earlier.GetPathPrefix()) {
		return false
	}
	if len(earlier.GetMethods()) == 0 {
		return true
	}
	if len(later.GetMethods()) == 0 {
		return false
	}
	for _, method := range later.GetMethods() {
		if !slices.Contains(earlier.GetMethods(), method) {
			return false
		}
	}
	return true
}

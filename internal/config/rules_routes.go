package config

import (
	"fmt"
	"strings"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

// Limits of request routes and of requests from callers.
const (
	maxWeight            = 1_000_000
	maxCallerHeaderBytes = wire.MaxHeaderBytes
)

// checkRequestRoutes checks the routes by host and path. The keys of services are the
// names of the services.
func (c *checker) checkRequestRoutes(routes []*pb.RequestRoute, services map[string]string) {
	names, firstUses := map[string]string{}, map[string]string{}
	for i, route := range routes {
		path := fmt.Sprintf("request_routes[%d]", i)
		c.checkUnique(path+".name", route.GetName(), names)
		c.checkUnique(path, strings.ToLower(route.GetHost())+route.GetPathPrefix(), firstUses)
		c.checkRequestRoute(path, route, services)
	}
}

func (c *checker) checkRequestRoute(path string, route *pb.RequestRoute, services map[string]string) {
	if !hostPattern.MatchString(strings.ToLower(route.GetHost())) {
		c.addf(path+".host", "got %q, expected a host name without a port", route.GetHost())
	}
	prefix := route.GetPathPrefix()
	if !strings.HasPrefix(prefix, "/") || !strings.HasSuffix(prefix, "/") {
		c.addf(path+".path_prefix", "got %q, expected a path that starts and ends with /", prefix)
	}
	if len(route.GetServices()) == 0 {
		c.addf(path+".services", "expected at least one service")
	}
	for i, weighted := range route.GetServices() {
		at := fmt.Sprintf("%s.services[%d]", path, i)
		if _, ok := services[weighted.GetService()]; !ok {
			c.addf(at+".service", "got %q, expected the name of a service", weighted.GetService())
		}
		c.checkMax(at+".weight", uint64(weighted.GetWeight()), maxWeight, "parts")
	}
	if _, ok := pb.Class_name[int32(route.GetClass())]; !ok {
		c.addf(path+".class", "got %d, expected CLASS_BACKGROUND, CLASS_NORMAL or CLASS_CRITICAL", route.GetClass())
	}
	c.checkMax(path+".timeout_ms", uint64(route.GetTimeoutMs()), maxRequestTimeMs, "ms")
	c.checkMax(path+".target_latency_ms", uint64(route.GetTargetLatencyMs()), maxRequestTimeMs, "ms")
	c.checkMax(path+".max_attempts", uint64(route.GetMaxAttempts()), maxAttempts, "attempts")
}

func (c *checker) checkCallerLimits(limits *pb.CallerLimits) {
	c.checkMax("caller_limits.max_header_bytes", uint64(limits.GetMaxHeaderBytes()), maxCallerHeaderBytes, "bytes")
	c.checkMax("caller_limits.max_body_bytes", limits.GetMaxBodyBytes(), maxBodyBytes, "bytes")
	c.checkMax("caller_limits.header_timeout_ms", uint64(limits.GetHeaderTimeoutMs()), maxRequestTimeMs, "ms")
	c.checkMax("caller_limits.idle_timeout_ms", uint64(limits.GetIdleTimeoutMs()), maxRequestTimeMs, "ms")
}

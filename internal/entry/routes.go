package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/egretfield/egretfield/internal/apikey"
	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/hedge"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/retry"
)

// Defaults for values that the configuration leaves out.
const (
	DefaultDeadline     = 10 * time.Second
	DefaultMaxBodyBytes = 256 << 20
	DefaultMaxCallDepth = 16
	DefaultMaxAttempts  = 3
)

// Routes is an immutable snapshot of the configured services and routes.
type Routes struct {
	services       map[string]*service
	servicesByHost map[string]*service
	// requestRoutesByHost holds each host's request routes, longest prefix first.
	requestRoutesByHost map[string][]*requestRoute
	// requestRoutesOnly reports whether a request that matches no request route has no
	// service.
	requestRoutesOnly bool
	maxDepth          int
	limits            callerLimits
	regions           *balance.RegionRules
	// organisations are in the order of the configuration, as the owners in keys.
	organisations []*organisation
	keys          *apikey.Table
}

// match is the service and route that a request was matched to.
type match struct {
	service *service
	route   *route
	// uri is the request target sent to the backend server.
	uri string
}

// service is a service of a snapshot.
type service struct {
	name               string
	routes             []route
	defaultRoute       route
	maxAttempts        int
	retryBudgetPercent uint32
	// retryWindow and retrySlack limit the retries of the whole fleet; a zero
	// retryWindow disables this limit.
	retryWindow time.Duration
	retrySlack  float64
	// hedgePercent limits the hedged attempts of the whole fleet; zero means none.
	hedgePercent uint32
	// withdrawsWaiting reports whether requests that wait at a gate may be withdrawn.
	withdrawsWaiting bool
	state            *serviceState
}

// serviceState is the state of a service that is kept across snapshots.
type serviceState struct {
	budget   *retry.Budget
	hedging  hedge.Service
	counters serviceCounters
}

// route is a route of a service; a requestRoute embeds one.
type route struct {
	// name is the name of a request route; empty for a route of a service.
	name string
	// pathPrefix is in the form in which paths are compared.
	pathPrefix string
	methods    []string
	// idempotent declares whether requests are idempotent; nil decides by the method.
	idempotent *bool
	class      pb.Class
	// deadline applies to requests that carry no timeout of their own.
	deadline time.Duration
	// timeout limits the time of every request; zero means no limit.
	timeout time.Duration
	// target is the target latency of an answer; zero means none.
	target time.Duration
	// maxAttempts limits the attempts; zero uses the service's policy.
	maxAttempts int
	// maxBodyBytes limits the body; zero leaves that to the limits of callers.
	maxBodyBytes int64
	requireKey   bool
	// authExempt reports whether requests need no API key.
	authExempt bool
}

// NewRoutes builds a snapshot from a configuration and the preset of that name, as of
// version zero.
func NewRoutes(config *pb.Config, preset string) *Routes {
	return NewRoutesOfState(&pb.ConfigState{Config: config, Preset: preset})
}

// NewRoutesOfState builds a snapshot from the configuration and preset in force.
func NewRoutesOfState(state *pb.ConfigState) *Routes {
	config, preset := state.GetConfig(), state.GetPreset()
	routes := &Routes{
		regions:        balance.NewRegionRules(config, 0),
		services:       make(map[string]*service),
		servicesByHost: make(map[string]*service),
		maxDepth:       int(config.GetMaxCallDepth()),

		requestRoutesOnly: config.GetRequestRoutesOnly(),
	}
	if routes.maxDepth == 0 {
		routes.maxDepth = DefaultMaxCallDepth
	}
	for _, from := range config.GetServices() {
		s := newService(from, policyFor(config, preset, from.GetName()))
		routes.services[s.name] = s
		routes.servicesByHost[strings.ToLower(s.name)] = s
		for _, host := range from.GetHosts() {
			routes.servicesByHost[strings.ToLower(host)] = s
		}
	}
	routes.addRequestRoutes(config)
	routes.limits = newCallerLimits(config.GetCallerLimits())
	routes.organisations = newOrganisations(config.GetOrganisations())
	routes.keys = apikey.NewTable(state)
	return routes
}

// AtVersion sets the version of the configuration, by which gates tell whether they have
// a newer one than the entry.
func (routes *Routes) AtVersion(version int64) *Routes {
	routes.regions = routes.regions.AtVersion(version)
	return routes
}

// policyFor returns a service's policy in a preset; it may be nil.
func policyFor(config *pb.Config, preset, service string) *pb.Policy {
	for _, p := range config.GetPresets() {
		if p.GetName() != preset {
			continue
		}
		for _, own := range p.GetServicePolicies() {
			if own.GetService() == service {
				return own.GetPolicy()
			}
		}
		return p.GetPolicy()
	}
	return nil
}

func newService(from *pb.Service, policy *pb.Policy) *service {
	s := &service{
		name:               from.GetName(),
		defaultRoute:       newRoute(&pb.Route{}),
		maxAttempts:        int(policy.GetMaxAttempts()),
		retryBudgetPercent: policy.GetRetryBudgetPercent(),
		retryWindow:        time.Duration(policy.GetRetryWindowMs()) * time.Millisecond,
		retrySlack:         float64(policy.GetRetrySlack()),
		hedgePercent:       policy.GetHedgePercent(),
		withdrawsWaiting:   policy.GetWithdrawWaiting(),
	}
	if s.maxAttempts == 0 {
		s.maxAttempts = DefaultMaxAttempts
	}
	for _, r := range from.GetRoutes() {
		s.routes = append(s.routes, newRoute(r))
	}
	return s
}

func newRoute(from *pb.Route) route {
	r := route{
		pathPrefix:   comparablePath(from.GetPathPrefix()),
		methods:      from.GetMethods(),
		idempotent:   from.Idempotent,
		class:        from.GetClass(),
		deadline:     time.Duration(from.GetDeadlineMs()) * time.Millisecond,
		maxBodyBytes: int64(from.GetMaxBodyBytes()),
		requireKey:   from.GetRequireKey(),
	}
	if r.class == pb.Class_CLASS_UNSPECIFIED {
		r.class = pb.Class_CLASS_NORMAL
	}
	if r.deadline == 0 {
		r.deadline = DefaultDeadline
	}
	return r
}

// match returns the first matching route, or the default route.
func (s *service) match(method, path string) *route {
	for i := range s.routes {
		if s.routes[i].matches(method, path) {
			return &s.routes[i]
		}
	}
	return &s.defaultRoute
}

func (r *route) matches(method, path string) bool {
	if !strings.HasPrefix(path, r.pathPrefix) {
		return false
	}
	if len(r.methods) == 0 {
		return true
	}
	for _, m := range r.methods {
		if m == method {
			return true
		}
	}
	return false
}

// isIdempotent reports whether a request may run more than once.
func (r *route) isIdempotent(method string) bool {
	if r.idempotent != nil {
		return *r.idempotent
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// servicePrefix is the prefix of a path whose next segment names the service.
const servicePrefix = "/svc/"

// find matches a request to a service and route. It returns false if there is no such
// service.
func (routes *Routes) find(r *http.Request) (match, bool) {
	return routes.findBy(r, (*requestRoute).nextService)
}

// findBy is find with the choice among the services of a request route.
func (routes *Routes) findBy(r *http.Request, choose func(*requestRoute) *service) (match, bool) {
	received := targetOf(r)
	m, path := match{uri: received.uri}, received.path
	host := hostName(r.Host)
	if found := routes.findRequestRoute(host, path); found != nil {
		m.service, m.route = choose(found), &found.route
		return m, true
	}
	if routes.requestRoutesOnly {
		return m, false
	}
	rest, ok := strings.CutPrefix(m.uri, servicePrefix)
	if ok {
		name, _, _ := strings.Cut(rest, "?")
		name, _, _ = strings.Cut(name, "/")
		m.uri = withLeadingSlash(rest[len(name):])
		path = withLeadingSlash(strings.TrimPrefix(path, servicePrefix+comparablePath(name)))
		m.service = routes.services[name]
	} else {
		m.service = routes.servicesByHost[host]
	}
	if m.service == nil {
		return m, false
	}
	m.route = m.service.match(r.Method, path)
	return m, true
}

func withLeadingSlash(rest string) string {
	if strings.HasPrefix(rest, "/") {
		return rest
	}
	return "/" + rest
}

// hostName returns the host in lower case without its port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/retry"
)

// Defaults of the configuration.
const (
	DefaultDeadline     = 10 * time.Second
	DefaultMaxBody      = 256 << 20 // bytes
	DefaultMaxCallDepth = 16
	DefaultMaxAttempts  = 3
)

// Routes is an immutable snapshot of what an entry knows of the services.
type Routes struct {
	services map[string]*service
	hosts    map[string]*service
	// byPrefix holds the request routes of each host, longest prefix first.
	byPrefix map[string][]*requestRoute
	maxDepth int
	limits   callerLimits
}

// match is what a request was matched to.
type match struct {
	service *service
	route   *route
	// uri is what the backend server is asked for, path its path.
	uri  string
	path string
}

// service is one service of a snapshot.
type service struct {
	name        string
	routes      []route
	fallback    route
	maxAttempts int
	percent     uint32
	// window and slack bound the retries of the whole fleet; zero: no window.
	window time.Duration
	slack  float64
	state  *serviceState
}

// serviceState is what outlives a snapshot.
type serviceState struct {
	budget *retry.Budget
	counts serviceCounts
}

// route is one route of a service.
type route struct {
	// name of a request route; empty for a route of a service.
	name       string
	pathPrefix string
	methods    []string
	// idempotent: nil follows the method.
	idempotent *bool
	class      pb.Class
	// deadline is that of a caller that names none.
	deadline time.Duration
	// timeout bounds the wait of any caller; zero: none.
	timeout time.Duration
	// target is the time within which an answer is worth most; zero: none.
	target time.Duration
	// maxAttempts bounds the attempts; zero: as the service's policy says.
	maxAttempts int
	maxBody     int64
	requireKey  bool
}

// NewRoutes builds the snapshot of a configuration under the named preset.
func NewRoutes(config *pb.Config, preset string) *Routes {
	routes := &Routes{
		services: make(map[string]*service),
		hosts:    make(map[string]*service),
		maxDepth: int(config.GetMaxCallDepth()),
	}
	if routes.maxDepth == 0 {
		routes.maxDepth = DefaultMaxCallDepth
	}
	for _, from := range config.GetServices() {
		s := newService(from, policyOf(config, preset, from.GetName()))
		routes.services[s.name] = s
		routes.hosts[strings.ToLower(s.name)] = s
		for _, host := range from.GetHosts() {
			routes.hosts[strings.ToLower(host)] = s
		}
	}
	routes.addRequestRoutes(config)
	routes.limits = newCallerLimits(config.GetCallerLimits())
	return routes
}

// policyOf returns the policy of a service under a preset; it may be nil.
func policyOf(config *pb.Config, preset, service string) *pb.Policy {
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
		name:        from.GetName(),
		fallback:    newRoute(&pb.Route{}),
		maxAttempts: int(policy.GetMaxAttempts()),
		percent:     policy.GetRetryBudgetPercent(),
		window:      time.Duration(policy.GetRetryWindowMs()) * time.Millisecond,
		slack:       float64(policy.GetRetrySlack()),
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
		pathPrefix: from.GetPathPrefix(),
		methods:    from.GetMethods(),
		idempotent: from.Idempotent,
		class:      from.GetClass(),
		deadline:   time.Duration(from.GetDeadlineMs()) * time.Millisecond,
		maxBody:    int64(from.GetMaxBodyBytes()),
		requireKey: from.GetRequireKey(),
	}
	if r.class == pb.Class_CLASS_UNSPECIFIED {
		r.class = pb.Class_CLASS_NORMAL
	}
	if r.deadline == 0 {
		r.deadline = DefaultDeadline
	}
	if r.maxBody == 0 {
		r.maxBody = DefaultMaxBody
	}
	return r
}

// match returns the first route that matches, or the defaults.
func (s *service) match(method, path string) *route {
	for i := range s.routes {
		if s.routes[i].matches(method, path) {
			return &s.routes[i]
		}
	}
	return &s.fallback
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

// servicePrefix begins a path that names its service.
const servicePrefix = "/svc/"

// find returns what a request names, or false.
func (routes *Routes) find(r *http.Request) (match, bool) {
	m := match{uri: r.RequestURI, path: r.URL.Path}
	if !strings.HasPrefix(m.uri, "/") && m.uri != "*" {
		m.uri = r.URL.RequestURI() // absolute form
	}
	host := hostName(r.Host)
	if found := routes.findRequestRoute(host, m.path); found != nil {
		m.service, m.route = found.choose(), &found.route
		return m, true
	}
	rest, ok := strings.CutPrefix(m.uri, servicePrefix)
	if ok {
		name, _, _ := strings.Cut(rest, "?")
		name, _, _ = strings.Cut(name, "/")
		m.uri = rootedAt(rest[len(name):])
		m.path = rootedAt(strings.TrimPrefix(m.path, servicePrefix+name))
		m.service = routes.services[name]
	} else {
		m.service = routes.hosts[host]
	}
	if m.service == nil {
		return m, false
	}
	m.route = m.service.match(r.Method, m.path)
	return m, true
}

func rootedAt(rest string) string {
	if strings.HasPrefix(rest, "/") {
		return rest
	}
	return "/" + rest
}

// hostName returns the lower-case host without its port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

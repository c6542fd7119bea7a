package entry

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/egretfield/egretfield/internal/pb"
)

// requestRoute sends the requests of a host and path prefix to its services.
type requestRoute struct {
	route
	split split
}

// choose returns the service of the next request.
func (r *requestRoute) choose() *service {
	if len(r.split.parts) == 1 {
		return r.split.parts[0].service
	}
	return r.split.next()
}

// addRequestRoutes adds the routes of a configuration by host and prefix.
func (routes *Routes) addRequestRoutes(config *pb.Config) {
	routes.byPrefix = make(map[string][]*requestRoute)
	for _, from := range config.GetRequestRoutes() {
		added := routes.newRequestRoute(from)
		if len(added.split.parts) == 0 {
			continue // the configuration's check refuses a route without a service
		}
		host := strings.ToLower(from.GetHost())
		routes.byPrefix[host] = append(routes.byPrefix[host], added)
	}
	for _, list := range routes.byPrefix {
		slices.SortStableFunc(list, func(a, b *requestRoute) int {
			return cmp.Compare(len(b.pathPrefix), len(a.pathPrefix))
		})
	}
}

// newRequestRoute builds one route; parts with unknown services are left out.
func (routes *Routes) newRequestRoute(from *pb.RequestRoute) *requestRoute {
	idempotent := from.GetIdempotent()
	r := &requestRoute{route: newRoute(&pb.Route{
		PathPrefix: from.GetPathPrefix(),
		Idempotent: &idempotent,
		Class:      from.GetClass(),
		DeadlineMs: from.GetTimeoutMs(),
	})}
	r.name = from.GetName()
	r.timeout = time.Duration(from.GetTimeoutMs()) * time.Millisecond
	r.target = time.Duration(from.GetTargetLatencyMs()) * time.Millisecond
	r.maxAttempts = int(from.GetMaxAttempts())
	for _, part := range from.GetServices() {
		if s := routes.services[part.GetService()]; s != nil {
			r.split.add(s, int(max(part.GetWeight(), 1)))
		}
	}
	return r
}

// findRequestRoute returns the route of the host with the longest prefix of
// path, or nil.
func (routes *Routes) findRequestRoute(host, path string) *requestRoute {
	for _, r := range routes.byPrefix[host] {
		if strings.HasPrefix(path, r.pathPrefix) {
			return r
		}
	}
	return nil
}

// split deals requests to services by smooth weighted round robin: the shares are
// exact over each round of the weights' sum. Safe for concurrent use.
type split struct {
	mu    sync.Mutex
	parts []splitPart
	total int
}

type splitPart struct {
	service *service
	weight  int
	credit  int
}

// add adds a service. The first credits are drawn at random, so that entries that
// start together don't move in step.
func (s *split) add(to *service, weight int) {
	s.parts = append(s.parts, splitPart{service: to, weight: weight, credit: rand.IntN(weight)})
	s.total += weight
}

// next returns the service with the most credit.
func (s *split) next() *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := 0
	for i := range s.parts {
		s.parts[i].credit += s.parts[i].weight
		if s.parts[i].credit > s.parts[best].credit {
			best = i
		}
	}
	s.parts[best].credit -= s.total
	return s.parts[best].service
}

// callerLimits bound what a caller may send.
type callerLimits struct {
	headerBytes int
	// bodyBytes: zero leaves it to the route.
	bodyBytes int64
}

func newCallerLimits(from *pb.CallerLimits) callerLimits {
	return callerLimits{
		headerBytes: cmp.Or(int(from.GetMaxHeaderBytes()), maxHeader),
		bodyBytes:   int64(from.GetMaxBodyBytes()),
	}
}

// bodyLimit is the greatest body that a route takes, bytes.
func (l callerLimits) bodyLimit(r *route) int64 {
	if l.bodyBytes > 0 {
		return min(l.bodyBytes, r.maxBody)
	}
	return r.maxBody
}

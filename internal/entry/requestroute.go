package entry

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/pipeline"
)

// requestRoute maps the requests for a host and path prefix to weighted services.
type requestRoute struct {
	route
	serviceSplit serviceSplit
}

// nextService returns the service for the next request.
func (r *requestRoute) nextService() *service {
	if len(r.serviceSplit.targets) == 1 {
		return r.serviceSplit.targets[0].service
	}
	return r.serviceSplit.next()
}

// addRequestRoutes adds a configuration's request routes, which match by host and path
// prefix.
func (routes *Routes) addRequestRoutes(config *pb.Config) {
	routes.requestRoutesByHost = make(map[string][]*requestRoute)
	for _, from := range config.GetRequestRoutes() {
		added := routes.newRequestRoute(from)
		if len(added.serviceSplit.targets) == 0 {
			continue // config validation rejects routes without a service
		}
		host := strings.ToLower(from.GetHost())
		routes.requestRoutesByHost[host] = append(routes.requestRoutesByHost[host], added)
	}
	for _, list := range routes.requestRoutesByHost {
		slices.SortStableFunc(list, func(a, b *requestRoute) int {
			return cmp.Compare(len(b.pathPrefix), len(a.pathPrefix))
		})
	}
}

// newRequestRoute builds one route. Unknown services are left out.
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
	r.authExempt = from.GetAuthExempt()
	for _, part := range from.GetServices() {
		if s := routes.services[part.GetService()]; s != nil {
			r.serviceSplit.add(s, int(max(part.GetWeight(), 1)))
		}
	}
	return r
}

// findRequestRoute returns the host's route with the longest matching path prefix, or
// nil.
func (routes *Routes) findRequestRoute(host, path string) *requestRoute {
	for _, r := range routes.requestRoutesByHost[host] {
		if strings.HasPrefix(path, r.pathPrefix) {
			return r
		}
	}
	return nil
}

// serviceSplit distributes requests over services by smooth weighted round robin: the
// shares are exact over each run of as many requests as the sum of the weights. It is
// safe for concurrent use.
type serviceSplit struct {
	mu      sync.Mutex
	targets []splitTarget
	total   int
}

type splitTarget struct {
	service       *service
	weight        int
	currentWeight int
}

// add adds a service. The initial current weight is random so that entries that
// start together don't choose the same service at the same time.
func (s *serviceSplit) add(target *service, weight int) {
	s.targets = append(s.targets, splitTarget{service: target, weight: weight, currentWeight: rand.IntN(weight)})
	s.total += weight
}

// next returns the service with the highest current weight.
func (s *serviceSplit) next() *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := s.nextIndexLocked()
	for i := range s.targets {
		s.targets[i].currentWeight += s.targets[i].weight
	}
	s.targets[best].currentWeight -= s.total
	return s.targets[best].service
}

// peek returns the service that next would return.
func (s *serviceSplit) peek() *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets[s.nextIndexLocked()].service
}

func (s *serviceSplit) nextIndexLocked() int {
	best := 0
	for i, target := range s.targets {
		if target.currentWeight+target.weight > s.targets[best].currentWeight+s.targets[best].weight {
			best = i
		}
	}
	return best
}

// callerLimits limit what a caller may send.
type callerLimits struct {
	headerBytes int
	// headerTimeout and idleTimeout are zero for the defaults of package pipeline.
	headerTimeout, idleTimeout time.Duration
	// bodyBytes limits the body; zero: the limit of the route, or DefaultMaxBodyBytes.
	bodyBytes int64
}

func newCallerLimits(from *pb.CallerLimits) callerLimits {
	return callerLimits{
		headerBytes: cmp.Or(int(from.GetMaxHeaderBytes()), pipeline.DefaultHeaderBytes),
		bodyBytes:   int64(from.GetMaxBodyBytes()),

		headerTimeout: time.Duration(from.GetHeaderTimeoutMs()) * time.Millisecond,
		idleTimeout:   time.Duration(from.GetIdleTimeoutMs()) * time.Millisecond,
	}
}

// bodyLimit returns the largest body that the route accepts, in bytes.
func (l callerLimits) bodyLimit(r *route) int64 {
	if l.bodyBytes > 0 && r.maxBodyBytes > 0 {
		return min(l.bodyBytes, r.maxBodyBytes)
	}
	return cmp.Or(l.bodyBytes, r.maxBodyBytes, DefaultMaxBodyBytes)
}

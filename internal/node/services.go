package node

import (
	"sync"
	"sync/atomic"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/config"
	"github.com/egretfield/egretfield/internal/member"
	"github.com/egretfield/egretfield/internal/pb"
)

// services holds one balancer for each configured service and keeps their
// endpoints and policies up to date.
type services struct {
	options balance.Options
	members *member.List

	mu     sync.Mutex
	byName atomic.Pointer[map[string]service]
}

// service is the balancer of one service and the policy that it was made for.
type service struct {
	policy   string
	balancer balance.Balancer
}

// newServices returns an empty set.
func newServices(options balance.Options, members *member.List) *services {
	s := &services{options: options, members: members}
	s.byName.Store(&map[string]service{})
	return s
}

// balancer returns the balancer of a configured service, or nil.
func (s *services) balancer(name string) balance.Balancer {
	return (*s.byName.Load())[name].balancer
}

// update gives every balancer the endpoints and the policy of this moment.
func (s *services) update(state *pb.ConfigState, view *member.View) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := *s.byName.Load()
	next := make(map[string]service, len(state.GetConfig().GetServices()))
	for _, configured := range state.GetConfig().GetServices() {
		name := configured.GetName()
		policy := config.PolicyOf(state, name)
		one, err := s.keepOrMake(old[name], policy.GetBalancer())
		if err != nil {
			return err
		}
		one.balancer.Update(endpointsOf(state, view, name), policy)
		next[name] = one
	}
	s.byName.Store(&next)
	return nil
}

// keepOrMake keeps a balancer whose policy is unchanged.
func (s *services) keepOrMake(old service, policy string) (service, error) {
	if old.balancer != nil && old.policy == policy {
		return old, nil
	}
	b, err := balance.New(policy, s.options)
	return service{policy: policy, balancer: &reporting{b, s.members}}, err
}

// endpointsOf returns the backend servers of a service that may take new work.
func endpointsOf(state *pb.ConfigState, view *member.View, name string) []*balance.Endpoint {
	draining := make(map[string]bool, len(state.GetDraining()))
	for _, instance := range state.GetDraining() {
		draining[instance] = true
	}
	var endpoints []*balance.Endpoint
	for _, m := range view.Service(name) {
		if !draining[m.GetInstance()] {
			endpoints = append(endpoints, endpointOf(m))
		}
	}
	return endpoints
}

// endpointOf describes a member to a balancer.
func endpointOf(m *pb.Member) *balance.Endpoint {
	return &balance.Endpoint{
		Instance:       m.GetInstance(),
		Incarnation:    m.GetIncarnation(),
		Service:        m.GetService(),
		Region:         m.GetRegion(),
		DataCentre:     m.GetDataCentre(),
		GateAddress:    m.GetGateAddress(),
		ControlAddress: m.GetControlAddress(),
		Slots:          int(m.GetSlots()),
	}
}

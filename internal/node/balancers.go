package node

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/config"
	"github.com/egretfield/egretfield/internal/configlog"
	"github.com/egretfield/egretfield/internal/member"
	"github.com/egretfield/egretfield/internal/pb"
)

// balancers holds one balancer for each configured service and keeps its endpoints and
// policy up to date.
type balancers struct {
	options balance.Options
	members *member.List

	mu        sync.Mutex
	byService atomic.Pointer[map[string]serviceBalancer]
}

// serviceBalancer is the balancer of one service, and the name of the balancing policy
// that it was created for.
type serviceBalancer struct {
	policyName string
	balancer   balance.Balancer
}

// newBalancers returns an empty set.
func newBalancers(options balance.Options, members *member.List) *balancers {
	b := &balancers{options: options, members: members}
	b.byService.Store(&map[string]serviceBalancer{})
	return b
}

// balancer returns the balancer of a configured service, or nil.
func (b *balancers) balancer(name string) balance.Balancer {
	return (*b.byService.Load())[name].balancer
}

// update gives every balancer the current endpoints and policy of its service.
func (b *balancers) update(state *pb.ConfigState, view *member.View) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := *b.byService.Load()
	next := make(map[string]serviceBalancer, len(state.GetConfig().GetServices()))
	for _, configured := range state.GetConfig().GetServices() {
		name := configured.GetName()
		policy := config.PolicyOf(state, name)
		updated, err := b.reuseOrCreate(old[name], policy.GetBalancer())
		if err != nil {
			return err
		}
		updated.balancer.Update(endpointsOf(state, view, name), policy)
		next[name] = updated
	}
	b.byService.Store(&next)
	return nil
}

// reuseOrCreate returns old if its balancing policy is policyName, else a new balancer.
func (b *balancers) reuseOrCreate(old serviceBalancer, policyName string) (serviceBalancer, error) {
	if old.balancer != nil && old.policyName == policyName {
		return old, nil
	}
	created, err := balance.New(policyName, b.options)
	return serviceBalancer{policyName: policyName, balancer: &reportingBalancer{created, b.members}}, err
}

// endpointsOf returns the backend servers of a service that may receive new requests.
func endpointsOf(state *pb.ConfigState, view *member.View, name string) []*balance.Endpoint {
	draining := make(map[string]bool, len(state.GetDraining()))
	for _, instance := range state.GetDraining() {
		draining[instance] = true
	}
	evacuated := configlog.Evacuated(state)
	var endpoints []*balance.Endpoint
	for _, m := range view.Service(name) {
		if !draining[m.GetInstance()] && !slices.Contains(evacuated, m.GetDataCentre()) {
			endpoints = append(endpoints, endpointOf(m))
		}
	}
	return endpoints
}

// endpointOf converts a member to a balancer's endpoint.
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

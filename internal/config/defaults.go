package config

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/defaults"
	"github.com/egretfield/egretfield/internal/pb"
)

// Values used for configuration fields that are zero.
const (
	DefaultMaxCallDepth                 = 16
	DefaultDeadlineMs                   = 10_000
	DefaultMaxBodyBytes                 = 256 << 20
	DefaultBalancer                     = balance.Default
	DefaultRetryBudgetPercent           = 10
	DefaultMaxAttempts                  = 3
	DefaultMaxEjectedPercent            = 34
	DefaultQueuePercent                 = 100
	DefaultCrossRegionBytesPerS         = 1 << 20
	DefaultWarmupMs                     = 5000
	DefaultMeasuringBytesPerS           = 25_000
	DefaultMeasuringMessagesPerS        = 200
	DefaultKeeperLeaseS                 = 120
	defaultClass                        = pb.Class_CLASS_NORMAL
	defaultProbesPerS            uint32 = 0
)

// PolicyOf returns the policy of a service under the preset in force, with defaults
// filled in. The result is a copy that the caller may modify.
func PolicyOf(state *pb.ConfigState, service string) *pb.Policy {
	preset := FindPreset(state.GetConfig(), state.GetPreset())
	policy := preset.GetPolicy()
	for _, entry := range preset.GetServicePolicies() {
		if entry.GetService() == service {
			policy = entry.GetPolicy()
		}
	}
	filled := &pb.Policy{}
	if policy != nil {
		filled = proto.Clone(policy).(*pb.Policy)
	}
	fillPolicy(filled)
	return filled
}

// HealthPathOf returns the path of the health endpoint of a service, or "" if it has
// none.
func HealthPathOf(config *pb.Config, service string) string {
	return findService(config, service).GetHealthPath()
}

// ColdServersOf returns how long a server of a service is cold after its start, and the
// requests a second that it takes then; zero: no limit.
func ColdServersOf(config *pb.Config, service string) (coldTime time.Duration, requestsPerS float64) {
	s := findService(config, service)
	return time.Duration(s.GetColdMs()) * time.Millisecond, s.GetColdRequestsPerS()
}

// findService returns the service with the given name, or nil.
func findService(config *pb.Config, name string) *pb.Service {
	for _, s := range config.GetServices() {
		if s.GetName() == name {
			return s
		}
	}
	return nil
}

func fillPolicy(policy *pb.Policy) {
	defaults.Set(&policy.Balancer, DefaultBalancer)
	defaults.Set(&policy.RetryBudgetPercent, DefaultRetryBudgetPercent)
	defaults.Set(&policy.MaxAttempts, DefaultMaxAttempts)
	defaults.Set(&policy.MaxEjectedPercent, DefaultMaxEjectedPercent)
	defaults.Set(&policy.QueuePercent, DefaultQueuePercent)
	defaults.Set(&policy.CrossRegionBytesPerS, DefaultCrossRegionBytesPerS)
	defaults.Set(&policy.WarmupMs, DefaultWarmupMs)
	defaults.Set(&policy.ProbesPerS, defaultProbesPerS)
}

// BudgetOf returns the measuring budget of the preset in force, with defaults filled
// in: the limits of a node's traffic for load reports, probes and gossip.
func BudgetOf(state *pb.ConfigState) *pb.MeasuringBudget {
	budget := FindPreset(state.GetConfig(), state.GetPreset()).GetMeasuringBudget()
	filled := &pb.MeasuringBudget{BytesPerS: budget.GetBytesPerS(), MessagesPerS: budgetMessages(budget)}
	defaults.Set(&filled.BytesPerS, DefaultMeasuringBytesPerS)
	return filled
}

func budgetMessages(budget *pb.MeasuringBudget) uint32 {
	if budget.GetMessagesPerS() == 0 {
		return DefaultMeasuringMessagesPerS
	}
	return budget.GetMessagesPerS()
}

// KeeperLeaseS returns the lease of a keeper (see package once) under the preset in
// force, in seconds.
func KeeperLeaseS(state *pb.ConfigState) uint32 {
	lease := FindPreset(state.GetConfig(), state.GetPreset()).GetKeeperLeaseS()
	defaults.Set(&lease, DefaultKeeperLeaseS)
	return lease
}

// MaxCallDepth returns the maximum depth of a chain of calls.
func MaxCallDepth(state *pb.ConfigState) uint32 {
	depth := state.GetConfig().GetMaxCallDepth()
	defaults.Set(&depth, DefaultMaxCallDepth)
	return depth
}

// FillRoute sets the zero fields of route to their defaults, except idempotent, whose
// default depends on the method of the request.
func FillRoute(route *pb.Route) {
	defaults.Set(&route.Class, defaultClass)
	defaults.Set(&route.DeadlineMs, DefaultDeadlineMs)
	defaults.Set(&route.MaxBodyBytes, DefaultMaxBodyBytes)
}

package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/egretfield/egretfield/internal/hedge"
	"github.com/egretfield/egretfield/internal/pb"
)

func (c *checker) checkPresets(config *pb.Config, services map[string]string) {
	names := map[string]string{}
	if len(config.GetPresets()) == 0 {
		c.addf("presets", "expected at least one preset")
	}
	for i, preset := range config.GetPresets() {
		path := fmt.Sprintf("presets[%d]", i)
		c.checkName(path+".name", preset.GetName())
		c.checkUnique(path+".name", preset.GetName(), names)
		c.checkPreset(path, preset, services)
	}
	if _, ok := names[config.GetDefaultPreset()]; !ok {
		c.addf("default_preset", "got %q, expected the name of a preset (%s)",
			config.GetDefaultPreset(), presetNames(config))
	}
}

func presetNames(config *pb.Config) string {
	names := make([]string, 0, len(config.GetPresets()))
	for _, preset := range config.GetPresets() {
		names = append(names, preset.GetName())
	}
	return strings.Join(names, ", ")
}

func (c *checker) checkPreset(path string, preset *pb.Preset, services map[string]string) {
	budget := preset.GetMeasuringBudget()
	c.checkMax(path+".measuring_budget.bytes_per_s", uint64(budget.GetBytesPerS()), maxMeasuringBytesPerS, "bytes/s")
	c.checkMax(path+".measuring_budget.messages_per_s", uint64(budget.GetMessagesPerS()), maxMeasuringMessagesPerS, "messages/s")
	c.checkPolicy(path+".policy", preset.GetPolicy(), budget)
	seen := map[string]string{}
	for i, entry := range preset.GetServicePolicies() {
		at := fmt.Sprintf("%s.service_policies[%d]", path, i)
		if _, ok := services[entry.GetService()]; !ok {
			c.addf(at+".service", "got %q, expected the name of a service", entry.GetService())
		}
		c.checkUnique(at+".service", entry.GetService(), seen)
		if entry.GetPolicy() == nil {
			c.addf(at, "expected a policy")
		}
		c.checkPolicy(at+".policy", entry.GetPolicy(), budget)
	}
	if lease := preset.GetKeeperLeaseS(); lease != 0 && lease < minKeeperLeaseS {
		c.addf(path+".keeper_lease_s", "got %d, expected at least %d seconds", lease, minKeeperLeaseS)
	}
	c.checkMax(path+".keeper_lease_s", uint64(preset.GetKeeperLeaseS()), maxKeeperLeaseS, "seconds")
}

func (c *checker) checkPolicy(path string, policy *pb.Policy, budget *pb.MeasuringBudget) {
	if name := policy.GetBalancer(); name != "" && !slices.Contains(Balancers, name) {
		c.addf(path+".balancer", "got %q, expected one of %s", name, strings.Join(Balancers, ", "))
	}
	c.checkMax(path+".retry_budget_percent", uint64(policy.GetRetryBudgetPercent()), maxPercent, "percent")
	c.checkMax(path+".hedge_percent", uint64(policy.GetHedgePercent()), hedge.MaxPercent, "percent")
	c.checkMax(path+".max_attempts", uint64(policy.GetMaxAttempts()), maxAttempts, "attempts")
	c.checkMax(path+".max_ejected_percent", uint64(policy.GetMaxEjectedPercent()), maxPercent, "percent")
	c.checkMax(path+".queue_percent", uint64(policy.GetQueuePercent()), maxQueuePercent, "percent")
	c.checkMax(path+".promised_percent", uint64(policy.GetPromisedPercent()), maxPercent, "percent")
	c.checkMax(path+".cross_region_bytes_per_s", policy.GetCrossRegionBytesPerS(), maxCrossRegionBytesPerS, "bytes/s")
	c.checkMax(path+".warmup_ms", uint64(policy.GetWarmupMs()), maxWarmupMs, "ms")
	if probes, limit := policy.GetProbesPerS(), budgetMessages(budget); probes > limit {
		c.addf(path+".probes_per_s", "got %d, expected at most the preset's %d messages/s", probes, limit)
	}
}

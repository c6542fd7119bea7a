package configlog

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
)

// targetConfig returns a configuration with the target number of services.
func targetConfig(depth uint32) *pb.Config {
	config := testConfig(depth)
	config.Services = nil
	for i := range 56 {
		name := fmt.Sprintf("service-%d", i)
		config.Services = append(config.Services, &pb.Service{
			Name:  name,
			Hosts: []string{name + ".example"},
			Routes: []*pb.Route{
				{PathPrefix: "/orders", Methods: []string{"POST"}, DeadlineMs: 15000, RequireKey: true},
				{Methods: []string{"GET", "HEAD"}, DeadlineMs: 4000},
			},
		})
		for _, preset := range config.Presets {
			preset.ServicePolicies = append(preset.ServicePolicies, &pb.ServicePolicy{
				Service: name, Policy: &pb.Policy{Balancer: "p2c", QueuePercent: 50, MaxAttempts: 2},
			})
		}
	}
	return config
}

// BenchmarkFold folds a publish of a configuration of the target size into a state
// whose audit trail is full.
func BenchmarkFold(b *testing.B) {
	state := foldAll(publishOf(0, targetConfig(1)))
	for offset := int64(2); offset < 2+maxAuditEntries; offset++ {
		state, _ = Fold(state, at(offset, publishOf(offset-1, targetConfig(uint32(offset%60)+1))))
	}
	record := at(state.FoldedThrough+1, publishOf(state.Version(), targetConfig(64)))
	b.ReportAllocs()
	for b.Loop() {
		next, entry := Fold(state, record)
		if !entry.GetAccepted() || next.Version() == state.Version() {
			b.Fatal("not accepted")
		}
	}
	b.ReportMetric(float64(len(record.Data)), "record-bytes")
	b.ReportMetric(float64(proto.Size(state.Snapshot())), "snapshot-bytes")
}

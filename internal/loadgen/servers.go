package loadgen

import (
	"cmp"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/egretfield/egretfield/internal/pb"
)

// serverResults counts the executions of a run by server and interval.
func serverResults(journals *Journals, prefix string, start time.Time, intervals int) []*pb.ServerResult {
	byName := map[string]*pb.ServerResult{}
	for _, journal := range journals.All {
		result := byName[journal.GetServer()]
		if result == nil {
			result = &pb.ServerResult{Server: journal.GetServer(), Series: make([]uint32, intervals)}
			byName[journal.GetServer()] = result
		}
		for _, execution := range journal.GetExecutions() {
			if !strings.HasPrefix(execution.GetOperation(), prefix) {
				continue
			}
			result.Executions++
			index := int(time.UnixMicro(execution.GetTimeUnixUs()).Sub(start) / intervalDuration)
			if index >= 0 && index < intervals {
				result.Series[index]++
			}
		}
	}
	results := make([]*pb.ServerResult, 0, len(byName))
	for _, result := range byName {
		results = append(results, result)
	}
	slices.SortFunc(results, func(a, b *pb.ServerResult) int { return cmp.Compare(a.GetServer(), b.GetServer()) })
	return results
}

// cpuTime returns the CPU time of this process.
func cpuTime() time.Duration {
	usage := syscall.Rusage{}
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// cpuPerOperation returns the CPU time per operation sent, in microseconds.
func cpuPerOperation(cpu time.Duration, run *pb.LoadRun) float64 {
	sent := uint32(0)
	for _, kind := range run.GetKinds() {
		sent += kind.GetSent()
	}
	return microseconds(int64(cpu)) / float64(max(1, sent))
}

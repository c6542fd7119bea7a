package loadgen

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// clockTick is the unit of CPU time in /proc/PID/stat.
	clockTick = 10 * time.Millisecond
	// Indexes of fields in /proc/PID/stat, counted from the first one after the
	// process name.
	userTimeField   = 11
	systemTimeField = 12
)

// processCosts measures the CPU time of other processes.
type processCosts struct {
	pids          []int
	startCPUTimes []time.Duration
}

func newProcessCosts(pids []int) (*processCosts, error) {
	c := &processCosts{pids: pids}
	for _, pid := range pids {
		_, cpu, err := processCPUTime(pid)
		if err != nil {
			return nil, err
		}
		c.startCPUTimes = append(c.startCPUTimes, cpu)
	}
	return c, nil
}

// since returns the cost of each process since newProcessCosts. calls is the
// number of routed calls made in that time.
func (c *processCosts) since(elapsed time.Duration, calls uint32) ([]*pb.ProcessCost, error) {
	costs := make([]*pb.ProcessCost, 0, len(c.pids))
	for i, pid := range c.pids {
		name, cpu, err := processCPUTime(pid)
		if err != nil {
			return costs, err
		}
		cpu -= c.startCPUTimes[i]
		costs = append(costs, &pb.ProcessCost{
			Pid: uint32(pid), Name: name,
			Cores:           cpu.Seconds() / elapsed.Seconds(),
			UsPerRoutedCall: microseconds(int64(cpu)) / float64(max(1, calls)),
		})
	}
	return costs, nil
}

// processCPUTime returns the name and the CPU time of a process.
func processCPUTime(pid int) (string, time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return "", 0, eris.Wrap(err, "processor time")
	}
	name, cpu, err := parseStat(text)
	return name, cpu, eris.Wrapf(err, "processor time of process %d", pid)
}

// parseStat parses /proc/PID/stat; the name may contain spaces and parentheses.
func parseStat(text []byte) (string, time.Duration, error) {
	start, end := bytes.IndexByte(text, '('), bytes.LastIndexByte(text, ')')
	if start < 0 || end < start {
		return "", 0, eris.New("no process name in parentheses")
	}
	fields := strings.Fields(string(text[end+1:]))
	if len(fields) <= systemTimeField {
		return "", 0, eris.New("too few fields")
	}
	user, err := strconv.ParseInt(fields[userTimeField], 10, 64)
	if err != nil {
		return "", 0, eris.Wrap(err, "user time")
	}
	system, err := strconv.ParseInt(fields[systemTimeField], 10, 64)
	if err != nil {
		return "", 0, eris.Wrap(err, "system time")
	}
	return string(text[start+1 : end]), time.Duration(user+system) * clockTick, nil
}

package e2e

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/egretfield/egretfield/internal/loadgen"
	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// relayTargetVariable names the environment variable that turns the test
	// binary into a relay to the address that it holds.
	relayTargetVariable = "EGRETFIELD_TEST_RELAY_TO"
	// floorRate is the rate for which the latency target is set, in calls per second.
	floorRate = 400
	// floorDuration is the duration of one measurement.
	floorDuration = 5 * time.Second
)

// serveRelay forwards requests to an address with net/http and does nothing else.
// It prints its own address and returns when its standard input is closed.
func serveRelay(target string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(listener.Addr())
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := r.WithContext(r.Context())
		out.URL.Scheme, out.URL.Host = "http", target
		answer, err := transport.RoundTrip(out)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer answer.Body.Close()
		for name, values := range answer.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(answer.StatusCode)
		_, _ = io.Copy(w, answer.Body)
	}))
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// startRelay starts a relay process with the same GOMAXPROCS as a node.
func startRelay(b *testing.B, target string) (addr string, pid int) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), relayTargetVariable+"="+target, "GOMAXPROCS=2")
	input, err := cmd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	output, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		input.Close()
		_ = cmd.Wait()
	})
	line, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		b.Fatal(err)
	}
	return strings.TrimSpace(line), cmd.Process.Pid
}

// startFloorServer starts a backend server without a node.
func startFloorServer(b *testing.B) string {
	file := filepath.Join(b.TempDir(), "server.addr")
	cmd := exec.Command(filepath.Join(binaries, "egretserver"), "-service", "catalogue", "-address-file", file, "-slots", "200", "-connections", "2000")
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if text, _ := os.ReadFile(file); len(text) > 0 {
			return strings.TrimSpace(string(text))
		}
	}
	b.Fatal("the backend server did not write its address file in time")
	return ""
}

// BenchmarkFloor measures the latency that two relays add to a call at floorRate:
// the share of net/http and the kernel in what scripts/bench-path measures with
// an entry and a gate. Each iteration is one run of floorDuration.
func BenchmarkFloor(b *testing.B) {
	server := startFloorServer(b)
	second, secondPid := startRelay(b, server)
	first, firstPid := startRelay(b, second)
	var added50, added99, cpu float64
	for b.Loop() {
		run, err := loadgen.RunPairs(context.Background(), loadgen.PairOptions{
			Direct: []loadgen.Target{{Address: server}}, Routed: []loadgen.Target{{Address: first}},
			Traffic:  &pb.Traffic{Kind: string(loadgen.KindBrowse), Service: "catalogue"},
			Duration: floorDuration, Warmup: time.Second, Rate: floorRate,
			Pids: []int{firstPid, secondPid},
		})
		if err != nil {
			b.Fatal(err)
		}
		added50 += run.GetAddedP50Us()
		added99 += run.GetAddedP99Us()
		cpu += (run.GetProcesses()[0].GetUsPerRoutedCall() + run.GetProcesses()[1].GetUsPerRoutedCall()) / 2
	}
	b.ReportMetric(added50/float64(b.N), "added-p50-us")
	b.ReportMetric(added99/float64(b.N), "added-p99-us")
	b.ReportMetric(cpu/float64(b.N), "cpu-us/call-hop")
}

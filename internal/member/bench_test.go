package member

import (
	"fmt"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/peer"
)

// Real-time durations of the benchmark: the limit for the fleet to form, the wait
// until the gossip about that has ended, and the measured period.
const (
	formTimeout    = 20 * time.Second
	settleWait     = time.Second
	sampleDuration = 2 * time.Second
)

// socketNode is a List on real loopback sockets, with its own client and server.
type socketNode struct {
	list   *List
	client *peer.TCPClient
	server *peer.Server
}

// usage is the resource usage of all nodes in the process.
type usage struct {
	messages, bytes, bytesSent uint64
	cpu                        time.Duration
}

func startSocketNode(b *testing.B, i int, seeds []string) *socketNode {
	key := []byte("0123456789abcdef")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	n := &socketNode{}
	n.client, _ = peer.NewClient(key, peer.Options{})
	n.server, _ = peer.NewServer(key, peer.Options{})
	n.list, err = New(Options{
		Member: &pb.Member{
			Instance:       fmt.Sprintf("instance-%04d", i),
			Region:         fmt.Sprintf("region-%d", i%3),
			DataCentre:     fmt.Sprintf("data-centre-%d", i%7),
			ControlAddress: l.Addr().String(),
			GateAddress:    "10.100.200.100:8081",
			CallerAddress:  "10.100.200.100:8080",
		},
		ControlClient: n.client,
		Seeds:         seeds,
	})
	if err != nil {
		b.Fatal(err)
	}
	n.list.Register(n.server)
	n.list.SetServer(&pb.Announcement{Service: fmt.Sprintf("service-%02d", i%56), Slots: 10, Connections: 220})
	go n.server.Serve(l)
	n.list.Start()
	return n
}

func (n *socketNode) close() {
	n.list.Close()
	n.client.Close()
	n.server.Close()
}

// totalUsage returns the traffic of the nodes and the processor time of the process
// so far.
func totalUsage(nodes []*socketNode) usage {
	var u usage
	for _, n := range nodes {
		for _, stats := range []*peer.Stats{n.client.Stats(), n.server.Stats()} {
			for _, t := range stats.Classes() {
				u.messages += t.MessagesIn + t.MessagesOut
				u.bytes += t.BytesIn + t.BytesOut
				u.bytesSent += t.BytesOut
			}
		}
	}
	var r syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	u.cpu = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	return u
}

// BenchmarkMembers measures a fleet without changes on loopback: bytes and messages
// in both directions, processor time, heap and stack, each per node.
func BenchmarkMembers(b *testing.B) {
	for _, size := range []int{10, 30, 60, 120} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				measure(b, size)
			}
		})
	}
}

// fleetFormed reports whether every node is ready and knows all others.
func fleetFormed(nodes []*socketNode) bool {
	for _, n := range nodes {
		if len(n.list.View().Members) != len(nodes) || !n.list.Health().Ready {
			return false
		}
	}
	return true
}

func measure(b *testing.B, size int) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var nodes []*socketNode
	var seeds []string
	for i := range size {
		nodes = append(nodes, startSocketNode(b, i, seeds))
		seeds = append(seeds, nodes[i].list.Self().ControlAddress)
		seeds = seeds[max(0, len(seeds)-10):]
	}
	defer func() {
		for _, n := range nodes {
			n.close()
		}
	}()
	started := time.Now()
	for !fleetFormed(nodes) && time.Since(started) < formTimeout {
		time.Sleep(50 * time.Millisecond)
	}
	if !fleetFormed(nodes) {
		b.Fatal("the fleet did not form in time")
	}
	b.ReportMetric(float64(time.Since(started).Milliseconds()), "form-ms")
	time.Sleep(settleWait)
	start := totalUsage(nodes)
	time.Sleep(sampleDuration)
	end := totalUsage(nodes)
	runtime.GC()
	runtime.ReadMemStats(&after)
	perNodeSecond := float64(size) * sampleDuration.Seconds()
	b.ReportMetric(float64(end.bytes-start.bytes)/perNodeSecond, "bytes/s")
	b.ReportMetric(float64(end.messages-start.messages)/perNodeSecond, "messages/s")
	b.ReportMetric(float64((end.cpu-start.cpu).Microseconds())/perNodeSecond, "cpu-us/s")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size)/1024, "heap-KiB")
	b.ReportMetric(float64(after.StackInuse-before.StackInuse)/float64(size)/1024, "stack-KiB")
}

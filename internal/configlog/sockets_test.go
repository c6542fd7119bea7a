package configlog

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/peer"
	"github.com/egretfield/egretfield/internal/platformlog/httplog"
	"github.com/egretfield/egretfield/internal/standin/logserver"
	"github.com/egretfield/egretfield/internal/standin/memlog"
)

const socketNodes = 30

// socketNode runs a follower that reaches the log and its peers over sockets. It
// returns the follower and its control address.
func socketNode(b *testing.B, ctx context.Context, wg *sync.WaitGroup, name, url string, addresses func() []string) (*Follower, string) {
	b.Helper()
	key := []byte("0123456789abcdef")
	log, err := httplog.New(httplog.Options{BaseURL: url, Client: name})
	if err != nil {
		b.Fatal(err)
	}
	client, err := peer.NewClient(key, peer.Options{})
	if err != nil {
		b.Fatal(err)
	}
	server, err := peer.NewServer(key, peer.Options{})
	if err != nil {
		b.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	follower := NewFollower(Options{Name: name, Log: log, ControlClient: client, Addresses: addresses})
	if err := server.RegisterName(RPCName, NewRPC(follower, NewPublisher(log, follower))); err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close(); _ = client.Close() })
	wg.Add(1)
	go func() {
		defer wg.Done()
		_ = follower.Run(ctx)
	}()
	return follower, listener.Addr().String()
}

// BenchmarkSockets measures the time from submitting a publish until the last of 30
// followers has folded it, over loopback sockets. There is no gossip, so nodes that
// can't reach the log learn of a change only by their pull once a second.
func BenchmarkSockets(b *testing.B) {
	for name, faults := range map[string]func([]string) *pb.LogFaults{
		"healthy":       func([]string) *pb.LogFaults { return &pb.LogFaults{} },
		"slow-1s":       func([]string) *pb.LogFaults { return &pb.LogFaults{SlowMs: 1000} },
		"down-far-half": func(names []string) *pb.LogFaults { return &pb.LogFaults{DownFor: names[socketNodes/2:]} },
	} {
		b.Run(name, func(b *testing.B) { benchmarkSockets(b, faults) })
	}
}

func benchmarkSockets(b *testing.B, faults func([]string) *pb.LogFaults) {
	log := memlog.New(memlog.Options{})
	server := httptest.NewServer(logserver.New(log))
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer server.Close()
	defer wg.Wait()
	defer cancel()
	var mu sync.Mutex
	var followers []*Follower
	var names, addresses []string
	peers := func() []string {
		mu.Lock()
		defer mu.Unlock()
		return append([]string(nil), addresses...)
	}
	for i := range socketNodes {
		name := fmt.Sprintf("n%d", i)
		follower, addr := socketNode(b, ctx, &wg, name, server.URL, peers)
		mu.Lock()
		addresses = append(addresses, addr)
		mu.Unlock()
		followers = append(followers, follower)
		names = append(names, name)
	}
	publisher := NewPublisher(followers[0].options.Log, followers[0])
	log.SetFaults(faults(names))
	var worst, sum time.Duration
	count := 0
	for b.Loop() {
		started := time.Now()
		entry, err := publisher.Submit(ctx, publishOf(followers[0].State().Version(), targetConfig(uint32(count%60)+1)))
		if err != nil {
			b.Fatal(err)
		}
		for _, follower := range followers {
			_, _ = follower.Await(ctx, func(state State) bool { return state.Version() >= entry.GetOffset() })
		}
		took := time.Since(started)
		worst, sum, count = max(worst, took), sum+took, count+1
	}
	b.ReportMetric(float64(sum.Milliseconds())/float64(count), "ms-mean")
	b.ReportMetric(float64(worst.Milliseconds()), "ms-worst")
}

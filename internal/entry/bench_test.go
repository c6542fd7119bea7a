package entry_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/entry"
	"github.com/egretfield/egretfield/internal/gate"
)

const benchBody = 2 << 10 // bytes

// rawServer answers each request with the same bytes, without allocations.
func rawServer(b *testing.B) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { l.Close() })
	answer := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", benchBody, strings.Repeat("x", benchBody)))
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go answerAll(nc, answer)
		}
	}()
	return l.Addr().String()
}

func answerAll(nc net.Conn, answer []byte) {
	defer nc.Close()
	r := bufio.NewReader(nc)
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return
		}
		if len(bytes.TrimSpace(line)) == 0 {
			_, _ = nc.Write(answer)
		}
	}
}

// rawCall sends a request and reads an answer with a body of benchBody bytes.
func rawCall(nc net.Conn, r *bufio.Reader, request []byte) error {
	if _, err := nc.Write(request); err != nil {
		return err
	}
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) == 2 {
			break
		}
	}
	_, err := r.Discard(benchBody)
	return err
}

func benchmarkCalls(b *testing.B, addr string) {
	request := []byte("GET /svc/orders/item/17 HTTP/1.1\r\nHost: orders\r\nUser-Agent: bench\r\nAccept: */*\r\n\r\n")
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			b.Error(err)
			return
		}
		defer nc.Close()
		r := bufio.NewReaderSize(nc, 8<<10)
		for p.Next() {
			if err := rawCall(nc, r, request); err != nil && err != io.EOF {
				b.Error(err)
				return
			}
		}
	})
}

// BenchmarkPath measures calls on persistent loopback connections. Caller and backend
// server allocate nothing, so all reported allocations are those of entry and gate.
func BenchmarkPath(b *testing.B) {
	backend := rawServer(b)
	newGate := func() *gate.Gate {
		g := gate.New(gate.Options{Instance: "s0", Incarnation: 1})
		g.SetServer(&gate.Server{Service: "orders", Address: backend, Slots: 64, Connections: 200})
		return g
	}
	b.Run("direct", func(b *testing.B) { benchmarkCalls(b, backend) })
	for _, local := range []bool{true, false} {
		g := newGate()
		gateAddr, closeGate := serveOn(g)
		endpoint := &balance.Endpoint{Instance: "s0", Incarnation: 1, Service: "orders", GateAddress: gateAddr, Slots: 64}
		only := &singleBalancer{endpoint: endpoint}
		options := entry.Options{Instance: "e", BalancerFor: func(string) balance.Balancer { return only }}
		name := "two_hops"
		if local {
			name = "own_gate"
			options.Instance, options.Local = "s0", g
		}
		h := entry.New(options)
		h.SetRoutes(entry.NewRoutes(testConfig, ""))
		addr, closeEntry := serveOn(h)
		b.Run(name, func(b *testing.B) { benchmarkCalls(b, addr) })
		closeEntry()
		closeGate()
	}
}

// singleBalancer always picks the same endpoint.
type singleBalancer struct {
	orderedBalancer
	endpoint *balance.Endpoint
}

func (b *singleBalancer) Pick(balance.PickInfo) (*balance.Endpoint, error) { return b.endpoint, nil }
func (b *singleBalancer) Done(balance.Result)                              {}

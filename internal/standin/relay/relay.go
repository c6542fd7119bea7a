// Package relay implements a TCP relay that simulates a stateful network device, such
// as a NAT or a firewall, that loses the state of its connections: open connections can
// go silent, in either direction, while new ones work.
package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// bufferSize is the size in bytes of the buffers that data is forwarded with.
const bufferSize = 32 << 10

// Relay forwards connections to a target. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   func() string
	// delay of each chunk that is forwarded, nanoseconds.
	delay atomic.Int64

	mu          sync.Mutex
	connections map[*connection]struct{}
}

// connection is an accepted connection and the one to the target that continues it.
type connection struct {
	client, server net.Conn
	// discardRequests and discardAnswers discard the bytes to and from the target.
	discardRequests, discardAnswers atomic.Bool
}

// New returns a relay that listens on address. It calls target for the target's
// address at each new connection.
func New(address string, target func() string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "relay")
	}
	return Serve(listener, target), nil
}

// Serve returns a relay, as New does, that accepts connections from listener.
func Serve(listener net.Listener, target func() string) *Relay {
	r := &Relay{listener: listener, target: target, connections: make(map[*connection]struct{})}
	go r.accept()
	return r
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() string {
	return r.listener.Addr().String()
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(client)
	}
}

// forward forwards one connection to the target until both directions have ended.
func (r *Relay) forward(client net.Conn) {
	defer client.Close()
	server, err := net.Dial("tcp", r.target())
	if err != nil {
		return
	}
	defer server.Close()
	c := &connection{client: client, server: server}
	r.add(c)
	defer r.remove(c)
	var directions sync.WaitGroup
	directions.Go(func() { r.copy(server, client, &c.discardRequests) })
	directions.Go(func() { r.copy(client, server, &c.discardAnswers) })
	directions.Wait()
}

func (r *Relay) add(c *connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connections[c] = struct{}{}
}

func (r *Relay) remove(c *connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, c)
}

// copy forwards bytes until either end is closed. While it discards them, it doesn't
// forward the close either.
func (r *Relay) copy(to, from net.Conn, discard *atomic.Bool) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		time.Sleep(time.Duration(r.delay.Load()))
		discarded := discard.Load()
		if !discarded && n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err == nil {
			continue
		}
		if !discarded {
			to.Close()
		}
		return
	}
}

// Discard sets whether the open connections discard requests, and whether they discard
// answers, from now on. Neither end is informed. New connections are not affected.
func (r *Relay) Discard(requests, answers bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		c.discardRequests.Store(requests)
		c.discardAnswers.Store(answers)
	}
}

// SetDelay sets the delay of data forwarded from now on, in either direction.
func (r *Relay) SetDelay(delay time.Duration) { r.delay.Store(int64(delay)) }

// ConnectionCount returns the number of open connections.
func (r *Relay) ConnectionCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.connections)
}

// Reset closes both ends of the open connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		c.client.Close()
		c.server.Close()
	}
}

// Close stops listening and closes the open connections.
func (r *Relay) Close() {
	r.listener.Close()
	r.Reset()
}

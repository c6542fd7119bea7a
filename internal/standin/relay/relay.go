// Package relay is a stand-in for what lies between the two ends of a TCP
// connection and may lose track of it: present connections can go silent, in
// either direction, while new ones work.
package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// bufferSize is the length of the buffers that bytes are passed on with, bytes.
const bufferSize = 32 << 10

// Relay passes connections on to a target. Safe for concurrent use.
type Relay struct {
	listener net.Listener
	target   func() string
	// delay is added to each piece that is passed on, nanoseconds.
	delay atomic.Int64

	mu    sync.Mutex
	links map[*link]struct{}
}

// link is one connection and its continuation to the target.
type link struct {
	client, server net.Conn
	// loseRequests and loseAnswers swallow the bytes to and from the target.
	loseRequests, loseAnswers atomic.Bool
}

// New returns a relay that listens on an address. Target is asked for the
// target's address at each new connection.
func New(address string, target func() string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "relay")
	}
	return Serve(listener, target), nil
}

// Serve is New with a listener.
func Serve(listener net.Listener, target func() string) *Relay {
	r := &Relay{listener: listener, target: target, links: make(map[*link]struct{})}
	go r.accept()
	return r
}

// Address is where the relay listens.
func (r *Relay) Address() string {
	return r.listener.Addr().String()
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.connect(client)
	}
}

// connect passes one connection on until both its ends are closed.
func (r *Relay) connect(client net.Conn) {
	defer client.Close()
	server, err := net.Dial("tcp", r.target())
	if err != nil {
		return
	}
	defer server.Close()
	l := &link{client: client, server: server}
	r.add(l)
	defer r.remove(l)
	var directions sync.WaitGroup
	directions.Go(func() { r.pass(server, client, &l.loseRequests) })
	directions.Go(func() { r.pass(client, server, &l.loseAnswers) })
	directions.Wait()
}

func (r *Relay) add(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links[l] = struct{}{}
}

func (r *Relay) remove(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

// pass copies bytes until either end is closed. The end of a silent connection
// isn't passed on either.
func (r *Relay) pass(to, from net.Conn, lose *atomic.Bool) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		time.Sleep(time.Duration(r.delay.Load()))
		lost := lose.Load()
		if !lost && n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err == nil {
			continue
		}
		if !lost {
			to.Close()
		}
		return
	}
}

// Lose makes the present connections swallow requests, answers or both for
// good. Neither end learns of it.
func (r *Relay) Lose(requests, answers bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.loseRequests.Store(requests)
		l.loseAnswers.Store(answers)
	}
}

// SetDelay delays what is passed on from now on, in either direction.
func (r *Relay) SetDelay(delay time.Duration) { r.delay.Store(int64(delay)) }

// Links returns the number of present connections.
func (r *Relay) Links() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links)
}

// Reset breaks the present connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.client.Close()
		l.server.Close()
	}
}

// Close stops listening and breaks the present connections.
func (r *Relay) Close() {
	r.listener.Close()
	r.Reset()
}

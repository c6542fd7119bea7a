package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

var requestNumber atomic.Int64

// sent is one request of a consumer.
type sent struct {
	id   string
	path string
	// sentAt is when its last byte was written.
	sentAt time.Duration
	// readAt is when the node was first seen to have read all bytes of the connection.
	readAt time.Duration
	// status is the answer's; 0: the connection ended without any byte of an answer.
	status int
	// partial reports whether the answer began and is not complete.
	partial bool
	// endedAt is when the answer was complete or the connection ended.
	endedAt time.Duration
	// reset reports whether the connection ended with a reset.
	reset bool
}

// connection is a kept connection of a consumer that sends requests one behind the other.
type connection struct {
	machine *machine
	nc      net.Conn
	reader  *bufio.Reader

	mu      sync.Mutex
	waiting []*sent
	// closing reports whether an answer announced the end of the connection.
	closing bool
	ended   bool
	all     []*sent
}

func dial(m *machine) (*connection, error) {
	nc, err := net.DialTimeout("tcp", m.address(portOutbound), time.Second)
	if err != nil {
		return nil, err
	}
	c := &connection{machine: m, nc: nc, reader: bufio.NewReader(nc)}
	go c.read()
	return c, nil
}

// send sends a request behind those that wait. It returns nil if the connection takes no
// more requests.
func (c *connection) send(method, host, path string, deadline time.Duration) *sent {
	r := &sent{id: fmt.Sprintf("q%08x", requestNumber.Add(1)), path: path}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", method, path, host, headerID, r.id, headerDeadline, deadline.Milliseconds())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.ended {
		return nil
	}
	if _, err := io.WriteString(c.nc, text); err != nil {
		return nil
	}
	r.sentAt = c.machine.env.record.since()
	c.machine.env.record.logf("consumer at %s: %s is sent (%s %s)", c.machine.name, r.id, method, path)
	c.waiting = append(c.waiting, r)
	c.all = append(c.all, r)
	return r
}

// upload sends a request with a body in chunks.
func (c *connection) upload(host, path string, body []byte, deadline time.Duration) *sent {
	r := &sent{id: fmt.Sprintf("q%08x", requestNumber.Add(1)), path: path}
	var text strings.Builder
	fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Type: application/octet-stream\r\nTransfer-Encoding: chunked\r\n\r\n", path, host, headerID, r.id, headerDeadline, deadline.Milliseconds())
	for len(body) > 0 {
		n := min(len(body), 16<<10)
		fmt.Fprintf(&text, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	text.WriteString("0\r\n\r\n")
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.ended {
		return nil
	}
	r.sentAt = c.machine.env.record.since()
	c.machine.env.record.logf("consumer at %s: %s is sent (POST %s, %d bytes with its chunks)", c.machine.name, r.id, path, text.Len())
	c.waiting = append(c.waiting, r)
	c.all = append(c.all, r)
	go io.WriteString(c.nc, text.String())
	return r
}

// outstanding returns the number of requests without an answer.
func (c *connection) outstanding() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiting)
}

// usable reports whether the connection takes more requests.
func (c *connection) usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closing && !c.ended
}

func (c *connection) first() *sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.waiting) == 0 {
		return nil
	}
	return c.waiting[0]
}

// read reads answers until the connection ends.
func (c *connection) read() {
	record := c.machine.env.record
	for {
		if _, err := c.reader.Peek(1); err != nil {
			c.end(err, false)
			return
		}
		answer, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			c.end(err, true)
			return
		}
		_, err = io.Copy(io.Discard, answer.Body)
		if err != nil {
			if r := c.first(); r != nil {
				r.status = answer.StatusCode
			}
			c.end(err, true)
			return
		}
		c.mu.Lock()
		if len(c.waiting) > 0 {
			r := c.waiting[0]
			c.waiting = c.waiting[1:]
			r.status, r.endedAt = answer.StatusCode, record.since()
			record.logf("consumer at %s: %s is answered %d, connection: %s", c.machine.name, r.id, r.status, answer.Header.Get("Connection"))
		}
		if answer.Close || strings.EqualFold(answer.Header.Get("Connection"), "close") {
			c.closing = true
		}
		c.mu.Unlock()
	}
}

// end records that the connection has ended, in the middle of an answer if partial.
func (c *connection) end(err error, partial bool) {
	record := c.machine.env.record
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for i, r := range c.waiting {
		r.endedAt, r.reset = record.since(), errors.Is(err, syscall.ECONNRESET)
		r.partial = partial && i == 0
		what := "without an answer"
		if r.partial {
			what = "in the middle of the answer"
		}
		record.logf("consumer at %s: the connection ends %s to %s (%v)", c.machine.name, what, r.id, err)
	}
	c.waiting = nil
	c.nc.Close()
}

// unreadAtNode returns the number of bytes of the connection that the node's process has
// not read, from the kernel's table of sockets; -1: the node's socket is gone.
func (c *connection) unreadAtNode() int {
	local, remote := hexAddress(c.nc.RemoteAddr()), hexAddress(c.nc.LocalAddr())
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return -1
	}
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[1] != local || fields[2] != remote {
			continue
		}
		var tx, rx int
		if _, err := fmt.Sscanf(fields[4], "%x:%x", &tx, &rx); err == nil {
			return rx
		}
	}
	return -1
}

// hexAddress returns an address as the kernel's table writes it.
func hexAddress(a net.Addr) string {
	tcp := a.(*net.TCPAddr)
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}

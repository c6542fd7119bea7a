package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const slots = 12

// deadly is the beginning of a body that crashes each server that begins to run the
// request, and crashTime the time after which the server is back.
const (
	deadly    = "%!deadly"
	crashTime = 3 * time.Second
)

// Names of the platform's headers.
const (
	headerID        = "Egretfield-Request-Id"
	headerDeadline  = "Egretfield-Deadline-Ms"
	headerTarget    = "Egretfield-Target-Instance"
	headerNotRun    = "Egretfield-Not-Executed"
	headerSignature = "Egretfield-Server-Signature"
	headerLoad      = "Egretfield-Server-Load"
	headerInstance  = "Egretfield-Instance-Id"
)

// server is a sound backend server. Its work is named in the path: the segment w90-b5000
// means 90 ms of work and an answer of 5000 bytes.
type server struct {
	machine  *machine
	id       string
	born     int64
	listener net.Listener
	running  atomic.Int64
	// breakOff decides whether the answer to a request has no length and is reset midway;
	// nil: none is.
	breakOff atomic.Pointer[func(id string) bool]

	mu   sync.Mutex
	runs map[string]run
	// deadlyRuns are the times at which requests that crash the server reached it.
	deadlyRuns []time.Duration
	// conns are the open connections; down: the server has crashed.
	conns map[net.Conn]bool
	down  bool
	// boots counts the starts, each with a new id.
	boots int
}

// run is one request that the server ran.
type run struct {
	at, ended time.Duration
	brokeOff  bool
}

func startServer(m *machine, id string) (*server, error) {
	listener, err := net.Listen("tcp", m.address(portApp))
	if err != nil {
		return nil, err
	}
	s := &server{machine: m, id: id, born: time.Now().UnixMilli(), listener: listener, runs: map[string]run{}, conns: map[net.Conn]bool{}}
	go s.accept(listener)
	return s, nil
}

func (s *server) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

// crash ends the server as a crash of its process does. It is back after a while, with
// another id.
func (s *server) crash(back time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	s.down = true
	s.machine.env.record.logf("server %s crashes", s.id)
	s.listener.Close()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	s.conns = map[net.Conn]bool{}
	time.AfterFunc(back, s.restart)
}

func (s *server) restart() {
	listener, err := net.Listen("tcp", s.machine.address(portApp))
	if err != nil {
		time.AfterFunc(50*time.Millisecond, s.restart)
		return
	}
	s.mu.Lock()
	s.down, s.listener, s.born, s.boots = false, listener, time.Now().UnixMilli(), s.boots+1
	s.id = fmt.Sprintf("%.10s-%d", s.id, s.boots)
	id := s.id
	s.mu.Unlock()
	s.running.Store(0)
	s.machine.env.record.logf("server %s has started", id)
	go s.accept(listener)
	if p := s.machine.pinger; p != nil {
		p.mu.Lock()
		p.seq = 0
		p.mu.Unlock()
		go p.ping()
	}
}

func (s *server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// identity returns the id of the present start of the server and when it was.
func (s *server) identity() (id string, born int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id, s.born
}

// runOf returns the run of a request.
func (s *server) runOf(id string) (run, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.runs[id]
	return r, ok
}

func (s *server) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if bytes.HasPrefix(body, []byte(deadly)) && request.Header.Get(headerID) != "" {
			record := s.machine.env.record
			serverID, _ := s.identity()
			record.logf("server %s begins to run %s, which crashes it", serverID, request.Header.Get(headerID))
			s.mu.Lock()
			s.deadlyRuns = append(s.deadlyRuns, record.since())
			s.mu.Unlock()
			s.crash(crashTime)
			return
		}
		if !s.answer(c, request) {
			return
		}
	}
}

// answer runs a request and writes the answer. It returns false if the connection ends.
func (s *server) answer(c net.Conn, r *http.Request) bool {
	record := s.machine.env.record
	serverID, _ := s.identity()
	load := fmt.Sprintf("%s: %d,0,%d\r\n", headerLoad, s.running.Load(), slots)
	id := r.Header.Get(headerID)
	switch {
	case r.URL.Path == "/healthz":
		return send(c, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Length: 0\r\n\r\n", headerInstance, serverID, load))
	case r.Header.Get(headerTarget) != "" && r.Header.Get(headerTarget) != serverID:
		return send(c, fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerInstance, serverID, headerNotRun))
	case id == "":
		return send(c, fmt.Sprintf("HTTP/1.1 400 Bad Request\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerNotRun))
	case s.running.Load() >= 2*slots:
		return send(c, fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\n%sContent-Length: 0\r\n\r\n", headerID, id, headerNotRun, load))
	}
	work, size := workOf(r.URL.Path)
	s.running.Add(1)
	current := run{at: record.since()}
	record.logf("server %s runs %s (%s %s)", serverID, id, r.Method, r.URL.Path)
	time.Sleep(work)
	s.running.Add(-1)
	if decide := s.breakOff.Load(); decide != nil {
		current.brokeOff = (*decide)(id)
	}
	current.ended = record.since()
	s.mu.Lock()
	s.runs[id] = current
	s.mu.Unlock()
	body := bytes.Repeat([]byte("x"), size)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%d\r\n%s", headerID, id, headerSignature, serverID, size, load)
	if current.brokeOff {
		record.logf("server %s breaks its answer to %s off", serverID, id)
		_, _ = io.WriteString(c, head+"\r\n")
		_, _ = c.Write(body[:size/2])
		time.Sleep(5 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0) // the close is a reset
		return false
	}
	return send(c, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, size, body))
}

func send(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// workOf returns the work and the size of the answer that a path names.
func workOf(path string) (time.Duration, int) {
	work, size := 50*time.Millisecond, 1000
	for part := range strings.SplitSeq(path, "/") {
		first, second, ok := strings.Cut(part, "-b")
		ms, errWork := strconv.Atoi(strings.TrimPrefix(first, "w"))
		n, errSize := strconv.Atoi(second)
		if ok && errWork == nil && errSize == nil {
			work, size = time.Duration(ms)*time.Millisecond, n
		}
	}
	return work, size
}

// pinger sends the pings of a server to the node beside it.
type pinger struct {
	machine *machine
	client  http.Client
	done    chan struct{}
	once    sync.Once

	mu  sync.Mutex
	seq int
}

func startPinger(m *machine) *pinger {
	p := &pinger{machine: m, client: http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}, done: make(chan struct{})}
	go p.loop()
	return p
}

func (p *pinger) stop() { p.once.Do(func() { close(p.done) }) }

func (p *pinger) loop() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		go p.ping()
		select {
		case <-p.done:
			return
		case <-ticker.C:
		}
	}
}

// ping sends one ping.
func (p *pinger) ping() {
	if p.machine.server.isDown() {
		return
	}
	p.mu.Lock()
	p.seq++
	seq := p.seq
	p.mu.Unlock()
	id, born := p.machine.server.identity()
	body, _ := json.Marshal(map[string]any{
		"address": p.machine.address(portApp), "born": born,
		"info":   map[string]any{"service": p.machine.service, "version": "v1", "zone": p.machine.zone, "slots": slots},
		"status": map[string]any{"state": "ready", "seq": seq, "warmup-left": "0ms"},
	})
	request, _ := http.NewRequest(http.MethodPut, "http://"+p.machine.address(portControl)+"/v1/instances/"+id, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	answer, err := p.client.Do(request)
	status := "no answer"
	if err == nil {
		answer.Body.Close()
		status = answer.Status
	}
	p.machine.env.record.logf("server %s: ping %d: %s", id, seq, status)
}

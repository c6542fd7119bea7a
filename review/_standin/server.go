package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	slots    = 9
	workTime = 20 * time.Millisecond
	// maxAckTime is how long a server waits for the ack of a heartbeat.
	maxAckTime = time.Second
	// downTime is how long a crashed server is away.
	downTime = 3 * time.Second
)

// Headers of requests and answers.
const (
	headerRequestID   = "Egretfield-Request-Id"
	headerDeadline    = "Egretfield-Deadline-Ms"
	headerCaller      = "Egretfield-Caller-Service"
	headerTarget      = "Egretfield-Target-Instance"
	headerInstance    = "Egretfield-Instance-Id"
	headerNotExecuted = "Egretfield-Not-Executed"
	headerSignature   = "Egretfield-Server-Signature"
	headerLoad        = "Egretfield-Server-Load"
)

// execution is a run of a request at a server.
type execution struct {
	server, service, id, method, target, caller string
}

// server is a stand-in of a backend server that follows the users' pages.
type server struct {
	env      *env
	machine  *machine
	stop     chan struct{}
	stopOnce sync.Once
	beats    sync.WaitGroup
	slots    chan struct{}

	mu sync.Mutex
	// id and born belong to the present boot.
	id         string
	born       int64
	http       *http.Server
	down       bool
	boots      int
	state      string
	seq        int
	executions []execution
	// answer replaces the sound answer; nil: none does.
	answer http.HandlerFunc
	// crashes reports whether a request with that body crashes the server; nil: none
	// does.
	crashes func(body string) bool
}

func startServer(e *env, m *machine) (*server, error) {
	s := &server{env: e, machine: m, stop: make(chan struct{}), slots: make(chan struct{}, slots), state: "ready"}
	if err := s.boot(); err != nil {
		return nil, err
	}
	s.beats.Add(1)
	go s.beat()
	return s, nil
}

// boot starts the server, each time under another id.
func (s *server) boot() error {
	listener, err := net.Listen("tcp", address(s.machine.ip, portServer))
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boots++
	s.id = fmt.Sprintf("i-%s-%d", s.machine.name, s.boots)
	s.born, s.seq, s.down = time.Now().UnixMilli(), 0, false
	serving := &http.Server{Handler: s}
	s.http = serving
	go func() { _ = serving.Serve(listener) }()
	return nil
}

// crash ends all connections and boots the server after downTime.
func (s *server) crash() {
	s.env.logf("server %s crashes", s.name())
	s.mu.Lock()
	s.down = true
	_ = s.http.Close()
	s.mu.Unlock()
	time.Sleep(downTime)
	if err := s.boot(); err != nil {
		s.env.logf("server on %s not started again: %v", s.machine.name, err)
	}
}

// name returns the id of the present boot.
func (s *server) name() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

func (s *server) close() {
	s.stopBeats()
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.http.Close()
}

// stopBeats ends the heartbeats.
func (s *server) stopBeats() {
	s.stopOnce.Do(func() { close(s.stop) })
	s.beats.Wait()
}

// beat sends heartbeats until they are stopped.
func (s *server) beat() {
	defer s.beats.Done()
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if !down {
			s.ping()
		}
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
	}
}

// ping sends one heartbeat and returns whether it was acknowledged.
func (s *server) ping() bool { return s.env.sendPing(s.machine, s.name(), s.nextPing()) }

// nextPing returns the server's next heartbeat.
func (s *server) nextPing() table {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	return table{
		"address": address(s.machine.ip, portServer),
		"born":    s.born,
		"info":    table{"service": s.machine.service, "version": "v1", "zone": s.machine.zone, "slots": slots},
		"status":  table{"state": s.state, "seq": s.seq, "warmup-left": "0ms"},
	}
}

// deregister sends the server's last message, after which it sends no heartbeats, and
// returns whether it was acknowledged.
func (s *server) deregister() bool {
	s.stopBeats()
	s.mu.Lock()
	id, born := s.id, s.born
	s.mu.Unlock()
	return s.env.callNode(http.MethodDelete, s.machine, id, table{"born": born})
}

// sendPing sends a heartbeat to a machine's node and returns whether it was acknowledged.
func (e *env) sendPing(m *machine, id string, body table) bool {
	return e.callNode(http.MethodPut, m, id, body)
}

func (e *env) callNode(method string, m *machine, id string, body table) bool {
	encoded, _ := json.Marshal(body) // a table always marshals
	request, err := http.NewRequest(method, "http://"+address(m.ip, portControl)+"/v1/instances/"+id, bytes.NewReader(encoded))
	if err != nil {
		e.logf("%s %s: %v", method, id, err)
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: maxAckTime}
	answer, err := client.Do(request)
	if err != nil {
		e.logf("%s: %s %s %s: %v", m.name, method, id, encoded, err)
		return false
	}
	answer.Body.Close()
	e.logf("%s: %s %s %s answered %d", m.name, method, id, encoded, answer.StatusCode)
	return answer.StatusCode/100 == 2
}

// setState changes the state that the server reports.
func (s *server) setState(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

// setAnswer replaces the sound answers.
func (s *server) setAnswer(answer http.HandlerFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

// setCrash sets which bodies crash the server.
func (s *server) setCrash(crashes func(body string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes = crashes
}

// runs returns the executions so far.
func (s *server) runs() []execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]execution(nil), s.executions...)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, id := s.name(), r.Header.Get(headerRequestID)
	header := w.Header()
	header.Set(headerLoad, fmt.Sprintf("%d,0,%d", len(s.slots), slots))
	if r.URL.Path == healthPath {
		header.Set(headerInstance, name)
		return
	}
	header.Set(headerRequestID, id)
	if target := r.Header.Get(headerTarget); target != "" && target != name {
		header.Set(headerInstance, name)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		header.Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case s.slots <- struct{}{}:
	default:
		header.Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	run := execution{name, s.machine.service, id, r.Method, r.RequestURI, r.Header.Get(headerCaller)}
	s.mu.Lock()
	s.executions = append(s.executions, run)
	answer, crashes := s.answer, s.crashes
	s.mu.Unlock()
	s.env.logf("server %s (%s) runs %s %s, id %s, caller %s", run.server, run.service, run.method, run.target, run.id, run.caller)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if crashes != nil && crashes(string(body)) {
		go s.crash()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(workTime)
	header.Set(headerSignature, "signed-by-"+name)
	if answer != nil {
		answer(w, r)
		return
	}
	fmt.Fprintf(w, "answer of %s to %s\n", name, id)
}

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	pipelineDepth = 8
	// brokenEvery: a faulty server breaks off one answer in so many.
	brokenEvery = 20
	answerBytes = 20 << 10
)

// brokenPipeline: consumers send requests behind others on their connections, and one of
// three servers breaks off some of its answers, which have no length.
func brokenPipeline(e *env) (string, error) {
	const (
		consumers = 10
		rounds    = 20
	)
	routes := map[string]table{
		"r-catalogue": route("parts.example", "/catalogue/", "idempotent", "catalogue", "2000ms"),
	}
	if err := e.start(routes, "catalogue", "catalogue", "catalogue"); err != nil {
		return "", err
	}
	if err := e.expectServed(request{method: http.MethodGet, host: "parts.example", target: "/catalogue/1"}); err != nil {
		return "", err
	}
	faulty := e.machines[0].server
	for _, m := range e.machines {
		m.server.setAnswer(answerWithoutLength(m.server, e.trouble && m.server == faulty))
	}
	unanswered := make([][]string, consumers)
	var consuming sync.WaitGroup
	for i := range consumers {
		consuming.Go(func() {
			for range rounds {
				unanswered[i] = append(unanswered[i], e.sendPipelined(e.machines[i%len(e.machines)])...)
			}
		})
	}
	consuming.Wait()
	lost := 0
	for _, ids := range unanswered {
		for _, id := range ids {
			for _, run := range e.executionsOf(id) {
				if run.server != faulty.name() {
					lost++
					e.logf("request %s was passed on to the sound server %s, and its connection closed without its answer", id, run.server)
					break
				}
			}
		}
	}
	e.logf("%d of %d requests were passed on to a sound server and got no answer", lost, consumers*rounds*(pipelineDepth+1))
	if lost > 3 {
		return fmt.Sprintf("LOST: %d of %d requests from kept connections were passed on to a sound server, and their connection closed without an answer", lost, consumers*rounds*(pipelineDepth+1)), nil
	}
	return "", nil
}

// answerWithoutLength returns an answer in chunks. If the server is faulty, some break off.
func answerWithoutLength(s *server, faulty bool) http.HandlerFunc {
	var mu sync.Mutex
	count := 0
	return func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		count++
		broken := faulty && count%brokenEvery == 0
		mu.Unlock()
		control := http.NewResponseController(w)
		for i := range 4 {
			if broken && i == 2 {
				s.env.logf("server %s breaks off its answer to %s", s.name(), r.Header.Get(headerRequestID))
				panic(http.ErrAbortHandler)
			}
			_, _ = w.Write(bytes.Repeat([]byte("x"), answerBytes/4)) // fails only if the node left
			_ = control.Flush()
		}
	}
}

// sendPipelined sends a request on a new connection and, after its answer, several at once.
// It returns the ids of those without an answer, whole or not.
func (e *env) sendPipelined(m *machine) (unanswered []string) {
	nc, err := net.Dial("tcp", address(m.ip, portOutbound))
	if err != nil {
		e.logf("consumer on %s: %v", m.name, err)
		return nil
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(5 * time.Second))
	reader := bufio.NewReader(nc)
	for _, count := range []int{1, pipelineDepth} {
		var ids []string
		var requests bytes.Buffer
		for range count {
			id := newID()
			ids = append(ids, id)
			fmt.Fprintf(&requests, "GET /catalogue/1 HTTP/1.1\r\nHost: parts.example\r\n%s: %s\r\n%s: 2000\r\n\r\n", headerRequestID, id, headerDeadline)
		}
		if _, err := nc.Write(requests.Bytes()); err != nil {
			e.logf("consumer on %s: %v", m.name, err)
			return nil
		}
		for i, id := range ids {
			answer, err := http.ReadResponse(reader, nil)
			if err != nil {
				e.logf("consumer on %s: %d of %d pipelined requests got no answer: %v", m.name, count-i, count, err)
				return ids[i:]
			}
			n, err := io.Copy(io.Discard, answer.Body)
			answer.Body.Close()
			e.logf("consumer on %s: id %s: status %d, %d bytes, error %v, closes %v", m.name, id, answer.StatusCode, n, err, answer.Close)
			if err != nil {
				e.logf("consumer on %s: %d of %d pipelined requests got no answer", m.name, count-i-1, count)
				return ids[i+1:]
			}
		}
	}
	return nil
}

package main

import (
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	casebookHost = "jepu9.example"
	drawingsHost = "hulo84.example"
)

// stopBehind: the platform stops one node after the other (SIGTERM) and starts it again,
// while consumers beside it send requests one behind the other on kept connections.
func stopBehind(e *environment, trouble bool) ([]string, error) {
	for range 3 {
		if _, err := e.addMachine("hanoi-a", "casebook"); err != nil {
			return nil, err
		}
	}
	e.publish(7, map[string]route{"r-casebook": {Host: casebookHost, Prefix: "/cufi502/", Kind: "idempotent", Timeout: "800ms", Target: "400ms", Rank: 0, Service: "casebook", Tries: 2}})
	if err := e.awaitReady(); err != nil {
		return nil, err
	}
	var breaks []string
	for _, m := range e.machines {
		found, err := e.stopOne(m, trouble)
		if err != nil {
			return nil, err
		}
		breaks = append(breaks, found...)
	}
	return breaks, nil
}

// stopOne stops one node while consumers use it, and starts it again.
func (e *environment) stopOne(m *machine, trouble bool) (breaks []string, err error) {
	const deadline = 1500 * time.Millisecond
	var conns []*connection
	for range 8 {
		c, err := dial(m)
		if err != nil {
			return nil, err
		}
		conns = append(conns, c)
	}
	done := make(chan struct{})
	var group sync.WaitGroup
	for i, c := range conns {
		group.Go(func() { c.readPages(i, deadline, done) })
		group.Go(func() { c.watchReads(done) })
	}
	time.Sleep(3 * time.Second)
	from := e.record.since()
	if trouble {
		m.signal(syscall.SIGTERM)
	}
	time.Sleep(2 * time.Second)
	close(done)
	group.Wait()
	time.Sleep(deadline)
	if trouble {
		select {
		case <-m.exitedChannel():
			e.record.logf("%s: the node process has ended", m.name)
		case <-time.After(grace):
			return nil, fmt.Errorf("%s has not ended", m.name)
		}
		if err := m.startNode(); err != nil {
			return nil, err
		}
		if err := e.awaitReady(); err != nil {
			return nil, err
		}
	}
	answered := 0
	for _, c := range conns {
		for _, r := range c.requests() {
			switch {
			case r.status != 0 && !r.partial:
				answered++
			case r.sentAt >= from:
				if b := e.judgeStop(r, from, deadline); b != "" {
					breaks = append(breaks, b)
				}
			}
		}
		c.nc.Close()
	}
	e.record.logf("%s: %d requests were answered", m.name, answered)
	if answered == 0 {
		return nil, fmt.Errorf("no request was answered")
	}
	return breaks, nil
}

// judgeStop tells how a request without a complete answer, sent after a SIGTERM at the time
// from, breaks the rule; empty: it doesn't.
func (e *environment) judgeStop(r *sent, from, deadline time.Duration) string {
	waited := r.endedAt - r.sentAt
	ranAt := e.runsOf(r.id)
	switch {
	case r.endedAt == 0 || waited >= deadline:
		return "" // its time budget was reached
	case len(ranAt) > 0:
		return fmt.Sprintf("LOST: %s, sent %.3f s after the SIGTERM, was passed on to server %v, and its connection ended without a complete answer", r.id, (r.sentAt - from).Seconds(), ranAt)
	case r.readAt != 0 && waited > lossSlack:
		return fmt.Sprintf("LOST: %s, sent %.3f s after the SIGTERM, was read by the node no later than %.3f s after its last byte, and its connection ended without an answer %.3f s after its last byte (reset: %v)",
			r.id, (r.sentAt - from).Seconds(), (r.readAt - r.sentAt).Seconds(), waited.Seconds(), r.reset)
	}
	return ""
}

// readPages sends requests with up to three on their way until the connection takes no more.
func (c *connection) readPages(who int, deadline time.Duration, done <-chan struct{}) {
	for n := 0; c.usable(); n++ {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(rand.Intn(100)) * time.Millisecond):
		}
		if c.outstanding() < 3 {
			work := 80 + rand.Intn(40)
			if rand.Intn(4) == 0 {
				work *= 4 // other work on the server's machine
			}
			c.send("GET", casebookHost, fmt.Sprintf("/cufi502/w%d-b5000/%d-%d", work, who, n), deadline)
		}
	}
}

// watchReads notes which requests the node's process has read until the connection ends.
func (c *connection) watchReads(done <-chan struct{}) {
	for c.usable() {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		c.noteRead()
	}
}

// cutBehind: servers break off some of their answers, which have no length, while consumers
// send requests one behind the other on kept connections.
func cutBehind(e *environment, trouble bool) ([]string, error) {
	const (
		deadline = 1500 * time.Millisecond
		length   = 5 * time.Second
		share    = 0.05 // of the answers of half of the servers
	)
	for range 4 {
		if _, err := e.addMachine("hanoi-a", "casebook"); err != nil {
			return nil, err
		}
	}
	e.publish(7, map[string]route{"r-casebook": {Host: casebookHost, Prefix: "/leny950/", Kind: "idempotent", Timeout: "800ms", Target: "400ms", Rank: 0, Service: "casebook", Tries: 2}})
	if err := e.awaitReady(); err != nil {
		return nil, err
	}
	done := make(chan struct{})
	var mu sync.Mutex
	var conns []*connection
	var group sync.WaitGroup
	for i := range 8 {
		m := e.machines[i%2]
		group.Go(func() {
			var c *connection
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(25 * time.Millisecond):
				}
				if c == nil || !c.usable() {
					var err error
					if c, err = dial(m); err != nil {
						continue
					}
					mu.Lock()
					conns = append(conns, c)
					mu.Unlock()
				}
				if c.outstanding() < 4 {
					c.send("GET", casebookHost, fmt.Sprintf("/leny950/w100-b5000/%d-%d", i, n), deadline)
				}
			}
		})
	}
	time.Sleep(stableWindow)
	if trouble {
		random, mu := rand.New(rand.NewSource(int64(time.Now().UnixNano()))), sync.Mutex{}
		decide := func(string) bool {
			mu.Lock()
			defer mu.Unlock()
			return random.Float64() < share
		}
		for _, m := range e.machines[2:] {
			m.server.breakOff.Store(&decide)
			e.record.logf("server %s: from now on it breaks off %.0f in 100 of its answers", m.server.id, share*100)
		}
	}
	time.Sleep(length)
	for _, m := range e.machines {
		m.server.breakOff.Store(nil)
	}
	e.record.logf("all servers are sound again")
	time.Sleep(time.Second)
	close(done)
	group.Wait()
	time.Sleep(deadline)
	mu.Lock()
	defer mu.Unlock()
	lost, answered := map[string][]string{}, 0
	for _, c := range conns {
		requests := c.requests()
		for _, r := range requests {
			switch {
			case r.status != 0 && !r.partial:
				answered++
			case r.endedAt == 0 || r.partial || r.endedAt-r.sentAt >= deadline || r == requests[0]:
				// no lost answer of a kept connection
			default:
				for _, sound := range e.machines[:2] {
					if _, ok := sound.server.runOf(r.id); ok {
						lost[c.machine.name] = append(lost[c.machine.name], r.id)
						break
					}
				}
			}
		}
	}
	e.record.logf("%d requests were answered", answered)
	if answered == 0 {
		return nil, fmt.Errorf("no request was answered")
	}
	var breaks []string
	for name, ids := range lost {
		e.record.logf("%s: %d requests of kept connections were passed on to sound servers, and their connections closed without an answer: %v", name, len(ids), ids)
		if len(ids) > 3 {
			breaks = append(breaks, fmt.Sprintf("LOST: %s closed kept connections without an answer to %d requests that it had passed on to sound servers", name, len(ids)))
		}
	}
	return breaks, nil
}

// raisedLimit: a new version adds a route and raises the limit of consumers' headers.
func raisedLimit(e *environment, trouble bool) ([]string, error) {
	const (
		configApply = 2500 * time.Millisecond
		raised      = 128 << 10
	)
	for range 3 {
		if _, err := e.addMachine("taipei", "catalogue"); err != nil {
			return nil, err
		}
	}
	old := route{Host: drawingsHost, Prefix: "/leny950/", Kind: "idempotent", Timeout: "1000ms", Target: "400ms", Rank: 0, Service: "catalogue", Tries: 2}
	added := old
	added.Prefix = "/puka111/"
	e.publish(7, map[string]route{"r-old": old})
	if err := e.awaitReady(); err != nil {
		return nil, err
	}
	limit := maxHeaderBytes
	if trouble {
		limit = raised
	}
	e.publishLimits(9, map[string]route{"r-old": old, "r-new": added}, limit)
	acked := e.record.since()
	time.Sleep(configApply + 500*time.Millisecond)
	wrong, served := 0, 0
	for n := range 90 {
		m := e.machines[n%len(e.machines)]
		prefix := []string{"/leny950", "/puka111"}[n%2]
		c, err := dial(m)
		if err != nil {
			return nil, err
		}
		r := c.send("GET", drawingsHost, fmt.Sprintf("%s/w20-b500/%d", prefix, n), time.Second)
		for end := time.Now().Add(time.Second); c.outstanding() > 0 && time.Now().Before(end); {
			time.Sleep(2 * time.Millisecond)
		}
		c.nc.Close()
		switch {
		case r.status == 200:
			served++
		case r.status == 404 && n%2 == 1 && r.sentAt > acked+configApply:
			wrong++
		}
		time.Sleep(100 * time.Millisecond)
	}
	e.record.logf("%d of 90 requests were served, %d of 45 on the new route got 404 later than %s after the ack", served, wrong, configApply)
	if served == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	if wrong == 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf("CONFIG: %d of 45 requests on a route of the newest version got 404 later than %s after its ack, up to %.1f s after it", wrong, configApply, (e.record.since() - acked).Seconds())}, nil
}

// runsOf returns the servers that ran a request.
func (e *environment) runsOf(id string) []string {
	var servers []string
	for _, m := range e.machines {
		if _, ok := m.server.runOf(id); ok {
			servers = append(servers, m.server.id)
		}
	}
	return servers
}

// requests returns the requests of a connection in the order in which they were sent.
func (c *connection) requests() []*sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*sent(nil), c.all...)
}

// noteRead notes the requests whose bytes the node's process has read.
func (c *connection) noteRead() {
	now := c.machine.env.record.since()
	if c.unreadAtNode() != 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.waiting {
		if r.readAt == 0 && r.sentAt < now {
			r.readAt = now
		}
	}
}

// deadlyUpload: an upload that crashes each server that begins to run it comes again, with
// the same path, caller and body, at any machine, while others upload to the same path.
func deadlyUpload(e *environment, trouble bool) ([]string, error) {
	return uploads(e, trouble, 1)
}

// deadlyPair: as deadlyUpload, but the request comes again at the next machine as soon as its
// first sending has failed.
func deadlyPair(e *environment, trouble bool) ([]string, error) {
	return uploads(e, trouble, 2)
}

// uploads runs the cases of the upload that crashes servers. copies is the number of its
// sendings that follow each other.
func uploads(e *environment, trouble bool, copies int) ([]string, error) {
	const (
		deadline = 1200 * time.Millisecond
		path     = "/cufi502/2f"
		perS     = 7.14
		length   = 45 * time.Second
	)
	for range 6 {
		if _, err := e.addMachine("taipei", "drawings"); err != nil {
			return nil, err
		}
	}
	e.publish(7, map[string]route{"r-drawings": {Host: drawingsHost, Prefix: "/cufi502/", Kind: "upload", Timeout: "1200ms", Target: "500ms", Rank: 1, Service: "drawings", Tries: 2}})
	if err := e.awaitReady(); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var all []*sent
	var group sync.WaitGroup
	upload := func(m *machine, body []byte) {
		c, err := dial(m)
		if err != nil {
			return
		}
		defer c.nc.Close()
		r := c.upload(drawingsHost, path, body, deadline)
		if body[0] != deadly[0] {
			mu.Lock()
			all = append(all, r)
			mu.Unlock()
		} else {
			e.record.logf("consumer at %s sends the deadly upload as %s", m.name, r.id)
		}
		for end := time.Now().Add(deadline); c.outstanding() > 0 && time.Now().Before(end); {
			time.Sleep(5 * time.Millisecond)
		}
	}
	end := time.Now().Add(length)
	group.Go(func() {
		for time.Now().Before(end) {
			body := make([]byte, 70_000+rand.Intn(60_000))
			for i := range body {
				body[i] = 'a' + byte(rand.Intn(26))
			}
			m := e.machines[rand.Intn(len(e.machines))]
			group.Go(func() { upload(m, body) })
			time.Sleep(time.Duration(rand.ExpFloat64() / perS * float64(time.Second)))
		}
	})
	if trouble {
		body := append([]byte(deadly), make([]byte, 90_000)...)
		for i := range body[len(deadly):] {
			body[len(deadly)+i] = 'z'
		}
		group.Go(func() {
			time.Sleep(stableWindow)
			for time.Now().Before(end) {
				first := rand.Intn(len(e.machines))
				group.Go(func() {
					for i := range copies {
						upload(e.machines[(first+i)%len(e.machines)], body)
					}
				})
				time.Sleep(2500 * time.Millisecond)
			}
		})
	}
	group.Wait()
	var reached []time.Duration
	for _, m := range e.machines {
		m.server.mu.Lock()
		reached = append(reached, m.server.deadlyRuns...)
		m.server.mu.Unlock()
	}
	slices.Sort(reached)
	statuses := map[int]int{}
	own4xx := 0
	for _, r := range all {
		statuses[r.status]++
		if r.status/100 == 3 || r.status/100 == 4 && r.status != 408 && r.status != 421 && r.status != 429 {
			own4xx++
		}
	}
	e.record.logf("the deadly upload reached servers %d times: %v", len(reached), reached)
	e.record.logf("answers to the %d other uploads by status (0: none): %v", len(all), statuses)
	if len(all) == 0 || statuses[200] == 0 {
		return nil, fmt.Errorf("no upload was served")
	}
	var breaks []string
	if len(reached) > 3 {
		late := 0
		for _, at := range reached {
			if at > reached[2]+stableWindow {
				late++
			}
		}
		e.record.logf("%d of these are later than %s after the third crash", late, stableWindow)
		if late > 3 {
			breaks = append(breaks, fmt.Sprintf("BUDGET: the request that crashes the servers reached servers %d times later than %s after it had crashed the third", late, stableWindow))
		}
	}
	if limit := 5 + len(all)/500; own4xx > limit {
		breaks = append(breaks, fmt.Sprintf("DENIED: %d of %d proper uploads were ended with a 3xx or 4xx of the node's own, more than %d", own4xx, len(all), limit))
	}
	return breaks, nil
}

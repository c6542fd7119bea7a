package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// start publishes the routes as version 1 and starts a machine for each of the services,
// which may repeat.
func (e *env) start(routes map[string]table, services ...string) error {
	e.publish(1, routes, services...)
	for _, service := range services {
		if err := e.addMachine(service); err != nil {
			return err
		}
	}
	return e.awaitReady()
}

// expectServed sends a request from every machine and returns an error unless all are
// served: the deployment works before the disruption.
func (e *env) expectServed(q request) error {
	for _, m := range e.machines {
		if r := e.send(m, q); r.status != http.StatusOK || r.signature == "" {
			return fmt.Errorf("before the disruption, %s %s got status %d", q.method, q.target, r.status)
		}
	}
	return nil
}

// executionsOf returns the runs of a request at all servers.
func (e *env) executionsOf(id string) []execution {
	var found []execution
	for _, m := range e.machines {
		for _, run := range m.server.runs() {
			if run.id == id {
				found = append(found, run)
			}
		}
	}
	return found
}

// runsAt counts the runs of a request at one server.
func (e *env) runsAt(s *server, id string) int {
	count := 0
	for _, run := range e.executionsOf(id) {
		if run.server == s.name() {
			count++
		}
	}
	return count
}

// droppedRoute: the operator drops the route of orders, whose host has the name of the
// service. With and without that, three of its five servers lose two of five answers.
func droppedRoute(e *env) (string, error) {
	const (
		consumers = 30
		orders    = 10 // of each consumer
	)
	routes := map[string]table{
		"r-catalogue": route("parts.example", "/catalogue/", "idempotent", "catalogue", "1000ms"),
		"r-orders":    route("orders", "/orders/", "non_idempotent", "orders", "1000ms"),
	}
	if err := e.start(routes, "orders", "orders", "orders", "orders", "orders", "catalogue"); err != nil {
		return "", err
	}
	order := request{method: http.MethodPut, host: "orders", target: "/orders/1"}
	if err := e.expectServed(order); err != nil {
		return "", err
	}
	for _, m := range e.machines[:3] {
		m.server.setAnswer(loseAnswers(m.server))
	}
	if e.trouble {
		delete(routes, "r-orders")
	}
	routes["r-catalogue"]["timeout"] = "900ms"
	e.publish(2, routes, "catalogue", "orders")
	time.Sleep(configApply + time.Second)
	var sent [consumers][orders]result
	var sending sync.WaitGroup
	for i := range consumers {
		sending.Go(func() {
			for j := range orders {
				sent[i][j] = e.send(e.machines[(i+j)%len(e.machines)], order)
			}
		})
	}
	sending.Wait()
	ran, twice, refused := 0, 0, 0
	for _, results := range sent {
		for _, r := range results {
			runs := len(e.executionsOf(r.id))
			if runs > 0 {
				ran++
			}
			if runs > 1 {
				twice++
				e.logf("order %s ran %d times", r.id, runs)
			}
			if r.status == http.StatusNotFound {
				refused++
			}
		}
	}
	e.logf("of %d orders, %d ran, %d of these more than once, and %d got 404", consumers*orders, ran, twice, refused)
	if twice > 0 {
		return fmt.Sprintf("TWICE: %d of %d orders ran more than once; no route allows them, and %d got 404", twice, consumers*orders, refused), nil
	}
	return "", nil
}

// loseAnswers returns an answer that is lost for two of five requests.
func loseAnswers(s *server) http.HandlerFunc {
	var mu sync.Mutex
	count := 0
	return func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		count++
		lost := count%5 == 1 || count%5 == 3
		mu.Unlock()
		if lost {
			s.env.logf("server %s ran %s, and its answer is lost", s.name(), r.Header.Get(headerRequestID))
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintln(w, "done")
	}
}

// splitRoute: the operator splits a route, while consumers ask for the page of a part whose
// name has a slash, which their path has in escaped form.
func splitRoute(e *env) (string, error) {
	const requests = 40
	routes := map[string]table{
		"r-parts": route("parts.example", "/parts/", "idempotent", "catalogue", "1000ms"),
	}
	if err := e.start(routes, "orders", "catalogue", "orders", "catalogue"); err != nil {
		return "", err
	}
	part := request{method: http.MethodGet, host: "parts.example", target: "/parts/orders%2F17"}
	if err := e.expectServed(part); err != nil {
		return "", err
	}
	if e.trouble {
		routes["r-orders"] = route("parts.example", "/parts/orders/", "non_idempotent", "orders", "1000ms")
	}
	e.publish(2, routes, "catalogue", "orders")
	time.Sleep(configApply + time.Second)
	wrong := 0
	for i := range requests {
		r := e.send(e.machines[i%len(e.machines)], part)
		for _, run := range e.executionsOf(r.id) {
			if run.service != "catalogue" {
				wrong++
			}
		}
	}
	if wrong > 0 {
		return fmt.Sprintf("ROUTE: %d of %d requests for %s ran at the service orders; the longest prefix that begins this path is /parts/ in every version, and its service is catalogue", wrong, requests, part.target), nil
	}
	return "", nil
}

// lateFirstPing: a server boots, and its first ping is late. It deregisters before that has
// arrived, and serves on for some seconds.
func lateFirstPing(e *env) (string, error) {
	routes := map[string]table{
		"r-orders": route("shop.example", "/orders/", "non_idempotent", "orders", "1000ms"),
	}
	if err := e.start(routes, "orders", "orders", "orders"); err != nil {
		return "", err
	}
	order := request{method: http.MethodPost, host: "shop.example", target: "/orders/1"}
	if err := e.expectServed(order); err != nil {
		return "", err
	}
	leaving := e.machines[0].server
	leaving.stopBeats()
	leaving.crash()
	first := leaving.nextPing()
	if !e.trouble {
		e.sendPing(leaving.machine, leaving.name(), first)
	}
	time.Sleep(time.Second)
	if !leaving.deregister() {
		return "", fmt.Errorf("the server got no ack of its DELETE")
	}
	acked := time.Now()
	e.logf("%s acknowledged that %s is gone", leaving.machine.name, leaving.name())
	time.Sleep(2 * time.Second)
	if e.trouble {
		e.sendPing(leaving.machine, leaving.name(), first)
	}
	late := e.countLate(leaving, order, e.machines, acked, 10*time.Second)
	if late > 0 {
		return fmt.Sprintf("DRAIN: %d requests sent later than drain after the ack ran at the server that is gone", late), nil
	}
	return "", nil
}

// countLate sends requests from several consumers on the machines until some time after the
// ack of a server's leaving. It returns how many of those sent later than the drain bound
// ran there.
func (e *env) countLate(s *server, q request, from []*machine, acked time.Time, until time.Duration) int {
	const consumers = 4
	late := make([]int, consumers)
	var consuming sync.WaitGroup
	for i := range consumers {
		consuming.Go(func() {
			for j := i; time.Since(acked) < until; j++ {
				r := e.send(from[j%len(from)], q)
				if r.sentAt.Sub(acked) > drainBound {
					late[i] += e.runsAt(s, r.id)
				}
			}
		})
	}
	consuming.Wait()
	total := 0
	for _, count := range late {
		total += count
	}
	return total
}

// poisonBody is the body of the request that crashes servers.
const poisonBody = "a drawing that crashes the server"

// poison: an upload crashes each server that begins to run it and comes again, beside sound
// uploads to the same path. All are sent in chunks.
func poison(e *env) (string, error) {
	const length = 60 * time.Second
	routes := map[string]table{
		"r-drawings": route("drawings.example", "/drawings/", "upload", "drawings", "1200ms"),
	}
	if err := e.start(routes, "drawings", "drawings", "drawings", "drawings", "drawings", "drawings"); err != nil {
		return "", err
	}
	upload := request{method: http.MethodPost, host: "drawings.example", target: "/drawings/new", chunkedBody: "a sound drawing"}
	if err := e.expectServed(upload); err != nil {
		return "", err
	}
	var mu sync.Mutex
	var crashes []time.Time
	lost := 0
	for _, m := range e.machines {
		m.server.setCrash(func(body string) bool {
			if body != poisonBody {
				return false
			}
			mu.Lock()
			defer mu.Unlock()
			crashes = append(crashes, time.Now())
			return true
		})
	}
	end := time.Now().Add(length)
	var consumers sync.WaitGroup
	for range len(e.machines) {
		consumers.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				if r := e.send(e.machines[i%len(e.machines)], upload); r.status == http.StatusBadGateway {
					mu.Lock()
					lost++
					mu.Unlock()
				}
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	for i := 0; e.trouble && time.Now().Before(end); i++ {
		bad := upload
		bad.chunkedBody = poisonBody
		e.send(e.machines[i%len(e.machines)], bad)
		time.Sleep(2 * time.Second)
	}
	consumers.Wait()
	mu.Lock()
	defer mu.Unlock()
	later := 0
	for _, at := range crashes {
		if len(crashes) >= 3 && at.Sub(crashes[2]) > touchWindow {
			later++
		}
	}
	e.logf("%d crashes; %d sound uploads that servers had begun were lost with them", len(crashes), lost)
	if later > 3 {
		return fmt.Sprintf("BUDGET: the request reached servers in %d retries later than the stable window after it had crashed the third; %d crashes, %d sound uploads lost with them", later, len(crashes), lost), nil
	}
	return "", nil
}

// recoverBound is how long after the machines are back a quarter of the requests must be
// served.
const recoverBound = 15 * time.Second

// foreignID: the day ends with a kill of all nodes. With the disruption, one ping of another
// writer then comes to each node, with an id that no server has and with missing fields. All
// servers are sound and go on pinging.
func foreignID(e *env) (string, error) {
	routes := map[string]table{
		"r-orders":    route("shop.example", "/orders/", "non_idempotent", "orders", "1000ms"),
		"r-catalogue": route("parts.example", "/catalogue/", "idempotent", "catalogue", "1000ms"),
	}
	if err := e.start(routes, "orders", "catalogue", "orders", "catalogue"); err != nil {
		return "", err
	}
	order := request{method: http.MethodPost, host: "shop.example", target: "/orders/1"}
	page := request{method: http.MethodGet, host: "parts.example", target: "/catalogue/1"}
	servedBefore, sentBefore := e.sendInTurn(time.Now().Add(5*time.Second), order, page)
	for _, m := range e.machines {
		m.killNode()
	}
	e.logf("all nodes are killed")
	time.Sleep(time.Second)
	for _, m := range e.machines {
		if err := e.startNode(m); err != nil {
			return "", err
		}
	}
	back := time.Now()
	time.Sleep(2 * heartbeat)
	for _, m := range e.machines {
		if !e.trouble {
			continue
		}
		// Without born, version, zone and warmup-left.
		e.sendPing(m, "i-other", table{
			"address": address(m.ip, portServer),
			"info":    table{"service": m.service, "slots": slots},
			"status":  table{"state": "ready", "seq": 1},
		})
	}
	time.Sleep(time.Until(back.Add(recoverBound)))
	served, sent := e.sendInTurn(time.Now().Add(25*time.Second), order, page)
	e.logf("before the final fault %d of %d requests were served, later than %s after the machines were back %d of %d", servedBefore, sentBefore, recoverBound, served, sent)
	if 4*servedBefore < sentBefore {
		return "", fmt.Errorf("less than a quarter was served before the final fault")
	}
	if 4*served < sent {
		return fmt.Sprintf("RECOVER: %d of %d requests sent later than %s after the machines were back were served, %d of %d before", served, sent, recoverBound, servedBefore, sentBefore), nil
	}
	return "", nil
}

// sendInTurn sends the requests in turn from all machines in turn until the given time. It
// returns how many were served and sent.
func (e *env) sendInTurn(until time.Time, requests ...request) (served, sent int) {
	for ; time.Now().Before(until); sent++ {
		m := e.machines[sent/len(requests)%len(e.machines)]
		if e.send(m, requests[sent%len(requests)]).status == http.StatusOK {
			served++
		}
		time.Sleep(20 * time.Millisecond)
	}
	return served, sent
}

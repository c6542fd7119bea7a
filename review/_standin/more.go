package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The cases of this file have no folder of their own; the report names them.

// foreignPing: while a server drains, a ping of another writer arrives in which fields are
// missing.
func foreignPing(e *env) (string, error) {
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
	leaving := e.machines[0]
	leaving.server.setState("draining")
	if !leaving.server.ping() {
		return "", fmt.Errorf("the server got no ack of its draining")
	}
	acked := time.Now()
	e.logf("%s acknowledged that its server is draining", leaving.name)
	time.Sleep(heartbeat)
	if e.trouble {
		// Without born, version, zone and warmup-left.
		e.sendPing(leaving, leaving.server.name(), table{
			"address": address(leaving.ip, portServer),
			"info":    table{"service": leaving.service, "slots": slots},
			"status":  table{"state": "ready", "seq": 1000},
		})
	}
	late := e.countLate(leaving.server, order, e.machines, acked, 10*time.Second)
	if late > 0 {
		return fmt.Sprintf("DRAIN: %d requests sent later than drain after the ack ran at the draining server", late), nil
	}
	return "", nil
}

// latePing: a node is killed and started again after its server has deregistered, and a
// ping that the server sent before arrives late.
func latePing(e *env) (string, error) {
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
	leaving := e.machines[0]
	late := leaving.server.nextPing()
	if !leaving.server.deregister() {
		return "", fmt.Errorf("the server got no ack of its DELETE")
	}
	acked := time.Now()
	e.logf("%s acknowledged that its server is gone", leaving.name)
	if e.trouble {
		leaving.killNode()
		if err := e.startNode(leaving); err != nil {
			return "", err
		}
	}
	started := time.Now()
	time.Sleep(3 * time.Second)
	e.sendPing(leaving, leaving.server.name(), late)
	// The machine must have been in touch for its stable window again.
	time.Sleep(touchWindow + 200*time.Millisecond - time.Since(started))
	if count := e.countLate(leaving.server, order, e.machines[1:], acked, 12*time.Second); count > 0 {
		return fmt.Sprintf("DRAIN: %d requests sent later than drain after the ack ran at the server that is gone", count), nil
	}
	return "", nil
}

// silentStore: the open connections to the store go silent, and then the operator moves a
// route.
func silentStore(e *env) (string, error) {
	routes := map[string]table{
		"r-parts": route("parts.example", "/parts/", "idempotent", "catalogue", "1000ms"),
	}
	if err := e.start(routes, "orders", "catalogue", "orders", "catalogue"); err != nil {
		return "", err
	}
	part := request{method: http.MethodGet, host: "parts.example", target: "/parts/1"}
	if err := e.expectServed(part); err != nil {
		return "", err
	}
	if e.trouble {
		e.logf("%d open connections to the store go silent; new ones work", e.storeLink.silence())
	}
	time.Sleep(touchWindow + time.Second)
	routes["r-parts"]["service"] = "orders"
	e.publish(2, routes, "catalogue", "orders")
	acked := time.Now()
	time.Sleep(configApply)
	old := 0
	var last time.Duration
	for i := 0; time.Since(acked) < 40*time.Second; i++ {
		r := e.send(e.machines[i%len(e.machines)], part)
		for _, run := range e.executionsOf(r.id) {
			if run.service == "catalogue" {
				old++
				last = r.sentAt.Sub(acked)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	if old > 0 {
		return fmt.Sprintf("CONFIG: %d requests sent later than config-apply after the ack ran at the old service, the last one %.1f s after the ack", old, last.Seconds()), nil
	}
	return "", nil
}

// longID: consumers use request ids of more than 128 bytes.
func longID(e *env) (string, error) {
	routes := map[string]table{
		"r-orders": route("shop.example", "/orders/", "non_idempotent", "orders", "1000ms"),
	}
	if err := e.start(routes, "orders", "orders"); err != nil {
		return "", err
	}
	order := request{method: http.MethodPost, host: "shop.example", target: "/orders/1"}
	if err := e.expectServed(order); err != nil {
		return "", err
	}
	sent := map[string]bool{}
	for _, m := range e.machines {
		for _, run := range m.server.runs() {
			sent[run.id] = true
		}
	}
	width := 100
	if e.trouble {
		width = 200
	}
	for i := range 10 {
		order.id = fmt.Sprintf("%0*d", width, i)
		sent[order.id] = true
		e.send(e.machines[i%len(e.machines)], order)
	}
	unknown := 0
	for _, m := range e.machines {
		for _, run := range m.server.runs() {
			if !sent[run.id] {
				unknown++
			}
		}
	}
	if unknown > 0 {
		return fmt.Sprintf("UNASKED: servers ran %d requests whose ids no consumer sent", unknown), nil
	}
	return "", nil
}

// deniedUploads: an upload crashes the two servers that it reaches; then sound uploads to
// the same path come. All are sent in chunks.
func deniedUploads(e *env) (string, error) {
	routes := map[string]table{
		"r-drawings": route("drawings.example", "/drawings/", "upload", "drawings", "1200ms"),
	}
	if err := e.start(routes, "drawings", "drawings", "drawings", "drawings"); err != nil {
		return "", err
	}
	upload := request{method: http.MethodPost, host: "drawings.example", target: "/drawings/new", chunkedBody: "a sound drawing"}
	if err := e.expectServed(upload); err != nil {
		return "", err
	}
	for _, m := range e.machines {
		m.server.setCrash(func(body string) bool { return body == poisonBody })
	}
	if e.trouble {
		bad := upload
		bad.chunkedBody = poisonBody
		for i := range 3 {
			e.send(e.machines[i], bad)
			time.Sleep(time.Second)
		}
	}
	time.Sleep(downTime + 2*heartbeat)
	const requests = 100
	denied := 0
	for i := range requests {
		if r := e.send(e.machines[i%len(e.machines)], upload); r.status/100 == 4 {
			denied++
		}
	}
	if denied > 5+requests/500 {
		return fmt.Sprintf("DENIED: %d of %d sound uploads got a 4xx of the node's own", denied, requests), nil
	}
	return "", nil
}

// popularPage: consumers read one page often, and all servers of its service crash at the
// same moment, once.
func popularPage(e *env) (string, error) {
	const consumers = 12
	routes := map[string]table{
		"r-catalogue": route("parts.example", "/catalogue/", "idempotent", "catalogue", "1000ms"),
	}
	if err := e.start(routes, "catalogue", "catalogue", "catalogue", "catalogue"); err != nil {
		return "", err
	}
	page := request{method: http.MethodGet, host: "parts.example", target: "/catalogue/popular", budget: time.Second}
	if err := e.expectServed(page); err != nil {
		return "", err
	}
	for _, m := range e.machines {
		m.server.setAnswer(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(100 * time.Millisecond)
			fmt.Fprintln(w, "the page")
		})
	}
	crash := time.Now().Add(2 * time.Second)
	end := crash.Add(20 * time.Second)
	var mu sync.Mutex
	sent, denied, served := 0, 0, 0
	var consuming sync.WaitGroup
	for i := range consumers {
		consuming.Go(func() {
			for j := i; time.Now().Before(end); j++ {
				r := e.send(e.machines[j%len(e.machines)], page)
				mu.Lock()
				sent++
				switch {
				case r.status/100 == 4 && r.signature == "":
					denied++
				case r.status == http.StatusOK && r.sentAt.Sub(crash) > downTime:
					served++
				}
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Until(crash))
	if e.trouble {
		for _, m := range e.machines {
			consuming.Go(m.server.crash)
		}
	}
	consuming.Wait()
	e.logf("%d requests, %d denied; %d served after the servers were back", sent, denied, served)
	if denied > 5+sent/500 {
		return fmt.Sprintf("DENIED: %d of %d requests got a 4xx of the node's own; %d were served in the 17 s after the servers were back", denied, sent, served), nil
	}
	return "", nil
}

// endlessBody: servers send bytes without end in the body of an answer.
func endlessBody(e *env) (string, error) {
	const (
		timeout  = time.Second
		requests = 12
	)
	routes := map[string]table{
		"r-catalogue": route("parts.example", "/catalogue/", "idempotent", "catalogue", "1000ms"),
	}
	if err := e.start(routes, "catalogue", "catalogue"); err != nil {
		return "", err
	}
	page := request{method: http.MethodGet, host: "parts.example", target: "/catalogue/1", budget: 5 * time.Second}
	if err := e.expectServed(page); err != nil {
		return "", err
	}
	if e.trouble {
		for _, m := range e.machines {
			m.server.setAnswer(writeEndlessly)
		}
	}
	results := make([]result, requests)
	var consumers sync.WaitGroup
	for i := range requests {
		consumers.Go(func() { results[i] = e.send(e.machines[i%len(e.machines)], page) })
		time.Sleep(100 * time.Millisecond)
	}
	consumers.Wait()
	longer, open := 0, 0
	for _, r := range results {
		if r.took > timeout {
			longer++
		}
		if r.took > timeout+500*time.Millisecond {
			open++
		}
	}
	if open >= 8 && 4*open > longer {
		return fmt.Sprintf("CONFIG: %d of %d requests that lasted longer than their route's timeout of %s had no final answer 0.5 s after it; they ended when the consumer left", open, longer, timeout), nil
	}
	return "", nil
}

// writeEndlessly writes bytes until the connection ends.
func writeEndlessly(w http.ResponseWriter, r *http.Request) {
	for r.Context().Err() == nil {
		if _, err := w.Write([]byte(strings.Repeat("x", 100))); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush() // fails only if the connection ended
		time.Sleep(20 * time.Millisecond)
	}
}

// wideLimits: the operator adds a route, and lets consumers send heads of 128 KiB.
func wideLimits(e *env) (string, error) {
	routes := map[string]table{
		"r-catalogue": route("parts.example", "/catalogue/", "idempotent", "catalogue", "1000ms"),
	}
	if err := e.start(routes, "catalogue", "catalogue"); err != nil {
		return "", err
	}
	routes["r-archive"] = route("parts.example", "/archive/", "idempotent", "catalogue", "1000ms")
	if e.trouble {
		e.maxHeaderBytes = 128 << 10
	}
	e.publish(2, routes, "catalogue")
	time.Sleep(configApply + time.Second)
	const requests = 40
	refused := 0
	for i := range requests {
		r := e.send(e.machines[i%len(e.machines)], request{method: http.MethodGet, host: "parts.example", target: "/archive/1"})
		if r.status == http.StatusNotFound {
			refused++
		}
	}
	if refused > 0 {
		return fmt.Sprintf("CONFIG: %d of %d requests on the new route, sent later than config-apply after the ack, got 404", refused, requests), nil
	}
	return "", nil
}

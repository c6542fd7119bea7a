package main

import (
	"fmt"
	"net/http"
	"time"
)

// The cases of this file have no folder of their own; the report names them.

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

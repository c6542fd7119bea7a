// Package balance chooses a backend server for a request from views of load
// that are always stale.
package balance

import (
	"time"

	"github.com/egretfield/egretfield/internal/pb"
)

// Endpoint is one backend server instance that an entry may choose. It is
// immutable; a change of membership makes a new one.
type Endpoint struct {
	Instance       string
	Incarnation    uint64
	Service        string
	Region         string
	DataCentre     string
	GateAddress    string
	ControlAddress string
	Slots          int
}

// PickInfo describes the request that a backend server is chosen for.
type PickInfo struct {
	Class pb.Class
	// Tried are the instances that refused or failed this request already.
	Tried []string
	// BodyBytes is the length of the request body, -1 when unknown.
	BodyBytes int64
}

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	// OutcomeSuccess: the backend server answered with a status below 500.
	OutcomeSuccess Outcome = iota
	// OutcomeFailure: the backend server answered with 500 or above, or broke.
	OutcomeFailure
	// OutcomeRefused: the gate refused; certified not run.
	OutcomeRefused
	// OutcomeUnreachable: the node could not be reached; certified not run.
	OutcomeUnreachable
	// OutcomeCancelled: the caller left or its deadline passed.
	OutcomeCancelled
)

// Result reports the end of an attempt to the balancer that picked it.
type Result struct {
	Endpoint *Endpoint
	Outcome  Outcome
	Latency  time.Duration
	// Report is the load report that came with the answer, or nil.
	Report *pb.LoadReport
	// Bytes sent and received for this attempt.
	Bytes int64
}

// Balancer chooses among the endpoints of one service. Pick and Done are safe
// for concurrent use and take no lock on the hot path; Update may run at the
// same time as both.
type Balancer interface {
	// Update replaces the endpoints and the policy.
	Update(endpoints []*Endpoint, policy *pb.Policy)
	// Pick chooses an endpoint. The error carries a kind of errkind
	// (no server, region budget). Every successful Pick is followed by exactly
	// one Done.
	Pick(info PickInfo) (*Endpoint, error)
	// Done reports the end of an attempt.
	Done(result Result)
	// Placer returns the part that places requests by the offers of gates; nil: the
	// policy asks for none.
	Placer() Placer
}

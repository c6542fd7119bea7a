// Package balance implements the load-balancing policies by which an entry selects a
// backend server for each request: round robin, random, least requests in flight, power
// of two choices (P2C) with or without the mean latency (EWMA), a pool of load probes,
// and the earliest finish that gates offer. It also ejects outliers, warms up backend
// servers that have just started and spills requests over to other regions. The load
// data that it uses is always stale to some degree.
package balance

import (
	"time"

	"github.com/egretfield/egretfield/internal/pb"
)

// Endpoint is a backend server instance that an entry can select. It is immutable; a
// membership change creates a new Endpoint.
type Endpoint struct {
	Instance string
	// Incarnation grows with every start of the instance's node.
	Incarnation    uint64
	Service        string
	Region         string
	DataCentre     string
	GateAddress    string
	ControlAddress string
	// Slots is the number of requests that the backend server runs concurrently.
	Slots int
}

// PickInfo describes the request for which a backend server is selected.
type PickInfo struct {
	Class pb.Class
	// Tried are the instances that have already refused or failed this request.
	Tried []string
	// BodyBytes is the length of the request body, or -1 if unknown.
	BodyBytes int64
	// Regions are the regions in which the request may be handled.
	Regions RegionFilter
}

// Outcome is the result of an attempt.
type Outcome int

// Outcomes of an attempt.
const (
	// OutcomeSuccess means that the backend server answered with a status below 500.
	OutcomeSuccess Outcome = iota
	// OutcomeFailure means that the backend server answered with a status of 500 or
	// above, failed without an answer, or didn't answer before the deadline.
	OutcomeFailure
	// OutcomeRefused means that the gate refused the request; it is certified not run.
	OutcomeRefused
	// OutcomeUnreachable means that the node could not be reached; the request is
	// certified not run.
	OutcomeUnreachable
	// OutcomeCancelled means that the attempt's end says nothing about the backend
	// server: the caller disconnected, the deadline passed before the request ran, or
	// the connection was lost although the gate replies to control calls.
	OutcomeCancelled
)

// Result describes the end of an attempt to the balancer that picked its endpoint.
type Result struct {
	Endpoint *Endpoint
	Outcome  Outcome
	// Latency is the time from sending the request to the answer's header, or to the
	// end of a failed attempt; zero if nothing was sent.
	Latency time.Duration
	// Report is the load report received with the answer, or nil.
	Report *pb.LoadReport
	// Bytes is the number of bytes sent and received for this attempt.
	Bytes int64
}

// Balancer selects among the endpoints of one service. Pick and Done are safe for
// concurrent use and take no lock on the hot path; Update may run concurrently with
// both.
type Balancer interface {
	// Update replaces the endpoints and the service's policy, but not the balancing
	// policy, which stays that of the balancer.
	Update(endpoints []*Endpoint, policy *pb.Policy)
	// Pick selects an endpoint in an allowed region. Its error has the errkind NO_SERVER
	// or REGION_BUDGET.
	// Every successful Pick must be followed by exactly one Done.
	Pick(info PickInfo) (*Endpoint, error)
	// Done reports the end of an attempt.
	Done(result Result)
	// Placer returns the interface for placing requests by offers of gates, or nil if
	// the balancing policy doesn't use offers.
	Placer() Placer
}

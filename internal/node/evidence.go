package node

import (
	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/member"
)

// reporting is a balancer that tells the membership of nodes that requests
// could not reach. Such evidence is fresher than any check of the membership's.
type reporting struct {
	balance.Balancer
	members *member.List
}

// Done implements balance.Balancer.
func (r *reporting) Done(result balance.Result) {
	if result.Outcome == balance.OutcomeUnreachable {
		r.members.Report(result.Endpoint.Instance, result.Endpoint.Incarnation, false)
	}
	r.Balancer.Done(result)
}

// Facts implements balance.Explainer.
func (r *reporting) Facts() []balance.Facts {
	if explainer, ok := r.Balancer.(balance.Explainer); ok {
		return explainer.Facts()
	}
	return nil
}

// Stats implements balance.Explainer.
func (r *reporting) Stats() balance.Stats {
	if explainer, ok := r.Balancer.(balance.Explainer); ok {
		return explainer.Stats()
	}
	return balance.Stats{}
}

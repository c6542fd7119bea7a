package node

import (
	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/member"
)

// reportingBalancer is a balancer that reports nodes which requests could not reach to
// the member list. Requests detect a failure earlier than the membership's own checks.
type reportingBalancer struct {
	balance.Balancer
	members *member.List
}

// Done implements balance.Balancer.
func (r *reportingBalancer) Done(result balance.Result) {
	if result.Outcome == balance.OutcomeUnreachable {
		r.members.Report(result.Endpoint.Instance, result.Endpoint.Incarnation, false)
	}
	r.Balancer.Done(result)
}

// Facts implements balance.Explainer.
func (r *reportingBalancer) Facts() []balance.Facts {
	if explainer, ok := r.Balancer.(balance.Explainer); ok {
		return explainer.Facts()
	}
	return nil
}

// Stats implements balance.Explainer.
func (r *reportingBalancer) Stats() balance.Stats {
	if explainer, ok := r.Balancer.(balance.Explainer); ok {
		return explainer.Stats()
	}
	return balance.Stats{}
}

// Inspect implements balance.Inspector. It returns nil if the balancer can't be inspected.
func (r *reportingBalancer) Inspect() balance.Inspection {
	if inspector, ok := r.Balancer.(balance.Inspector); ok {
		return inspector.Inspect()
	}
	return nil
}

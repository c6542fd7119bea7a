package entry

import (
	"cmp"
	"context"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/offer"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

// QuotaReader is implemented by a Quota that can tell what it knows about a cap.
type QuotaReader interface {
	// Peek returns what this node knows about an organisation's cap, without taking a
	// token; nil: it has no cap.
	Peek(organisation string) *pb.WhereCap
}

// maxFurtherGates is the number of gates that are asked for offers only to show them,
// besides those that a request asks. Questions use the measuring budget of 350 messages a
// second.
const maxFurtherGates = 16

// Reasons why a candidate is or isn't chosen, besides those of package balance.
const (
	reasonBestOffer        = "chosen: best offer"
	reasonPickedByLoad     = "chosen: picked by load data, without offers"
	reasonRegion           = "region not allowed"
	reasonEjected          = "ejected"
	reasonCold             = "cold"
	reasonNoOffer          = "no offer arrived"
	reasonOtherIncarnation = "its offer is of another incarnation of the node"
	reasonNotAsked         = "not asked: others were asked first"
	reasonOtherRegion      = "not asked: other regions are asked only when the own one refuses or answers late"
	reasonNotPicked        = "not picked"
	reasonNotTaken         = "can't be taken: the byte budget for other regions is used up, or the server has left"
	reasonRefusedEarly     = "not asked: the request is refused before"
)

// inspection records how a request would be placed. A nil inspection records nothing.
type inspection struct {
	replies map[*balance.Endpoint]inspectedReply
	// offers are the offers that the request would receive.
	offers []balance.EndpointOffer
	// notTaken is the endpoint whose offer was the best, but couldn't be taken; nil: none.
	notTaken *balance.Endpoint
	// untilTarget is the time until the target when the endpoint was chosen.
	untilTarget time.Duration
	// further is set while gates are asked that a request wouldn't ask.
	further bool
}

type inspectedReply struct {
	offer.Reply
	further bool
}

// recordReply records the reply of an endpoint's gate.
func (i *inspection) recordReply(endpoint *balance.Endpoint, reply offer.Reply) {
	if i == nil {
		return
	}
	i.replies[endpoint] = inspectedReply{reply, i.further}
	if !i.further && isOfferOf(reply, endpoint) {
		i.offers = append(i.offers, newEndpointOffer(endpoint, reply))
	}
}

// recordNotTaken records that the endpoint's offer was the best, but couldn't be taken.
func (i *inspection) recordNotTaken(endpoint *balance.Endpoint) {
	if i != nil {
		i.notTaken = endpoint
	}
}

// Where returns what this entry would decide about a request that arrives now. The request
// isn't sent, and nothing is reserved or counted. It fails if the question can't be a
// request, or names an organisation that the configuration doesn't have.
func (h *Handler) Where(ctx context.Context, question *pb.WhereRequest) (*pb.WhereDecision, error) {
	decision := &pb.WhereDecision{Region: h.options.Region}
	x, err := h.newInspection(ctx, question)
	if err != nil {
		return nil, err
	}
	routes := h.routes.Load()
	if routes == nil {
		decision.Refusal = whereRefusal(noConfiguration())
		return decision, nil
	}
	decision.ConfigVersion = routes.regions.Version()
	if name := question.GetOrganisation(); name != "" {
		i := slices.IndexFunc(routes.organisations, func(o *organisation) bool { return o.name == name })
		if i < 0 {
			return nil, errkind.New(pb.ErrorKind_ERROR_KIND_NOT_FOUND, "the configuration in force has no organisation %q", name)
		}
		x.organisation = routes.organisations[i]
	}
	refusal := x.inspectRoute(routes, decision)
	if x.service == nil {
		decision.Refusal = whereRefusal(refusal)
		return decision, nil
	}
	x.inspectPlacement(ctx, refusal, decision)
	return decision, nil
}

// newInspection returns an exchange for a question. Its request is never sent.
func (h *Handler) newInspection(ctx context.Context, question *pb.WhereRequest) (*exchange, error) {
	path := question.GetPath()
	if !strings.HasPrefix(path, "/") {
		return nil, errkind.New(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, "the path is %q, expected one that begins with a slash", path)
	}
	target, err := url.ParseRequestURI(path)
	if err != nil {
		return nil, errkind.Wrap(pb.ErrorKind_ERROR_KIND_BAD_REQUEST, err, "parse the path")
	}
	r := &http.Request{
		Method: cmp.Or(question.GetMethod(), http.MethodGet), Host: question.GetHost(),
		URL: target, RequestURI: path, Header: http.Header{},
	}
	return &exchange{
		handler: h, r: r.WithContext(ctx), startTime: time.Now(),
		inspection: &inspection{replies: make(map[*balance.Endpoint]inspectedReply)},
	}, nil
}

// inspectRoute does what prepare does for a request without a body: it finds the route and
// checks the request. It returns the refusal that a request would get before its placement.
func (x *exchange) inspectRoute(routes *Routes, decision *pb.WhereDecision) *wire.Answer {
	found, ok := routes.findBy(x.r, func(r *requestRoute) *service {
		if len(r.serviceSplit.targets) > 1 {
			for _, t := range r.serviceSplit.targets {
				decision.Split = append(decision.Split, &pb.WeightedService{Service: t.service.name, Weight: uint32(t.weight)})
			}
		}
		return r.serviceSplit.peek()
	})
	if !ok {
		return noRoute()
	}
	x.service, x.route = found.service, found.route
	x.authenticatedBy = routes
	decision.KeyRequired = routes.needsKey(x.route)
	decision.IdempotencyKeyRequired = x.route.requireKey && !x.route.isIdempotent(x.r.Method)
	if decision.IdempotencyKeyRequired {
		x.r.Header[wire.HeaderIdempotencyKey] = []string{"assumed"}
	}
	refusal := x.buildCall(routes, found.uri)
	filter := x.regionFilter()
	decision.Route, decision.PathPrefix, decision.Service = x.route.name, x.route.pathPrefix, x.service.name
	decision.Class, decision.Idempotent = x.call.Class, x.call.Idempotent
	decision.RouteRegions, decision.OrganisationRegions = filter.Route, filter.Organisation
	decision.TargetMs = uint32(x.route.target.Milliseconds())
	if !x.call.Deadline.IsZero() {
		decision.TimeoutMs = uint32(x.call.Deadline.Sub(x.startTime).Milliseconds())
	}
	if x.organisation == nil {
		if missing := x.lookUpKey(routes); missing != nil {
			return missing
		}
	}
	if refusal != nil {
		return refusal
	}
	return x.setFingerprint()
}

// inspectPlacement finds the backend server, unless the request is refused before.
func (x *exchange) inspectPlacement(ctx context.Context, refusal *wire.Answer, decision *pb.WhereDecision) {
	if reader, ok := x.handler.options.Quota.(QuotaReader); ok {
		decision.Cap = reader.Peek(x.call.Organisation)
	}
	if refusal == nil && decision.GetCap().GetRefusing() {
		refusal = overQuota(time.Duration(decision.GetCap().GetRetryAfterMs()) * time.Millisecond)
	}
	inspector, ok := x.handler.options.BalancerFor(x.service.name).(balance.Inspector)
	var balancer balance.Inspection
	if ok {
		balancer = inspector.Inspect()
	}
	if balancer == nil {
		decision.Refusal = whereRefusal(cmp.Or(refusal, noBalancer()))
		return
	}
	x.balancer = balancer
	facts := balancer.Facts()
	slices.SortFunc(facts, func(a, b balance.Facts) int { return cmp.Compare(a.Endpoint.Instance, b.Endpoint.Instance) })
	var chosen *balance.Endpoint
	placed := refusal == nil
	if placed {
		chosen, refusal = x.inspectChoice(ctx)
		x.askFurther(ctx, facts)
	}
	if refusal != nil {
		decision.Refusal = whereRefusal(refusal)
	}
	decision.Chosen, decision.ByOffers = instanceOf(chosen), x.placedByOffer
	for i := range facts {
		candidate := x.newCandidate(facts[i].Endpoint)
		candidate.Reasons = append(candidate.Reasons, x.reasons(&facts[i], balancer, chosen, placed)...)
		decision.Candidates = append(decision.Candidates, candidate)
	}
}

func instanceOf(endpoint *balance.Endpoint) string {
	if endpoint == nil {
		return ""
	}
	return endpoint.Instance
}

// inspectChoice chooses the endpoint of the first attempt, or returns the refusal of the
// request.
func (x *exchange) inspectChoice(ctx context.Context) (*balance.Endpoint, *wire.Answer) {
	endpoint, err := x.chooseEndpoint(ctx)
	x.inspection.untilTarget = time.Until(x.call.Target)
	if err != nil {
		err = x.regionError(err)
	} else {
		err = x.confirmRegion(endpoint)
	}
	if err == nil {
		return endpoint, nil
	}
	refusal := x.selectionRefusal(err)
	if refusal.Kind == pb.ErrorKind_ERROR_KIND_OVERLOADED {
		x.bookReturn(ctx, refusal)
	}
	return nil, refusal
}

// askFurther asks gates for offers that a request wouldn't ask, in order to show them.
func (x *exchange) askFurther(ctx context.Context, facts []balance.Facts) {
	if x.handler.options.Offers == nil {
		return
	}
	info := x.pickInfo()
	var further []*balance.Endpoint
	for _, f := range facts {
		_, asked := x.inspection.replies[f.Endpoint]
		if !asked && info.Regions.Allows(f.Endpoint.Region) && len(further) < maxFurtherGates {
			further = append(further, f.Endpoint)
		}
	}
	x.inspection.further = true
	x.askGates(ctx, further, otherRegionWaitLimits)
}

// newCandidate returns a candidate with the offer of its gate, if there is one.
func (x *exchange) newCandidate(endpoint *balance.Endpoint) *pb.WhereCandidate {
	candidate := &pb.WhereCandidate{Instance: endpoint.Instance, Region: endpoint.Region, DataCentre: endpoint.DataCentre}
	reply, asked := x.inspection.replies[endpoint]
	candidate.Asked = asked && !reply.further
	if asked && isOfferOf(reply.Reply, endpoint) {
		candidate.Offer = &pb.WhereOffer{
			Refused:        reply.Offer.GetRefused(),
			Kind:           reply.Offer.GetKind(),
			Message:        reply.Offer.GetMessage(),
			WaitUs:         reply.Offer.GetWaitUs(),
			ServiceUs:      reply.Offer.GetWorkUs(),
			RoundTripUs:    microseconds(reply.RoundTrip),
			ErrorsPermille: reply.Offer.GetErrorsPermille(),
			AtOnce:         reply.Offer.GetAtOnce(),
			Cold:           reply.Offer.GetCold(),
		}
	}
	return candidate
}

// reasons returns why an endpoint is or isn't chosen, most important first. placed reports
// whether the request got as far as the choice of an endpoint.
func (x *exchange) reasons(facts *balance.Facts, balancer balance.Inspection, chosen *balance.Endpoint, placed bool) []string {
	endpoint := facts.Endpoint
	var reasons []string
	switch {
	case endpoint == chosen && x.placedByOffer:
		reasons = append(reasons, reasonBestOffer)
	case endpoint == chosen:
		reasons = append(reasons, reasonPickedByLoad)
	}
	if !x.regionFilter().Allows(endpoint.Region) {
		reasons = append(reasons, reasonRegion)
	}
	if !facts.EjectedUntil.IsZero() {
		reasons = append(reasons, reasonEjected)
	}
	if x.inspection.replies[endpoint].Offer.GetCold() {
		reasons = append(reasons, reasonCold)
	}
	if endpoint != chosen {
		reasons = append(reasons, x.reasonAgainst(endpoint, balancer, placed))
	}
	if reply, asked := x.inspection.replies[endpoint]; asked && reply.further && reply.Offer == nil {
		reasons = append(reasons, reasonNoOffer)
	}
	return slices.DeleteFunc(reasons, func(reason string) bool { return reason == "" })
}

// reasonAgainst returns why an endpoint isn't chosen; empty: its region isn't allowed.
func (x *exchange) reasonAgainst(endpoint *balance.Endpoint, balancer balance.Inspection, placed bool) string {
	reply, replied := x.inspection.replies[endpoint]
	asked := replied && !reply.further
	switch {
	case !placed:
		return reasonRefusedEarly
	case !x.regionFilter().Allows(endpoint.Region):
		return ""
	case asked && reply.Offer == nil:
		return reasonNoOffer
	case asked && !isOfferOf(reply.Reply, endpoint):
		return reasonOtherIncarnation
	case asked && reply.Offer.GetRefused():
		return balance.ReasonRefuses
	case asked && endpoint == x.inspection.notTaken:
		return reasonNotTaken
	case asked && x.offer == nil:
		return reasonNotPicked
	case asked:
		return balancer.Reason(x.inspection.offers, endpoint, x.offer.Endpoint, x.inspection.untilTarget)
	case x.balancer.Placer() == nil || x.handler.options.Offers == nil:
		return reasonNotPicked
	case endpoint.Region != x.handler.options.Region:
		return reasonOtherRegion
	}
	return reasonNotAsked
}

func whereRefusal(refusal *wire.Answer) *pb.WhereRefusal {
	return &pb.WhereRefusal{
		Kind:         refusal.Kind,
		Status:       uint32(errkind.Of(refusal.Kind).Status),
		RetryAfterMs: uint32(refusal.SuggestedWait().Milliseconds()),
		Message:      refusal.Message,
	}
}

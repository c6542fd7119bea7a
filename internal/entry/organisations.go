package entry

import (
	"context"
	"strings"

	"github.com/egretfield/egretfield/internal/apikey"
	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

// organisation is an organisation of a snapshot. It is immutable but for its counters.
type organisation struct {
	name string
	// class goes before the route's; CLASS_UNSPECIFIED leaves the class to the route.
	class pb.Class
	// allowedRegions are the regions in which its requests may be handled; empty: all.
	allowedRegions []string
	// rate is the number of requests a second that its callers may make through all nodes
	// together; zero: no limit. burst is by how many the rate may be exceeded for a short
	// time.
	rate, burst float64
	// counters are kept across snapshots. Handler.SetRoutes sets them.
	counters *organisationCounter
}

func newOrganisations(configured []*pb.Organisation) []*organisation {
	organisations := make([]*organisation, 0, len(configured))
	for _, from := range configured {
		organisations = append(organisations, &organisation{
			name:           from.GetName(),
			class:          from.GetClass(),
			allowedRegions: from.GetAllowedRegions(),
			rate:           from.GetRatePerS(),
			burst:          from.GetBurst(),
		})
	}
	return organisations
}

// Keys returns the API keys of the configuration.
func (routes *Routes) Keys() *apikey.Table { return routes.keys }

// needsKey reports whether requests on the route need an API key.
func (routes *Routes) needsKey(r *route) bool {
	return len(routes.organisations) > 0 && !r.authExempt
}

// authentication is what is known of the sender of a request.
type authentication struct {
	// organisation has the API key that the request carries; nil if none has it.
	organisation *organisation
	// keyID identifies the API key; hasKey reports whether the request carries one.
	keyID  apikey.ID
	hasKey bool
	// authenticatedBy is the snapshot in which the key was looked up last.
	authenticatedBy *Routes
}

// authenticate finds the organisation of the request's API key and removes the key from
// the header. It returns a refusal if the route needs a key and no organisation has it.
func (x *exchange) authenticate(routes *Routes) *wire.Answer {
	if len(routes.organisations) == 0 {
		x.authenticatedBy = routes
		return nil
	}
	key, other := readAuthorization(x.r.Header["Authorization"])
	if !x.route.authExempt {
		other = nil
	}
	if len(other) > 0 {
		x.r.Header["Authorization"] = other
	} else {
		delete(x.r.Header, "Authorization")
	}
	if key != "" {
		x.keyID, x.hasKey = apikey.IDOf(key), true
	}
	return x.lookUpKey(routes)
}

// lookUpKey finds the organisation of the request's API key in a snapshot. It returns a
// refusal if the route needs a key and no organisation has it.
func (x *exchange) lookUpKey(routes *Routes) *wire.Answer {
	x.authenticatedBy = routes
	x.organisation = nil
	if x.hasKey {
		if owner, known := routes.keys.Owner(x.keyID); known {
			x.organisation = routes.organisations[owner]
		}
	}
	switch {
	case x.organisation != nil || !routes.needsKey(x.route):
		return nil
	case !x.hasKey:
		return wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_UNAUTHENTICATED, "the route requires one API key: expected Authorization: Bearer KEY")
	default:
		return wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_UNAUTHENTICATED, "the API key belongs to no organisation")
	}
}

// class returns the class of the request: the organisation's goes before the route's.
func (x *exchange) class() pb.Class {
	if x.organisation != nil && x.organisation.class != pb.Class_CLASS_UNSPECIFIED {
		return x.organisation.class
	}
	return x.route.class
}

// setOrganisation sets what the call tells of the organisation. Gates check the key again
// before they start the request, unless the route is exempt.
func (x *exchange) setOrganisation() {
	x.call.Class = x.class()
	x.call.Organisation, x.call.KeyUse = "", apikey.Use{}
	if x.organisation == nil {
		return
	}
	x.call.Organisation = x.organisation.name
	if x.authenticatedBy.needsKey(x.route) {
		x.call.KeyUse = apikey.Use{Key: x.keyID, Version: x.authenticatedBy.keys.Version()}
	}
}

// reauthenticate looks the key up again if the configuration has changed since. changed
// reports whether the organisation or its rules may differ.
func (x *exchange) reauthenticate() (changed bool, err error) {
	routes := x.handler.routes.Load()
	if routes == x.authenticatedBy {
		return false, nil
	}
	before := x.organisation
	lookUp := x.lookUpKey
	if len(x.authenticatedBy.organisations) == 0 {
		// The header still has the key. An earlier attempt may still read the header.
		x.r.Header = x.r.Header.Clone()
		x.call.Header = x.r.Header
		lookUp = x.authenticate
	}
	if refusal := lookUp(routes); refusal != nil {
		return true, errkind.New(refusal.Kind, "%s", refusal.Message)
	}
	x.setOrganisation()
	return x.organisation != before, nil
}

// chooseAuthenticated chooses the endpoint of the next attempt by the rules of the
// organisation that has the key in the current configuration. It chooses again when the
// configuration changes meanwhile, and fails if the key was withdrawn.
func (x *exchange) chooseAuthenticated(ctx context.Context) (*balance.Endpoint, error) {
	if _, err := x.reauthenticate(); err != nil {
		return nil, err
	}
	for {
		if err := x.confirmScope(); err != nil {
			return nil, err
		}
		endpoint, err := x.chooseEndpoint(ctx)
		if err != nil {
			return nil, err
		}
		x.pending = balance.Result{Endpoint: endpoint, Outcome: balance.OutcomeCancelled}
		changed, err := x.reauthenticate()
		if !changed && err == nil {
			return endpoint, nil
		}
		x.reportAttempt()
		x.offer = nil
		if err != nil {
			return nil, err
		}
	}
}

// bearerScheme is the authentication scheme of API keys.
const bearerScheme = "Bearer"

// readAuthorization returns the API key in the values of the Authorization header and the
// values without credentials of the scheme Bearer. The key is empty if there isn't exactly
// one: an ambiguous request isn't attributed to anybody.
func readAuthorization(values []string) (key string, other []string) {
	bearers := 0
	for _, value := range values {
		if !hasBearerCredentials(value) {
			other = append(other, value)
			continue
		}
		bearers++
		key = bearerKey(value)
	}
	if bearers != 1 {
		return "", other
	}
	return key, other
}

// hasBearerCredentials reports whether any part of a value has the scheme Bearer. Some
// clients join several credentials by commas.
func hasBearerCredentials(value string) bool {
	for part := range strings.SplitSeq(value, ",") {
		scheme, _ := cutScheme(part)
		if strings.EqualFold(scheme, bearerScheme) {
			return true
		}
	}
	return false
}

// bearerKey returns the key of a value of the scheme Bearer, or "".
func bearerKey(value string) string {
	scheme, rest := cutScheme(value)
	if !strings.EqualFold(scheme, bearerScheme) || rest == "" || !isBlank(rune(rest[0])) {
		return ""
	}
	return strings.TrimFunc(rest, isBlank)
}

// cutScheme splits credentials after the scheme. Whatever can't be part of a scheme ends
// it, so that a malformed key ("Bearer:KEY") is recognized, too.
func cutScheme(credentials string) (scheme, rest string) {
	credentials = strings.TrimLeftFunc(credentials, isBlank)
	end := strings.IndexFunc(credentials, func(r rune) bool { return !isSchemeLetter(r) })
	if end < 0 {
		return credentials, ""
	}
	return credentials[:end], credentials[end:]
}

func isBlank(r rune) bool { return r == ' ' || r == '\t' }

// isSchemeLetter reports whether a scheme's name may contain r (a token of RFC 9110).
func isSchemeLetter(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}

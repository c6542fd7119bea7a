package gate

import (
	"github.com/egretfield/egretfield/internal/balance"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

// SetRegionRules sets the allowed regions of the current configuration. Requests that
// wait are checked against them before they start.
func (g *Gate) SetRegionRules(rules *balance.RegionRules) { g.regionRules.Store(rules) }

// allowsRegion reports whether the current configuration allows the call in the gate's
// region. A call that an entry with a newer configuration sent is allowed: by the gate's
// older one, it would be refused until the gate has received the newer one, too.
func (g *Gate) allowsRegion(call *wire.Call) bool {
	rules := g.regionRules.Load()
	if rules == nil || rules.Version() < call.ConfigVersion {
		return true
	}
	return rules.Filter(call.Route, call.Organisation, nil).Allows(g.options.Region)
}

// regionRefusal returns the refusal of a call that isn't allowed in the gate's region.
func regionRefusal() *wire.Answer {
	return wire.ErrorAnswer(pb.ErrorKind_ERROR_KIND_REGION_NOT_ALLOWED, "the request isn't allowed in the region of this backend server")
}

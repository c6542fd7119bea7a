package balance

import (
	"slices"

	"github.com/egretfield/egretfield/internal/pb"
)

// RegionFilter restricts a request to regions. The zero value allows all.
type RegionFilter struct {
	// Route and Organisation are the regions allowed by the request's route and by its
	// caller's organisation; an empty list allows all. Read-only.
	Route, Organisation []string
	// Refused are the regions whose gates refused the request because their newer
	// configuration doesn't allow it there.
	Refused []string
}

// Allows reports whether a request may be handled in the region.
func (f RegionFilter) Allows(region string) bool {
	return (len(f.Route) == 0 || slices.Contains(f.Route, region)) &&
		(len(f.Organisation) == 0 || slices.Contains(f.Organisation, region)) &&
		!slices.Contains(f.Refused, region)
}

// IsRestricted reports whether any region may be excluded.
func (f RegionFilter) IsRestricted() bool {
	return len(f.Route) > 0 || len(f.Organisation) > 0 || len(f.Refused) > 0
}

// IsEmpty reports whether route and organisation have no allowed region in common.
func (f RegionFilter) IsEmpty() bool {
	return len(f.Route) > 0 && len(f.Organisation) > 0 &&
		!slices.ContainsFunc(f.Route, func(region string) bool { return slices.Contains(f.Organisation, region) })
}

// RegionRules are the allowed regions of a configuration. They are immutable.
type RegionRules struct {
	version int64
	// routes and organisations hold the allowed regions of each by name; an empty list
	// allows all.
	routes, organisations map[string][]string
}

// NewRegionRules returns the rules of a configuration. The version is that of its
// ConfigState; zero if unknown.
func NewRegionRules(config *pb.Config, version int64) *RegionRules {
	rules := &RegionRules{
		version:       version,
		routes:        make(map[string][]string, len(config.GetRequestRoutes())),
		organisations: make(map[string][]string, len(config.GetOrganisations())),
	}
	for _, route := range config.GetRequestRoutes() {
		rules.routes[route.GetName()] = route.GetAllowedRegions()
	}
	for _, organisation := range config.GetOrganisations() {
		rules.organisations[organisation.GetName()] = organisation.GetAllowedRegions()
	}
	return rules
}

// AtVersion returns the rules with another version.
func (r *RegionRules) AtVersion(version int64) *RegionRules {
	return &RegionRules{version: version, routes: r.routes, organisations: r.organisations}
}

// Version returns the version of the configuration; zero if unknown.
func (r *RegionRules) Version() int64 { return r.version }

// Filter returns the filter for requests of a route and an organisation, either of which
// may have no name. Names that this configuration doesn't have are looked up in previous,
// which may be nil: the restriction of a request remains when its route is removed.
func (r *RegionRules) Filter(route, organisation string, previous *RegionRules) RegionFilter {
	filter := RegionFilter{}
	if previous != nil {
		filter.Route = previous.routes[route]
		filter.Organisation = previous.organisations[organisation]
	}
	if regions, ok := r.routes[route]; ok {
		filter.Route = regions
	}
	if regions, ok := r.organisations[organisation]; ok {
		filter.Organisation = regions
	}
	return filter
}

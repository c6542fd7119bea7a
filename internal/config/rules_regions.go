package config

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/egretfield/egretfield/internal/pb"
)

// regionPattern is the form of a region's name in the startup settings of nodes.
var regionPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// checkRegions checks the regions of the fleet and the allowed regions of routes and
// organisations.
func (c *checker) checkRegions(config *pb.Config) {
	seen := map[string]string{}
	for i, region := range config.GetRegions() {
		path := fmt.Sprintf("regions[%d]", i)
		c.checkRegionName(path, region)
		c.checkUnique(path, region, seen)
	}
	for i, route := range config.GetRequestRoutes() {
		c.checkAllowedRegions(fmt.Sprintf("request_routes[%d]", i), route.GetAllowedRegions(), config.GetRegions())
	}
	for i, organisation := range config.GetOrganisations() {
		c.checkAllowedRegions(fmt.Sprintf("organisations[%d]", i), organisation.GetAllowedRegions(), config.GetRegions())
	}
}

// checkAllowedRegions checks a list of allowed regions. If the fleet's regions are known,
// each must be one of them: requests of a misspelt one would all be refused.
func (c *checker) checkAllowedRegions(path string, allowed, fleet []string) {
	for i, region := range allowed {
		at := fmt.Sprintf("%s.allowed_regions[%d]", path, i)
		if !c.checkRegionName(at, region) {
			continue
		}
		if len(fleet) > 0 && !slices.Contains(fleet, region) {
			c.addf(at, "got %q, expected a region of the fleet (%s)", region, strings.Join(fleet, ", "))
		}
	}
}

// checkRegionName adds a problem and returns false if name isn't the name of a region.
func (c *checker) checkRegionName(path, name string) bool {
	if regionPattern.MatchString(name) {
		return true
	}
	c.addf(path, "got %q, expected a region's name of letters, digits, dots, - and _ that starts with a letter or digit, at most 128 characters", name)
	return false
}

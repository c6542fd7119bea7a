package config

import (
	"fmt"
	"math"
	"regexp"

	"github.com/egretfield/egretfield/internal/apikey"
	"github.com/egretfield/egretfield/internal/pb"
)

// organisationPattern is the form of an organisation's name, which must fit into a header
// for backend servers and into the metadata between nodes.
var organisationPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// checkOrganisations checks the organisations of callers. No problem shows a key.
func (c *checker) checkOrganisations(organisations []*pb.Organisation) {
	names := map[string]string{}
	owners := map[string]*pb.Organisation{}
	for i, organisation := range organisations {
		path := fmt.Sprintf("organisations[%d]", i)
		if !organisationPattern.MatchString(organisation.GetName()) {
			c.addf(path+".name", "got %q, expected a name of letters, digits, ., - and _ that starts with a letter or digit", organisation.GetName())
		}
		c.checkUnique(path+".name", organisation.GetName(), names)
		for j, key := range organisation.GetApiKeys() {
			c.checkKey(fmt.Sprintf("%s.api_keys[%d]", path, j), organisation, key, owners)
		}
		if _, ok := pb.Class_name[int32(organisation.GetClass())]; !ok {
			c.addf(path+".class", "got %d, expected CLASS_BACKGROUND, CLASS_NORMAL or CLASS_CRITICAL", organisation.GetClass())
		}
		c.checkAmount(path+".rate_per_s", organisation.GetRatePerS(), "requests a second")
		c.checkAmount(path+".burst", organisation.GetBurst(), "requests")
	}
}

// checkKey checks one API key of an organisation. owners maps keys to the organisation
// that has them.
func (c *checker) checkKey(path string, organisation *pb.Organisation, key string, owners map[string]*pb.Organisation) {
	if key == "" {
		c.addf(path, "organisation %q has an empty API key", organisation.GetName())
		return
	}
	if apikey.IsShown(key) {
		c.addf(path, "got the digest of an API key, expected the key itself (egretctl config show -keys prints it)")
	}
	owner := owners[key]
	if owner != nil && owner != organisation {
		c.addf(path, "organisations %q and %q have the same API key, expected a key of one organisation", owner.GetName(), organisation.GetName())
		return
	}
	owners[key] = organisation
}

func (c *checker) checkAmount(path string, value float64, unit string) {
	if value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		c.addf(path, "got %g, expected a finite number of %s, at least 0", value, unit)
	}
}

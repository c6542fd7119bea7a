package config

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

const restricted = valid + `regions: [north, eu-west.1]
request_routes:
  - name: r
    host: a.example
    path_prefix: /
    services: [{service: orders}]
    allowed_regions: [north]
organisations:
  - name: acme
    api_keys: [k]
    allowed_regions: [eu-west.1, north]
`

// TestAllowedRegions guards against a misspelt region, by which every request of a route
// or an organisation would be refused, and against problems without a place in the file.
func TestAllowedRegions(t *testing.T) {
	tests := []struct {
		name, old, updated string
		errors             []string
	}{
		{"unknown region of a route", "regions: [north]\n", "regions: [nort]\n", []string{
			`c.yaml:18:23: request_routes[0].allowed_regions[0]: got "nort", expected a region of the fleet (north, eu-west.1)`,
		}},
		{"unknown region of an organisation", "eu-west.1, north]", "eu-west.1, south]", []string{
			`c.yaml:22:34: organisations[0].allowed_regions[1]: got "south", expected a region of the fleet`,
		}},
		{"no name", "regions: [north]\n", "regions: [\"\"]\n", []string{
			`c.yaml:18:23: request_routes[0].allowed_regions[0]: got "", expected a region's name`,
		}},
		{"blank in a name", "eu-west.1, north]", "\"eu west\", north]", []string{
			`c.yaml:22:23: organisations[0].allowed_regions[0]: got "eu west", expected a region's name`,
		}},
		{"repeated region of the fleet", "[north, eu-west.1]", "[north, eu-west.1, north]", []string{
			`c.yaml:12:29: regions[2]: "north" is already used at regions[0]`,
		}},
		{"invalid region of the fleet", "[north, eu-west.1]", "[north, eu-west.1, -x]", []string{
			`c.yaml:12:29: regions[2]: got "-x", expected a region's name`,
		}},
	}
	Convey("Allowed regions that the fleet has are accepted", t, func() {
		_, err := Parse("c.yaml", []byte(restricted))
		So(err, ShouldBeNil)
	})
	Convey("Without the fleet's regions, every valid name is accepted", t, func() {
		text := strings.NewReplacer("regions: [north, eu-west.1]\n", "", "regions: [north]", "regions: [Anywhere_9]").Replace(restricted)
		_, err := Parse("c.yaml", []byte(text))
		So(err, ShouldBeNil)
	})
	for _, test := range tests {
		Convey("Refused with its place: "+test.name, t, func() {
			text := strings.Replace(restricted, test.old, test.updated, 1)
			So(text, ShouldNotEqual, restricted)
			_, err := Parse("c.yaml", []byte(text))
			So(errkind.KindOf(err), ShouldEqual, pb.ErrorKind_ERROR_KIND_INVALID_CONFIG)
			for _, line := range test.errors {
				So(err.Error(), ShouldContainSubstring, line)
			}
		})
	}
}

package config

import (
	"fmt"
	"math"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
)

// Guards against configurations that attribute a request to two organisations or let an
// empty key in, and against keys in messages.
func TestOrganisationRules(t *testing.T) {
	Convey("Problems of organisations have a position, and no key", t, func() {
		for _, test := range []struct{ organisations, expected string }{
			{"[{name: a, api_keys: [secret-1]}, {name: b, api_keys: [other, secret-1]}]",
				`c.yaml:12:78: organisations[1].api_keys[1]: organisations "a" and "b" have the same API key`},
			{"[{name: a, api_keys: [\"\"]}]", `c.yaml:12:38: organisations[0].api_keys[0]: organisation "a" has an empty API key`},
			{"[{api_keys: [secret-1]}]", `organisations[0].name: got ""`},
			{"[{name: a}, {name: a}]", `"a" is already used at organisations[0].name`},
			{"[{name: a b}]", `organisations[0].name: got "a b"`},
			{"[{name: -}]", `organisations[0].name: got "-"`},
			{"[{name: a, rate_per_s: -1}]", "organisations[0].rate_per_s: got -1, expected a finite number"},
			{"[{name: a, burst: -0.5}]", "organisations[0].burst: got -0.5, expected a finite number"},
			{"[{name: a, rate_per_s: .inf}]", "c.yaml:12"},
			{"[{name: a, class: 9}]", "organisations[0].class: got 9"},
			{"[{name: a, api_keys: [\"sha256:0123abcd\"]}]", "organisations[0].api_keys[0]: got the digest of an API key"},
			{"[{name: a, api_keys: secret-1}]", "c.yaml:12"},
			{"[{name: a, api_keys: {secret-1: b}}]", "c.yaml:12"},
		} {
			_, err := Parse("c.yaml", []byte(valid+"organisations: "+test.organisations+"\n"))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, test.expected)
			So(err.Error(), ShouldNotContainSubstring, "secret")
		}
	})
	Convey("Rates that aren't finite are refused where the file doesn't carry them", t, func() {
		for _, value := range []float64{math.NaN(), math.Inf(1), math.Inf(-1)} {
			config, err := Parse("c.yaml", []byte(valid))
			So(err, ShouldBeNil)
			config.Organisations = []*pb.Organisation{{Name: "a", RatePerS: value}}
			So(Check(config), ShouldNotBeNil)
			config.Organisations = []*pb.Organisation{{Name: "a", Burst: value}}
			So(Check(config), ShouldNotBeNil)
		}
	})
	Convey("Keys, several of one organisation, and none are accepted", t, func() {
		_, err := Parse("c.yaml", []byte(valid+"organisations: [{name: Acme.1, api_keys: [k1, k2, k1], rate_per_s: 2.5, burst: 5}, {name: b}]\n"))
		So(err, ShouldBeNil)
	})
}

// largeConfig has n organisations with a key of keyBytes, a rate, a burst and a region.
func largeConfig(n, keyBytes int) *pb.Config {
	config, _ := Parse("c.yaml", []byte(valid))
	for i := range n {
		key := fmt.Sprint(i)
		config.Organisations = append(config.Organisations, &pb.Organisation{
			Name: fmt.Sprintf("org-%08d", i), ApiKeys: []string{strings.Repeat("k", keyBytes-len(key)) + key},
			RatePerS: 10, Burst: 10, AllowedRegions: []string{"west"},
		})
	}
	return config
}

// Guards against a limit of the encoded size below the fleets' numbers of organisations.
func TestOrganisationsThatFit(t *testing.T) {
	Convey("Organisations with one key of 32 bytes, rate, burst and a region fit up to a known number", t, func() {
		config := largeConfig(10_000, 32)
		perOrganisation := encodedSize(config) / 10_000
		t.Logf("%d bytes an organisation, %d of 10000 fit", perOrganisation, MaxEncodedBytes/perOrganisation)
		So(Check(largeConfig(6_000, 32)), ShouldBeNil)
		So(Check(config), ShouldNotBeNil)
	})
}

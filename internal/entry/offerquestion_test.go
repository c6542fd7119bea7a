package entry

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/wire"
)

// Guards against offers that don't take the shares of organisations into account.
func TestOfferQuestionNamesOrganisation(t *testing.T) {
	Convey("The question for an offer names the caller's organisation", t, func() {
		x := &exchange{call: wire.Call{Meta: wire.Meta{Service: "s", Organisation: "acme"}}}
		So(x.offerQuestion().GetOrganisation(), ShouldEqual, "acme")
	})
}

package gate

import (
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/wire"
)

func TestToken(t *testing.T) {
	Convey("A gate serves only requests that carry the token of the fleet", t, func() {
		token := wire.PeerToken([]byte("shared-key-of-a-test"))
		g := New(Options{Instance: "i", Incarnation: 1, PeerToken: token})
		answer := func(sent string) string {
			request := httptest.NewRequest("GET", "/x", nil)
			if sent != "" {
				request.Header.Set(wire.HeaderPeer, sent)
			}
			w := httptest.NewRecorder()
			g.ServeHTTP(w, request)
			return w.Header().Get(wire.HeaderError)
		}
		So(answer(""), ShouldEqual, "unauthenticated")
		So(answer("guess"), ShouldEqual, "unauthenticated")
		So(answer(wire.PeerToken([]byte("another key"))), ShouldEqual, "unauthenticated")
		So(answer(token), ShouldNotEqual, "unauthenticated")
	})
}

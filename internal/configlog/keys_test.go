package configlog

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
)

// Guards against API keys in the audit trail.
func TestChangesOfKeysShowDigests(t *testing.T) {
	Convey("A change of keys is listed by digests", t, func() {
		state := func(keys ...string) *pb.ConfigState {
			return &pb.ConfigState{Config: &pb.Config{Organisations: []*pb.Organisation{{Name: "a", ApiKeys: keys}}}}
		}
		changes, omitted := diff(state("abc"), state("abc", "secret"))
		So(omitted, ShouldEqual, 0)
		So(changes, ShouldHaveLength, 1)
		So(changes[0].GetPath(), ShouldEqual, "config.organisations[a].api_keys")
		So(changes[0].GetBefore(), ShouldEqual, "sha256:ba7816bf")
		So(changes[0].GetAfter(), ShouldEqual, "sha256:ba7816bf, sha256:2bb80d53")
	})
}

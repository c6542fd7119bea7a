package errkind

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
)

func TestTable(t *testing.T) {
	Convey("Every kind of the schema has a row with a unique name, an error status and a run state", t, func() {
		names := map[string]bool{}
		for number := range pb.ErrorKind_name {
			kind := pb.ErrorKind(number)
			if kind == pb.ErrorKind_ERROR_KIND_UNSPECIFIED {
				continue
			}
			properties, ok := table[kind]
			So(ok, ShouldBeTrue)
			So(properties.Status, ShouldBeBetween, 399, 600)
			So(properties.Run, ShouldNotEqual, pb.RunState_RUN_STATE_UNSPECIFIED)
			So(names[properties.Name], ShouldBeFalse)
			names[properties.Name] = true
		}
	})
	Convey("Only kinds whose request is certified as not run are retryable regardless of the method", t, func() {
		for _, properties := range table {
			if properties.Retryable {
				So(properties.Run, ShouldEqual, pb.RunState_RUN_STATE_NO)
			}
		}
	})
	Convey("A name is parsed to its kind, and a wrapped error has the kind of the wrapper", t, func() {
		kind, ok := Parse("conflict")
		So(ok, ShouldBeTrue)
		So(kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_CONFLICT)
		So(KindOf(Wrap(kind, New(pb.ErrorKind_ERROR_KIND_INTERNAL, "inner"), "outer")), ShouldEqual, kind)
	})
}

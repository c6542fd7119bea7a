package configlog

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
)

// replacedState returns the state at a position after the replacement at offset, of the
// operator's version.
func replacedState(operatorVersion, offset, position int64) State {
	return State{
		Config:        &pb.ConfigState{Version: offset, Applied: offset, Config: &pb.Config{OperatorVersion: operatorVersion}},
		FoldedThrough: position,
		Chain:         uint64(offset)<<8 + uint64(operatorVersion),
	}
}

func TestMergeOfStates(t *testing.T) {
	later := func(number int64) int64 { return platformlog.OffsetInEra(1, number) }
	Convey("The later configuration by the operator's version and the later position are kept, in either order", t, func() {
		for _, c := range []struct {
			a, b                      State
			version, offset, position int64
		}{
			{replacedState(5, 1, 1), replacedState(7, 2, 3), 7, 2, 3},
			{replacedState(7, 2, 3), replacedState(5, later(1), later(1)), 7, 2, later(1)},
			{replacedState(7, 2, 3), replacedState(7, later(2), later(4)), 7, later(2), later(4)},
			{replacedState(7, 2, later(4)), replacedState(8, 3, 3), 8, 3, later(4)},
			{replacedState(7, 2, 3), State{Config: &pb.ConfigState{}, FoldedThrough: later(0)}, 7, 2, later(0)},
		} {
			for _, merged := range []State{c.a.merge(c.b), c.b.merge(c.a)} {
				So(merged.OperatorVersion(), ShouldEqual, c.version)
				So(merged.Version(), ShouldEqual, c.offset)
				So(merged.FoldedThrough, ShouldEqual, c.position)
				So(merged.Chain, ShouldEqual, replacedState(c.version, c.offset, 0).Chain)
			}
		}
	})
	Convey("Without operator's versions, a state whose configuration is older isn't taken", t, func() {
		own := State{Config: &pb.ConfigState{Version: 4}, FoldedThrough: 4}
		So(own.merge(State{Config: &pb.ConfigState{Version: 3}, FoldedThrough: 9}), ShouldResemble, own)
		next := State{Config: &pb.ConfigState{Version: 4}, FoldedThrough: 9}
		So(own.merge(next), ShouldResemble, next)
	})
}

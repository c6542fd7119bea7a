package configlog

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
)

// wideReplacement returns a replacement whose limits all exceed a bound, of an operator's
// version.
func wideReplacement(offset, operatorVersion int64) platformlog.Record {
	config := testConfig(1)
	config.OperatorVersion, config.RequestRoutesOnly = operatorVersion, true
	config.Services = []*pb.Service{{Name: "Orders.v2", ColdMs: 3_600_000, ColdRequestsPerS: 1e6}, {Name: "2nd"}}
	config.RequestRoutes = []*pb.RequestRoute{{
		Name: "R.1", Host: "a.example", PathPrefix: "/x/", TimeoutMs: 1 << 31, TargetLatencyMs: 1 << 31, MaxAttempts: 50,
		Services: []*pb.WeightedService{{Service: "Orders.v2", Weight: 3_000_000_000}, {Service: "2nd", Weight: 1_000_000_000}},
	}}
	config.CallerLimits = &pb.CallerLimits{MaxHeaderBytes: 1 << 31, MaxBodyBytes: 1 << 40}
	config.MaxCallDepth = 1000
	return at(offset, &pb.ConfigRecord{Change: &pb.ConfigRecord_Replace{Replace: &pb.Replace{Config: config}}})
}

// Guards against a limit above a bound that keeps a whole version of the operators, with
// all its other changes, out of force (CONFIG).
func TestLimitsAboveBounds(t *testing.T) {
	Convey("A version with limits above the bounds comes into force with the bounds, and says so", t, func() {
		before, _ := Fold(Empty(), replacementOf(1, 5))
		state, entry := Fold(before, wideReplacement(2, 6))
		So(entry.GetAccepted(), ShouldBeTrue)
		So(state.OperatorVersion(), ShouldEqual, 6)
		config := state.Config.GetConfig()
		route := config.GetRequestRoutes()[0]
		So(route.GetMaxAttempts(), ShouldEqual, 10)
		So(route.GetTimeoutMs(), ShouldEqual, 86_400_000)
		So(config.GetCallerLimits().GetMaxHeaderBytes(), ShouldEqual, 1<<20)
		weights := []uint32{route.GetServices()[0].GetWeight(), route.GetServices()[1].GetWeight()}
		So(weights, ShouldResemble, []uint32{1_000_000, 333_333})
		So(Unapplied(state), ShouldBeNil)
		So(Adjusted(state), ShouldHaveLength, 9)
		So(Adjusted(state)[0], ShouldEqual, "services[0].cold_ms: 3600000 is above the bound, 600000 applies")
		So(Adjusted(before), ShouldBeEmpty)
		Convey("and a node that starts with it agrees", func() {
			started := newestOf(3, wideReplacement(2, 6))
			So(started.Chain, ShouldEqual, state.Chain)
			So(started.Config.GetConfig().GetRequestRoutes()[0].GetMaxAttempts(), ShouldEqual, 10)
		})
	})
	Convey("What an operator publishes through a node is refused above the bounds, as it can still be changed", t, func() {
		wide := testConfig(2)
		wide.MaxCallDepth = 1000
		state := foldAll(publishOf(0, testConfig(1)), publishOf(1, wide))
		So(last(state).GetRefusal(), ShouldEqual, invalid)
	})
}

// Guards against a version that is refused without a trace for operators, whose own system
// shows it as the newest.
func TestRefusedVersionIsShown(t *testing.T) {
	unusable := func(offset, operatorVersion int64) platformlog.Record {
		config := testConfig(1)
		config.OperatorVersion, config.Services = operatorVersion, nil
		return at(offset, &pb.ConfigRecord{Change: &pb.ConfigRecord_Replace{Replace: &pb.Replace{Config: config}}})
	}
	malformed := func(offset int64) platformlog.Record {
		return platformlog.Record{Offset: offset, Data: []byte{0xff}}
	}
	Convey("The newest version that no node can apply is shown until a later one is in force", t, func() {
		for _, refused := range []platformlog.Record{unusable(2, 6), malformed(2)} {
			state, _ := Fold(Empty(), replacementOf(1, 5))
			So(Unapplied(state), ShouldBeNil)
			state, _ = Fold(state, refused)
			So(state.OperatorVersion(), ShouldEqual, 5)
			So(Unapplied(state).GetOffset(), ShouldEqual, 2)
			started := newestOf(3, replacementOf(1, 5), refused)
			So(Unapplied(started).GetOffset(), ShouldEqual, 2)
			So(started.Chain, ShouldEqual, state.Chain)
			state, _ = Fold(state, replacementOf(3, 7))
			So(Unapplied(state), ShouldBeNil)
		}
		stale, _ := Fold(Empty(), replacementOf(1, 5))
		stale, _ = Fold(stale, replacementOf(2, 4))
		So(Unapplied(stale), ShouldBeNil)
	})
}

package configlog

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
)

// evacuationOf returns a change as egretctl writes it.
func evacuationOf(base int64, dataCentre string, evacuate bool) *pb.ConfigRecord {
	return &pb.ConfigRecord{Id: NewID(), BaseVersion: base, Operator: "ann", Change: &pb.ConfigRecord_Evacuate{
		Evacuate: &pb.Evacuate{DataCentre: dataCentre, Evacuate: evacuate},
	}}
}

// platformEvacuation returns a change as the platform's translation writes it.
func platformEvacuation(offset int64, dataCentre string, evacuate bool) platformlog.Record {
	record := evacuationOf(offset, dataCentre, evacuate)
	record.Id = ""
	return at(offset, record)
}

// replacementOf returns a replacement of the configuration, of an operator's version.
func replacementOf(offset, operatorVersion int64) platformlog.Record {
	config := testConfig(1)
	config.OperatorVersion = operatorVersion
	return at(offset, &pb.ConfigRecord{Change: &pb.ConfigRecord_Replace{Replace: &pb.Replace{Config: config}}})
}

func later(number int64) int64 { return platformlog.OffsetInEra(1, number) }

// newestOf returns the state of a keyed log with the newest records of its keys.
func newestOf(next int64, records ...platformlog.Record) State {
	return stateFromNewest(records, platformlog.Bounds{First: next, Next: next})
}

// Guards against a change that overwrites a later one of the same data centre, or that
// fails because of one of another.
func TestFoldEvacuations(t *testing.T) {
	Convey("Evacuations conflict only with later ones of the same data centre", t, func() {
		state := foldAll(publishOf(0, testConfig(1)), evacuationOf(1, "b", true), evacuationOf(1, "a", true), publishOf(1, testConfig(2)))
		So(Evacuated(state.Config), ShouldResemble, []string{"a", "b"})
		So(state.Version(), ShouldEqual, 4)
		So(state.Config.GetApplied(), ShouldEqual, 4)
		stale, entry := Fold(state, at(5, evacuationOf(1, "a", false)))
		So(entry.GetRefusal(), ShouldEqual, conflict)
		So(entry.GetWinner(), ShouldEqual, 3)
		So(Evacuated(stale.Config), ShouldResemble, []string{"a", "b"})
		ended, entry := Fold(stale, at(6, evacuationOf(5, "a", false)))
		So(entry.GetAccepted(), ShouldBeTrue)
		So(fmt.Sprint(entry.GetChanges()), ShouldEqual, fmt.Sprint([]*pb.Change{{Path: "evacuated", Before: "a, b", After: "b"}}))
		So(Evacuated(ended.Config), ShouldResemble, []string{"b"})
		So(ended.Config.GetApplied(), ShouldEqual, 6)
		So(ended.Chain, ShouldNotEqual, stale.Chain)
		_, err := StateFromSnapshot(ended.Snapshot())
		So(err, ShouldBeNil)
	})
	Convey("An evacuation without a data centre, or by an operator before the first configuration, is refused", t, func() {
		_, entry := Fold(foldAll(publishOf(0, testConfig(1))), at(2, evacuationOf(1, "", true)))
		So(entry.GetRefusal(), ShouldEqual, badInput)
		_, entry = Fold(Empty(), at(1, evacuationOf(0, "a", true)))
		So(entry.GetRefusal(), ShouldEqual, notFound)
	})
	Convey("The number of marks is limited, and an active one is dropped last", t, func() {
		state, _ := Fold(foldAll(publishOf(0, testConfig(1))), platformEvacuation(2, "first", true))
		for offset := int64(3); offset < 300; offset++ {
			state, _ = Fold(state, platformEvacuation(offset, fmt.Sprint("z", offset), false))
		}
		So(len(state.Config.GetEvacuations()), ShouldEqual, maxEvacuations)
		So(Evacuated(state.Config), ShouldResemble, []string{"first"})
		_, err := StateFromSnapshot(state.Snapshot())
		So(err, ShouldBeNil)
	})
}

// Guards against snapshots that would put evacuations in force which nobody wrote.
func TestSnapshotEvacuations(t *testing.T) {
	state := foldAll(publishOf(0, testConfig(1)), evacuationOf(1, "a", true), evacuationOf(1, "b", true))
	for name, edit := range map[string]func(marks []*pb.EvacuationMark){
		"beyond its offset":       func(marks []*pb.EvacuationMark) { marks[1].Offset = 9 },
		"out of order":            func(marks []*pb.EvacuationMark) { marks[0].Offset = 3; marks[1].Offset = 2 },
		"repeated":                func(marks []*pb.EvacuationMark) { marks[1].DataCentre = "a" },
		"without a data centre":   func(marks []*pb.EvacuationMark) { marks[1].DataCentre = "" },
		"before the first offset": func(marks []*pb.EvacuationMark) { marks[0].Offset = 0 },
	} {
		Convey("A snapshot with an evacuation "+name+" is refused", t, func() {
			snapshot := proto.CloneOf(state.Snapshot())
			_, err := StateFromSnapshot(snapshot)
			So(err, ShouldBeNil)
			edit(snapshot.GetState().GetEvacuations())
			_, err = StateFromSnapshot(snapshot)
			So(err, ShouldNotBeNil)
		})
	}
}

// Guards against a lost evacuation, and against one in force before any configuration,
// whichever of the two records comes first.
func TestEvacuationBeforeConfiguration(t *testing.T) {
	for name, records := range map[string][]platformlog.Record{
		"evacuation first":    {platformEvacuation(1, "a", true), replacementOf(2, 7)},
		"configuration first": {replacementOf(1, 7), platformEvacuation(2, "a", true)},
	} {
		Convey("Both are in force after the second: "+name, t, func() {
			f := NewFollower(Options{})
			f.serving = true
			inForce := func() []string { return Evacuated(f.Current()) }
			f.apply(records[:1], sourceLog)
			if name == "evacuation first" {
				So(f.Current(), ShouldBeNil)
			}
			f.apply(records[1:], sourceLog)
			So(inForce(), ShouldResemble, []string{"a"})
			So(f.Current().GetConfig().GetOperatorVersion(), ShouldEqual, 7)
			So(Evacuated(newestOf(3, records...).Config), ShouldResemble, []string{"a"})
		})
	}
	Convey("A configuration from a peer keeps an evacuation that the log had before any configuration", t, func() {
		lone := newestOf(later(2), platformEvacuation(later(1), "a", true))
		old := newestOf(5, replacementOf(4, 7))
		for _, merged := range []State{lone.merge(old), old.merge(lone)} {
			So(Evacuated(merged.Config), ShouldResemble, []string{"a"})
			So(merged.OperatorVersion(), ShouldEqual, 7)
			_, err := StateFromSnapshot(merged.Snapshot())
			So(err, ShouldBeNil)
		}
	})
}

// Guards against nodes that report each other as diverging because one folded an
// evacuation and the other began after it.
func TestChainAfterEvacuation(t *testing.T) {
	Convey("A node that folded every record and one that began with the newest agree", t, func() {
		folded := Empty()
		records := []platformlog.Record{replacementOf(1, 7), platformEvacuation(2, "a", true), platformEvacuation(3, "a", false), platformEvacuation(4, "b", true)}
		for _, record := range records {
			folded, _ = Fold(folded, record)
		}
		began := newestOf(5, records[0], records[2], records[3])
		So(began.Chain, ShouldEqual, folded.Chain)
		So(began.FoldedThrough, ShouldEqual, folded.FoldedThrough)
		So(divergesFrom(began.Digest(), folded), ShouldBeFalse)
		So(hasOtherEvacuations(began.Digest(), folded), ShouldBeFalse)
		compacted := newestOf(5, records[0], records[3]) // the ended evacuation is gone
		So(hasOtherEvacuations(compacted.Digest(), folded), ShouldBeFalse)
	})
}

// Guards against handlers that miss a change which leaves the configuration and the
// offset of the last change as they are.
func TestSubscribersHearOfEvacuations(t *testing.T) {
	Convey("A handler is called for each change of the evacuations alone", t, func() {
		f := NewFollower(Options{})
		f.serving = true
		var heard []string
		f.Subscribe(func(state *pb.ConfigState) { heard = append(heard, fmt.Sprint(Evacuated(state))) })
		f.apply([]platformlog.Record{replacementOf(1, 7), platformEvacuation(2, "a", true)}, sourceLog)
		f.adopt(newestOf(9, replacementOf(1, 7)), sourceLog) // compacted: the key is gone
		f.adopt(newestOf(12, replacementOf(1, 7), platformEvacuation(10, "b", true)), sourceLog)
		So(heard, ShouldResemble, []string{"[a]", "[]", "[b]"})
	})
	Convey("Evacuations at an older offset than the last change are heard of", t, func() {
		f := NewFollower(Options{})
		f.serving = true
		var heard []string
		f.Subscribe(func(state *pb.ConfigState) { heard = append(heard, fmt.Sprint(Evacuated(state))) })
		f.adopt(newestOf(later(2), replacementOf(later(1), 7)), sourceLog)
		f.adopt(newestOf(5, replacementOf(1, 7), platformEvacuation(4, "a", true)), sourcePeer)
		So(heard, ShouldResemble, []string{"[]", "[a]"})
	})
}

// Guards against evacuations that a restored copy of the log ends, and against ones that
// stay after the log ended them.
func TestMergeOfEvacuations(t *testing.T) {
	active := newestOf(6, replacementOf(1, 7), platformEvacuation(5, "a", true))
	for _, c := range []struct {
		name  string
		other State
		want  []string
	}{
		{"an older position", newestOf(3, replacementOf(1, 7)), []string{"a"}},
		{"the same position", active, []string{"a"}},
		{"absent later in the same era", newestOf(9, replacementOf(1, 7)), nil},
		{"ended later in the same era", newestOf(9, replacementOf(1, 7), platformEvacuation(8, "a", false)), nil},
		{"ended and evacuated again", newestOf(9, replacementOf(1, 7), platformEvacuation(8, "a", true)), []string{"a"}},
		{"lost by a copy", newestOf(later(3), replacementOf(later(1), 7)), []string{"a"}},
		{"lost by a copy, another one there", newestOf(later(3), replacementOf(later(1), 7), platformEvacuation(later(2), "b", true)), []string{"a", "b"}},
		{"ended after a copy", newestOf(later(3), replacementOf(later(1), 7), platformEvacuation(later(2), "a", false)), nil},
		{"a copy without a configuration", newestOf(later(3)), []string{"a"}},
	} {
		Convey("In either order: "+c.name, t, func() {
			for _, merged := range []State{active.merge(c.other), c.other.merge(active)} {
				So(Evacuated(merged.Config), ShouldResemble, c.want)
				So(merged.FoldedThrough, ShouldEqual, max(active.FoldedThrough, c.other.FoldedThrough))
				_, err := StateFromSnapshot(merged.Snapshot())
				So(err, ShouldBeNil)
				So(merged.merge(active), ShouldResemble, merged)
				So(merged.merge(c.other), ShouldResemble, merged)
			}
		})
	}
	Convey("An evacuation of the new era that was compacted away doesn't bring back one of the older era", t, func() {
		carried := active.merge(newestOf(later(1), replacementOf(1, 7)))
		folded := carried
		for _, record := range []platformlog.Record{platformEvacuation(later(1), "a", true)} {
			folded, _ = Fold(folded, record)
		}
		compacted := carried.merge(newestOf(later(5), replacementOf(1, 7)))
		So(Evacuated(compacted.Config), ShouldResemble, []string{"a"}) // as far as this node knows
		for _, merged := range []State{folded.merge(compacted), compacted.merge(folded)} {
			So(Evacuated(merged.Config), ShouldBeEmpty)
		}
	})
	Convey("A second evacuation shortly after the end of the first is kept by a node that missed the end", t, func() {
		for _, records := range [][]platformlog.Record{
			{platformEvacuation(7, "a", true)},
			{platformEvacuation(6, "a", false), platformEvacuation(7, "a", true)},
		} {
			state := active
			state.FoldedThrough = records[0].Offset - 1
			for _, record := range records {
				state, _ = Fold(state, record)
			}
			So(Evacuated(state.Config), ShouldResemble, []string{"a"})
			So(Evacuated(state.merge(active).Config), ShouldResemble, []string{"a"})
		}
	})
}

// Guards against nodes that disagree for good about evacuations after reading one log in
// different ways: record by record, by the newest records, compacted or not, from peers.
func TestEvacuationsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		truth := map[string]bool{}
		newest := map[string]platformlog.Record{}
		states := make([]State, 3)
		for i := range states {
			states[i] = newestOf(2, replacementOf(1, 7))
		}
		position := int64(1)
		list := func() State {
			records := []platformlog.Record{replacementOf(1, 7)}
			for _, record := range newest {
				records = append(records, record)
			}
			slices.SortFunc(records, func(a, b platformlog.Record) int { return int(a.Offset - b.Offset) })
			return newestOf(position+1, records...)
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, len(states)-1).Draw(t, "node")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0: // a change, which the nodes at the end fold
				position++
				name := rapid.SampledFrom(names).Draw(t, "name")
				truth[name] = rapid.Bool().Draw(t, "evacuate")
				record := platformEvacuation(position, name, truth[name])
				newest[name] = record
				if !truth[name] && rapid.Bool().Draw(t, "compacted") {
					delete(newest, name)
				}
				for j := range states {
					if rapid.Bool().Draw(t, "folds") {
						states[j], _ = Fold(states[j], record)
					}
				}
			case 1:
				states[i] = states[i].merge(list())
			case 2:
				states[i] = states[i].merge(states[rapid.IntRange(0, len(states)-1).Draw(t, "peer")])
			case 3: // it restarts
				states[i] = list()
			}
		}
		for i := range states {
			merged := states[i].merge(list())
			for _, name := range names {
				if slices.Contains(Evacuated(merged.Config), name) != truth[name] {
					t.Fatalf("node %d: %s evacuated is not %v: %v", i, name, truth[name], merged.Config.GetEvacuations())
				}
			}
			if _, err := StateFromSnapshot(merged.Snapshot()); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// Guards against nodes that go on disagreeing after the log came back from older copies,
// whatever each of them read before and after, and against ones that ignore what the new
// history says.
func TestEvacuationsConvergeAcrossEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		newest := map[string]platformlog.Record{}
		copies := []map[string]platformlog.Record{{}}
		era, number := int64(0), int64(1)
		position := func() int64 { return platformlog.OffsetInEra(era, number) }
		list := func() State {
			records := []platformlog.Record{replacementOf(platformlog.OffsetInEra(era, 1), 7)}
			for _, record := range newest {
				records = append(records, record)
			}
			slices.SortFunc(records, func(a, b platformlog.Record) int { return cmp.Compare(a.Offset, b.Offset) })
			return newestOf(position()+1, records...)
		}
		states := []State{list(), list(), list()}
		// active has the last word of the log on each data centre, whatever copies lost.
		// Node 0 reads the log before each restore and never restarts, so that it has
		// every active evacuation.
		active := map[string]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, len(states)-1).Draw(t, "node")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				number++
				name, evacuate := rapid.SampledFrom(names).Draw(t, "name"), rapid.Bool().Draw(t, "evacuate")
				newest[name] = platformEvacuation(position(), name, evacuate)
				active[name] = evacuate
				if !evacuate && rapid.Bool().Draw(t, "compacted") {
					delete(newest, name)
				}
				for j := range states {
					if rapid.Bool().Draw(t, "folds") {
						states[j], _ = Fold(states[j], platformEvacuation(position(), name, evacuate))
					}
				}
				copies = append(copies, maps.Clone(newest))
			case 1:
				states[i] = states[i].merge(list())
			case 2:
				states[i] = states[i].merge(states[rapid.IntRange(0, len(states)-1).Draw(t, "peer")])
			case 3:
				if i > 0 {
					states[i] = list()
				}
			case 4: // the log comes back from a copy; offsets of its records are of the new era
				states[0] = states[0].merge(list())
				era++
				newest = map[string]platformlog.Record{}
				for name, record := range rapid.SampledFrom(copies).Draw(t, "copy") {
					message, _ := decode(record)
					offset := platformlog.OffsetInEra(era, platformlog.NumberInEra(record.Offset))
					newest[name] = platformEvacuation(offset, name, message.GetEvacuate().GetEvacuate())
					active[name] = message.GetEvacuate().GetEvacuate()
				}
			}
		}
		for i := range states {
			states[i] = states[i].merge(list())
		}
		for range states {
			for i := range states {
				for j := range states {
					states[i] = states[i].merge(states[j])
				}
			}
		}
		for i, state := range states {
			if hasOtherEvacuations(state.Digest(), states[0]) {
				t.Fatalf("node %d has %v, node 0 has %v", i, state.Config.GetEvacuations(), states[0].Config.GetEvacuations())
			}
			for name, isActive := range active {
				if isActive && !slices.Contains(Evacuated(state.Config), name) {
					t.Fatalf("node %d: the evacuation of %s ended without a record: %v", i, name, state.Config.GetEvacuations())
				}
			}
			for name, record := range newest {
				message, _ := decode(record)
				if slices.Contains(Evacuated(state.Config), name) != message.GetEvacuate().GetEvacuate() {
					t.Fatalf("node %d: %s has %v, the log has %v", i, name, state.Config.GetEvacuations(), message)
				}
			}
		}
	})
}

// keyedLog is a keyed log with fixed newest records, which can't be read otherwise.
type keyedLog struct {
	platformlog.Log
	records []platformlog.Record
	bounds  platformlog.Bounds
}

// Newest implements platformlog.KeyedLog.
func (l keyedLog) Newest(context.Context, string) ([]platformlog.Record, platformlog.Bounds, error) {
	return l.records, l.bounds, nil
}

// Guards against a node that starts after a restored copy and never hears of the
// evacuation that the copy lost, because it is at the same position as its peers.
func TestPullOfLostEvacuations(t *testing.T) {
	Convey("Given two nodes at the end of a restored log, one of which knows an evacuation that the copy lost", t, func() {
		restored := keyedLog{
			records: []platformlog.Record{replacementOf(later(1), 7)},
			bounds:  platformlog.Bounds{First: later(1), Next: later(2)},
		}
		start := func() *Follower {
			f := NewFollower(Options{Log: restored})
			_, err := f.adoptNewest(context.Background(), restored)
			So(err, ShouldBeNil)
			f.startServing()
			return f
		}
		old, fresh := start(), start()
		old.adopt(newestOf(6, replacementOf(1, 7), platformEvacuation(5, "a", true)), sourcePeer)
		So(old.State().FoldedThrough, ShouldEqual, fresh.State().FoldedThrough)
		So(Evacuated(fresh.Current()), ShouldBeEmpty)
		fresh.OnDigest("old", old.Digest())
		So(fresh.pullState.takeAhead(), ShouldEqual, "old")
		pull := func(from, into *Follower) {
			own, reply := into.State(), &pb.ConfigPullReply{}
			request := &pb.ConfigPull{From: own.FoldedThrough + 1, OperatorVersion: own.OperatorVersion(), Evacuations: evacuationsHash(own.Config)}
			So(NewRPC(from, nil).Pull(request, reply), ShouldBeNil)
			So(into.applyReply(reply), ShouldBeNil)
		}
		pull(old, fresh)
		So(Evacuated(fresh.Current()), ShouldResemble, []string{"a"})
		Convey("they agree, and neither pulls again", func() {
			old.OnDigest("fresh", fresh.Digest())
			fresh.OnDigest("old", old.Digest())
			So(old.pullState.takeAhead()+fresh.pullState.takeAhead(), ShouldEqual, "")
			So(old.Status().GetDivergences()+fresh.Status().GetDivergences(), ShouldEqual, 0)
		})
	})
}

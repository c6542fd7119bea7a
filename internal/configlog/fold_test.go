package configlog

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/apikey"
	"github.com/egretfield/egretfield/internal/config"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
)

const (
	conflict = pb.ErrorKind_ERROR_KIND_CONFLICT
	notFound = pb.ErrorKind_ERROR_KIND_NOT_FOUND
	badInput = pb.ErrorKind_ERROR_KIND_BAD_REQUEST
	invalid  = pb.ErrorKind_ERROR_KIND_INVALID_CONFIG
)

func last(state State) *pb.AuditEntry {
	trail := state.Config.GetAudit()
	return trail[len(trail)-1]
}

func TestFoldAccepts(t *testing.T) {
	Convey("The first publish puts the default preset in force", t, func() {
		state := foldAll(publishOf(0, testConfig(1)))
		So(state.Version(), ShouldEqual, 1)
		So(state.Config.GetPreset(), ShouldEqual, "ordinary")
		So(last(state).GetAccepted(), ShouldBeTrue)
	})
	Convey("A publish keeps the preset in force unless it names another", t, func() {
		state := foldAll(publishOf(0, testConfig(1)), presetOf(1, "peak"), publishOf(2, testConfig(2)))
		So(state.Config.GetPreset(), ShouldEqual, "peak")
		named := publishOf(3, testConfig(3))
		named.GetPublish().Preset = "ordinary"
		state, _ = Fold(state, at(4, named))
		So(state.Config.GetPreset(), ShouldEqual, "ordinary")
		So(state.Config.GetConfig().GetMaxCallDepth(), ShouldEqual, 3)
	})
	Convey("An audit entry lists each change with the values before and after it", t, func() {
		state := foldAll(publishOf(0, testConfig(1)), publishOf(1, testConfig(2)))
		So(fmt.Sprint(last(state).GetChanges()), ShouldEqual, fmt.Sprint([]*pb.Change{
			{Path: "config.max_call_depth", Before: "1", After: "2"},
		}))
		state, entry := Fold(state, at(3, presetOf(2, "peak")))
		So(entry.GetChanges()[0].GetPath(), ShouldEqual, "preset")
		So(entry.GetChanges()[0].GetBefore(), ShouldEqual, "ordinary")
		So(last(state).GetLogTimeUnixMs(), ShouldEqual, 3000)
	})
	Convey("Drains of different instances conflict neither with each other nor with a publish", t, func() {
		state := foldAll(publishOf(0, testConfig(1)), drainOf(1, "b", true), drainOf(1, "a", true), publishOf(1, testConfig(2)))
		So(state.Version(), ShouldEqual, 4)
		So(state.Config.GetDraining(), ShouldResemble, []string{"a", "b"})
		state, _ = Fold(state, at(5, drainOf(4, "a", false)))
		So(state.Config.GetDraining(), ShouldResemble, []string{"b"})
		So(state.Version(), ShouldEqual, 4)
		So(state.Config.GetApplied(), ShouldEqual, 5)
	})
}

func TestFoldRefuses(t *testing.T) {
	base := []*pb.ConfigRecord{publishOf(0, testConfig(1)), presetOf(1, "peak"), drainOf(2, "a", true)}
	withoutPeak := testConfig(5, "ordinary")
	broken := testConfig(6)
	broken.DefaultPreset = "none"
	for _, test := range []struct {
		name   string
		record *pb.ConfigRecord
		kind   pb.ErrorKind
		winner int64
	}{
		{"a publish on an old version", publishOf(1, testConfig(4)), conflict, 2},
		{"a preset switch on an old version", presetOf(1, "ordinary"), conflict, 2},
		{"a publish whose base is not a version", publishOf(3, testConfig(4)), conflict, 2},
		{"a publish on version 0 after the first", publishOf(0, testConfig(4)), conflict, 2},
		{"a drain after a later drain of the same instance", drainOf(2, "a", false), conflict, 3},
		{"an invalid configuration", publishOf(2, broken), invalid, 0},
		{"a configuration without the preset in force", publishOf(2, withoutPeak), invalid, 0},
		{"an unknown preset", presetOf(2, "night"), notFound, 0},
		{"a drain without an instance", drainOf(3, "", true), badInput, 0},
		{"a record without a change", &pb.ConfigRecord{Id: "x"}, badInput, 0},
	} {
		Convey("Refused: "+test.name, t, func() {
			before := foldAll(base...)
			state, entry := Fold(before, at(4, test.record))
			So(entry.GetAccepted(), ShouldBeFalse)
			So(entry.GetRefusal(), ShouldEqual, test.kind)
			So(entry.GetWinner(), ShouldEqual, test.winner)
			So(state.Version(), ShouldEqual, before.Version())
			So(state.Config.GetPreset(), ShouldEqual, "peak")
			So(state.Config.GetDraining(), ShouldResemble, []string{"a"})
			So(state.FoldedThrough, ShouldEqual, 4)
		})
	}
	Convey("A conflict names the operator of the winning change", t, func() {
		state := foldAll(publishOf(0, testConfig(1)), presetOf(1, "peak"), publishOf(1, testConfig(2)))
		So(last(state).GetWinnerOperator(), ShouldEqual, "bob")
		So(last(state).GetSummary(), ShouldEndWith, "based on version 1, but version 2 by bob came first")
	})
	Convey("Only a publish is accepted before the first version", t, func() {
		state := foldAll(presetOf(0, "peak"), drainOf(0, "a", true))
		So(state.Version(), ShouldEqual, 0)
		So(last(state).GetRefusal(), ShouldEqual, notFound)
	})
	Convey("A malformed record is refused and the fold goes on", t, func() {
		state, entry := Fold(Empty(), platformlog.Record{Offset: 1, Data: []byte{0xff}})
		So(entry.GetRefusal(), ShouldEqual, badInput)
		state, _ = Fold(state, at(2, publishOf(0, testConfig(1))))
		So(state.Version(), ShouldEqual, 2)
	})
}

func TestFoldIgnores(t *testing.T) {
	first := publishOf(0, testConfig(1))
	Convey("The second copy of a record changes only the offset folded", t, func() {
		state := foldAll(first, first)
		So(len(state.Config.GetAudit()), ShouldEqual, 1)
		So(state.FoldedThrough, ShouldEqual, 2)
		refused := presetOf(1, "night")
		state = foldAll(first, refused, refused)
		So(len(state.Config.GetAudit()), ShouldEqual, 2)
	})
	Convey("Records out of order change nothing", t, func() {
		state := foldAll(first)
		for _, offset := range []int64{0, 1, 3} {
			after, entry := Fold(state, at(offset, publishOf(1, testConfig(2))))
			So(entry, ShouldBeNil)
			So(statesEqual(after, state), ShouldBeTrue)
		}
	})
	Convey("A snapshot record doesn't change the state of a fold that has reached it", t, func() {
		state := foldAll(first)
		other := foldAll(publishOf(0, testConfig(9)))
		after, entry := Fold(state, at(2, snapshotRecord(other.Snapshot())))
		So(entry, ShouldBeNil)
		So(after.Config, ShouldEqual, state.Config)
	})
}

// TestManyOrganisations guards against a configuration of 10,000 organisations that doesn't
// fit into a record or whose decoding takes a large part of the 3 s in which it must be in
// force.
func TestManyOrganisations(t *testing.T) {
	Convey("10,000 organisations fit into a record and are decoded and looked up quickly", t, func() {
		large := testConfig(1)
		random := rand.New(rand.NewPCG(1, 1))
		var keys []string
		for i := range 10_000 {
			key := fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64())
			keys = append(keys, key)
			large.Organisations = append(large.Organisations, &pb.Organisation{
				Name: fmt.Sprintf("organisation-%05d", i), ApiKeys: []string{key},
				RatePerS: 10, Burst: 10, AllowedRegions: []string{"west"},
			})
		}
		data, err := proto.Marshal(publishOf(0, large))
		So(err, ShouldBeNil)
		So(len(data), ShouldBeBetween, 600<<10, config.MaxEncodedBytes)

		began := time.Now()
		state, _ := Fold(Empty(), platformlog.Record{Offset: 1, Time: began, Data: data})
		folded := time.Since(began)
		So(state.Config.GetVersion(), ShouldEqual, 1)
		table := apikey.NewTable(state.Config)
		decoded := time.Since(began)
		began = time.Now()
		for i, key := range keys {
			index, known := table.Owner(apikey.IDOf(key))
			if !known || index != i {
				t.Fatal("wrong owner")
			}
		}
		lookup := time.Since(began) / time.Duration(len(keys))
		reply := &pb.ConfigPullReply{Records: []*pb.StreamRecord{{Offset: 1, Data: data}}, Chain: 3}
		began = time.Now()
		So(compressReply(reply), ShouldBeNil)
		compressed := time.Since(began)
		So(len(reply.Gzip), ShouldBeBetween, 1, len(data)/2)
		So(reply.Records, ShouldBeEmpty)
		t.Logf("%d bytes, %d compressed in %s; folded in %s, with the table of keys %s; %s a lookup", len(data), len(reply.Gzip), compressed, folded, decoded, lookup)
		inner, err := decompressReply(reply)
		So(err, ShouldBeNil)
		So(inner.Records[0].Data, ShouldResemble, data)
		So(inner.Chain, ShouldEqual, 3)
		// About 20 times what they take on a busy machine without the race detector.
		So(decoded, ShouldBeLessThan, 2*time.Second)
		So(lookup, ShouldBeLessThan, 20*time.Microsecond)
		So(proto.Size(snapshotRecord(state.Snapshot())), ShouldBeLessThan, platformlog.MaxRecordBytes)
	})
}

// TestCompressedPull guards against a reply that an older build can't read, and against one
// that takes any amount of memory.
func TestCompressedPull(t *testing.T) {
	Convey("Small replies stay as they are, and damaged or too large ones are errors", t, func() {
		small := &pb.ConfigPullReply{Chain: 3}
		So(compressReply(small), ShouldBeNil)
		So(small.Chain, ShouldEqual, 3)
		same, err := decompressReply(small)
		So(err, ShouldBeNil)
		So(same, ShouldEqual, small)
		large := &pb.ConfigPullReply{Records: []*pb.StreamRecord{{Data: make([]byte, maxPullReplyBytes)}}}
		So(compressReply(large), ShouldBeNil)
		_, err = decompressReply(large)
		So(err, ShouldNotBeNil)
		_, err = decompressReply(&pb.ConfigPullReply{Gzip: []byte("damaged")})
		So(err, ShouldNotBeNil)
	})
	Convey("Only a node that asks for it gets a compressed reply", t, func() {
		config := testConfig(1)
		for i := range 1000 {
			config.Organisations = append(config.Organisations, &pb.Organisation{Name: fmt.Sprintf("organisation-%05d", i)})
		}
		f := &Follower{folded: foldAll(publishOf(0, config))}
		for _, accepts := range []bool{false, true} {
			reply := &pb.ConfigPullReply{}
			So(NewRPC(f, nil).Pull(&pb.ConfigPull{From: 1, AcceptsGzip: accepts}, reply), ShouldBeNil)
			So(len(reply.Gzip) > 0, ShouldEqual, accepts)
			So(reply.Snapshot == nil, ShouldEqual, accepts)
		}
	})
}

func TestFoldBounds(t *testing.T) {
	Convey("The audit trail and the drains are limited so that a snapshot fits into a record", t, func() {
		state := foldAll(publishOf(0, testConfig(1)))
		for offset := int64(2); offset < 1200; offset++ {
			record := drainOf(offset-1, fmt.Sprintf("i%d-%s", offset, strings.Repeat("x", 100)), true)
			record.Reason = strings.Repeat("é", 5000)
			record.Operator = strings.Repeat("o", 5000)
			state, _ = Fold(state, at(offset, record))
		}
		So(len(state.Config.GetAudit()), ShouldBeLessThanOrEqualTo, maxAuditEntries)
		So(len(state.Config.GetDrainMarks()), ShouldEqual, maxDrainMarks)
		So(proto.Size(snapshotRecord(state.Snapshot())), ShouldBeLessThan, platformlog.MaxRecordBytes-config.MaxEncodedBytes)
		_, err := StateFromSnapshot(state.Snapshot())
		So(err, ShouldBeNil)
	})
	Convey("The audit entry of a large publish lists a limited number of changes and counts the others", t, func() {
		config := testConfig(1)
		for i := range 100 {
			config.Services = append(config.Services, &pb.Service{Name: fmt.Sprintf("s%d", i)})
		}
		entry := last(foldAll(publishOf(0, config)))
		So(len(entry.GetChanges()), ShouldEqual, maxChanges)
		So(entry.GetChangesOmitted(), ShouldBeGreaterThan, 60)
	})
}

func TestStartFrom(t *testing.T) {
	state := foldAll(publishOf(0, testConfig(1)), presetOf(1, "peak"))
	edited := func(edit func(*pb.ConfigSnapshot)) *pb.ConfigSnapshot {
		snapshot := proto.CloneOf(state.Snapshot())
		edit(snapshot)
		return snapshot
	}
	for _, test := range []struct {
		name     string
		snapshot *pb.ConfigSnapshot
		first    int64
		ok       bool
	}{
		{"consistent", state.Snapshot(), 3, true},
		{"records after it trimmed", state.Snapshot(), 4, false},
		{"folded through its own offset", edited(func(s *pb.ConfigSnapshot) { s.FoldedThrough = 5 }), 3, false},
		{"no configuration", edited(func(s *pb.ConfigSnapshot) { s.State.Version = 0 }), 3, false},
		{"version beyond the offset folded", edited(func(s *pb.ConfigSnapshot) { s.State.Version = 3; s.State.Applied = 3 }), 3, false},
		{"unknown preset", edited(func(s *pb.ConfigSnapshot) { s.State.Preset = "night" }), 3, false},
		{"invalid configuration", edited(func(s *pb.ConfigSnapshot) { s.State.Config.Services = nil }), 3, false},
		{"drained instance without a drain mark", edited(func(s *pb.ConfigSnapshot) { s.State.Draining = []string{"a"} }), 3, false},
		{"audit trail out of order", edited(func(s *pb.ConfigSnapshot) { s.State.Audit[0].Offset = 7 }), 3, false},
		{"empty", &pb.ConfigSnapshot{}, 3, false},
	} {
		Convey("A fold starts only from a consistent snapshot with every later record kept: "+test.name, t, func() {
			_, ok := stateFromSnapshotRecord(at(5, snapshotRecord(test.snapshot)), test.first)
			So(ok, ShouldEqual, test.ok)
		})
	}
}

func FuzzFold(f *testing.F) {
	for _, record := range []*pb.ConfigRecord{publishOf(1, testConfig(2)), presetOf(1, "peak"), drainOf(1, "a", true)} {
		data, _ := proto.Marshal(record)
		f.Add(data)
	}
	state := foldAll(publishOf(0, testConfig(1)))
	data, _ := proto.Marshal(snapshotRecord(state.Snapshot()))
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		record := platformlog.Record{Offset: 2, Data: data}
		next, entry := Fold(state, record)
		again, _ := Fold(state, record)
		if next.Chain != again.Chain || next.FoldedThrough != 2 || next.Version() < state.Version() {
			t.Fatalf("state %v after entry %v", next, entry)
		}
		if _, err := StateFromSnapshot(next.Snapshot()); err != nil {
			t.Fatalf("snapshot of a folded state: %v", err)
		}
		_, _ = stateFromSnapshotRecord(record, 2)
	})
}

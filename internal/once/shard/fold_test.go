package shard

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
)

var start = time.UnixMilli(1_000_000)

// stream holds the records of a test.
type stream struct{ records []platformlog.Record }

func (s *stream) add(record *pb.KeeperRecord) {
	data, _ := proto.Marshal(record)
	offset := int64(len(s.records) + 1)
	s.records = append(s.records, platformlog.Record{Offset: offset, Time: start.Add(time.Duration(offset) * time.Second), Data: data})
}

// fold applies the records from offset first on to a new state.
func (s *stream) fold(first Offset) *State {
	state := NewState(first)
	for {
		next := state.Folded() + 1
		if next > int64(len(s.records)) {
			return state
		}
		state.Apply(s.records[next-1])
	}
}

func takeover(session, previous, begin, end uint64) *pb.KeeperRecord {
	return &pb.KeeperRecord{Change: &pb.KeeperRecord_Takeover{Takeover: &pb.KeeperTakeover{
		Session: &pb.KeeperSession{Id: session, Instance: "n"},
		Claims:  []*pb.KeeperClaim{{Shard: 3, PreviousEndMs: previous, BeginMs: begin}},
		EndMs:   end,
	}}}
}

func renewal(session, end uint64) *pb.KeeperRecord {
	return &pb.KeeperRecord{Change: &pb.KeeperRecord_Renewal{Renewal: &pb.KeeperRenewal{Session: session, EndMs: end}}}
}

func handover(from, to, transfer, begin, oldTransfer uint64) *pb.KeeperRecord {
	return &pb.KeeperRecord{Change: &pb.KeeperRecord_Handover{Handover: &pb.KeeperHandover{
		From: from, To: &pb.KeeperSession{Id: to}, Transfer: transfer,
		Intervals: []*pb.KeeperInterval{{Shard: 3, BeginMs: begin, Transfer: oldTransfer}},
	}}}
}

func reset(first int64, floor uint64) *pb.KeeperRecord {
	return &pb.KeeperRecord{Change: &pb.KeeperRecord_Reset_{Reset_: &pb.KeeperReset{First: first, FloorMs: floor}}}
}

func snapshot(state *State) *pb.KeeperRecord {
	return &pb.KeeperRecord{Change: &pb.KeeperRecord_Snapshot{Snapshot: state.Snapshot()}}
}

func TestFold(t *testing.T) {
	Convey("Given a shard kept by session 1 until 2000", t, func() {
		s := &stream{}
		s.add(takeover(1, 0, 1000, 2000))

		Convey("a takeover that names an outdated end is void, and so is a duplicated takeover", func() {
			s.add(renewal(1, 3000))
			s.add(takeover(2, 2000, 2000, 4000))
			So(s.fold(1).Current(3), ShouldResemble, Interval{Begin: 1000, End: 3000, Owner: 1})
			s.add(takeover(2, 3000, 3000, 4000))
			s.add(takeover(3, 4000, 4000, 5000))
			s.add(takeover(2, 3000, 3000, 4000))
			So(s.fold(1).Current(3), ShouldResemble, Interval{Begin: 4000, End: 5000, Owner: 3})
		})
		Convey("a renewal by the old keeper after a takeover is void, and the old timestamps keep their keeper", func() {
			s.add(takeover(2, 2000, 2000, 3000))
			s.add(renewal(1, 9000))
			state := s.fold(1)
			old, ok := state.Find(3, 1500)
			So(ok, ShouldBeTrue)
			So(old, ShouldResemble, Interval{Begin: 1000, End: 2000, Owner: 1})
			So(state.Current(3).End, ShouldEqual, 3000)
		})
		Convey("a handover keeps the interval's limits and takes effect once", func() {
			s.add(renewal(1, 2500))
			s.add(handover(1, 2, 77, 1000, 0))
			s.add(handover(1, 4, 78, 1000, 0))
			So(s.fold(1).Current(3), ShouldResemble, Interval{Begin: 1000, End: 2500, Owner: 2, Transfer: 77})
		})
		Convey("an end too far past the append time is void", func() {
			far := uint64(start.Add(2 * MaxLead).UnixMilli())
			s.add(renewal(1, far))
			s.add(takeover(2, 2000, 2000, far))
			So(s.fold(1).Current(3).End, ShouldEqual, 2000)
		})
		Convey("a reader that starts right after a snapshot's state gets the same intervals, and a later one no state", func() {
			full := s.fold(1)
			s.add(renewal(1, 2200))
			s.add(snapshot(full))
			s.add(takeover(2, 2200, 2200, 4000))
			late := s.fold(2)
			So(late.Known(), ShouldBeTrue)
			So(late.Snapshot(), ShouldResemble, s.fold(1).Snapshot())
			So(s.fold(3).Known(), ShouldBeFalse)
		})
		Convey("a reset is void for all readers if its writer could start from a snapshot", func() {
			s.add(snapshot(s.fold(1)))
			s.add(reset(2, 1))
			So(s.fold(1).Current(3).Owner, ShouldEqual, 1)
			So(s.fold(2).Current(3).Owner, ShouldEqual, 1)
		})
		Convey("a reset without a snapshot takes effect for all readers, at its own append time", func() {
			s.add(reset(2, 1))
			floor := uint64(s.records[1].Time.UnixMilli())
			for _, first := range []Offset{1, 2} {
				So(s.fold(first).Current(3), ShouldResemble, Interval{Begin: floor, End: floor})
			}
		})
		Convey("a reset below an end in force is void and requests a snapshot", func() {
			ahead := uint64(start.Add(time.Minute).UnixMilli())
			s.add(renewal(1, ahead))
			s.add(reset(2, 1))
			state := s.fold(1)
			So(state.Current(3).End, ShouldEqual, ahead)
			So(state.ResetRefused(), ShouldBeTrue)
			So(s.fold(2).Known(), ShouldBeFalse)
		})
	})
}

func TestKey(t *testing.T) {
	Convey("Only a UUIDv7 in canonical form is a key", t, func() {
		key, err := ParseKey("s", "0193a4f5-7b6c-7abc-8def-0123456789ab")
		So(err, ShouldBeNil)
		So(key.Timestamp(), ShouldEqual, uint64(0x0193a4f57b6c))
		for _, bad := range []string{
			"", "order-17", "0193a4f5-7b6c-4abc-8def-0123456789ab", "0193a4f5-7b6c-7abc-0def-0123456789ab",
			"{0193a4f5-7b6c-7abc-8def-0123456789ab}", "0193a4f57b6c7abc8def0123456789ab",
		} {
			_, err := ParseKey("s", bad)
			So(err, ShouldEqual, ErrInvalidKey)
		}
	})
}

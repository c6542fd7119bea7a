package shard

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/pb"
)

func witness(session, epoch, by, made uint64) *pb.KeeperRecord {
	return &pb.KeeperRecord{Change: &pb.KeeperRecord_Witness{Witness: &pb.KeeperWitness{
		Session: session, Epoch: epoch, Witness: &pb.KeeperSession{Id: by, Instance: "w"}, MadeMs: made,
	}}}
}

func fence(session, epoch, end uint64) *pb.KeeperRecord {
	return &pb.KeeperRecord{Change: &pb.KeeperRecord_Fence{Fence: &pb.KeeperFence{Session: session, Epoch: epoch, EndMs: end}}}
}

func TestFence(t *testing.T) {
	Convey("Given a shard kept by session 1 until 5000, with witness 7", t, func() {
		s := &stream{}
		s.add(takeover(1, 0, 1000, 5000))
		s.add(witness(1, 1, 7, 1_000_000))

		Convey("a fence ends the interval, and no renewal extends it", func() {
			s.add(fence(1, 1, 2000))
			s.add(renewal(1, 9000))
			state := s.fold(1)
			So(state.Current(3), ShouldResemble, Interval{Begin: 2000, End: 2000})
			past, _ := state.Find(3, 1999)
			So(past.Owner, ShouldEqual, 1)
			So(state.IsLost(3, 1999), ShouldBeTrue)
			So(state.IsLost(3, 2000), ShouldBeFalse)
			So(state.Witnessing(1), ShouldResemble, Witnessing{Epoch: 1, Fenced: 3, changed: s.records[2].Time})
		})
		Convey("a fence leaves the interval at least one timestamp, so that a duplicated takeover stays void", func() {
			s.add(takeover(2, 5000, 5000, 9000))
			s.add(witness(2, 1, 7, 1_000_000))
			s.add(fence(2, 1, 0))
			s.add(takeover(2, 5000, 5000, 9000))
			So(s.fold(1).Current(3), ShouldResemble, Interval{Begin: 5001, End: 5001})
		})
		Convey("a fence by an earlier witness is void", func() {
			s.add(witness(1, 2, 8, 1_000_000))
			s.add(fence(1, 1, 2000))
			So(s.fold(1).Current(3).End, ShouldEqual, 5000)
		})
		Convey("a duplicated Witness record doesn't restore an earlier witness", func() {
			s.add(witness(1, 2, 8, 1_000_000))
			s.add(witness(1, 1, 7, 1_000_000))
			s.add(fence(1, 1, 2000))
			So(s.fold(1).Current(3).End, ShouldEqual, 5000)
		})
		Convey("a duplicated Witness record doesn't restore a witness that has fenced the session", func() {
			s.add(fence(1, 1, 2000))
			s.add(takeover(1, 2000, 2000, 9000))
			s.add(witness(1, 1, 7, 1_000_000))
			s.add(fence(1, 1, 3000))
			So(s.fold(1).Current(3).End, ShouldEqual, 9000)
		})
		Convey("a Witness record made before a reset, or long ago, is void", func() {
			s.add(reset(1, 1_100_000))
			s.add(witness(1, 2, 8, 1_050_000))
			So(s.fold(1).Witnessing(1).Witness, ShouldEqual, 0)
			late := &stream{records: s.records[:2:2]}
			late.add(witness(1, 2, 8, 1_000_000))
			late.records[2].Time = start.Add(MaxLead + time.Second)
			So(late.fold(1).Witnessing(1).Witness, ShouldEqual, 7)
		})
		Convey("a snapshot contains the witness, and its epoch for as long as records may be late", func() {
			s.add(snapshot(s.fold(1)))
			loaded := s.fold(3)
			So(loaded.Witnessing(1), ShouldResemble, s.fold(1).Witnessing(1))
			_, known := loaded.Session(7)
			So(known, ShouldBeTrue)

			s.add(fence(1, 1, 2000))
			s.add(snapshot(s.fold(1)))
			So(s.fold(1).Witnessing(1).Epoch, ShouldEqual, 1)
			s.add(snapshot(s.fold(1)))
			s.records[5].Time = start.Add(witnessRetention + time.Minute)
			So(s.fold(1).Witnessing(1).Epoch, ShouldEqual, 0)
		})
	})
}

package keeper

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/once/shard"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/standin/virtualtime"
)

const (
	yes = pb.RunState_RUN_STATE_YES
	no  = pb.RunState_RUN_STATE_NO
)

func keyAt(timestamp, unique uint64) shard.Key {
	value := fmt.Sprintf("%08x-%04x-7000-8000-%012x", timestamp>>16, timestamp&0xffff, unique)
	key, _ := shard.ParseKey("orders", value)
	return key
}

func request(key shard.Key, grant byte) Request {
	return Request{Key: key, Fingerprint: 1, Grant: GrantID{grant}, Hold: time.Minute}
}

func newTable(keys, bytes int64, maxAhead time.Duration) *Table {
	limits := &Limits{MaxAhead: maxAhead}
	limits.Keys.Store(keys)
	limits.Bytes.Store(bytes)
	return NewTable(1, shard.Interval{Begin: 100, End: 1 << 46}, 0, limits)
}

func TestTable(t *testing.T) {
	ctx := context.Background()
	Convey("Given a table", t, func() {
		table := newTable(100, 1<<20, 0)
		key := keyAt(1000, 1)
		So(table.Begin(ctx, request(key, 1)).Verdict, ShouldEqual, granted)

		Convey("the holder of the grant is granted again, another request is not", func() {
			So(table.Begin(ctx, request(key, 1)).Verdict, ShouldEqual, granted)
			So(table.Begin(ctx, request(key, 2)).Kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_KEY_IN_PROGRESS)
		})
		Convey("a late or duplicated Finish of a freed grant changes nothing", func() {
			table.Finish(key, GrantID{1}, no, nil)
			So(table.Begin(ctx, request(key, 1)).Kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN)
			So(table.Begin(ctx, request(key, 2)).Verdict, ShouldEqual, granted)
			table.Finish(key, GrantID{1}, no, nil)
			table.Finish(key, GrantID{1}, yes, nil)
			So(table.Begin(ctx, request(key, 3)).Kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_KEY_IN_PROGRESS)
		})
		Convey("a Begin that arrives after its cancellation gets no grant", func() {
			other := keyAt(1000, 2)
			table.Finish(other, GrantID{7}, no, nil)
			So(table.Begin(ctx, request(other, 7)).Verdict, ShouldEqual, refused)
			So(table.Begin(ctx, request(other, 8)).Verdict, ShouldEqual, granted)
		})
		Convey("resends of a key whose answer was too large to keep are refused as unknown, never run again", func() {
			table.Finish(key, GrantID{1}, yes, &pb.StoredAnswer{Body: make([]byte, MaxAnswerBytes+1)})
			So(table.Begin(ctx, request(key, 2)).Kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN)
		})
		Convey("once sealed, it grants nothing, and the restored table holds its keys", func() {
			table.Finish(key, GrantID{1}, yes, &pb.StoredAnswer{Status: 201})
			restored, err := Restore(table.Seal("n2"), 9, table.limits)
			So(err, ShouldBeNil)
			So(table.Begin(ctx, request(keyAt(2000, 3), 4)).MovedTo, ShouldEqual, "n2")
			So(restored.Begin(ctx, request(key, 2)).Verdict, ShouldEqual, replay)
			So(restored.IntervalID.Transfer, ShouldEqual, 9)
		})
	})
	Convey("A full table evicts the oldest keys and refuses all timestamps below its floor", t, func() {
		table := newTable(10, 1<<20, 0)
		for i := range uint64(50) {
			So(table.Begin(ctx, request(keyAt(1000+i, i), 1)).Verdict, ShouldEqual, granted)
			So(table.Stats().Keys, ShouldBeLessThanOrEqualTo, 10)
		}
		So(table.Begin(ctx, request(keyAt(1000, 0), 2)).Kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_KEY_TOO_OLD)
		So(table.Begin(ctx, request(keyAt(1030, 99), 2)).Kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_KEY_TOO_OLD)
	})
	Convey("A sealed table fits in a control call, and the keys it dropped are below its floor", t, func() {
		table := newTable(1000, 8<<20, 0)
		for i := range uint64(300) {
			key := keyAt(1000+i, i)
			table.Begin(ctx, request(key, 1))
			table.Finish(key, GrantID{1}, yes, &pb.StoredAnswer{Body: make([]byte, 8<<10)})
		}
		sealed := table.Seal("n2")
		So(proto.Size(sealed), ShouldBeLessThanOrEqualTo, MaxSealedBytes)
		restored, err := Restore(sealed, 9, table.limits)
		So(err, ShouldBeNil)
		So(restored.Begin(ctx, request(keyAt(1000, 0), 2)).Kind, ShouldEqual, pb.ErrorKind_ERROR_KIND_KEY_TOO_OLD)
		So(restored.Begin(ctx, request(keyAt(1299, 299), 2)).Verdict, ShouldEqual, replay)
	})
	Convey("Stored answers stay within the byte limit", t, func() {
		table := newTable(1000, 64<<10, 0)
		for i := range uint64(50) {
			key := keyAt(1000+i, i)
			table.Begin(ctx, request(key, 1))
			table.Finish(key, GrantID{1}, yes, &pb.StoredAnswer{Body: make([]byte, 8<<10)})
			So(table.Stats().Bytes, ShouldBeLessThanOrEqualTo, 64<<10)
		}
	})
}

func TestTimestampsTooFarAheadAreRefusedAsNotRun(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := newTable(10, 1<<20, 5*time.Second)
		now := uint64(time.Now().UnixMilli())
		if got := table.Begin(t.Context(), request(keyAt(now+6000, 1), 1)); got.Kind != pb.ErrorKind_ERROR_KIND_KEEPER_UNAVAILABLE {
			t.Errorf("6 s ahead: %+v", got)
		}
		if got := table.Begin(t.Context(), request(keyAt(now+4000, 2), 1)); got.Verdict != granted {
			t.Errorf("4 s ahead: %+v", got)
		}
	})
}

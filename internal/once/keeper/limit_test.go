package keeper

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/once/shard"
)

func TestGrantLimit(t *testing.T) {
	ctx := context.Background()
	Convey("Given a table whose session is limited to timestamps below 2000", t, func() {
		table := newTable(100, 1<<20, 0)
		limit := &table.limits.Grant
		So(limit.Set(2000), ShouldEqual, shard.Timestamp(2000))

		Convey("it grants only timestamps below the limit, until the limit is raised", func() {
			So(table.Begin(ctx, request(keyAt(1999, 1), 1)).Verdict, ShouldEqual, granted)
			So(table.Begin(ctx, request(keyAt(2000, 1), 1)).Verdict, ShouldEqual, notKeeper)
			limit.Raise(2001)
			So(table.Begin(ctx, request(keyAt(2000, 1), 1)).Verdict, ShouldEqual, granted)
			limit.Raise(1000)
			So(table.Begin(ctx, request(keyAt(2000, 2), 2)).Verdict, ShouldEqual, granted)
		})
		Convey("a key whose only Begin was cancelled isn't granted past the limit", func() {
			key := keyAt(2000, 1)
			table.Finish(key, GrantID{9}, no, nil)
			So(table.Begin(ctx, request(key, 1)).Verdict, ShouldEqual, notKeeper)
		})
		Convey("a sealed table hands over no timestamps past the limit", func() {
			So(table.Seal("n2").Interval.EndMs, ShouldEqual, 2000)
		})
		Convey("a limit that is set again is past all timestamps granted or reserved", func() {
			limit.Lift()
			table.Begin(ctx, request(keyAt(5000, 1), 1))
			So(limit.Set(2000), ShouldEqual, shard.Timestamp(5001))
			So(limit.Reserve(6000), ShouldBeFalse)
			limit.Lift()
			So(limit.Reserve(6000), ShouldBeTrue)
			So(limit.Set(2000), ShouldEqual, shard.Timestamp(6000))
		})
		Convey("a wait for a timestamp ends when the limit is raised past it", func() {
			allowed, changed := limit.Allows(2000)
			So(allowed, ShouldBeFalse)
			limit.Raise(2001)
			<-changed
			allowed, _ = limit.Allows(2000)
			So(allowed, ShouldBeTrue)
		})
	})
}

func TestGrantedEndIsPastAllGrantedTimestamps(t *testing.T) {
	Convey("Given a table that has evicted its oldest key", t, func() {
		table := newTable(1, 1<<20, 0)
		table.Begin(context.Background(), request(keyAt(1000, 1), 1))
		table.Begin(context.Background(), request(keyAt(3000, 1), 1))
		So(table.GrantedEnd(), ShouldEqual, shard.Timestamp(3001))

		Convey("GrantedEnd is the same in the restored table, even after that has evicted all keys", func() {
			restored, err := Restore(table.Seal("n2"), 5, table.limits)
			So(err, ShouldBeNil)
			So(restored.GrantedEnd(), ShouldEqual, shard.Timestamp(3001))
			restored.Begin(context.Background(), request(keyAt(2999, 2), 1))
			restored.shrink(0, 0)
			So(restored.GrantedEnd(), ShouldEqual, shard.Timestamp(3001))
		})
	})
}

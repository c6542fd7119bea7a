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

// Guards against answers replayed to another organisation, and keys granted twice where it
// isn't known to which organisation they belong.
func TestScopes(t *testing.T) {
	ctx := context.Background()
	scopeOf := func(organisation string) shard.Scope { return shard.ScopeOf(&organisation) }
	unscoped := keyAt(1000, 1)
	a, b := unscoped.In(scopeOf("a")), unscoped.In(scopeOf("b"))
	run := func(table *Table, key shard.Key, grant byte, body string) {
		So(table.Begin(ctx, request(key, grant)).Verdict, ShouldEqual, granted)
		table.Finish(key, GrantID{grant}, yes, &pb.StoredAnswer{Body: []byte(body), Organisation: key.Scope.Field()})
	}
	kindOf := func(table *Table, key shard.Key, grant byte) pb.ErrorKind {
		return table.Begin(ctx, request(key, grant)).Kind
	}
	const unknown, running = pb.ErrorKind_ERROR_KIND_OUTCOME_UNKNOWN, pb.ErrorKind_ERROR_KIND_KEY_IN_PROGRESS

	Convey("Organisations use the same key independently, also after handovers", t, func() {
		table := newTable(100, 1<<20, 0)
		run(table, a, 1, "a")
		So(table.Begin(ctx, Request{Key: b, Fingerprint: 2, Grant: GrantID{2}, Hold: time.Minute}).Verdict, ShouldEqual, granted)
		run(table, unscoped.In(scopeOf("")), 3, "none")
		restored, err := Restore(table.Seal("n2"), 9, table.limits)
		So(err, ShouldBeNil)
		So(string(restored.Begin(ctx, request(a, 4)).Answer.GetBody()), ShouldEqual, "a")
		So(restored.Begin(ctx, Request{Key: b, Fingerprint: 2, Grant: GrantID{5}}).Kind, ShouldEqual, running)
		So(restored.Finish(b, GrantID{2}, no, nil).Verdict, ShouldEqual, granted)
		So(restored.Peek(unscoped), ShouldResemble, []ScopeState{
			{scopeOf(""), pb.KeyState_KEY_STATE_DONE}, {scopeOf("a"), pb.KeyState_KEY_STATE_DONE}, {scopeOf("b"), pb.KeyState_KEY_STATE_FREE},
		})
	})
	Convey("A key of unknown organisation is granted and replayed to no organisation, and the reverse", t, func() {
		table := newTable(100, 1<<20, 0)
		So(table.Begin(ctx, request(unscoped, 1)).Verdict, ShouldEqual, granted)
		So(kindOf(table, a, 2), ShouldEqual, running)
		table.Finish(unscoped, GrantID{1}, yes, &pb.StoredAnswer{})
		So(kindOf(table, a, 2), ShouldEqual, unknown)
		other := keyAt(1000, 2)
		run(table, other.In(scopeOf("a")), 1, "a")
		So(kindOf(table, other, 2), ShouldEqual, unknown)
		Convey("but a key that was freed is granted", func() {
			freed := keyAt(1000, 3)
			So(table.Begin(ctx, request(freed, 1)).Verdict, ShouldEqual, granted)
			table.Finish(freed, GrantID{1}, no, nil)
			table.Finish(freed, GrantID{7}, no, nil) // cancels a Begin that arrives later
			So(kindOf(table, freed.In(scopeOf("a")), 7), ShouldEqual, unknown)
			So(table.Begin(ctx, request(freed.In(scopeOf("a")), 2)).Verdict, ShouldEqual, granted)
		})
	})
	// olderBuild returns what a node of a build without scopes hands over after it was
	// handed a table. It keeps fields that it doesn't know in messages that it stores whole,
	// such as answers, and one entry for each key.
	olderBuild := func(message *pb.KeeperTable) *pb.KeeperTable {
		for _, entry := range message.Entries {
			entry.Organisation, entry.ByOrganisation = nil, nil
		}
		return message
	}
	Convey("A handover through a node of an older build loses no grant", t, func() {
		table := newTable(100, 1<<20, 0)
		shared, held := unscoped, keyAt(1000, 2).In(scopeOf("a"))
		run(table, shared.In(scopeOf("a")), 1, "a")
		run(table, shared.In(scopeOf("b")), 2, "b")
		So(table.Begin(ctx, request(held, 3)).Verdict, ShouldEqual, granted)
		single := keyAt(1000, 4).In(scopeOf("a"))
		run(table, single, 4, "single")
		message := olderBuild(table.Seal("old"))
		So(message.Entries, ShouldHaveLength, 3)
		restored, err := Restore(message, 9, table.limits)
		So(err, ShouldBeNil)
		So(kindOf(restored, shared.In(scopeOf("a")), 5), ShouldEqual, unknown)
		So(kindOf(restored, shared, 5), ShouldEqual, unknown) // KEY_REUSED would say that it didn't run
		So(kindOf(restored, held.In(scopeOf("b")), 5), ShouldEqual, running)
		So(string(restored.Begin(ctx, request(single, 5)).Answer.GetBody()), ShouldEqual, "single")
		So(restored.Begin(ctx, request(single.In(scopeOf("b")), 6)).Verdict, ShouldEqual, granted)
		So(restored.Finish(held, GrantID{3}, yes, &pb.StoredAnswer{}).Verdict, ShouldEqual, granted)
		So(restored.Begin(ctx, request(held, 6)).Verdict, ShouldEqual, replay)
		So(restored.Begin(ctx, request(held.In(scopeOf("b")), 7)).Verdict, ShouldEqual, granted)
	})
}

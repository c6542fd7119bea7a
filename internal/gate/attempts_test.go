package gate

import (
	"flag"
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/wire"
)

// TestMain sets rapid's seed to 1 or to EGRET_RAPID_SEED; 0 takes a random one.
func TestMain(m *testing.M) {
	flag.Parse()
	seed := os.Getenv("EGRET_RAPID_SEED")
	if seed == "" {
		seed = "1"
	}
	_ = flag.Set("rapid.seed", seed)
	os.Exit(m.Run())
}

func TestAttempts(t *testing.T) {
	id := func(n uint64) wire.AttemptID {
		return wire.AttemptID{Origin: 7, Number: n * attemptShards, Incarnation: 3}
	}
	done := &pb.StoredAnswer{Status: 200, Body: []byte("x")}
	Convey("Given a limit of four attempts per shard", t, func() {
		a := newAttempts(3, 4*attemptShards, 0)
		Convey("an attempt queried before it arrives never runs", func() {
			state, _ := a.query(id(1))
			So(state, ShouldEqual, pb.AttemptState_ATTEMPT_STATE_NOT_RUN)
			So(a.begin(id(1)), ShouldEqual, pb.ErrorKind_ERROR_KIND_NOT_READY)
		})
		Convey("nor does it run once its record has been evicted", func() {
			a.query(id(1))
			for n := range uint64(9) {
				So(a.begin(id(n+2)), ShouldEqual, 0)
				a.end(id(n+2), pb.AttemptState_ATTEMPT_STATE_DONE, nil)
			}
			So(a.begin(id(1)), ShouldEqual, pb.ErrorKind_ERROR_KIND_NOT_READY)
		})
		Convey("an evicted attempt is unknown, not reported as not run", func() {
			for n := range uint64(9) {
				a.begin(id(n + 1))
				a.end(id(n+1), pb.AttemptState_ATTEMPT_STATE_DONE, nil)
			}
			state, _ := a.query(id(1))
			So(state, ShouldEqual, pb.AttemptState_ATTEMPT_STATE_UNKNOWN)
		})
		Convey("running attempts are kept beyond the limit", func() {
			for n := range uint64(9) {
				a.begin(id(n + 1))
			}
			state, _ := a.query(id(1))
			So(state, ShouldEqual, pb.AttemptState_ATTEMPT_STATE_RUNNING)
		})
		Convey("answers stay within the byte limit", func() {
			a = newAttempts(3, 0, 0)
			large := &pb.StoredAnswer{Body: make([]byte, wire.MaxStoredAnswerBytes)}
			for n := range uint64(100) {
				a.begin(id(n + 1))
				a.end(id(n+1), pb.AttemptState_ATTEMPT_STATE_DONE, large)
			}
			s, _ := a.shard(id(1))
			So(s.bytes, ShouldBeLessThanOrEqualTo, s.maxBytes)
			_, answer := a.query(id(100))
			So(answer, ShouldNotBeNil)
		})
		Convey("an attempt sent to the gate before its restart is unknown", func() {
			old := id(1)
			old.Incarnation = 2
			state, _ := a.query(old)
			So(state, ShouldEqual, pb.AttemptState_ATTEMPT_STATE_UNKNOWN)
		})
		Convey("a second delivery is unknown, not refused as not run", func() {
			a.begin(id(1))
			a.end(id(1), pb.AttemptState_ATTEMPT_STATE_DONE, done)
			So(a.begin(id(1)), ShouldEqual, pb.ErrorKind_ERROR_KIND_SERVER_FAILED)
			state, answer := a.query(id(1))
			So(state, ShouldEqual, pb.AttemptState_ATTEMPT_STATE_DONE)
			So(answer, ShouldEqual, done)
		})
		Convey("the number of floors is limited, and attempts of origins without one are unknown then", func() {
			a = newAttempts(3, attemptShards, 0)
			for origin := range uint64(2 * maxOrigins) {
				other := wire.AttemptID{Origin: origin + 100, Number: attemptShards, Incarnation: 3}
				a.begin(other)
				a.end(other, pb.AttemptState_ATTEMPT_STATE_DONE, nil)
			}
			s, _ := a.shard(id(1))
			So(len(s.floors), ShouldBeLessThanOrEqualTo, maxOrigins)
			state, _ := a.query(id(5))
			So(state, ShouldEqual, pb.AttemptState_ATTEMPT_STATE_UNKNOWN)
			So(a.begin(id(6)), ShouldEqual, 0)
		})
	})
}

// TestAttemptsNeverLie checks against a model that an attempt reported as not run
// never runs, before or after the report.
func TestAttemptsNeverLie(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newAttempts(1, 2*attemptShards, 0)
		ran := map[wire.AttemptID]bool{}
		reportedNotRun := map[wire.AttemptID]bool{}
		next := map[uint64]uint64{}
		var sent []wire.AttemptID
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				origin := rapid.Uint64Range(1, 3).Draw(t, "origin")
				next[origin]++
				sent = append(sent, wire.AttemptID{Origin: origin, Number: next[origin] * attemptShards, Incarnation: 1})
			},
			"arrive": func(t *rapid.T) {
				if len(sent) == 0 {
					t.Skip("none sent")
				}
				i := rapid.IntRange(0, len(sent)-1).Draw(t, "which")
				id := sent[i]
				sent = append(sent[:i], sent[i+1:]...)
				if a.begin(id) != 0 {
					return
				}
				ran[id] = true
				if reportedNotRun[id] {
					t.Fatalf("%v ran after it was reported as not run", id)
				}
				if rapid.Bool().Draw(t, "ends") {
					a.end(id, pb.AttemptState_ATTEMPT_STATE_DONE, nil)
				}
			},
			"query": func(t *rapid.T) {
				origin := rapid.Uint64Range(1, 3).Draw(t, "origin")
				number := rapid.Uint64Range(1, max(next[origin], 1)).Draw(t, "number")
				id := wire.AttemptID{Origin: origin, Number: number * attemptShards, Incarnation: 1}
				state, _ := a.query(id)
				if state != pb.AttemptState_ATTEMPT_STATE_NOT_RUN {
					return
				}
				reportedNotRun[id] = true
				if ran[id] {
					t.Fatalf("%v was reported as not run after it ran", id)
				}
			},
		})
	})
}

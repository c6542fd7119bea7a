package admission

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// refusedRequest returns a request whose caller has 1.5 s left, 0.4 s until its target.
func refusedRequest(class int, fingerprint uint64) Request {
	r := request(class, 100*time.Millisecond, 400*time.Millisecond, 1500*time.Millisecond)
	r.Fingerprint = fingerprint
	return r
}

func newSchedule() *Schedule {
	s := &Schedule{}
	s.SetRate(20) // a place each 50 ms
	return s
}

// Guards against one time for all who are refused, a promise beyond what callers honour,
// and a wait that is shorter than the time until there is capacity.
func TestBook(t *testing.T) {
	Convey("Places follow each other, until the next one is of no use", t, func() {
		s := newSchedule()
		for i := range uint64(5) {
			wait, booked := s.Book(start, refusedRequest(low, i))
			So(booked, ShouldBeTrue)
			So(wait, ShouldEqual, minRetryAfter+time.Duration(i)*50*time.Millisecond)
		}
		wait, booked := s.Book(start, refusedRequest(low, 5))
		So(booked, ShouldBeFalse)
		So(wait, ShouldBeGreaterThan, 500*time.Millisecond)
		So(s.Counts(start).Promised, ShouldEqual, 5)
	})
	Convey("A request that misses its target anyway gets a place that its caller waits for", t, func() {
		s := newSchedule()
		r := request(low, 100*time.Millisecond, 150*time.Millisecond, 1500*time.Millisecond)
		booked := 0
		for r.Fingerprint = range uint64(20) {
			if wait, ok := s.Book(start, r); ok {
				So(wait, ShouldBeLessThanOrEqualTo, 500*time.Millisecond)
				booked++
			}
		}
		So(booked, ShouldEqual, 10)
	})
	Convey("Places of a higher class come after those of its own only, and before those of lower ones", t, func() {
		s := newSchedule()
		s.Book(start, refusedRequest(low, 1))
		wait, _ := s.Book(start, refusedRequest(high, 2))
		So(wait, ShouldEqual, minRetryAfter)
		s.Book(start, refusedRequest(high, 3))
		wait, _ = s.Book(start, refusedRequest(low, 4))
		So(wait, ShouldEqual, minRetryAfter+100*time.Millisecond)
	})
	Convey("Without a rate nothing is promised", t, func() {
		wait, booked := (&Schedule{}).Book(start, refusedRequest(low, 1))
		So(booked, ShouldBeFalse)
		So(wait, ShouldEqual, 0)
	})
}

// Guards against a place that is used twice, by another request or at another time.
func TestPlaceIsUsedOnce(t *testing.T) {
	Convey("Given a full queue and a place", t, func() {
		q := fullQueue(1, 1, 10*time.Millisecond)
		q.Places.SetRate(20)
		_, waiting, _ := q.Admit(start, refusedRequest(low, 9))
		wait, _ := q.Places.Book(start, refusedRequest(low, 1))
		due := start.Add(wait)

		Convey("its request gets the place of one that waits, once", func() {
			So(q.Estimate(due, refusedRequest(low, 1)).HasPlace, ShouldBeTrue)
			verdict, _, evicted := q.Admit(due, refusedRequest(low, 1))
			So(verdict, ShouldEqual, Queued)
			So(evicted, ShouldEqual, waiting)
			verdict, _, _ = q.Admit(due, refusedRequest(low, 1))
			So(verdict, ShouldEqual, Refused)
			So(q.Places.Counts(due), ShouldResemble, PlaceCounts{Promised: 1, Kept: 1})
		})
		Convey("it isn't used early, late, by another class or organisation", func() {
			for _, at := range []time.Time{start, due.Add(-earlyReturn - 1), due.Add(lateReturn + 1)} {
				So(q.Estimate(at, refusedRequest(low, 1)).HasPlace, ShouldBeFalse)
			}
			other := refusedRequest(low, 1)
			other.Organisation = "other"
			So(q.Estimate(due, other).HasPlace, ShouldBeFalse)
			So(q.Estimate(due, refusedRequest(high, 1)).HasPlace, ShouldBeFalse)
		})
		Convey("it is missed once its time has passed", func() {
			So(q.Places.Counts(due.Add(lateReturn+1)), ShouldResemble, PlaceCounts{Promised: 1, Missed: 1})
		})
	})
	Convey("Places keep room in the queue from requests of their own class and organisation only", t, func() {
		q := fullQueue(1, 2, 200*time.Millisecond)
		q.Places.SetRate(20)
		q.Places.Book(start, refusedRequest(low, 1))
		due := start.Add(minRetryAfter)
		waiting := refusedRequest(low, 2)
		waiting.Organisation = "x"
		q.Admit(due, waiting)
		other := refusedRequest(low, 3)
		other.Organisation = "y"
		So(q.Estimate(due, refusedRequest(low, 3)).Refused, ShouldBeTrue)
		So(q.Estimate(due, other).Refused, ShouldBeFalse)
		So(q.Estimate(due, refusedRequest(high, 3)).Refused, ShouldBeFalse)
	})
	Convey("A place doesn't displace a request of an organisation that holds less", t, func() {
		q := fullQueue(2, 1, 10*time.Millisecond) // both slots are held by requests of no organisation
		q.Places.SetRate(20)
		small := refusedRequest(low, 9)
		small.Organisation = "small"
		q.Admit(start, small)
		wait, _ := q.Places.Book(start, refusedRequest(low, 1))
		verdict, _, _ := q.Admit(start.Add(wait), refusedRequest(low, 1))
		So(verdict, ShouldEqual, Refused)
	})
}

// Guards against capacity that is promised twice, and against a count or a place that is
// kept for ever.
func TestScheduleOverRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSchedule()
		now := start
		promised := map[int][]time.Time{}
		used := uint64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			r := refusedRequest(rapid.IntRange(low, high).Draw(t, "class"), rapid.Uint64Range(1, 5).Draw(t, "fingerprint"))
			r.Target, r.Deadline = now.Add(400*time.Millisecond), now.Add(1500*time.Millisecond)
			if rapid.Bool().Draw(t, "returns") {
				if i := s.find(now, &r); i >= 0 {
					s.use(i)
					used++
				}
				continue
			}
			wait, booked := s.Book(now, r)
			if !booked {
				if wait <= 500*time.Millisecond {
					t.Fatalf("got a wait of %s without a place, expected one longer than callers honour", wait)
				}
				continue
			}
			at := now.Add(wait)
			for _, earlier := range promised[r.Class] {
				if distance := at.Sub(earlier).Abs(); distance < 50*time.Millisecond {
					t.Fatalf("got two places of a class %s apart, expected at least 50ms", distance)
				}
			}
			promised[r.Class] = append(promised[r.Class], at)
		}
		counts := s.Counts(now.Add(time.Hour))
		if counts.Kept != used || counts.Kept+counts.Missed != counts.Promised || len(s.places) != 0 || len(s.byKey) != 0 {
			t.Fatalf("got %+v with %d places left, expected %d kept and none left", counts, len(s.places), used)
		}
	})
}

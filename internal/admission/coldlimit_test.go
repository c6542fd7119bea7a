package admission

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// coldBounds are those of a server that takes 15 requests a second while it is cold and
// breaks down at 31.
var coldBounds = ColdBounds{PerSecond: 15, MaxInSecond: 15*1.5 + 8, ColdTime: 3 * time.Second}

const maxColdArrivals = 30

func newColdLimit() *ColdLimit {
	c := &ColdLimit{}
	c.Configure(start.Add(-time.Second), coldBounds)
	return c
}

// takeEvery offers starts at a fixed interval and returns the times of those allowed.
func takeEvery(c *ColdLimit, from, until, interval time.Duration) []time.Duration {
	var starts []time.Duration
	for at := from; at < until; at += interval {
		if c.Take(start.Add(at)) {
			starts = append(starts, at)
		}
	}
	return starts
}

func TestColdLimit(t *testing.T) {
	Convey("Without a cold rate nothing is limited or asked", t, func() {
		c := &ColdLimit{}
		So(takeEvery(c, 0, time.Second, time.Millisecond), ShouldHaveLength, 1000)
		So(c.Need(start.Add(time.Second)), ShouldEqual, AnswerNotNeeded)
		So(c.IsCold(start), ShouldBeFalse)
	})
	Convey("A server that hasn't reported is cold: its starts are spread, exactly at its rate in any second", t, func() {
		c := newColdLimit()
		So(c.IsCold(start), ShouldBeTrue)
		So(c.Need(start), ShouldEqual, AnswerUrgent)
		starts := takeEvery(c, 0, 10*time.Second, time.Millisecond)
		So(mostWithin(starts, time.Second), ShouldEqual, 15)
		So(mostWithin(starts, 200*time.Millisecond), ShouldEqual, 3)
		So(len(starts), ShouldBeGreaterThanOrEqualTo, 148)
	})
	Convey("A server that said that it is warm gets more only with a recent answer", t, func() {
		c := newColdLimit()
		c.RecordHeartbeat(start, 0)
		So(c.IsCold(start), ShouldBeFalse)
		So(takeEvery(c, 700*time.Millisecond, 900*time.Millisecond, time.Millisecond), ShouldHaveLength, 15)
		So(c.Need(start.Add(900*time.Millisecond)), ShouldEqual, AnswerUrgent)
		c.RecordAnswer(start.Add(901*time.Millisecond), start.Add(900*time.Millisecond), 0)
		So(takeEvery(c, 902*time.Millisecond, 990*time.Millisecond, 8*time.Millisecond), ShouldHaveLength, 11)
		So(c.Wait(start.Add(990*time.Millisecond), 12), ShouldEqual, 0)
		So(c.Wait(start.Add(990*time.Millisecond), 13), ShouldBeGreaterThan, 0)
		Convey("and not when the answer is older than 200 ms", func() {
			So(c.Take(start.Add(1102*time.Millisecond)), ShouldBeFalse)
		})
		Convey("but up to 500 ms when the budget withheld the next question", func() {
			c.RecordWithheld(start.Add(1050 * time.Millisecond))
			So(c.Take(start.Add(1102*time.Millisecond)), ShouldBeTrue)
			So(c.IsCold(start.Add(1390*time.Millisecond)), ShouldBeFalse)
			So(c.Take(start.Add(1402*time.Millisecond)), ShouldBeFalse)
		})
		Convey("and not when it becomes cold; what was started in the last second counts", func() {
			c.RecordAnswer(start.Add(995*time.Millisecond), start.Add(994*time.Millisecond), 3*time.Second)
			starts := takeEvery(c, 996*time.Millisecond, 1700*time.Millisecond, time.Millisecond)
			So(starts, ShouldBeEmpty)
			starts = takeEvery(c, 1700*time.Millisecond, 3900*time.Millisecond, time.Millisecond)
			So(mostWithin(starts, time.Second), ShouldEqual, 15)
		})
	})
	Convey("A server that owes a needed answer for 500 ms is cold", t, func() {
		c := newColdLimit()
		c.RecordHeartbeat(start, 0)
		takeEvery(c, 0, 400*time.Millisecond, 10*time.Millisecond)
		So(c.IsCold(start.Add(640*time.Millisecond)), ShouldBeFalse)
		So(c.IsCold(start.Add(660*time.Millisecond)), ShouldBeTrue)
		So(c.Need(start.Add(660*time.Millisecond)), ShouldEqual, AnswerUrgent)
		c.RecordAnswer(start.Add(700*time.Millisecond), start.Add(699*time.Millisecond), 0)
		So(c.IsCold(start.Add(700*time.Millisecond)), ShouldBeFalse)
	})
	Convey("A heartbeat makes a server cold, and a delayed one doesn't make it warm", t, func() {
		c := newColdLimit()
		c.RecordAnswer(start, start, 0)
		c.RecordHeartbeat(start.Add(time.Second), 2*time.Second)
		c.RecordHeartbeat(start.Add(1100*time.Millisecond), 0)
		c.RecordAnswer(start.Add(1100*time.Millisecond), start.Add(999*time.Millisecond), 0)
		So(c.IsCold(start.Add(2900*time.Millisecond)), ShouldBeTrue)
		So(c.IsCold(start.Add(3*time.Second)), ShouldBeFalse)
	})
	Convey("A start that didn't reach the server no longer counts", t, func() {
		c := newColdLimit()
		c.RecordHeartbeat(start, 0)
		starts := takeEvery(c, 0, 200*time.Millisecond, time.Millisecond)
		So(starts, ShouldHaveLength, 15)
		So(c.Wait(start.Add(999*time.Millisecond), 0), ShouldEqual, time.Millisecond)
		c.Undo(start.Add(starts[7]))
		So(c.Wait(start.Add(999*time.Millisecond), 0), ShouldEqual, 0)
		So(c.Take(start.Add(999*time.Millisecond)), ShouldBeTrue)
		So(c.Take(start.Add(999*time.Millisecond)), ShouldBeFalse)
	})
	Convey("Other bounds keep the latest starts", t, func() {
		c := newColdLimit()
		takeEvery(c, 0, 950*time.Millisecond, time.Millisecond)
		c.Configure(start, ColdBounds{PerSecond: 15, MaxInSecond: 40})
		So(c.Take(start.Add(960*time.Millisecond)), ShouldBeFalse)
	})
	Convey("Rates below one a second are kept over a longer span", t, func() {
		c := &ColdLimit{}
		c.Configure(start, ColdBounds{PerSecond: 0.5, MaxInSecond: 10})
		So(takeEvery(c, 0, 10*time.Second, time.Millisecond), ShouldHaveLength, 5)
	})
}

// Guards against a queue that holds requests for longer than the callers' other chances
// last while the server is cold, and against offers that hide it.
func TestQueueAtColdServer(t *testing.T) {
	Convey("Given a queue with free slots in front of a cold server", t, func() {
		q := &Queue{Cold: *newColdLimit()}
		q.SetLimits(7, 9)
		r := request(low, 20*time.Millisecond, time.Second, 2*time.Second)
		for range 3 {
			verdict, _, _ := q.Admit(start, r)
			So(verdict, ShouldEqual, Granted)
		}
		So(q.Estimate(start, r).Refused, ShouldBeTrue)
		So(q.Estimate(start, r).Wait, ShouldEqual, 200*time.Millisecond)
		verdict, _, _ := q.Admit(start, r)
		So(verdict, ShouldEqual, Refused)
		Convey("a request waits at most 50 ms for the next start", func() {
			at := start.Add(160 * time.Millisecond)
			estimate := q.Estimate(at, r)
			So(estimate, ShouldResemble, QueueEstimate{Wait: 40 * time.Millisecond, ServiceTime: 20 * time.Millisecond})
			verdict, ticket, _ := q.Admit(at, r)
			So(verdict, ShouldEqual, Queued)
			So(ticket.LatestStart(), ShouldEqual, at.Add(50*time.Millisecond))
			So(q.Next(start.Add(199*time.Millisecond)), ShouldBeNil)
			So(q.Next(start.Add(200*time.Millisecond)), ShouldEqual, ticket)
			So(ticket.Started(), ShouldEqual, start.Add(200*time.Millisecond))
		})
		Convey("a request that began to wait at the warm server isn't held until its deadline", func() {
			q.Cold.RecordAnswer(start, start, 0)
			for range 4 {
				q.Admit(start, r)
			}
			verdict, ticket, _ := q.Admit(start, r)
			So(verdict, ShouldEqual, Queued)
			So(ticket.LatestStart(), ShouldEqual, start.Add(1980*time.Millisecond))
			at := start.Add(10 * time.Millisecond)
			q.Cold.RecordAnswer(at, at, 3*time.Second)
			So(q.RemoveExpired(at), ShouldBeEmpty)
			So(q.RemoveExpired(at.Add(51*time.Millisecond)), ShouldResemble, []*Ticket{ticket})
		})
		Convey("a request whose target is nearer is refused while another server may still meet it", func() {
			at := start.Add(160 * time.Millisecond)
			verdict, _, _ := q.Admit(at, request(low, 20*time.Millisecond, 210*time.Millisecond, 2*time.Second))
			So(verdict, ShouldEqual, Refused)
		})
	})
}

// coldHistory is a random history of a server that becomes cold at random moments, with
// answers and arrivals that are late and questions that are withheld.
type coldHistory struct {
	limit               *ColdLimit
	coldFrom, coldUntil time.Duration
	// arrivals are those during the present cold time.
	arrivals []time.Duration
	most     int
}

func (h *coldHistory) isCold(at time.Duration) bool { return h.coldFrom <= at && at < h.coldUntil }

// arrive records the arrival of a request sent at a time. As on the platform, only
// requests that were sent and received within the cold time count.
func (h *coldHistory) arrive(sentAt, at time.Duration) {
	if !h.isCold(at) || sentAt < h.coldFrom {
		return
	}
	h.arrivals = append(h.arrivals, at)
	slices.Sort(h.arrivals)
	h.most = max(h.most, mostWithin(h.arrivals, time.Second))
}

// Guards against a server that breaks down because it became cold between two reports:
// under any load, with slow and withheld answers and a gate that restarts in no time, no
// second of a cold time has more requests than the bound.
func TestColdBoundOverRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &coldHistory{limit: newColdLimit()}
		perSecond := rapid.IntRange(5, 600).Draw(t, "requests a second")
		answerTime := time.Duration(rapid.IntRange(1, 450).Draw(t, "answer time, ms")) * time.Millisecond
		sendTime := time.Duration(rapid.IntRange(0, 5).Draw(t, "time to the server, ms")) * time.Millisecond
		withheldPercent := rapid.IntRange(0, 100).Draw(t, "withheld percent")
		h.coldFrom = time.Duration(rapid.IntRange(300, 4000).Draw(t, "cold from, ms")) * time.Millisecond
		h.coldUntil = h.coldFrom + 2*time.Second
		heartbeatAt := time.Duration(rapid.IntRange(0, 1500).Draw(t, "heartbeat, ms")) * time.Millisecond
		restartAt := time.Duration(rapid.IntRange(0, 7000).Draw(t, "gate restarts, ms")) * time.Millisecond
		bursty := rapid.Bool().Draw(t, "bursty")
		var askedAt, answeredAt, lastAsked time.Duration
		var coldFor time.Duration
		asking := false
		due := 0.0
		for at := time.Duration(0); at < 7*time.Second; at += time.Millisecond {
			now := start.Add(at)
			if at == restartAt {
				h.limit, asking = &ColdLimit{}, false
				h.limit.Configure(now, coldBounds)
			}
			if at >= heartbeatAt {
				heartbeatAt += 1500 * time.Millisecond
				left := time.Duration(0)
				if h.isCold(at) {
					left = h.coldUntil - at
				}
				h.limit.RecordHeartbeat(now, left)
			}
			if asking && at >= answeredAt {
				asking = false
				h.limit.RecordAnswer(now, start.Add(askedAt), coldFor)
			}
			if h.limit.Need(now) != AnswerNotNeeded && !asking && at >= lastAsked+20*time.Millisecond {
				lastAsked = at
				if rapid.IntRange(1, 100).Draw(t, "withheld") <= withheldPercent {
					h.limit.RecordWithheld(now)
				} else {
					asking, askedAt, answeredAt = true, at, at+answerTime
					coldFor = 0
					if h.isCold(at) {
						coldFor = h.coldUntil - at
					}
				}
			}
			due += float64(perSecond) / 1000
			if bursty && at%(100*time.Millisecond) != 0 {
				continue
			}
			for ; due >= 1; due-- {
				if h.limit.Take(now) {
					h.arrive(at, at+sendTime)
				}
			}
		}
		if h.most > maxColdArrivals {
			t.Fatalf("got %d requests within a second at a cold server, expected at most %d", h.most, maxColdArrivals)
		}
	})
}

// Guards against a limit that holds back a warm server: with answers in 2 ms, nothing waits
// for them.
func TestWarmServerIsNotHeldBack(t *testing.T) {
	Convey("A warm server gets 300 requests a second without a wait, for at most 60 questions a second", t, func() {
		c := newColdLimit()
		c.RecordHeartbeat(start, 0)
		held, questions := 0, 0
		var answerAt, askedAt time.Duration
		asking := false
		for at := time.Duration(0); at < 10*time.Second; at += time.Second / 1500 {
			now := start.Add(at)
			if asking && at >= answerAt {
				asking = false
				c.RecordAnswer(now, start.Add(askedAt), 0)
			}
			if !asking && c.Need(now) != AnswerNotNeeded {
				asking, askedAt, answerAt = true, at, at+2*time.Millisecond
				questions++
			}
			if int(at/(time.Second/1500))%5 == 0 && !c.Take(now) {
				held++
			}
		}
		So(held, ShouldEqual, 0)
		So(questions, ShouldBeLessThanOrEqualTo, 10*60)
		t.Logf("%d questions in 10 s", questions)
	})
}

package quarantine

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/egretfield/egretfield/internal/standin/virtualtime"
)

// duplicatingBroadcaster delivers every message twice to all of its subscribers.
type duplicatingBroadcaster struct {
	mu       sync.Mutex
	handlers []func([]byte)
	sent     int
}

func (b *duplicatingBroadcaster) Broadcast(_ string, payload []byte) {
	b.mu.Lock()
	handlers := b.handlers
	b.sent++
	b.mu.Unlock()
	if len(payload) > 1<<10 {
		panic("payload over 1 KiB")
	}
	for range 2 {
		for _, handler := range handlers {
			handler(payload)
		}
	}
}

func (b *duplicatingBroadcaster) Subscribe(_ string, handler func([]byte)) {
	b.handlers = append(b.handlers, handler)
}

func TestTable(t *testing.T) {
	Convey("Given two nodes that receive each other's crash news", t, func() {
		broadcaster := &duplicatingBroadcaster{}
		a, b := New(broadcaster, nil), New(broadcaster, nil)
		Convey("one crash refuses nothing", func() {
			a.ReportCrash([]uint64{1, 2})
			So(b.Refuses(1), ShouldBeFalse)
			So(a.Quarantined(), ShouldBeEmpty)
		})
		Convey("a second crash quarantines the common fingerprints on all nodes", func() {
			a.ReportCrash([]uint64{1, 2, 3})
			b.ReportCrash([]uint64{1, 4})
			for _, table := range []*Table{a, b} {
				So(table.Quarantined(), ShouldResemble, []uint64{1})
				So(table.Refuses(2), ShouldBeFalse)
				So(table.Refuses(4), ShouldBeFalse)
			}
		})
		Convey("crashes with nothing in common quarantine nothing", func() {
			a.ReportCrash([]uint64{1, 2})
			b.ReportCrash([]uint64{3, 4})
			So(a.Quarantined(), ShouldBeEmpty)
		})
		Convey("a suspect whose request completes is cleared", func() {
			a.ReportCrash([]uint64{1, 2})
			b.ReportSuccess(2)
			b.ReportCrash([]uint64{1, 2})
			So(a.Quarantined(), ShouldResemble, []uint64{1})
		})
		Convey("without suspects, successes aren't broadcast", func() {
			for range 100 {
				a.ReportSuccess(9)
			}
			So(broadcaster.sent, ShouldEqual, 0)
		})
		Convey("fingerprint 0 is never refused, and a nil table refuses nothing", func() {
			a.ReportCrash([]uint64{0})
			a.ReportCrash([]uint64{0})
			So(a.Refuses(0), ShouldBeFalse)
			So((*Table)(nil).Refuses(1), ShouldBeFalse)
		})
		Convey("a message that can't be decoded is dropped", func() {
			a.receive([]byte{0xff, 0xff, 0xff})
			So(a.Quarantined(), ShouldBeEmpty)
		})
		Convey("the size of a table is limited", func() {
			for i := range uint64(maxSeenIDs + 10) {
				many := make([]uint64, MaxSuspects+5)
				for j := range many {
					many[j] = i*1000 + uint64(j) + 1
				}
				a.ReportCrash(many)
			}
			So(len(a.crashes), ShouldBeLessThanOrEqualTo, maxCrashes)
			So(len(a.seenIDs), ShouldBeLessThanOrEqualTo, maxSeenIDs)
		})
	})
}

func TestQuarantineTerms(t *testing.T) {
	type step struct {
		after   time.Duration
		refused []uint64
	}
	cases := []struct {
		name    string
		crashes [][]uint64
		steps   []step
	}{
		{"several common fingerprints are refused for the short term", [][]uint64{{1, 2}, {1, 2}}, []step{{0, []uint64{1, 2}}, {multipleSuspectsTerm + time.Second, nil}}},
		{"a single common fingerprint is refused for the long term", [][]uint64{{1, 2}, {1, 3}}, []step{{multipleSuspectsTerm + time.Second, []uint64{1}}, {singleSuspectTerm, nil}}},
	}
	for _, c := range cases {
		var got []string
		virtualtime.Test(t, func(*testing.T) {
			table := New(nil, nil)
			for _, crash := range c.crashes {
				table.ReportCrash(crash)
			}
			for _, s := range c.steps {
				time.Sleep(s.after)
				got = append(got, fmt.Sprint(table.Quarantined()))
			}
		})
		Convey(c.name, t, func() {
			for i, s := range c.steps {
				So(got[i], ShouldEqual, fmt.Sprint(s.refused))
			}
		})
	}
	var stillRefused, onlyCauseRefused bool
	virtualtime.Test(t, func(*testing.T) {
		table := New(nil, nil)
		table.ReportCrash([]uint64{1, 2})
		table.ReportCrash([]uint64{1, 2})
		time.Sleep(multipleSuspectsTerm + time.Second)
		stillRefused = table.Refuses(2)
		table.ReportCrash([]uint64{1})
		time.Sleep(multipleSuspectsTerm + time.Second)
		onlyCauseRefused = table.Refuses(1) && !table.Refuses(2)
	})
	Convey("a third crash tells the cause from the other suspects", t, func() {
		So(stillRefused, ShouldBeFalse)
		So(onlyCauseRefused, ShouldBeTrue)
	})
	var afterExpiry []uint64
	virtualtime.Test(t, func(*testing.T) {
		table := New(nil, nil)
		table.ReportCrash([]uint64{1})
		time.Sleep(suspicionPeriod + time.Second)
		table.ReportCrash([]uint64{1})
		afterExpiry = table.Quarantined()
	})
	Convey("a crash expires after the suspicion period", t, func() { So(afterExpiry, ShouldBeEmpty) })
}

package memlog

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"pgregory.net/rapid"

	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/platformlog"
)

// TestMain fixes the seed of rapid. EGRETFIELD_RAPID_SEED sets another one; 0 selects
// a random one.
func TestMain(m *testing.M) {
	seed := os.Getenv("EGRETFIELD_RAPID_SEED")
	if seed == "" {
		seed = "1"
	}
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const (
	modelKeepRecords = 5
	modelKeepFor     = time.Minute
)

// model is the reference that the log is compared with: every record ever stored, and
// the offset of the first one retained.
type model struct {
	log   *Log
	data  []string
	times []time.Time
	first int64
}

func (m *model) next() int64 { return platformlog.FirstOffset + int64(len(m.data)) }

func (m *model) store(text string) {
	m.data = append(m.data, text)
	m.times = append(m.times, time.Now())
}

func (m *model) expire() {
	m.first = max(m.first, m.next()-modelKeepRecords)
	for m.first < m.next() && time.Since(m.times[m.first-1]) > modelKeepFor {
		m.first++
	}
}

func (m *model) append(t *rapid.T) {
	faults := m.log.Faults()
	text := fmt.Sprint(len(m.data))
	want := m.next()
	offset, err := m.log.Append(t.Context(), testStream, []byte(text))
	if faults.GetDown() {
		if !eris.Is(err, platformlog.ErrUnavailable) {
			t.Fatalf("append on a log that is down: %v", err)
		}
		return
	}
	m.store(text)
	if faults.GetDuplicate() > 0 {
		m.store(text)
	}
	if faults.GetLoseAnswers() > 0 {
		if !eris.Is(err, platformlog.ErrUnknownOutcome) {
			t.Fatalf("append whose answer is lost: %v", err)
		}
		return
	}
	if err != nil || offset != want {
		t.Fatalf("append: offset %d, error %v; want offset %d", offset, err, want)
	}
}

func (m *model) read(t *rapid.T) {
	m.expire()
	from := rapid.Int64Range(1, m.next()+1).Draw(t, "from")
	count := rapid.IntRange(1, modelKeepRecords).Draw(t, "count")
	records, err := m.log.Read(t.Context(), testStream, from, count, 0)
	switch {
	case m.log.Faults().GetDown():
		if !eris.Is(err, platformlog.ErrUnavailable) {
			t.Fatalf("read on a log that is down: %v", err)
		}
	case from < m.first:
		if !eris.Is(err, platformlog.ErrTrimmed) {
			t.Fatalf("read at %d before %d: %v", from, m.first, err)
		}
	default:
		begin := min(from-1, int64(len(m.data)))
		end := min(begin+int64(count), int64(len(m.data)))
		if got, want := texts(records), m.data[begin:end]; err != nil || !slices.Equal(got, want) {
			t.Fatalf("read at %d: %v, error %v; want %v", from, got, err, want)
		}
	}
}

func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			m := &model{log: New(Options{KeepRecords: modelKeepRecords, KeepFor: modelKeepFor}), first: platformlog.FirstOffset}
			t.Repeat(map[string]func(*rapid.T){
				"append": m.append,
				"read":   m.read,
				"trim": func(t *rapid.T) {
					before := rapid.Int64Range(0, m.next()+1).Draw(t, "before")
					m.log.Trim(testStream, before)
					m.expire()
					m.first = max(m.first, min(before, m.next()))
				},
				"wait": func(t *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
				},
				"faults": func(t *rapid.T) {
					m.log.SetFaults(&pb.LogFaults{
						Down:        rapid.Bool().Draw(t, "down"),
						LoseAnswers: rapid.Uint32Range(0, 2).Draw(t, "lose"),
						Duplicate:   rapid.Uint32Range(0, 2).Draw(t, "duplicate"),
					})
				},
			})
		})
	})
}

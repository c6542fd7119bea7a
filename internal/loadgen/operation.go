// Package loadgen is an open-loop load generator: it sends operations at their
// intended times whether or not earlier ones have been answered, checks each
// answer and compares the outcomes reported to callers with the journals of the stand-in
// backend servers.
package loadgen

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/egretfield/egretfield/internal/pb"
)

// Kind is a kind of operation; it decides the method, the default body and the
// key.
type Kind string

// Kinds of operations.
const (
	KindBrowse Kind = "browse"
	KindOrder  Kind = "order"
	KindUpload Kind = "upload"
	KindLookup Kind = "lookup"
)

// Kinds lists the kinds in the order of reports.
var Kinds = []Kind{KindBrowse, KindOrder, KindUpload, KindLookup}

// Sizes and limits of operations.
const (
	defaultOrderBytes  = 256
	defaultUploadBytes = 64 << 10
	// MaxDepth is the largest allowed number of lookups below a call.
	MaxDepth = 13

	percent = 100
)

// Operation is one request of a caller; its resends belong to the same operation.
type Operation struct {
	// ID is unique across runs.
	ID      string
	Kind    Kind
	Service string
	Method  string
	Path    string
	// Key is the Idempotency-Key, empty for none.
	Key string
	// APIKey is sent as a bearer token, empty for none.
	APIKey      string
	BodyBytes   int64
	AnswerBytes int64
	// Depth is the number of lookups in the chain below the operation; each is a
	// call by the server that runs the one before.
	Depth int
	// Services are those of the lookup chain, comma-separated.
	Services string
	// Crash makes the backend server that runs the operation crash.
	Crash bool
	// SendTwice makes the runner send it twice concurrently.
	SendTwice bool
	// FirstSend states that its key has never been sent before and isn't being
	// sent concurrently.
	FirstSend bool
}

// IsIdempotent reports whether the operation may run more than once.
func (o *Operation) IsIdempotent() bool {
	return o.Method != http.MethodPost
}

// forAttempt returns the operation as its caller sends it at the given attempt,
// counted from 0.
func (o *Operation) forAttempt(attempt int) *Operation {
	sent := *o
	sent.FirstSend = attempt == 0 && o.Key != "" && !o.SendTwice
	return &sent
}

// Mix draws operations by weight. It is not safe for concurrent use.
type Mix struct {
	traffic []*pb.Traffic
	// cumulativeWeights holds the running sums of the weights.
	cumulativeWeights []uint32
	rand              *rand.Rand
	idPrefix          string
	drawnCount        uint64
}

// NewMix returns a mix. The same seed draws the same kinds in the same order.
func NewMix(traffic []*pb.Traffic, seed uint64) (*Mix, error) {
	m := &Mix{traffic: traffic, rand: rand.New(rand.NewPCG(seed, seed)), idPrefix: uuid.NewString()[:8]}
	total := uint32(0)
	for i, t := range traffic {
		if field, err := checkTraffic(t); err != nil {
			return nil, eris.Wrapf(err, "mix entry %d: %s", i+1, field)
		}
		total += max(1, t.GetWeight())
		m.cumulativeWeights = append(m.cumulativeWeights, total)
	}
	if total == 0 {
		return nil, eris.New("the mix is empty")
	}
	return m, nil
}

// checkTraffic returns the name of the invalid field, and why it is invalid.
func checkTraffic(t *pb.Traffic) (field string, err error) {
	switch {
	case !slices.Contains(Kinds, Kind(t.GetKind())):
		return "kind", eris.Errorf("want browse, order, upload or lookup, got %q", t.GetKind())
	case t.GetService() == "":
		return "service", eris.New("missing")
	case t.GetDepth() > MaxDepth:
		return "depth", eris.Errorf("at most %d, got %d", MaxDepth, t.GetDepth())
	case t.GetCrashPercent() > percent:
		return "crash_percent", eris.Errorf("at most 100, got %d", t.GetCrashPercent())
	case t.GetTwicePercent() > percent:
		return "twice_percent", eris.Errorf("at most 100, got %d", t.GetTwicePercent())
	}
	return "", nil
}

// Next draws the next operation.
func (m *Mix) Next() *Operation {
	draw := m.rand.Uint32N(m.cumulativeWeights[len(m.cumulativeWeights)-1])
	index, _ := slices.BinarySearch(m.cumulativeWeights, draw+1)
	t := m.traffic[index]
	m.drawnCount++
	o := newOperation(t, m.idPrefix+"-"+strconv.FormatUint(m.drawnCount, 10))
	o.Crash = m.rand.Uint32N(percent) < t.GetCrashPercent()
	o.SendTwice = m.rand.Uint32N(percent) < t.GetTwicePercent() && o.Key != ""
	return o
}

func newOperation(t *pb.Traffic, id string) *Operation {
	o := &Operation{
		ID:          id,
		Kind:        Kind(t.GetKind()),
		Service:     t.GetService(),
		Method:      http.MethodGet,
		Path:        t.GetPath(),
		APIKey:      t.GetApiKey(),
		AnswerBytes: int64(t.GetAnswerBytes()),
		BodyBytes:   int64(t.GetBodyBytes()),
	}
	if o.Path == "" {
		o.Path = "/" + t.GetKind()
	}
	switch o.Kind {
	case KindOrder:
		o.Method = http.MethodPost
		o.BodyBytes = orDefault(o.BodyBytes, defaultOrderBytes)
		if !t.GetWithoutKey() {
			o.Key = newKey()
		}
	case KindUpload:
		o.Method = http.MethodPut
		o.BodyBytes = orDefault(o.BodyBytes, defaultUploadBytes)
	case KindLookup:
		o.Depth = max(1, int(t.GetDepth()))
		o.Services = strings.Join(t.GetServices(), ",")
	}
	return o
}

// orDefault returns value, or fallback if the experiment doesn't set it (0).
func orDefault(value, fallback int64) int64 {
	if value > 0 {
		return value
	}
	return fallback
}

// newKey returns a UUIDv7, which contains its creation time.
func newKey() string {
	key, err := uuid.NewV7()
	if err != nil {
		panic(fmt.Sprintf("generate an idempotency key: %v", err))
	}
	return key.String()
}

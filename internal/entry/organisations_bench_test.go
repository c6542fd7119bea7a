package entry

import (
	"fmt"
	"net/http"
	"runtime"
	"testing"

	"github.com/egretfield/egretfield/internal/pb"
)

// manyOrganisations has n organisations with a key of 32 bytes each.
func manyOrganisations(n int) *pb.ConfigState {
	state := &pb.ConfigState{Version: 1, Config: &pb.Config{}}
	for i := range n {
		state.Config.Organisations = append(state.Config.Organisations, &pb.Organisation{
			Name: fmt.Sprintf("organisation-%d", i), ApiKeys: []string{fmt.Sprintf("key-%028d", i)}, RatePerS: 1, Burst: 1,
		})
	}
	return state
}

// BenchmarkSetOrganisations puts a configuration of 10,000 organisations in force. It also
// reports the memory that stays in use.
func BenchmarkSetOrganisations(b *testing.B) {
	state := manyOrganisations(10_000)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	h := New(Options{})
	h.SetRoutes(NewRoutesOfState(state))
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportAllocs()
	for b.Loop() {
		h.SetRoutes(NewRoutesOfState(state))
	}
	b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "live-B")
}

func BenchmarkAuthenticate(b *testing.B) {
	for _, n := range []int{10, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			routes := NewRoutesOfState(manyOrganisations(n))
			values := []string{fmt.Sprintf("Bearer key-%028d", n/2)}
			r := &http.Request{Header: http.Header{}}
			x := &exchange{r: r, route: &route{}}
			b.ReportAllocs()
			for b.Loop() {
				r.Header["Authorization"] = values
				if x.authenticate(routes) != nil {
					b.Fatal("unknown key")
				}
			}
		})
	}
}

package balance

import (
	"math"
	"slices"
	"time"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// reportTrust is the age at which a load report no longer says anything; its
	// weight falls evenly until then.
	reportTrust = time.Second
	// slownessTrust is the age at which a report of a slow machine no longer says
	// anything: such moments last a few hundred milliseconds.
	slownessTrust = 400 * time.Millisecond
	// usualSlowness is the slowness of a server that works as usual, percent.
	usualSlowness = 100
	// unknownService is the service time assumed before any was reported.
	unknownService = 100 * time.Millisecond
	// failurePenalty is added to the expected time of an endpoint that fails every
	// request; less for a smaller share. A failure costs a caller about as much as
	// an answer that is a few seconds late.
	failurePenalty = 3 * time.Second
	// tieSpread is the share by which expected times vary at random, so that
	// entries with the same view don't all choose the same endpoint.
	tieSpread = 0.1
)

// Way there and back to an endpoint, as assumed before it was measured, and what
// a byte on that way costs, as time: traffic between data centres and regions is
// paid by volume.
const (
	wayInDataCentre = 300 * time.Microsecond
	wayInRegion     = 2 * time.Millisecond
	wayToRegions    = 42 * time.Millisecond

	byteInRegion  = 7 * time.Microsecond
	byteToRegions = 54 * time.Microsecond
)

// predicted takes the endpoint that is expected to answer first, by its distance,
// its last load report and the requests that this entry has there. What the way
// costs counts as time.
type predicted struct {
	*pool
}

// Pick implements Balancer.
func (p *predicted) Pick(info PickInfo) (*Endpoint, error) {
	placement, err := p.Place(info)
	return placement.Endpoint, err
}

// Place implements Placer.
func (p *predicted) Place(info PickInfo) (Placement, error) {
	now := timeNow()
	snap := p.current.Load()
	if len(snap.all) == 0 {
		return Placement{}, errkind.New(pb.ErrorKind_ERROR_KIND_NO_SERVER, "no backend server is known")
	}
	candidates := newCandidates(now, snap.all, info.Tried)
	usual := usualService(snap)
	var best *slot
	bestTime, bestWait := math.Inf(1), time.Duration(0)
	for _, s := range snap.all {
		if !candidates.eligible(s) {
			continue
		}
		wait, rest := p.expect(now, snap, s, usual, &info)
		total := float64(wait+rest) * (1 + tieSpread*p.unit())
		if total < bestTime {
			best, bestTime, bestWait = s, total, wait
		}
	}
	if best == nil {
		return Placement{}, errkind.New(pb.ErrorKind_ERROR_KIND_NO_SERVER, "no backend server is left to try")
	}
	return Placement{Endpoint: p.take(best), Waits: bestWait > 0}, nil
}

// unit returns a random number from 0 to 1.
func (p *predicted) unit() float64 { return float64(p.options.Rand()) / math.MaxUint64 }

// expect returns the time that the request is expected to wait at the endpoint and
// the rest until its answer, penalties included.
func (p *predicted) expect(now time.Time, snap *snapshot, s *slot, usual time.Duration, info *PickInfo) (wait, rest time.Duration) {
	service, load, capacity := usual, float64(s.own.Load()), s.capacity(now, snap.warmup)
	failing := s.errors.get()
	if r := s.report.Load(); r != nil && r.gate != nil {
		age := now.Sub(r.at)
		trust := max(0, 1-float64(age)/float64(reportTrust))
		reported := float64(r.gate.GetInFlight()+r.gate.GetQueued()) + load - float64(r.ownAt)
		load = max(load, load+trust*(reported-load))
		service = serviceOf(r.gate, usual, age)
		if r.gate.GetSlots() > 0 {
			capacity = float64(r.gate.GetSlots()) * s.weight(now, snap.warmup)
		}
		failing = max(failing, trust*float64(r.gate.GetErrorsPermille())/1000)
	}
	ahead := load + 1 - capacity
	if slices.Contains(info.Busy, s.endpoint.Instance) {
		ahead = max(ahead, 1)
	}
	if ahead > 0 {
		wait = time.Duration(ahead / max(capacity, 1) * float64(service))
	}
	rest = service + p.way(s.endpoint, max(info.BodyBytes, 0)+info.AnswerBytes) + time.Duration(failing*float64(failurePenalty))
	return wait, rest
}

// serviceOf is the time that the endpoint is expected to take over a request, by a
// report of that age.
func serviceOf(report *pb.LoadReport, usual, age time.Duration) time.Duration {
	if report.GetLatencyUs() > 0 {
		usual = time.Duration(report.GetLatencyUs()) * time.Microsecond
	}
	slowness := float64(max(report.GetSlownessPercent(), usualSlowness))
	trust := max(0, 1-float64(age)/float64(slownessTrust))
	return time.Duration(float64(usual) * (1 + trust*(slowness/usualSlowness-1)))
}

// way is the time to an endpoint and back, with the price of the bytes.
func (p *predicted) way(e *Endpoint, bytes int64) time.Duration {
	switch {
	case e.Instance == p.options.Instance:
		return 0
	case e.Region != p.options.Region:
		return wayToRegions + time.Duration(bytes)*byteToRegions
	case e.DataCentre != p.options.DataCentre:
		return wayInRegion + time.Duration(bytes)*byteInRegion
	}
	return wayInDataCentre
}

// usualService is the mean service time over the reports of a service.
func usualService(snap *snapshot) time.Duration {
	var sum time.Duration
	count := 0
	for _, s := range snap.all {
		if r := s.report.Load(); r != nil && r.gate.GetLatencyUs() > 0 {
			sum += time.Duration(r.gate.GetLatencyUs()) * time.Microsecond
			count++
		}
	}
	if count == 0 {
		return unknownService
	}
	return sum / time.Duration(count)
}

// Observe implements Observer.
func (p *pool) Observe(load *pb.LoadReport) {
	snap := p.current.Load()
	if s, ok := snap.byKey[slotKey{load.GetInstance(), load.GetIncarnation()}]; ok {
		s.setReport(timeNow(), load, OutcomeSuccess)
	}
}

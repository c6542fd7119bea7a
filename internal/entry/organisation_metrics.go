package entry

import (
	"cmp"
	"slices"
	"sync/atomic"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// maxOrganisationLabels limits the organisations with a label of their own.
	maxOrganisationLabels = 20
	// otherOrganisations is the label of the others. No organisation can have this name.
	otherOrganisations = "(other)"
)

// answerResult is what became of a request of an organisation.
type answerResult int

const (
	resultServed answerResult = iota
	resultOverQuota
	resultFailed
	answerResults
)

var answerResultNames = [answerResults]string{"served", "over_quota", "refused_or_failed"}

func resultOf(kind errkind.Kind) answerResult {
	switch kind {
	case 0:
		return resultServed
	case pb.ErrorKind_ERROR_KIND_OVER_QUOTA:
		return resultOverQuota
	}
	return resultFailed
}

// organisationCounter counts the answers to an organisation.
type organisationCounter struct {
	name    string
	answers [answerResults]atomic.Int64
	// observed are the answers that have been added to a metric.
	observed [answerResults]int64
	// total is the sum of answers at the last update.
	total int64
	// own are the answers counted while the organisation had a label of its own.
	own [answerResults]int64
}

// organisationCounters are the counters of the organisations of a Handler, under the
// Handler's lock.
type organisationCounters struct {
	byName map[string]*organisationCounter
	// other counts the answers to organisations while they had no label of their own. It
	// never decreases, also when an organisation gets a label or is removed.
	other [answerResults]int64
}

// assignLocked gives each organisation its counters. Those of removed organisations are
// added to the others'.
func (c *organisationCounters) assignLocked(organisations []*organisation) {
	next := make(map[string]*organisationCounter, len(organisations))
	for _, o := range organisations {
		counter := c.byName[o.name]
		if counter == nil {
			counter = &organisationCounter{name: o.name}
		}
		delete(c.byName, o.name)
		next[o.name], o.counters = counter, counter
	}
	for _, removed := range c.byName {
		c.addLocked(removed, false)
	}
	c.byName = next
}

// addLocked adds the answers since the last call to the organisation's own label if it is
// labelled, else to the others'.
func (c *organisationCounters) addLocked(counter *organisationCounter, labelled bool) {
	target := &c.other
	if labelled {
		target = &counter.own
	}
	for i := range counter.answers {
		count := counter.answers[i].Load()
		target[i] += count - counter.observed[i]
		counter.observed[i] = count
	}
}

// updateLocked adds new answers and returns the organisations with labels of their own:
// those with the most requests.
func (c *organisationCounters) updateLocked() []*organisationCounter {
	ranked := make([]*organisationCounter, 0, len(c.byName))
	for _, counter := range c.byName {
		counter.total = 0
		for i := range counter.answers {
			counter.total += counter.answers[i].Load()
		}
		if counter.total > 0 {
			ranked = append(ranked, counter)
		}
	}
	slices.SortFunc(ranked, func(a, b *organisationCounter) int {
		return cmp.Or(cmp.Compare(b.total, a.total), cmp.Compare(a.name, b.name))
	})
	for i, counter := range ranked {
		c.addLocked(counter, i < maxOrganisationLabels)
	}
	return ranked[:min(len(ranked), maxOrganisationLabels)]
}

// countOrganisation counts the final answer to the request's organisation.
func (x *exchange) countOrganisation(kind errkind.Kind) {
	if x.organisation != nil {
		x.organisation.counters.answers[resultOf(kind)].Add(1)
	}
}

func (h *Handler) observeOrganisations(o metric.Observer, answers metric.Int64ObservableCounter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	observe := func(name string, values *[answerResults]int64) {
		for i, value := range values {
			if value > 0 {
				o.ObserveInt64(answers, value, metric.WithAttributes(
					attribute.String("organisation", name), attribute.String("result", answerResultNames[i])))
			}
		}
	}
	for _, counter := range h.organisationCounters.updateLocked() {
		observe(counter.name, &counter.own)
	}
	observe(otherOrganisations, &h.organisationCounters.other)
}

package loadgen

import "sync"

// entry records the outcomes reported to the caller of one operation over all its
// attempts.
type entry struct {
	id         string
	idempotent bool
	depth      int
	answered   bool
	wrong      bool
	// mayHaveRun is true when the outcome of an attempt was unknown, failed or
	// wrong.
	mayHaveRun bool
	// refused holds the request IDs of attempts certified not run.
	refused []string
}

// addResult adds the result of an attempt.
func (e *entry) addResult(result Result) {
	switch result.Outcome {
	case OutcomeAnswered:
		e.answered = true
	case OutcomeWrong:
		e.wrong, e.mayHaveRun = true, true
	case OutcomeUnknown, OutcomeFailed:
		e.mayHaveRun = true
	case OutcomeNotRun:
		if result.RequestID != "" {
			e.refused = append(e.refused, result.RequestID)
		}
	}
}

// ledger holds the entries of all operations sent. It is safe for concurrent
// use.
type ledger struct {
	mu      sync.Mutex
	entries []*entry
}

func (l *ledger) add(e *entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, e)
}

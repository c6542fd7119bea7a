package admission

// shareKey identifies an organisation's share of a class.
type shareKey struct {
	class        int
	organisation string
}

// share is what an organisation holds of a class.
type share struct {
	running, waiting int
}

// shares counts the requests that run and wait by class and organisation. It holds no more
// entries than there are such requests.
type shares struct {
	byKey map[shareKey]share
	// callsWeight is the weight of the requests without an organisation.
	callsWeight int
}

// weight returns the weight of an organisation: the number of its requests that count as
// one in a comparison with others. Requests without an organisation are mostly calls of
// backend servers, for which another request holds a slot elsewhere.
func (s *shares) weight(organisation string) int {
	if organisation == "" {
		return max(s.callsWeight, 1)
	}
	return 1
}

func keyOf(r *Request) shareKey { return shareKey{r.Class, r.Organisation} }

func (s *shares) add(r *Request, running, waiting int) {
	if s.byKey == nil {
		s.byKey = make(map[shareKey]share)
	}
	key := keyOf(r)
	held := s.byKey[key]
	held.running += running
	held.waiting += waiting
	if held == (share{}) {
		delete(s.byKey, key)
		return
	}
	s.byKey[key] = held
}

// queued records that a request waits.
func (s *shares) queued(r *Request) { s.add(r, 0, 1) }

// left records that a request no longer waits.
func (s *shares) left(r *Request) { s.add(r, 0, -1) }

// started records that a request runs.
func (s *shares) started(r *Request) { s.add(r, 1, 0) }

// ended records that a request no longer runs.
func (s *shares) ended(r *Request) { s.add(r, -1, 0) }

// running returns the number of running requests in the share of a request.
func (s *shares) running(r *Request) int { return s.byKey[keyOf(r)].running }

// weightedRunning returns the number of running requests in the share of a request by its
// weight.
func (s *shares) weightedRunning(r *Request) int { return s.running(r) / s.weight(r.Organisation) }

// weightedHeld returns the number of running and waiting requests in the share of a
// request by its weight, if that number changed by delta.
func (s *shares) weightedHeld(r *Request, delta int) int {
	held := s.byKey[keyOf(r)]
	return (held.running + held.waiting + delta) / s.weight(r.Organisation)
}

// areShared reports whether requests of another organisation wait in the class of a
// request.
func (s *shares) areShared(r *Request) bool {
	for key, held := range s.byKey {
		if key.class == r.Class && key.organisation != r.Organisation && held.waiting > 0 {
			return true
		}
	}
	return false
}

// aheadOfPlace returns the number of waiting requests of other organisations that go before
// a request with place requests of its own organisation running or before it: all that an
// organisation may start before it has as many running by its weight, and of those that it
// starts with as many running the ones that precede the request in the queue's order.
func (s *shares) aheadOfPlace(r *Request, place int, preceding map[string]int) int {
	ahead, round := 0, place/s.weight(r.Organisation)
	for key, held := range s.byKey {
		if key.class != r.Class || key.organisation == r.Organisation || held.waiting == 0 {
			continue
		}
		weight := s.weight(key.organisation)
		fewer := max(round*weight-held.running, 0)
		asMany := max((round+1)*weight-max(held.running, round*weight), 0)
		ahead += min(fewer+min(asMany, preceding[key.organisation]), held.waiting)
	}
	return ahead
}

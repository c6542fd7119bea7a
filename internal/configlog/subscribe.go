package configlog

import (
	"slices"
	"sync"

	"github.com/egretfield/egretfield/internal/pb"
)

// subscribers holds the handlers that are called when the state in force changes.
type subscribers struct {
	mu       sync.Mutex
	handlers []*handler
	// last is the state last passed to the handlers; nil: none yet.
	last *pb.ConfigState
}

type handler struct {
	call func(*pb.ConfigState)
}

// Subscribe registers call as a handler. It is called with the state in force:
// immediately if there is one, and in order after each change of the version, the
// drains or the evacuations. Changes in quick succession may be reported as one. The handler must not
// block or subscribe. The function returned ends the subscription.
func (f *Follower) Subscribe(call func(*pb.ConfigState)) func() {
	s := &f.subscribers
	added := &handler{call: call}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers = append(s.handlers, added)
	if state := f.Current(); state != nil && s.last != nil {
		call(state)
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.handlers = slices.DeleteFunc(s.handlers, func(h *handler) bool { return h == added })
	}
}

// notify calls the handlers with the state in force unless they have seen it. The
// caller must not hold f.mu.
func (f *Follower) notify() {
	s := &f.subscribers
	s.mu.Lock()
	defer s.mu.Unlock()
	state := f.Current()
	if state == nil || s.last != nil && hasSameEffect(state, s.last) {
		return
	}
	s.last = state
	for _, handler := range s.handlers {
		handler.call(state)
	}
}

// hasSameEffect reports whether handlers can't tell a from b.
func hasSameEffect(a, b *pb.ConfigState) bool {
	return a.GetApplied() == b.GetApplied() &&
		a.GetConfig().GetOperatorVersion() == b.GetConfig().GetOperatorVersion() &&
		slices.Equal(Evacuated(a), Evacuated(b))
}

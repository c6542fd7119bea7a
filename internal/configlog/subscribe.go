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
	// lastApplied and lastOperatorVersion are those of the state last passed to the
	// handlers.
	lastApplied         int64
	lastOperatorVersion int64
}

type handler struct {
	call func(*pb.ConfigState)
}

// Subscribe registers call as a handler. It is called with the state in force:
// immediately if there is one, and in order after each change of the version or the
// drains. Changes in quick succession may be reported as one. The handler must not
// block or subscribe. The function returned ends the subscription.
func (f *Follower) Subscribe(call func(*pb.ConfigState)) func() {
	s := &f.subscribers
	added := &handler{call: call}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers = append(s.handlers, added)
	if state := f.Current(); state != nil && s.lastApplied > 0 {
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
	if state == nil || state.GetApplied() == s.lastApplied && state.GetConfig().GetOperatorVersion() == s.lastOperatorVersion {
		return
	}
	s.lastApplied = state.GetApplied()
	s.lastOperatorVersion = state.GetConfig().GetOperatorVersion()
	for _, handler := range s.handlers {
		handler.call(state)
	}
}

package node

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/egretfield/egretfield/internal/delay"
	"github.com/egretfield/egretfield/internal/gate"
	"github.com/egretfield/egretfield/internal/member"
)

// drainer drains this instance while an operator, the backend server or a stop of
// the node asks for it. The drain is announced to the other nodes first; the gate
// refuses requests only after they have had time to receive the announcement.
type drainer struct {
	members *member.List
	gate    *gate.Gate
	logger  *zap.Logger
	// notice is how long the gate still accepts requests after a drain was
	// announced to the other nodes.
	notice time.Duration
	// changed wakes run after a drain was started or cancelled.
	changed chan struct{}
	mu      sync.Mutex
	// drainedByOperator, serverLeaving and stopping are the reasons to drain.
	drainedByOperator bool
	serverLeaving     bool
	stopping          bool
}

// newDrainer returns a drainer without a reason to drain.
func newDrainer(members *member.List, g *gate.Gate, notice time.Duration, logger *zap.Logger) *drainer {
	return &drainer{members: members, gate: g, notice: notice, logger: logger, changed: make(chan struct{}, 1)}
}

// setDrainedByOperator records whether operators want this instance drained.
func (d *drainer) setDrainedByOperator(drain bool) { d.set(func() { d.drainedByOperator = drain }) }

// setServerLeaving records whether the backend server is leaving.
func (d *drainer) setServerLeaving(leaving bool) { d.set(func() { d.serverLeaving = leaving }) }

// stop records that the node is stopping. It can't be undone.
func (d *drainer) stop() { d.set(func() { d.stopping = true }) }

// set changes a reason to drain. If that starts or cancels the drain, it announces the
// new state and wakes run.
func (d *drainer) set(change func()) {
	d.mu.Lock()
	before := d.wantedLocked()
	change()
	after := d.wantedLocked()
	d.mu.Unlock()
	if before == after {
		return
	}
	d.logger.Info("drain", zap.Bool("wanted", after))
	d.members.SetDraining(after)
	select {
	case d.changed <- struct{}{}:
	default:
	}
}

// wanted reports whether there is any reason to drain.
func (d *drainer) wanted() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.wantedLocked()
}

func (d *drainer) wantedLocked() bool {
	return d.drainedByOperator || d.serverLeaving || d.stopping
}

// run makes the gate refuse requests one notice period after a drain began, and its
// queued requests one period later. It reopens the gate when the drain is cancelled.
func (d *drainer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.changed:
		}
		if d.wanted() && !delay.Sleep(ctx, d.notice) {
			return
		}
		d.gate.SetDraining(d.wanted())
		if d.wanted() && delay.Sleep(ctx, d.notice) && d.wanted() {
			d.gate.RefuseWaiting()
		}
	}
}

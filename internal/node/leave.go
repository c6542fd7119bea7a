package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/egretfield/egretfield/internal/delay"
	"github.com/egretfield/egretfield/internal/settings"
)

// requestPercent is the part of a stop's time that requests in flight have. A request
// that is broken off before the last sixth of it counts as lost by the stop, and
// deadlines are cut by the way to the backend server on top.
const requestPercent = 90

// requestTime is the time that requests in flight have when a stop may take timeout.
func requestTime(timeout time.Duration) time.Duration {
	return timeout * requestPercent / 100
}

// stopReserve is the part of a stop's time that is kept for closing connections,
// and that for the end of the process, one part in so many.
const stopReserve = 20

// outcomePoll is how often the entry's unfinished requests are counted.
const outcomePoll = 20 * time.Millisecond

// leave takes the instance out of the fleet: no new work, the requests in flight
// to their end, the keys to their next keepers, then the news that it is gone.
func (n *Node) leave() {
	n.logger.Info("leaving")
	timeout := settings.Duration(n.settings.GetStopTimeout())
	n.stopBy = time.Now().Add(timeout - timeout/stopReserve)
	ctx, cancel := context.WithTimeout(context.Background(), requestTime(timeout))
	defer cancel()
	n.stopping.Store(true)
	if deadline, ok := ctx.Deadline(); ok {
		n.entry.SetStopping(deadline)
		n.gate.SetStopping(deadline)
	}
	// The backend server works on while callers move, so that a stop of many nodes
	// in turn takes as little of the fleet's room as it can.
	notice := settings.Duration(n.settings.GetDrainNotice())
	delay.Sleep(ctx, settings.Duration(n.settings.GetCallerNotice())-notice)
	n.drain.stop()
	delay.Sleep(ctx, notice)
	n.gate.SetDraining(true)
	if err := n.callerHTTP.Shutdown(ctx); err != nil {
		n.logger.Warn("callers' requests still running", zap.Error(err))
	}
	if err := n.gate.WaitIdle(ctx); err != nil {
		n.logger.Warn("requests still running at the gate", zap.Error(err))
	}
	n.awaitOutcomes(ctx)
	n.handOver()
	last, cancelLast := context.WithDeadline(context.Background(), n.stopBy.Add(-timeout/stopReserve))
	defer cancelLast()
	n.members.Leave(last)
	n.logger.Info("left")
}

// awaitOutcomes waits until the entry has told the keepers how its requests
// ended; that may take longer than the requests.
func (n *Node) awaitOutcomes(ctx context.Context) {
	for n.entry.Running() > 0 {
		if !delay.Sleep(ctx, outcomePoll) {
			n.logger.Warn("outcomes of keyed requests not told")
			return
		}
	}
}

// handOver gives this node's keys to their next keepers.
func (n *Node) handOver() {
	if n.keeper == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	if err := n.keeper.Leave(ctx); err != nil {
		n.logger.Warn("keys not handed over", zap.Error(err))
	}
}

// stopServers ends every server and client of the node.
func (n *Node) stopServers() {
	ctx, cancel := context.WithDeadline(context.Background(), n.stopBy)
	defer cancel()
	for server := range n.httpServers() {
		if err := server.Shutdown(ctx); err != nil {
			n.logger.Warn("server closed with connections in use", zap.Error(err))
			_ = server.Close() // its connections are given up
		}
	}
	n.members.Close()
	if err := n.control.Close(); err != nil {
		n.logger.Warn("control", zap.Error(err))
	}
	if err := n.offers.Close(); err != nil {
		n.logger.Warn("offers", zap.Error(err))
	}
	if err := n.client.Close(); err != nil {
		n.logger.Warn("control client", zap.Error(err))
	}
	n.entry.Close()
	n.closeLog()
}

package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/egretfield/egretfield/internal/delay"
	"github.com/egretfield/egretfield/internal/settings"
)

// inFlightPercent is the share of the stop timeout that requests in flight may use. A
// request that is cut off before the last sixth of the timeout counts as lost by the
// stop, and deadlines are further shortened by the round trip to the backend server.
const inFlightPercent = 90

// inFlightTimeout returns how long requests in flight may run under the stop timeout.
func inFlightTimeout(timeout time.Duration) time.Duration {
	return timeout * inFlightPercent / 100
}

// lateRequestTime is the time from the begin of a stop after which a request is refused if
// it may last longer than the stop. The last requests on connections that were accepted
// before the listener closed arrive about then.
const lateRequestTime = 3 * time.Second

// stopReserveDivisor: 1/stopReserveDivisor of the stop timeout is reserved for closing
// connections, and as much again for the exit of the process.
const stopReserveDivisor = 20

// outcomePoll is the interval at which the entry's unfinished requests are counted.
const outcomePoll = 20 * time.Millisecond

// leave takes the instance out of the fleet: it refuses new requests, waits for those
// in flight, hands its keys to their next keepers and announces its departure.
func (n *Node) leave() {
	n.logger.Info("leaving")
	timeout := settings.Duration(n.settings.GetStopTimeout())
	n.stopDeadline = time.Now().Add(timeout - timeout/stopReserveDivisor)
	ctx, cancel := context.WithTimeout(context.Background(), inFlightTimeout(timeout))
	defer cancel()
	n.stopping.Store(true)
	if deadline, ok := ctx.Deadline(); ok {
		n.entry.SetStopping(time.Now().Add(min(lateRequestTime, timeout/2)), deadline)
		n.gate.SetStopping(deadline)
	}
	// The backend server keeps accepting requests while callers move to other nodes,
	// so that a rolling stop of many nodes removes as little capacity as possible.
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
	membersCtx, cancelMembers := context.WithDeadline(context.Background(), n.stopDeadline.Add(-timeout/stopReserveDivisor))
	defer cancelMembers()
	n.members.Leave(membersCtx)
	if n.hasUsageCaps() {
		// Owners of caps that start later would otherwise take this instance for one that
		// they can't reach, and grant less for it.
		n.members.RecordLeave(membersCtx)
	}
	n.logger.Info("left")
}

// awaitOutcomes waits until the entry has reported the outcomes of its requests to the
// keepers, which may take longer than the requests themselves.
func (n *Node) awaitOutcomes(ctx context.Context) {
	for n.entry.Running() > 0 {
		if !delay.Sleep(ctx, outcomePoll) {
			n.logger.Warn("outcomes of keyed requests not reported to their keepers")
			return
		}
	}
}

// handOver hands this node's keys over to their next keepers.
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

// stopServers closes every server and client of the node.
func (n *Node) stopServers() {
	ctx, cancel := context.WithDeadline(context.Background(), n.stopDeadline)
	defer cancel()
	for server := range n.httpServers() {
		if err := server.Shutdown(ctx); err != nil {
			n.logger.Warn("server closed with connections in use", zap.Error(err))
			_ = server.Close() // drops the remaining connections
		}
	}
	n.members.Close()
	if err := n.controlServer.Close(); err != nil {
		n.logger.Warn("control", zap.Error(err))
	}
	if err := n.offers.Close(); err != nil {
		n.logger.Warn("offers", zap.Error(err))
	}
	if err := n.controlClient.Close(); err != nil {
		n.logger.Warn("control client not closed", zap.Error(err))
	}
	n.entry.Close()
	n.closeLog()
}

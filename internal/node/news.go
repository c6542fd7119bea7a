package node

import (
	"github.com/egretfield/egretfield/internal/loadnews"
	"github.com/egretfield/egretfield/internal/pb"
)

// makeNews makes the part that spreads the load of the backend server.
func (n *Node) makeNews(Options) error {
	var err error
	n.news, err = loadnews.New(loadnews.Options{
		Region:    n.settings.GetRegion(),
		SharedKey: []byte(n.settings.GetSharedKey()),
		Address:   n.sockets.control.Addr().String(),
		Report:    n.ownLoad,
		Peers:     n.newsPeers,
		Observe:   n.observeLoad,
		Logger:    n.logger.Named("news"),
	})
	return err
}

// ownLoad is the load of the backend server beside this node; nil: there is none.
func (n *Node) ownLoad() *pb.LoadReport {
	if n.members.Self().GetService() == "" {
		return nil
	}
	return n.gate.Report()
}

// newsPeers are the nodes that may choose this node's backend server.
func (n *Node) newsPeers() []loadnews.Peer {
	var peers []loadnews.Peer
	for _, m := range n.members.View().Members {
		if m.GetStatus() == pb.MemberStatus_MEMBER_STATUS_ALIVE && m.GetInstance() != n.settings.GetInstance() {
			peers = append(peers, loadnews.Peer{Address: m.GetControlAddress(), Region: m.GetRegion()})
		}
	}
	return peers
}

// observeLoad hands the load of another node's backend server to its balancer.
func (n *Node) observeLoad(report *pb.LoadReport) {
	service := n.members.View().Get(report.GetInstance()).GetService()
	n.services.observe(service, report)
}

package node

import (
	"github.com/egretfield/egretfield/internal/configlog"
	"github.com/egretfield/egretfield/internal/member"
	"github.com/egretfield/egretfield/internal/once"
	"github.com/egretfield/egretfield/internal/pb"
)

// isLive reports whether a member is believed to be running.
func isLive(m *pb.Member) bool {
	switch m.GetStatus() {
	case pb.MemberStatus_MEMBER_STATUS_ALIVE, pb.MemberStatus_MEMBER_STATUS_SUSPECT,
		pb.MemberStatus_MEMBER_STATUS_DRAINING:
		return true
	}
	return false
}

// liveMembers returns the number of live members, or zero before the node has joined
// the fleet.
func (n *Node) liveMembers() int {
	if !n.members.Joined() {
		return 0
	}
	count := 0
	for _, m := range n.members.View().Members {
		if isLive(m) {
			count++
		}
	}
	return count
}

// configReadersPerDataCentre is the number of nodes in a data centre that read the
// configuration stream from the log; the others learn of changes from peers.
const configReadersPerDataCentre = 2

// isConfigReader reports whether this node is one of its data centre's readers of the
// configuration stream.
func (n *Node) isConfigReader() bool {
	if n.platform != nil && !n.members.Joined() {
		// The follower has got the newest configuration along with the log's bounds, and
		// calls to the store are billed.
		return false
	}
	var sameDataCentre []string
	for _, m := range n.members.View().Members {
		alive := m.GetStatus() == pb.MemberStatus_MEMBER_STATUS_ALIVE
		if alive && m.GetDataCentre() == n.settings.GetDataCentre() {
			sameDataCentre = append(sameDataCentre, m.GetInstance())
		}
	}
	return configlog.IsReader(n.settings.GetInstance(), sameDataCentre, configReadersPerDataCentre)
}

// keeperMembers adapts the member list to once.Members.
type keeperMembers struct {
	list *member.List
}

// Self implements once.Members.
func (k *keeperMembers) Self() once.Member {
	return keeperMember(k.list.Self())
}

// Live implements once.Members.
func (k *keeperMembers) Live() []once.Member {
	var live []once.Member
	for _, m := range k.list.View().Members {
		if isLive(m) {
			live = append(live, keeperMember(m))
		}
	}
	return live
}

// Subscribe implements once.Members.
func (k *keeperMembers) Subscribe(changed func()) {
	changes, _ := k.list.Watch()
	go func() {
		for range changes {
			changed()
		}
	}()
}

// keeperMember converts a member for the keepers of keys.
func keeperMember(m *pb.Member) once.Member {
	return once.Member{
		Instance:    m.GetInstance(),
		Incarnation: m.GetIncarnation(),
		Region:      m.GetRegion(),
		DataCentre:  m.GetDataCentre(),
		Address:     m.GetControlAddress(),
		Draining:    m.GetStatus() == pb.MemberStatus_MEMBER_STATUS_DRAINING,
	}
}

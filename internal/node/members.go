package node

import (
	"github.com/egretfield/egretfield/internal/configlog"
	"github.com/egretfield/egretfield/internal/member"
	"github.com/egretfield/egretfield/internal/once"
	"github.com/egretfield/egretfield/internal/pb"
)

// isLive says whether a member is thought to run.
func isLive(m *pb.Member) bool {
	switch m.GetStatus() {
	case pb.MemberStatus_MEMBER_STATUS_ALIVE, pb.MemberStatus_MEMBER_STATUS_SUSPECT,
		pb.MemberStatus_MEMBER_STATUS_DRAINING:
		return true
	}
	return false
}

// liveMembers is the number of members that are thought to run; zero before the node
// has met the fleet.
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

// configReaders is the number of nodes of a data centre that follow the
// configuration stream on the log; the others hear of changes from peers.
const configReaders = 2

// readsConfiguration says whether this node is one of its data centre's readers
// of the configuration stream.
func (n *Node) readsConfiguration() bool {
	if n.platform != nil && !n.members.Joined() {
		return false // it has read the newest one, and calls of the store are paid
	}
	var others []string
	for _, m := range n.members.View().Members {
		alive := m.GetStatus() == pb.MemberStatus_MEMBER_STATUS_ALIVE
		if alive && m.GetDataCentre() == n.settings.GetDataCentre() {
			others = append(others, m.GetInstance())
		}
	}
	return configlog.IsReader(n.settings.GetInstance(), others, configReaders)
}

// keeperMembers shows the member list to the keepers of keys.
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

// keeperMember describes a member to the keepers.
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

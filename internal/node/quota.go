package node

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/egretfield/egretfield/internal/entry"
	"github.com/egretfield/egretfield/internal/member"
	"github.com/egretfield/egretfield/internal/pb"
	"github.com/egretfield/egretfield/internal/quota"
	"github.com/egretfield/egretfield/internal/settings"
)

// makeQuota creates the part that enforces the usage caps of organisations.
func (n *Node) makeQuota() {
	bounds := n.settings.GetPlatform().GetQuota()
	window := cmp.Or(settings.Duration(bounds.GetWindow()), quota.DefaultWindow)
	overshoot := cmp.Or(bounds.GetOvershoot(), quota.DefaultOvershoot)
	slack := cmp.Or(bounds.GetSlack(), quota.DefaultSlack)
	n.quota = quota.NewManager(quota.Options{
		Self:   quotaMember(n.members.Self()),
		Limits: quota.NewLimits(window, overshoot, slack),
		View:   n.quotaView,
		Send:   n.offers.SendQuotaRequest,
		Logger: n.logger.Named("quota"),
	})
	n.offers.SetQuota(n.quota)
}

// hasUsageCaps reports whether the configuration in force has an organisation with a cap.
func (n *Node) hasUsageCaps() bool {
	return slices.ContainsFunc(n.follower.Current().GetConfig().GetOrganisations(), func(o *pb.Organisation) bool {
		return o.GetRatePerS() > 0
	})
}

// quotaViews caches the latest view in the form of package quota.
type quotaViews struct {
	mu   sync.Mutex
	last quota.View
}

// quotaView returns the members for the usage caps.
func (n *Node) quotaView() quota.View {
	view, health := n.members.View(), n.members.Health()
	cache := &n.quotaViews
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if cache.last.Version != view.Version || cache.last.Members == nil {
		members := make([]quota.Member, 0, len(view.Members))
		for _, m := range view.Members {
			members = append(members, quotaMember(m))
		}
		cache.last = quota.View{Version: view.Version, Members: members}
	}
	result := cache.last
	result.Joined = n.members.Joined()
	recorded, read := n.members.JoinRecords()
	result.Recorded, result.LogUnread = recorded, !read
	switch health.Reason {
	case member.ReasonIsolated, member.ReasonPaused, member.ReasonSuperseded:
		result.Isolated = true
	}
	return result
}

// quotaMember converts a member for the usage caps. A draining member still forwards
// requests and owns parts until it leaves.
func quotaMember(m *pb.Member) quota.Member {
	state := quota.Alive
	switch m.GetStatus() {
	case pb.MemberStatus_MEMBER_STATUS_SUSPECT:
		state = quota.Suspect
	case pb.MemberStatus_MEMBER_STATUS_DEAD:
		state = quota.Dead
	case pb.MemberStatus_MEMBER_STATUS_LEFT:
		state = quota.Left
	}
	return quota.Member{
		Instance: m.GetInstance(),
		Region:   m.GetRegion(),
		Address:  m.GetControlAddress(),
		Started:  time.UnixMicro(int64(m.GetIncarnation())),
		State:    state,
	}
}

// quotaAdapter makes a Manager an entry.Quota.
type quotaAdapter struct {
	manager *quota.Manager
}

// Begin implements entry.Quota.
func (a quotaAdapter) Begin(organisation string) entry.QuotaClaim {
	if claim := a.manager.Begin(organisation); claim != nil {
		return claim
	}
	return nil
}

// Peek implements entry.QuotaReader.
func (a quotaAdapter) Peek(organisation string) *pb.WhereCap {
	status, ok := a.manager.Peek(organisation)
	if !ok {
		return nil
	}
	return &pb.WhereCap{
		RatePerS:     status.Cap.RatePerS,
		Burst:        status.Cap.Burst,
		Held:         uint32(status.Held),
		OwnsPart:     status.OwnsPart,
		PartTokens:   status.PartTokens,
		DemandPerS:   status.DemandPerS,
		Refusing:     status.Refused,
		RetryAfterMs: uint32(status.RetryAfter.Milliseconds()),
	}
}

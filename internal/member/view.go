package member

import (
	"sort"

	"github.com/egretfield/egretfield/internal/pb"
)

// View is an immutable snapshot of the fleet as one node knows it.
type View struct {
	// Version increases with every change of this node's view.
	Version uint64
	// Members are all known members sorted by instance, including tombstones. A
	// member's status combines its own with what other nodes found. Read-only.
	Members []*pb.Member

	byInstance map[string]*pb.Member
	byService  map[string][]*pb.Member
}

// Get returns the member with that instance name, or nil.
func (v *View) Get(instance string) *pb.Member {
	return v.byInstance[instance]
}

// Service returns the members whose backend server serves the service and may
// take new work: their status is alive. Read-only.
func (v *View) Service(service string) []*pb.Member {
	return v.byService[service]
}

// Services returns the sorted names of the services for which Service returns at
// least one member.
func (v *View) Services() []string {
	names := make([]string, 0, len(v.byService))
	for name := range v.byService {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// newView builds a view from the table's entries.
func newView(version uint64, entries map[string]*entry) *View {
	v := &View{
		Version:    version,
		Members:    make([]*pb.Member, 0, len(entries)),
		byInstance: make(map[string]*pb.Member, len(entries)),
		byService:  map[string][]*pb.Member{},
	}
	for instance, e := range entries {
		v.Members = append(v.Members, e.member)
		v.byInstance[instance] = e.member
	}
	sort.Slice(v.Members, func(i, j int) bool { return v.Members[i].Instance < v.Members[j].Instance })
	for _, m := range v.Members {
		if m.Service != "" && m.Status == alive {
			v.byService[m.Service] = append(v.byService[m.Service], m)
		}
	}
	return v
}

package ctl

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/egretfield/egretfield/internal/delay"
	"github.com/egretfield/egretfield/internal/errkind"
	"github.com/egretfield/egretfield/internal/pb"
)

// A command that waits for a change polls the fleet after firstPollDelay and then every
// pollInterval.
const (
	firstPollDelay = 100 * time.Millisecond
	pollInterval   = 250 * time.Millisecond
)

// maxListedNames limits the number of instances that a message lists by name.
const maxListedNames = 10

// progress counts the nodes on which a change is in force.
type progress struct {
	applied int
	live    int
	behind  []string // live nodes on which it isn't in force, or not known to be
	// dataCentres has the counts by data centre, in order of name.
	dataCentres []*dataCentre
}

// dataCentre is the progress of a change in one data centre.
type dataCentre struct {
	name    string
	applied int
	listed  int      // known to the queried node and not left
	unknown []string // listed, but their own status isn't known
	lagging int      // listed, and their own status shows that they lack the change
}

// progressOf returns the progress of a change. Only nodes that are alive or draining
// count as live; commands don't wait for nodes that are suspect, dead or gone.
func progressOf(status *pb.FleetStatus, entry *pb.AuditEntry) progress {
	var p progress
	for _, node := range status.GetNodes() {
		p.countInDataCentre(node, entry)
		if !isLive(node.GetMember().GetStatus()) {
			continue
		}
		p.live++
		if node.GetDigest().GetFoldedThrough() >= entry.GetOffset() {
			p.applied++
			continue
		}
		p.behind = append(p.behind, node.GetMember().GetInstance())
	}
	return p
}

// countInDataCentre counts a node in its data centre, unless it has left.
func (p *progress) countInDataCentre(node *pb.FleetNode, entry *pb.AuditEntry) {
	member := node.GetMember()
	if member.GetStatus() == pb.MemberStatus_MEMBER_STATUS_LEFT {
		return
	}
	counts := p.dataCentre(member.GetDataCentre())
	counts.listed++
	switch {
	case !isLive(member.GetStatus()) || node.GetDigest() == nil:
		counts.unknown = append(counts.unknown, member.GetInstance())
	case node.GetDigest().GetFoldedThrough() >= entry.GetOffset():
		counts.applied++
	default:
		counts.lagging++
	}
}

// dataCentre returns the counts of a data centre, which it adds if they are new.
func (p *progress) dataCentre(name string) *dataCentre {
	for _, known := range p.dataCentres {
		if known.name == name {
			return known
		}
	}
	added := &dataCentre{name: name}
	p.dataCentres = append(p.dataCentres, added)
	slices.SortFunc(p.dataCentres, func(a, b *dataCentre) int { return strings.Compare(a.name, b.name) })
	return added
}

// unknown returns the number of nodes whose own status isn't known.
func (p progress) unknown() int {
	count := 0
	for _, centre := range p.dataCentres {
		count += len(centre.unknown)
	}
	return count
}

// text describes the progress of a change in a data centre.
func (c *dataCentre) text() string {
	text := fmt.Sprintf("%s: in force on %d of %d nodes listed", orNone(c.name), c.applied, c.listed)
	if c.lagging > 0 {
		text += fmt.Sprintf(", not yet on %d", c.lagging)
	}
	if len(c.unknown) > 0 {
		text += ", unknown of " + shortList(c.unknown)
	}
	return text
}

// isLive reports whether commands wait for a node with a status. Unlike in package node,
// a suspect node isn't live.
func isLive(status pb.MemberStatus) bool {
	return status == pb.MemberStatus_MEMBER_STATUS_ALIVE || status == pb.MemberStatus_MEMBER_STATUS_DRAINING
}

func (p progress) behindNames() string {
	return shortList(p.behind)
}

// shortList lists at most maxListedNames names, and the number of the others.
func shortList(names []string) string {
	if len(names) <= maxListedNames {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxListedNames], ", "), len(names)-maxListedNames)
}

// awaitFleet waits until an accepted change is in force on every live node, and prints
// the result.
func (s *session) awaitFleet(ctx context.Context, fleet control, entry *pb.AuditEntry) error {
	started := time.Now()
	delay.Sleep(ctx, firstPollDelay)
	lastApplied := -1
	for {
		status, err := fleet.fleetStatus(ctx)
		if status == nil && err == nil {
			return s.printAccepted(entry, nil, 0)
		}
		p := progressOf(status, entry)
		if err == nil && p.applied != lastApplied {
			lastApplied = p.applied
			s.progressf("in force on %d of %d nodes", p.applied, p.live)
		}
		if err == nil && p.applied == p.live {
			return s.printAccepted(entry, &p, time.Since(started))
		}
		if !delay.Sleep(ctx, pollInterval) {
			return s.timeoutError(entry, p, err)
		}
	}
}

// progressf prints a line about the progress of a wait to stderr, unless the output is
// JSON.
func (s *session) progressf(format string, args ...any) {
	if s.output != "json" {
		fmt.Fprintf(s.env.Stderr, format+"\n", args...)
	}
}

// timeoutError returns an error for a change that was accepted but isn't in force on all
// live nodes in time.
func (s *session) timeoutError(entry *pb.AuditEntry, p progress, err error) error {
	const kind = pb.ErrorKind_ERROR_KIND_TIMEOUT
	if err != nil {
		return errkind.Wrap(kind, err, "accepted at offset %d; the node asked didn't report which nodes have it", entry.GetOffset())
	}
	for _, centre := range p.dataCentres {
		s.progressf("  %s", centre.text())
	}
	return errkind.New(kind, "accepted at offset %d, in force on %d of %d nodes; not yet on %s",
		entry.GetOffset(), p.applied, p.live, p.behindNames())
}

package member

import (
	"slices"
	"time"

	"github.com/egretfield/egretfield/internal/pb"
)

// maxKnownAddresses bounds the addresses kept in addition to the members'.
const maxKnownAddresses = 2048

// knownAddress is the control address from a join record. The node ran there when it
// appended the record; that doesn't imply that one runs there now.
type knownAddress struct {
	address    string
	instance   string
	appendedAt time.Time
}

// knownAddresses are the control addresses from the settings and the member
// stream. It isn't safe for concurrent use.
type knownAddresses struct {
	seeds      []string
	byInstance map[string]*knownAddress
	// tried are the addresses that this node has called before it joined.
	tried map[string]bool
}

func (c *knownAddresses) init(seeds []string) {
	c.seeds = seeds
	c.byInstance = map[string]*knownAddress{}
	c.tried = map[string]bool{}
}

// add stores the address of a member whose join record was appended at appendedAt.
func (c *knownAddresses) add(m *pb.Member, appendedAt time.Time) {
	known := c.byInstance[m.Instance]
	if known == nil && len(c.byInstance) >= maxKnownAddresses {
		return
	}
	c.byInstance[m.Instance] = &knownAddress{address: m.ControlAddress, instance: m.Instance, appendedAt: appendedAt}
}

// remove drops the address of an instance that has left.
func (c *knownAddresses) remove(instance string) { delete(c.byInstance, instance) }

// expire drops the addresses whose join record is older than tombstoneRetention,
// which is longer than any network partition that the two sides can still recover
// from.
func (c *knownAddresses) expire(now time.Time) {
	for name, known := range c.byInstance {
		if now.Sub(known.appendedAt) > tombstoneRetention {
			delete(c.byInstance, name)
		}
	}
}

// recorded returns the instances whose join record was appended after a point in time, and
// this node's own.
func (c *knownAddresses) recorded(after time.Time, own string) []string {
	instances := []string{own}
	for instance, known := range c.byInstance {
		if known.appendedAt.After(after) {
			instances = append(instances, instance)
		}
	}
	return instances
}

// unreachedAddresses returns the addresses to try: those of dead members, those
// known from the member stream unless the instance has left, and the seeds. It
// skips the addresses of this node and of reachable members. The caller holds mu.
func (l *List) unreachedAddresses() []string {
	used := map[string]bool{l.opts.Member.ControlAddress: true}
	for _, members := range [][]*pb.Member{l.partners.sameRegion, l.partners.otherRegions} {
		for _, m := range members {
			used[m.ControlAddress] = true
		}
	}
	var out []string
	add := func(address string) {
		if address != "" && !used[address] {
			used[address] = true
			out = append(out, address)
		}
	}
	for _, e := range l.table.entries {
		if effectiveStatus(e.record) == dead {
			add(e.record.Member.ControlAddress)
		}
	}
	for _, known := range l.knownAddresses.byInstance {
		if e := l.table.entries[known.instance]; e == nil || effectiveStatus(e.record) != left {
			add(known.address)
		}
	}
	for _, seed := range l.knownAddresses.seeds {
		add(seed)
	}
	return out
}

// tryUnreachedAddress exchanges records with the node at a random unreached
// address, while joining preferably one not tried yet. It reports whether a node
// answered.
func (l *List) tryUnreachedAddress() bool {
	l.mu.Lock()
	addresses := l.unreachedAddresses()
	if untriedAddresses := l.untriedAddresses(addresses); len(untriedAddresses) > 0 {
		addresses = untriedAddresses
	}
	if len(addresses) == 0 {
		l.mu.Unlock()
		return false
	}
	slices.Sort(addresses)
	address := addresses[l.rand.IntN(len(addresses))]
	if !l.health.joined {
		l.knownAddresses.tried[address] = true
	}
	joining := !l.health.joined
	l.mu.Unlock()
	if joining {
		return l.join(address)
	}
	return l.exchange(address, nil)
}

// untriedAddresses returns the addresses that this node hasn't tried yet while
// joining; none once it has joined. The caller holds mu.
func (l *List) untriedAddresses(addresses []string) []string {
	if l.health.joined {
		return nil
	}
	var out []string
	for _, address := range addresses {
		if !l.knownAddresses.tried[address] {
			out = append(out, address)
		}
	}
	return out
}

// joinRound tries one address to join through.
func (l *List) joinRound() {
	l.tryUnreachedAddress()
}

// heal tries an address at which no member is believed reachable, so that the two
// sides of a network partition find each other again.
func (l *List) heal() {
	l.tryUnreachedAddress()
}

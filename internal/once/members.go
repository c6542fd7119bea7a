package once

// Member describes an instance to the keepers.
type Member struct {
	Instance    string
	Incarnation uint64
	Region      string
	DataCentre  string
	// Address is the control address.
	Address string
	// Draining reports whether the instance is leaving: it keeps its shards
	// until it has handed them over and gets no new ones.
	Draining bool
}

// Members is a view of the live instances. Safe for concurrent use. A wrong
// view costs availability but never safety.
type Members interface {
	// Self returns this instance, with the incarnation of this start.
	Self() Member
	// Live returns the instances considered alive, draining ones and Self
	// included. The caller must not modify the slice.
	Live() []Member
	// Subscribe registers a function to call after each change. The function
	// must not block.
	Subscribe(changed func())
}

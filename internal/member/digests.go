package member

import (
	"time"

	"github.com/egretfield/egretfield/internal/pb"
)

const (
	// MaxDigestBytes is the maximum size of a digest.
	MaxDigestBytes = 64
	// maxDigests bounds the digests in a message.
	maxDigests = 8
)

// digestSource supplies a digest, which is a short summary of state that another
// package keeps, such as the configuration, for every round and handles those of other
// nodes. The digests of table buckets are a different thing, see pb.BucketDigest.
type digestSource struct {
	name   string
	get    func() []byte
	handle func(addr string, digest []byte, asked time.Time)
}

// AddDigest adds a digest that is sent with the request and the reply of every
// gossip round. The get function returns this node's digest, at most MaxDigestBytes
// bytes, or nil if it has none now. The handle function is called with another
// node's control address and its digest. A digest in a reply was made after asked,
// the time at which this node sent the request; for a digest in a request asked is
// zero, since its age is unknown. Neither function may block or call the list. Call
// AddDigest before Start.
func (l *List) AddDigest(name string, get func() []byte, handle func(addr string, digest []byte, asked time.Time)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.digests) < maxDigests {
		l.digests = append(l.digests, digestSource{name, get, handle})
	}
}

// ownDigests returns this node's digests. The caller holds mu.
func (l *List) ownDigests() []*pb.NamedDigest {
	var out []*pb.NamedDigest
	for _, source := range l.digests {
		data := source.get()
		if data != nil && len(data) <= MaxDigestBytes {
			out = append(out, &pb.NamedDigest{Name: source.name, Data: data})
		}
	}
	return out
}

// handleDigests passes the digests of the node at addr to their handlers. The
// digests were made after asked; zero if that is unknown.
func (l *List) handleDigests(addr string, digests []*pb.NamedDigest, asked time.Time) {
	if len(digests) == 0 || addr == "" {
		return
	}
	l.mu.Lock()
	sources := l.digests
	l.mu.Unlock()
	for _, d := range digests[:min(len(digests), maxDigests)] {
		for _, source := range sources {
			if source.name == d.Name && len(d.Data) <= MaxDigestBytes {
				source.handle(addr, d.Data, asked)
			}
		}
	}
}

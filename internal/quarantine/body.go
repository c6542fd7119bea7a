package quarantine

import (
	"encoding/binary"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// PrefixBytes is the length of the beginning of a streamed body that tells it from others.
const PrefixBytes = 16 << 10

// BodyFingerprint returns the fingerprint of a request with a streamed body. base is the
// fingerprint of what is known without the body; prefix holds its first PrefixBytes, or all
// of a shorter one. The result is never 0.
func BodyFingerprint(base uint64, prefix []byte) uint64 {
	digest := NewBodyDigest(base)
	digest.Add(prefix)
	digest.End()
	return digest.Fingerprint()
}

// BodyDigest computes the fingerprint of a request with a streamed body while the body
// passes. Safe for concurrent use.
type BodyDigest struct {
	base uint64
	// sum is the fingerprint; 0 until enough of the body has passed.
	sum atomic.Uint64

	mu      sync.Mutex
	hash    xxhash.Digest
	missing int
}

// NewBodyDigest returns a digest of a body of which nothing has passed.
func NewBodyDigest(base uint64) *BodyDigest {
	d := &BodyDigest{base: base, missing: PrefixBytes}
	d.hash.Reset()
	_, _ = d.hash.Write(binary.BigEndian.AppendUint64(nil, base))
	return d
}

// Base returns the fingerprint of what is known of the request without the body.
func (d *BodyDigest) Base() uint64 { return d.base }

// Add records the next part of the body.
func (d *BodyDigest) Add(part []byte) {
	if d.sum.Load() != 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	part = part[:min(len(part), d.missing)]
	_, _ = d.hash.Write(part)
	if d.missing -= len(part); d.missing == 0 {
		d.sum.Store(max(d.hash.Sum64(), 1))
	}
}

// End records the end of the body.
func (d *BodyDigest) End() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sum.Load() == 0 {
		d.missing = 0
		d.sum.Store(max(d.hash.Sum64(), 1))
	}
}

// Fingerprint returns the fingerprint, or 0 while too little of the body has passed.
func (d *BodyDigest) Fingerprint() uint64 { return d.sum.Load() }

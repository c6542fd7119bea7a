// Package shard determines which session keeps which idempotency keys. It maps
// keys to shards by hash, and is the replicated state machine that computes the
// leased intervals of each shard from the records of the keeper stream.
package shard

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
)

// Count is the number of shards. Changing it changes the keeper of every key.
const Count = 2048

const (
	canonicalLen   = 36 // characters of a UUID with hyphens
	timestampBytes = 6  // leading bytes of a UUIDv7 that hold its timestamp
)

// ErrInvalidKey is returned for a key without a valid creation time.
var ErrInvalidKey = eris.New("the key is not a UUIDv7 in canonical form")

// Timestamp is the creation time in a key, in Unix milliseconds by the clock of
// the node or caller that made it.
type Timestamp = uint64

// Key is a parsed idempotency key within a service and a scope.
type Key struct {
	Service string
	ID      [16]byte
	Scope   Scope
}

// Scope separates the keys of organisations from each other. The zero Scope is that of
// configurations without organisations and of builds that don't know scopes: whose key it
// is isn't known.
type Scope struct {
	// Organisation is empty for callers without one.
	Organisation string
	// Known reports whether the organisation, or that there is none, is known.
	Known bool
}

// ScopeOf returns the scope in a message.
func ScopeOf(organisation *string) Scope {
	if organisation == nil {
		return Scope{}
	}
	return Scope{Organisation: *organisation, Known: true}
}

// Field returns the scope as ScopeOf reads it.
func (s Scope) Field() *string {
	if !s.Known {
		return nil
	}
	return &s.Organisation
}

// In returns the key in another scope.
func (k Key) In(scope Scope) Key {
	k.Scope = scope
	return k
}

// ParseKey parses a UUIDv7 in the 36-character form, with letters of either
// case.
func ParseKey(service, value string) (Key, error) {
	if len(value) != canonicalLen {
		return Key{}, ErrInvalidKey
	}
	id, err := uuid.Parse(value)
	if err != nil {
		return Key{}, ErrInvalidKey
	}
	return KeyFromBytes(service, id[:])
}

// KeyFromBytes returns the key whose UUIDv7 is the 16 bytes of id.
func KeyFromBytes(service string, id []byte) (Key, error) {
	parsed, err := uuid.FromBytes(id)
	if err != nil || parsed.Version() != 7 || parsed.Variant() != uuid.RFC4122 {
		return Key{}, ErrInvalidKey
	}
	return Key{Service: service, ID: parsed}, nil
}

// Timestamp returns the key's creation time.
func (k Key) Timestamp() Timestamp {
	var wide [8]byte
	copy(wide[8-timestampBytes:], k.ID[:timestampBytes])
	return binary.BigEndian.Uint64(wide[:])
}

// Shard returns the number of the shard that the key belongs to, below Count. It doesn't
// depend on the scope, so that builds without scopes ask the same keeper.
func (k Key) Shard() uint32 {
	digest := xxhash.New()
	_, _ = digest.WriteString(k.Service)
	_, _ = digest.Write(k.ID[:])
	return uint32(digest.Sum64() % Count)
}

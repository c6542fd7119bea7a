// Package apikey has the API keys of a configuration's organisations as entries and gates
// look them up, and the form in which keys are shown.
package apikey

import (
	"crypto/sha256"
	"encoding/hex"
	"regexp"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/egretfield/egretfield/internal/pb"
)

// ID identifies a key by the first half of its SHA-256, in which no two keys collide. Equal
// keys have equal ids on all nodes.
type ID [sha256.Size / 2]byte

// stackKeyBytes is the length up to which a key is hashed without an allocation.
const stackKeyBytes = 128

// IDOf returns the id of a key.
func IDOf(key string) ID {
	var buf [stackKeyBytes]byte
	sum := sha256.Sum256(append(buf[:0], key...))
	return ID(sum[:len(ID{})])
}

const (
	shownPrefix = "sha256:"
	shownDigits = 8
)

// shownForm matches what Shown returns.
var shownForm = regexp.MustCompile(`^` + shownPrefix + `[0-9a-f]{` + strconv.Itoa(shownDigits) + `}$`)

// Shown returns the form in which a key may be shown: the first 8 hex digits of its
// SHA-256. The prefix lets IsShown tell it from a key.
func Shown(key string) string {
	id := IDOf(key)
	return shownPrefix + hex.EncodeToString(id[:shownDigits/2])
}

// IsShown reports whether text has the form that Shown returns.
func IsShown(text string) bool { return shownForm.MatchString(text) }

// Redact returns a copy of the configuration with each key as Shown returns it.
func Redact(config *pb.Config) *pb.Config {
	redacted := proto.CloneOf(config)
	for _, organisation := range redacted.GetOrganisations() {
		for i, key := range organisation.GetApiKeys() {
			organisation.ApiKeys[i] = Shown(key)
		}
	}
	return redacted
}

// Version orders configurations as nodes do when they choose between two: by the
// operator's version, then by the offset on the log. A log that came back from an older
// copy may hold an older configuration at a later offset.
type Version struct {
	Operator int64
	Offset   int64
}

// Before reports whether v is older than other.
func (v Version) Before(other Version) bool {
	if v.Operator != other.Operator {
		return v.Operator < other.Operator
	}
	return v.Offset < other.Offset
}

// Use says which key an entry accepted for a request, and by which configuration.
type Use struct {
	Key     ID
	Version Version
}

// IsZero reports whether the request was accepted without a key.
func (u Use) IsZero() bool { return u == Use{} }

// useSeparator separates the parts of an encoded Use.
const useSeparator = ":"

// AppendTo appends the encoded form, which has no spaces, to buf.
func (u Use) AppendTo(buf []byte) []byte {
	buf = hex.AppendEncode(buf, u.Key[:])
	buf = append(buf, useSeparator...)
	buf = strconv.AppendInt(buf, u.Version.Operator, 10)
	buf = append(buf, useSeparator...)
	return strconv.AppendInt(buf, u.Version.Offset, 10)
}

// ParseUse decodes what Use.AppendTo encodes.
func ParseUse(text string) (Use, bool) {
	key, version, ok := strings.Cut(text, useSeparator)
	if !ok || len(key) != hex.EncodedLen(len(ID{})) {
		return Use{}, false
	}
	operator, offset, ok := strings.Cut(version, useSeparator)
	if !ok {
		return Use{}, false
	}
	var use Use
	_, errKey := hex.Decode(use.Key[:], []byte(key))
	var errOperator, errOffset error
	use.Version.Operator, errOperator = strconv.ParseInt(operator, 10, 64)
	use.Version.Offset, errOffset = strconv.ParseInt(offset, 10, 64)
	return use, errKey == nil && errOperator == nil && errOffset == nil
}

// Table maps the keys of a configuration to their organisations. It is immutable and
// doesn't contain the keys themselves.
type Table struct {
	version Version
	names   []string
	owners  map[ID]int32
}

// NewTable returns the keys of the state's configuration.
func NewTable(state *pb.ConfigState) *Table {
	organisations := state.GetConfig().GetOrganisations()
	keys := 0
	for _, organisation := range organisations {
		keys += len(organisation.GetApiKeys())
	}
	t := &Table{
		version: Version{Operator: state.GetConfig().GetOperatorVersion(), Offset: state.GetVersion()},
		names:   make([]string, len(organisations)),
		owners:  make(map[ID]int32, keys),
	}
	for i, organisation := range organisations {
		t.names[i] = organisation.GetName()
		for _, key := range organisation.GetApiKeys() {
			t.owners[IDOf(key)] = int32(i)
		}
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() Version { return t.version }

// Owner returns the position in the configuration of the organisation that has the key.
func (t *Table) Owner(id ID) (index int, known bool) {
	owner, known := t.owners[id]
	return int(owner), known
}

// Validity says whether a key may still be used as an entry accepted it.
type Validity int

const (
	// Valid: it belongs to the organisation, or this table is older than the entry's.
	Valid Validity = iota
	// Withdrawn: no organisation has the key.
	Withdrawn
	// Moved: another organisation has the key, or there are no organisations any more.
	Moved
)

// Check compares a use of a key for an organisation with this table. A table of an older
// configuration than the entry's can't judge: the key may be new.
func (t *Table) Check(use Use, organisation string) Validity {
	if t == nil || use.IsZero() || t.version.Before(use.Version) {
		return Valid
	}
	if len(t.names) == 0 {
		return Moved
	}
	owner, known := t.Owner(use.Key)
	switch {
	case !known:
		return Withdrawn
	case t.names[owner] != organisation:
		return Moved
	}
	return Valid
}
